//! The lease of the coordinator: one registry at a time reads the platform's list and keeps the shared counts.
//!
//! A registry claims the lease with a term. A voter that grants a claim grants no other until that grant has expired.
//! The holder has the lease while grants of a majority of the voters are valid, counted from when it sent its claim, so
//! it ends at the holder before any voter may grant anew: a holder that was frozen and wakes has nothing. A holder that
//! leaves names its successor, which needs a majority all the same, but whose voters need not wait.
//!
//! # Epochs
//!
//! The voters come from the store of the registry's machine ([`VoterSet`]). A registry that knows none claims nothing and
//! grants nothing. Every message bears the epoch of its sender, and a claim is granted, and a grant counted, only where
//! both sides are in the same one. Across a change of epoch:
//!
//! - A grant stays binding: a voter that learns of a new epoch grants to nobody else until the grant has expired.
//! - The holder keeps its term and what is left of its lease, and claims in the new epoch with the same term. It gives
//!   the term up at once where the epoch went on by more than one.
//! - A registry that has seen a later epoch than that of its store neither claims nor grants until its store follows.
//! - It claims and grants only while its store has confirmed the epoch within [`EPOCH_CONFIRMATION_VALIDITY`], counted
//!   from when the store was asked.
//!
//! Why there is one holder at most: holders in the same epoch or in consecutive ones have a voter in common, since
//! majorities of consecutive epochs meet, and that voter's grant binds it. A holder in epoch `e` and one in `e + 2` need not
//! have one. But where `e + 2` is agreed upon by a majority of the stores of `e + 1`, each of which has been in `e + 1` for
//! [`EPOCH_SPACING`]; one of them is the store of a voter of the holder in `e`. That voter's registry stopped granting in `e`
//! `EPOCH_CONFIRMATION_VALIDITY` after its store left `e`, and the lease ended [`LEASE`] later. `tests/lease_model.rs`
//! explores this.
//!
//! Clocks are steady and may differ in rate: the margin of 100 ms covers 5 % on either side. The time of day plays no part.
//!
//! [`VoterSet`]: crate::voters::VoterSet

mod claim;
mod election;

use std::time::Duration;

pub use election::LeaseElection;

/// How long a grant binds its voter: long compared with a lost datagram or two and the round trip between regions.
pub const LEASE: Duration = Duration::from_millis(1000);
/// How long the store's confirmation of the epoch is valid.
pub const EPOCH_CONFIRMATION_VALIDITY: Duration = Duration::from_millis(1000);
/// A store accepts no further change of epoch this soon after the last: by then no lease of the epoch before is valid.
pub const EPOCH_SPACING: Duration = Duration::from_millis(2200);

/// The holder's lease ends this much before its grants do, because clocks run at different rates.
const CLOCK_RATE_MARGIN: Duration = Duration::from_millis(100);
/// Between two claims of the holder: four in a lease, so that lost ones do not end it.
const CLAIM_INTERVAL: Duration = Duration::from_millis(220);
/// Claims whose grants may still arrive.
const CLAIMS_REMEMBERED: usize = 5;
/// Each candidate waits this much longer than the one before it in order: two at once would split the votes.
const CANDIDATE_DELAY: Duration = Duration::from_millis(200);
/// A candidate whose claims failed claims nothing for this long: its grants must expire, and another must claim.
const BACKOFF: Duration = Duration::from_millis(2500);
/// A claim that has no majority by then is given up.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2000);
