//! Sends an attempt: takes its permit, asks the attempt policy and passes the attempt to the backend's actor.

use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::{AttemptNumber, BackendId, Event, InvocationId, ListUpdate, Outcome};

use super::{AttemptDecision, Dispatcher, InFlightAttempt, Overdue, Timer};
use crate::attempts::{NotExecuted, SendPermit};
use crate::log::log;
use crate::messages::{OutgoingAttempt, ToBackend};

impl Dispatcher {
    /// Sends an attempt if that is allowed; otherwise reports an outcome to the decision module.
    pub(super) fn send_attempt(
        &mut self,
        invocation_id: InvocationId,
        backend_id: BackendId,
        timeout: Option<Duration>,
    ) {
        let now = self.clock.now();
        let Some(request) = self.state.requests.get_mut(&invocation_id) else {
            return;
        };
        let number = request.attempts.next_number();
        let time_left = request.deadline.saturating_sub(now);
        let wait = timeout.map_or(time_left, |timeout| timeout.min(time_left));
        let attempt = InFlightAttempt {
            backend_id,
            sent: now,
            until: now + wait,
            cancel_handle: Rc::default(),
        };
        request.in_flight.push(None);
        let Some(permit) = request.attempts.start_attempt() else {
            log!(
                error,
                "repeat-refused",
                "attempt not sent: the request may already have been executed and is not repeatable"
            );
            return self.queue_ended(invocation_id, number, &attempt, Outcome::Ignored);
        };
        if request.answer.is_none() || time_left.is_zero() {
            request
                .attempts
                .record_not_executed(number, permit.give_up());
            return self.queue_ended(invocation_id, number, &attempt, Outcome::Ignored);
        }
        if let Some(refusal) = self.refused_by_policy(invocation_id, backend_id, number, now) {
            self.mark_not_executed(invocation_id, number, permit.give_up());
            return self.queue_ended(invocation_id, number, &attempt, refusal);
        }
        self.hand_to_backend(invocation_id, number, attempt, permit, wait);
    }

    /// Asks the attempt policy; returns the outcome to report to the decision module if the policy refuses.
    fn refused_by_policy(
        &mut self,
        invocation_id: InvocationId,
        backend_id: BackendId,
        number: AttemptNumber,
        now: Duration,
    ) -> Option<Outcome> {
        let policy = self.attempt_policy.as_mut()?;
        let events = &mut self.state.follow_up_events;
        if number.0 > 0 && !policy.may_retry(now) {
            events.push_back(Event::BodyConsumed { invocation_id });
            return Some(Outcome::Ignored);
        }
        let AttemptDecision {
            is_allowed,
            health_change,
        } = policy.before_attempt(backend_id, now);
        if let Some(entry) = health_change {
            events.push_back(Event::BackendList {
                form: ListUpdate::Update,
                entries: [entry].into(),
            });
        }
        (!is_allowed).then_some(Outcome::ConnectFailed)
    }

    fn mark_not_executed(
        &mut self,
        invocation_id: InvocationId,
        number: AttemptNumber,
        proof: NotExecuted,
    ) {
        if let Some(request) = self.state.requests.get_mut(&invocation_id) {
            request.attempts.record_not_executed(number, proof);
        }
    }

    fn hand_to_backend(
        &mut self,
        invocation_id: InvocationId,
        number: AttemptNumber,
        attempt: InFlightAttempt,
        permit: SendPermit,
        wait: Duration,
    ) {
        let Some(request) = self.state.requests.get(&invocation_id) else {
            return;
        };
        let outgoing = OutgoingAttempt {
            invocation_id,
            number,
            permit,
            request: request.request.clone(),
            // The client's timeout starts with the last byte of the body; until then the backend is told the full
            // timeout.
            time_left: request.timeout_after_body.unwrap_or(wait),
            cancel_handle: attempt.cancel_handle.clone(),
            overdue_attempt: request.overdue.as_ref().map(Overdue::cancel_handle),
            reply_to: self.own_mailbox.clone(),
        };
        let Some(refused) = self.send_to_backend(attempt.backend_id, outgoing) else {
            let timer = Timer::AttemptTimeout(invocation_id, number);
            self.state.timers.insert((attempt.until, timer));
            if let Some(request) = self.state.requests.get_mut(&invocation_id) {
                request.in_flight[number.0 as usize] = Some(attempt);
            }
            return;
        };
        log!(
            warn,
            "backend-crowded",
            "attempt not sent: the backend has no actor or its mailbox is full"
        );
        self.mark_not_executed(invocation_id, number, refused.permit.give_up());
        self.notify_policy(&attempt, Outcome::Ignored);
        self.queue_ended(invocation_id, number, &attempt, Outcome::ConnectFailed);
    }

    /// Passes an attempt to its backend's actor; returns the attempt if there is no actor or its mailbox is full.
    fn send_to_backend(
        &self,
        backend_id: BackendId,
        outgoing: OutgoingAttempt,
    ) -> Option<OutgoingAttempt> {
        let Some(backend) = self.state.backends.get(&backend_id) else {
            return Some(outgoing);
        };
        match backend.mailbox.try_send(ToBackend::Send(outgoing)) {
            Ok(()) => None,
            Err(refused) => match refused.into_inner() {
                ToBackend::Send(outgoing) => Some(outgoing),
                ToBackend::CloseIdle => None,
            },
        }
    }
}
