//! The counts of the stand-in for the counter.

use std::time::{Duration, Instant};

use damsonbeam_lab::counter::Store;

#[test]
fn a_name_is_forgotten_after_its_life_and_totals_add_up() {
    let (mut s, now) = (Store::default(), Instant::now());
    assert_eq!(s.tally("a", 2.0, Duration::from_secs(1), now), 2.0);
    assert_eq!(s.tally("a", -0.5, Duration::from_secs(9), now), 1.5);
    assert_eq!(
        s.tally(
            "a",
            1.0,
            Duration::from_secs(1),
            now + Duration::from_secs(2)
        ),
        1.0
    );
}
