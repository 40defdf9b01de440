//! Commands forwarded to the replica that carries out those of many, and answered by it.

use std::collections::BTreeSet;
use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::messages::{Command, CommandReply, Message};

use super::command::{PendingCommand, Requester};
use super::timing::{
    COMMAND_TIMEOUT, EVACUATION_TIMEOUT, FORWARD_ACK_TIMEOUT, FORWARD_PAUSE, FORWARD_TIMEOUT,
};
use super::{Effect, Replica};

/// Numbers of forwarded commands that are remembered, of each replica.
const FORWARDS_REMEMBERED: usize = 256;

impl Replica {
    /// Takes a command of the registry here, whose caller has waited for some time already. It is answered by
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
            expires_at: now + timeout.saturating_sub(waited),
            was_forwarded: false,
        };
        let may_forward = !is_evacuation && now >= self.no_forward_until;
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

    /// The voter to forward commands to; `None` where it is this one. Many proposers at once only take the turn from each
    /// other, so all commands go through the first voter that is alive. It is no leader: whoever gets no answer from it
    /// proposes itself.
    fn first_voter(&self) -> Option<Ip> {
        let first = self.other_voters().into_iter().next()?;
        (!self.is_voter() || first < self.own_ip).then_some(first)
    }

    /// Forwarded commands that are not answered in time are carried out here.
    pub(super) fn take_back_forwarded(&mut self, now: Duration) {
        let due = self
            .forwarded
            .iter()
            .filter(|(_, (_, due_at))| now >= *due_at);
        let due: Vec<u64> = due.map(|(number, _)| *number).collect();
        for number in due {
            self.no_forward_until = now + FORWARD_PAUSE;
            let Some((mut pending, _)) = self.forwarded.remove(&number) else {
                continue;
            };
            pending.was_forwarded = true;
            self.pending.push_back(pending);
        }
    }

    /// One of the three messages by which commands are forwarded.
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
            Message::Forwarded {
                incarnation,
                number,
                reply,
            } => self.receive_forwarded(incarnation, number, reply, now),
            _ => {}
        }
    }

    /// Another replica forwards a command.
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
            let message = Message::Forwarded {
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
            // The sender takes it back then, and its caller may get another answer.
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

    /// A command that comes again may have been answered, and its caller told something else, meanwhile.
    fn is_new_forward(&mut self, from: Ip, incarnation: u64, number: u64) -> bool {
        let seen = self.forwards_seen.entry(from).or_default();
        if seen.incarnation != incarnation {
            seen.incarnation = incarnation;
            seen.numbers = BTreeSet::new();
        }
        if seen.numbers.len() >= FORWARDS_REMEMBERED {
            seen.numbers.pop_first();
        }
        seen.numbers.insert(number)
    }

    /// A forwarded command has arrived, and waits for its turn.
    fn receive_forward_ack(&mut self, incarnation: u64, number: u64, now: Duration) {
        if incarnation != self.incarnation {
            return;
        }
        if let Some((_, due_at)) = self.forwarded.get_mut(&number) {
            *due_at = now + FORWARD_TIMEOUT;
        }
    }

    /// What came of a forwarded command; `None`: it can't be carried out there.
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
