//! Tests of the coordinator's actions against the lease: a holder that was suspended, slowed down or partitioned does
//! not complete an action after its lease has ended.

use std::time::Duration;

use damsonbeam_control::address::{Endpoint, Ip};
use damsonbeam_control::lease::LeaseElection;
use damsonbeam_control::messages::LeaseMessage;
use damsonbeam_control::messages::{Backend, BackendList, BackendListVersion, NamedCount};
use damsonbeam_control::voters::VoterSet;
use damsonbeam_registry::coordinator::{CoordinatorRole, ListOutcome};

const ME: Ip = [10, 0, 0, 1];
const OTHER: Ip = [10, 0, 0, 2];

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn backend(id: &str) -> Backend {
    Backend {
        id: id.into(),
        service: "s".into(),
        address: Endpoint {
            ip: [10, 128, 0, 9],
            port: 80,
        },
        zone: "z".into(),
        capacity_slots: 6,
        draining: false,
        warm_up_left_ms: 0,
    }
}

fn election(me: Ip) -> LeaseElection {
    let mut election = LeaseElection::new(me, at(0));
    election.set_voters(VoterSet::new(1, vec![ME, OTHER]));
    election
}

/// Runs the elections of two connected voters in steps of 50 ms. The voter with index `suspended` does not run.
fn run_elections(all: &mut [LeaseElection; 2], ms: std::ops::Range<u64>, suspended: Option<usize>) {
    for t in ms.step_by(50) {
        for n in (0..2).filter(|n| Some(*n) != suspended) {
            all[n].confirm_epoch(1, at(t));
            let Some(claim) = all[n].tick(at(t), &[ME, OTHER]) else {
                continue;
            };
            if suspended.is_some() {
                continue;
            }
            let from = [ME, OTHER];
            if let Some(answer) = all[1 - n].receive(from[n], &claim, at(t)) {
                all[n].receive(from[1 - n], &answer, at(t));
            }
        }
    }
}

/// Returns a state at 3 s in which the first of two voters holds the lease and has published the list once.
fn lease_holder() -> ([LeaseElection; 2], CoordinatorRole, BackendList, u64) {
    let mut all = [election(ME), election(OTHER)];
    run_elections(&mut all, 0..3000, None);
    let term = all[0]
        .held_term(at(3000))
        .expect("the first voter holds the lease");
    let (mut role, mut list) = (CoordinatorRole::default(), BackendList::default());
    assert!(
        role.sync_with_lease(Some(term), false, at(0)) && !role.may_send_list(),
        "a list may be sent before it was read in this term"
    );
    let reading = role.publish_list(&all[0], at(3000), term, vec![backend("i-1")], &mut list);
    assert_eq!(
        (reading, list.version.term, list.version.revision),
        (ListOutcome::Changed, term, 1)
    );
    (all, role, list, term)
}

#[test]
fn list_read_past_the_end_of_the_lease_is_discarded_before_the_next_tick() {
    let (all, mut role, mut list, term) = lease_holder();
    // The process was suspended between two pages for 1.5 s: no tick has run, so the role still has the term.
    let resumed_at = at(4500);
    assert_eq!(role.term(), Some(term));
    assert_eq!(
        role.acting_term(&all[0], resumed_at),
        None,
        "the next page would be requested"
    );
    let before = list.clone();
    let reading = role.publish_list(&all[0], resumed_at, term, vec![backend("i-2")], &mut list);
    assert_eq!((reading, &list), (ListOutcome::LeaseLost, &before));
}

#[test]
fn list_read_in_an_earlier_term_is_discarded_in_a_later_term_of_the_same_registry() {
    let (mut all, mut role, mut list, term) = lease_holder();
    run_elections(&mut all, 3000..9000, Some(0));
    run_elections(&mut all, 9000..16_000, None);
    let Some(next) = all[0].held_term(at(15_950)) else {
        // The other voter holds the lease: the first one's list is not published either.
        role.sync_with_lease(None, false, at(0));
        let reading = role.publish_list(&all[0], at(15_950), term, vec![backend("i-2")], &mut list);
        assert_eq!(reading, ListOutcome::LeaseLost);
        return;
    };
    assert!(next > term);
    role.sync_with_lease(Some(next), false, at(0));
    assert_eq!(
        role.publish_list(&all[0], at(15_950), term, vec![backend("i-2")], &mut list),
        ListOutcome::LeaseLost
    );
    assert_eq!(
        role.publish_list(&all[0], at(15_950), next, vec![backend("i-2")], &mut list),
        ListOutcome::Changed
    );
}

#[test]
fn list_of_a_later_term_is_not_replaced_and_an_unchanged_list_is_not_sent_again() {
    let (all, mut role, mut list, term) = lease_holder();
    let again = role.publish_list(&all[0], at(3050), term, vec![backend("i-1")], &mut list);
    assert_eq!(
        (again, list.version.revision),
        (ListOutcome::Unchanged, 1),
        "a higher revision would make proxies fetch the same list"
    );
    // The store has sent a list of a later holder.
    let mut later = BackendList {
        version: BackendListVersion {
            term: term + 1,
            revision: 4,
        },
        backends: vec![],
    };
    let reading = role.publish_list(&all[0], at(3100), term, vec![backend("i-2")], &mut later);
    assert_eq!(
        (reading, later.version.revision),
        (ListOutcome::LeaseLost, 4)
    );
    assert!(later.version > list.version);
}

#[test]
fn counts_are_answered_only_by_the_lease_holder_and_with_its_term() {
    let (all, mut role, _, term) = lease_holder();
    let counts = [NamedCount {
        name: "1/x".into(),
        admitted: 3.0,
        requested: 3.0,
    }];
    let answer = role
        .record_counts(&all[0], at(3050), 7, &counts)
        .expect("the holder answers");
    assert_eq!((answer.term, answer.totals[0].admitted), (term, 3.0));
    role.counts_mut().set_rate("x", 1.0);
    assert!(role.record_counts(&all[0], at(3060), 8, &counts).is_some());
    // Resumed after a suspension, before any tick: no answer, and no totals for all proxies.
    assert_eq!(role.record_counts(&all[0], at(4500), 7, &counts), None);
    assert_eq!(role.take_count_updates(&all[0], at(4500)), None);
    // A later term starts without counts of the earlier one.
    assert!(
        role.sync_with_lease(None, false, at(0))
            && role.sync_with_lease(Some(term + 2), false, at(0))
    );
    assert_eq!(role.counts_mut().take_due_totals(), vec![]);
}

#[test]
fn refused_holder_reports_no_coordinator_of_an_earlier_term() {
    let (mut all, _, _, term) = lease_holder();
    // A refusal with a later term, which the voter has granted, ends the holder's own claim at once.
    all[0].receive(
        OTHER,
        &LeaseMessage::Refuse {
            highest_epoch: 1,
            highest_term: term + 1,
        },
        at(3010),
    );
    assert_eq!(all[0].holder(at(3010)), None);
}
