//! Who the coordinator is, and the common time by its clock, as heartbeats of all registries tell. Free of I/O.
//!
//! Terms only rise: what a registry tells under an earlier term than the highest known comes from one that has lost the
//! duty and does not know it, or from one that has not heard of the change. It changes nothing.

use damsonbeam_control::messages::{Heartbeat, Ip};
use tokio::time::Instant;

/// The common time as a coordinator told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommonTime {
    pub told_at: Instant,
    pub time_ms: u64,
    pub term: u64,
}

impl CommonTime {
    pub fn now_ms(&self) -> u64 {
        self.time_ms + self.told_at.elapsed().as_millis() as u64
    }
}

/// The coordinator of the highest term known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coordinator {
    holder: Option<(Ip, u64)>,
    time: Option<CommonTime>,
}

impl Coordinator {
    pub fn ip(&self) -> Option<Ip> {
        self.holder.map(|h| h.0)
    }

    /// The highest term known; 0: none.
    pub fn term(&self) -> u64 {
        self.holder.map_or(0, |h| h.1)
    }

    pub fn time(&self) -> Option<CommonTime> {
        self.time
    }

    /// A heartbeat of a registry; tells whether it is the coordinator's own.
    pub fn observe(&mut self, from: Ip, heartbeat: &Heartbeat, now: Instant) -> bool {
        let Some((ip, term)) = heartbeat.coordinator else {
            return false;
        };
        if term > self.term() {
            self.holder = Some((ip, term));
        }
        let is_own = ip == from && self.holder == Some((ip, term));
        if is_own && heartbeat.time_ms > 0 && self.time.is_none_or(|t| t.term < term) {
            self.time = Some(CommonTime {
                told_at: now,
                time_ms: heartbeat.time_ms,
                term,
            });
        }
        is_own
    }
}
