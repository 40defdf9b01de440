//! What is remembered of a backend.

use std::collections::BTreeMap;
use std::time::Duration;

use super::latency_histogram::LatencyHistogram;
use crate::interface::{BackendEntry, OperationId, PlanId};

/// The part of an operation's attempts that a backend left unanswered.
#[derive(Clone, Copy)]
pub(super) struct UnansweredRate {
    pub(super) rate: f64,
    /// When that was reckoned.
    pub(super) at: Duration,
}

/// What is remembered of a backend.
#[derive(Default)]
pub(crate) struct BackendState {
    pub(super) entry: BackendEntry,
    /// Attempts from here that are out.
    pub(super) in_flight: u32,
    pub(super) latency: LatencyHistogram,
    /// Nothing is sent to it until then.
    pub(super) blocked_until: Duration,
    /// Connections in a row that did not come up.
    pub(super) failures: u32,
    /// Part of each plan's attempts that it turned away of late.
    pub(super) refusal_rates: BTreeMap<PlanId, f64>,
    /// Part of each operation's attempts that went unanswered of late.
    pub(super) unanswered_rates: BTreeMap<OperationId, UnansweredRate>,
    /// Units that this gateway may send while it warms up; an attempt needs 0.
    pub(super) credit: f64,
    /// Until when these are earned.
    pub(super) credit_at: Duration,
}
