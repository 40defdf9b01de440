//! What a proxy takes of heartbeats that name different coordinators.

use damsonbeam_control::address::Ip;
use damsonbeam_control::messages::{Heartbeat, LeaseHolder};
use damsonbeam_proxy::coordinator::Coordinator;
use tokio::time::Instant;

const OLD: Ip = [10, 0, 0, 1];
const NEW: Ip = [10, 0, 0, 2];

fn heartbeat((ip, term): (Ip, u64), time_ms: u64) -> Heartbeat {
    Heartbeat {
        coordinator: Some(LeaseHolder { ip, term }),
        time_ms,
        ..Heartbeat::default()
    }
}

#[test]
fn a_coordinator_that_was_frozen_and_wakes_names_itself_in_vain() {
    let (mut known, now) = (Coordinator::default(), Instant::now());
    assert!(known.observe(OLD, &heartbeat((OLD, 3), 1000), now));
    // Another registry names the holder of a later term; then that one tells of itself.
    assert!(!known.observe([10, 0, 0, 3], &heartbeat((NEW, 4), 5000), now));
    assert_eq!((known.ip(), known.term()), (Some(NEW), 4));
    assert!(known.observe(NEW, &heartbeat((NEW, 4), 6000), now));
    // The old one wakes: its numbers of proxies, its time and its name are no coordinator's.
    assert!(!known.observe(OLD, &heartbeat((OLD, 3), 900_000), now));
    assert_eq!((known.ip(), known.term()), (Some(NEW), 4));
    assert_eq!(known.time().map(|t| (t.time_ms, t.term)), Some((6000, 4)));
    // Nor does a second one under the same term, which no lease gives.
    assert!(!known.observe(OLD, &heartbeat((OLD, 4), 900_000), now));
    assert_eq!(known.ip(), Some(NEW));
    // Within a term the time of day at the coordinator may be stepped: the common time goes on by this one's clock.
    assert!(known.observe(NEW, &heartbeat((NEW, 4), 1), now));
    assert_eq!(known.time().map(|t| t.time_ms), Some(6000));
}
