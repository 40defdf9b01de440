//! Determines which change of the voter set is due, from the presence of its members. Free of I/O and clocks.
//!
//! A change adds or removes one voter, so that any majority of a set intersects any majority of the next. No change
//! reduces the number of further losses that the present voters tolerate:
//!
//! - Removing a missing voter makes the majority of an even set smaller, and leaves the majority of an odd set as it
//!   is.
//! - Adding a voter to an even set leaves the majority as it is, so the change can't fail because the new voter is slow
//!   or absent.
//!
//! Hence a missing voter is removed from an odd set before its successor is added, and from an even set after that.
//! Without a successor only even sets lose a member: sets of 6 and of 5 tolerate the same number of losses, and a
//! rolling stop of all members can't shrink the set step by step.

use std::time::Duration;

use super::voters::{Voter, VoterSet};

/// A voter missing for this long is replaced by a successor that has all items. The registries may need 3.1 s to find a
/// member dead, and the replacement must be complete within `catch_up_s`, after which the next loss may occur.
const REPLACE_AFTER: Duration = Duration::from_millis(200);
/// A voter missing for this long is removed even without a successor. This may be short, because a voter that returns
/// is added again once it has all items.
const REMOVE_AFTER: Duration = Duration::from_secs(10);
/// The smallest even set that may lose a member without a successor.
const MIN_EVEN_SIZE_TO_SHRINK: usize = 4;
/// The smallest odd set that may lose a member without a successor; at least two members must be missing.
const MIN_ODD_SIZE_TO_SHRINK: usize = 7;

/// Whether a voter is reachable, as seen by one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The voter is alive.
    Present,
    /// The voter is shutting down.
    Leaving,
    /// The voter has not been seen for this long.
    Missing(Duration),
}

impl Presence {
    fn missing_for(self) -> Duration {
        match self {
            Presence::Present | Presence::Leaving => Duration::ZERO,
            Presence::Missing(time) => time,
        }
    }
}

/// Returns the next voter set if a change is due. `candidates` are learners that hold all committed items.
pub fn next_voters(
    set: &VoterSet,
    presence: impl Fn(&Voter) -> Presence,
    candidates: &[Voter],
) -> Option<VoterSet> {
    let is_present = |voter: &Voter| {
        !has_lost_disk(voter, candidates) && presence(voter).missing_for().is_zero()
    };
    let next = proposed_set(set, &presence, candidates)?;
    // The voters present must be a majority of the next set without its new member.
    let present = set
        .voters()
        .iter()
        .filter(|voter| is_present(voter))
        .count();
    let is_possible = present >= next.majority_size() || set.voters().len() == 1;
    is_possible.then_some(next)
}

/// Returns whether a candidate has the voter's address and another disk id: the disk that held the vote is lost.
fn has_lost_disk(voter: &Voter, candidates: &[Voter]) -> bool {
    let replaces = |other: &Voter| other.ip == voter.ip && other.disk_id != voter.disk_id;
    candidates.iter().any(replaces)
}

/// Returns the next change of the voter set, without checking that enough voters are present for it.
fn proposed_set(
    set: &VoterSet,
    presence: impl Fn(&Voter) -> Presence,
    candidates: &[Voter],
) -> Option<VoterSet> {
    let voters = set.voters();
    let is_even = voters.len().is_multiple_of(2);
    let lost = voters.iter().find(|voter| has_lost_disk(voter, candidates));
    if let Some(lost) = lost.filter(|_| voters.len() > 1) {
        return Some(set.without(lost));
    }
    let longest_missing = voters
        .iter()
        .max_by_key(|voter| presence(voter).missing_for());
    let missing_for =
        |time: Duration| longest_missing.filter(|voter| presence(voter).missing_for() >= time);
    if may_shrink(set, &presence) {
        let leaving = voters
            .iter()
            .find(|voter| presence(voter) == Presence::Leaving);
        let leaving = leaving.filter(|_| is_even);
        if let Some(voter) = missing_for(REMOVE_AFTER).or(leaving) {
            return Some(set.without(voter));
        }
    }
    let candidate = candidates
        .iter()
        .find(|candidate| !set.contains(candidate))?;
    match missing_for(REPLACE_AFTER) {
        Some(missing) if !is_even => Some(set.without(missing)),
        _ => Some(set.with(*candidate)),
    }
}

/// Returns whether the set may lose a member without a successor.
fn may_shrink(set: &VoterSet, presence: impl Fn(&Voter) -> Presence) -> bool {
    let size = set.voters().len();
    let is_long_missing = |voter: &&Voter| presence(voter).missing_for() >= REMOVE_AFTER;
    let long_missing = set.voters().iter().filter(is_long_missing).count();
    let is_even = size.is_multiple_of(2);
    (is_even && size >= MIN_EVEN_SIZE_TO_SHRINK)
        || (long_missing > 1 && size >= MIN_ODD_SIZE_TO_SHRINK)
}
