//! Commands passed on to the replica that carries out those of many, and answered by it.

use std::collections::BTreeSet;
use std::time::Duration;

use damsonbeam_control::messages::{Command, CommandReply, Ip, Message};

use super::{
    COMMAND_TIMEOUT, EVACUATION_TIMEOUT, Effect, FORWARD_ACK_TIMEOUT, FORWARD_PAUSE,
    FORWARD_TIMEOUT, PendingCommand, Replica, Requester,
};

/// Numbers of commands passed on that are remembered, of each replica.
const FORWARDS_SEEN: usize = 256;

impl Replica {
    pub fn submit(&mut self, no: u64, order: Command, now: Duration) {
        self.submit_of(no, order, Duration::ZERO, now);
    }

    /// A command whose caller has waited so long already.
    pub fn submit_of(&mut self, no: u64, order: Command, waited: Duration, now: Duration) {
        let evacuation = matches!(order, Command::Evacuate { .. });
        let timeout = if evacuation {
            EVACUATION_TIMEOUT
        } else {
            COMMAND_TIMEOUT
        };
        let until = now + timeout.saturating_sub(waited);
        let asked = PendingCommand {
            requester: Requester::Here(no),
            order,
            until,
            passed_on: false,
        };
        // Many that write at once only take the turn from each other: all write through the first. It is no leader:
        // whoever hears nothing from it writes itself.
        let first = self.other_voters().into_iter().next();
        let first = first.filter(|first| !self.is_voter() || *first < self.me);
        match first.filter(|_| !evacuation && now >= self.no_forward_until) {
            Some(first) => {
                let (life, order) = (self.life, asked.order.clone());
                self.effects
                    .push(Effect::Send(first, Message::Forward { life, no, order }));
                self.forwarded
                    .insert(no, (asked, now + FORWARD_ACK_TIMEOUT));
            }
            None => self.waiting.push_back(asked),
        }
        self.tick(now);
    }

    /// What was passed on and is not heard of is carried out here.
    pub(super) fn take_back_forwarded(&mut self, now: Duration) {
        let due: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|p| now >= p.1.1)
            .map(|p| *p.0)
            .collect();
        for no in due {
            self.no_forward_until = now + FORWARD_PAUSE;
            let Some((mut asked, _)) = self.forwarded.remove(&no) else {
                continue;
            };
            asked.passed_on = true;
            self.waiting.push_back(asked);
        }
    }

    /// Another replica passes a command on.
    pub(super) fn receive_forward(
        &mut self,
        from: Ip,
        life: u64,
        no: u64,
        order: Command,
        now: Duration,
    ) {
        if !self.is_new_forward(from, life, no) {
            return;
        }
        if self.is_voter() && !self.leaving {
            // Its caller takes it back then, and may be told something else.
            let (requester, until) = (Requester::There(from, life, no), now + FORWARD_TIMEOUT);
            self.waiting.push_back(PendingCommand {
                requester,
                order,
                until,
                passed_on: false,
            });
            self.effects
                .push(Effect::Send(from, Message::ForwardAck { life, no }));
            self.tick(now);
        } else {
            self.effects.push(Effect::Send(
                from,
                Message::Forwarded {
                    life,
                    no,
                    reply: None,
                },
            ));
        }
    }

    /// One that comes again may have been answered, and its caller told something else, meanwhile.
    fn is_new_forward(&mut self, from: Ip, life: u64, no: u64) -> bool {
        let (of, seen) = self.forwards_seen.entry(from).or_default();
        if *of != life {
            (*of, *seen) = (life, BTreeSet::new());
        }
        if seen.len() >= FORWARDS_SEEN {
            seen.pop_first();
        }
        seen.insert(no)
    }

    /// A command passed on has come, and waits for its turn.
    pub(super) fn receive_forward_ack(&mut self, life: u64, no: u64, now: Duration) {
        if life == self.life {
            self.forwarded
                .get_mut(&no)
                .into_iter()
                .for_each(|p| p.1 = now + FORWARD_TIMEOUT);
        }
    }

    /// What came of a command passed on; none: it could not be taken.
    pub(super) fn receive_forwarded(
        &mut self,
        life: u64,
        no: u64,
        reply: Option<CommandReply>,
        now: Duration,
    ) {
        if life != self.life {
            return;
        }
        let Some((asked, _)) = self.forwarded.remove(&no) else {
            return;
        };
        match reply {
            Some(reply) => self.answer(asked.requester, reply),
            None => {
                self.waiting.push_back(asked);
                self.tick(now);
            }
        }
    }
}
