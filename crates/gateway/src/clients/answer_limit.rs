//! The time limit of the answer to the request on a client connection, from the first byte of the answer to its last.
//! Before the first byte, the dispatcher keeps the limit.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

/// The limit of one connection's current request.
#[derive(Default)]
pub(super) struct AnswerLimit {
    /// When the answer must have ended, as Unix time; `None` without a limit, or before the request has arrived whole.
    expires_at: Cell<Option<Duration>>,
    /// Whether the answer to the current request was cut off at the limit; shared with the body of the answer.
    is_exceeded: RefCell<Rc<Cell<bool>>>,
    /// Notified when the limit is set while the answer is already under way.
    pub(super) changed: Notify,
}

impl AnswerLimit {
    /// Removes the limit of the previous request.
    pub(super) fn begin_request(&self) {
        self.expires_at.set(None);
        self.is_exceeded.replace(Rc::default());
    }

    /// Sets the limit; the request has arrived whole.
    pub(super) fn set(&self, expires_at: Option<Duration>) {
        self.expires_at.set(expires_at);
        self.changed.notify_one();
    }

    /// Returns when the answer must have ended, as Unix time.
    pub(super) fn expires_at(&self) -> Option<Duration> {
        self.expires_at.get()
    }

    /// Returns the mark that tells whether the answer to the current request was cut off at the limit.
    pub(super) fn exceeded_mark(&self) -> Rc<Cell<bool>> {
        self.is_exceeded.borrow().clone()
    }
}
