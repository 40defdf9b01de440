//! Quotas while the counter fails: three gateways of the built program with the witness on, the lab's
//! counter killed, cut, slowed, split and replaced empty during a surge of one plan (lab/counter/ci.toml).
//! With the witness off (lab/counter/ci-alone.toml) the same run lets a firm 19.5% over: this fails.

use std::collections::HashSet;
use std::path::Path;

use damsonbeam_load::experiment;

#[test]
fn each_firm_stays_within_five_in_a_hundred_over_its_quota_and_every_invocation_gets_one_answer() {
    let lab = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab");
    let program = Path::new(env!("CARGO_BIN_EXE_damsonbeam"));
    let found = experiment::found(&lab.join("counter/ci.toml"), program).unwrap();
    let ids: HashSet<_> = found.records.iter().map(|r| r.inv.as_str()).collect();
    assert_eq!(
        ids.len(),
        found.records.len(),
        "an invocation recorded twice"
    );
    assert!(found.records.len() > 1000, "{}", found.summary);
    // A connection that ended before its answer is no answer either.
    let none = found
        .records
        .iter()
        .filter(|r| !r.answer.is_whole())
        .count();
    assert_eq!(none, 0, "invocations without an answer\n{}", found.summary);
    for (firm, over) in found.worst.iter().enumerate() {
        assert!(
            *over <= 0.05,
            "firm {firm}: {:.1}% over its quota in its worst minute\n{}",
            100.0 * over,
            found.summary
        );
    }
}
