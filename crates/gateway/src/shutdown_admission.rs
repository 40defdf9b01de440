//! Admission of requests during the shutdown: only those that can still be answered before the process exits.

use std::cell::Cell;
use std::time::Duration;

/// Retry delay for a client that is refused because the process ends; short, as another gateway can serve it at once.
pub const SHUTDOWN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Decay of the slow latency with each faster response: one slow response counts for about a hundred faster ones.
const SLOW_LATENCY_DECAY: f64 = 0.98;
/// A request is admitted if at least `SLOW_LATENCY_FACTOR * slow_latency` is left until the deadline.
const SLOW_LATENCY_FACTOR: u32 = 2;

/// The recent latency of slow responses, and the deadline of the shutdown.
#[derive(Debug, Default)]
pub struct ShutdownAdmission {
    slow_latency: Cell<Duration>,
    deadline: Cell<Option<Duration>>,
}

impl ShutdownAdmission {
    /// Records the latency of a response.
    pub fn record_latency(&self, latency: Duration) {
        self.slow_latency
            .set(latency.max(self.slow_latency.get().mul_f64(SLOW_LATENCY_DECAY)));
    }

    /// Starts the shutdown: all responses must be sent by `deadline`.
    pub fn start_shutdown(&self, deadline: Duration) {
        self.deadline.set(Some(deadline));
    }

    /// Returns whether a request that arrives now can be expected to be answered before the deadline.
    pub fn admits(&self, now: Duration) -> bool {
        self.deadline
            .get()
            .is_none_or(|deadline| now + self.slow_latency.get() * SLOW_LATENCY_FACTOR <= deadline)
    }
}
