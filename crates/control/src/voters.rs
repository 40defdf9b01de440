//! The voters of the system and their epoch, as decided by the configuration store.
//!
//! The set changes by one member at a time, and every change increments the epoch. The coordinator's lease is safe only if
//! these changes have two properties:
//!
//! - Majorities of consecutive epochs have a member in common ([`VoterSet::majorities_intersect`]). The store ensures this.
//! - A store accepts a change of epoch no earlier than [`crate::lease::EPOCH_SPACING`] after the previous change. The store
//!   does not enforce this yet: the lease is not safe if two changes follow each other within a shorter time.

use crate::address::Ip;

/// The voters of one epoch, identified by the addresses of their machines.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterSet {
    /// The number of the set; every change increments it.
    pub epoch: u64,
    /// Sorted, without duplicates.
    voters: Vec<Ip>,
}

impl VoterSet {
    /// Creates the voter set of an epoch. The order and duplicates of `voters` do not matter.
    pub fn new(epoch: u64, mut voters: Vec<Ip>) -> Self {
        voters.sort_unstable();
        voters.dedup();
        VoterSet { epoch, voters }
    }

    /// Returns the voters in ascending order.
    pub fn voters(&self) -> &[Ip] {
        &self.voters
    }

    /// Returns whether the machine is a voter.
    pub fn contains(&self, ip: Ip) -> bool {
        self.voters.binary_search(&ip).is_ok()
    }

    /// Returns the size of a majority of this set.
    pub fn majority_size(&self) -> usize {
        majority_size(self.voters.len())
    }

    /// Returns whether every majority of this set has a member in common with every majority of `other`. This holds where
    /// the sets differ by one added or removed member. Where one member was replaced by another, it holds for sets of even
    /// size only.
    pub fn majorities_intersect(&self, other: &VoterSet) -> bool {
        let common = self.voters.iter().filter(|ip| other.contains(**ip)).count();
        let union = self.voters.len() + other.voters.len() - common;
        self.majority_size() + other.majority_size() > union
    }

    /// Returns the latest time `t` such that `time_of(voter) >= t` for a majority of the voters. `time_of` returns `None`
    /// for a voter without a time; the result is `None` if fewer voters than a majority have one.
    pub fn majority_time<T: Ord + Copy>(&self, time_of: impl Fn(Ip) -> Option<T>) -> Option<T> {
        let mut times: Vec<T> = self.voters.iter().filter_map(|ip| time_of(*ip)).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.majority_size() - 1).copied()
    }
}

/// Returns the size of a majority of `voters` voters.
pub fn majority_size(voters: usize) -> usize {
    voters / 2 + 1
}
