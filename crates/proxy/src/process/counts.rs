//! Carries the shared counts: the modules' calls are answered at once, and what this proxy has admitted goes to the
//! coordinator now and then.

use damsonbeam::interface::Outcome;
use damsonbeam_control::messages::Message;
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::messages::{CounterCall, ToCounter, ToDispatcher};
use tokio::sync::mpsc::error::TrySendError;

use crate::control_client::SharedControlState;
use crate::dispatch::CountCall;
use crate::quota::QuotaCounter;

pub(super) struct CountCarrier {
    pub(super) quota: QuotaCounter,
    clock: Clock,
    control: SharedControlState,
}

impl CountCarrier {
    pub(super) fn new(clock: Clock, control: SharedControlState) -> Self {
        CountCarrier {
            quota: QuotaCounter::new(rand::random()),
            clock,
            control,
        }
    }

    /// Answers a module's call.
    pub(super) fn answer(&mut self, CountCall { call, answer_to }: CountCall) {
        let ToCounter::Call(CounterCall { name, add, at, .. }) = call else {
            return;
        };
        let now = self.clock.now();
        let total = self.quota.add(&name, add, now);
        let answer = ToDispatcher::CounterTotal {
            name,
            outcome: Outcome::Ok,
            total,
            latency: now.saturating_sub(at),
        };
        if let Err(TrySendError::Full(answer)) = answer_to.try_send(answer) {
            tokio::task::spawn_local(async move { answer_to.send(answer).await.ok() });
        }
    }

    /// Reports what has come together in one message.
    pub(super) fn report(&mut self) {
        let reports = self.quota.take_reports(self.clock.now());
        if reports.is_empty() {
            return;
        }
        let is_sent = match self.control.borrow().coordinator_link() {
            Some(link) => link.send(&Message::CountReport(reports)),
            None => false,
        };
        if !is_sent {
            self.quota.disconnect();
        }
    }
}
