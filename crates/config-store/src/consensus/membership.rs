//! Which change of the voter set is due, as a function of what is known of its members. Free of I/O and of clocks.
//!
//! A change adds or removes one voter, so that any majority of a set meets any majority of the next. No change lowers
//! the number of further losses that the present voters can bear. Removing a missing one keeps to that: from an even
//! set it makes the majority smaller, from an odd one it leaves it as it is. Adding one to an even set leaves the majority
//! as it is, too, so that the change can't fail for want of the new member. Hence a missing member is removed from an
//! odd set before its successor is added, and after it from an even one. Without a successor only even sets lose
//! a member: the losses that a set of 6 and one of 5 can bear are the same, and a rolling stop of all members can't
//! shrink the set step by step.

use std::time::Duration;

use super::voters::{Voter, VoterSet};

/// A voter that has been missing for this long (2.2 s after its last message) is replaced by a successor that has all
/// items: within `catch_up_s`, after which the next loss may come.
const REPLACE_AFTER: Duration = Duration::from_millis(800);
/// A voter that has been missing for this long is removed though nobody takes its place. One that returns is added again
/// once it has all items, so this may be short.
const REMOVE_AFTER: Duration = Duration::from_secs(10);
/// No smaller set loses a member without a successor.
const SMALLEST_SHRUNK: usize = 4;
/// Sets of at least this many lose members even if they are odd, once two are missing.
const SMALLEST_SHRUNK_BY_TWO: usize = 7;

/// What is known of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is alive.
    Present,
    /// It was told to end.
    Leaving,
    /// It has not been seen for so long.
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

/// The next voter set, if a change is due. `candidates` are replicas without a vote that hold everything committed.
pub fn next_voters(
    set: &VoterSet,
    presence: impl Fn(&Voter) -> Presence,
    candidates: &[Voter],
) -> Option<VoterSet> {
    let is_present = |voter: &Voter| {
        !has_lost_disk(voter, candidates) && presence(voter).missing_for().is_zero()
    };
    let next = wanted_set(set, &presence, candidates)?;
    // A change must not depend on its new member.
    let present = set
        .voters()
        .iter()
        .filter(|voter| is_present(voter))
        .count();
    let is_possible = present >= next.majority() || set.voters().len() == 1;
    is_possible.then_some(next)
}

/// A candidate with another disk at the same address: the replica that had the vote is lost.
fn has_lost_disk(voter: &Voter, candidates: &[Voter]) -> bool {
    let replaces = |other: &Voter| other.ip == voter.ip && other.disk_id != voter.disk_id;
    candidates.iter().any(replaces)
}

fn wanted_set(
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

/// Whether the set may lose a member without a successor.
fn may_shrink(set: &VoterSet, presence: impl Fn(&Voter) -> Presence) -> bool {
    let size = set.voters().len();
    let is_gone = |voter: &&Voter| presence(voter).missing_for() >= REMOVE_AFTER;
    let gone = set.voters().iter().filter(is_gone).count();
    let is_even = size.is_multiple_of(2);
    (is_even && size >= SMALLEST_SHRUNK) || (gone > 1 && size >= SMALLEST_SHRUNK_BY_TWO)
}
