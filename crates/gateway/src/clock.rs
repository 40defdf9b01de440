//! The decision module's clock: Unix time, read once and advanced by the monotonic clock, so that all gateways agree on
//! the numbers of time slots.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that returns Unix time.
#[derive(Clone, Copy)]
pub struct Clock {
    /// Unix time at `start`.
    unix: Duration,
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the system's Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix,
            start: Instant::now(),
        }
    }

    /// Creates a clock that starts at `unix`.
    pub fn at(unix: Duration) -> Self {
        Clock {
            unix,
            start: Instant::now(),
        }
    }

    /// Returns the current Unix time.
    pub fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }

    /// Converts the Unix time `at` to the clock of the runtime's timers.
    pub fn to_instant(&self, at: Duration) -> tokio::time::Instant {
        (self.start + at.saturating_sub(self.unix)).into()
    }
}
