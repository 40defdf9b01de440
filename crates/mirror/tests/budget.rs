//! What copies may use.

mod common;

use std::time::Duration;

use common::rule;
use damsonbeam_mirror::budget::{Budget, DropReason, MAX_BODY_BYTES, MAX_IN_FLIGHT};

#[test]
fn ten_proxies_keep_a_rules_budget_together_and_copies_go_first_under_pressure() {
    let r = rule(1, 1.0, r#","requests_per_s":50,"bytes_per_s":100000"#);
    let mut all: Vec<Budget> = (0..10).map(|_| Budget::default()).collect();
    let mut sent = 0;
    for ms in (0..5000).step_by(5) {
        for b in &mut all {
            if b.admit(&r, 100, 10, Duration::from_millis(ms)).is_ok() {
                sent += 1;
                b.done(100);
            }
        }
    }
    assert!((200..=310).contains(&sent), "{sent} in 5 s of 50 a second");
    let mut b = Budget::default();
    let open = rule(1, 1.0, "");
    assert_eq!(
        b.admit(&open, MAX_BODY_BYTES + 1, 1, Duration::ZERO),
        Err(DropReason::Body)
    );
    let taken = (0..1000)
        .filter(|_| b.admit(&open, 1000, 1, Duration::ZERO).is_ok())
        .count();
    assert_eq!(
        taken, MAX_IN_FLIGHT,
        "a trial service that never answers holds no more"
    );
    b.done(1000);
    b.timer_fired(Duration::from_millis(40), Duration::from_secs(1));
    assert_eq!(
        b.admit(&open, 10, 1, Duration::from_millis(1200)),
        Err(DropReason::Pressed)
    );
    assert_eq!(b.admit(&open, 10, 1, Duration::from_millis(1600)), Ok(()));
}
