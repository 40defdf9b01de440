//! The shared counts as the coordinator keeps them.

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
fn a_count_reported_twice_counts_once_and_a_new_incarnation_adds_to_its_last() {
    let mut counts = SharedCounts::default();
    let at = Duration::from_secs(1);
    let mut hold = |life, held, asked| counts.record(life, &count("1/x", held, asked), at);
    assert_eq!(hold(7, 3.0, 4.0), count("1/x", 3.0, 4.0));
    assert_eq!(hold(7, 3.0, 4.0), count("1/x", 3.0, 4.0));
    assert_eq!(hold(8, 2.0, 2.0), count("1/x", 5.0, 6.0));
    assert_eq!(hold(7, 2.0, 5.0), count("1/x", 4.0, 7.0));
}

#[test]
fn all_proxies_get_totals_of_a_tenant_near_its_quota_and_of_no_other() {
    let mut counts = SharedCounts::default();
    counts.set_rate("x", 10.0);
    counts.set_rate("y", 100.0);
    for life in 0..9 {
        counts.record(life, &count("1/x", 1.0, 1.0), Duration::from_millis(500));
        counts.record(life, &count("1/y", 1.0, 1.0), Duration::from_millis(500));
    }
    assert_eq!(counts.take_updates(), [count("1/x", 9.0, 9.0)]);
    assert!(counts.take_updates().is_empty(), "told once");
    counts.record(1, &count("9/x", 1.0, 1.0), Duration::from_millis(4000));
    assert!(counts.take_updates().is_empty(), "it has been quiet since");
}

#[test]
fn a_report_that_comes_late_takes_nothing_back_and_one_that_undoes_does() {
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
    assert_eq!(record(5.0, 5.0), 9.0, "of a connection that was replaced");
    assert_eq!(record(8.0, 10.0), 8.0, "admitted, then undone");
}
