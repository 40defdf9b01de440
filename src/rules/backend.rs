//! State kept for a backend.

use std::collections::BTreeMap;
use std::time::Duration;

use super::latency_histogram::LatencyHistogram;
use crate::interface::{BackendEntry, OperationId, PlanId};

/// Fraction of an operation's attempts that a backend has left unanswered.
#[derive(Clone, Copy)]
pub(super) struct UnansweredRate {
    pub(super) rate: f64,
    /// When the rate was computed.
    pub(super) computed_at: Duration,
}

/// State kept for a backend.
#[derive(Default)]
pub(crate) struct BackendState {
    pub(super) entry: BackendEntry,
    /// Attempts of this gateway that are in flight.
    pub(super) in_flight: u32,
    pub(super) latency: LatencyHistogram,
    /// No attempt is sent to the backend before this time.
    pub(super) blocked_until: Duration,
    /// Number of consecutive failed connections.
    pub(super) failures: u32,
    /// Recent fraction of each plan's attempts that the backend has refused.
    pub(super) refusal_rates: BTreeMap<PlanId, f64>,
    /// Recent fraction of each operation's attempts that went unanswered.
    pub(super) unanswered_rates: BTreeMap<OperationId, UnansweredRate>,
    /// Units that this gateway may send while the backend warms up. Never above 0; an attempt is
    /// permitted at 0 and may make it negative.
    pub(super) credit: f64,
    /// Time up to which `credit` has been accrued.
    pub(super) credit_at: Duration,
}
