//! Who the coordinator is, and the common time by its clock, as the heartbeats of all registries report. Free of I/O.
//!
//! Terms only rise: what a registry reports under an earlier term than the highest known comes from one that has lost the
//! lease and does not know it, or from one that has not heard of the change. It changes nothing.

use damsonbeam_control::address::Ip;
use damsonbeam_control::messages::{Heartbeat, LeaseHolder};
use tokio::time::Instant;

/// The common time as a coordinator reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommonTime {
    /// When the report came.
    pub received_at: Instant,
    /// The common time then, in milliseconds.
    pub time_ms: u64,
    /// The coordinator's term.
    pub term: u64,
}

impl CommonTime {
    /// The common time now, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.time_ms + self.received_at.elapsed().as_millis() as u64
    }
}

/// The coordinator of the highest term known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coordinator {
    holder: Option<LeaseHolder>,
    time: Option<CommonTime>,
}

impl Coordinator {
    /// Its machine; `None`: no coordinator is known.
    pub fn ip(&self) -> Option<Ip> {
        self.holder.map(|holder| holder.ip)
    }

    /// The highest term known; 0: none.
    pub fn term(&self) -> u64 {
        self.holder.map_or(0, |holder| holder.term)
    }

    /// The common time; `None`: no coordinator has reported it.
    pub fn time(&self) -> Option<CommonTime> {
        self.time
    }

    /// Takes a heartbeat of a registry; returns whether it is the coordinator's own.
    pub fn observe(&mut self, from: Ip, heartbeat: &Heartbeat, now: Instant) -> bool {
        let Some(holder) = heartbeat.coordinator else {
            return false;
        };
        if holder.term > self.term() {
            self.holder = Some(holder);
        }
        let is_own = holder.ip == from && self.holder == Some(holder);
        let is_new_term = self.time.is_none_or(|time| time.term < holder.term);
        if is_own && heartbeat.time_ms > 0 && is_new_term {
            self.time = Some(CommonTime {
                received_at: now,
                time_ms: heartbeat.time_ms,
                term: holder.term,
            });
        }
        is_own
    }
}
