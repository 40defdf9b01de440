//! The acceptor: promises proposal numbers, accepts proposals, learns what is committed. It alone changes the durable
//! state and the voters in force.

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{ConfigSnapshot, Item, ItemKind, ProposalNumber};
use damsonbeam_control::messages::{AcceptAnswer, Message, ReplicaItems, StateDigest};

use super::voters::VoterSet;
use super::{DurableWrite, Effect, Replica};

/// A proposal as it comes; see [`Message::Accept`].
pub(super) struct Proposal {
    pub(super) proposal_number: ProposalNumber,
    pub(super) step: u32,
    pub(super) voters: Item,
    pub(super) items: Vec<Item>,
    pub(super) committed: Vec<Item>,
    pub(super) required_digest: Option<u64>,
}

impl Replica {
    /// A proposer asks for a promise.
    pub(super) fn receive_prepare(
        &mut self,
        from: Ip,
        proposal_number: ProposalNumber,
        voters: Item,
        digest: StateDigest,
    ) {
        if !self.agrees_on_epoch(from, proposal_number, voters) || !self.is_voter() {
            return;
        }
        if proposal_number > self.durable.promised {
            self.promise(proposal_number);
        }
        let promised = self.durable.promised;
        let is_needed = promised == proposal_number && digest != self.state_digest();
        let message = Message::Promise {
            proposal_number,
            promised,
            disk_id: self.durable.disk_id,
            items: is_needed.then(|| self.all_items()),
        };
        self.effects.push(Effect::Send(from, message));
    }

    pub(super) fn state_digest(&self) -> StateDigest {
        StateDigest {
            accepted: self.durable.accepted.digest(),
            committed: self.durable.committed.digest(),
        }
    }

    fn all_items(&self) -> ReplicaItems {
        let all = |snapshot: &ConfigSnapshot| snapshot.items().values().cloned().collect();
        ReplicaItems {
            accepted: all(&self.durable.accepted),
            committed: all(&self.durable.committed),
        }
    }

    /// A proposer asks to accept its items.
    pub(super) fn receive_accept(&mut self, from: Ip, proposal: Proposal) {
        let Proposal {
            proposal_number,
            step,
            ..
        } = proposal;
        if !self.agrees_on_epoch(from, proposal_number, proposal.voters) {
            return;
        }
        let mut sets = proposal.items.iter().filter_map(VoterSet::from_item);
        let joins = sets.any(|set| set.contains(&self.identity()));
        if !self.is_voter() && !joins {
            return;
        }
        let has_required = |digest: u64| digest == self.durable.committed.digest();
        let answer = if proposal_number < self.durable.promised {
            AcceptAnswer::Promised(self.durable.promised)
        } else if !proposal.required_digest.is_none_or(has_required) {
            self.effects
                .push(Effect::Send(from, self.digests_message()));
            AcceptAnswer::Behind
        } else {
            if proposal_number > self.durable.promised {
                self.promise(proposal_number);
            }
            // Known before it is replaced: were the proposal dropped, this would be in force again.
            self.learn(proposal.committed);
            self.accept(proposal.items);
            AcceptAnswer::Accepted
        };
        let message = Message::Accepted {
            proposal_number,
            step,
            disk_id: self.durable.disk_id,
            answer,
        };
        self.effects.push(Effect::Send(from, message));
    }

    /// Whether a round's epoch is the one in force here: a later one is learned, an earlier one refused.
    fn agrees_on_epoch(&mut self, from: Ip, proposal_number: ProposalNumber, voters: Item) -> bool {
        let epoch = voters.version;
        if epoch > self.epoch() {
            self.learn(vec![voters]);
        }
        if epoch < self.epoch()
            && let Some(voters) = self.voters_item()
        {
            let message = Message::NewerVoters {
                proposal_number,
                voters,
            };
            self.effects.push(Effect::Send(from, message));
        }
        epoch == self.epoch()
    }

    pub(super) fn promise(&mut self, number: ProposalNumber) {
        self.durable.promised = number;
        self.highest_round = self.highest_round.max(number.round);
        self.effects
            .push(Effect::Persist(DurableWrite::Promised(number)));
    }

    pub(super) fn accept(&mut self, items: Vec<Item>) {
        let new = merge_new(&mut self.durable.accepted, items);
        if !new.is_empty() {
            self.effects
                .push(Effect::Persist(DurableWrite::Accepted(new)));
        }
    }

    /// Takes in what is known to be committed, which may be done at any time.
    pub(super) fn learn(&mut self, items: Vec<Item>) {
        self.accept(items.clone());
        let new = merge_new(&mut self.durable.committed, items);
        if new.is_empty() {
            return;
        }
        if new.iter().any(|item| item.key.kind == ItemKind::Voters) {
            self.voters = VoterSet::committed(&self.durable.committed);
        }
        self.effects
            .push(Effect::Persist(DurableWrite::Committed(new.clone())));
        self.effects.push(Effect::Committed(new));
    }
}

/// Merges items by proposal number; returns those that were new.
fn merge_new(snapshot: &mut ConfigSnapshot, items: Vec<Item>) -> Vec<Item> {
    let items = items.into_iter();
    items
        .filter(|item| snapshot.merge_proposed(item.clone()))
        .collect()
}
