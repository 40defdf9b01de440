//! Forwarding of commands to the first voter, which proposes the commands of all replicas and replies to them.

use std::collections::BTreeSet;
use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::messages::{Command, CommandReply, Message};

use super::command::{PendingCommand, Requester};
use super::timing::{
    COMMAND_TIMEOUT, EVACUATION_TIMEOUT, FORWARD_ACK_TIMEOUT, FORWARD_TIMEOUT,
    FORWARDING_SUSPENSION,
};
use super::{Effect, Replica};

/// How many numbers of forwarded commands are kept per sending replica, to detect duplicates.
const MAX_FORWARDS_SEEN: usize = 256;

impl Replica {
    /// Submits a command of the local registry; `waited` is how long its caller has waited already. The reply is an
    /// [`Effect::Reply`] with the same number.
    pub fn submit(&mut self, number: u64, command: Command, waited: Duration, now: Duration) {
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
            was_forwarded: false,
        };
        let may_forward = !is_evacuation && now >= self.forwarding_suspended_until;
        match self.first_voter().filter(|_| may_forward) {
            Some(first) => {
                let message = Message::Forward {
                    incarnation: self.incarnation,
                    number,
                    command: pending.command.clone(),
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
            let Some((mut pending, _)) = self.forwarded.remove(&number) else {
                continue;
            };
            pending.was_forwarded = true;
            self.pending.push_back(pending);
        }
    }

    /// Dispatches the three messages by which commands are forwarded.
    pub(super) fn receive_forwarding(&mut self, from: Ip, message: Message, now: Duration) {
        match message {
            Message::Forward {
                incarnation,
                number,
                command,
            } => self.receive_forward(from, incarnation, number, command, now),
            Message::ForwardAck {
                incarnation,
                number,
            } => self.receive_forward_ack(incarnation, number, now),
            Message::ForwardReply {
                incarnation,
                number,
                reply,
            } => self.receive_forwarded(incarnation, number, reply, now),
            _ => {}
        }
    }

    /// Handles a command forwarded by another replica.
    fn receive_forward(
        &mut self,
        from: Ip,
        incarnation: u64,
        number: u64,
        command: Command,
        now: Duration,
    ) {
        if !self.is_new_forward(from, incarnation, number) {
            return;
        }
        if !self.is_voter() || self.is_leaving {
            let message = Message::ForwardReply {
                incarnation,
                number,
                reply: None,
            };
            self.effects.push(Effect::Send(from, message));
            return;
        }
        self.pending.push_back(PendingCommand {
            requester: Requester::Remote {
                ip: from,
                incarnation,
                number,
            },
            command,
            received_at: now,
            // The sender reclaims the command at this time, and its caller may get another answer.
            expires_at: now + FORWARD_TIMEOUT,
            was_forwarded: false,
        });
        let message = Message::ForwardAck {
            incarnation,
            number,
        };
        self.effects.push(Effect::Send(from, message));
        self.tick(now);
    }

    /// Records a forwarded command and returns whether it is new. A duplicate must not be applied: the command may have
    /// been answered already, and its caller may have been given another reply.
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

    /// Handles the reply to a forwarded command; `None` means that the other replica can't apply the command.
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
            None => {
                self.pending.push_back(pending);
                self.tick(now);
            }
        }
    }
}
