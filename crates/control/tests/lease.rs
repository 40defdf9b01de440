//! The lease over whole worlds of registries: loss, freezes, deafness, epochs that change.

use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::lease::{LEASE, LeaseElection};
use damsonbeam_control::messages::{LeaseHolder, LeaseMessage};
use damsonbeam_control::voters::VoterSet;

/// Clocks show no whole microseconds, as real ones.
fn at(ms: u64) -> Duration {
    Duration::from_millis(ms) + Duration::from_nanos(123)
}

fn ips(n: u8) -> Vec<Ip> {
    (1..=n).map(|i| [10, 0, 0, i]).collect()
}

fn registries(n: u8) -> Vec<LeaseElection> {
    let mut all: Vec<LeaseElection> = ips(n)
        .iter()
        .map(|ip| LeaseElection::new(*ip, at(0)))
        .collect();
    all.iter_mut()
        .for_each(|election| election.set_voters(VoterSet::new(1, ips(n))));
    all
}

/// Registries, 20 ms from each other; those in `cut` hear and say nothing.
fn play(
    all: &mut [LeaseElection],
    cut: &dyn Fn(usize, u64) -> bool,
    ms: std::ops::Range<u64>,
) -> Vec<(u64, usize)> {
    let ips = ips(all.len() as u8);
    let mut mail: Vec<(u64, usize, usize, LeaseMessage)> = Vec::new();
    let mut held = Vec::new();
    for t in ms.step_by(10) {
        for n in 0..all.len() {
            if cut(n, t) {
                continue;
            }
            all[n].confirm_epoch(1, at(t));
            if let Some(vote) = all[n].tick(at(t), &ips) {
                (0..all.len())
                    .filter(|m| *m != n)
                    .for_each(|m| mail.push((t + 20, n, m, vote.clone())));
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = mail.drain(..).partition(|m| m.0 <= t);
        mail = rest;
        for (_, from, to, vote) in due {
            if !cut(to, t)
                && !cut(from, t)
                && let Some(back) = all[to].receive(ips[from], &vote, at(t))
            {
                mail.push((t + 20, to, from, back));
            }
        }
        let holders: Vec<usize> = (0..all.len())
            .filter(|n| all[*n].held_term(at(t)).is_some())
            .collect();
        assert!(holders.len() <= 1, "two holders at {t}: {holders:?}");
        holders.iter().for_each(|h| held.push((t, *h)));
    }
    held
}

#[test]
fn one_holder_whose_loss_is_made_good_by_a_majority_and_who_wakes_with_nothing() {
    let mut all: Vec<LeaseElection> = registries(6);
    // The first holder is frozen from 5 s to 9 s; then half of the others are gone.
    let cut = |n: usize, t: u64| (n == 0 && (5000..9000).contains(&t)) || (n < 3 && t > 12_000);
    let held = play(&mut all, &cut, 0..16_000);
    let who = |t: u64| held.iter().find(|h| h.0 == t).map(|h| h.1);
    assert_eq!(who(4500), Some(0));
    assert!(who(8500).is_some_and(|h| h != 0), "nobody followed");
    assert_ne!(who(9500), Some(0), "it woke with its old right");
    // Three of six are no majority.
    assert_eq!(who(15_500), None);
}

#[test]
fn one_that_can_speak_and_not_hear_takes_the_duty_from_nobody_for_good() {
    let mut all: Vec<LeaseElection> = registries(5);
    let ips = ips(5);
    let mut mail: Vec<(u64, usize, usize, LeaseMessage)> = Vec::new();
    let (mut held, mut last) = (0, 0);
    for t in (0..20_000).step_by(10) {
        for (n, claims) in all.iter_mut().enumerate() {
            claims.confirm_epoch(1, at(t));
            if let Some(vote) = claims.tick(at(t), &ips) {
                (0..5)
                    .filter(|m| *m != n)
                    .for_each(|m| mail.push((t + 20, n, m, vote.clone())));
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = mail.drain(..).partition(|m| m.0 <= t);
        mail = rest;
        for (_, from, to, vote) in due {
            // The first, which would be the coordinator, hears nothing from 5 s on; what it says is heard.
            let deaf = to == 0 && t > 5000;
            if !deaf && let Some(back) = all[to].receive(ips[from], &vote, at(t)) {
                mail.push((t + 20, to, from, back));
            }
        }
        let holders = (0..5)
            .filter(|n| all[*n].held_term(at(t)).is_some())
            .count();
        assert!(holders <= 1, "two holders at {t}");
        if holders == 1 && t > 8000 {
            (held, last) = (held + 1, t);
        }
    }
    assert!(
        held > 600 && last > 19_000,
        "somebody has the duty most of the time: {held} of 1200, last at {last}"
    );
}

#[test]
fn a_holder_that_leaves_is_followed_at_once() {
    let mut all: Vec<LeaseElection> = registries(3);
    play(&mut all, &|_, _| false, 0..4000);
    let vote = all[0].transfer(at(4000), &ips(3)).expect("it holds");
    for claims in &mut all[1..3] {
        assert_eq!(claims.receive([10, 0, 0, 1], &vote, at(4010)), None);
    }
    let held = play(&mut all, &|n, _| n == 0, 4020..4400);
    assert!(
        held.iter().any(|h| h.1 == 1),
        "its successor waited: {held:?}"
    );
}

#[test]
fn a_holder_keeps_its_term_over_a_change_of_epoch_and_gives_it_up_where_it_is_two_behind() {
    let mut all = registries(3);
    play(&mut all, &|_, _| false, 0..4000);
    let term = all[0].held_term(at(4000)).expect("the first holds it");
    let next = VoterSet::new(2, ips(3)[..2].to_vec());
    all[..2]
        .iter_mut()
        .for_each(|election| election.set_voters(next.clone()));
    assert_eq!(
        all[0].held_term(at(4001)),
        Some(term),
        "the lease is broken off by a change of epoch"
    );
    // The third knows epoch 1 alone: its grants count for nothing.
    let claim = LeaseMessage::Claim {
        epoch: 2,
        term,
        sent_us: 4_010_000,
    };
    let refusal = all[2].receive(ips(3)[0], &claim, at(4010));
    assert!(matches!(refusal, Some(LeaseMessage::Refuse { .. })));
    all[0].confirm_epoch(2, at(4300));
    all[1].confirm_epoch(2, at(4300));
    let claim = all[0]
        .tick(at(4300), &ips(3))
        .expect("it claims in the new epoch");
    let grant = all[1]
        .receive(ips(3)[0], &claim, at(4310))
        .expect("an answer");
    all[0].receive(ips(3)[1], &grant, at(4320));
    assert_eq!(
        all[0].held_term(at(5150)),
        Some(term),
        "nothing was gained by the grant in the new epoch"
    );
    // Epoch 4 is seen: two ahead.
    all[0].observe_epoch(4);
    assert_eq!(all[0].held_term(at(4330)), None);
}

#[test]
fn no_claim_and_no_grant_without_voters_or_without_the_word_of_the_store() {
    let mut fresh = LeaseElection::new(ips(1)[0], at(0));
    for t in (0..20_000).step_by(50) {
        fresh.confirm_epoch(0, at(t));
        assert_eq!(fresh.tick(at(t), &[ips(1)[0]]), None);
        assert_eq!(fresh.held_term(at(t)), None, "it holds the lease alone");
    }
    // A voter whose store has been silent for the time that its word counts.
    let mut voter = registries(3).remove(0);
    voter.confirm_epoch(1, at(2000));
    let claim = |t: u64| LeaseMessage::Claim {
        epoch: 1,
        term: 1,
        sent_us: t * 1000,
    };
    assert!(matches!(
        voter.receive(ips(3)[1], &claim(2900), at(2900)),
        Some(LeaseMessage::Grant { .. })
    ));
    assert!(matches!(
        voter.receive(ips(3)[1], &claim(3001), at(3001)),
        Some(LeaseMessage::Refuse { .. })
    ));
}

#[test]
fn a_term_belongs_to_one_candidate_and_a_grant_to_a_claim_of_this_life() {
    let mut all = registries(3);
    play(&mut all, &|_, _| false, 0..4000);
    let term = all[0].held_term(at(4000)).expect("the first holds it");
    // Long after the lease another claims by the very term.
    all[2].confirm_epoch(1, at(9000));
    let claim = LeaseMessage::Claim {
        epoch: 1,
        term,
        sent_us: 9_000_000,
    };
    assert!(matches!(
        all[2].receive(ips(3)[1], &claim, at(9000)),
        Some(LeaseMessage::Refuse { .. })
    ));
    // Grants of claims that it never sent, as of a former life.
    for from in &ips(3)[1..] {
        all[0].receive(
            *from,
            &LeaseMessage::Grant {
                epoch: 1,
                term,
                sent_us: 60_000_000,
            },
            at(4010),
        );
    }
    assert_eq!(
        all[0].held_term(at(4000) + LEASE),
        None,
        "grants of another life prolong the lease"
    );
}

#[test]
fn one_that_was_cut_off_and_claimed_all_the_while_breaks_the_lease_once_at_most() {
    let mut all = registries(6);
    let ips = ips(6);
    let mut mail: Vec<(u64, usize, usize, LeaseMessage)> = Vec::new();
    let mut terms = Vec::new();
    for t in (0..40_000).step_by(10) {
        // The third is cut off, but runs.
        let is_cut = |a: usize, b: usize| (5000..25_000).contains(&t) && (a == 2) != (b == 2);
        for (n, election) in all.iter_mut().enumerate() {
            election.confirm_epoch(1, at(t));
            // It holds the others for dead until after the cut.
            let alive = if n == 2 && (7000..40_000).contains(&t) {
                &ips[2..3]
            } else {
                &ips[..]
            };
            if let Some(claim) = election.tick(at(t), alive) {
                (0..6)
                    .filter(|m| *m != n)
                    .for_each(|m| mail.push((t + 50, n, m, claim.clone())));
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = mail.drain(..).partition(|m| m.0 <= t);
        mail = rest;
        for (_, from, to, message) in due {
            if !is_cut(from, to)
                && let Some(answer) = all[to].receive(ips[from], &message, at(t))
            {
                mail.push((t + 50, to, from, answer));
            }
        }
        let holders: Vec<u64> = all
            .iter()
            .filter_map(|election| election.held_term(at(t)))
            .collect();
        assert!(holders.len() <= 1, "two holders at {t}");
        terms.extend(holders.into_iter().filter(|_| t > 4000));
    }
    let held = terms.len();
    assert!(
        held > 3550,
        "nobody has the lease for {} ms",
        (3600 - held) * 10
    );
    terms.dedup();
    assert!(
        terms.len() <= 2,
        "the lease goes to and fro: terms {terms:?}"
    );
}

/// The first of three holds the lease; the second is a voter that has granted it.
fn holder_and_voter() -> (LeaseElection, LeaseElection) {
    let mut all = registries(3);
    play(&mut all, &|_, _| false, 0..4000);
    let voter = all.remove(1);
    (all.remove(0), voter)
}

#[test]
fn claims_and_grants_of_another_epoch_count_for_nothing() {
    let (mut holder, mut voter) = holder_and_voter();
    let term = holder.held_term(at(4000)).expect("the first holds it");
    let next = VoterSet::new(2, ips(3));
    voter.set_voters(next.clone());
    voter.confirm_epoch(2, at(4000));
    let claim = LeaseMessage::Claim {
        epoch: 1,
        term,
        sent_us: 4_000_000,
    };
    let answer = voter.receive(ips(3)[0], &claim, at(4000));
    assert_eq!(
        answer,
        Some(LeaseMessage::Refuse { epoch: 2, term }),
        "it grants in an epoch that is over"
    );
    holder.set_voters(next);
    holder.confirm_epoch(2, at(4300));
    let Some(LeaseMessage::Claim { sent_us, .. }) = holder.tick(at(4300), &ips(3)) else {
        panic!("it claims in the new epoch");
    };
    for from in &ips(3)[1..] {
        holder.receive(
            *from,
            &LeaseMessage::Grant {
                epoch: 1,
                term,
                sent_us,
            },
            at(4310),
        );
    }
    assert_eq!(
        holder.held_term(at(5150)),
        None,
        "a grant of the old epoch prolongs the lease"
    );
}

#[test]
fn a_lease_ends_at_a_slow_holder_before_a_fast_voter_is_free() {
    let (mut holder, mut voter) = holder_and_voter();
    // Both clocks show the same when the claim is sent and granted; then they run at different rates.
    holder.confirm_epoch(1, at(4300));
    voter.confirm_epoch(1, at(4300));
    let claim = holder.tick(at(4300), &ips(3)).expect("it claims");
    let grant = voter
        .receive(ips(3)[0], &claim, at(4300))
        .expect("it grants");
    holder.receive(ips(3)[1], &grant, at(4300));
    let by_clock = |elapsed_ms: u64, rate: f64| at(4300) + at(elapsed_ms).mul_f64(rate);
    for elapsed in 0..1100 {
        let at_voter = by_clock(elapsed, 1.05);
        voter.confirm_epoch(1, at_voter);
        let claim = LeaseMessage::Claim {
            epoch: 1,
            term: 9,
            sent_us: 0,
        };
        let is_free = matches!(
            voter.clone().receive(ips(3)[2], &claim, at_voter),
            Some(LeaseMessage::Grant { .. })
        );
        let holds = holder.held_term(by_clock(elapsed, 0.95)).is_some();
        assert!(
            !(is_free && holds),
            "two may hold it {elapsed} ms after the grant"
        );
    }
}

#[test]
fn candidates_of_one_term_agree_on_the_one_that_has_the_majority() {
    let mut all = registries(5);
    let ips = ips(5);
    // Two claim by the same term at once; the first has the majority.
    let claims: Vec<LeaseMessage> = (0..2)
        .map(|n| {
            all[n].confirm_epoch(1, at(2000));
            all[n].tick(at(2000), &ips[n..=n]).expect("it claims")
        })
        .collect();
    for voter in 2..5 {
        all[voter].confirm_epoch(1, at(2000));
        let grant = all[voter]
            .receive(ips[0], &claims[0], at(2010))
            .expect("an answer");
        all[0].receive(ips[voter], &grant, at(2020));
        let refusal = all[voter]
            .receive(ips[1], &claims[1], at(2015))
            .expect("an answer");
        all[1].receive(ips[voter], &refusal, at(2025));
    }
    let term = all[0].held_term(at(2030)).expect("the first holds it");
    // The second, refused, grants the first one's next claim instead of claiming by a later term.
    all[0].confirm_epoch(1, at(2240));
    let next = all[0].tick(at(2240), &ips).expect("it claims again");
    assert!(matches!(
        all[1].receive(ips[0], &next, at(2250)),
        Some(LeaseMessage::Grant { .. })
    ));
    assert_eq!(
        all[1].holder(at(2260)),
        Some(LeaseHolder { ip: ips[0], term })
    );
}
