//! Tests for the store of the simulated counter.

use std::time::{Duration, Instant};

use damsonbeam_lab::counter::Store;

#[test]
fn totals_accumulate_until_the_name_expires() {
    let (mut store, now) = (Store::default(), Instant::now());
    assert_eq!(store.tally("a", 2.0, Duration::from_secs(1), now), 2.0);
    assert_eq!(store.tally("a", -0.5, Duration::from_secs(9), now), 1.5);
    assert_eq!(
        store.tally(
            "a",
            1.0,
            Duration::from_secs(1),
            now + Duration::from_secs(2)
        ),
        1.0
    );
}
