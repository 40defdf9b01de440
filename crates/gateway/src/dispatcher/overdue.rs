//! An attempt whose time is over while its client still waits.
//!
//! The decision module is told that it timed out, so that another attempt may follow. Its connection stays open until
//! that one is written to a connection of its own: where none can be (the retry budget is used up, no backend has a free place), the answer that is
//! still on its way is worth more than an error, and cutting off work in order to report a failure helps nobody. While
//! the program is told to end, nothing that a backend works on is given up before its client's time is over.

use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::{AttemptNumber, Event, InvocationId, Outcome};

use super::{Dispatcher, InFlightAttempt, PendingRequest, Timer};
use crate::attempts::Ending;
use crate::messages::{Answer, AttemptEnded, CancelHandle};

/// Where no other attempt follows, an overdue one may take this many times as long again as it has taken, and half of
/// what is left of its client's time at most: the rest is for a further try of the client itself.
const EXTRA_TIME_FACTOR: u32 = 2;
const TIME_LEFT_DIVISOR: u32 = 2;

/// An attempt that is overdue and still open.
pub(super) struct Overdue {
    number: AttemptNumber,
    attempt: InFlightAttempt,
    until: Duration,
    /// The answer that the client gets where this attempt brings none: the decision module has no other.
    failure: Option<Answer>,
}

impl Overdue {
    pub(super) fn cancel_handle(&self) -> Rc<CancelHandle> {
        self.attempt.cancel_handle.clone()
    }

    pub(super) fn cancel(self) {
        self.attempt.cancel_handle.cancel();
    }
}

impl Dispatcher {
    /// The time for an attempt is over: the one that the decision module set for it, or its client's.
    pub(super) fn timed_out(&mut self, invocation_id: InvocationId, number: AttemptNumber) {
        let now = self.clock.now();
        let Some(request) = self.state.requests.get(&invocation_id) else {
            return;
        };
        let deadline = request.deadline;
        let clients_time_is_over = now >= deadline || request.answer.is_none();
        if !clients_time_is_over && self.must_not_cancel() {
            return self.extend_timeout(invocation_id, number, deadline);
        }
        let Some(attempt) = self.take_attempt(invocation_id, number) else {
            return;
        };
        if clients_time_is_over || self.attempt_policy.is_none() {
            attempt.cancel_handle.cancel();
            return self.attempt_ended(invocation_id, number, &attempt, Outcome::TimedOut, vec![]);
        }
        let event = self.outcome_event(invocation_id, number, &attempt, Outcome::TimedOut, vec![]);
        self.notify_policy(&attempt, Outcome::TimedOut);
        let again = now.saturating_sub(attempt.sent) * EXTRA_TIME_FACTOR;
        let until = now + again.min((deadline - now) / TIME_LEFT_DIVISOR);
        if let Some(request) = self.state.requests.get_mut(&invocation_id) {
            let before = request.overdue.replace(Overdue {
                number,
                attempt,
                until,
                failure: None,
            });
            before.into_iter().for_each(Overdue::cancel);
        }
        self.handle_event(event);
    }

    /// Whether what a backend may work on must be left to it until its client's time is over.
    fn must_not_cancel(&self) -> bool {
        let policy = self.attempt_policy.as_ref();
        policy.is_some_and(|policy| !policy.may_cancel())
    }

    fn extend_timeout(
        &mut self,
        invocation_id: InvocationId,
        number: AttemptNumber,
        until: Duration,
    ) {
        let Some(request) = self.state.requests.get_mut(&invocation_id) else {
            return;
        };
        if let Some(Some(attempt)) = request.in_flight.get_mut(number.0 as usize) {
            attempt.until = until;
            self.state
                .timers
                .insert((until, Timer::AttemptTimeout(invocation_id, number)));
        }
    }

    /// Keeps a failure back where an overdue attempt may still bring an answer; else it comes back, to be told.
    pub(super) fn defer_failure(
        &mut self,
        invocation_id: InvocationId,
        failure: Answer,
    ) -> Option<Answer> {
        let now = self.clock.now();
        let must_not_cancel = self.must_not_cancel();
        let Some(request) = self.state.requests.get_mut(&invocation_id) else {
            return Some(failure);
        };
        let deadline = request.deadline;
        let Some(overdue) = request.overdue.as_mut() else {
            return Some(failure);
        };
        if must_not_cancel {
            overdue.until = deadline;
        }
        if now >= overdue.until {
            return Some(failure);
        }
        overdue.failure = Some(failure);
        self.state
            .timers
            .insert((overdue.until, Timer::OverdueEnd(invocation_id)));
        None
    }

    /// The time for an overdue attempt is over too.
    pub(super) fn overdue_timed_out(&mut self, invocation_id: InvocationId) {
        let now = self.clock.now();
        let must_not_cancel = self.must_not_cancel();
        let Some(request) = self.state.requests.get_mut(&invocation_id) else {
            return;
        };
        let deadline = request.deadline;
        let Some(overdue) = request.overdue.as_mut().filter(|o| o.failure.is_some()) else {
            return;
        };
        if must_not_cancel && now < deadline {
            overdue.until = deadline;
            self.state
                .timers
                .insert((deadline, Timer::OverdueEnd(invocation_id)));
            return;
        }
        let failure = overdue.failure.take();
        self.finish_with(invocation_id, failure);
    }

    /// How an attempt ended that was overdue.
    pub(super) fn overdue_done(
        &mut self,
        AttemptEnded {
            invocation_id,
            number,
            ending,
            response,
            ..
        }: AttemptEnded,
    ) {
        let Some(request) = self.state.requests.get_mut(&invocation_id) else {
            return;
        };
        let Some(mut overdue) = request.overdue.take_if(|o| o.number == number) else {
            return;
        };
        let known_failure = overdue.failure.take();
        let undecided = known_failure.is_none();
        let answer = match (ending, response) {
            (Ending::Succeeded, Some(response)) => Some(Answer::Succeeded(response)),
            (Ending::NotExecuted(proof), _) => {
                request.attempts.not_executed(number, proof);
                known_failure.map(|failure| with_known_attempts(failure, request))
            }
            // A failure of the backend's own says more than one of ours.
            (_, Some(response)) if known_failure.is_some() => Some(Answer::Succeeded(response)),
            (_, Some(response)) => {
                request.fallback = Some(response);
                None
            }
            (_, None) => known_failure,
        };
        let succeeded = matches!(answer, Some(Answer::Succeeded(_)));
        self.finish_with(invocation_id, answer);
        if undecided && succeeded {
            // The decision module still looks for another attempt.
            self.handle_event(Event::ClientGone { invocation_id });
        }
    }

    fn finish_with(&mut self, invocation_id: InvocationId, answer: Option<Answer>) {
        if let Some(answer) = answer {
            self.answer(invocation_id, answer);
            self.forget_if_finished(invocation_id);
        }
    }
}

/// A failure by what is known of its request's attempts now.
fn with_known_attempts(failure: Answer, request: &PendingRequest) -> Answer {
    match failure {
        Answer::Throttled { after, reason, .. } => Answer::Throttled {
            after,
            reason,
            none_executed: request.attempts.none_executed(),
        },
        other => other,
    }
}
