//! The session with the configuration store on this machine: commands that wait for a reply, the roster last sent to the
//! store, and the periodic query for the store's epoch.

use std::collections::HashMap;
use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::lease::EPOCH_CONFIRMATION_VALIDITY;
use damsonbeam_control::link::MessageSender;
use damsonbeam_control::messages::{BackendList, Command, CommandReply, Message};
use tokio::sync::oneshot;

/// Interval between an answered epoch query and the next one: several queries fit into the validity of one answer.
const EPOCH_QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// A submitted command that waits for the store's reply.
struct PendingReply {
    reply_to: oneshot::Sender<CommandReply>,
    submitted_at: Duration,
}

/// A query for the store's epoch.
struct EpochQuery {
    number: u64,
    asked_at: Duration,
    is_answered: bool,
}

impl EpochQuery {
    /// Returns whether the next query is due. An unanswered query is repeated when its answer would no longer be valid.
    fn is_expired(&self, now: Duration) -> bool {
        let wait = if self.is_answered {
            EPOCH_QUERY_INTERVAL
        } else {
            EPOCH_CONFIRMATION_VALIDITY
        };
        now >= self.asked_at + wait
    }
}

/// The session with the store, connected or not.
#[derive(Default)]
pub(crate) struct StoreSession {
    sender: Option<MessageSender>,
    last_number: u64,
    pending_replies: HashMap<u64, PendingReply>,
    /// The registries alive according to the roster last sent to the store.
    roster_sent: Vec<Ip>,
    epoch_query: Option<EpochQuery>,
}

impl StoreSession {
    pub(crate) fn is_connected(&self) -> bool {
        self.sender.is_some()
    }

    pub(crate) fn connect(&mut self, sender: MessageSender) {
        self.roster_sent = Vec::new();
        self.sender = Some(sender);
    }

    /// Ends the session. The callers of commands that still wait for a reply get an error.
    pub(crate) fn disconnect(&mut self) {
        self.sender = None;
        self.epoch_query = None;
        self.pending_replies.clear();
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Submits a command; returns the receiver of the reply, or `None` if the store is not connected.
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

    /// Passes the store's reply to the caller of the command.
    pub(crate) fn receive_reply(&mut self, number: u64, reply: CommandReply) {
        if let Some(pending) = self.pending_replies.remove(&number) {
            pending.reply_to.send(reply).ok();
        }
    }

    /// Answers the store's question whether the caller of a command still waits, and for how long so far. Sends nothing
    /// for an abandoned command; the store then does not carry out the command.
    pub(crate) fn confirm_submit(&self, number: u64, now: Duration) {
        let pending = self.pending_replies.get(&number);
        let pending = pending.filter(|pending| !pending.reply_to.is_closed());
        if let (Some(pending), Some(sender)) = (pending, &self.sender) {
            let waited = now.saturating_sub(pending.submitted_at);
            let waited_ms = waited.as_millis() as u64;
            sender.send(&Message::SubmitConfirmed { number, waited_ms });
        }
    }

    /// Queries the store's epoch if a query is due.
    pub(crate) fn query_epoch_if_due(&mut self, now: Duration) {
        let is_due = self
            .epoch_query
            .as_ref()
            .is_none_or(|query| query.is_expired(now));
        if !is_due || self.sender.is_none() {
            return;
        }
        let number = self.next_number();
        if let Some(sender) = &self.sender {
            sender.send(&Message::ConfirmEpoch { number });
        }
        self.epoch_query = Some(EpochQuery {
            number,
            asked_at: now,
            is_answered: false,
        });
    }

    /// Marks the epoch query with this number as answered; returns when the query was sent, or `None` if this is not the
    /// latest query.
    pub(crate) fn receive_epoch_answer(&mut self, number: u64) -> Option<Duration> {
        let query = self.epoch_query.as_mut()?;
        if query.number != number {
            return None;
        }
        query.is_answered = true;
        Some(query.asked_at)
    }

    /// Discards the epoch query after a change of the voters: its answer would be about the previous epoch.
    pub(crate) fn discard_epoch_query(&mut self) {
        self.epoch_query = None;
    }

    /// Sends the registries alive to the store if they have changed: the store finds the other machines by them.
    pub(crate) fn send_roster(&mut self, alive: Vec<Ip>) {
        if alive == self.roster_sent {
            return;
        }
        if let Some(sender) = &self.sender {
            sender.send(&Message::CoreMachines { ips: alive.clone() });
            self.roster_sent = alive;
        }
    }

    pub(crate) fn send_backends(&self, backends: &BackendList) {
        if let Some(sender) = &self.sender {
            sender.send(&Message::LastKnownBackends(backends.clone()));
        }
    }
}
