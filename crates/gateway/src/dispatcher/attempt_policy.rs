//! What attempts use up that all gateways share, besides the quotas.

use std::time::Duration;

use damsonbeam::interface::{BackendEntry, BackendId, Outcome};

/// Decides on each attempt by what all gateways share: asked before it is sent, told when it is over.
pub trait AttemptPolicy {
    /// Whether an attempt beyond its request's first may be made.
    fn may_retry(&mut self, now: Duration) -> bool;
    /// An attempt is to go to that backend.
    fn before_attempt(&mut self, backend: BackendId, now: Duration) -> AttemptDecision;
    /// An attempt that went to that backend is over, after that time.
    fn after_attempt(&mut self, _backend: BackendId, _: Outcome, _took: Duration, _now: Duration) {}
    /// Whether an attempt that its backend may work on may be cancelled before its client's time is over.
    fn may_cancel(&self) -> bool {
        true
    }
}

/// What an [`AttemptPolicy`] says of an attempt that is to be sent.
pub struct AttemptDecision {
    /// Whether it may be sent.
    pub allowed: bool,
    /// How its backend stands from now on, where that changes.
    pub health_change: Option<BackendEntry>,
}
