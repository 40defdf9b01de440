//! Something that is due at a rate.

use std::time::{Duration, Instant};

/// Something that is due at a rate.
pub(super) struct AtRate {
    /// `None`: never.
    interval: Option<Duration>,
    next: Instant,
}

impl AtRate {
    /// `rate`: times a second; 0: never.
    pub(super) fn new(rate: f64) -> Self {
        let interval = (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate));
        AtRate {
            interval,
            next: Instant::now() + interval.unwrap_or_default(),
        }
    }

    /// Whether it is due; once for each time.
    pub(super) fn is_now(&mut self) -> bool {
        match self.interval {
            Some(interval) if Instant::now() >= self.next => {
                self.next += interval;
                true
            }
            _ => false,
        }
    }
}
