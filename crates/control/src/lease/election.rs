//! The election of the coordinator, as one registry takes part in it. Free of I/O.

use std::time::Duration;

use super::claim::{Claim, Vote};
use super::{BACKOFF, CANDIDATE_DELAY, EPOCH_CONFIRMATION_VALIDITY, LEASE};
use crate::address::Ip;
use crate::messages::{LeaseHolder, LeaseMessage};
use crate::voters::VoterSet;

/// One registry's part in the election: as a voter, a candidate, or the holder of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseElection {
    own_ip: Ip,
    /// A process that has just started may have granted before its restart: it grants and claims nothing for a lease.
    abstains_until: Duration,
    voters: Option<VoterSet>,
    /// When the store was asked that confirmed the epoch last.
    epoch_confirmed_at: Option<Duration>,
    /// The highest epoch seen, from the store or in messages.
    highest_epoch: u64,
    /// The highest term seen.
    highest_term: u64,
    vote: Option<Vote>,
    /// The last holder known.
    last_holder: Option<LeaseHolder>,
    is_named_successor: bool,
    claim: Option<Claim>,
    /// Since when no grant of this registry's binds it to another.
    unbound_since: Duration,
}

impl LeaseElection {
    /// A registry that has just started, and knows no voters yet.
    pub fn new(own_ip: Ip, now: Duration) -> Self {
        LeaseElection {
            own_ip,
            abstains_until: now + LEASE,
            voters: None,
            epoch_confirmed_at: None,
            highest_epoch: 0,
            highest_term: 0,
            vote: None,
            last_holder: None,
            is_named_successor: false,
            claim: None,
            unbound_since: now + LEASE,
        }
    }

    /// The voters, once the store has named them.
    pub fn voters(&self) -> Option<&VoterSet> {
        self.voters.as_ref()
    }

    /// The epoch of the voters; 0: none is known.
    pub fn epoch(&self) -> u64 {
        self.voters.as_ref().map_or(0, |voters| voters.epoch)
    }

    /// Whether others are more than one epoch ahead: what is known here of the voters is of no use.
    pub fn is_behind(&self) -> bool {
        self.highest_epoch > self.epoch() + 1
    }

    /// The store on this machine names the voters.
    pub fn set_voters(&mut self, voters: VoterSet) {
        if voters.epoch <= self.epoch() {
            return;
        }
        let is_next_epoch = voters.epoch == self.epoch() + 1;
        if let (Some(claim), Some(old_voters)) = (&mut self.claim, &self.voters) {
            claim.carry_over(old_voters);
        }
        if !is_next_epoch {
            self.claim = None;
        }
        self.epoch_confirmed_at = None;
        self.highest_epoch = self.highest_epoch.max(voters.epoch);
        self.voters = Some(voters);
    }

    /// The store on this machine, asked at that time, confirms its epoch.
    pub fn confirm_epoch(&mut self, epoch: u64, asked_at: Duration) {
        self.observe_epoch(epoch);
        if self.voters.is_some() && epoch == self.epoch() {
            self.epoch_confirmed_at = self.epoch_confirmed_at.max(Some(asked_at));
        }
    }

    /// An epoch is seen in a message of another registry.
    pub fn observe_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        if self.is_behind() {
            self.claim = None;
        }
    }

    /// A term is seen elsewhere, from before this process's start or through others: claims are above it.
    pub fn observe_term(&mut self, term: u64) {
        if self.claim.is_none() {
            self.highest_term = self.highest_term.max(term);
        }
    }

    /// Whether this registry may claim and grant.
    fn is_current(&self, now: Duration) -> bool {
        let is_valid = |at: Duration| now < at + EPOCH_CONFIRMATION_VALIDITY;
        let is_confirmed = self.epoch_confirmed_at.is_some_and(is_valid);
        is_confirmed && self.highest_epoch == self.epoch() && now >= self.abstains_until
    }

    fn is_voter(&self, ip: Ip) -> bool {
        self.voters
            .as_ref()
            .is_some_and(|voters| voters.contains(ip))
    }

    /// The end of this registry's lease, if it ever had one by its present claim.
    fn valid_until(&self) -> Option<Duration> {
        self.claim.as_ref()?.valid_until(self.voters.as_ref()?)
    }

    /// The term of the lease that this registry holds now.
    pub fn held_term(&self, now: Duration) -> Option<u64> {
        let claim = self.claim.as_ref()?;
        let until = self.valid_until()?;
        (now < until).then_some(claim.term)
    }

    /// Who holds the lease as far as known here.
    pub fn holder(&self, now: Duration) -> Option<LeaseHolder> {
        if let Some(term) = self.held_term(now) {
            let ip = self.own_ip;
            return Some(LeaseHolder { ip, term });
        }
        let is_bound_to_other = self.is_bound_to_other(self.own_ip, now);
        self.last_holder.filter(|_| is_bound_to_other)
    }

    /// Whether a grant of this registry's binds it to another than this candidate.
    fn is_bound_to_other(&self, candidate: Ip, now: Duration) -> bool {
        let binds = |vote: Vote| now < vote.until && vote.candidate != candidate;
        self.vote.is_some_and(binds)
    }

    /// Gives up its claim, and its vote for itself. A term by which it never held the lease it may grant to another that
    /// claimed with the same one.
    fn drop_claim(&mut self, unbound_since: Duration) {
        let own_ip = self.own_ip;
        let is_last_holder = self.last_holder.is_some_and(|holder| holder.ip == own_ip);
        if self.valid_until().is_none() && is_last_holder {
            self.last_holder = None;
        }
        self.claim = None;
        self.vote = None;
        self.unbound_since = unbound_since;
    }

    /// What to send now, to all that are alive.
    pub fn tick(&mut self, now: Duration, alive: &[Ip]) -> Option<LeaseMessage> {
        if self.is_bound_to_other(self.own_ip, now) {
            self.claim = None;
            self.unbound_since = now;
            return None;
        }
        if self.claim.is_some() && self.valid_until().is_some_and(|until| now >= until) {
            // Expired though it claims all the time: others may hear it while it hears nobody, and its claims would
            // bind all voters for good. It claims nothing until another has had the time to.
            self.drop_claim(now + BACKOFF);
        }
        if !self.is_current(now) || !self.is_voter(self.own_ip) {
            return None;
        }
        if self.claim.is_none() {
            if !self.is_named_successor && now < self.unbound_since + self.candidate_delay(alive) {
                return None;
            }
            self.highest_term += 1;
            self.claim = Some(Claim::new(self.highest_term, now));
        }
        let has_majority = self.valid_until().is_some();
        let has_timed_out = self
            .claim
            .as_ref()
            .is_some_and(|claim| claim.has_timed_out(now));
        if !has_majority && has_timed_out {
            // Given up, so that another's may succeed.
            self.drop_claim(now + BACKOFF);
            return None;
        }
        self.send_claim(now)
    }

    /// Each candidate waits longer than those before it in order. The last holder is no candidate.
    fn candidate_delay(&self, alive: &[Ip]) -> Duration {
        let last_holder = self.last_holder.map(|holder| holder.ip);
        let is_candidate = |ip: Ip| self.is_voter(ip) && Some(ip) != last_holder;
        let before = alive
            .iter()
            .filter(|ip| **ip < self.own_ip && is_candidate(**ip));
        CANDIDATE_DELAY * before.count() as u32
    }

    fn send_claim(&mut self, now: Duration) -> Option<LeaseMessage> {
        let epoch = self.epoch();
        let claim = self.claim.as_mut().filter(|claim| claim.is_due(now))?;
        let term = claim.term;
        let sent_us = claim.send(self.own_ip, now);
        self.is_named_successor = false;
        self.vote_for(self.own_ip, term, now);
        Some(LeaseMessage::Claim {
            epoch,
            term,
            sent_us,
        })
    }

    fn vote_for(&mut self, candidate: Ip, term: u64, now: Duration) {
        self.vote = Some(Vote {
            candidate,
            until: now + LEASE,
        });
        self.last_holder = Some(LeaseHolder {
            ip: candidate,
            term,
        });
    }

    /// Takes a message of another registry; returns the answer.
    pub fn receive(
        &mut self,
        from: Ip,
        message: &LeaseMessage,
        now: Duration,
    ) -> Option<LeaseMessage> {
        self.observe_epoch(message.epoch());
        match *message {
            LeaseMessage::Claim {
                epoch,
                term,
                sent_us,
            } => Some(self.receive_claim(from, epoch, term, sent_us, now)),
            LeaseMessage::Grant {
                epoch,
                term,
                sent_us,
            } => {
                self.receive_grant(from, epoch, term, Duration::from_micros(sent_us));
                None
            }
            LeaseMessage::Refuse { term, .. } => {
                self.receive_refusal(term, now);
                None
            }
            LeaseMessage::Transfer { epoch, term, to } => {
                self.receive_transfer(from, epoch, term, to, now);
                None
            }
        }
    }

    fn receive_claim(
        &mut self,
        from: Ip,
        epoch: u64,
        term: u64,
        sent_us: u64,
        now: Duration,
    ) -> LeaseMessage {
        // A term belongs to one candidate: late acts of an earlier holder are recognised by it.
        let claimant = LeaseHolder { ip: from, term };
        let is_free = |holder: LeaseHolder| term > holder.term || holder == claimant;
        let is_term_free = self.last_holder.is_none_or(is_free);
        let is_same_epoch = epoch == self.epoch() && self.is_current(now);
        let is_bound = self.is_bound_to_other(from, now);
        if !is_same_epoch || is_bound || !is_term_free || term < self.highest_term {
            return LeaseMessage::Refuse {
                epoch: self.highest_epoch,
                term: self.highest_term,
            };
        }
        // A later term of another: this registry's own claim is over.
        self.claim = None;
        self.highest_term = term;
        self.vote_for(from, term, now);
        LeaseMessage::Grant {
            epoch,
            term,
            sent_us,
        }
    }

    fn receive_grant(&mut self, from: Ip, epoch: u64, term: u64, sent: Duration) {
        if epoch != self.epoch() {
            return;
        }
        if let Some(claim) = &mut self.claim {
            claim.receive_grant(from, term, sent);
        }
    }

    fn receive_refusal(&mut self, term: u64, now: Duration) {
        let holds = self.held_term(now).is_some();
        self.highest_term = self.highest_term.max(term);
        // Behind: the next claim is above the refusal's term, once whoever has that term has had the time to be heard. A
        // registry that holds the lease by that very term is not behind.
        let is_behind = |claim: &Claim| claim.term < term || (claim.term == term && !holds);
        if self.claim.as_ref().is_some_and(is_behind) {
            // Who held it claims anew at once: the other voters are bound to it.
            self.drop_claim(if holds { now } else { now + LEASE });
        }
    }

    fn receive_transfer(&mut self, from: Ip, epoch: u64, term: u64, to: Ip, now: Duration) {
        let holder = Some(LeaseHolder { ip: from, term });
        if epoch == self.epoch() && self.last_holder == holder {
            self.vote = None;
            self.unbound_since = now;
            self.is_named_successor = to == self.own_ip;
        }
    }

    /// Out of contact with the voters: claims would only raise the term, and break the holder's lease once they are
    /// heard. Back in contact, the holder is given the time to be heard first.
    pub fn defer_claims(&mut self, now: Duration) {
        if self.claim.is_some() && self.held_term(now).is_none() {
            self.drop_claim(now + LEASE);
        }
        self.unbound_since = now + LEASE;
    }

    /// Gives the lease up, naming the first other voter that is alive. `None` where this registry does not hold it, or
    /// nobody could follow.
    pub fn transfer(&mut self, now: Duration, alive: &[Ip]) -> Option<LeaseMessage> {
        let term = self.held_term(now)?;
        let voters = self.voters.as_ref()?;
        let mut others = alive.iter().filter(|ip| **ip != self.own_ip);
        let to = *others.find(|ip| voters.contains(**ip))?;
        let epoch = voters.epoch;
        self.claim = None;
        self.abstains_until = Duration::MAX;
        Some(LeaseMessage::Transfer { epoch, term, to })
    }
}
