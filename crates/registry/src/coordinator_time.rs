//! The coordinator time of the system, which numbers the slots of the shared counts: the clock of the coordinator,
//! adopted by all other processes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// A registry that has not received the coordinator time this long after its start takes its machine's clock instead.
const OWN_CLOCK_FALLBACK_DELAY: Duration = Duration::from_millis(700);

/// The time since the start of this process, and the offset of the coordinator time, if known.
#[derive(Debug)]
pub(crate) struct CoordinatorTime {
    started: Instant,
    /// The coordinator time minus the time since the start of this process, in milliseconds.
    offset_ms: Option<i64>,
}

impl CoordinatorTime {
    pub(crate) fn start() -> Self {
        CoordinatorTime {
            started: Instant::now(),
            offset_ms: None,
        }
    }

    /// Returns the time since the start of this process.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the coordinator time in milliseconds; `None` if it is not known yet.
    pub(crate) fn now_ms(&self) -> Option<u64> {
        let own_ms = self.now().as_millis() as i64;
        Some((own_ms + self.offset_ms?).max(0) as u64)
    }

    /// Processes the coordinator time reported by another process. A time from the coordinator is always adopted, any
    /// other one only if the coordinator time is not known yet.
    pub(crate) fn observe(&mut self, time_ms: Option<u64>, is_from_coordinator: bool) {
        let adopts = self.offset_ms.is_none() || is_from_coordinator;
        if let Some(time_ms) = time_ms.filter(|_| adopts) {
            self.offset_ms = Some(time_ms as i64 - self.now().as_millis() as i64);
        }
    }

    /// Takes the machine's clock as the coordinator time if no process has reported one within the fallback delay.
    pub(crate) fn start_own_clock_if_due(&mut self) {
        if self.offset_ms.is_none() && self.now() >= OWN_CLOCK_FALLBACK_DELAY {
            let unix_time = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            self.observe(Some(unix_time.as_millis() as u64), false);
        }
    }
}
