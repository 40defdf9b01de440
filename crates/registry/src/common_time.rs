//! The system's common time, by which slots of shared counts are named: that of the coordinator, whoever it is.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// A registry that has not heard of the common time by then begins it by its machine's own clock.
const OWN_CLOCK_AFTER: Duration = Duration::from_millis(700);

/// The time since this process's start, and the common time as far as it is known.
#[derive(Debug)]
pub(crate) struct CommonTime {
    started: Instant,
    /// The common time less this process's, in milliseconds.
    offset_ms: Option<i64>,
}

impl CommonTime {
    pub(crate) fn start() -> Self {
        CommonTime {
            started: Instant::now(),
            offset_ms: None,
        }
    }

    /// The time since this process's start.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The common time in milliseconds; `None`: it is not known yet.
    pub(crate) fn now_ms(&self) -> Option<u64> {
        let own_ms = self.now().as_millis() as i64;
        Some((own_ms + self.offset_ms?).max(0) as u64)
    }

    /// Another process names the common time. What the coordinator names prevails, anything else only where nothing is
    /// known.
    pub(crate) fn observe(&mut self, time_ms: Option<u64>, is_coordinators: bool) {
        let is_wanted = self.offset_ms.is_none() || is_coordinators;
        if let Some(time_ms) = time_ms.filter(|_| is_wanted) {
            self.offset_ms = Some(time_ms as i64 - self.now().as_millis() as i64);
        }
    }

    /// Begins the common time where nobody has named it for some time.
    pub(crate) fn begin_when_due(&mut self) {
        if self.offset_ms.is_none() && self.now() >= OWN_CLOCK_AFTER {
            let unix_time = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            self.observe(Some(unix_time.as_millis() as u64), false);
        }
    }
}
