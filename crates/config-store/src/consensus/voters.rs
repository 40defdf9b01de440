//! The voter set: the replicas that count towards a majority, stored as a configuration item.

use std::collections::BTreeSet;

use bitcode::{Decode, Encode};
use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{ConfigSnapshot, Item, ItemKey, ItemKind, ProposalNumber};
use damsonbeam_control::voters::majority_size;

/// The disk id of the founders, which are the seeds at the first start of the system. It is fixed, so that all
/// replicas can name the first voters without communicating.
pub const INITIAL_DISK_ID: u64 = 0;

/// A replica, identified by its address and disk id: after the loss of its disk it is a different replica. The type is
/// stored and sent in an encoding that depends on the order of its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Voter {
    /// The address of the machine.
    pub ip: Ip,
    /// The id of the disk.
    pub disk_id: u64,
}

/// The set of replicas that have a vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterSet {
    /// The version of the set, incremented by each change.
    pub epoch: u64,
    voters: BTreeSet<Voter>,
}

impl VoterSet {
    /// Returns the first voter set, which consists of the seeds at the first start of the system.
    pub fn initial(seeds: &[Ip]) -> Self {
        let voter = |ip: &Ip| Voter {
            ip: *ip,
            disk_id: INITIAL_DISK_ID,
        };
        VoterSet {
            epoch: 1,
            voters: seeds.iter().map(voter).collect(),
        }
    }

    /// Returns the voter set in a snapshot; `None` if the snapshot has none.
    pub fn from_snapshot(snapshot: &ConfigSnapshot) -> Option<Self> {
        snapshot.get(&key()).and_then(Self::from_item)
    }

    /// Decodes a voter set from an item; `None` if the item is not a valid voter set.
    pub fn from_item(item: &Item) -> Option<Self> {
        let is_set = item.key.kind == ItemKind::Voters;
        let body = item.body.as_deref().filter(|_| is_set)?;
        let voters: Vec<Voter> = bitcode::decode(body).ok()?;
        Some(VoterSet {
            epoch: item.version,
            voters: voters.into_iter().collect(),
        })
    }

    /// Encodes the set as an item.
    pub fn to_item(&self, proposal_number: ProposalNumber) -> Item {
        let voters: Vec<Voter> = self.voters.iter().copied().collect();
        Item {
            key: key(),
            version: self.epoch,
            proposal_number,
            body: Some(bitcode::encode(&voters)),
        }
    }

    /// Returns the voters, ordered by address and disk id.
    pub fn voters(&self) -> &BTreeSet<Voter> {
        &self.voters
    }

    /// Returns whether a replica has a vote.
    pub fn contains(&self, voter: &Voter) -> bool {
        self.voters.contains(voter)
    }

    /// Returns the number of voters that form a majority.
    pub fn majority_size(&self) -> usize {
        majority_size(self.voters.len())
    }

    /// Returns whether the given replicas include a majority of the set.
    pub fn is_majority(&self, replicas: &BTreeSet<Voter>) -> bool {
        self.voters.intersection(replicas).count() >= self.majority_size()
    }

    /// Returns the set of the next epoch, with a voter added.
    #[must_use]
    pub fn with(&self, voter: Voter) -> Self {
        let mut voters = self.voters.clone();
        voters.insert(voter);
        VoterSet {
            epoch: self.epoch + 1,
            voters,
        }
    }

    /// Returns the set of the next epoch, with a voter removed.
    #[must_use]
    pub fn without(&self, voter: &Voter) -> Self {
        let mut voters = self.voters.clone();
        voters.remove(voter);
        VoterSet {
            epoch: self.epoch + 1,
            voters,
        }
    }
}

fn key() -> ItemKey {
    ItemKey {
        kind: ItemKind::Voters,
        name: "voters".into(),
    }
}
