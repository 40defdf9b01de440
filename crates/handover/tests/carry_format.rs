//! The state that goes to a successor keeps its form on the socket: a successor may be of the version before.

use damsonbeam::interface::Carry;
use serde_json::{Value, json};

const BINS: usize = 24;

fn seconds(secs: u64) -> Value {
    json!({"secs": secs, "nanos": 0})
}

/// As the version before the types were renamed wrote it.
fn recorded() -> Value {
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
fn a_carry_of_the_version_before_is_read_and_written_alike() {
    let carry: Carry = serde_json::from_value(recorded()).expect("every name is known");
    assert_eq!(serde_json::to_value(&carry).expect("JSON"), recorded());
}
