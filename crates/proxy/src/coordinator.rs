//! Tracks the coordinator and the coordinator time (its clock) from the heartbeats of all registries.
//! Free of I/O.
//!
//! Terms only increase. A report of a term lower than the highest known one comes from a registry
//! that has lost the lease without noticing, or that has not learned of the new coordinator. Such
//! reports are ignored.

use damsonbeam_control::address::Ip;
use damsonbeam_control::messages::{Heartbeat, LeaseHolder};
use tokio::time::Instant;

/// The coordinator time as reported by a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoordinatorTime {
    /// When the report was received.
    pub received_at: Instant,
    /// Coordinator time at receipt, in milliseconds.
    pub time_ms: u64,
    /// Term of the coordinator.
    pub term: u64,
}

impl CoordinatorTime {
    /// Returns the current coordinator time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.time_ms + self.received_at.elapsed().as_millis() as u64
    }
}

/// The coordinator with the highest known term.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coordinator {
    holder: Option<LeaseHolder>,
    time: Option<CoordinatorTime>,
}

impl Coordinator {
    /// Returns the coordinator's IP address, or `None` if no coordinator is known.
    pub fn ip(&self) -> Option<Ip> {
        self.holder.map(|holder| holder.ip)
    }

    /// Returns the highest known term; 0 if none is known.
    pub fn term(&self) -> u64 {
        self.holder.map_or(0, |holder| holder.term)
    }

    /// Returns the coordinator time, or `None` if no coordinator has reported it.
    pub fn time(&self) -> Option<CoordinatorTime> {
        self.time
    }

    /// Records a registry's heartbeat; returns whether the registry is the coordinator itself.
    pub fn observe(&mut self, from: Ip, heartbeat: &Heartbeat, now: Instant) -> bool {
        let Some(holder) = heartbeat.coordinator else {
            return false;
        };
        if holder.term > self.term() {
            self.holder = Some(holder);
        }
        let is_own = holder.ip == from && self.holder == Some(holder);
        let is_new_term = self.time.is_none_or(|time| time.term < holder.term);
        if is_own && heartbeat.coordinator_time_ms > 0 && is_new_term {
            self.time = Some(CoordinatorTime {
                received_at: now,
                time_ms: heartbeat.coordinator_time_ms,
                term: holder.term,
            });
        }
        is_own
    }
}
