//! Timers, ordered by time.

use std::time::Duration;

use super::Rules;
use crate::interface::{Action, InvocationId, RejectReason};

/// Interval at which a non-empty queue is searched. Blocked backends become usable without an
/// event.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Upper and lower bounds for the front end's timer.
const MAX_TIMER: Duration = Duration::from_secs(60);
const MIN_TIMER: Duration = Duration::from_nanos(1);
/// Token of every timer; the module needs none to tell timers apart.
const TOKEN: &str = "due";

/// An event due at some time. Timers of the same time run in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The latest time for the final answer.
    FinalAnswer(InvocationId),
    /// An invocation queued since the given time can no longer be answered in time.
    QueueTimeout(InvocationId, Duration),
    /// A hedge may be sent.
    Hedge(InvocationId),
    /// An attempt takes too long.
    SlowAttempt(InvocationId, usize),
    /// The queue is searched.
    QueueCheck,
    /// The list of backends is requested.
    WatchBackendList,
}

impl Rules {
    /// Runs the timers that are due, and removes obsolete ones at the front. Obsolete timers would
    /// wake up the gateway for nothing.
    pub(super) fn run_timers(&mut self) {
        while let Some(&(at, timer)) = self.timers.first() {
            let applies = self.still_applies(timer, at);
            if applies && at > self.now {
                return;
            }
            self.timers.pop_first();
            if applies {
                self.run_timer(timer);
            }
        }
    }

    fn still_applies(&self, timer: Timer, at: Duration) -> bool {
        match timer {
            Timer::FinalAnswer(id) => self.invocations.get(&id).is_some_and(|invocation| {
                !invocation.is_streaming && at >= self.answer_deadline(invocation)
            }),
            Timer::QueueTimeout(id, arrived) => self.queue.contains(&(arrived, id)),
            Timer::Hedge(id) => self.invocations.contains_key(&id),
            Timer::SlowAttempt(id, attempt) => {
                self.invocations.get(&id).is_some_and(|invocation| {
                    !invocation.is_streaming && invocation.attempts[attempt].in_flight
                })
            }
            Timer::QueueCheck => !self.queue.is_empty(),
            Timer::WatchBackendList => true,
        }
    }

    fn run_timer(&mut self, timer: Timer) {
        match timer {
            Timer::FinalAnswer(id) => self.throttle(id, RejectReason::DeadlineReached),
            Timer::QueueTimeout(id, _) => self.throttle(id, RejectReason::QueueTimeout),
            Timer::Hedge(id) => self.hedge(id),
            Timer::SlowAttempt(id, attempt) => {
                let invocation = &self.invocations[&id];
                let backend_id = invocation.attempts[attempt].backend_id;
                self.record_unanswered(backend_id, invocation.request.operation);
            }
            Timer::QueueCheck => {}
            Timer::WatchBackendList => {
                self.actions.push(Action::WatchBackendList { on: true });
            }
        }
    }

    /// Sets the front end's timer to the next timer that is due.
    pub(super) fn arm_timer(&mut self) {
        let next_check = self.now + QUEUE_CHECK_INTERVAL;
        let first = self.timers.first();
        if !self.queue.is_empty() && first.is_none_or(|(at, _)| *at > next_check) {
            self.timers.insert((next_check, Timer::QueueCheck));
        }
        let Some(&(at, _)) = self.timers.first() else {
            return;
        };
        let now = self.now;
        let is_armed = |until: Duration| at >= until && until > now;
        if self.armed_until.is_some_and(is_armed) {
            return;
        }
        let after = at.saturating_sub(now).clamp(MIN_TIMER, MAX_TIMER);
        self.armed_until = Some(now + after);
        self.actions.push(Action::SetTimer {
            after,
            token: TOKEN.into(),
        });
    }
}
