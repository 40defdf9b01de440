//! The coordinator's lease among several registries: network partitions, process pauses, links that fail in one direction,
//! clocks of different rates and changes of epoch. Invariant: at most one registry holds the lease at any time.

use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::lease::{LEASE, LeaseElection};
use damsonbeam_control::messages::{LeaseHolder, LeaseMessage};
use damsonbeam_control::voters::VoterSet;

/// A clock reading that is not a whole number of microseconds, as those of real clocks.
fn at(ms: u64) -> Duration {
    Duration::from_millis(ms) + Duration::from_nanos(123)
}

fn ips(n: u8) -> Vec<Ip> {
    (1..=n).map(|i| [10, 0, 0, i]).collect()
}

/// Registries in epoch 1, all of them voters.
fn new_registries(n: u8) -> Vec<LeaseElection> {
    let mut registries: Vec<LeaseElection> = ips(n)
        .iter()
        .map(|ip| LeaseElection::new(*ip, at(0)))
        .collect();
    registries
        .iter_mut()
        .for_each(|election| election.set_voters(VoterSet::new(1, ips(n))));
    registries
}

/// Simulates the registries over the time range `ms`, with a one-way delay of 20 ms. A registry for which `is_down` holds
/// neither sends nor receives. Returns, every 10 ms, the time and the holder if there is one.
fn simulate(
    registries: &mut [LeaseElection],
    is_down: &dyn Fn(usize, u64) -> bool,
    ms: std::ops::Range<u64>,
) -> Vec<(u64, usize)> {
    let ips = ips(registries.len() as u8);
    let mut in_flight: Vec<(u64, usize, usize, LeaseMessage)> = Vec::new();
    let mut held = Vec::new();
    for t in ms.step_by(10) {
        for n in 0..registries.len() {
            if is_down(n, t) {
                continue;
            }
            registries[n].confirm_epoch(1, at(t));
            if let Some(message) = registries[n].tick(at(t), &ips) {
                (0..registries.len())
                    .filter(|m| *m != n)
                    .for_each(|m| in_flight.push((t + 20, n, m, message.clone())));
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = in_flight.drain(..).partition(|m| m.0 <= t);
        in_flight = rest;
        for (_, from, to, message) in due {
            if !is_down(to, t)
                && !is_down(from, t)
                && let Some(answer) = registries[to].receive(ips[from], &message, at(t))
            {
                in_flight.push((t + 20, to, from, answer));
            }
        }
        let holders: Vec<usize> = (0..registries.len())
            .filter(|n| registries[*n].held_term(at(t)).is_some())
            .collect();
        assert!(holders.len() <= 1, "two holders at {t}: {holders:?}");
        holders.iter().for_each(|h| held.push((t, *h)));
    }
    held
}

#[test]
fn a_majority_replaces_a_paused_holder_which_resumes_without_the_lease() {
    let mut registries: Vec<LeaseElection> = new_registries(6);
    // The first holder is paused from 5 s to 9 s. From 12 s on three of the six registries are down.
    let is_down = |n: usize, t: u64| (n == 0 && (5000..9000).contains(&t)) || (n < 3 && t > 12_000);
    let held = simulate(&mut registries, &is_down, 0..16_000);
    let holder_at = |t: u64| held.iter().find(|h| h.0 == t).map(|h| h.1);
    assert_eq!(holder_at(4500), Some(0));
    assert!(
        holder_at(8500).is_some_and(|h| h != 0),
        "no other registry took over the lease"
    );
    assert_ne!(
        holder_at(9500),
        Some(0),
        "the paused registry resumed with its old lease"
    );
    // Three of six voters are not a majority.
    assert_eq!(holder_at(15_500), None);
}

#[test]
fn a_registry_that_sends_but_receives_nothing_does_not_block_the_lease() {
    let mut registries: Vec<LeaseElection> = new_registries(5);
    let ips = ips(5);
    let mut in_flight: Vec<(u64, usize, usize, LeaseMessage)> = Vec::new();
    let (mut held, mut last) = (0, 0);
    for t in (0..20_000).step_by(10) {
        for (n, election) in registries.iter_mut().enumerate() {
            election.confirm_epoch(1, at(t));
            if let Some(message) = election.tick(at(t), &ips) {
                (0..5)
                    .filter(|m| *m != n)
                    .for_each(|m| in_flight.push((t + 20, n, m, message.clone())));
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = in_flight.drain(..).partition(|m| m.0 <= t);
        in_flight = rest;
        for (_, from, to, message) in due {
            // From 5 s on the first registry, the preferred coordinator, receives nothing, but the others receive its
            // messages.
            let is_receive_broken = to == 0 && t > 5000;
            if !is_receive_broken
                && let Some(answer) = registries[to].receive(ips[from], &message, at(t))
            {
                in_flight.push((t + 20, to, from, answer));
            }
        }
        let holders = (0..5)
            .filter(|n| registries[*n].held_term(at(t)).is_some())
            .count();
        assert!(holders <= 1, "two holders at {t}");
        if holders == 1 && t > 8000 {
            (held, last) = (held + 1, t);
        }
    }
    assert!(
        held > 600 && last > 19_000,
        "the lease was held at {held} of 1200 samples, last at {last}"
    );
}

#[test]
fn a_named_successor_claims_the_lease_without_delay() {
    let mut registries: Vec<LeaseElection> = new_registries(3);
    simulate(&mut registries, &|_, _| false, 0..4000);
    let message = registries[0]
        .transfer(at(4000), &ips(3))
        .expect("the first registry holds the lease");
    for voter in &mut registries[1..3] {
        assert_eq!(voter.receive([10, 0, 0, 1], &message, at(4010)), None);
    }
    let held = simulate(&mut registries, &|n, _| n == 0, 4020..4400);
    assert!(
        held.iter().any(|h| h.1 == 1),
        "the successor did not claim at once: {held:?}"
    );
}

#[test]
fn a_holder_keeps_its_term_in_the_next_epoch_and_gives_it_up_two_epochs_behind() {
    let mut registries = new_registries(3);
    simulate(&mut registries, &|_, _| false, 0..4000);
    let term = registries[0]
        .held_term(at(4000))
        .expect("the first registry holds the lease");
    let next = VoterSet::new(2, ips(3)[..2].to_vec());
    registries[..2]
        .iter_mut()
        .for_each(|election| election.set_voters(next.clone()));
    assert_eq!(
        registries[0].held_term(at(4001)),
        Some(term),
        "the change of epoch ended the lease"
    );
    // The third registry knows only epoch 1, so it refuses the claim.
    let claim = LeaseMessage::Claim {
        epoch: 2,
        term,
        sent_us: 4_010_000,
    };
    let refusal = registries[2].receive(ips(3)[0], &claim, at(4010));
    assert!(matches!(refusal, Some(LeaseMessage::Refuse { .. })));
    registries[0].confirm_epoch(2, at(4300));
    registries[1].confirm_epoch(2, at(4300));
    let claim = registries[0]
        .tick(at(4300), &ips(3))
        .expect("the holder claims in the new epoch");
    let grant = registries[1]
        .receive(ips(3)[0], &claim, at(4310))
        .expect("an answer");
    registries[0].receive(ips(3)[1], &grant, at(4320));
    assert_eq!(
        registries[0].held_term(at(5150)),
        Some(term),
        "the grant in the new epoch did not extend the lease"
    );
    // The holder sees epoch 4, which is two ahead of its own.
    registries[0].observe_epoch(4);
    assert_eq!(registries[0].held_term(at(4330)), None);
}

#[test]
fn a_registry_without_voters_or_a_valid_epoch_confirmation_neither_claims_nor_grants() {
    let mut fresh = LeaseElection::new(ips(1)[0], at(0));
    for t in (0..20_000).step_by(50) {
        fresh.confirm_epoch(0, at(t));
        assert_eq!(fresh.tick(at(t), &[ips(1)[0]]), None);
        assert_eq!(
            fresh.held_term(at(t)),
            None,
            "a registry without voters holds the lease"
        );
    }
    // The store's confirmation of the epoch was asked for at 2000 ms and is valid for 1000 ms.
    let mut voter = new_registries(3).remove(0);
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
fn a_used_term_is_refused_to_another_candidate_and_grants_of_unsent_claims_do_not_count() {
    let mut registries = new_registries(3);
    simulate(&mut registries, &|_, _| false, 0..4000);
    let term = registries[0]
        .held_term(at(4000))
        .expect("the first registry holds the lease");
    // Long after the lease has ended, another registry claims with the same term.
    registries[2].confirm_epoch(1, at(9000));
    let claim = LeaseMessage::Claim {
        epoch: 1,
        term,
        sent_us: 9_000_000,
    };
    assert!(matches!(
        registries[2].receive(ips(3)[1], &claim, at(9000)),
        Some(LeaseMessage::Refuse { .. })
    ));
    // Grants of claims that this process never sent, for example of claims sent before its restart.
    for from in &ips(3)[1..] {
        registries[0].receive(
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
        registries[0].held_term(at(4000) + LEASE),
        None,
        "grants of claims that were never sent extended the lease"
    );
}

#[test]
fn a_registry_that_claimed_during_a_partition_interrupts_the_lease_at_most_once() {
    let mut registries = new_registries(6);
    let ips = ips(6);
    let mut in_flight: Vec<(u64, usize, usize, LeaseMessage)> = Vec::new();
    let mut terms = Vec::new();
    for t in (0..40_000).step_by(10) {
        // The third registry keeps running while it is partitioned from the others.
        let is_partitioned =
            |a: usize, b: usize| (5000..25_000).contains(&t) && (a == 2) != (b == 2);
        for (n, election) in registries.iter_mut().enumerate() {
            election.confirm_epoch(1, at(t));
            // From 7 s on the third registry considers the others dead, even after the partition has healed.
            let alive = if n == 2 && (7000..40_000).contains(&t) {
                &ips[2..3]
            } else {
                &ips[..]
            };
            if let Some(claim) = election.tick(at(t), alive) {
                (0..6)
                    .filter(|m| *m != n)
                    .for_each(|m| in_flight.push((t + 50, n, m, claim.clone())));
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = in_flight.drain(..).partition(|m| m.0 <= t);
        in_flight = rest;
        for (_, from, to, message) in due {
            if !is_partitioned(from, to)
                && let Some(answer) = registries[to].receive(ips[from], &message, at(t))
            {
                in_flight.push((t + 50, to, from, answer));
            }
        }
        let holders: Vec<u64> = registries
            .iter()
            .filter_map(|election| election.held_term(at(t)))
            .collect();
        assert!(holders.len() <= 1, "two holders at {t}");
        terms.extend(holders.into_iter().filter(|_| t > 4000));
    }
    let held = terms.len();
    assert!(
        held > 3550,
        "no registry held the lease for {} ms",
        (3600 - held) * 10
    );
    terms.dedup();
    assert!(
        terms.len() <= 2,
        "the lease changed more than once: terms {terms:?}"
    );
}

/// Returns the first of three registries, which holds the lease, and the second, which has granted it.
fn holder_and_voter() -> (LeaseElection, LeaseElection) {
    let mut registries = new_registries(3);
    simulate(&mut registries, &|_, _| false, 0..4000);
    let voter = registries.remove(1);
    (registries.remove(0), voter)
}

#[test]
fn claims_and_grants_of_another_epoch_do_not_count() {
    let (mut holder, mut voter) = holder_and_voter();
    let term = holder
        .held_term(at(4000))
        .expect("the first registry holds the lease");
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
        Some(LeaseMessage::Refuse {
            highest_epoch: 2,
            highest_term: term
        }),
        "the voter granted a claim of an earlier epoch"
    );
    holder.set_voters(next);
    holder.confirm_epoch(2, at(4300));
    let Some(LeaseMessage::Claim { sent_us, .. }) = holder.tick(at(4300), &ips(3)) else {
        panic!("the holder did not claim in the new epoch");
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
        "a grant of the old epoch extended the lease"
    );
}

#[test]
fn a_lease_on_a_slow_clock_ends_before_a_voter_with_a_fast_clock_may_grant_again() {
    let (mut holder, mut voter) = holder_and_voter();
    // Both clocks agree when the claim is sent and granted. From then on the holder's clock runs at 0.95 and the voter's at
    // 1.05 of the true rate.
    holder.confirm_epoch(1, at(4300));
    voter.confirm_epoch(1, at(4300));
    let claim = holder.tick(at(4300), &ips(3)).expect("the holder claims");
    let grant = voter
        .receive(ips(3)[0], &claim, at(4300))
        .expect("the voter grants");
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
            "two registries may hold the lease {elapsed} ms after the grant"
        );
    }
}

#[test]
fn a_refused_candidate_grants_the_claim_of_the_majority_candidate_of_the_same_term() {
    let mut registries = new_registries(5);
    let ips = ips(5);
    // Two registries claim with the same term simultaneously; the first one gets the majority.
    let claims: Vec<LeaseMessage> = (0..2)
        .map(|n| {
            registries[n].confirm_epoch(1, at(2000));
            registries[n]
                .tick(at(2000), &ips[n..=n])
                .expect("the candidate claims")
        })
        .collect();
    for voter in 2..5 {
        registries[voter].confirm_epoch(1, at(2000));
        let grant = registries[voter]
            .receive(ips[0], &claims[0], at(2010))
            .expect("an answer");
        registries[0].receive(ips[voter], &grant, at(2020));
        let refusal = registries[voter]
            .receive(ips[1], &claims[1], at(2015))
            .expect("an answer");
        registries[1].receive(ips[voter], &refusal, at(2025));
    }
    let term = registries[0]
        .held_term(at(2030))
        .expect("the first registry holds the lease");
    // The second registry was refused. It grants the next claim of the first registry instead of claiming with a later term.
    registries[0].confirm_epoch(1, at(2240));
    let next = registries[0]
        .tick(at(2240), &ips)
        .expect("the holder claims again");
    assert!(matches!(
        registries[1].receive(ips[0], &next, at(2250)),
        Some(LeaseMessage::Grant { .. })
    ));
    assert_eq!(
        registries[1].holder(at(2260)),
        Some(LeaseHolder { ip: ips[0], term })
    );
}
