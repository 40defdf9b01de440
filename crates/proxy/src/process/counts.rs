//! Connects the quota counter with the decision modules and the coordinator: the modules' calls are answered at once
//! from local data, and the admitted requests are reported to the coordinator in batches.

use damsonbeam::interface::Outcome;
use damsonbeam_control::messages::{Allotment, Message};
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::messages::{CounterCall, ToCounter, ToDispatcher};
use tokio::sync::mpsc::error::TrySendError;

use crate::control_client::SharedControlState;
use crate::dispatch::QuotaCounterCall;
use crate::quota::{QuotaCounter, QuotaTolerance};

/// The quota counter, with its connection to the coordinator.
pub(super) struct QuotaClient {
    pub(super) counter: QuotaCounter,
    clock: Clock,
    control: SharedControlState,
}

impl QuotaClient {
    pub(super) fn new(
        clock: Clock,
        control: SharedControlState,
        tolerance: QuotaTolerance,
    ) -> Self {
        let mut counter = QuotaCounter::new(rand::random());
        counter.set_tolerance(tolerance);
        QuotaClient {
            counter,
            clock,
            control,
        }
    }

    /// Adds a module's count to the quota counter, and sends the module the total.
    pub(super) fn answer(&mut self, QuotaCounterCall { call, reply_to }: QuotaCounterCall) {
        let ToCounter::Call(CounterCall {
            name,
            units,
            called_at,
            ..
        }) = call
        else {
            return;
        };
        let now = self.clock.now();
        let total = self.counter.add(&name, units, now);
        let answer = ToDispatcher::CounterTotal {
            name,
            outcome: Outcome::Ok,
            total,
            latency: now.saturating_sub(called_at),
        };
        if let Err(TrySendError::Full(answer)) = reply_to.try_send(answer) {
            tokio::task::spawn_local(async move { reply_to.send(answer).await.ok() });
        }
    }

    /// Applies a change of this proxy's quota allotments, and acknowledges it to the coordinator.
    pub(super) fn apply_allotments(&mut self, term: u64, revision: u64, allotments: &[Allotment]) {
        let now = self.clock.now();
        if !self
            .counter
            .apply_allotment_change(term, revision, allotments, now)
        {
            return;
        }
        if let Some(sender) = self.control.borrow().coordinator_sender() {
            sender.send(&Message::AllotmentsAck { term, revision });
        }
    }

    /// Reports the held quota allotments to the coordinator where a report is due, which is after a coordinator was
    /// connected.
    fn report_held_allotments(&mut self) {
        let Some((term, allotments)) = self.counter.take_held_allotments_report(self.clock.now())
        else {
            return;
        };
        if let Some(sender) = self.control.borrow().coordinator_sender() {
            sender.send(&Message::AllotmentReport { term, allotments });
        }
    }

    /// Sends the held allotments where they are due, and all counts since the last report in one message.
    pub(super) fn send_reports(&mut self) {
        self.report_held_allotments();
        let reports = self.counter.take_reports(self.clock.now());
        if reports.is_empty() {
            return;
        }
        let is_sent = match self.control.borrow().coordinator_sender() {
            Some(sender) => sender.send(&Message::CountReport(reports)),
            None => false,
        };
        if !is_sent {
            self.counter.record_coordinator_disconnect();
        }
    }
}
