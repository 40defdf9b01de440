//! The election of the coordinator, from the point of view of one registry. This module does no I/O.

use std::hash::Hasher;
use std::time::Duration;

use fnv::FnvHasher;

use super::claim::{Claim, Vote};
use super::{BACKOFF, CANDIDATE_DELAY, EPOCH_CONFIRMATION_VALIDITY, LEASE, MAX_SPREAD_PAUSE};
use crate::address::Ip;
use crate::messages::{LeaseHolder, LeaseMessage};
use crate::voters::VoterSet;

/// One registry's state in the election, as a voter, a candidate or the holder of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseElection {
    own_ip: Ip,
    /// The registry neither grants nor claims before this time. After a start this is one [`LEASE`], because the process may
    /// have granted a claim before it restarted.
    abstains_until: Duration,
    voters: Option<VoterSet>,
    /// When the store was asked for its latest confirmation of the epoch.
    epoch_confirmed_at: Option<Duration>,
    /// The highest epoch seen, from the store or in messages.
    highest_epoch: u64,
    /// The highest term seen.
    highest_term: u64,
    vote: Option<Vote>,
    /// The candidate of the latest grant, or the claimant of this registry's latest own claim.
    last_holder: Option<LeaseHolder>,
    /// Whether the previous holder named this registry its successor; a successor claims without delay.
    is_named_successor: bool,
    claim: Option<Claim>,
    /// Since when no grant binds this registry to another candidate. A later time postpones the next claim.
    unbound_since: Duration,
}

impl LeaseElection {
    /// Creates the state of a registry that has just started and knows no voters yet.
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

    /// Returns the voters, or `None` until the store has reported them.
    pub fn voters(&self) -> Option<&VoterSet> {
        self.voters.as_ref()
    }

    /// Returns the epoch of the voters, or 0 if no voters are known.
    pub fn epoch(&self) -> u64 {
        self.voters.as_ref().map_or(0, |voters| voters.epoch)
    }

    /// Returns whether other registries are more than one epoch ahead. The voter set known here is obsolete then.
    pub fn knows_newer_epoch(&self) -> bool {
        self.highest_epoch > self.epoch() + 1
    }

    /// Sets the voters that the store on this machine reports. Ignores epochs that are not later than the present one.
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

    /// Records that the store on this machine, asked at `asked_at`, confirmed its epoch.
    pub fn confirm_epoch(&mut self, epoch: u64, asked_at: Duration) {
        self.observe_epoch(epoch);
        if self.voters.is_some() && epoch == self.epoch() {
            self.epoch_confirmed_at = self.epoch_confirmed_at.max(Some(asked_at));
        }
    }

    /// Records an epoch seen in a message of another registry. Gives up the claim if this registry is behind.
    pub fn observe_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        if self.knows_newer_epoch() {
            self.claim = None;
        }
    }

    /// Records a term seen elsewhere, from before this process started or from other registries. Later claims use higher
    /// terms.
    pub fn observe_term(&mut self, term: u64) {
        if self.claim.is_none() {
            self.highest_term = self.highest_term.max(term);
        }
    }

    /// Whether this registry may claim and grant at `now`.
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

    /// The end of this registry's lease, or `None` if no majority has granted the present claim.
    fn valid_until(&self) -> Option<Duration> {
        self.claim.as_ref()?.valid_until(self.voters.as_ref()?)
    }

    /// Returns the term of the lease that this registry holds at `now`, or `None` if it holds none.
    pub fn held_term(&self, now: Duration) -> Option<u64> {
        let claim = self.claim.as_ref()?;
        let until = self.valid_until()?;
        (now < until).then_some(claim.term)
    }

    /// Returns the holder of the lease as far as this registry knows.
    pub fn holder(&self, now: Duration) -> Option<LeaseHolder> {
        if let Some(term) = self.held_term(now) {
            let ip = self.own_ip;
            return Some(LeaseHolder { ip, term });
        }
        let is_bound_to_other = self.is_bound_to_other(self.own_ip, now);
        self.last_holder.filter(|_| is_bound_to_other)
    }

    /// Whether a valid grant binds this registry to a candidate other than `candidate`.
    fn is_bound_to_other(&self, candidate: Ip, now: Duration) -> bool {
        let binds = |vote: Vote| now < vote.until && vote.candidate != candidate;
        self.vote.is_some_and(binds)
    }

    /// Gives up this registry's claim and its vote for itself. If the claim never had a majority, this registry may
    /// afterwards grant a claim of the same term to another candidate.
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

    /// Returns the message to send to all registries that are alive, if one is due.
    pub fn tick(&mut self, now: Duration, alive: &[Ip]) -> Option<LeaseMessage> {
        if self.is_bound_to_other(self.own_ip, now) {
            self.claim = None;
            self.unbound_since = now;
            return None;
        }
        if self.claim.is_some() && self.valid_until().is_some_and(|until| now >= until) {
            // The lease expired although this registry kept claiming. Possibly the other registries receive its messages
            // while it receives none; its claims would then bind all voters indefinitely. The pause lets another candidate
            // claim.
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
            // The claim is given up so that another candidate's claim can succeed.
            self.drop_claim(now + BACKOFF);
            return None;
        }
        self.send_claim(now)
    }

    /// The delay before this registry claims: [`CANDIDATE_DELAY`] for each living candidate with a lower address. The last
    /// holder does not count as a candidate.
    fn candidate_delay(&self, alive: &[Ip]) -> Duration {
        let last_holder = self.last_holder.map(|holder| holder.ip);
        let is_candidate = |ip: Ip| self.is_voter(ip) && Some(ip) != last_holder;
        let candidates_before = alive
            .iter()
            .filter(|ip| **ip < self.own_ip && is_candidate(**ip));
        CANDIDATE_DELAY * candidates_before.count() as u32
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

    /// Processes a message of another registry and returns the answer, if there is one.
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
            LeaseMessage::Refuse {
                highest_term: term, ..
            } => {
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
        // A term belongs to one candidate, so that late messages of an earlier holder can be recognised by their term.
        let claimant = LeaseHolder { ip: from, term };
        let is_free = |holder: LeaseHolder| term > holder.term || holder == claimant;
        let is_term_free = self.last_holder.is_none_or(is_free);
        let is_same_epoch = epoch == self.epoch() && self.is_current(now);
        let is_bound = self.is_bound_to_other(from, now);
        if !is_same_epoch || is_bound || !is_term_free || term < self.highest_term {
            return LeaseMessage::Refuse {
                highest_epoch: self.highest_epoch,
                highest_term: self.highest_term,
            };
        }
        // The claim of another candidate is granted, so this registry gives up its own claim.
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

    /// Processes a refusal: `term` is the highest term that the voter knows.
    fn receive_refusal(&mut self, term: u64, now: Duration) {
        let holds = self.held_term(now).is_some();
        self.highest_term = self.highest_term.max(term);
        // This registry is behind if its claim's term is lower than the refusal's term, or equal without the lease. It
        // drops the claim and claims next with a higher term, after a pause in which the candidate with that term can be
        // heard. A registry that holds the lease with exactly that term is not behind.
        let is_behind = |claim: &Claim| claim.term < term || (claim.term == term && !holds);
        if self.claim.as_ref().is_some_and(is_behind) {
            // A registry that holds the lease claims again at once, because the other voters are bound to it.
            let pause = if holds {
                Duration::ZERO
            } else {
                LEASE + self.spread_pause()
            };
            self.drop_claim(now + pause);
        }
    }

    /// Returns a time below [`MAX_SPREAD_PAUSE`] that differs by registry and term. Candidates that split the votes would
    /// otherwise claim in step again, and again.
    fn spread_pause(&self) -> Duration {
        let mut hasher = FnvHasher::default();
        hasher.write(&self.own_ip);
        hasher.write(&self.highest_term.to_le_bytes());
        // The low bits of such a hash follow the last bytes closely.
        let spread_ms = (hasher.finish() >> 20) % MAX_SPREAD_PAUSE.as_millis() as u64;
        Duration::from_millis(spread_ms)
    }

    fn receive_transfer(&mut self, from: Ip, epoch: u64, term: u64, to: Ip, now: Duration) {
        let holder = Some(LeaseHolder { ip: from, term });
        if epoch == self.epoch() && self.last_holder == holder {
            self.vote = None;
            self.unbound_since = now;
            self.is_named_successor = to == self.own_ip;
        }
    }

    /// Postpones claims by one [`LEASE`]; called while the registry is out of contact with the voters. Claims sent in that
    /// state would only raise the term and break the holder's lease once contact returns. The delay lets this registry hear
    /// the holder first.
    pub fn defer_claims(&mut self, now: Duration) {
        if self.claim.is_some() && self.held_term(now).is_none() {
            self.drop_claim(now + LEASE);
        }
        self.unbound_since = now + LEASE;
    }

    /// Gives up the lease and returns the message that names the first other living voter as successor. Returns `None` and
    /// changes nothing if this registry does not hold the lease or no other voter is alive.
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
