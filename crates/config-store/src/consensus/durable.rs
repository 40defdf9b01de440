//! The durable state of a replica, which is synced to disk before any message that depends on it is sent.

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{ConfigSnapshot, Item, ItemKey, ProposalNumber};

use super::voters::{INITIAL_DISK_ID, VoterSet};

/// The durable state of a replica.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub struct DurableState {
    /// The id of the disk, chosen at random when the store is created; a founder's is [`INITIAL_DISK_ID`].
    pub disk_id: u64,
    /// The highest proposal number promised.
    pub promised: ProposalNumber,
    /// The items accepted.
    pub accepted: ConfigSnapshot,
    /// The items known to be committed.
    pub committed: ConfigSnapshot,
}

/// One write to the durable state.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum DurableWrite {
    /// Sets the disk id.
    DiskId(u64),
    /// Sets the highest proposal number promised.
    Promised(ProposalNumber),
    /// Adds accepted items.
    Accepted(Vec<Item>),
    /// Adds items known to be committed.
    Committed(Vec<Item>),
    /// Replaces accepted items by the committed ones.
    Reverted(Vec<ItemKey>),
}

impl DurableState {
    /// Applies a write to the copy in memory, with the same result as the write on disk.
    pub fn apply(&mut self, write: &DurableWrite) {
        match write {
            DurableWrite::DiskId(id) => self.disk_id = *id,
            DurableWrite::Promised(number) => self.promised = *number,
            DurableWrite::Accepted(items) => merge_all(&mut self.accepted, items),
            DurableWrite::Committed(items) => merge_all(&mut self.committed, items),
            DurableWrite::Reverted(keys) => keys.iter().for_each(|key| self.revert(key)),
        }
    }

    fn revert(&mut self, key: &ItemKey) {
        match self.committed.get(key) {
            Some(item) => self.accepted.insert(item.clone()),
            None => self.accepted.remove(key),
        }
    }

    /// Returns whether this disk's id is in the latest voter set it knows.
    pub fn is_voter(&self) -> bool {
        let set = VoterSet::from_snapshot(&self.committed);
        set.is_some_and(|set| {
            set.voters()
                .iter()
                .any(|voter| voter.disk_id == self.disk_id)
        })
    }

    /// Returns the writes that initialize an empty disk at the first start of the system: the seeds, which are the same
    /// on all machines, are the first voters. Returns `None` if the disk is not empty or there are no seeds.
    pub fn initial_writes(&self, own_ip: Ip, seeds: &[Ip]) -> Option<Vec<DurableWrite>> {
        let has_promised = self.promised != ProposalNumber::default();
        let is_empty = self.accepted.items().is_empty() && !has_promised;
        if !is_empty || seeds.is_empty() {
            return None;
        }
        let voters = VoterSet::initial(seeds).to_item(ProposalNumber::default());
        let mut writes = vec![
            DurableWrite::Accepted(vec![voters.clone()]),
            DurableWrite::Committed(vec![voters]),
        ];
        if seeds.contains(&own_ip) {
            writes.push(DurableWrite::DiskId(INITIAL_DISK_ID));
        }
        Some(writes)
    }
}

fn merge_all(snapshot: &mut ConfigSnapshot, items: &[Item]) {
    for item in items {
        snapshot.merge_proposed(item.clone());
    }
}
