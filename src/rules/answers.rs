//! The final answers, and what an invocation that is over leaves behind.

use std::time::Duration;

use super::invocation::PendingInvocation;
use super::timers::Timer;
use super::{MEDIAN, Rules};
use crate::interface::{Action, AttemptNumber, InvocationId, RejectReason};

/// A batch of events comes this often at least.
const MIN_TICK: Duration = Duration::from_millis(1);

impl Rules {
    /// When an invocation's final answer goes out at the latest: a batch later is too late.
    pub(super) fn last_answer_at(&self, invocation: &PendingInvocation) -> Duration {
        let tick = self.settings.tick.max(MIN_TICK);
        invocation.request.deadline.saturating_sub(tick)
    }

    /// The final answer: throttled, where that may be said, else an error.
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
        self.forget(invocation_id);
    }

    /// When the client is to come back: once its quota has room, or a place is free.
    fn retry_after(&self, invocation: &PendingInvocation) -> Option<Duration> {
        let longest = self.settings.limits.retry_after?;
        let request = &invocation.request;
        let plan = self.settings.plans.get(request.plan.0);
        let quota = plan.filter(|plan| plan.rate > 0.0 && !invocation.is_admitted);
        let mut excess_s = 0.0;
        if let Some(plan) = quota
            && let Some(customer) = self.customers.get(&request.customer)
        {
            let pace = self.pace(customer, request.repeat);
            let excess = self.window_sum(customer, pace) + request.units - plan.burst;
            excess_s = excess / plan.rate;
        }
        let expected_s = self.expected_s(MEDIAN, request.operation);
        Some(Duration::from_secs_f64(excess_s.max(expected_s)).min(longest))
    }

    /// Forgets an invocation that is over: its units go back, its attempts are cancelled.
    pub(super) fn forget(&mut self, invocation_id: InvocationId) {
        self.undo(invocation_id);
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
        // Counted once decided, or it would be evidence against itself; a repeat asks for nothing more.
        let is_refused = !invocation.is_admitted && !invocation.request.repeat;
        if is_refused && invocation.slot >= customer.oldest_slot {
            let slot = customer.slots.entry(invocation.slot).or_default();
            slot.refused += invocation.quota_units;
        }
    }

    /// The last byte of its body is here: its client's time, and its attempts', run from now on.
    pub(super) fn body_complete(&mut self, invocation_id: InvocationId, deadline: Duration) {
        let pending = self.invocations.get_mut(&invocation_id);
        let Some(invocation) = pending.filter(|invocation| invocation.request.body_pending) else {
            return;
        };
        invocation.request.body_pending = false;
        invocation.request.deadline = deadline;
        invocation.time_from = self.now;
        let invocation = &self.invocations[&invocation_id];
        let operation = &self.settings.operations[invocation.request.operation.0];
        let slow_at = self.now + operation.latency_objective;
        let slow = invocation.in_flight();
        self.timers
            .extend(slow.map(|(number, _)| (slow_at, Timer::SlowAttempt(invocation_id, number))));
        let last_at = self.last_answer_at(invocation);
        self.timers
            .insert((last_at, Timer::FinalAnswer(invocation_id)));
    }
}
