//! A registry's own claim with the grants for it, and its vote for a candidate.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CLAIM_INTERVAL, CLAIM_TIMEOUT, CLAIMS_REMEMBERED, CLOCK_RATE_MARGIN, LEASE};
use crate::address::Ip;
use crate::voters::VoterSet;

/// A grant given by this registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Vote {
    pub(super) candidate: Ip,
    pub(super) until: Duration,
}

/// This registry's own claim, and the grants for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Claim {
    pub(super) term: u64,
    started: Duration,
    next_at: Duration,
    /// When the latest claims were sent: a grant counts for one of these only.
    sent: Vec<Duration>,
    /// By voter, when the latest claim was sent that it granted.
    grants: BTreeMap<Ip, Duration>,
    /// The end of the lease by grants of the epoch before.
    carried_until: Option<Duration>,
}

impl Claim {
    pub(super) fn new(term: u64, now: Duration) -> Self {
        Claim {
            term,
            started: now,
            next_at: now,
            sent: Vec::new(),
            grants: BTreeMap::new(),
            carried_until: None,
        }
    }

    /// The end of the lease, if a majority has ever granted it.
    pub(super) fn valid_until(&self, voters: &VoterSet) -> Option<Duration> {
        let granted = voters.majority_time(|ip| self.grants.get(&ip).copied());
        let granted_until = granted.map(|sent| sent + LEASE - CLOCK_RATE_MARGIN);
        granted_until.max(self.carried_until)
    }

    /// The next epoch begins: its voters must grant anew, and what is left of the lease stays.
    pub(super) fn carry_over(&mut self, old_voters: &VoterSet) {
        self.carried_until = self.valid_until(old_voters);
        self.grants.clear();
        self.sent.clear();
    }

    pub(super) fn is_due(&self, now: Duration) -> bool {
        now >= self.next_at
    }

    /// Whether it should have had a majority by now, if it is to have one.
    pub(super) fn has_timed_out(&self, now: Duration) -> bool {
        now > self.started + CLAIM_TIMEOUT
    }

    /// The claim is sent, and granted by this registry itself. Returns the time to be sent with it, in microseconds: it
    /// comes back with the grants, so fractions would be lost.
    pub(super) fn send(&mut self, own_ip: Ip, now: Duration) -> u64 {
        self.next_at = now + CLAIM_INTERVAL;
        let sent_us = now.as_micros() as u64;
        self.sent.push(Duration::from_micros(sent_us));
        if self.sent.len() > CLAIMS_REMEMBERED {
            self.sent.remove(0);
        }
        self.grants.insert(own_ip, now);
        sent_us
    }

    /// A voter grants the claim that was sent at that time.
    pub(super) fn receive_grant(&mut self, from: Ip, term: u64, sent: Duration) {
        if self.term == term && self.sent.contains(&sent) {
            let latest = self.grants.entry(from).or_insert(sent);
            *latest = sent.max(*latest);
        }
    }
}
