//! A gateway with more clients than places: it must not spend itself on connections. On the program before,
//! with a third of its places in use every answer ended its connection, and this load opened one for nearly
//! every invocation (lab/overload/ci.toml).

use std::path::Path;

use damsonbeam_load::experiment;
use damsonbeam_load::run::Answer;

#[test]
fn clients_beyond_the_places_are_served_over_connections_that_are_kept() {
    let lab = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab");
    let program = Path::new(env!("CARGO_BIN_EXE_damsonbeam"));
    let found = experiment::found(&lab.join("overload/ci.toml"), program).unwrap();
    let all = found.records.len();
    assert!(all > 4000, "{}", found.summary);
    let lost = found.records.iter().filter(|r| r.answer.is_lost()).count();
    assert!(lost <= all / 200, "{lost} of {all} lost\n{}", found.summary);
    let succeeded = found
        .records
        .iter()
        .filter(|r| r.answer == Answer::Succeeded)
        .count();
    assert!(
        succeeded * 10 >= all * 9,
        "{succeeded} of {all} succeeded\n{}",
        found.summary
    );
    let opened = found.reached.connections;
    assert!(
        opened * 5 < all as u64,
        "{opened} connections for {all} invocations\n{}",
        found.summary
    );
}
