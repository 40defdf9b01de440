//! An attempt goes out: the permit, what all gateways share, and the backend's actor.

use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::{BackendId, Event, InvocationId, ListForm, Outcome};

use super::{AttemptDecision, Dispatcher, InFlightAttempt, Overdue, Timer};
use crate::log::log;
use crate::messages::*;

impl Dispatcher {
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
        let cancel_handle = Rc::<CancelHandle>::default();
        let time_left = request.deadline.saturating_sub(now);
        let wait = timeout.map_or(time_left, |t| t.min(time_left));
        let attempt = InFlightAttempt {
            backend_id,
            sent: now,
            until: now + wait,
            cancel_handle: cancel_handle.clone(),
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
        if let Some(attempt_policy) = &mut self.attempt_policy {
            if number.0 > 0 && !attempt_policy.may_retry(now) {
                request.attempts.not_executed(number, permit.unused());
                self.state
                    .follow_up_events
                    .push_back(Event::BodyConsumed { invocation_id });
                return self.queue_ended(invocation_id, number, &attempt, Outcome::Ignored);
            }
            let AttemptDecision {
                allowed,
                health_change,
            } = attempt_policy.before_attempt(backend_id, now);
            if let Some(entry) = health_change {
                let (form, entries) = (ListForm::Update, [entry].into());
                self.state
                    .follow_up_events
                    .push_back(Event::BackendList { form, entries });
            }
            if !allowed {
                request.attempts.not_executed(number, permit.unused());
                return self.queue_ended(invocation_id, number, &attempt, Outcome::ConnectFailed);
            }
        }
        // While its body comes no client's time runs; the backend is told what will.
        let backend_time = request.coming.unwrap_or(wait);
        let replaces = request.overdue.as_ref().map(Overdue::cancel_handle);
        let outgoing = OutgoingAttempt {
            invocation_id,
            number,
            permit,
            request: request.request.clone(),
            time_left: backend_time,
            cancel_handle,
            replaces,
            to: self.own_mailbox.clone(),
        };
        let Some(outgoing) = self.send_to_backend(backend_id, outgoing) else {
            self.state
                .timers
                .insert((attempt.until, Timer::AttemptTimeout(invocation_id, number)));
            let request = self
                .state
                .requests
                .get_mut(&invocation_id)
                .expect("seen above");
            request.in_flight[number.0 as usize] = Some(attempt);
            return;
        };
        log!(warn, "backend-crowded", "a delivery not sent");
        let request = self
            .state
            .requests
            .get_mut(&invocation_id)
            .expect("seen above");
        request
            .attempts
            .not_executed(number, outgoing.permit.unused());
        self.notify_policy(&attempt, Outcome::Ignored);
        self.queue_ended(invocation_id, number, &attempt, Outcome::ConnectFailed);
    }

    /// Hands a delivery to its backend's actor; it comes back where there is no room or no actor.
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
