//! The voter set: which replicas count in a majority, as one item of the consensus itself.

use std::collections::BTreeSet;

use bitcode::{Decode, Encode};
use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{ConfigSnapshot, Item, ItemKey, ItemKind, ProposalNumber};
use damsonbeam_control::voters::majority;

/// The disk id of the replicas that the system was started with for the first time: known to all before they meet.
pub const FOUNDING_DISK: u64 = 0;

/// A replica by its address and the id of its disk: one whose disk was lost is another replica. It is stored and sent:
/// its fields keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Voter {
    /// Its machine.
    pub ip: Ip,
    /// The id of its disk.
    pub disk_id: u64,
}

/// The replicas that have a vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterSet {
    /// Counts the changes of the set.
    pub epoch: u64,
    voters: BTreeSet<Voter>,
}

impl VoterSet {
    /// The first set: the seeds of the first start.
    pub fn founding(seeds: &[Ip]) -> Self {
        let voter = |ip: &Ip| Voter {
            ip: *ip,
            disk_id: FOUNDING_DISK,
        };
        VoterSet {
            epoch: 1,
            voters: seeds.iter().map(voter).collect(),
        }
    }

    /// The set in force according to the committed items; `None` where no set is known.
    pub fn committed(snapshot: &ConfigSnapshot) -> Option<Self> {
        snapshot.get(&key()).and_then(Self::from_item)
    }

    /// The set that an item describes; `None` where the item is no voter set.
    pub fn from_item(item: &Item) -> Option<Self> {
        let is_set = item.key.kind == ItemKind::Voters;
        let body = item.body.as_deref().filter(|_| is_set)?;
        let voters: Vec<Voter> = bitcode::decode(body).ok()?;
        Some(VoterSet {
            epoch: item.version,
            voters: voters.into_iter().collect(),
        })
    }

    /// The item that describes the set.
    pub fn to_item(&self, proposal_number: ProposalNumber) -> Item {
        let voters: Vec<Voter> = self.voters.iter().copied().collect();
        Item {
            key: key(),
            version: self.epoch,
            proposal_number,
            body: Some(bitcode::encode(&voters)),
        }
    }

    /// The voters in order.
    pub fn voters(&self) -> &BTreeSet<Voter> {
        &self.voters
    }

    /// Whether a replica has a vote.
    pub fn contains(&self, voter: &Voter) -> bool {
        self.voters.contains(voter)
    }

    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        majority(self.voters.len())
    }

    /// Whether a majority of the set is among these replicas.
    pub fn is_majority(&self, replicas: &BTreeSet<Voter>) -> bool {
        self.voters.intersection(replicas).count() >= self.majority()
    }

    /// The next set, with one member more.
    #[must_use]
    pub fn with(&self, voter: Voter) -> Self {
        let mut voters = self.voters.clone();
        voters.insert(voter);
        VoterSet {
            epoch: self.epoch + 1,
            voters,
        }
    }

    /// The next set, with one member less.
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
