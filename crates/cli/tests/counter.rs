//! Quota enforcement while the counter fails: three gateway processes with the witness on. During a surge of one
//! plan the lab kills, disconnects, slows down and partitions the counter and replaces it by an empty one
//! (lab/counter/ci.toml). With the witness off (lab/counter/ci-alone.toml) a firm exceeds its quota by 19.5% in the
//! same run, and the test fails.

use std::collections::HashSet;
use std::path::Path;

use damsonbeam_load::experiment;

#[test]
fn firms_exceed_quota_by_at_most_5_percent_and_each_invocation_gets_one_response() {
    let lab_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab");
    let program = Path::new(env!("CARGO_BIN_EXE_damsonbeam"));
    let result = experiment::run_blocking(&lab_dir.join("counter/ci.toml"), program).unwrap();
    let invocation_ids: HashSet<_> = result
        .records
        .iter()
        .map(|r| r.correlation_id.as_str())
        .collect();
    assert_eq!(
        invocation_ids.len(),
        result.records.len(),
        "an invocation was recorded twice"
    );
    assert!(result.records.len() > 1000, "{}", result.summary);
    // A connection that closed before its response counts as an invocation without a response.
    let without_response = result
        .records
        .iter()
        .filter(|r| !r.result.is_complete())
        .count();
    assert_eq!(
        without_response, 0,
        "invocations without a response\n{}",
        result.summary
    );
    for (firm, excess) in result.worst_minute_excess.iter().enumerate() {
        assert!(
            *excess <= 0.05,
            "firm {firm}: {:.1}% over its quota in its worst minute\n{}",
            100.0 * excess,
            result.summary
        );
    }
}
