//! A dozen gateways, as processes, killed at once and back from nothing (lab/scale/killed.toml): what they held is
//! gone, what comes before and after is answered, and nobody who shares a service with them is stormed.

use std::path::Path;
use std::time::Duration;

use damsonbeam_load::experiment;
use damsonbeam_load::run::{Answer, Record};

#[test]
fn a_dozen_gateways_killed_at_once_come_back_and_serve() {
    let lab = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab");
    let program = Path::new(env!("CARGO_BIN_EXE_damsonbeam"));
    let found = experiment::found(&lab.join("scale/killed.toml"), program).unwrap();
    let sent = |from: u64, to: u64| {
        let span = Duration::from_millis(from)..Duration::from_millis(to);
        found
            .records
            .iter()
            .filter(move |r| span.contains(&r.sent))
            .collect::<Vec<&Record>>()
    };
    let whole = |all: &[&Record]| all.iter().filter(|r| r.answer.is_whole()).count();
    let succeeded = |all: &[&Record]| all.iter().filter(|r| r.answer == Answer::Succeeded).count();
    let (before, after) = (sent(0, 3500), sent(8000, 11_000));
    assert!(before.len() > 500 && after.len() > 500, "{}", found.summary);
    assert_eq!(
        whole(&before),
        before.len(),
        "before the kill\n{}",
        found.summary
    );
    assert_eq!(
        whole(&after),
        after.len(),
        "after their return\n{}",
        found.summary
    );
    // First guesses of quotas, of a dozen that know nothing, turn few away.
    assert!(
        succeeded(&after) * 10 >= after.len() * 9,
        "{}",
        found.summary
    );
    // Lost is only what they held when they were killed: what came finds nobody, and was never had.
    let lost = found.records.iter().filter(|r| r.answer.is_lost()).count();
    assert!(lost <= 60, "{lost} lost\n{}", found.summary);
    // Each life asks discovery once and holds a watch, which ends every two seconds.
    let calls = found.costs.discovery_calls;
    assert!(calls <= 12 * 2 * (1 + 11), "{calls} calls to discovery");
    // A connection for each pair of gateway and backend in each life.
    let handshakes = found.costs.handshakes;
    assert!(handshakes <= 2 * 12 * 16 + 40, "{handshakes} handshakes");
}
