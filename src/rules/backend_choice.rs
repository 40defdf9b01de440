//! Choice of the backend for an attempt.

use rand::Rng;

use super::backend::BackendState;
use super::invocation::PendingInvocation;
use super::{EPSILON, PRIOR_LATENCY_WEIGHT, Rules};
use crate::interface::{
    BackendId, DeduplicationGroup, Health, InvocationId, OperationId, RepeatMode,
};

/// Cost factor of a backend that this invocation has already tried.
const ALREADY_TRIED_COST_FACTOR: f64 = 100.0;
/// Lower bound for the weight of a backend in the cost.
const MIN_WEIGHT: f64 = 0.1;

impl Rules {
    /// Returns the cheapest backend that has capacity and may get the invocation.
    pub(super) fn choose_backend(&mut self, id: InvocationId) -> Option<BackendId> {
        let invocation = &self.invocations[&id];
        let operation = invocation.request.operation;
        let prior_s = self.mean_s(operation);
        let local_limit = self.local_limit_per_backend();
        let fleet_rate = self.fleet_unanswered_rate(operation);
        let mut best: Option<(f64, BackendId)> = None;
        for (&backend_id, backend) in &self.backends {
            if self.now < backend.blocked_until || !self.may_send(invocation, backend) {
                continue;
            }
            let warm_up_fraction = self.warm_up_fraction(&backend.entry);
            let in_flight = f64::from(backend.in_flight);
            if in_flight + 1.0 > (local_limit * warm_up_fraction).max(1.0) {
                continue;
            }
            if warm_up_fraction < 1.0
                && (self.has_yielded || self.warm_up_credit(backend, warm_up_fraction) < 0.0)
            {
                continue;
            }
            // Under overload every backend is slow. Only backends that are worse than the fleet are
            // penalized.
            let backend_rate = backend.unanswered_rate(operation, self.now);
            let excess_rate = ((backend_rate - fleet_rate) / (1.0 - fleet_rate)).max(0.0);
            // A warming backend that is overloaded does not recover. Its share is therefore earned
            // over time, starts at a random credit and applies as a probability, so that not all
            // gateways send to it at once.
            let chance = warm_up_fraction * (1.0 - excess_rate);
            if chance < 1.0 && self.rng.random::<f64>() >= chance {
                continue;
            }
            let latency_s = backend.latency.mean_s(prior_s, PRIOR_LATENCY_WEIGHT);
            // The smaller this gateway's share of a backend, the more random the choice. Hundreds
            // of gateways with equally little information would otherwise choose the same backend.
            let exponential_sample = -self.rng.random::<f64>().max(EPSILON).ln();
            let random_factor = exponential_sample.powf(1.0 / (1.0 + local_limit));
            let cost = latency_s * random_factor * (in_flight + 1.0)
                / backend.entry.weight.max(MIN_WEIGHT)
                * refusal_cost_factor(invocation, backend_id, backend, excess_rate);
            if best.is_none_or(|(lowest_cost, _)| cost < lowest_cost) {
                best = Some((cost, backend_id));
            }
        }
        best.map(|(_, backend_id)| backend_id)
    }

    /// Returns the mean over all backends of the fraction of an operation's attempts left
    /// unanswered.
    fn fleet_unanswered_rate(&self, operation: OperationId) -> f64 {
        let backends = self.backends.values();
        let rates = backends.map(|backend| backend.unanswered_rate(operation, self.now));
        rates.sum::<f64>() / self.backends.len().max(1) as f64
    }

    /// Returns whether one more attempt may go to `backend`: the invocation is open and in time,
    /// the backend is up, the limits of the deployment allow it, and the operation may run again
    /// there if an earlier attempt may have run.
    pub(super) fn may_send(&self, invocation: &PendingInvocation, backend: &BackendState) -> bool {
        let is_over = invocation.is_streaming || self.now >= invocation.request.deadline;
        let is_last = invocation.attempts.len() as u32 >= invocation.max_attempts;
        let must_wait = invocation.is_in_flight() && !self.settings.limits.may_hedge;
        if backend.entry.health != Health::Up || is_over || is_last || must_wait {
            return false;
        }
        let attempts = invocation.attempts.iter();
        let mut may_have_run = attempts.filter(|attempt| !attempt.proves_not_executed);
        match self.settings.operations[invocation.request.operation.0].repeat {
            RepeatMode::Idempotent => true,
            RepeatMode::NonIdempotent => may_have_run.next().is_none(),
            RepeatMode::Deduplicated { group, window } => may_have_run.all(|attempt| {
                let same_zone = attempt.zone == backend.entry.zone;
                let shares_deduplication = match group {
                    DeduplicationGroup::All => true,
                    DeduplicationGroup::Zone => same_zone,
                    DeduplicationGroup::Cell => same_zone && attempt.cell == backend.entry.cell,
                };
                shares_deduplication && self.now < attempt.sent_at + window
            }),
        }
    }

    /// Returns whether a throttling reply is permitted. Such a reply promises that a retry is
    /// harmless, so either no attempt may have run or a repeat must have no effect.
    pub(super) fn may_throttle(&self, invocation: &PendingInvocation) -> bool {
        match self.settings.operations[invocation.request.operation.0].repeat {
            RepeatMode::Idempotent
            | RepeatMode::Deduplicated {
                group: DeduplicationGroup::All,
                ..
            } => true,
            _ => invocation
                .attempts
                .iter()
                .all(|attempt| attempt.proves_not_executed),
        }
    }
}

/// Returns the cost factor of a backend that was already tried, or that refuses the plan's attempts
/// or leaves them unanswered.
fn refusal_cost_factor(
    invocation: &PendingInvocation,
    backend_id: BackendId,
    backend: &BackendState,
    unanswered_rate: f64,
) -> f64 {
    let mut attempts = invocation.attempts.iter();
    if attempts.any(|attempt| attempt.backend_id == backend_id) {
        return ALREADY_TRIED_COST_FACTOR;
    }
    let refusal_rate = backend.refusal_rates.get(&invocation.request.plan);
    let refusal_rate = refusal_rate.copied().unwrap_or(0.0);
    let accepted = (1.0 - refusal_rate) * (1.0 - unanswered_rate);
    1.0 / accepted.powi(2)
}
