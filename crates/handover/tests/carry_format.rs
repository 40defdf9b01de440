//! The format of the state that is handed over must not change, since a successor may run the previous version.

use damsonbeam::interface::HandoverState;
use serde_json::{Value, json};

/// Bins of a latency histogram.
const BINS: usize = 24;

fn seconds(secs: u64) -> Value {
    json!({"secs": secs, "nanos": 0})
}

/// The state as written by the version before its types were renamed.
fn previous_version_state() -> Value {
    let latency = vec![0.5; BINS];
    let slot = json!({
        "own": 1.0, "asking": 0.25, "came": 0.5, "put": 1.25, "others": 2.0,
        "told": seconds(14), "last": false, "reading": true,
    });
    let customer = json!({
        "spread": 3.0, "cut": 2, "len": 2.0, "part": 0.25, "slots": {"7": slot},
        "debt": 1.5, "oldest": 5, "learned": 6, "units": 4.0, "span": 2.5,
        "own_seen": 1.0, "all_seen": 2.0, "ceiling": 0.75,
        "ceiling_at": seconds(13), "used_at": seconds(12),
    });
    json!({
        "began": seconds(1), "ask": 0.5, "places": 12.0, "stay": 0.125,
        "lat": [["render", latency]],
        "usual": [["basic", [[0.5, 1.0], [0.25, 2.0]]]],
        "customers": [["101", "basic", customer]],
        "tgts": [{
            "tgt": 3, "since": seconds(9), "credit": -1.0, "credit_at": seconds(10), "lat": latency,
        }],
    })
}

#[test]
fn state_of_the_previous_version_survives_a_round_trip() {
    let carry: HandoverState =
        serde_json::from_value(previous_version_state()).expect("all field names are known");
    assert_eq!(
        serde_json::to_value(&carry).expect("the state is valid JSON"),
        previous_version_state()
    );
}
