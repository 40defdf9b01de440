//! Tests of the observations of a backend.

use std::time::Duration;

use damsonbeam_load_reports::observation::{AttemptEnd, Observer};

#[test]
fn observations_decay_and_a_single_failure_is_not_a_full_failure_rate() {
    let at = Duration::from_millis;
    let mut observer = Observer::default();
    observer.begin(1, at(0));
    observer.begin(1, at(0));
    observer.end(1, AttemptEnd::Failed, at(10), at(10));
    let seen = observer.observe(1, at(10));
    assert_eq!(
        (seen.in_progress, seen.response_ms),
        (1, 10),
        "one attempt is in progress"
    );
    assert!(seen.failed < 100, "{seen:?}");
    observer.end(1, AttemptEnd::Answered, at(80), at(90));
    assert_eq!(observer.observe(1, at(90)).response_ms, 80);
    assert!(
        observer.all(at(9000)).is_empty(),
        "old observations are not removed"
    );
}
