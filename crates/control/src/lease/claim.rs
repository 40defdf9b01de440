//! A registry's own claim with the grants received for it, and the registry's vote for a candidate.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CLAIM_INTERVAL, CLAIM_TIMEOUT, CLAIMS_REMEMBERED, CLOCK_RATE_MARGIN, LEASE};
use crate::address::Ip;
use crate::voters::VoterSet;

/// The latest grant that this registry gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Vote {
    pub(super) candidate: Ip,
    /// The grant expires at this time and binds this registry until then.
    pub(super) until: Duration,
}

/// This registry's claim of the lease and the grants received for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Claim {
    pub(super) term: u64,
    started: Duration,
    next_at: Duration,
    /// Send times of the latest claim messages. A grant counts only if it answers one of these.
    sent: Vec<Duration>,
    /// Send time of the latest claim message that each voter granted.
    grants: BTreeMap<Ip, Duration>,
    /// The end of the lease according to the grants of the previous epoch.
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

    /// Returns the end of the lease, or `None` if no majority has granted the claim yet.
    pub(super) fn valid_until(&self, voters: &VoterSet) -> Option<Duration> {
        let granted = voters.majority_time(|ip| self.grants.get(&ip).copied());
        let granted_until = granted.map(|sent| sent + LEASE - CLOCK_RATE_MARGIN);
        granted_until.max(self.carried_until)
    }

    /// Moves the claim to the next epoch: the new voters must grant the claim again, and the lease keeps its present end.
    pub(super) fn carry_over(&mut self, old_voters: &VoterSet) {
        self.carried_until = self.valid_until(old_voters);
        self.grants.clear();
        self.sent.clear();
    }

    /// Returns whether the next claim message must be sent.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        now >= self.next_at
    }

    /// Returns whether the claim is older than [`CLAIM_TIMEOUT`]. A claim without a majority is given up then.
    pub(super) fn has_timed_out(&self, now: Duration) -> bool {
        now > self.started + CLAIM_TIMEOUT
    }

    /// Records that the claim is sent and that this registry grants the claim itself. Returns the send time for the
    /// message, in microseconds. Grants echo this time, so the remembered time is rounded to whole microseconds, too.
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

    /// Records a voter's grant of the claim message that was sent at `sent`.
    pub(super) fn receive_grant(&mut self, from: Ip, term: u64, sent: Duration) {
        if self.term == term && self.sent.contains(&sent) {
            let latest = self.grants.entry(from).or_insert(sent);
            *latest = sent.max(*latest);
        }
    }
}
