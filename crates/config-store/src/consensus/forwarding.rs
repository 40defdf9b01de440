//! Forwarding of commands to the first voter, which proposes the commands of all replicas and replies to them.

use std::collections::BTreeSet;
use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::ProposalNumber;
use damsonbeam_control::messages::{Command, CommandReply, Message};

use super::command::{PendingCommand, Requester};
use super::timing::{
    COMMAND_TIMEOUT, EVACUATION_TIMEOUT, FORWARD_ACK_TIMEOUT, FORWARD_TIMEOUT,
    FORWARDING_SUSPENSION,
};
use super::{Effect, Event, Replica};

/// How many numbers of forwarded commands are kept per sending replica, to detect duplicates.
const MAX_FORWARDS_SEEN: usize = 256;

/// A command of the local registry.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The number of the command, chosen by the caller of the replica.
    pub number: u64,
    /// The command.
    pub command: Command,
    /// How long the operator has waited already.
    pub waited: Duration,
    /// [`Replica::newest_commit`] at a time before the operator was last known to wait. A replica that was stalled since
    /// may know later commits, which the operator's next attempt may have met at another replica.
    pub as_of: ProposalNumber,
}

impl Replica {
    /// Submits a command whose caller is known to wait at this moment; see [`Replica::submit`].
    pub fn submit_at_once(&mut self, number: u64, command: Command, now: Duration) {
        let submission = Submission {
            number,
            command,
            waited: Duration::ZERO,
            as_of: self.newest_commit(),
        };
        self.submit(submission, now);
    }

    /// Submits a command of the local registry. The reply is an [`Effect::Reply`] with the same number.
    pub fn submit(&mut self, submission: Submission, now: Duration) {
        let Submission {
            number,
            command,
            waited,
            as_of,
        } = submission;
        let is_evacuation = matches!(command, Command::Evacuate { .. });
        let timeout = if is_evacuation {
            EVACUATION_TIMEOUT
        } else {
            COMMAND_TIMEOUT
        };
        let pending = PendingCommand {
            requester: Requester::Local { number },
            command,
            received_at: now,
            expires_at: now + timeout.saturating_sub(waited),
            as_of,
        };
        let may_forward = !is_evacuation && now >= self.forwarding_suspended_until;
        match self.first_voter().filter(|_| may_forward) {
            Some(first) => {
                let message = Message::ForwardCommand {
                    incarnation: self.incarnation,
                    number,
                    command: pending.command.clone(),
                    as_of,
                };
                self.effects.push(Effect::Send(first, message));
                self.forwarded
                    .insert(number, (pending, now + FORWARD_ACK_TIMEOUT));
            }
            None => self.pending.push_back(pending),
        }
        self.tick(now);
    }

    /// Returns the voter to forward commands to; `None` if that is this replica. Concurrent proposers only preempt each
    /// other's rounds, so all commands go through the first voter that is alive. That voter is not a leader: a replica
    /// that gets no answer from it proposes its commands itself.
    fn first_voter(&self) -> Option<Ip> {
        let first = self.other_voters().into_iter().next()?;
        (!self.is_voter() || first < self.own_ip).then_some(first)
    }

    /// Makes forwarded commands that were not answered in time pending here, and suspends forwarding.
    pub(super) fn reclaim_forwarded(&mut self, now: Duration) {
        let due = self
            .forwarded
            .iter()
            .filter(|(_, (_, due_at))| now >= *due_at);
        let due: Vec<u64> = due.map(|(number, _)| *number).collect();
        for number in due {
            self.forwarding_suspended_until = now + FORWARDING_SUSPENSION;
            if let Some((pending, _)) = self.forwarded.remove(&number) {
                self.pending.push_back(pending);
            }
        }
    }

    /// Dispatches the messages by which commands are forwarded.
    pub(super) fn receive_forwarding(&mut self, from: Ip, message: Message, now: Duration) {
        match message {
            Message::Forward {
                incarnation,
                number,
                ..
            } => self.return_forwarded(from, incarnation, number),
            Message::ForwardCommand {
                incarnation,
                number,
                command,
                as_of,
            } => {
                let requester = Requester::Remote {
                    ip: from,
                    incarnation,
                    number,
                };
                let pending = PendingCommand {
                    requester,
                    command,
                    received_at: now,
                    // The sender reclaims the command at this time.
                    expires_at: now + FORWARD_TIMEOUT,
                    as_of,
                };
                self.receive_forward(from, incarnation, number, pending, now);
            }
            Message::ForwardAck {
                incarnation,
                number,
            } => self.receive_forward_ack(incarnation, number, now),
            Message::ForwardReply {
                incarnation,
                number,
                reply,
            } => self.receive_forwarded(incarnation, number, reply, now),
            Message::ForwardOutdated {
                incarnation,
                number,
                committed,
            } => {
                self.learn(committed);
                self.receive_forwarded(incarnation, number, None, now);
            }
            _ => {}
        }
    }

    /// Handles a command forwarded by another replica.
    fn receive_forward(
        &mut self,
        from: Ip,
        incarnation: u64,
        number: u64,
        pending: PendingCommand,
        now: Duration,
    ) {
        if !self.is_new_forward(from, incarnation, number) {
            return;
        }
        if !self.is_voter() || self.is_leaving {
            return self.return_forwarded(from, incarnation, number);
        }
        self.pending.push_back(pending);
        let message = Message::ForwardAck {
            incarnation,
            number,
        };
        self.effects.push(Effect::Send(from, message));
        self.tick(now);
    }

    /// Tells the sender of a forwarded command that it is not executed here.
    fn return_forwarded(&mut self, to: Ip, incarnation: u64, number: u64) {
        let message = Message::ForwardReply {
            incarnation,
            number,
            reply: None,
        };
        self.effects.push(Effect::Send(to, message));
    }

    /// Records a forwarded command and returns whether it is new; a duplicate need not be applied.
    fn is_new_forward(&mut self, from: Ip, incarnation: u64, number: u64) -> bool {
        let seen = self.forwards_seen.entry(from).or_default();
        if seen.incarnation != incarnation {
            seen.incarnation = incarnation;
            seen.numbers = BTreeSet::new();
        }
        if seen.numbers.len() >= MAX_FORWARDS_SEEN {
            seen.numbers.pop_first();
        }
        seen.numbers.insert(number)
    }

    /// Handles the acknowledgement that a forwarded command is pending at the other replica: extends its deadline.
    fn receive_forward_ack(&mut self, incarnation: u64, number: u64, now: Duration) {
        if incarnation != self.incarnation {
            return;
        }
        if let Some((_, due_at)) = self.forwarded.get_mut(&number) {
            *due_at = now + FORWARD_TIMEOUT;
        }
    }

    /// Handles the reply to a forwarded command; `None` means that the other replica did not apply the command and will
    /// not do so.
    fn receive_forwarded(
        &mut self,
        incarnation: u64,
        number: u64,
        reply: Option<CommandReply>,
        now: Duration,
    ) {
        if incarnation != self.incarnation {
            return;
        }
        let Some((pending, _)) = self.forwarded.remove(&number) else {
            return;
        };
        match reply {
            Some(reply) => self.answer(pending.requester, reply),
            None if !pending
                .items_written_since(&self.durable.committed)
                .is_empty() =>
            {
                self.answer_outdated(pending);
            }
            None => {
                self.pending.push_back(pending);
                self.tick(now);
            }
        }
    }

    /// Ends a command that is not applied because items of it were written after its caller was last known to wait: the
    /// caller is asked again.
    pub(super) fn answer_outdated(&mut self, pending: PendingCommand) {
        let committed = pending.items_written_since(&self.durable.committed);
        self.effects.push(Effect::Log(Event::CommandOutdated {
            origin: pending.requester.into(),
            items: committed.clone(),
        }));
        let effect = match pending.requester {
            Requester::Local { number } => Effect::Reconfirm(number, pending.command),
            Requester::Remote {
                ip,
                incarnation,
                number,
            } => {
                let message = Message::ForwardOutdated {
                    incarnation,
                    number,
                    committed,
                };
                Effect::Send(ip, message)
            }
        };
        self.effects.push(effect);
    }
}
