//! Measures for how long a gateway itself holds a request body up.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// The time for which a streamed body waited for an attempt, or for its backend to take more. The time in which the
/// gateway waits for the client is not counted.
pub(super) struct HeldTime {
    /// The time of all finished periods.
    total: Cell<Duration>,
    /// The start of the present period; `None` while the gateway waits for the client, and after the end of the body.
    held_since: Cell<Option<Instant>>,
}

impl HeldTime {
    /// Starts counting.
    pub(super) fn start() -> Self {
        HeldTime {
            total: Cell::default(),
            held_since: Cell::new(Some(Instant::now())),
        }
    }

    /// Records that the client has sent a part, which the backend has to take now.
    pub(super) fn received(&self) {
        if self.held_since.get().is_none() {
            self.held_since.set(Some(Instant::now()));
        }
    }

    /// Records that everything received was taken: the gateway waits for the client, or the body has ended.
    pub(super) fn taken(&self) {
        if let Some(since) = self.held_since.take() {
            self.total.set(self.total.get() + since.elapsed());
        }
    }

    /// Returns the time so far.
    pub(super) fn get(&self) -> Duration {
        let present = self.held_since.get();
        self.total.get() + present.map_or(Duration::ZERO, |since| since.elapsed())
    }
}
