//! Contact with a majority of the voters, over lossy links and cuts.

use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::contact::{CONTACT_TIMEOUT, Contact};
use damsonbeam_control::voters::VoterSet;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn voters(n: u8) -> VoterSet {
    VoterSet::new(1, (1..=n).map(|i| [10, 0, 0, i]).collect())
}

/// Plays the first of `n` voters; `reached` says whether a question to that voter is answered. Tells when it was in contact.
fn play(
    n: u8,
    ms: std::ops::Range<u64>,
    reached: &mut dyn FnMut(Ip, u64) -> bool,
) -> Vec<(u64, bool)> {
    let mut contact = Contact::new([10, 0, 0, 1]);
    contact.set_voters(voters(n));
    let (mut answers, mut seen) = (Vec::new(), Vec::new());
    for t in ms.step_by(50) {
        for (to, number) in contact.tick(at(t)) {
            if reached(to, t) {
                answers.push((t + 110, to, number));
            }
        }
        answers.retain(|(due, from, number)| {
            if *due <= t {
                contact.receive_answer(*from, *number);
            }
            *due > t
        });
        seen.push((t, contact.is_in_contact(at(t))));
    }
    seen
}

#[test]
fn a_cut_ends_contact_within_the_bound_and_joining_brings_it_back_at_once() {
    // Two of six on this side of the cut.
    let seen = play(6, 0..30_000, &mut |to, t| {
        to[3] <= 2 || !(5000..25_000).contains(&t)
    });
    let is = |t: u64| seen.iter().find(|s| s.0 == t).expect("played").1;
    assert!(!is(0) && is(300), "contact takes long at the start");
    assert!(is(4950) && is(7000));
    assert!(
        !is(5000 + CONTACT_TIMEOUT.as_millis() as u64) && !is(24_950),
        "in contact with two of six"
    );
    assert!(is(25_700), "the cut healed and contact did not");
}

#[test]
fn lost_datagrams_do_not_end_contact() {
    for n in [3, 6, 9] {
        let mut rng = SmallRng::seed_from_u64(n.into());
        // Three of ten round trips are lost, for ten minutes.
        let seen = play(n, 0..600_000, &mut |_, _| rng.random::<f64>() < 0.7);
        let out = seen.iter().filter(|s| s.0 > 1000 && !s.1).count();
        assert_eq!(out, 0, "{n} voters");
    }
}

#[test]
fn without_voters_or_behind_a_freeze_there_is_no_contact() {
    let mut contact = Contact::new([10, 0, 0, 1]);
    assert!(contact.tick(at(100)).is_empty() && !contact.is_in_contact(at(100)));
    contact.set_voters(voters(3));
    let questions = contact.tick(at(200));
    assert_eq!(questions.len(), 2);
    questions
        .iter()
        .for_each(|(to, number)| contact.receive_answer(*to, *number));
    assert!(contact.is_in_contact(at(200)));
    // Frozen for ten seconds: answers to old questions, and of those who are no voters, count for nothing.
    assert!(!contact.is_in_contact(at(10_200)));
    questions
        .iter()
        .for_each(|(to, number)| contact.receive_answer(*to, *number));
    let (_, number) = contact.tick(at(10_250))[0];
    contact.receive_answer([10, 0, 0, 9], number);
    assert!(!contact.is_in_contact(at(10_250)));
    contact.receive_answer([10, 0, 0, 2], number);
    assert!(contact.is_in_contact(at(10_250)));
}
