//! Limits on attempts that all gateways share, apart from the quotas.

use std::time::Duration;

use damsonbeam::interface::{BackendEntry, BackendId, Outcome};

/// Applies limits that all gateways share to each attempt: called before an attempt is sent and after it has ended.
pub trait AttemptPolicy {
    /// Returns whether a request may have another attempt after its first.
    fn may_retry(&mut self, now: Duration) -> bool;
    /// Decides whether an attempt may be sent to `backend`.
    fn before_attempt(&mut self, backend: BackendId, now: Duration) -> AttemptDecision;
    /// Records the outcome and the latency of an attempt that was sent to a backend.
    fn after_attempt(
        &mut self,
        _backend: BackendId,
        _outcome: Outcome,
        _latency: Duration,
        _now: Duration,
    ) {
    }
    /// Returns whether an attempt that its backend may be working on may be cancelled before the client's deadline.
    fn may_cancel(&self) -> bool {
        true
    }
}

/// An [`AttemptPolicy`]'s decision on an attempt.
pub struct AttemptDecision {
    /// Whether the attempt may be sent.
    pub is_allowed: bool,
    /// The backend's new entry in the list, if its health changes.
    pub health_change: Option<BackendEntry>,
}
