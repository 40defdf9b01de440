//! The voter set: which replicas count in a majority, as one item of the agreement itself.

use std::collections::BTreeSet;

use bitcode::{Decode, Encode};
use damsonbeam_control::items::{Ballot, ConfigSnapshot, Item, Key, Kind};
use damsonbeam_control::messages::Ip;

/// The disk id of the replicas that the system was started with for the first time: known to all before they meet.
pub const FOUNDING_DISK: u64 = 0;

/// A replica by its address and the id of its disk: one whose disk was lost is another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Voter {
    pub ip: Ip,
    pub disk: u64,
}

/// The replicas that have a vote, since the change of the set that `epoch` numbers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterSet {
    pub epoch: u64,
    voters: BTreeSet<Voter>,
}

impl VoterSet {
    /// The first set: the seeds of the first start.
    pub fn founding(seeds: &[Ip]) -> Self {
        let voters = seeds
            .iter()
            .map(|ip| Voter {
                ip: *ip,
                disk: FOUNDING_DISK,
            })
            .collect();
        VoterSet { epoch: 1, voters }
    }

    /// The set in force according to what is decided; none where no set is known.
    pub fn decided(snapshot: &ConfigSnapshot) -> Option<Self> {
        snapshot.get(&key()).and_then(Self::from_item)
    }

    /// None where the item is no voter set.
    pub fn from_item(item: &Item) -> Option<Self> {
        let body = item
            .body
            .as_deref()
            .filter(|_| item.key.kind == Kind::Voters)?;
        let voters: Vec<Voter> = bitcode::decode(body).ok()?;
        Some(VoterSet {
            epoch: item.version,
            voters: voters.into_iter().collect(),
        })
    }

    pub fn to_item(&self, ballot: Ballot) -> Item {
        let voters: Vec<Voter> = self.voters.iter().copied().collect();
        Item {
            key: key(),
            version: self.epoch,
            ballot,
            body: Some(bitcode::encode(&voters)),
        }
    }

    pub fn voters(&self) -> &BTreeSet<Voter> {
        &self.voters
    }

    pub fn contains(&self, voter: &Voter) -> bool {
        self.voters.contains(voter)
    }

    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub fn is_majority(&self, some: &BTreeSet<Voter>) -> bool {
        self.voters.intersection(some).count() >= self.majority()
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

fn key() -> Key {
    Key {
        kind: Kind::Voters,
        name: "voters".into(),
    }
}
