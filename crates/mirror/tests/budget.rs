//! Tests of the budget of mirrored requests.

mod common;

use std::time::Duration;

use common::rule;
use damsonbeam_mirror::budget::{Budget, DropReason, MAX_BODY_BYTES, MAX_IN_FLIGHT};

#[test]
fn ten_proxies_share_a_rules_budget_and_overload_stops_mirroring() {
    let limited = rule(1, 1.0, r#","requests_per_s":50,"bytes_per_s":100000"#);
    let mut budgets: Vec<Budget> = (0..10).map(|_| Budget::default()).collect();
    let mut sent = 0;
    for ms in (0..5000).step_by(5) {
        for budget in &mut budgets {
            if budget
                .admit(&limited, 100, 10, Duration::from_millis(ms))
                .is_ok()
            {
                sent += 1;
                budget.release(100);
            }
        }
    }
    assert!(
        (200..=310).contains(&sent),
        "{sent} requests in 5 s at a limit of 50 per second"
    );
    let mut budget = Budget::default();
    let unlimited = rule(1, 1.0, "");
    assert_eq!(
        budget.admit(&unlimited, MAX_BODY_BYTES + 1, 1, Duration::ZERO),
        Err(DropReason::BodyUnavailable)
    );
    let admitted = (0..1000)
        .filter(|_| budget.admit(&unlimited, 1000, 1, Duration::ZERO).is_ok())
        .count();
    assert_eq!(
        admitted, MAX_IN_FLIGHT,
        "requests in flight to a trial service that never answers"
    );
    budget.release(1000);
    budget.record_timer_delay(Duration::from_millis(40), Duration::from_secs(1));
    assert_eq!(
        budget.admit(&unlimited, 10, 1, Duration::from_millis(1200)),
        Err(DropReason::Overloaded)
    );
    assert_eq!(
        budget.admit(&unlimited, 10, 1, Duration::from_millis(1600)),
        Ok(())
    );
}
