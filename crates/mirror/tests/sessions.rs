//! Tests of the results of mirroring.

use std::time::Duration;

use damsonbeam_mirror::budget::DropReason;
use damsonbeam_mirror::sessions::{Answer, Sessions, digest};

#[test]
fn session_with_a_missing_request_is_incomplete_and_differences_are_counted() {
    let mut sessions = Sessions::default();
    let rule = ("m", 3);
    let answer = |status, body: &[u8], ms| Answer {
        status,
        digest: Some(digest(body)),
        took: Duration::from_millis(ms),
    };
    sessions.record_copied(rule, 1);
    sessions.record_copied(rule, 1);
    sessions.record_copied(rule, 2);
    sessions.record_dropped(rule, 2, DropReason::Full);
    sessions.record_answered(rule, Some(answer(200, b"a", 10)), answer(200, b"b", 30));
    sessions.record_answered(rule, Some(answer(200, b"a", 10)), answer(500, b"a", 30));
    sessions.record_answered(rule, None, answer(200, b"a", 1));
    assert_eq!(
        sessions.to_json(),
        "{\"copies\":[\n{\"rule\":\"m\",\"version\":3,\"copied\":3,\"dropped\":{\"full\":1},\"answered\":3,\
         \"compared\":2,\"other_status\":1,\"other_body\":1,\"real_ms\":10.0,\"trial_ms\":30.0,\
         \"callers\":[[\"0000000000000001\",2,false],[\"0000000000000002\",1,true]]}]}\n"
    );
}
