//! State kept for an open invocation.

use std::time::Duration;

use crate::interface::{BackendId, Invocation};

/// One attempt of an invocation.
pub(super) struct Attempt {
    pub(super) backend_id: BackendId,
    pub(super) zone: u32,
    pub(super) cell: u32,
    pub(super) sent_at: Duration,
    pub(super) in_flight: bool,
    /// Whether the attempt is known not to have run.
    pub(super) proves_not_executed: bool,
}

/// An invocation without a final answer yet.
#[derive(Default)]
pub(super) struct PendingInvocation {
    pub(super) request: Invocation,
    pub(super) arrived: Duration,
    /// Start of the latency objective: the arrival, or the end of a request body that arrived
    /// later.
    pub(super) timed_from: Duration,
    pub(super) max_attempts: u32,
    /// Number of the slot in which the invocation is counted.
    pub(super) slot: u64,
    /// Units that the invocation takes from its customer's quota.
    pub(super) quota_units: f64,
    /// Whether the units are in the slot's `pending`, and in `admitted` after admission.
    pub(super) is_added: bool,
    pub(super) is_admitted: bool,
    /// Whether a streamed answer has started.
    pub(super) is_streaming: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl PendingInvocation {
    /// Returns the attempts in flight with their numbers.
    pub(super) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        let numbered = self.attempts.iter().enumerate();
        numbered.filter(|(_, attempt)| attempt.in_flight)
    }

    /// Returns whether an attempt is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}
