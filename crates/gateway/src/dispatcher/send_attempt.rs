//! An attempt goes out: the permit, what all gateways share, and the backend's actor.

use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::{AttemptNumber, BackendId, Event, InvocationId, ListForm, Outcome};

use super::{AttemptDecision, Dispatcher, InFlightAttempt, Overdue, Timer};
use crate::attempts::{NotExecuted, SendPermit};
use crate::log::log;
use crate::messages::{OutgoingAttempt, ToBackend};

impl Dispatcher {
    /// Sends an attempt, where it may be sent at all; the rules are told where it is not.
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
        let number = request.attempts.next();
        let time_left = request.deadline.saturating_sub(now);
        let wait = timeout.map_or(time_left, |timeout| timeout.min(time_left));
        let attempt = InFlightAttempt {
            backend_id,
            sent: now,
            until: now + wait,
            cancel_handle: Rc::default(),
        };
        request.in_flight.push(None);
        let Some(permit) = request.attempts.permit() else {
            log!(
                error,
                "repeat-refused",
                "an attempt that may run twice is not sent"
            );
            return self.queue_ended(invocation_id, number, &attempt, Outcome::Ignored);
        };
        if request.answer.is_none() || time_left.is_zero() {
            request.attempts.not_executed(number, permit.unused());
            return self.queue_ended(invocation_id, number, &attempt, Outcome::Ignored);
        }
        if let Some(refusal) = self.refused_by_policy(invocation_id, backend_id, number, now) {
            self.mark_not_executed(invocation_id, number, permit.unused());
            return self.queue_ended(invocation_id, number, &attempt, refusal);
        }
        self.hand_to_backend(invocation_id, number, attempt, permit, wait);
    }

    /// Asks the policy for leave; returns the outcome that the rules are told where there is none.
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
            allowed,
            health_change,
        } = policy.before_attempt(backend_id, now);
        if let Some(entry) = health_change {
            events.push_back(Event::BackendList {
                form: ListForm::Update,
                entries: [entry].into(),
            });
        }
        (!allowed).then_some(Outcome::ConnectFailed)
    }

    fn mark_not_executed(
        &mut self,
        invocation_id: InvocationId,
        number: AttemptNumber,
        proof: NotExecuted,
    ) {
        if let Some(request) = self.state.requests.get_mut(&invocation_id) {
            request.attempts.not_executed(number, proof);
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
            // While its body comes no client's time runs; the backend is told what will.
            time_left: request.coming.unwrap_or(wait),
            cancel_handle: attempt.cancel_handle.clone(),
            replaces: request.overdue.as_ref().map(Overdue::cancel_handle),
            to: self.own_mailbox.clone(),
        };
        let Some(refused) = self.send_to_backend(attempt.backend_id, outgoing) else {
            let timer = Timer::AttemptTimeout(invocation_id, number);
            self.state.timers.insert((attempt.until, timer));
            if let Some(request) = self.state.requests.get_mut(&invocation_id) {
                request.in_flight[number.0 as usize] = Some(attempt);
            }
            return;
        };
        log!(warn, "backend-crowded", "a delivery not sent");
        self.mark_not_executed(invocation_id, number, refused.permit.unused());
        self.notify_policy(&attempt, Outcome::Ignored);
        self.queue_ended(invocation_id, number, &attempt, Outcome::ConnectFailed);
    }

    /// Hands an attempt to its backend's actor; it comes back where there is no room or no actor.
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
