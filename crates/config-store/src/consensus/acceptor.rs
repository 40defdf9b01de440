//! The acceptor: promises proposal numbers, accepts proposals and learns committed items. Only this module changes the
//! durable state and the voter set in force.

use std::collections::BTreeSet;

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{ConfigSnapshot, Item, ItemKey, ItemKind, ProposalNumber};
use damsonbeam_control::messages::{AcceptAnswer, Message, ReplicaItems, StateDigest};

use super::command::uncommitted;
use super::recovery::superseded_call;
use super::voters::VoterSet;
use super::{DurableWrite, Effect, Replica};

/// A received proposal; see [`Message::Accept`].
pub(super) struct Proposal {
    pub(super) proposal_number: ProposalNumber,
    pub(super) step: u32,
    pub(super) voters: Item,
    pub(super) items: Vec<Item>,
    pub(super) committed: Vec<Item>,
    pub(super) required_digest: Option<u64>,
}

impl Replica {
    /// Handles a prepare: promises the proposal number unless a higher one is promised, and answers with the promise in
    /// force. Items are included only if the proposer's digests differ.
    pub(super) fn receive_prepare(
        &mut self,
        from: Ip,
        proposal_number: ProposalNumber,
        voters: Item,
        digest: StateDigest,
    ) {
        if !self.check_epoch(from, proposal_number, voters) || !self.is_voter() {
            return;
        }
        if proposal_number > self.durable.promised {
            self.promise(proposal_number);
        }
        let promised = self.durable.promised;
        let needs_items = promised == proposal_number && digest != self.state_digest();
        let message = Message::Promise {
            proposal_number,
            promised,
            disk_id: self.durable.disk_id,
            items: needs_items.then(|| self.all_items()),
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

    /// Handles a proposal: accepts its items unless a higher number is promised or the committed items differ from
    /// those that the proposal requires, and answers with the result.
    pub(super) fn receive_accept(&mut self, from: Ip, proposal: Proposal) {
        let Proposal {
            proposal_number,
            step,
            ..
        } = proposal;
        if !self.check_epoch(from, proposal_number, proposal.voters) {
            return;
        }
        let mut proposed_sets = proposal.items.iter().filter_map(VoterSet::from_item);
        let includes_self = proposed_sets.any(|set| set.contains(&self.identity()));
        if !self.is_voter() && !includes_self {
            return;
        }
        let has_required_digest = |digest: u64| digest == self.durable.committed.digest();
        let answer = if proposal_number < self.durable.promised {
            AcceptAnswer::RejectedByPromise(self.durable.promised)
        } else if !proposal.required_digest.is_none_or(has_required_digest) {
            self.effects
                .push(Effect::Send(from, self.digests_message()));
            AcceptAnswer::MissingItems
        } else {
            if proposal_number > self.durable.promised {
                self.promise(proposal_number);
            }
            // Learn the committed items before accepting their replacements: if the proposal is dropped, they are in
            // force again.
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

    /// Compares the epoch of a round with the one in force here and returns whether they are equal. Learns a later
    /// voter set, and refuses an earlier one by sending the later.
    fn check_epoch(&mut self, from: Ip, proposal_number: ProposalNumber, voters: Item) -> bool {
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

    /// Accepts items. Of a call that one of them supersedes, this replica keeps no other item either.
    pub(super) fn accept(&mut self, items: Vec<Item>) {
        let known = items.iter().filter_map(|item| {
            let known = self.durable.accepted.get(&item.key)?;
            superseded_call(known, item)
        });
        let superseded_calls: BTreeSet<ProposalNumber> = known.collect();
        let new = merge_new(&mut self.durable.accepted, items);
        if !new.is_empty() {
            self.effects
                .push(Effect::Persist(DurableWrite::Accepted(new)));
        }
        if !superseded_calls.is_empty() {
            self.revert_accepted(&superseded_calls);
        }
    }

    /// Reverts the accepted items of calls that were never committed to what is committed.
    fn revert_accepted(&mut self, calls: &BTreeSet<ProposalNumber>) {
        let items = uncommitted(&self.durable.accepted, &self.durable.committed);
        let items = items.filter(|item| calls.contains(&item.proposal_number));
        let keys: Vec<ItemKey> = items.map(|item| item.key.clone()).collect();
        if !keys.is_empty() {
            let write = DurableWrite::Reverted(keys);
            self.durable.apply(&write);
            self.effects.push(Effect::Persist(write));
        }
    }

    /// Merges items that are known to be committed. This is safe at any time.
    pub(super) fn learn(&mut self, items: Vec<Item>) {
        let new = merge_new(&mut self.durable.committed, items.clone());
        if !new.is_empty() {
            let write = DurableWrite::Committed(new.clone());
            self.effects.push(Effect::Persist(write));
        }
        self.accept(items);
        if new.is_empty() {
            return;
        }
        let numbers = new.iter().map(|item| item.proposal_number);
        self.newest_commit = numbers.fold(self.newest_commit, ProposalNumber::max);
        if new.iter().any(|item| item.key.kind == ItemKind::Voters) {
            self.voters = VoterSet::from_snapshot(&self.durable.committed);
        }
        self.effects.push(Effect::Committed(new));
    }
}

/// Merges items by proposal number and returns those that changed the snapshot.
fn merge_new(snapshot: &mut ConfigSnapshot, items: Vec<Item>) -> Vec<Item> {
    let items = items.into_iter();
    items
        .filter(|item| snapshot.merge_proposed(item.clone()))
        .collect()
}
