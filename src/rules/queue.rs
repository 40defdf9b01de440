//! The queue: which invocations wait for a backend, and for how long.

use std::time::Duration;

use super::invocation::PendingInvocation;
use super::timers::Timer;
use super::{MEDIAN, Rules};
use crate::interface::{InvocationId, RejectReason};

/// Part of an invocation's time that the queue before it may take: more, and what it keeps is late.
const MAX_WAIT_PART: f64 = 0.25;
/// Invocations for which no backend was found, after which the queue is left.
const MAX_MISSES: u32 = 3;

impl Rules {
    /// Whether what stands in the queue before it would use up too much of its time.
    pub(super) fn is_queue_too_long(&self, id: InvocationId) -> bool {
        let invocation = &self.invocations[&id];
        let request = &invocation.request;
        let objective = self.objective(invocation);
        let left_s = objective.saturating_sub(self.now).as_secs_f64();
        let in_flight = self.in_flight();
        let wait_s = self.queue.len() as f64 * self.mean_s(request.operation)
            / in_flight.max(self.own_concurrency_limit());
        let usable_s = if request.repeat {
            self.first_try_left_s(invocation).min(left_s)
        } else {
            left_s
        };
        let expected_s = self.expected_s(MEDIAN, request.operation);
        // With nothing out nothing is learned any more: one goes to find out, however slow the last were.
        in_flight > 0.0 && (expected_s > left_s || wait_s > MAX_WAIT_PART * usable_s)
    }

    /// What is left of the objective of its client's first try: while work waits, a next try goes last.
    fn first_try_left_s(&self, invocation: &PendingInvocation) -> f64 {
        let request = &invocation.request;
        let operation = &self.settings.operations[request.operation.0];
        let own_time = request.deadline.saturating_sub(invocation.arrived);
        let spent = operation.integration_timeout.saturating_sub(own_time);
        let left = operation.latency_objective.saturating_sub(spent);
        left.as_secs_f64()
    }

    /// Puts an invocation that was let in into the queue, where it can be answered in time.
    pub(super) fn enqueue(&mut self, id: InvocationId) {
        let until = self.objective(&self.invocations[&id]);
        if self.is_queue_too_long(id) {
            self.throttle(id, RejectReason::Line);
        } else {
            self.wait_in_queue(id, until);
        }
    }

    /// It waits until it could not be answered by `until` any more.
    pub(super) fn wait_in_queue(&mut self, id: InvocationId, until: Duration) {
        let invocation = &self.invocations[&id];
        let arrived = invocation.arrived;
        let expected_s = self.expected_s(MEDIAN, invocation.request.operation);
        let timeout = until.saturating_sub(Duration::from_secs_f64(expected_s));
        self.queue.insert((arrived, id));
        let timer = Timer::QueueTimeout(id, arrived);
        self.timers.insert((timeout.max(self.now), timer));
    }

    /// Sends what waits, while backends take more.
    pub(super) fn send_queued(&mut self) {
        let mut next = self.queue.first().copied();
        let mut misses = 0;
        while let Some((arrived, id)) = next {
            if misses >= MAX_MISSES || self.in_flight() >= self.own_concurrency_limit() {
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

    /// A plan's cap on attempts out at once: this gateway's part of it, one at least.
    fn is_at_in_flight_cap(&self, invocation: &PendingInvocation) -> bool {
        let request = &invocation.request;
        let plan = self.settings.plans.get(request.plan.0);
        let Some(plan) = plan.filter(|plan| plan.max_in_flight > 0.0 && plan.rate > 0.0) else {
            return false;
        };
        let customer = &self.customers[&request.customer];
        let own_part = plan.max_in_flight * customer.own_share(plan.burst);
        f64::from(customer.in_flight) >= own_part.round().max(1.0)
    }
}
