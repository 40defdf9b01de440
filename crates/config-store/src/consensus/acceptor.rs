//! The acceptor: promises ballots, accepts proposals, learns what is decided.

use damsonbeam_control::items::{Ballot, ConfigSnapshot, Item, Kind};
use damsonbeam_control::messages::{AcceptAnswer, Ip, Message};

use super::voters::VoterSet;
use super::{DurableWrite, Effect, Replica};

/// A proposal as it comes.
pub(super) struct Proposal {
    pub(super) ballot: Ballot,
    pub(super) step: u32,
    pub(super) voters: Item,
    pub(super) items: Vec<Item>,
    pub(super) decided: Vec<Item>,
    pub(super) level: Option<u64>,
}

impl Replica {
    /// A proposer asks for a promise.
    pub(super) fn receive_prepare(
        &mut self,
        from: Ip,
        ballot: Ballot,
        voters: Item,
        digest: (u64, u64),
    ) {
        if !self.agrees_on_epoch(from, ballot, voters) || !self.is_voter() {
            return;
        }
        if ballot > self.durable.promised {
            self.promise(ballot);
        }
        let promised = self.durable.promised;
        let same = digest
            == (
                self.durable.accepted.digest(),
                self.durable.decided.digest(),
            );
        let all = |b: &ConfigSnapshot| b.items().values().cloned().collect();
        let items = (promised == ballot && !same)
            .then(|| (all(&self.durable.accepted), all(&self.durable.decided)));
        let disk = self.durable.disk;
        self.effects.push(Effect::Send(
            from,
            Message::Promise {
                ballot,
                promised,
                disk,
                items,
            },
        ));
    }

    /// A proposer asks to accept its items.
    pub(super) fn receive_accept(&mut self, from: Ip, proposal: Proposal) {
        let Proposal {
            ballot,
            step,
            voters,
            items,
            decided,
            level,
        } = proposal;
        if !self.agrees_on_epoch(from, ballot, voters) {
            return;
        }
        let joins = items
            .iter()
            .filter_map(VoterSet::from_item)
            .any(|set| set.contains(&self.identity()));
        if !self.is_voter() && !joins {
            return;
        }
        let answer = if ballot < self.durable.promised {
            AcceptAnswer::Promised(self.durable.promised)
        } else if level.is_some_and(|digest| digest != self.durable.decided.digest()) {
            self.effects
                .push(Effect::Send(from, self.compare_digests()));
            AcceptAnswer::Behind
        } else {
            if ballot > self.durable.promised {
                self.promise(ballot);
            }
            // Known before its place is taken: were the proposal dropped, this would stand again.
            self.learn(decided);
            self.accept(items);
            AcceptAnswer::Accepted
        };
        let disk = self.durable.disk;
        self.effects.push(Effect::Send(
            from,
            Message::Accepted {
                ballot,
                step,
                disk,
                answer,
            },
        ));
    }

    /// Whether a round's epoch is the one in force here: a later one is learned, an earlier one refused.
    fn agrees_on_epoch(&mut self, from: Ip, ballot: Ballot, voters: Item) -> bool {
        let epoch = voters.version;
        if epoch > self.epoch() {
            self.learn(vec![voters]);
        }
        if epoch < self.epoch()
            && let Some(voters) = self.voters_item()
        {
            self.effects
                .push(Effect::Send(from, Message::NewerVoters { ballot, voters }));
        }
        epoch == self.epoch()
    }

    pub(super) fn promise(&mut self, ballot: Ballot) {
        self.durable.promised = ballot;
        self.highest = self.highest.max(ballot.round);
        self.effects
            .push(Effect::Persist(DurableWrite::Promised(ballot)));
    }

    pub(super) fn accept(&mut self, items: Vec<Item>) {
        let new: Vec<Item> = items
            .into_iter()
            .filter(|i| self.durable.accepted.replace(i.clone()))
            .collect();
        if !new.is_empty() {
            self.effects
                .push(Effect::Persist(DurableWrite::Accepted(new)));
        }
    }

    /// Takes in what is known to be decided, which may be done at any time.
    pub(super) fn learn(&mut self, items: Vec<Item>) {
        self.accept(items.clone());
        let new: Vec<Item> = items
            .into_iter()
            .filter(|i| self.durable.decided.replace(i.clone()))
            .collect();
        if new.is_empty() {
            return;
        }
        if new.iter().any(|i| i.key.kind == Kind::Voters) {
            self.voters = VoterSet::decided(&self.durable.decided);
        }
        self.effects
            .push(Effect::Persist(DurableWrite::Decided(new.clone())));
        self.effects.push(Effect::News(new));
    }
}
