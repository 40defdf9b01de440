//! Carries out the decision module's actions.

use std::time::Duration;

use damsonbeam::interface::{
    Action, AttemptNumber, BackendId, Event, InvocationId, Outcome, RejectReason,
};

use super::{Dispatcher, Timer};
use crate::log::log;
use crate::messages::{Answer, CounterCall, PeerDatagram, ToBackend, ToCounter, ToListWatcher};

/// Values of the label `when` of the metric `turned_away`.
const AFTER_ATTEMPT: &str = "after_delivery";
const BEFORE_ATTEMPT: &str = "before_delivery";

impl Dispatcher {
    pub(super) fn carry_out(&mut self, action: Action) {
        match action {
            Action::SendAttempt {
                invocation_id,
                backend_id,
                timeout,
            } => self.send_attempt(invocation_id, backend_id, timeout),
            Action::CancelAttempt {
                invocation_id,
                attempt,
            } => self.cancel_attempt(invocation_id, attempt),
            Action::Throttle {
                invocation_id,
                retry_after,
                reason,
            } => self.throttle(invocation_id, retry_after, reason),
            Action::Fail { invocation_id } => self.answer_error(invocation_id),
            Action::SetTimer { after, token } => {
                let at = self.clock.now() + after;
                self.state.timers.insert((at, Timer::Rules(token)));
            }
            Action::AddToCounter {
                name,
                units,
                retention,
            } => self.call_counter(CounterCall {
                name,
                units,
                retention,
                called_at: self.clock.now(),
            }),
            Action::CloseIdleConnections { backend_id } => {
                if let Some(backend) = self.state.backends.get(&backend_id) {
                    backend.mailbox.try_send(ToBackend::CloseIdle).ok();
                }
            }
            Action::Probe { backend_id } => self.skip_probe(backend_id),
            Action::SendToPeers { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.try_send(PeerDatagram { to, bytes }).ok();
                }
            }
            Action::WatchBackendList { on } => {
                self.list_watcher
                    .try_send(ToListWatcher::Watch { is_watched: on })
                    .ok();
            }
            Action::FetchBackendList => {
                self.list_watcher.try_send(ToListWatcher::Fetch).ok();
            }
            Action::Log { text } => log!(warn, "module", "{text}"),
            Action::HandOver(carry) => {
                self.carry.take().map(|waiting| waiting.send(carry).ok());
            }
        }
    }

    fn cancel_attempt(&mut self, invocation_id: InvocationId, number: AttemptNumber) {
        let Some(attempt) = self.take_attempt(invocation_id, number) else {
            return;
        };
        attempt.cancel_handle.cancel();
        self.notify_policy(&attempt, Outcome::Canceled);
        self.queue_ended(invocation_id, number, &attempt, Outcome::Canceled);
        self.forget_if_finished(invocation_id);
    }

    fn throttle(
        &mut self,
        invocation_id: InvocationId,
        retry_after: Option<Duration>,
        reason: RejectReason,
    ) {
        let request = self.state.requests.get(&invocation_id);
        let was_sent = request.is_some_and(|request| !request.attempts.is_empty());
        let none_executed = request.and_then(|request| request.attempts.proof());
        let when = if was_sent {
            AFTER_ATTEMPT
        } else {
            BEFORE_ATTEMPT
        };
        let metrics = &self.metrics;
        metrics.turned_away.with_label_values(&[when]).inc();
        let reasons = &metrics.turned_away_why;
        reasons.with_label_values(&[reason.name()]).inc();
        let failure = Answer::Throttled {
            retry_after,
            reason,
            none_executed,
        };
        self.answer_failure(invocation_id, failure);
        self.forget_if_finished(invocation_id);
    }

    fn answer_error(&mut self, invocation_id: InvocationId) {
        let request = self.state.requests.get_mut(&invocation_id);
        match request.and_then(|request| request.fallback.take()) {
            Some(response) => self.answer(invocation_id, Answer::Succeeded(response)),
            None => self.answer_failure(invocation_id, Answer::Errored),
        }
        self.forget_if_finished(invocation_id);
    }

    /// Calls the counter. Reports `Outcome::Full` to the decision module at once if there is no counter or its mailbox
    /// is full.
    fn call_counter(&mut self, call: CounterCall) {
        let name = call.name.clone();
        let is_sent = match &self.counter {
            Some(counter) => counter.try_send(ToCounter::Call(call)).is_ok(),
            None => false,
        };
        if is_sent {
            return;
        }
        log!(
            warn,
            "counter-crowded",
            "counter call dropped: no counter or its mailbox is full"
        );
        self.state.follow_up_events.push_back(Event::CounterTotal {
            name,
            outcome: Outcome::Full,
            total: 0.0,
            peer_units: 0.0,
            latency: Duration::ZERO,
        });
    }

    /// Reports a probe as ignored, since the platform's protocol has no probes.
    fn skip_probe(&mut self, backend_id: BackendId) {
        self.state.follow_up_events.push_back(Event::ProbeEnded {
            backend_id,
            outcome: Outcome::Ignored,
            latency: Duration::ZERO,
            report: vec![],
        });
    }
}
