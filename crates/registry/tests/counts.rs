//! Tests of the shared counts that the coordinator keeps.

use std::time::Duration;

use damsonbeam_control::messages::NamedCount;
use damsonbeam_registry::counts::SharedCounts;

fn count(name: &str, admitted: f64, requested: f64) -> NamedCount {
    NamedCount {
        name: name.into(),
        admitted,
        requested,
    }
}

#[test]
fn repeated_report_counts_once_and_a_new_incarnation_is_added_to_the_previous_one() {
    let mut counts = SharedCounts::default();
    let at = Duration::from_secs(1);
    let mut record = |incarnation, admitted, requested| {
        counts.record(incarnation, &count("1/x", admitted, requested), at)
    };
    assert_eq!(record(7, 3.0, 4.0), count("1/x", 3.0, 4.0));
    assert_eq!(record(7, 3.0, 4.0), count("1/x", 3.0, 4.0));
    assert_eq!(record(8, 2.0, 2.0), count("1/x", 5.0, 6.0));
    assert_eq!(record(7, 2.0, 5.0), count("1/x", 4.0, 7.0));
}

#[test]
fn all_proxies_get_the_totals_only_of_tenants_near_their_quota() {
    let mut counts = SharedCounts::default();
    counts.set_rate("x", 10.0);
    counts.set_rate("y", 100.0);
    for incarnation in 0..9 {
        counts.record(
            incarnation,
            &count("1/x", 1.0, 1.0),
            Duration::from_millis(500),
        );
        counts.record(
            incarnation,
            &count("1/y", 1.0, 1.0),
            Duration::from_millis(500),
        );
    }
    assert_eq!(counts.take_due_totals(), [count("1/x", 9.0, 9.0)]);
    assert!(
        counts.take_due_totals().is_empty(),
        "an update was returned twice"
    );
    counts.record(1, &count("9/x", 1.0, 1.0), Duration::from_millis(4000));
    assert!(
        counts.take_due_totals().is_empty(),
        "a tenant without recent requests is still hot"
    );
}

#[test]
fn late_report_does_not_lower_the_total_but_a_reverted_admission_does() {
    let mut counts = SharedCounts::default();
    let mut record = |admitted, requested| {
        let report = NamedCount {
            name: "1/x".into(),
            admitted,
            requested,
        };
        counts.record(7, &report, Duration::ZERO).admitted
    };
    assert_eq!(record(5.0, 5.0), 5.0);
    assert_eq!(record(9.0, 10.0), 9.0);
    assert_eq!(
        record(5.0, 5.0),
        9.0,
        "a late report over a replaced connection was counted"
    );
    assert_eq!(
        record(8.0, 10.0),
        8.0,
        "a reverted admission is still counted"
    );
}
