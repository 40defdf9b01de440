//! Contact of a registry with a majority of the voters, which decides whether it may answer for the whole system. This
//! module does no I/O.
//!
//! A registry probes every voter once per [`PROBE_INTERVAL`]; an answer counts from the time the probe was sent. The
//! registry is in contact while a majority of the voters has answered probes sent within the last [`CONTACT_TIMEOUT`]. A
//! registry that is a voter itself counts toward the majority. Older answers do not count, so a registry whose process was
//! paused is out of contact when it resumes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::address::Ip;
use crate::voters::VoterSet;

/// Time between two probes of one voter.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum age of the latest contact with a majority: a registry whose contact is older is out of contact.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(3000);
/// Flag in the probe number that distinguishes contact probes from membership probes.
const CONTACT_PROBE_FLAG: u64 = 1 << 63;

/// Tracks the contact of one registry with the voters.
#[derive(Debug)]
pub struct Contact {
    own_ip: Ip,
    voters: Option<VoterSet>,
    last_number: u64,
    next_probe_at: Duration,
    /// Send times of the probes whose answers still count, by number. A round of probes to all voters shares one number.
    pending: BTreeMap<u64, Duration>,
    /// Send time of the latest answered probe, by voter.
    answered: BTreeMap<Ip, Duration>,
}

impl Contact {
    /// Creates the state of a registry that knows no voters yet.
    pub fn new(own_ip: Ip) -> Self {
        Contact {
            own_ip,
            voters: None,
            last_number: 0,
            next_probe_at: Duration::ZERO,
            pending: BTreeMap::new(),
            answered: BTreeMap::new(),
        }
    }

    /// Sets the voters. Answers of voters that stay in the set still count.
    pub fn set_voters(&mut self, voters: VoterSet) {
        self.answered.retain(|ip, _| voters.contains(*ip));
        self.next_probe_at = Duration::ZERO;
        self.voters = Some(voters);
    }

    /// Returns the voters to probe now, each with the probe's number.
    pub fn tick(&mut self, now: Duration) -> Vec<(Ip, u64)> {
        let Some(voters) = &self.voters else {
            return vec![];
        };
        if now < self.next_probe_at {
            return vec![];
        }
        self.next_probe_at = now + PROBE_INTERVAL;
        self.last_number += 1;
        let number = self.last_number | CONTACT_PROBE_FLAG;
        self.pending.insert(number, now);
        self.pending.retain(|_, sent| now < *sent + CONTACT_TIMEOUT);
        let others = voters.voters().iter().filter(|ip| **ip != self.own_ip);
        others.map(|ip| (*ip, number)).collect()
    }

    /// Records the answer to a probe. Ignores answers from machines that are not voters and answers to expired probes.
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

    /// Returns the time since the latest contact with a majority, or `None` if there was none yet.
    pub fn contact_age(&self, now: Duration) -> Option<Duration> {
        let answered_at = |ip: Ip| {
            if ip == self.own_ip {
                Some(now)
            } else {
                self.answered.get(&ip).copied()
            }
        };
        let latest = self.voters.as_ref()?.majority_time(answered_at)?;
        Some(now.saturating_sub(latest))
    }

    /// Returns whether the registry is in contact with a majority at `now`.
    pub fn is_in_contact(&self, now: Duration) -> bool {
        self.contact_age(now)
            .is_some_and(|age| age < CONTACT_TIMEOUT)
    }
}
