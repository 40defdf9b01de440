//! The queue: which invocations wait for a backend, and for how long.

use std::time::Duration;

use super::Rules;
use super::invocation::PendingInvocation;
use super::timers::Timer;
use crate::interface::{InvocationId, OperationId, RejectReason};

/// Fraction of an invocation's remaining time that the expected wait may take. With a longer wait,
/// what remains does not suffice for an answer in time.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// Number of invocations without a suitable backend after which the queue is not searched further.
const MAX_MISSES: u32 = 3;

impl Rules {
    /// Returns whether an answer in time is unlikely: the answers themselves take too long, or the
    /// expected wait would use up too much of the remaining time of an invocation.
    pub(super) fn is_queue_too_long(&self, id: InvocationId) -> bool {
        let invocation = &self.invocations[&id];
        let objective = self.objective(invocation);
        let remaining_s = objective.saturating_sub(self.now).as_secs_f64();
        self.is_answer_too_slow(invocation.request.operation, remaining_s)
            || self.is_wait_too_long(invocation, remaining_s)
    }

    /// Returns whether answers to an operation are likely to take longer than the remaining time.
    /// Only its own answers tell, so one invocation of it is sent at a time however slow the last
    /// ones were, whatever else is in flight.
    fn is_answer_too_slow(&self, operation: OperationId, remaining_s: f64) -> bool {
        self.likely_s(operation) > remaining_s && self.is_operation_in_flight(operation)
    }

    fn is_operation_in_flight(&self, operation: OperationId) -> bool {
        let mut invocations = self.invocations.values();
        invocations.any(|invocation| {
            invocation.request.operation == operation && invocation.is_in_flight()
        })
    }

    fn is_wait_too_long(&self, invocation: &PendingInvocation, remaining_s: f64) -> bool {
        let request = &invocation.request;
        let in_flight = self.in_flight();
        let wait_s = self.queue.len() as f64 * self.mean_s(request.operation)
            / in_flight.max(self.local_concurrency_limit());
        let usable_s = if request.is_retry {
            self.first_try_remaining_s(invocation).min(remaining_s)
        } else {
            remaining_s
        };
        in_flight > 0.0 && wait_s > MAX_WAIT_FRACTION * usable_s
    }

    /// Returns the time left of the objective of the client's first try. Retries have a lower
    /// priority while other work waits.
    fn first_try_remaining_s(&self, invocation: &PendingInvocation) -> f64 {
        let request = &invocation.request;
        let operation = &self.settings.operations[request.operation.0];
        let client_wait = request.deadline.saturating_sub(invocation.arrived);
        let spent_before = operation.integration_timeout.saturating_sub(client_wait);
        let left = operation.latency_objective.saturating_sub(spent_before);
        left.as_secs_f64()
    }

    /// Queues an admitted invocation if an answer in time is likely, else rejects it.
    pub(super) fn enqueue(&mut self, id: InvocationId) {
        let until = self.objective(&self.invocations[&id]);
        if self.is_queue_too_long(id) {
            self.throttle(id, RejectReason::QueueTooLong);
        } else {
            self.insert_into_queue(id, until);
        }
    }

    /// Queues an invocation until an answer by `until` is no longer likely.
    pub(super) fn insert_into_queue(&mut self, id: InvocationId, until: Duration) {
        let invocation = &self.invocations[&id];
        let arrived = invocation.arrived;
        let likely_s = self.likely_s(invocation.request.operation);
        let timeout = until.saturating_sub(Duration::from_secs_f64(likely_s));
        self.queue.insert((arrived, id));
        let timer = Timer::QueueTimeout(id, arrived);
        self.timers.insert((timeout.max(self.now), timer));
    }

    /// Sends queued invocations while the backends have capacity.
    pub(super) fn send_queued(&mut self) {
        let mut next = self.queue.first().copied();
        let mut misses = 0;
        while let Some((arrived, id)) = next {
            if misses >= MAX_MISSES || self.in_flight() >= self.local_concurrency_limit() {
                return;
            }
            let following = (arrived, InvocationId(id.0 + 1));
            next = self.queue.range(following..).next().copied();
            if self.is_at_in_flight_cap(&self.invocations[&id]) {
                continue;
            }
            match self.choose_backend(id) {
                Some(backend_id) => self.send_attempt(id, backend_id),
                None => misses += 1,
            }
        }
    }

    /// Returns whether the customer has reached this gateway's share of the plan's cap on attempts
    /// in flight. The share is at least one attempt.
    fn is_at_in_flight_cap(&self, invocation: &PendingInvocation) -> bool {
        let request = &invocation.request;
        let plan = self.settings.plans.get(request.plan.0);
        let Some(plan) = plan.filter(|plan| plan.max_in_flight > 0.0 && plan.rate > 0.0) else {
            return false;
        };
        let customer = &self.customers[&request.customer];
        let in_flight_share = plan.max_in_flight * customer.local_share(plan.burst);
        f64::from(customer.in_flight) >= in_flight_share.round().max(1.0)
    }
}
