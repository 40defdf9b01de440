//! The proposer: a round of prepare and accept, and the commands that it carries out.

use std::collections::BTreeSet;
use std::time::Duration;

use damsonbeam_control::items::{Ballot, ConfigSnapshot, Item, Kind};
use damsonbeam_control::messages::{AcceptAnswer, Command, CommandReply, Ip, Message};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::apply::{apply, settle, undecided};
use super::voters::{Voter, VoterSet};
use super::{
    CHANGE_PAUSE, Effect, LINGER, MAX_BACKOFF, PHASE_TIMEOUT, PendingCommand, Replica, Requester,
};

/// An acceptor's answer to a prepare.
pub(super) struct Promise {
    pub(super) ballot: Ballot,
    pub(super) promised: Ballot,
    pub(super) disk: u64,
    pub(super) items: Option<(Vec<Item>, Vec<Item>)>,
}

/// What follows once a proposal is accepted.
#[derive(Clone, Debug, PartialEq, Hash)]
enum Next {
    /// What others left undecided is settled: the round's own work begins.
    OwnWork,
    /// Another set of voters is in force: nothing of this round counts there.
    NewEpoch,
    Answer(Vec<(Requester, CommandReply)>),
}

#[derive(Clone, Debug, PartialEq, Hash)]
enum Phase {
    Prepare {
        promises: BTreeSet<Voter>,
        gathered: Box<ConfigSnapshot>,
    },
    Accept {
        accepts: BTreeSet<Voter>,
        items: Vec<Item>,
        next: Next,
    },
}

/// One ballot of this proposer, in one epoch.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(super) struct Round {
    ballot: Ballot,
    voters: VoterSet,
    /// Who had promised when it had enough.
    answered: BTreeSet<Voter>,
    /// Counts the proposals: an answer to one must not count for another.
    step: u32,
    orders: Vec<PendingCommand>,
    /// It has a majority, and waits for what a change of the voter set needs beyond it.
    lingers: bool,
    pub(super) until: Duration,
    phase: Phase,
}

impl Replica {
    pub(super) fn prepare(&mut self, orders: Vec<PendingCommand>, now: Duration) {
        let (Some(set), Some(voters)) = (self.voters.clone(), self.voters_item()) else {
            return;
        };
        self.highest += 1;
        let ballot = Ballot {
            round: self.highest,
            writer: self.writer(),
        };
        self.promise(ballot);
        let digest = (
            self.durable.accepted.digest(),
            self.durable.decided.digest(),
        );
        let promises = [self.identity()].into();
        let phase = Phase::Prepare {
            promises,
            gathered: Box::new(self.durable.accepted.clone()),
        };
        self.round = Some(Round {
            ballot,
            voters: set,
            answered: BTreeSet::new(),
            step: 0,
            orders,
            lingers: false,
            until: now + PHASE_TIMEOUT,
            phase,
        });
        self.effects.push(Effect::Broadcast(Message::Prepare {
            ballot,
            voters,
            digest,
        }));
        self.promises_complete(now);
    }

    /// Back into the line with what is not answered; whoever clashed waits a time by lot.
    pub(super) fn abandon_round(&mut self, now: Duration) {
        if self.round.as_ref().is_some_and(|r| r.lingers) {
            self.next_change_at = now + CHANGE_PAUSE;
            return self.requeue_round();
        }
        self.clashes = (self.clashes + 1).min(5);
        self.random_draws = self.random_draws.wrapping_add(1);
        let lot: f64 = SmallRng::seed_from_u64(self.random_draws).random();
        self.next_round_at = now + MAX_BACKOFF.mul_f64(lot * f64::from(self.clashes));
        self.requeue_round();
    }

    fn requeue_round(&mut self) {
        let Some(round) = self.round.take() else {
            return;
        };
        for order in round.orders.into_iter().rev() {
            self.waiting.push_front(order);
        }
    }

    /// A round counts in its own epoch alone.
    pub(super) fn drop_round_of_earlier_epoch(&mut self) {
        if self
            .round
            .as_ref()
            .is_some_and(|r| r.voters.epoch != self.epoch())
        {
            self.requeue_round();
        }
    }

    /// An acceptor answers a prepare.
    pub(super) fn receive_promise(&mut self, from: Ip, promise: Promise, now: Duration) {
        let Promise {
            ballot,
            promised,
            disk,
            items,
        } = promise;
        self.highest = self.highest.max(promised.round);
        let Some(round) = self.round.as_mut().filter(|r| r.ballot == ballot) else {
            return;
        };
        let Phase::Prepare { promises, gathered } = &mut round.phase else {
            return;
        };
        if promised != ballot {
            return self.abandon_round(now);
        }
        let (items, decided) = items.unwrap_or_default();
        for item in items.into_iter().chain(decided.iter().cloned()) {
            gathered.replace(item);
        }
        promises.insert(Voter { ip: from, disk });
        self.learn(decided);
        self.drop_round_of_earlier_epoch();
        self.promises_complete(now);
    }

    /// An acceptor answers a proposal.
    pub(super) fn receive_accepted(
        &mut self,
        voter: Voter,
        (ballot, step): (Ballot, u32),
        answer: AcceptAnswer,
        now: Duration,
    ) {
        if let AcceptAnswer::Promised(later) = answer {
            self.highest = self.highest.max(later.round);
        }
        let Some(round) = self
            .round
            .as_mut()
            .filter(|r| (r.ballot, r.step) == (ballot, step))
        else {
            return;
        };
        let Phase::Accept { accepts, .. } = &mut round.phase else {
            return;
        };
        match answer {
            AcceptAnswer::Accepted => {
                accepts.insert(voter);
                self.accepts_complete(now);
            }
            AcceptAnswer::Promised(_) => self.abandon_round(now),
            AcceptAnswer::Behind => self.propose_again(voter.ip),
        }
    }

    /// The acceptor has asked for what it lacks, and has been sent it: by the time this comes it is level, unless it
    /// holds what this replica lacks.
    fn propose_again(&mut self, to: Ip) {
        let (Some(voters), compare) = (self.voters_item(), self.compare_digests()) else {
            return;
        };
        let level = Some(self.durable.decided.digest());
        let Some(Round {
            ballot,
            step,
            phase: Phase::Accept { items, .. },
            ..
        }) = &self.round
        else {
            return;
        };
        let (ballot, step, items, decided) = (*ballot, *step, items.clone(), Vec::new());
        let proposal = Message::Accept {
            ballot,
            step,
            voters,
            items,
            decided,
            level,
        };
        self.effects.push(Effect::Send(to, compare));
        self.effects.push(Effect::Send(to, proposal));
    }

    /// A round of an earlier epoch was refused.
    pub(super) fn receive_newer_voters(&mut self, ballot: Ballot, voters: Item) {
        self.highest = self.highest.max(ballot.round);
        self.learn(vec![voters]);
        self.drop_round_of_earlier_epoch();
    }

    /// A majority has told what it accepted. What was left undecided by others' writes is decided first: a command may
    /// take the place of an item only where it is known to be decided, and is told so along with what replaces it.
    fn promises_complete(&mut self, now: Duration) {
        let change = self.due_change(now);
        let Some(round) = &mut self.round else { return };
        let Phase::Prepare { promises, gathered } = &mut round.phase else {
            return;
        };
        if !round.voters.is_majority(promises) {
            return;
        }
        // Proposed only where those who answer now suffice for it: what is known of the others may be old.
        if change.is_some_and(|next| !next.is_majority(promises)) && round.orders.is_empty() {
            if !round.lingers {
                (round.lingers, round.until) = (true, now + LINGER);
            }
            return;
        }
        round.lingers = false;
        round.answered = promises.clone();
        let mut snapshot = std::mem::take(&mut **gathered);
        settle(&mut snapshot, &self.durable.decided);
        let (ballot, epoch) = (round.ballot, round.voters.epoch);
        let left = undecided(&snapshot, &self.durable.decided).map(|i| Item {
            ballot,
            ..i.clone()
        });
        // A change of the voter set comes last, when all before it is decided.
        let (change, left): (Vec<Item>, Vec<Item>) =
            left.partition(|i| i.key.kind == Kind::Voters && i.version > epoch);
        self.left_voters = change.first().and_then(VoterSet::from_item);
        if left.is_empty() {
            self.own_work(now);
        } else {
            self.propose(left, Next::OwnWork, now);
        }
    }

    /// All that may have been decided is decided here, and nobody else's write can be by a lower ballot any more.
    fn own_work(&mut self, now: Duration) {
        let answered = self
            .round
            .as_ref()
            .map(|r| r.answered.clone())
            .unwrap_or_default();
        let due = self
            .due_change(now)
            .filter(|next| next.is_majority(&answered));
        let change = self.left_voters.take().or(due);
        match change {
            Some(set) => self.propose_voters(&set, now),
            None => self.apply_commands(now),
        }
    }

    fn propose_voters(&mut self, set: &VoterSet, now: Duration) {
        let Some(round) = &self.round else { return };
        let item = set.to_item(round.ballot);
        self.propose(vec![item], Next::NewEpoch, now);
    }

    fn apply_commands(&mut self, now: Duration) {
        let Some(round) = &self.round else { return };
        let (mut snapshot, ballot, mut replies) =
            (self.durable.decided.clone(), round.ballot, Vec::new());
        for PendingCommand {
            requester,
            order,
            until,
            passed_on,
        } in &round.orders
        {
            if now >= *until && matches!(order, Command::Evacuate { .. }) {
                replies.push((
                    *requester,
                    CommandReply::Unsettled("it took too long".into()),
                ));
                continue;
            }
            let (next, mut reply) = apply(&snapshot, order, ballot);
            snapshot = next.unwrap_or(snapshot);
            if *passed_on && let CommandReply::Invalid(why) = reply {
                // It may yet be found valid there.
                reply = CommandReply::Unsettled(why);
            }
            replies.push((*requester, reply));
        }
        for (_, reply) in replies
            .iter_mut()
            .filter(|r| r.1 == CommandReply::Config(Vec::new()))
        {
            let items = snapshot
                .items()
                .values()
                .filter(|i| !i.key.kind.is_internal());
            *reply = CommandReply::Config(items.cloned().collect());
        }
        let new: Vec<Item> = undecided(&snapshot, &self.durable.decided)
            .cloned()
            .collect();
        if new.is_empty() {
            self.finish_round(replies);
        } else {
            self.propose(new, Next::Answer(replies), now);
        }
    }

    fn finish_round(&mut self, replies: Vec<(Requester, CommandReply)>) {
        self.round = None;
        self.clashes = 0;
        // What is left after a round clashes with what is decided: it is looked at again, not at once.
        self.undecided_since = None;
        replies
            .into_iter()
            .for_each(|(requester, reply)| self.answer(requester, reply));
    }

    fn propose(&mut self, items: Vec<Item>, next: Next, now: Duration) {
        let me = self.identity();
        let before = items
            .iter()
            .filter_map(|i| self.durable.decided.get(&i.key));
        let decided: Vec<Item> = before.cloned().collect();
        let Some(voters) = self.voters_item() else {
            return;
        };
        let Some(round) = &mut self.round else { return };
        if self.durable.promised > round.ballot {
            // Promised to another since: this one's own word, too, is for the later ballot.
            return self.abandon_round(now);
        }
        round.step += 1;
        round.until = now + PHASE_TIMEOUT;
        let level = (next == Next::NewEpoch).then(|| self.durable.decided.digest());
        let (ballot, step) = (round.ballot, round.step);
        round.phase = Phase::Accept {
            accepts: [me].into(),
            items: items.clone(),
            next,
        };
        self.accept(items.clone());
        let proposal = Message::Accept {
            ballot,
            step,
            voters,
            items,
            decided,
            level,
        };
        self.effects.push(Effect::Broadcast(proposal));
        self.accepts_complete(now);
    }

    fn accepts_complete(&mut self, now: Duration) {
        let Some(round) = &mut self.round else { return };
        let Phase::Accept {
            accepts,
            items,
            next,
        } = &mut round.phase
        else {
            return;
        };
        let new_set = items.iter().filter_map(VoterSet::from_item).next();
        let by_the_new = new_set.is_none_or(|set| set.is_majority(accepts));
        if !round.voters.is_majority(accepts) || !by_the_new {
            return;
        }
        let (items, next) = (std::mem::take(items), next.clone());
        self.learn(items.clone());
        self.effects
            .push(Effect::Broadcast(Message::Commit { items }));
        match next {
            Next::OwnWork => self.own_work(now),
            Next::NewEpoch => self.requeue_round(),
            Next::Answer(replies) => self.finish_round(replies),
        }
    }
}
