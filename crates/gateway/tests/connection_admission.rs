//! Which connections are taken, and which responses end theirs.

use std::time::Duration;

use damsonbeam_gateway::connection_admission::{
    Admit, ConnectionAdmission, Evictable, MAX_BEYOND_CAP, TURNOVER_TIME,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn places_are_given_while_there_are_some_then_idle_ones_are_evicted() {
    let mut door = ConnectionAdmission::new(ms(0));
    assert_eq!(door.next(99, 100, Evictable::Now, ms(0)), Admit::Accept);
    assert_eq!(door.next(100, 100, Evictable::Now, ms(0)), Admit::Evict);
    assert_eq!(
        door.next(100, 100, Evictable::Soon(ms(9)), ms(0)),
        Admit::Wait(ms(9))
    );
    assert_eq!(door.next(100, 100, Evictable::None, ms(0)), Admit::Refuse);
    assert_eq!(
        door.next(100 + MAX_BEYOND_CAP, 100, Evictable::None, ms(0)),
        Admit::Wait(TURNOVER_TIME)
    );
}

/// The gateway was spent on refusals: each took an accept, an answer and a close (issue 23).
#[test]
fn however_many_stand_outside_those_turned_away_keep_to_the_pace() {
    let (mut door, mut away) = (ConnectionAdmission::new(ms(0)), 0);
    for n in 0..22_000 {
        match door.next(595, 595, Evictable::None, ms(n / 10)) {
            Admit::Refuse => away += 1,
            Admit::Wait(wait) => assert!(wait <= ms(4), "{wait:?} of a pace of 270 a second"),
            other => panic!("{other:?}"),
        }
    }
    assert!(
        (595..=595 + MAX_BEYOND_CAP).contains(&away),
        "{away} in {TURNOVER_TIME:?}"
    );
}

/// With a third of the cap in use every answer ended its connection: each next invocation paid for another.
#[test]
fn answers_end_connections_at_the_pace_while_somebody_stands_outside_and_none_else() {
    let mut door = ConnectionAdmission::new(ms(0));
    assert!(
        !door.closes_after_response(595, ms(0)),
        "nobody came in vain"
    );
    door.record_refused(ms(0));
    let ended = (0..22_000)
        .filter(|n| door.closes_after_response(595, ms(n / 10)))
        .count();
    assert!(
        (595..=595 + MAX_BEYOND_CAP).contains(&ended),
        "{ended} in {TURNOVER_TIME:?}"
    );
    assert!(
        !door.closes_after_response(595, TURNOVER_TIME),
        "nobody came since"
    );
}
