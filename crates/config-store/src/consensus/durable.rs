//! What must be on disk, synced, before anything that depends on it is sent.

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{ConfigSnapshot, Item, ProposalNumber};

use super::voters::{FOUNDING_DISK, VoterSet};

/// The durable state of a replica.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub struct DurableState {
    /// Chosen at random when the store is made; that of a founder is [`FOUNDING_DISK`].
    pub disk_id: u64,
    /// The highest proposal number promised.
    pub promised: ProposalNumber,
    /// Items accepted.
    pub accepted: ConfigSnapshot,
    /// Items known to be committed.
    pub committed: ConfigSnapshot,
}

/// One write to the durable state.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum DurableWrite {
    /// The disk's id.
    DiskId(u64),
    /// A promise.
    Promised(ProposalNumber),
    /// Items accepted.
    Accepted(Vec<Item>),
    /// Items known to be committed.
    Committed(Vec<Item>),
}

impl DurableState {
    /// Applies a write, as the disk does.
    pub fn apply(&mut self, write: &DurableWrite) {
        match write {
            DurableWrite::DiskId(id) => self.disk_id = *id,
            DurableWrite::Promised(number) => self.promised = *number,
            DurableWrite::Accepted(items) => merge_all(&mut self.accepted, items),
            DurableWrite::Committed(items) => merge_all(&mut self.committed, items),
        }
    }

    /// Whether this disk's id is among the voters that it knows.
    pub fn has_vote(&self) -> bool {
        let set = VoterSet::committed(&self.committed);
        set.is_some_and(|set| {
            set.voters()
                .iter()
                .any(|voter| voter.disk_id == self.disk_id)
        })
    }

    /// What an empty disk is given at the very first start of the system: the seeds, which are the same everywhere, are
    /// the first voters. `None` where the disk is not empty.
    pub fn founding_writes(&self, own_ip: Ip, seeds: &[Ip]) -> Option<Vec<DurableWrite>> {
        let has_promised = self.promised != ProposalNumber::default();
        let is_empty = self.accepted.items().is_empty() && !has_promised;
        if !is_empty || seeds.is_empty() {
            return None;
        }
        let voters = VoterSet::founding(seeds).to_item(ProposalNumber::default());
        let mut writes = vec![
            DurableWrite::Accepted(vec![voters.clone()]),
            DurableWrite::Committed(vec![voters]),
        ];
        if seeds.contains(&own_ip) {
            writes.push(DurableWrite::DiskId(FOUNDING_DISK));
        }
        Some(writes)
    }
}

fn merge_all(snapshot: &mut ConfigSnapshot, items: &[Item]) {
    for item in items {
        snapshot.merge_proposed(item.clone());
    }
}
