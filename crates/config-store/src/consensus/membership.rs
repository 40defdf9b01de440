//! Which change of the voter set is due, as a function of what is known of its members. Free of I/O and of clocks.
//!
//! A change adds or removes one voter, so that any majority of a set meets any majority of the next. No change lowers
//! the number of further losses that the voters present can bear. Removing one that is gone keeps to that: from an even
//! set it makes the majority smaller, from an odd one it leaves it as it is. Adding one to an even set leaves the majority
//! as it is, too, so that the change can't fail for want of the new member. Hence a member that is gone is removed from an
//! odd set before its successor is added, and after it from an even one. Without a successor only even sets lose
//! a member: the losses that a set of 6 and one of 5 can bear are the same, and a rolling stop of all members can't
//! shrink the set step by step.

use std::time::Duration;

use super::voters::{Voter, VoterSet};

/// A voter held for gone for so long (2.2 s after its last word) gives its place to a successor that is level: within
/// `catch_up_s`, after which the next loss may come.
const REPLACE_AFTER: Duration = Duration::from_millis(800);
/// A voter not seen for so long is removed though nobody takes its place. One that returns is added again once it is
/// level, so this may be short.
const REMOVE_AFTER: Duration = Duration::from_secs(10);
/// No set of fewer is made smaller for want of members.
const SMALLEST_SHRUNK: usize = 4;
/// Larger sets lose two members at a time even if they are odd, once two are gone.
const SMALLEST_SHRUNK_BY_TWO: usize = 7;

/// What is known of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    Present,
    /// It is told to end.
    Leaving,
    /// Not seen for so long.
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

/// The next voter set, if a change is due. `candidates` are replicas without a vote that hold all that is decided.
pub fn next_voters(
    set: &VoterSet,
    presence: impl Fn(&Voter) -> Presence,
    candidates: &[Voter],
) -> Option<VoterSet> {
    // Another disk at the same address: the one that had the vote is lost.
    let is_lost = |v: &Voter| candidates.iter().any(|c| c.ip == v.ip && c.disk != v.disk);
    let is_present = |v: &Voter| !is_lost(v) && presence(v).missing_for().is_zero();
    let next = wanted(set, &presence, is_lost, candidates)?;
    // A change must not hang on its new member.
    let present = set.voters().iter().filter(|v| is_present(v)).count();
    (present >= next.majority() || set.voters().len() == 1).then_some(next)
}

fn wanted(
    set: &VoterSet,
    presence: impl Fn(&Voter) -> Presence,
    is_lost: impl Fn(&Voter) -> bool,
    candidates: &[Voter],
) -> Option<VoterSet> {
    let voters = set.voters();
    let (size, even) = (voters.len(), voters.len().is_multiple_of(2));
    if let Some(lost) = voters.iter().find(|v| is_lost(v)).filter(|_| size > 1) {
        return Some(set.without(lost));
    }
    let longest_gone = voters.iter().max_by_key(|v| presence(v).missing_for());
    let gone_for = |time| longest_gone.filter(|v| presence(v).missing_for() >= time);
    let gone = voters
        .iter()
        .filter(|v| presence(v).missing_for() >= REMOVE_AFTER)
        .count();
    if even && size >= SMALLEST_SHRUNK || gone > 1 && size >= SMALLEST_SHRUNK_BY_TWO {
        let leaver = voters
            .iter()
            .find(|v| even && presence(v) == Presence::Leaving);
        if let Some(gone) = gone_for(REMOVE_AFTER).or(leaver) {
            return Some(set.without(gone));
        }
    }
    let candidate = candidates.iter().find(|c| !set.contains(c))?;
    match gone_for(REPLACE_AFTER) {
        Some(gone) if !even => Some(set.without(gone)),
        _ => Some(set.with(*candidate)),
    }
}
