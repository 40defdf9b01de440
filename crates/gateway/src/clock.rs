//! The module's clock: Unix time read once, monotonic from then on, so that slots agree at all gateways.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that says Unix time, and never goes back.
#[derive(Clone, Copy)]
pub struct Clock {
    unix: Duration,
    start: Instant,
}

impl Clock {
    /// A clock that reads Unix time now.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix,
            start: Instant::now(),
        }
    }

    /// A clock that says `unix` now.
    pub fn at(unix: Duration) -> Self {
        Clock {
            unix,
            start: Instant::now(),
        }
    }

    /// The time.
    pub fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }

    /// When the runtime's timers reach `at`.
    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        (self.start + at.saturating_sub(self.unix)).into()
    }
}
