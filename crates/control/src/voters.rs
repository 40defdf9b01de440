//! The voters of the system and their epoch, as the configuration store agreed upon them.
//!
//! The set is changed one member at a time, and every change raises the epoch. The lease of the coordinator rests on
//! two properties of these changes:
//!
//! - majorities of consecutive epochs have a member in common ([`VoterSet::majorities_meet`]), which the store ensures;
//! - a store accepts a change of epoch only [`crate::lease::EPOCH_SPACING`] after the one before, which it does not ensure
//!   yet: two changes that follow each other more quickly are not covered.

use crate::address::Ip;

/// The voters of one epoch, by machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterSet {
    /// Counts the changes of the set.
    pub epoch: u64,
    /// Sorted, without duplicates.
    voters: Vec<Ip>,
}

impl VoterSet {
    /// The set of these voters.
    pub fn new(epoch: u64, mut voters: Vec<Ip>) -> Self {
        voters.sort_unstable();
        voters.dedup();
        VoterSet { epoch, voters }
    }

    /// The voters in order.
    pub fn voters(&self) -> &[Ip] {
        &self.voters
    }

    /// Whether that machine is a voter.
    pub fn contains(&self, ip: Ip) -> bool {
        self.voters.binary_search(&ip).is_ok()
    }

    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        majority(self.voters.len())
    }

    /// Whether every majority of this set has a member in common with every majority of the other. Adding or removing
    /// one member keeps this; replacing one does in sets of an even number only.
    pub fn majorities_meet(&self, other: &VoterSet) -> bool {
        let common = self.voters.iter().filter(|ip| other.contains(**ip)).count();
        let union = self.voters.len() + other.voters.len() - common;
        self.majority() + other.majority() > union
    }

    /// The latest time that a majority has reached, each of its members by its own time; `None` counts as never.
    pub fn majority_time<T: Ord + Copy>(&self, time_of: impl Fn(Ip) -> Option<T>) -> Option<T> {
        let mut times: Vec<T> = self.voters.iter().filter_map(|ip| time_of(*ip)).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.majority() - 1).copied()
    }
}

/// How many of so many voters make a majority.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}
