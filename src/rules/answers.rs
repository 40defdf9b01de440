//! Final answers, and the cleanup after an invocation.

use std::time::Duration;

use super::invocation::PendingInvocation;
use super::timers::Timer;
use super::{MEDIAN, Rules};
use crate::interface::{Action, AttemptNumber, InvocationId, RejectReason};

/// Lower bound for the interval between two batches of events.
const MIN_TICK: Duration = Duration::from_millis(1);

impl Rules {
    /// Returns the latest time for the final answer: one batch of events before the deadline, as the
    /// next batch would be too late.
    pub(super) fn answer_deadline(&self, invocation: &PendingInvocation) -> Duration {
        let tick = self.settings.tick.max(MIN_TICK);
        invocation.request.deadline.saturating_sub(tick)
    }

    /// Sends the final answer: a throttling reply if the operation permits one, else an error.
    pub(super) fn throttle(&mut self, invocation_id: InvocationId, reason: RejectReason) {
        let invocation = &self.invocations[&invocation_id];
        if self.may_throttle(invocation) {
            let retry_after = self.retry_after(invocation);
            self.actions.push(Action::Throttle {
                invocation_id,
                retry_after,
                reason,
            });
        } else {
            self.actions.push(Action::Fail { invocation_id });
        }
        self.remove_invocation(invocation_id);
    }

    /// Returns the advised retry delay: until the quota has room, but at least the median latency
    /// and at most the longest delay that the deployment permits. `None` if it permits none.
    fn retry_after(&self, invocation: &PendingInvocation) -> Option<Duration> {
        let longest = self.settings.limits.max_retry_after?;
        let request = &invocation.request;
        let plan = self.settings.plans.get(request.plan.0);
        let quota = plan.filter(|plan| plan.rate > 0.0 && !invocation.is_admitted);
        let mut excess_s = 0.0;
        if let Some(plan) = quota
            && let Some(customer) = self.customers.get(&request.customer)
        {
            let expected_usage = self.expected_usage(customer, request.is_retry);
            let excess = self.window_sum(customer, expected_usage) + request.units - plan.burst;
            excess_s = excess / plan.rate;
        }
        let expected_s = self.expected_s(MEDIAN, request.operation);
        Some(Duration::from_secs_f64(excess_s.max(expected_s)).min(longest))
    }

    /// Removes an invocation: releases its units and cancels its attempts.
    pub(super) fn remove_invocation(&mut self, invocation_id: InvocationId) {
        self.release_quota(invocation_id);
        let Some(invocation) = self.invocations.remove(&invocation_id) else {
            return;
        };
        self.queue.remove(&(invocation.arrived, invocation_id));
        for (number, attempt) in invocation.in_flight() {
            if self.settings.limits.may_cancel && !invocation.is_streaming {
                self.actions.push(Action::CancelAttempt {
                    invocation_id,
                    attempt: AttemptNumber(number as u32),
                });
            }
            if let Some(backend) = self.backends.get_mut(&attempt.backend_id) {
                backend.in_flight -= 1;
            }
        }
        let Some(customer) = self.customers.get_mut(&invocation.request.customer) else {
            return;
        };
        customer.open_invocations -= 1;
        customer.used_at = self.now;
        customer.in_flight -= invocation.in_flight().count() as u32;
        // Refused units are counted only after the decision, so that an invocation is no evidence
        // against itself. A retry is not counted, as it requests the same units again.
        let is_refused = !invocation.is_admitted && !invocation.request.is_retry;
        if is_refused && invocation.slot >= customer.oldest_slot {
            let slot = customer.slots.entry(invocation.slot).or_default();
            slot.refused += invocation.quota_units;
        }
    }

    /// Handles the end of the request body: the client's deadline and the timers of the attempts
    /// start now.
    pub(super) fn handle_body_complete(&mut self, invocation_id: InvocationId, deadline: Duration) {
        let pending = self.invocations.get_mut(&invocation_id);
        let Some(invocation) = pending.filter(|invocation| invocation.request.body_pending) else {
            return;
        };
        invocation.request.body_pending = false;
        invocation.request.deadline = deadline;
        invocation.timed_from = self.now;
        let invocation = &self.invocations[&invocation_id];
        let operation = &self.settings.operations[invocation.request.operation.0];
        let slow_at = self.now + operation.latency_objective;
        let slow = invocation.in_flight();
        self.timers
            .extend(slow.map(|(number, _)| (slow_at, Timer::SlowAttempt(invocation_id, number))));
        let answer_by = self.answer_deadline(invocation);
        self.timers
            .insert((answer_by, Timer::FinalAnswer(invocation_id)));
    }
}
