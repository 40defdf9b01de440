//! The rules' actions are carried out.

use std::time::Duration;

use damsonbeam::interface::{Action, DeliveryNo, Event, InvId, Outcome, TgtId, Why};

use super::{Dispatcher, Timer};
use crate::log::log;
use crate::messages::{Answer, CounterCall, ToBackend, ToCounter, ToListWatcher, ToPeers};

/// As the figures tell apart requests that were turned away.
const AFTER_ATTEMPT: &str = "after_delivery";
const BEFORE_ATTEMPT: &str = "before_delivery";

impl Dispatcher {
    pub(super) fn carry_out(&mut self, action: Action) {
        match action {
            Action::Deliver { inv, tgt, timeout } => self.send_attempt(inv, tgt, timeout),
            Action::Cancel { inv, no } => self.cancel_attempt(inv, no),
            Action::Throttle {
                inv,
                retry_after,
                why,
            } => self.turn_away(inv, retry_after, why),
            Action::Error { inv } => self.answer_error(inv),
            Action::Timer { after, token } => {
                let at = self.clock.now() + after;
                self.state.timers.insert((at, Timer::Rules(token)));
            }
            Action::Count { name, add, keep } => self.call_counter(CounterCall {
                name,
                add,
                keep,
                at: self.clock.now(),
            }),
            Action::CloseIdle { tgt } => {
                if let Some(backend) = self.state.backends.get(&tgt) {
                    backend.mailbox.try_send(ToBackend::CloseIdle).ok();
                }
            }
            Action::Probe { tgt } => self.skip_probe(tgt),
            Action::Tell { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.try_send(ToPeers { to, bytes }).ok();
                }
            }
            Action::Watch { on } => {
                self.list_watcher.try_send(ToListWatcher::Watch { on }).ok();
            }
            Action::Fetch => {
                self.list_watcher.try_send(ToListWatcher::Fetch).ok();
            }
            Action::Log { text } => log!(warn, "module", "{text}"),
            Action::HandOver(carry) => {
                self.carry.take().map(|waiting| waiting.send(carry).ok());
            }
        }
    }

    fn cancel_attempt(&mut self, inv: InvId, number: DeliveryNo) {
        let Some(attempt) = self.take_attempt(inv, number) else {
            return;
        };
        attempt.cancel_handle.cancel();
        self.notify_policy(&attempt, Outcome::Canceled);
        self.queue_ended(inv, number, &attempt, Outcome::Canceled);
        self.forget_if_finished(inv);
    }

    fn turn_away(&mut self, inv: InvId, retry_after: Option<Duration>, why: Why) {
        let request = self.state.requests.get(&inv);
        let was_sent = request.is_some_and(|request| !request.attempts.is_empty());
        let none_executed = request.is_none_or(|request| request.attempts.none_executed());
        let when = if was_sent {
            AFTER_ATTEMPT
        } else {
            BEFORE_ATTEMPT
        };
        let figures = &self.figures;
        figures.turned_away.with_label_values(&[when]).inc();
        let reasons = &figures.turned_away_why;
        reasons.with_label_values(&[why.name()]).inc();
        let failure = Answer::Throttled {
            after: retry_after,
            why,
            none_executed,
        };
        self.answer_failure(inv, failure);
        self.forget_if_finished(inv);
    }

    fn answer_error(&mut self, inv: InvId) {
        let request = self.state.requests.get_mut(&inv);
        match request.and_then(|request| request.fallback.take()) {
            Some(response) => self.answer(inv, Answer::Succeeded(response)),
            None => self.answer_failure(inv, Answer::Errored),
        }
        self.forget_if_finished(inv);
    }

    /// Calls the counter; the rules are told at once where there is no room for the call, or no counter.
    fn call_counter(&mut self, call: CounterCall) {
        let name = call.name.clone();
        let is_sent = match &self.counter {
            Some(counter) => counter.try_send(ToCounter::Call(call)).is_ok(),
            None => false,
        };
        if is_sent {
            return;
        }
        log!(warn, "counter-crowded", "a call not sent");
        self.state.follow_up_events.push_back(Event::Total {
            name,
            outcome: Outcome::Full,
            total: 0.0,
            others: 0.0,
            latency: Duration::ZERO,
        });
    }

    /// The platform's protocol has no probes.
    fn skip_probe(&mut self, tgt: TgtId) {
        self.state.follow_up_events.push_back(Event::Probed {
            tgt,
            outcome: Outcome::Ignored,
            latency: Duration::ZERO,
            report: vec![],
        });
    }
}
