//! The session with the configuration store on this machine: commands without a reply, the roster that it was sent, and the
//! question whether its epoch is still the present one.

use std::collections::HashMap;
use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::lease::EPOCH_CONFIRMATION_VALIDITY;
use damsonbeam_control::link::MessageSender;
use damsonbeam_control::messages::{BackendList, Command, CommandReply, Message};
use tokio::sync::oneshot;

/// Between two questions on the store's epoch: several in the time for which its answer is valid.
const EPOCH_QUESTION_INTERVAL: Duration = Duration::from_millis(250);

/// An operator's call that waits for the store's reply.
struct PendingReply {
    reply_to: oneshot::Sender<CommandReply>,
    submitted_at: Duration,
}

/// A question on the store's epoch.
struct EpochQuestion {
    number: u64,
    asked_at: Duration,
    is_answered: bool,
}

impl EpochQuestion {
    /// Whether another is to be asked.
    fn is_over(&self, now: Duration) -> bool {
        let wait = if self.is_answered {
            EPOCH_QUESTION_INTERVAL
        } else {
            EPOCH_CONFIRMATION_VALIDITY
        };
        now >= self.asked_at + wait
    }
}

/// The session, connected or not.
#[derive(Default)]
pub(crate) struct StoreSession {
    sender: Option<MessageSender>,
    last_number: u64,
    pending_replies: HashMap<u64, PendingReply>,
    /// The registries alive as the store was told last.
    roster_sent: Vec<Ip>,
    epoch_question: Option<EpochQuestion>,
}

impl StoreSession {
    pub(crate) fn is_connected(&self) -> bool {
        self.sender.is_some()
    }

    pub(crate) fn connect(&mut self, sender: MessageSender) {
        self.roster_sent = Vec::new();
        self.sender = Some(sender);
    }

    /// The callers of commands without a reply get none.
    pub(crate) fn disconnect(&mut self) {
        self.sender = None;
        self.epoch_question = None;
        self.pending_replies.clear();
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Submits a command; `None` where the store can't be reached.
    pub(crate) fn submit(
        &mut self,
        command: Command,
        now: Duration,
    ) -> Option<oneshot::Receiver<CommandReply>> {
        let number = self.next_number();
        let is_sent = self
            .sender
            .as_ref()?
            .send(&Message::Submit { number, command });
        let (reply_to, reply) = oneshot::channel();
        let pending = PendingReply {
            reply_to,
            submitted_at: now,
        };
        is_sent.then(|| self.pending_replies.insert(number, pending))?;
        Some(reply)
    }

    /// The store replies to a command.
    pub(crate) fn receive_reply(&mut self, number: u64, reply: CommandReply) {
        if let Some(pending) = self.pending_replies.remove(&number) {
            pending.reply_to.send(reply).ok();
        }
    }

    /// The store asks whether a command is still wanted; no answer means that it is not.
    pub(crate) fn confirm_submit(&self, number: u64, now: Duration) {
        let pending = self.pending_replies.get(&number);
        let pending = pending.filter(|pending| !pending.reply_to.is_closed());
        if let (Some(pending), Some(sender)) = (pending, &self.sender) {
            let waited = now.saturating_sub(pending.submitted_at);
            let waited_ms = waited.as_millis() as u64;
            sender.send(&Message::SubmitConfirmed { number, waited_ms });
        }
    }

    /// Asks for the store's epoch when it is time to.
    pub(crate) fn ask_epoch_when_due(&mut self, now: Duration) {
        let is_due = self
            .epoch_question
            .as_ref()
            .is_none_or(|question| question.is_over(now));
        if !is_due || self.sender.is_none() {
            return;
        }
        let number = self.next_number();
        if let Some(sender) = &self.sender {
            sender.send(&Message::ConfirmEpoch { number });
        }
        self.epoch_question = Some(EpochQuestion {
            number,
            asked_at: now,
            is_answered: false,
        });
    }

    /// The store answers the question on its epoch; returns when it was asked. `None`: it is another question.
    pub(crate) fn receive_epoch(&mut self, number: u64) -> Option<Duration> {
        let question = self.epoch_question.as_mut()?;
        if question.number != number {
            return None;
        }
        question.is_answered = true;
        Some(question.asked_at)
    }

    /// The voters have changed: what was asked of the epoch before is of no use.
    pub(crate) fn forget_epoch_question(&mut self) {
        self.epoch_question = None;
    }

    /// The store must know the other machines.
    pub(crate) fn send_roster(&mut self, alive: Vec<Ip>) {
        if alive == self.roster_sent {
            return;
        }
        if let Some(sender) = &self.sender {
            sender.send(&Message::Roster { ips: alive.clone() });
            self.roster_sent = alive;
        }
    }

    pub(crate) fn send_backends(&self, backends: &BackendList) {
        if let Some(sender) = &self.sender {
            sender.send(&Message::StoreBackends(backends.clone()));
        }
    }
}
