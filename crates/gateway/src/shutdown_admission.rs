//! Whether a request that comes while the program is told to end can still be answered in time.

use std::cell::Cell;
use std::time::Duration;

/// A client that is refused because the program ends may try elsewhere at once.
pub const ELSEWHERE: Duration = Duration::from_millis(20);
/// A slow answer is remembered through about a hundred faster ones.
const FADING: f64 = 0.98;
/// A request is taken where this many times the slow answers' time is left.
const MARGIN: u32 = 2;

/// How long slow answers take of late, and by when all must be given.
#[derive(Debug, Default)]
pub struct ShutdownAdmission {
    slow: Cell<Duration>,
    end: Cell<Option<Duration>>,
}

impl ShutdownAdmission {
    /// An answer took so long.
    pub fn answered(&self, took: Duration) {
        self.slow.set(took.max(self.slow.get().mul_f64(FADING)));
    }

    /// The program is told to end: all answers are to be given by then.
    pub fn end_by(&self, end: Duration) {
        self.end.set(Some(end));
    }

    /// Whether a request that comes now can be expected to be answered in time.
    pub fn takes(&self, now: Duration) -> bool {
        self.end
            .get()
            .is_none_or(|end| now + self.slow.get() * MARGIN <= end)
    }
}
