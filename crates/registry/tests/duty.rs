//! Acts of the coordinator's duty against the lease itself: a holder that was frozen, slowed or cut off does none of
//! them late.

use std::time::Duration;

use damsonbeam_control::lease::{LeaseElection, LeaseMessage};
use damsonbeam_control::messages::{BackendSnapshot, Ip, NamedCount, Server};
use damsonbeam_control::voters::VoterSet;
use damsonbeam_registry::duty::{Duty, Reading};

const ME: Ip = [10, 0, 0, 1];
const OTHER: Ip = [10, 0, 0, 2];

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn server(id: &str) -> Server {
    let at = ([10, 128, 0, 9], 80);
    Server {
        id: id.into(),
        service: "s".into(),
        at,
        zone: "z".into(),
        slots: 6,
        draining: false,
        cold_ms: 0,
    }
}

fn election(me: Ip) -> LeaseElection {
    let mut election = LeaseElection::new(me, at(0));
    election.set_voters(VoterSet::new(1, vec![ME, OTHER]));
    election
}

/// Two voters that reach each other, in steps of 50 ms; one of them may be frozen.
fn play(all: &mut [LeaseElection; 2], ms: std::ops::Range<u64>, frozen: Option<usize>) {
    for t in ms.step_by(50) {
        for n in (0..2).filter(|n| Some(*n) != frozen) {
            all[n].confirm_epoch(1, at(t));
            let Some(claim) = all[n].tick(at(t), &[ME, OTHER]) else {
                continue;
            };
            if frozen.is_some() {
                continue;
            }
            let from = [ME, OTHER];
            if let Some(answer) = all[1 - n].receive(from[n], &claim, at(t)) {
                all[n].receive(from[1 - n], &answer, at(t));
            }
        }
    }
}

/// The first of two voters holds the lease, at 3 s, and has read the list once.
fn holder() -> ([LeaseElection; 2], Duty, BackendSnapshot, u64) {
    let mut all = [election(ME), election(OTHER)];
    play(&mut all, 0..3000, None);
    let term = all[0].holds(at(3000)).expect("the first holds it");
    let (mut duty, mut list) = (Duty::default(), BackendSnapshot::default());
    assert!(
        duty.follow(Some(term)) && !duty.may_give_list(),
        "it gives a list that it has not read"
    );
    let reading = duty.publish(&all[0], at(3000), term, vec![server("i-1")], &mut list);
    assert_eq!(
        (reading, list.term, list.reading),
        (Reading::Changed, term, 1)
    );
    (all, duty, list, term)
}

#[test]
fn a_reading_that_outlives_the_lease_is_dropped_though_the_holder_has_not_looked_since() {
    let (all, mut duty, mut list, term) = holder();
    // Frozen between two pages for 1.5 s: no tick has come, so the duty still bears the term.
    let woken = at(4500);
    assert_eq!(duty.term(), Some(term));
    assert_eq!(
        duty.term_now(&all[0], woken),
        None,
        "it would ask for the next page"
    );
    let before = list.clone();
    let reading = duty.publish(&all[0], woken, term, vec![server("i-2")], &mut list);
    assert_eq!((reading, &list), (Reading::LeaseLost, &before));
}

#[test]
fn a_reading_begun_in_an_earlier_term_is_dropped_in_the_next_term_of_the_same_registry() {
    let (mut all, mut duty, mut list, term) = holder();
    play(&mut all, 3000..9000, Some(0));
    play(&mut all, 9000..16_000, None);
    let Some(next) = all[0].holds(at(15_950)) else {
        // The other one has it: nothing of the first one's is published either.
        duty.follow(None);
        let reading = duty.publish(&all[0], at(15_950), term, vec![server("i-2")], &mut list);
        assert_eq!(reading, Reading::LeaseLost);
        return;
    };
    assert!(next > term);
    duty.follow(Some(next));
    assert_eq!(
        duty.publish(&all[0], at(15_950), term, vec![server("i-2")], &mut list),
        Reading::LeaseLost
    );
    assert_eq!(
        duty.publish(&all[0], at(15_950), next, vec![server("i-2")], &mut list),
        Reading::Changed
    );
}

#[test]
fn a_list_of_a_later_term_is_not_replaced_and_an_unchanged_one_is_not_told_again() {
    let (all, mut duty, mut list, term) = holder();
    let again = duty.publish(&all[0], at(3050), term, vec![server("i-1")], &mut list);
    assert_eq!(
        (again, list.reading),
        (Reading::Unchanged, 1),
        "proxies would ask for the same list"
    );
    // The store has told of a list by a later holder.
    let mut later = BackendSnapshot {
        term: term + 1,
        reading: 4,
        servers: vec![],
    };
    let reading = duty.publish(&all[0], at(3100), term, vec![server("i-2")], &mut later);
    assert_eq!((reading, later.reading), (Reading::LeaseLost, 4));
    assert!(later.is_above(&list) && !list.is_above(&later));
}

#[test]
fn counts_are_answered_by_the_holder_alone_and_bear_its_term() {
    let (all, mut duty, _, term) = holder();
    let held = [NamedCount {
        name: "1/x".into(),
        held: 3.0,
        asked: 3.0,
    }];
    let answer = duty
        .count(&all[0], at(3050), 7, &held)
        .expect("the holder answers");
    assert_eq!((answer.0, answer.1[0].held), (term, 3.0));
    duty.counts.limit("x", 1.0);
    assert!(duty.count(&all[0], at(3060), 8, &held).is_some());
    // Woken after a freeze, before any tick: no answer, and no totals to all.
    assert_eq!(duty.count(&all[0], at(4500), 7, &held), None);
    assert_eq!(duty.count_news(&all[0], at(4500)), None);
    // The duty that follows begins with counts of its own.
    assert!(duty.follow(None) && duty.follow(Some(term + 2)));
    assert_eq!(duty.counts.news(), vec![]);
}

#[test]
fn a_refused_holder_names_no_coordinator_of_an_earlier_term() {
    let (mut all, _, _, term) = holder();
    // A later term is told by a voter that has granted it: the holder's own claim is over at once.
    all[0].receive(
        OTHER,
        &LeaseMessage::Refuse {
            epoch: 1,
            term: term + 1,
        },
        at(3010),
    );
    assert_eq!(all[0].holder(at(3010)), None);
}
