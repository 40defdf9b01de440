//! Twelve gateway processes are killed at the same time and restarted without state (lab/scale/killed.toml). Only the
//! invocations in progress at the kill may be lost; invocations before and after get a response, and the restart does
//! not overload the discovery service and the backends.

use std::path::Path;
use std::time::Duration;

use damsonbeam_load::experiment;
use damsonbeam_load::run::{InvocationResult, Record};

#[test]
fn twelve_gateways_killed_together_restart_and_serve() {
    let lab_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab");
    let program = Path::new(env!("CARGO_BIN_EXE_damsonbeam"));
    let result = experiment::run_blocking(&lab_dir.join("scale/killed.toml"), program).unwrap();
    let sent_between = |from_ms: u64, until_ms: u64| {
        let span = Duration::from_millis(from_ms)..Duration::from_millis(until_ms);
        result
            .records
            .iter()
            .filter(move |r| span.contains(&r.due_at))
            .collect::<Vec<&Record>>()
    };
    let answered = |all: &[&Record]| all.iter().filter(|r| r.result.is_complete()).count();
    let succeeded = |all: &[&Record]| {
        all.iter()
            .filter(|r| r.result == InvocationResult::Succeeded)
            .count()
    };
    let (before, after) = (sent_between(0, 3500), sent_between(8000, 11_000));
    assert!(
        before.len() > 500 && after.len() > 500,
        "{}",
        result.summary
    );
    assert_eq!(
        answered(&before),
        before.len(),
        "before the kill\n{}",
        result.summary
    );
    assert_eq!(
        answered(&after),
        after.len(),
        "after the restart\n{}",
        result.summary
    );
    // The first quota estimates of twelve gateways without state reject at most a tenth of the invocations.
    assert!(
        succeeded(&after) * 10 >= after.len() * 9,
        "{}",
        result.summary
    );
    // Only invocations in progress at the kill may be lost. While the gateways are down no connection opens, so those
    // invocations don't count as lost.
    let lost = result.records.iter().filter(|r| r.result.is_lost()).count();
    assert!(lost <= 60, "{lost} lost\n{}", result.summary);
    // Each process fetches the list once and keeps a watch, which ends every two seconds.
    let discovery_requests = result.costs.discovery_requests;
    assert!(
        discovery_requests <= 12 * 2 * (1 + 11),
        "{discovery_requests} calls to discovery"
    );
    // One connection for each pair of gateway and backend in the lifetime of each process.
    let opened_connections = result.costs.opened_connections;
    assert!(
        opened_connections <= 2 * 12 * 16 + 40,
        "{opened_connections} connections opened"
    );
}
