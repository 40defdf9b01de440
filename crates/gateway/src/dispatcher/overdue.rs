//! Overdue attempts: attempts that have timed out while their clients still wait.
//!
//! The decision module is told that the attempt timed out, so that it may start another. The overdue attempt's
//! connection stays open until the next attempt is written to its own connection. If no attempt follows (the retry
//! budget is used up, or no backend has a free slot), a late response is still better for the client than an error.
//! During a shutdown no attempt that a backend works on is cancelled before its client's deadline.

use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::{AttemptNumber, Event, InvocationId, Outcome};

use super::{Dispatcher, InFlightAttempt, PendingRequest, Timer};
use crate::attempts::Ending;
use crate::messages::{Answer, AttemptEnded, CancelHandle};

/// If no other attempt follows, an overdue attempt may run on for `EXTRA_TIME_FACTOR * elapsed`, but for no more than
/// `time_left / TIME_LEFT_DIVISOR`: the rest of the client's time is left for a retry by the client.
const EXTRA_TIME_FACTOR: u32 = 2;
const TIME_LEFT_DIVISOR: u32 = 2;

/// An attempt that is overdue and still open.
pub(super) struct Overdue {
    number: AttemptNumber,
    attempt: InFlightAttempt,
    /// When the attempt is given up, as Unix time.
    until: Duration,
    /// The decision module's final answer, sent to the client if this attempt brings no response.
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
    /// Handles the timeout of an attempt: the one set by the decision module, or the client's deadline.
    pub(super) fn attempt_timed_out(&mut self, invocation_id: InvocationId, number: AttemptNumber) {
        let now = self.clock.now();
        let Some(request) = self.state.requests.get(&invocation_id) else {
            return;
        };
        let deadline = request.deadline;
        let client_stopped_waiting = now >= deadline || request.answer.is_none();
        if !client_stopped_waiting && self.must_not_cancel() {
            return self.extend_timeout(invocation_id, number, deadline);
        }
        let Some(attempt) = self.take_attempt(invocation_id, number) else {
            return;
        };
        if client_stopped_waiting || self.attempt_policy.is_none() {
            attempt.cancel_handle.cancel();
            return self.attempt_ended(invocation_id, number, &attempt, Outcome::TimedOut, vec![]);
        }
        let event = self.outcome_event(invocation_id, number, &attempt, Outcome::TimedOut, vec![]);
        self.notify_policy(&attempt, Outcome::TimedOut);
        let extra_time = now.saturating_sub(attempt.sent) * EXTRA_TIME_FACTOR;
        let until = now + extra_time.min((deadline - now) / TIME_LEFT_DIVISOR);
        if let Some(request) = self.state.requests.get_mut(&invocation_id) {
            let previous = request.overdue.replace(Overdue {
                number,
                attempt,
                until,
                failure: None,
            });
            previous.into_iter().for_each(Overdue::cancel);
        }
        self.handle_event(event);
    }

    /// Returns whether attempts that a backend may be working on must not be cancelled before the client's deadline.
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

    /// Holds a failure back while an overdue attempt may still bring a response; returns the failure if none may.
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

    /// Handles the end of an overdue attempt's extra time: sends the failure that was held back.
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

    /// Handles the result of an overdue attempt.
    pub(super) fn overdue_ended(
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
                request.attempts.record_not_executed(number, proof);
                known_failure.map(|failure| with_known_attempts(failure, request))
            }
            // The backend's error response tells the client more than the gateway's own.
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
            // The decision module still waits to start another attempt.
            self.handle_event(Event::ClientDisconnected { invocation_id });
        }
    }

    fn finish_with(&mut self, invocation_id: InvocationId, answer: Option<Answer>) {
        if let Some(answer) = answer {
            self.answer(invocation_id, answer);
            self.forget_if_finished(invocation_id);
        }
    }
}

/// Updates `none_executed` of a failure that was held back to the current state of the request's attempts.
fn with_known_attempts(failure: Answer, request: &PendingRequest) -> Answer {
    match failure {
        Answer::Throttled {
            retry_after,
            reason,
            ..
        } => Answer::Throttled {
            retry_after,
            reason,
            none_executed: request.attempts.proof(),
        },
        other => other,
    }
}
