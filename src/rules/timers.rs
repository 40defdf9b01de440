//! What is due, by time.

use std::time::Duration;

use super::Rules;
use crate::interface::{Action, InvocationId, RejectReason};

/// While work waits in the queue, it is looked through at least this often: blocked backends come free by time.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The longest time that the front end's timer is set to.
const LONGEST_TIMER: Duration = Duration::from_secs(60);
const SHORTEST_TIMER: Duration = Duration::from_nanos(1);
const TOKEN: &str = "due";

/// What is due at a time; of one time, in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The final answer goes out at the latest.
    FinalAnswer(InvocationId),
    /// One that has waited in the queue since then can't be answered in time any more.
    QueueTimeout(InvocationId, Duration),
    /// A second copy may go out.
    Hedge(InvocationId),
    /// An attempt takes too long.
    SlowAttempt(InvocationId, usize),
    /// The queue is looked through.
    QueueCheck,
    /// The list of backends is asked for.
    WatchBackendList,
}

impl Rules {
    /// Runs what is due; drops what is over and will never be: left there, each would wake a gateway for nothing.
    pub(super) fn run_timers(&mut self) {
        while let Some(&(at, timer)) = self.timers.first() {
            let is_live = self.is_live(timer, at);
            if is_live && at > self.now {
                return;
            }
            self.timers.pop_first();
            if is_live {
                self.run_timer(timer);
            }
        }
    }

    fn is_live(&self, timer: Timer, at: Duration) -> bool {
        match timer {
            Timer::FinalAnswer(id) => self.invocations.get(&id).is_some_and(|invocation| {
                !invocation.is_streaming && at >= self.last_answer_at(invocation)
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
            Timer::FinalAnswer(id) => self.throttle(id, RejectReason::Time),
            Timer::QueueTimeout(id, _) => self.throttle(id, RejectReason::Waited),
            Timer::Hedge(id) => self.hedge(id),
            Timer::SlowAttempt(id, attempt) => {
                let invocation = &self.invocations[&id];
                let backend_id = invocation.attempts[attempt].backend_id;
                self.note_unanswered(backend_id, invocation.request.operation);
            }
            Timer::QueueCheck => {}
            Timer::WatchBackendList => {
                self.actions.push(Action::WatchBackendList { on: true });
            }
        }
    }

    /// Sets the front end's timer to the next that is due.
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
        let after = at.saturating_sub(now).clamp(SHORTEST_TIMER, LONGEST_TIMER);
        self.armed_until = Some(now + after);
        self.actions.push(Action::SetTimer {
            after,
            token: TOKEN.into(),
        });
    }
}
