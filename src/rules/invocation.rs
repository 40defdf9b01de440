//! What is remembered of an invocation that is not over.

use std::time::Duration;

use crate::interface::{BackendId, Invocation};

/// One attempt of an invocation.
pub(super) struct Attempt {
    pub(super) backend_id: BackendId,
    pub(super) zone: u32,
    pub(super) cell: u32,
    pub(super) sent_at: Duration,
    pub(super) in_flight: bool,
    /// Known not to have run.
    pub(super) never_ran: bool,
}

/// An invocation that is not over.
#[derive(Default)]
pub(super) struct PendingInvocation {
    pub(super) request: Invocation,
    pub(super) arrived: Duration,
    /// From where its time runs: its arrival, or the last byte of a body that came later.
    pub(super) time_from: Duration,
    pub(super) max_attempts: u32,
    /// The slot that it is counted in.
    pub(super) slot: u64,
    /// Units that it draws from its customer's quota.
    pub(super) quota_units: f64,
    /// Its units are in the slot's `pending`, then in `admitted` once it is.
    pub(super) is_added: bool,
    pub(super) is_admitted: bool,
    /// Its answer is a stream that has begun.
    pub(super) is_streaming: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl PendingInvocation {
    /// Attempts that are out.
    pub(super) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        let numbered = self.attempts.iter().enumerate();
        numbered.filter(|(_, attempt)| attempt.in_flight)
    }

    /// Whether an attempt is out.
    pub(super) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}
