//! Sending of attempts, evaluation of their outcomes, retries and hedges.

use std::time::Duration;

use super::backend::BackendState;
use super::invocation::{Attempt, PendingInvocation};
use super::timers::Timer;
use super::{MEAN_SAMPLES, MEDIAN, Rules};
use crate::interface::{
    Action, AttemptNumber, BackendId, Health, InvocationId, OperationId, Outcome, PlanId,
    RejectReason, RepeatMode,
};

/// Weight of a refusal in a backend's refusal rate for a plan. A success multiplies that rate, and
/// the operation's unanswered rate, by it.
const REFUSAL_WEIGHT: f64 = 0.5;
/// Backoff after a failed connection to a backend, doubled with each further failure up to
/// `MAX_BACKOFF`.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Hedges earned by each first attempt. Up to `1 / HEDGE_RATIO` hedges are saved, which suffices
/// for one bad backend in ten.
const HEDGE_RATIO: f64 = 0.1;
/// Fraction of the remaining objective time after which a hedge is sent. Observed latencies would
/// be a poor measure, since slow backends raise them.
const HEDGE_AFTER_FRACTION: f64 = 0.4;
/// Without hedging, an attempt gets at least this multiple of the slow quantile before it times out
/// and a retry follows.
const TIMEOUT_FACTOR: f64 = 2.0;
/// Quantiles that stand for a typical and for a slow answer.
const TYPICAL_QUANTILE: f64 = 0.75;
const SLOW_QUANTILE: f64 = 0.95;
/// Samples at which a backend's histogram is halved: it follows its last dozen answers.
const BACKEND_SAMPLES: f64 = 16.0;
/// An attempt counts as slow beyond this multiple of the mean latency. One gateway among many sees
/// only few such attempts.
const SLOW_FACTOR: f64 = 4.0;

impl Rules {
    /// Sends an attempt; rejects the invocation instead if its first attempt would exceed the
    /// ceiling.
    pub(super) fn send_attempt(&mut self, id: InvocationId, backend_id: BackendId) {
        let is_first = self.invocations[&id].attempts.is_empty();
        if is_first && !self.take_from_ceiling(id) {
            return self.throttle(id, RejectReason::Ceiling);
        }
        let invocation = &self.invocations[&id];
        let remaining_s = self.objective_remaining_s(invocation);
        let may_retry = self.may_retry_after_next(invocation);
        let timeout = self.attempt_timeout(invocation, may_retry, remaining_s);
        self.record_sent(id, backend_id);
        let earned = if is_first { HEDGE_RATIO } else { 0.0 };
        self.hedge_budget = (self.hedge_budget + earned).min(1.0 / HEDGE_RATIO);
        self.set_attempt_timers(id, may_retry, remaining_s);
        self.actions.push(Action::SendAttempt {
            invocation_id: id,
            backend_id,
            timeout,
        });
    }

    fn objective_remaining_s(&self, invocation: &PendingInvocation) -> f64 {
        let objective = self.objective(invocation);
        objective.saturating_sub(self.now).as_secs_f64()
    }

    /// Takes the units of an invocation from this gateway's share of the customer's ceiling.
    /// Returns `false` if too few are left.
    fn take_from_ceiling(&mut self, id: InvocationId) -> bool {
        let request = &self.invocations[&id].request;
        let plan = self.settings.plans.get(request.plan.0);
        let Some(plan) = plan.filter(|plan| plan.ceiling_rate > 0.0) else {
            return true;
        };
        let customer = self.customers.get_mut(&request.customer);
        let customer = customer.expect("customer is registered");
        let since_s = (self.now - customer.ceiling_at).as_secs_f64();
        let earned = plan.ceiling_rate * customer.ceiling_share * since_s;
        let max_units = plan.ceiling_burst * customer.ceiling_share;
        customer.ceiling_units = (customer.ceiling_units + earned).min(max_units);
        customer.ceiling_at = self.now;
        if customer.ceiling_units < request.units {
            return false;
        }
        customer.ceiling_units -= request.units;
        true
    }

    /// Returns whether another attempt may follow the next one.
    fn may_retry_after_next(&self, invocation: &PendingInvocation) -> bool {
        let operation = &self.settings.operations[invocation.request.operation.0];
        operation.repeat != RepeatMode::NonIdempotent
            && (invocation.attempts.len() as u32) + 1 < invocation.max_attempts
            && !invocation.request.body_pending
    }

    /// Returns the timeout of the next attempt. There is one only if a retry may follow and has
    /// enough time left.
    fn attempt_timeout(
        &self,
        invocation: &PendingInvocation,
        may_retry: bool,
        remaining_s: f64,
    ) -> Option<Duration> {
        let operation = invocation.request.operation;
        let typical_s = self.expected_s(TYPICAL_QUANTILE, operation);
        let slow_s = self.expected_s(SLOW_QUANTILE, operation);
        let timeout_s = (TIMEOUT_FACTOR * slow_s).max(remaining_s - TIMEOUT_FACTOR * typical_s);
        let has_time = timeout_s + typical_s < remaining_s;
        let sets_timeout = may_retry && !self.settings.limits.may_hedge && has_time;
        sets_timeout.then(|| Duration::from_secs_f64(timeout_s))
    }

    /// Records a sent attempt with the backend, the invocation and the customer.
    fn record_sent(&mut self, id: InvocationId, backend_id: BackendId) {
        let backend = &self.backends[&backend_id];
        let credit = self.warm_up_credit(backend, self.warm_up_fraction(&backend.entry));
        let backend = self.backends.get_mut(&backend_id).expect("backend exists");
        let invocation = self.invocations.get_mut(&id).expect("invocation is open");
        backend.credit = credit - invocation.request.units;
        backend.credit_at = self.now;
        backend.in_flight += 1;
        invocation.attempts.push(Attempt {
            backend_id,
            zone: backend.entry.zone,
            cell: backend.entry.cell,
            sent_at: self.now,
            in_flight: true,
            proves_not_executed: false,
        });
        self.queue.remove(&(invocation.arrived, id));
        if let Some(customer) = self.customers.get_mut(&invocation.request.customer) {
            customer.in_flight += 1;
        }
    }

    fn set_attempt_timers(&mut self, id: InvocationId, may_retry: bool, remaining_s: f64) {
        let invocation = &self.invocations[&id];
        let request = &invocation.request;
        let operation = &self.settings.operations[request.operation.0];
        if may_retry && self.settings.limits.may_hedge && !operation.streamed {
            let hedge_at = self.now + Duration::from_secs_f64(HEDGE_AFTER_FRACTION * remaining_s);
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

    /// Handles the end of an attempt and updates the statistics of the backend and of the fleet.
    pub(super) fn record_attempt_end(
        &mut self,
        id: InvocationId,
        number: AttemptNumber,
        backend_id: BackendId,
        outcome: Outcome,
        latency: Duration,
    ) {
        let Some(invocation) = self.invocations.get_mut(&id) else {
            return;
        };
        self.mean_attempt_s += (latency.as_secs_f64() - self.mean_attempt_s) / MEAN_SAMPLES;
        let attempt = invocation.attempts.get_mut(number.0 as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else {
            return;
        };
        attempt.in_flight = false;
        attempt.proves_not_executed = outcome.proves_not_executed();
        let request = &invocation.request;
        let (operation, units, plan) = (request.operation, request.units, request.plan);
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.in_flight -= 1;
        }
        if outcome == Outcome::Ok {
            self.adjust_concurrency_limit(operation, latency);
            self.record_success(backend_id, operation, units, latency);
        }
        self.record_outcome(backend_id, plan, outcome, latency);
        if outcome == Outcome::Failed {
            self.record_unanswered(backend_id, operation);
        }
    }

    /// Records a successful answer: its latency, its units if the backend is warm, and the lower
    /// unanswered rate.
    fn record_success(
        &mut self,
        backend_id: BackendId,
        operation: OperationId,
        units: f64,
        latency: Duration,
    ) {
        if !self.backends.contains_key(&backend_id) {
            return;
        }
        self.latencies[operation.0].record(latency);
        let is_warm = |backend: &&BackendState| {
            backend.entry.health == Health::Up && self.warm_up_fraction(&backend.entry) >= 1.0
        };
        if is_warm(&&self.backends[&backend_id]) {
            let warm_backends = self.backends.values().filter(is_warm).count();
            self.warm_throughput
                .add(units / warm_backends.max(1) as f64);
        }
        if let Some(backend) = self.backends.get_mut(&backend_id)
            && let Some(unanswered) = backend.unanswered_rates.get_mut(&operation)
        {
            unanswered.rate *= REFUSAL_WEIGHT;
        }
    }

    fn record_outcome(
        &mut self,
        backend_id: BackendId,
        plan: PlanId,
        outcome: Outcome,
        latency: Duration,
    ) {
        let Some(backend) = self.backends.get_mut(&backend_id) else {
            return;
        };
        backend.in_flight -= 1;
        match outcome {
            Outcome::Ok => {
                backend.latency.record(latency, BACKEND_SAMPLES);
                backend.failures = 0;
                if let Some(refusal_rate) = backend.refusal_rates.get_mut(&plan) {
                    *refusal_rate *= REFUSAL_WEIGHT;
                }
            }
            Outcome::TimedOut => backend.latency.record(latency, BACKEND_SAMPLES),
            // A backend may refuse the work of one plan and accept that of others, so that only
            // this plan's work is moved elsewhere.
            Outcome::Full => {
                let refusal_rate = backend.refusal_rates.entry(plan).or_default();
                *refusal_rate += REFUSAL_WEIGHT * (1.0 - *refusal_rate);
            }
            Outcome::ConnectFailed => {
                let doublings = backend.failures.min(MAX_BACKOFF_DOUBLINGS);
                let backoff = (FIRST_BACKOFF * 2u32.pow(doublings)).min(MAX_BACKOFF);
                backend.failures += 1;
                backend.blocked_until = backend.blocked_until.max(self.now + backoff);
            }
            // A reset is a fault of the network path, not of the backend.
            Outcome::Reset | Outcome::Failed | Outcome::Canceled | Outcome::Ignored => {}
        }
    }

    /// If no attempt is in flight, queues the invocation again where a further attempt can succeed,
    /// else sends the final answer.
    pub(super) fn retry_or_finish(&mut self, id: InvocationId) {
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
        let remaining_s = until.saturating_sub(self.now).as_secs_f64();
        let mut backends = self.backends.values();
        let can_send = backends.any(|backend| self.may_send(invocation, backend));
        if can_send && remaining_s > self.expected_s(MEDIAN, operation) {
            self.insert_into_queue(id, until);
        } else {
            self.throttle(id, RejectReason::AttemptsExhausted);
        }
    }

    /// Handles the start of a streamed answer: the client already receives it, so no deadline
    /// applies and no further attempt is sent.
    pub(super) fn handle_stream_started(&mut self, id: InvocationId) {
        let Some(invocation) = self.invocations.get_mut(&id) else {
            return;
        };
        invocation.is_streaming = true;
        self.queue.remove(&(invocation.arrived, id));
    }

    /// Sends a hedge if the only attempt in flight takes too long. No hedge is sent while
    /// invocations are queued.
    pub(super) fn hedge(&mut self, id: InvocationId) {
        let Some(invocation) = self.invocations.get(&id) else {
            return;
        };
        let remaining_s = self.objective_remaining_s(invocation);
        let has_time = remaining_s > self.expected_s(MEDIAN, invocation.request.operation);
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
