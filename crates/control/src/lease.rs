//! The lease of the coordinator: one registry at a time polls the platform's list and keeps the shared counts.
//!
//! A registry claims the lease with a term. A voter that grants a claim grants no other until that grant has run out.
//! The holder has the lease while grants of a majority of the voters run, reckoned from when it sent its claim, so it
//! ends at the holder before any voter may grant anew: a holder that was frozen and wakes has nothing. A holder that
//! leaves names its successor, which needs a majority all the same, but whose voters need not wait.
//!
//! # Epochs
//!
//! The voters come from the store of the registry's machine ([`VoterSet`]). A registry that knows none claims nothing and
//! grants nothing. Every message bears the epoch of its sender, and a claim is granted, and a grant counted, only where
//! both sides are in the same one. Across a change of epoch:
//!
//! - A grant stays binding: a voter that learns of a new epoch grants to nobody else until the grant has run out.
//! - The holder keeps its term and what is left of its lease, and claims in the new epoch by the same term. It gives
//!   the term up at once where the epoch went on by more than one.
//! - A registry that has seen a later epoch than its store has told neither claims nor grants until its store follows.
//! - It claims and grants only while its store has confirmed the epoch within [`EPOCH_WORD_VALID`], reckoned from when
//!   the store was asked.
//!
//! Why there is one holder at most: holders in the same epoch or in consecutive ones have a voter in common, since
//! majorities of consecutive epochs meet, and that voter's grant binds it. A holder in epoch `e` and one in `e + 2` need not
//! have one. But where `e + 2` is agreed upon by a majority of the stores of `e + 1`, each of which has been in `e + 1` for
//! [`EPOCH_SPACING`]; one of them is the store of a voter of the holder in `e`. That voter's registry stopped granting in `e`
//! `EPOCH_WORD_VALID` after its store left `e`, and the lease ended [`LEASE`] later. `tests/lease_model.rs` explores this.
//!
//! Clocks are steady and may differ in rate: [`MARGIN`] covers 5 % on either side. The time of day plays no part.

use std::collections::BTreeMap;
use std::time::Duration;

use bitcode::{Decode, Encode};

use crate::messages::Ip;
use crate::voters::VoterSet;

/// How long a grant binds: long against a lost datagram or two and the round trip between regions.
pub const LEASE: Duration = Duration::from_millis(1000);
/// The holder's lease ends this much sooner: clocks run at different rates.
pub const MARGIN: Duration = Duration::from_millis(100);
/// How long the word of the store counts that its epoch is the present one.
pub const EPOCH_WORD_VALID: Duration = Duration::from_millis(1000);
/// A store accepts no further change of epoch this soon after the last: by then no lease of the epoch before runs.
pub const EPOCH_SPACING: Duration = Duration::from_millis(2200);
/// Between two claims of the holder: four in a lease, so that lost ones do not end it.
const CLAIM_INTERVAL: Duration = Duration::from_millis(220);
/// Claims whose grants may still come.
const CLAIMS_REMEMBERED: usize = 5;
/// Each place in the order of candidates waits so much longer: two at once would split the votes.
const CANDIDATE_DELAY: Duration = Duration::from_millis(200);
/// A candidate whose claims came to nothing stands back for so long: its grants must end, and another must claim.
const BACKOFF: Duration = Duration::from_millis(2500);
/// A claim that has no majority by then is given up.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2000);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum LeaseMessage {
    /// `sent_us`: the claimer's own time, which comes back with the grant.
    Claim {
        epoch: u64,
        term: u64,
        sent_us: u64,
    },
    Grant {
        epoch: u64,
        term: u64,
        sent_us: u64,
    },
    /// Tells the highest epoch and term that the refusing registry knows.
    Refuse {
        epoch: u64,
        term: u64,
    },
    /// The holder lets go and names who is to follow.
    Yield {
        epoch: u64,
        term: u64,
        to: Ip,
    },
}

impl LeaseMessage {
    fn epoch(&self) -> u64 {
        match *self {
            LeaseMessage::Claim { epoch, .. }
            | LeaseMessage::Grant { epoch, .. }
            | LeaseMessage::Refuse { epoch, .. }
            | LeaseMessage::Yield { epoch, .. } => epoch,
        }
    }
}

/// A grant given by this registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Vote {
    candidate: Ip,
    until: Duration,
}

/// This registry's own claim, and the grants for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Claim {
    term: u64,
    started: Duration,
    next: Duration,
    /// When the last claims were sent: a grant counts for one of these only.
    sent: Vec<Duration>,
    /// By voter, when the claim that it granted was sent.
    grants: BTreeMap<Ip, Duration>,
    /// The end of the lease by grants of the epoch before.
    carried_until: Option<Duration>,
}

impl Claim {
    fn until(&self, voters: &VoterSet) -> Option<Duration> {
        let granted = voters.majority_time(|ip| self.grants.get(&ip).copied());
        granted
            .map(|sent| sent + LEASE - MARGIN)
            .max(self.carried_until)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseElection {
    me: Ip,
    /// A process that has just started may have granted in its last life: it grants and claims nothing for a lease.
    abstains_until: Duration,
    voters: Option<VoterSet>,
    /// When the store was asked that confirmed the epoch last.
    confirmed_at: Option<Duration>,
    /// The highest epoch seen, by the store or in messages.
    highest_epoch: u64,
    /// The highest term seen.
    term: u64,
    vote: Option<Vote>,
    /// The last holder heard of, and its term.
    last_holder: Option<(Ip, u64)>,
    is_named_successor: bool,
    claim: Option<Claim>,
    /// Since when no grant of this registry's binds it to another.
    idle_since: Duration,
}

impl LeaseElection {
    pub fn new(me: Ip, now: Duration) -> Self {
        LeaseElection {
            me,
            abstains_until: now + LEASE,
            voters: None,
            confirmed_at: None,
            highest_epoch: 0,
            term: 0,
            vote: None,
            last_holder: None,
            is_named_successor: false,
            claim: None,
            idle_since: now + LEASE,
        }
    }

    pub fn voters(&self) -> Option<&VoterSet> {
        self.voters.as_ref()
    }

    pub fn epoch(&self) -> u64 {
        self.voters.as_ref().map_or(0, |v| v.epoch)
    }

    /// Whether others are more than one epoch ahead: what is known here of the voters is of no use.
    pub fn is_behind(&self) -> bool {
        self.highest_epoch > self.epoch() + 1
    }

    /// The store on this machine told the voters.
    pub fn set_voters(&mut self, voters: VoterSet) {
        if voters.epoch <= self.epoch() {
            return;
        }
        let is_next = voters.epoch == self.epoch() + 1;
        if let (Some(claim), Some(old)) = (&mut self.claim, &self.voters) {
            claim.carried_until = claim.until(old);
            claim.grants.clear();
            claim.sent.clear();
        }
        if !is_next {
            self.claim = None;
        }
        self.confirmed_at = None;
        self.highest_epoch = self.highest_epoch.max(voters.epoch);
        self.voters = Some(voters);
    }

    /// The store on this machine, asked at that time, confirmed its epoch.
    pub fn confirm_epoch(&mut self, epoch: u64, asked_at: Duration) {
        self.observe_epoch(epoch);
        if self.voters.is_some() && epoch == self.epoch() {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        }
    }

    /// An epoch was seen in a message of another registry.
    pub fn observe_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        if self.is_behind() {
            self.claim = None;
        }
    }

    /// A term was seen elsewhere, by this process's last life or through others: claims are above it.
    pub fn observe_term(&mut self, term: u64) {
        if self.claim.is_none() {
            self.term = self.term.max(term);
        }
    }

    /// Whether this registry may claim and grant.
    fn is_current(&self, now: Duration) -> bool {
        let confirmed = self
            .confirmed_at
            .is_some_and(|at| now < at + EPOCH_WORD_VALID);
        confirmed && self.highest_epoch == self.epoch() && now >= self.abstains_until
    }

    fn until(&self) -> Option<Duration> {
        self.claim.as_ref()?.until(self.voters.as_ref()?)
    }

    /// The term by which this registry holds the lease now.
    pub fn holds(&self, now: Duration) -> Option<u64> {
        let claim = self.claim.as_ref()?;
        self.until()
            .filter(|until| now < *until)
            .map(|_| claim.term)
    }

    /// Who holds the lease as far as known here.
    pub fn holder(&self, now: Duration) -> Option<(Ip, u64)> {
        match self.holds(now) {
            Some(term) => Some((self.me, term)),
            None => self
                .vote
                .filter(|v| now < v.until && v.candidate != self.me)
                .and(self.last_holder),
        }
    }

    fn is_bound_to_other(&self, candidate: Ip, now: Duration) -> bool {
        self.vote
            .is_some_and(|v| now < v.until && v.candidate != candidate)
    }

    /// Gives up its claim, and its vote for itself. A term by which it never held the lease it may grant to another that
    /// claimed by the same one.
    fn drop_claim(&mut self, idle_since: Duration) {
        if self.until().is_none() && self.last_holder.is_some_and(|h| h.0 == self.me) {
            self.last_holder = None;
        }
        (self.claim, self.vote, self.idle_since) = (None, None, idle_since);
    }

    /// What to say now, to all that are alive.
    pub fn tick(&mut self, now: Duration, alive: &[Ip]) -> Option<LeaseMessage> {
        if self.is_bound_to_other(self.me, now) {
            (self.claim, self.idle_since) = (None, now);
            return None;
        }
        if self.claim.is_some() && self.until().is_some_and(|until| now >= until) {
            // Lost though it claims all the time: it may be heard and hear nothing, and its claims would bind all
            // voters for good. It stands back until another has had the time to claim.
            self.drop_claim(now + BACKOFF);
        }
        if !self.is_current(now) || !self.voters.as_ref().is_some_and(|v| v.contains(self.me)) {
            return None;
        }
        if self.claim.is_none() {
            if !self.is_named_successor && now < self.idle_since + self.candidate_delay(alive) {
                return None;
            }
            self.term += 1;
            let (term, started) = (self.term, now);
            let (sent, grants) = (Vec::new(), BTreeMap::new());
            self.claim = Some(Claim {
                term,
                started,
                next: now,
                sent,
                grants,
                carried_until: None,
            });
        }
        let has_majority = self.until().is_some();
        if self
            .claim
            .as_ref()
            .is_some_and(|c| !has_majority && now > c.started + CLAIM_TIMEOUT)
        {
            // Given up, so that another's may come through.
            self.drop_claim(now + BACKOFF);
            return None;
        }
        self.send_claim(now)
    }

    /// Waits longer with each place in the order of the candidates, of which the last holder is none.
    fn candidate_delay(&self, alive: &[Ip]) -> Duration {
        let last = self.last_holder.map(|h| h.0);
        let is_candidate =
            |ip: Ip| self.voters.as_ref().is_some_and(|v| v.contains(ip)) && Some(ip) != last;
        let before = alive
            .iter()
            .filter(|ip| **ip < self.me && is_candidate(**ip))
            .count();
        CANDIDATE_DELAY * before as u32
    }

    fn send_claim(&mut self, now: Duration) -> Option<LeaseMessage> {
        let (me, epoch) = (self.me, self.epoch());
        let claim = self.claim.as_mut().filter(|c| now >= c.next)?;
        claim.next = now + CLAIM_INTERVAL;
        // As it comes back with the grants.
        let sent_us = now.as_micros() as u64;
        claim.sent.push(Duration::from_micros(sent_us));
        if claim.sent.len() > CLAIMS_REMEMBERED {
            claim.sent.remove(0);
        }
        claim.grants.insert(me, now);
        let term = claim.term;
        self.is_named_successor = false;
        self.vote = Some(Vote {
            candidate: me,
            until: now + LEASE,
        });
        self.last_holder = Some((me, term));
        Some(LeaseMessage::Claim {
            epoch,
            term,
            sent_us,
        })
    }

    /// A message of another registry: what to answer.
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
            LeaseMessage::Yield { epoch, term, to } => {
                if epoch == self.epoch() && self.last_holder == Some((from, term)) {
                    (self.vote, self.idle_since, self.is_named_successor) =
                        (None, now, to == self.me);
                }
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
        // A term belongs to one candidate: by it late acts of an earlier holder are told.
        let is_free = self
            .last_holder
            .is_none_or(|(ip, granted)| term > granted || (ip, granted) == (from, term));
        let is_known = epoch == self.epoch() && self.is_current(now);
        if !is_known || self.is_bound_to_other(from, now) || !is_free || term < self.term {
            return LeaseMessage::Refuse {
                epoch: self.highest_epoch,
                term: self.term,
            };
        }
        // A later term by another: this registry's own claim is over.
        self.claim = None;
        self.term = term;
        self.vote = Some(Vote {
            candidate: from,
            until: now + LEASE,
        });
        self.last_holder = Some((from, term));
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
        if let Some(claim) = self
            .claim
            .as_mut()
            .filter(|c| c.term == term && c.sent.contains(&sent))
        {
            let granted = claim.grants.entry(from).or_insert(sent);
            *granted = sent.max(*granted);
        }
    }

    fn receive_refusal(&mut self, term: u64, now: Duration) {
        let held = self.holds(now);
        self.term = self.term.max(term);
        // Behind: the next claim is above it, once whoever has that term has had the time to be heard. One who holds by that
        // very term is not behind.
        if self
            .claim
            .as_ref()
            .is_some_and(|c| c.term < term || (c.term == term && held.is_none()))
        {
            // Who held it claims anew at once: the other voters are bound to it.
            self.drop_claim(if held.is_some() { now } else { now + LEASE });
        }
    }

    /// Out of contact with the voters: claims would only raise the term, and break the holder's lease once they are
    /// heard. Back in contact, the holder is given the time to be heard first.
    pub fn stand_back(&mut self, now: Duration) {
        if self.claim.is_some() && self.holds(now).is_none() {
            self.drop_claim(now + LEASE);
        }
        self.idle_since = now + LEASE;
    }

    /// Lets go, naming the first other voter that is alive.
    pub fn leave(&mut self, now: Duration, alive: &[Ip]) -> Option<LeaseMessage> {
        let term = self.holds(now)?;
        let voters = self.voters.as_ref()?;
        let to = *alive
            .iter()
            .find(|ip| **ip != self.me && voters.contains(**ip))?;
        let epoch = voters.epoch;
        (self.claim, self.abstains_until) = (None, Duration::MAX);
        Some(LeaseMessage::Yield { epoch, term, to })
    }
}
