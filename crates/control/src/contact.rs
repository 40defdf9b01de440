//! Contact with a majority of the voters: whether a registry may answer for the whole system. Free of I/O.
//!
//! Every voter is probed once in [`PROBE_INTERVAL`]; an answer counts from when the probe was sent. A registry is in
//! contact while a majority of the voters, itself among them where it is one, has answered probes of the last
//! [`CONTACT_TIMEOUT`]. Old answers count for nothing, so a registry that was frozen is out of contact when it wakes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::address::Ip;
use crate::voters::VoterSet;

/// Between two probes of one voter.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// A registry that no majority has answered for this long is out of contact.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(3000);
/// Set in the numbers of these probes, to distinguish them from those of the membership.
const CONTACT_PROBE_FLAG: u64 = 1 << 63;

/// The contact of one registry with the voters.
#[derive(Debug)]
pub struct Contact {
    own_ip: Ip,
    voters: Option<VoterSet>,
    next_number: u64,
    next_probe: Duration,
    /// When each probe was sent that may yet be answered, by number. One number goes to all voters.
    pending: BTreeMap<u64, Duration>,
    /// By voter, when the latest probe was sent that it answered.
    answered: BTreeMap<Ip, Duration>,
}

impl Contact {
    /// A registry that knows no voters yet.
    pub fn new(own_ip: Ip) -> Self {
        Contact {
            own_ip,
            voters: None,
            next_number: 0,
            next_probe: Duration::ZERO,
            pending: BTreeMap::new(),
            answered: BTreeMap::new(),
        }
    }

    /// Takes a new voter set; the answers of voters that remain still count.
    pub fn set_voters(&mut self, voters: VoterSet) {
        self.answered.retain(|ip, _| voters.contains(*ip));
        self.next_probe = Duration::ZERO;
        self.voters = Some(voters);
    }

    /// The voters to be probed now, and the probe's number.
    pub fn tick(&mut self, now: Duration) -> Vec<(Ip, u64)> {
        let Some(voters) = &self.voters else {
            return vec![];
        };
        if now < self.next_probe {
            return vec![];
        }
        self.next_probe = now + PROBE_INTERVAL;
        self.next_number += 1;
        let number = self.next_number | CONTACT_PROBE_FLAG;
        self.pending.insert(number, now);
        self.pending.retain(|_, sent| now < *sent + CONTACT_TIMEOUT);
        let others = voters.voters().iter().filter(|ip| **ip != self.own_ip);
        others.map(|ip| (*ip, number)).collect()
    }

    /// Takes the answer to a probe.
    pub fn receive_answer(&mut self, from: Ip, number: u64) {
        let is_voter = self
            .voters
            .as_ref()
            .is_some_and(|voters| voters.contains(from));
        if let Some(sent) = self.pending.get(&number).filter(|_| is_voter) {
            let latest = self.answered.entry(from).or_insert(*sent);
            *latest = (*latest).max(*sent);
        }
    }

    /// The time since the latest contact with a majority; `None`: there never was any.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let time_of = |ip: Ip| {
            if ip == self.own_ip {
                Some(now)
            } else {
                self.answered.get(&ip).copied()
            }
        };
        let latest = self.voters.as_ref()?.majority_time(time_of)?;
        Some(now.saturating_sub(latest))
    }

    /// Whether the registry is in contact now.
    pub fn is_in_contact(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < CONTACT_TIMEOUT)
    }
}
