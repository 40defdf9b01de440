//! Contact with a majority of the voters: whether a registry may answer for the whole system. Free of I/O.
//!
//! Every voter is asked once in [`PROBE_INTERVAL`]; an answer counts from when the question was sent. A registry is in
//! contact while a majority of the voters, itself among them where it is one, has answered questions of the last

//! frozen wakes out of contact.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::messages::Ip;
use crate::voters::VoterSet;

/// Between two questions to one voter.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// A registry that no majority has answered for so long is out of contact.
pub const CONTACT_BOUND: Duration = Duration::from_millis(3000);
/// Set in the numbers of these questions, which tells them from the probes of the members.
const PROBE_MARK: u64 = 1 << 63;

#[derive(Debug)]
pub struct Contact {
    me: Ip,
    voters: Option<VoterSet>,
    next_number: u64,
    next_probe: Duration,
    /// Questions that may yet be answered, by number: when each round of them was sent.
    asked: BTreeMap<u64, Duration>,
    /// By voter, when the question was sent that it answered last.
    answered: BTreeMap<Ip, Duration>,
}

impl Contact {
    pub fn new(me: Ip) -> Self {
        Contact {
            me,
            voters: None,
            next_number: 0,
            next_probe: Duration::ZERO,
            asked: BTreeMap::new(),
            answered: BTreeMap::new(),
        }
    }

    /// New voters: what those that remain have answered counts on.
    pub fn set_voters(&mut self, voters: VoterSet) {
        self.answered.retain(|ip, _| voters.contains(*ip));
        self.next_probe = Duration::ZERO;
        self.voters = Some(voters);
    }

    /// Time passed: whom to ask now, and by which number.
    pub fn tick(&mut self, now: Duration) -> Vec<(Ip, u64)> {
        let Some(voters) = &self.voters else {
            return vec![];
        };
        if now < self.next_probe {
            return vec![];
        }
        self.next_probe = now + PROBE_INTERVAL;
        self.next_number += 1;
        let number = self.next_number | PROBE_MARK;
        self.asked.insert(number, now);
        self.asked.retain(|_, sent| now < *sent + CONTACT_BOUND);
        voters
            .voters()
            .iter()
            .filter(|ip| **ip != self.me)
            .map(|ip| (*ip, number))
            .collect()
    }

    /// An answer to a question came.
    pub fn receive_answer(&mut self, from: Ip, number: u64) {
        let is_voter = self.voters.as_ref().is_some_and(|v| v.contains(from));
        if let Some(sent) = self.asked.get(&number).filter(|_| is_voter) {
            let last = self.answered.entry(from).or_insert(*sent);
            *last = (*last).max(*sent);
        }
    }

    /// How long ago a majority was last heard of; none: never.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let time_of = |ip: Ip| {
            if ip == self.me {
                Some(now)
            } else {
                self.answered.get(&ip).copied()
            }
        };
        self.voters
            .as_ref()?
            .majority_time(time_of)
            .map(|at| now.saturating_sub(at))
    }

    pub fn is_in_contact(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < CONTACT_BOUND)
    }
}
