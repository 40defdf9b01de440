//! Which change of the voter set is due, over all small cases; and when one is proposed.

use std::time::Duration;

use damsonbeam_config_store::consensus::membership::{Presence, next_voters};
use damsonbeam_config_store::consensus::voters::{Voter, VoterSet};
use damsonbeam_config_store::consensus::{DurableState, DurableWrite, Effect, Replica};
use damsonbeam_control::address::Ip;
use damsonbeam_control::config::ProposalNumber;
use damsonbeam_control::messages::{Message, StateGroupDigests};

fn ip(n: usize) -> Ip {
    [10, 0, 0, n as u8 + 1]
}

fn founders(size: usize) -> VoterSet {
    VoterSet::founding(&(0..size).map(ip).collect::<Vec<_>>())
}

fn voter(n: usize, disk: u64) -> Voter {
    Voter {
        ip: ip(n),
        disk_id: disk,
    }
}

fn missing(seconds: u64) -> Presence {
    Presence::Missing(Duration::from_secs(seconds))
}

/// Sets of one to seven, each member in any of its states, with no candidate, one, or one with a member's address.
#[test]
fn no_change_lowers_the_losses_that_those_present_can_bear() {
    let states = [
        Presence::Present,
        Presence::Leaving,
        missing(2),
        missing(6),
        missing(20),
    ];
    for size in 1..8usize {
        let set = founders(size);
        for case in 0..states.len().pow(size as u32) {
            let state =
                |v: &Voter| states[case / states.len().pow(u32::from(v.ip[3]) - 1) % states.len()];
            for candidates in [vec![], vec![voter(20, 7)], vec![voter(0, 7)]] {
                let Some(next) = next_voters(&set, state, &candidates) else {
                    continue;
                };
                let both = set.voters().intersection(next.voters()).count();
                let all = set.voters().union(next.voters()).count();
                assert_eq!(
                    (next.epoch, all - both),
                    (2, 1),
                    "more than one changed: {next:?}"
                );
                assert!(
                    set.majority() + next.majority() > all,
                    "majorities that do not meet: {next:?}"
                );
                let lost = |v: &Voter| {
                    candidates
                        .iter()
                        .any(|c| c.ip == v.ip && c.disk_id != v.disk_id)
                };
                let there = |v: &Voter| {
                    candidates.contains(v) || !lost(v) && !matches!(state(v), Presence::Missing(_))
                };
                let bears = |s: &VoterSet| {
                    s.voters().iter().filter(|v| there(v)).count() as i64 - s.majority() as i64
                };
                assert!(
                    bears(&next) >= bears(&set),
                    "{size}, case {case}, {candidates:?}: {next:?}"
                );
                let present = set.voters().iter().filter(|v| there(v)).count();
                assert!(
                    size == 1 || present >= next.majority(),
                    "it hangs on its new member: {next:?}"
                );
            }
        }
    }
}

/// Found in world 2603: of a set of five with one gone, one that was told to end removed itself because another asked
/// to join; a disk lost then left four voters without a majority.
#[test]
fn the_one_longest_gone_is_removed_before_one_that_is_told_to_end() {
    let state = |gone: usize| {
        move |v: &Voter| match v.ip[3] {
            1 => Presence::Leaving,
            n if n as usize == gone => missing(20),
            _ => Presence::Present,
        }
    };
    let removed = |size: usize, candidates: &[Voter]| {
        let set = founders(size);
        let next = next_voters(&set, state(3), candidates)?;
        set.voters().difference(next.voters()).next().copied()
    };
    assert_eq!(removed(6, &[]), Some(voter(2, 0)));
    assert_eq!(removed(5, &[voter(9, 7)]), Some(voter(2, 0)));
    let stays = next_voters(&founders(5), state(99), &[]);
    assert_eq!(stays, None, "an odd set loses no member that may come back");
}

/// What planned and unplanned replacements come to, step by step.
#[test]
fn replacements_come_to_the_right_sizes() {
    let present = |_: &Voter| Presence::Present;
    let mut set = founders(3);
    for n in 3..6 {
        set = next_voters(&set, present, &[voter(n, 7)]).expect("grows");
    }
    assert_eq!(set.voters().len(), 6, "3 to 6 at the first start");
    let seven = next_voters(&set, present, &[voter(6, 7)]).expect("the new one first");
    let left = |v: &Voter| {
        if v.ip == ip(0) {
            missing(60)
        } else {
            Presence::Present
        }
    };
    assert_eq!(
        next_voters(&seven, left, &[]),
        None,
        "seven with one gone bear as much as six"
    );
    let six = next_voters(&seven, left, &[voter(7, 7)]).expect("the next one takes its place");
    let again = next_voters(&six, left, &[voter(7, 7)]).expect("and is added");
    assert!(!again.contains(&voter(0, 0)) && again.contains(&voter(7, 7)));
    let lost = next_voters(&set, present, &[voter(1, 9)]).expect("another disk at its address");
    assert!(!lost.contains(&voter(1, 0)) && lost.voters().len() == 5);
}

/// Found in world 13031: a sixth voter was proposed by three of five who answered, with two more that had lost their
/// disks; the new majority of four could never be had.
#[test]
fn a_change_is_proposed_only_if_those_who_answer_now_suffice_for_it() {
    let set = founders(5);
    let item = vec![set.to_item(ProposalNumber {
        round: 1,
        proposer: 1,
    })];
    let mut disk = DurableState::default();
    disk.apply(&DurableWrite::Accepted(item.clone()));
    disk.apply(&DurableWrite::Committed(item));
    let digests = StateGroupDigests {
        accepted: disk.accepted.group_digests(),
        committed: disk.committed.group_digests(),
    };
    let now = Duration::from_secs(1);
    let mut replica = Replica::new(ip(0), disk, 1, now);
    replica.set_roster(&(0..6).map(ip).collect::<Vec<_>>());
    replica.receive(
        ip(5),
        Message::CompareDigests {
            digests,
            learner: Some(7),
        },
        now,
    );
    replica.tick(now);
    let effects = replica.take_effects();
    let proposal_number = effects.iter().find_map(|effect| match effect {
        Effect::Broadcast(Message::Prepare {
            proposal_number, ..
        }) => Some(*proposal_number),
        _ => None,
    });
    let proposal_number = proposal_number.expect("a round for the change");
    let mut proposes = |n: usize| {
        replica.receive(
            ip(n),
            Message::Promise {
                proposal_number,
                promised: proposal_number,
                disk_id: 0,
                items: None,
            },
            now,
        );
        replica
            .take_effects()
            .iter()
            .any(|e| matches!(e, Effect::Broadcast(Message::Accept { .. })))
    };
    assert!(
        !proposes(1) && !proposes(2),
        "three of five answer: a majority of five, none of six"
    );
    assert!(proposes(3), "four answer");
}
