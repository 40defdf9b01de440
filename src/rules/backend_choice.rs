//! Which backend an attempt goes to.

use rand::Rng;

use super::backend::BackendState;
use super::invocation::PendingInvocation;
use super::{EPSILON, Rules, USUAL_LATENCY_WEIGHT};
use crate::interface::{BackendId, Group, Health, InvocationId, OperationId, Repeat};

/// A backend that was tried before costs so much more.
const TRIED_FACTOR: f64 = 100.0;
/// The least weight of a backend that is reckoned with.
const MIN_WEIGHT: f64 = 0.1;

impl Rules {
    /// The best backend with a free place that this invocation may go to.
    pub(super) fn choose_backend(&mut self, id: InvocationId) -> Option<BackendId> {
        let invocation = &self.invocations[&id];
        let operation = invocation.request.operation;
        let usual_s = self.mean_s(operation);
        let own_limit = self.own_limit_per_backend();
        let usual_rate = self.fleet_unanswered_rate(operation);
        let mut best: Option<(f64, BackendId)> = None;
        for (&backend_id, backend) in &self.backends {
            if self.now < backend.blocked_until || !self.may_send(invocation, backend) {
                continue;
            }
            let warmth = self.warmth(&backend.entry);
            let in_flight = f64::from(backend.in_flight);
            if in_flight + 1.0 > (own_limit * warmth).max(1.0) {
                continue;
            }
            if warmth < 1.0 && (self.has_yielded || self.warm_up_credit(backend, warmth) < 0.0) {
                continue;
            }
            // In overload all are late: only who is silent beside the others is passed over.
            let own_rate = backend.unanswered_rate(operation, self.now);
            let excess_rate = ((own_rate - usual_rate) / (1.0 - usual_rate)).max(0.0);
            // Pushed over, it stays down: a part earned by time, from a start by chance, or all send at once.
            let chance = warmth * (1.0 - excess_rate);
            if chance < 1.0 && self.rng.random::<f64>() >= chance {
                continue;
            }
            let latency_s = backend.latency.mean_s(usual_s, USUAL_LATENCY_WEIGHT);
            // The less of a backend is this gateway's, the more it is by lot: hundreds that know as little.
            let draw = -self.rng.random::<f64>().max(EPSILON).ln();
            let lot = draw.powf(1.0 / (1.0 + own_limit));
            let cost = latency_s * lot * (in_flight + 1.0) / backend.entry.weight.max(MIN_WEIGHT)
                * refusal_factor(invocation, backend_id, backend, excess_rate);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, backend_id));
            }
        }
        best.map(|(_, backend_id)| backend_id)
    }

    /// Part of an operation's attempts that a backend leaves unanswered, on the mean of all.
    fn fleet_unanswered_rate(&self, operation: OperationId) -> f64 {
        let backends = self.backends.values();
        let rates = backends.map(|backend| backend.unanswered_rate(operation, self.now));
        rates.sum::<f64>() / self.backends.len().max(1) as f64
    }

    /// Rules 1, 2 and 3 and the site's limits, for one attempt more.
    pub(super) fn may_send(&self, invocation: &PendingInvocation, backend: &BackendState) -> bool {
        let is_over = invocation.is_streaming || self.now >= invocation.request.deadline;
        let is_last = invocation.attempts.len() as u32 >= invocation.max_attempts;
        let must_wait = invocation.is_in_flight() && !self.settings.limits.may_hedge;
        if backend.entry.health != Health::Up || is_over || is_last || must_wait {
            return false;
        }
        let attempts = invocation.attempts.iter();
        let mut may_have_run = attempts.filter(|attempt| !attempt.never_ran);
        match self.settings.operations[invocation.request.operation.0].repeat {
            Repeat::Idempotent => true,
            Repeat::NonIdempotent => may_have_run.next().is_none(),
            Repeat::Tokened { group, window } => may_have_run.all(|attempt| {
                let same_zone = attempt.zone == backend.entry.zone;
                let knows_of_it = match group {
                    Group::All => true,
                    Group::Zone => same_zone,
                    Group::Cell => same_zone && attempt.cell == backend.entry.cell,
                };
                knows_of_it && self.now < attempt.sent_at + window
            }),
        }
    }

    /// Rule 2: a throttling reply promises that trying again is harmless.
    pub(super) fn may_throttle(&self, invocation: &PendingInvocation) -> bool {
        match self.settings.operations[invocation.request.operation.0].repeat {
            Repeat::Idempotent
            | Repeat::Tokened {
                group: Group::All, ..
            } => true,
            _ => invocation.attempts.iter().all(|attempt| attempt.never_ran),
        }
    }
}

/// How much more a backend costs that was tried, or that turns the plan's attempts away or leaves them unanswered.
fn refusal_factor(
    invocation: &PendingInvocation,
    backend_id: BackendId,
    backend: &BackendState,
    unanswered_rate: f64,
) -> f64 {
    let mut attempts = invocation.attempts.iter();
    if attempts.any(|attempt| attempt.backend_id == backend_id) {
        return TRIED_FACTOR;
    }
    let refusal_rate = backend.refusal_rates.get(&invocation.request.plan);
    let refusal_rate = refusal_rate.copied().unwrap_or(0.0);
    let accepted = (1.0 - refusal_rate) * (1.0 - unanswered_rate);
    1.0 / accepted.powi(2)
}
