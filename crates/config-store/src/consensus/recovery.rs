//! Recovery of items that earlier rounds left accepted but uncommitted.
//!
//! A round collects the items that a majority has accepted. An item among them that an earlier round committed, unknown
//! to this proposer, must be proposed again. The others belong to calls that have no clear answer: they may be proposed
//! again, but only all items of a call together, because no part of a call that is refused later may be in force.
//!
//! The items of one call have the same proposal number, and each acceptor accepts all or none of them. So a call was
//! never committed if
//!
//! - a later proposal for one of its items has an earlier version, or other content under the same version: its proposer
//!   would have collected the committed item, and versions only rise; or
//! - one of its items conflicts with an item proposed later or known to be committed: that item's proposer validated it
//!   together with everything committed before.
//!
//! Such a call is reverted as a whole. The present content of one of its items is then written again, under the number of
//! this round, so that no later round that finds the call elsewhere can propose it.

use std::collections::{BTreeMap, BTreeSet};

use damsonbeam_control::config::{
    ConfigSnapshot, Conflict, Item, ItemKey, ItemKind, ProposalNumber,
};

use super::command::uncommitted;

/// Returns the number of the earlier of two proposals for an item if the later one proves that it was never committed.
pub(super) fn superseded_call(first: &Item, second: &Item) -> Option<ProposalNumber> {
    let rank = |item: &Item| (item.proposal_number, item.version);
    let (earlier, later) = if rank(first) < rank(second) {
        (first, second)
    } else {
        (second, first)
    };
    let is_later_version = earlier.version > later.version;
    let is_other_content = earlier.version == later.version && earlier.body != later.body;
    (is_later_version || is_other_content).then_some(earlier.proposal_number)
}

/// The items that the replicas of a round have accepted.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub(super) struct CollectedItems {
    snapshot: ConfigSnapshot,
    /// Calls of which some item proves that they were never committed.
    superseded_calls: BTreeSet<ProposalNumber>,
}

/// What a round proposes before its commands.
pub(super) struct Recovery {
    /// The items of each call to be proposed again.
    pub(super) calls: Vec<Vec<Item>>,
    /// The present content of items of which a proposal was reverted.
    pub(super) confirmed: Vec<Item>,
    /// The reverted items.
    pub(super) reverted: Vec<Item>,
    /// A later voter set, which is proposed after all other items.
    pub(super) later_voters: Option<Item>,
}

impl CollectedItems {
    /// Starts with the items that the proposer itself has accepted.
    pub(super) fn new(accepted: ConfigSnapshot) -> Self {
        CollectedItems {
            snapshot: accepted,
            superseded_calls: BTreeSet::new(),
        }
    }

    /// Adds an item that another replica has accepted.
    pub(super) fn merge(&mut self, item: Item) {
        if let Some(known) = self.snapshot.get(&item.key) {
            let superseded = superseded_call(known, &item);
            self.superseded_calls.extend(superseded);
        }
        self.snapshot.merge_proposed(item);
    }

    /// Decides which uncommitted items are proposed again; `epoch` is that of the round.
    pub(super) fn resolve(mut self, committed: &ConfigSnapshot, epoch: u64) -> Recovery {
        let superseded_calls = std::mem::take(&mut self.superseded_calls);
        let mut reverted_calls = self.revert_calls(superseded_calls, committed);
        // A call may depend on an item of a reverted one.
        loop {
            let conflicting_calls = self.conflicting_calls(committed);
            if conflicting_calls.is_empty() {
                break;
            }
            reverted_calls.extend(self.revert_calls(conflicting_calls, committed));
        }
        let is_later_set = |item: &&Item| item.key.kind == ItemKind::Voters && item.version > epoch;
        let later_voters = uncommitted(&self.snapshot, committed).find(is_later_set);
        let mut calls: BTreeMap<ProposalNumber, Vec<Item>> = BTreeMap::new();
        for item in uncommitted(&self.snapshot, committed).filter(|item| !is_later_set(item)) {
            let call = calls.entry(item.proposal_number).or_default();
            call.push(item.clone());
        }
        Recovery {
            calls: calls.into_values().collect(),
            confirmed: self.confirm(&reverted_calls, committed),
            later_voters: later_voters.cloned(),
            reverted: reverted_calls.into_iter().flatten().collect(),
        }
    }

    /// Reverts calls and returns the items of each that had uncommitted ones.
    fn revert_calls(
        &mut self,
        calls: BTreeSet<ProposalNumber>,
        committed: &ConfigSnapshot,
    ) -> Vec<Vec<Item>> {
        let reverted = calls
            .into_iter()
            .map(|call| self.revert_call(call, committed));
        reverted.filter(|items| !items.is_empty()).collect()
    }

    /// Reverts the uncommitted items of a call to what is committed, and returns them.
    fn revert_call(&mut self, call: ProposalNumber, committed: &ConfigSnapshot) -> Vec<Item> {
        let items = uncommitted(&self.snapshot, committed);
        let items = items.filter(|item| item.proposal_number == call);
        let items: Vec<Item> = items.cloned().collect();
        for item in &items {
            match committed.get(&item.key) {
                Some(item) => self.snapshot.insert(item.clone()),
                None => self.snapshot.remove(&item.key),
            }
        }
        items
    }

    /// Returns the calls with an uncommitted item that conflicts with a committed or a later one.
    fn conflicting_calls(&self, committed: &ConfigSnapshot) -> BTreeSet<ProposalNumber> {
        if uncommitted(&self.snapshot, committed).next().is_none() {
            return BTreeSet::new();
        }
        let is_uncommitted = |item: &&Item| committed.get(&item.key) != Some(*item);
        let earlier_call = |conflict: Conflict| {
            let keys = [Some(conflict.item), conflict.other].into_iter().flatten();
            let items = keys.filter_map(|key| self.snapshot.get(&key));
            let items = items.filter(is_uncommitted);
            items.map(|item| item.proposal_number).min()
        };
        let conflicts = self.snapshot.conflicts().into_iter();
        conflicts.filter_map(earlier_call).collect()
    }

    /// Returns the present content of one item of each reverted call. An item that is proposed again needs no other
    /// write.
    fn confirm(&self, reverted_calls: &[Vec<Item>], committed: &ConfigSnapshot) -> Vec<Item> {
        let keys = reverted_calls.iter().filter_map(|items| items.first());
        let keys: BTreeSet<&ItemKey> = keys.map(|item| &item.key).collect();
        let is_settled = |key: &&ItemKey| self.snapshot.get(key) == committed.get(key);
        let present = |key: &ItemKey| {
            let item = committed.get(key).cloned();
            item.unwrap_or_else(|| Item::unset(key.clone(), ProposalNumber::default()))
        };
        keys.into_iter().filter(is_settled).map(present).collect()
    }
}
