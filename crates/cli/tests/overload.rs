//! A gateway with more clients than connection slots must not spend its capacity on opening connections
//! (lab/overload/ci.toml). An earlier version closed the connection with every response once a third of the slots
//! were in use, so that this load opened a connection for nearly every invocation.

use std::path::Path;

use damsonbeam_load::experiment;
use damsonbeam_load::run::InvocationResult;

#[test]
fn clients_beyond_the_connection_slots_are_served_over_reused_connections() {
    let lab_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab");
    let program = Path::new(env!("CARGO_BIN_EXE_damsonbeam"));
    let result = experiment::run_blocking(&lab_dir.join("overload/ci.toml"), program).unwrap();
    let invocations = result.records.len();
    assert!(invocations > 4000, "{}", result.summary);
    let lost = result.records.iter().filter(|r| r.result.is_lost()).count();
    assert!(
        lost <= invocations / 200,
        "{lost} of {invocations} lost\n{}",
        result.summary
    );
    let succeeded = result
        .records
        .iter()
        .filter(|r| r.result == InvocationResult::Succeeded)
        .count();
    assert!(
        succeeded * 10 >= invocations * 9,
        "{succeeded} of {invocations} succeeded\n{}",
        result.summary
    );
    let opened = result.generator_stats.opened_connections;
    assert!(
        opened * 5 < invocations as u64,
        "{opened} connections for {invocations} invocations\n{}",
        result.summary
    );
}
