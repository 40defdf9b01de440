//! Contact with a majority of the voters, with datagram loss, a network partition and a process pause.

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

/// Simulates the first of `n` voters over the time range `ms`, with a round trip of 110 ms. `is_answered` states whether a
/// probe to that voter at that time is answered. Returns, every 50 ms, the time and whether the registry is
/// in contact.
fn simulate(
    n: u8,
    ms: std::ops::Range<u64>,
    is_answered: &mut dyn FnMut(Ip, u64) -> bool,
) -> Vec<(u64, bool)> {
    let mut contact = Contact::new([10, 0, 0, 1]);
    contact.set_voters(voters(n));
    let (mut answers, mut samples) = (Vec::new(), Vec::new());
    for t in ms.step_by(50) {
        for (to, number) in contact.tick(at(t)) {
            if is_answered(to, t) {
                answers.push((t + 110, to, number));
            }
        }
        answers.retain(|(due, from, number)| {
            if *due <= t {
                contact.receive_answer(*from, *number);
            }
            *due > t
        });
        samples.push((t, contact.is_in_contact(at(t))));
    }
    samples
}

#[test]
fn a_partition_ends_contact_within_the_timeout_and_healing_restores_it() {
    // Two of the six voters are on the registry's side of the partition.
    let samples = simulate(6, 0..30_000, &mut |to, t| {
        to[3] <= 2 || !(5000..25_000).contains(&t)
    });
    let in_contact_at = |t: u64| samples.iter().find(|s| s.0 == t).expect("a sample").1;
    assert!(
        !in_contact_at(0) && in_contact_at(300),
        "no contact 300 ms after the start"
    );
    assert!(in_contact_at(4950) && in_contact_at(7000));
    assert!(
        !in_contact_at(5000 + CONTACT_TIMEOUT.as_millis() as u64) && !in_contact_at(24_950),
        "in contact with two of six voters"
    );
    assert!(
        in_contact_at(25_700),
        "no contact 700 ms after the partition healed"
    );
}

#[test]
fn loss_of_30_percent_of_the_probes_does_not_end_contact() {
    for n in [3, 6, 9] {
        let mut rng = SmallRng::seed_from_u64(n.into());
        // 30 % of the round trips are lost for ten minutes.
        let samples = simulate(n, 0..600_000, &mut |_, _| rng.random::<f64>() < 0.7);
        let out_of_contact = samples
            .iter()
            .filter(|sample| sample.0 > 1000 && !sample.1)
            .count();
        assert_eq!(out_of_contact, 0, "{n} voters");
    }
}

#[test]
fn a_registry_without_voters_or_after_a_process_pause_is_out_of_contact() {
    let mut contact = Contact::new([10, 0, 0, 1]);
    assert!(contact.tick(at(100)).is_empty() && !contact.is_in_contact(at(100)));
    contact.set_voters(voters(3));
    let probes = contact.tick(at(200));
    assert_eq!(probes.len(), 2);
    probes
        .iter()
        .for_each(|(to, number)| contact.receive_answer(*to, *number));
    assert!(contact.is_in_contact(at(200)));
    // The process was paused for ten seconds: answers to old probes and answers from other machines than voters do not
    // count.
    assert!(!contact.is_in_contact(at(10_200)));
    probes
        .iter()
        .for_each(|(to, number)| contact.receive_answer(*to, *number));
    let (_, number) = contact.tick(at(10_250))[0];
    contact.receive_answer([10, 0, 0, 9], number);
    assert!(!contact.is_in_contact(at(10_250)));
    contact.receive_answer([10, 0, 0, 2], number);
    assert!(contact.is_in_contact(at(10_250)));
}
