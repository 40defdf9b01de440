//! The coordinator's lease: one registry at a time reads the instance list of the cloud platform and keeps the shared
//! counts.
//!
//! A registry claims the lease for a term. A voter that grants a claim grants no other candidate's claim until that grant
//! has expired. The holder has the lease while grants of a majority of the voters are valid. The holder counts a grant from
//! the time it sent the claim, so its lease ends before any of these voters may grant another candidate's claim. A holder
//! whose process was paused therefore no longer holds the lease when it resumes. A holder that shuts down names its
//! successor. The successor needs grants of a majority as well, but the voters may grant its claim at once.
//!
//! # Epochs
//!
//! A registry gets the voters from the store on its machine ([`VoterSet`]). A registry that knows no voters neither claims
//! nor grants. Every message carries the epoch of its sender. A voter grants a claim, and a candidate counts a grant, only
//! if both sides are in the same epoch. Across a change of epoch:
//!
//! - A grant stays binding: a voter that learns of a new epoch grants no other candidate's claim until the grant has expired.
//! - The holder keeps its term and the rest of its lease, and claims in the new epoch with the same term. The holder gives up
//!   its term immediately if the epoch advanced by more than one.
//! - A registry that has seen a later epoch than that of its store neither claims nor grants until the store has advanced, too.
//! - A registry claims and grants only while its store's latest confirmation of the epoch is no older than
//!   [`EPOCH_CONFIRMATION_VALIDITY`], counted from the time the store was asked.
//!
//! Why at most one registry holds the lease: majorities of the same epoch or of consecutive epochs have a voter in common,
//! and that voter's grant binds it. Majorities of epochs `e` and `e + 2` need not have a voter in common. However, epoch
//! `e + 2` is decided by a majority of the stores of `e + 1`, each of which has been in `e + 1` for [`EPOCH_SPACING`], and
//! one of these stores belongs to a voter that granted the lease in `e`. That voter's registry stopped granting in `e` at
//! most `EPOCH_CONFIRMATION_VALIDITY` after its store left `e`, and the lease ended at most [`LEASE`] later.
//! `tests/lease_model.rs` checks this.
//!
//! Clocks are monotonic and may differ in rate: `CLOCK_RATE_MARGIN` (100 ms) covers a deviation of 5 % in either direction.
//! The time of day is not used.
//!
//! [`VoterSet`]: crate::voters::VoterSet

mod claim;
mod election;

use std::time::Duration;

pub use election::LeaseElection;

/// How long a grant binds its voter. The lease must outlast the loss of one or two datagrams plus the round trip between
/// regions.
pub const LEASE: Duration = Duration::from_millis(1000);
/// How long the store's confirmation of the epoch is valid, counted from the time the store was asked.
pub const EPOCH_CONFIRMATION_VALIDITY: Duration = Duration::from_millis(1000);
/// Minimum time between two changes of epoch that a store accepts. After this time no lease of the epoch before the first
/// change is valid.
pub const EPOCH_SPACING: Duration = Duration::from_millis(2200);

/// The holder's lease ends this much earlier than the grants, because clocks run at different rates.
const CLOCK_RATE_MARGIN: Duration = Duration::from_millis(100);
/// Time between two claim messages. Four fit into one lease, so that the loss of some does not end the lease.
const CLAIM_INTERVAL: Duration = Duration::from_millis(220);
/// Number of claim messages whose grants are still accepted.
const CLAIMS_REMEMBERED: usize = 5;
/// Each candidate waits this much longer than the candidate before it in address order, because two simultaneous candidates
/// would split the votes.
const CANDIDATE_DELAY: Duration = Duration::from_millis(200);
/// The largest extra pause of a candidate whose claim met another of the same or a higher term: several times the delay
/// between regions.
const MAX_SPREAD_PAUSE: Duration = Duration::from_millis(800);
/// How long a candidate pauses after its claim failed, so that the grants for it expire and another candidate can claim.
const BACKOFF: Duration = Duration::from_millis(2500);
/// A claim that has no majority after this time is given up.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2000);
