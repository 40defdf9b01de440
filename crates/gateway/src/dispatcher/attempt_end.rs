//! The ends of attempts: their outcomes for the metrics, the attempt policy and the decision module.

use damsonbeam::interface::{AttemptNumber, Event, InvocationId, LoadReport, Outcome};

use super::{Dispatcher, InFlightAttempt, Timer};
use crate::attempts::Ending;
use crate::messages::{Answer, AttemptEnded};

impl Dispatcher {
    pub(super) fn handle_attempt_ended(&mut self, ended: AttemptEnded) {
        let (invocation_id, number) = (ended.invocation_id, ended.number);
        // The outcome of an attempt that timed out was already reported.
        let Some(attempt) = self.take_attempt(invocation_id, number) else {
            return self.overdue_ended(ended);
        };
        let AttemptEnded {
            ending,
            response,
            report,
            ..
        } = ended;
        let outcome = ending.outcome();
        let request = self.state.requests.get_mut(&invocation_id);
        if let (Ending::NotExecuted(proof), Some(request)) = (ending, request) {
            request.attempts.record_not_executed(number, proof);
        }
        match (response, self.state.requests.get_mut(&invocation_id)) {
            (Some(response), _) if outcome == Outcome::Ok => {
                self.answer(invocation_id, Answer::Succeeded(response));
            }
            (fallback @ Some(_), Some(request)) => request.fallback = fallback,
            _ => {}
        }
        self.attempt_ended(invocation_id, number, &attempt, outcome, report);
    }

    /// Removes an attempt from those in flight and returns it, if it is one of them.
    pub(super) fn take_attempt(
        &mut self,
        invocation_id: InvocationId,
        number: AttemptNumber,
    ) -> Option<InFlightAttempt> {
        let attempt = self
            .state
            .requests
            .get_mut(&invocation_id)?
            .in_flight
            .get_mut(number.0 as usize)?
            .take()?;
        // The timer would wake the gateway needlessly.
        self.state
            .timers
            .remove(&(attempt.until, Timer::AttemptTimeout(invocation_id, number)));
        Some(attempt)
    }

    /// Counts an attempt's outcome and returns the event that reports it. The event's `closed` is true if the invocation
    /// has its final answer.
    pub(super) fn outcome_event(
        &self,
        invocation_id: InvocationId,
        number: AttemptNumber,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        report: LoadReport,
    ) -> Event {
        self.metrics
            .deliveries
            .with_label_values(&[outcome_name(outcome)])
            .inc();
        let closed = self
            .state
            .requests
            .get(&invocation_id)
            .is_none_or(|request| request.answer.is_none());
        let latency = self.clock.now().saturating_sub(attempt.sent);
        Event::AttemptEnded {
            invocation_id,
            attempt: number,
            backend_id: attempt.backend_id,
            outcome,
            latency,
            is_finished: closed,
            metered_use: None,
            actual_units: None,
            report,
        }
    }

    pub(super) fn attempt_ended(
        &mut self,
        invocation_id: InvocationId,
        number: AttemptNumber,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        report: LoadReport,
    ) {
        self.notify_policy(attempt, outcome);
        let event = self.outcome_event(invocation_id, number, attempt, outcome, report);
        self.handle_event(event);
        self.forget_if_finished(invocation_id);
    }

    /// Reports the end of an attempt that was sent to the attempt policy.
    pub(super) fn notify_policy(&mut self, attempt: &InFlightAttempt, outcome: Outcome) {
        if let Some(attempt_policy) = &mut self.attempt_policy {
            let now = self.clock.now();
            attempt_policy.after_attempt(
                attempt.backend_id,
                outcome,
                now.saturating_sub(attempt.sent),
                now,
            );
        }
    }

    /// Queues the event for an attempt that an action ended, to be handled after all actions of the current event.
    pub(super) fn queue_ended(
        &mut self,
        invocation_id: InvocationId,
        number: AttemptNumber,
        attempt: &InFlightAttempt,
        outcome: Outcome,
    ) {
        let event = self.outcome_event(invocation_id, number, attempt, outcome, vec![]);
        self.state.follow_up_events.push_back(event);
    }
}

/// Returns an outcome's value of the metrics' label `outcome`.
pub(super) fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Failed => "failed",
        Outcome::Full => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Canceled => "canceled",
        Outcome::Ignored => "ignored",
    }
}
