//! Tests of tracking the coordinator with heartbeats that name different coordinators.

use damsonbeam_control::address::Ip;
use damsonbeam_control::messages::{Heartbeat, LeaseHolder};
use damsonbeam_proxy::coordinator::Coordinator;
use tokio::time::Instant;

const OLD_IP: Ip = [10, 0, 0, 1];
const NEW_IP: Ip = [10, 0, 0, 2];

fn heartbeat((ip, term): (Ip, u64), time_ms: u64) -> Heartbeat {
    Heartbeat {
        coordinator: Some(LeaseHolder { ip, term }),
        coordinator_time_ms: time_ms,
        ..Heartbeat::default()
    }
}

#[test]
fn heartbeats_of_a_paused_coordinator_are_ignored_after_a_later_term() {
    let (mut coordinator, now) = (Coordinator::default(), Instant::now());
    assert!(coordinator.observe(OLD_IP, &heartbeat((OLD_IP, 3), 1000), now));
    // Another registry reports the holder of a later term; then the holder reports itself.
    assert!(!coordinator.observe([10, 0, 0, 3], &heartbeat((NEW_IP, 4), 5000), now));
    assert_eq!((coordinator.ip(), coordinator.term()), (Some(NEW_IP), 4));
    assert!(coordinator.observe(NEW_IP, &heartbeat((NEW_IP, 4), 6000), now));
    // The old coordinator resumes after a pause: its name, time and numbers are ignored.
    assert!(!coordinator.observe(OLD_IP, &heartbeat((OLD_IP, 3), 900_000), now));
    assert_eq!((coordinator.ip(), coordinator.term()), (Some(NEW_IP), 4));
    assert_eq!(
        coordinator.time().map(|t| (t.time_ms, t.term)),
        Some((6000, 4))
    );
    // A second coordinator in the same term, which the lease rules out, is ignored as well.
    assert!(!coordinator.observe(OLD_IP, &heartbeat((OLD_IP, 4), 900_000), now));
    assert_eq!(coordinator.ip(), Some(NEW_IP));
    // The coordinator's clock may step within a term; the coordinator time continues by the local clock.
    assert!(coordinator.observe(NEW_IP, &heartbeat((NEW_IP, 4), 1), now));
    assert_eq!(coordinator.time().map(|t| t.time_ms), Some(6000));
}
