//! Attempts: how one is sent, what its end tells, and whether a further one or a second copy follows.

use std::time::Duration;

use super::backend::BackendState;
use super::invocation::{Attempt, PendingInvocation};
use super::timers::Timer;
use super::{MEAN_SAMPLES, MEDIAN, Rules};
use crate::interface::{
    Action, AttemptNumber, BackendId, Health, InvocationId, OperationId, Outcome, PlanId,
    RejectReason, Repeat,
};

/// A refusal moves a plan's part turned away this far to all, an answer this far back.
const REFUSAL_STEP: f64 = 0.5;
/// A backend that refuses connections is tried again after this, doubled at each failure up to the most.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Second copies as a part of first attempts, saved up to ten: enough for one bad backend in ten.
const HEDGE_RATIO: f64 = 0.1;
/// A second copy goes when this part of the time left is gone: slow backends make slow answers usual.
const HEDGE_AFTER_PART: f64 = 0.4;
/// Where no copies may go, an attempt is given this many times the slow answers' time before another.
const TIMEOUT_FACTOR: f64 = 2.0;
/// Quantiles of answer times that are usual and slow.
const USUAL_QUANTILE: f64 = 0.75;
const SLOW_QUANTILE: f64 = 0.95;
/// Samples at which a histogram is halved: a backend's follows its last dozen answers, the fleet's hundreds.
const BACKEND_SAMPLES: f64 = 16.0;
const FLEET_SAMPLES: f64 = 400.0;
/// An attempt takes too long beyond this many times the mean: one gateway among many meets few that do.
const SLOW_FACTOR: f64 = 4.0;

impl Rules {
    /// Sends an attempt, unless the plan's ceiling is reached.
    pub(super) fn send_attempt(&mut self, id: InvocationId, backend_id: BackendId) {
        let is_first = self.invocations[&id].attempts.is_empty();
        if is_first && !self.take_from_ceiling(id) {
            return self.throttle(id, RejectReason::Ceiling);
        }
        let invocation = &self.invocations[&id];
        let left_s = self.objective_left_s(invocation);
        let may_repeat = self.may_repeat_after_next(invocation);
        let timeout = self.attempt_timeout(invocation, may_repeat, left_s);
        self.record_sent(id, backend_id);
        let earned = if is_first { HEDGE_RATIO } else { 0.0 };
        self.hedge_budget = (self.hedge_budget + earned).min(1.0 / HEDGE_RATIO);
        self.set_attempt_timers(id, may_repeat, left_s);
        self.actions.push(Action::SendAttempt {
            invocation_id: id,
            backend_id,
            timeout,
        });
    }

    fn objective_left_s(&self, invocation: &PendingInvocation) -> f64 {
        let objective = self.objective(invocation);
        objective.saturating_sub(self.now).as_secs_f64()
    }

    /// Takes an invocation's units from its customer's part of the ceiling; `false` where they are not there.
    fn take_from_ceiling(&mut self, id: InvocationId) -> bool {
        let request = &self.invocations[&id].request;
        let plan = self.settings.plans.get(request.plan.0);
        let Some(plan) = plan.filter(|plan| plan.ceiling_rate > 0.0) else {
            return true;
        };
        let customer = self.customers.get_mut(&request.customer);
        let customer = customer.expect("registered");
        let since_s = (self.now - customer.ceiling_at).as_secs_f64();
        let earned = plan.ceiling_rate * customer.ceiling_part * since_s;
        let most = plan.ceiling_burst * customer.ceiling_part;
        customer.ceiling_units = (customer.ceiling_units + earned).min(most);
        customer.ceiling_at = self.now;
        if customer.ceiling_units < request.units {
            return false;
        }
        customer.ceiling_units -= request.units;
        true
    }

    /// Whether yet another attempt may follow the one that is to be sent.
    fn may_repeat_after_next(&self, invocation: &PendingInvocation) -> bool {
        let operation = &self.settings.operations[invocation.request.operation.0];
        operation.repeat != Repeat::NonIdempotent
            && (invocation.attempts.len() as u32) + 1 < invocation.max_attempts
            && !invocation.request.body_pending
    }

    /// Time-outs only where another attempt may follow one, and only while time is left for it.
    fn attempt_timeout(
        &self,
        invocation: &PendingInvocation,
        may_repeat: bool,
        left_s: f64,
    ) -> Option<Duration> {
        let operation = invocation.request.operation;
        let usual_s = self.expected_s(USUAL_QUANTILE, operation);
        let slow_s = self.expected_s(SLOW_QUANTILE, operation);
        let timeout_s = (TIMEOUT_FACTOR * slow_s).max(left_s - TIMEOUT_FACTOR * usual_s);
        let has_time = timeout_s + usual_s < left_s;
        let sets_timeout = may_repeat && !self.settings.limits.may_hedge && has_time;
        sets_timeout.then(|| Duration::from_secs_f64(timeout_s))
    }

    /// The attempt is out from now on.
    fn record_sent(&mut self, id: InvocationId, backend_id: BackendId) {
        let backend = &self.backends[&backend_id];
        let credit = self.warm_up_credit(backend, self.warmth(&backend.entry));
        let backend = self.backends.get_mut(&backend_id).expect("seen above");
        let invocation = self.invocations.get_mut(&id).expect("is open");
        backend.credit = credit - invocation.request.units;
        backend.credit_at = self.now;
        backend.in_flight += 1;
        invocation.attempts.push(Attempt {
            backend_id,
            zone: backend.entry.zone,
            cell: backend.entry.cell,
            sent_at: self.now,
            in_flight: true,
            never_ran: false,
        });
        self.queue.remove(&(invocation.arrived, id));
        if let Some(customer) = self.customers.get_mut(&invocation.request.customer) {
            customer.in_flight += 1;
        }
    }

    fn set_attempt_timers(&mut self, id: InvocationId, may_repeat: bool, left_s: f64) {
        let invocation = &self.invocations[&id];
        let request = &invocation.request;
        let operation = &self.settings.operations[request.operation.0];
        if may_repeat && self.settings.limits.may_hedge && !operation.streamed {
            let hedge_at = self.now + Duration::from_secs_f64(HEDGE_AFTER_PART * left_s);
            self.timers.insert((hedge_at, Timer::Hedge(id)));
        }
        let slow_after = Duration::from_secs_f64(SLOW_FACTOR * self.mean_s(request.operation));
        let slow_after = slow_after.min(operation.latency_objective);
        if !request.body_pending {
            let number = invocation.attempts.len() - 1;
            let timer = Timer::SlowAttempt(id, number);
            self.timers.insert((self.now + slow_after, timer));
        }
    }

    /// An attempt ended: what its end tells of the backend and of the fleet is learned.
    pub(super) fn attempt_ended(
        &mut self,
        id: InvocationId,
        number: AttemptNumber,
        backend_id: BackendId,
        outcome: Outcome,
        took: Duration,
    ) {
        let Some(invocation) = self.invocations.get_mut(&id) else {
            return;
        };
        self.mean_attempt_s += (took.as_secs_f64() - self.mean_attempt_s) / MEAN_SAMPLES;
        let attempt = invocation.attempts.get_mut(number.0 as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else {
            return;
        };
        attempt.in_flight = false;
        attempt.never_ran = outcome.never_ran();
        let request = &invocation.request;
        let (operation, units, plan) = (request.operation, request.units, request.plan);
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.in_flight -= 1;
        }
        if outcome == Outcome::Ok {
            self.adjust_concurrency_limit(operation, took);
            self.record_answer(backend_id, operation, units, took);
        }
        self.record_end(backend_id, plan, outcome, took);
        if outcome == Outcome::Failed {
            self.note_unanswered(backend_id, operation);
        }
    }

    /// An answer's time is learned, and the flow to warm backends.
    fn record_answer(
        &mut self,
        backend_id: BackendId,
        operation: OperationId,
        units: f64,
        took: Duration,
    ) {
        if !self.backends.contains_key(&backend_id) {
            return;
        }
        self.latencies[operation.0].record(took, FLEET_SAMPLES);
        let is_warm = |backend: &&BackendState| {
            backend.entry.health == Health::Up && self.warmth(&backend.entry) >= 1.0
        };
        if is_warm(&&self.backends[&backend_id]) {
            let warm_backends = self.backends.values().filter(is_warm).count();
            self.warm_flow.add(units / warm_backends.max(1) as f64);
        }
        if let Some(backend) = self.backends.get_mut(&backend_id)
            && let Some(unanswered) = backend.unanswered_rates.get_mut(&operation)
        {
            unanswered.rate *= REFUSAL_STEP;
        }
    }

    fn record_end(
        &mut self,
        backend_id: BackendId,
        plan: PlanId,
        outcome: Outcome,
        took: Duration,
    ) {
        let Some(backend) = self.backends.get_mut(&backend_id) else {
            return;
        };
        backend.in_flight -= 1;
        match outcome {
            Outcome::Ok => {
                backend.latency.record(took, BACKEND_SAMPLES);
                backend.failures = 0;
                if let Some(refusal_rate) = backend.refusal_rates.get_mut(&plan) {
                    *refusal_rate *= REFUSAL_STEP;
                }
            }
            Outcome::TimedOut => backend.latency.record(took, BACKEND_SAMPLES),
            // One plan's work may be turned away where others' is not: only it then goes elsewhere.
            Outcome::Full => {
                let refusal_rate = backend.refusal_rates.entry(plan).or_default();
                *refusal_rate += REFUSAL_STEP * (1.0 - *refusal_rate);
            }
            Outcome::ConnectFailed => {
                let doublings = backend.failures.min(MAX_BACKOFF_DOUBLINGS);
                let backoff = (FIRST_BACKOFF * 2u32.pow(doublings)).min(MAX_BACKOFF);
                backend.failures += 1;
                backend.blocked_until = backend.blocked_until.max(self.now + backoff);
            }
            // A reset tells of the way there, not of the backend.
            Outcome::Reset | Outcome::Failed | Outcome::Canceled | Outcome::Ignored => {}
        }
    }

    /// No attempt is out: back into the queue if a further one can still be of use, else a final answer.
    pub(super) fn retry_or_end(&mut self, id: InvocationId) {
        let Some(invocation) = self.invocations.get(&id) else {
            return;
        };
        let is_queued = self.queue.contains(&(invocation.arrived, id));
        if invocation.is_streaming || invocation.is_in_flight() || is_queued {
            return;
        }
        let operation = invocation.request.operation;
        let earns_late = self.settings.operations[operation.0].late_value > 0.0;
        let until = if earns_late {
            invocation.request.deadline
        } else {
            self.objective(invocation)
        };
        let left_s = until.saturating_sub(self.now).as_secs_f64();
        let mut backends = self.backends.values();
        let can_go = backends.any(|backend| self.may_send(invocation, backend));
        if can_go && left_s > self.expected_s(MEDIAN, operation) {
            self.wait_in_queue(id, until);
        } else {
            self.throttle(id, RejectReason::GaveUp);
        }
    }

    /// A stream that began belongs to the client: no time runs, nothing more is sent.
    pub(super) fn stream_started(&mut self, id: InvocationId) {
        let Some(invocation) = self.invocations.get_mut(&id) else {
            return;
        };
        invocation.is_streaming = true;
        self.queue.remove(&(invocation.arrived, id));
    }

    /// Sends a second copy where the first takes too long; never while work waits in the queue.
    pub(super) fn hedge(&mut self, id: InvocationId) {
        let Some(invocation) = self.invocations.get(&id) else {
            return;
        };
        let left_s = self.objective_left_s(invocation);
        let has_time = left_s > self.expected_s(MEDIAN, invocation.request.operation);
        let is_single = invocation.in_flight().count() == 1;
        if !is_single || !has_time || !self.queue.is_empty() || self.hedge_budget < 1.0 {
            return;
        }
        let Some(backend_id) = self.choose_backend(id) else {
            return;
        };
        let mut attempts = self.invocations[&id].attempts.iter();
        if attempts.all(|attempt| attempt.backend_id != backend_id) {
            self.hedge_budget -= 1.0;
            self.send_attempt(id, backend_id);
        }
    }
}
