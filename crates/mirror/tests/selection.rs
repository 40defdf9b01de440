//! Who is copied, and where to.

mod common;

use std::net::SocketAddr;

use common::rule;
use damsonbeam_mirror::selection::{ActiveRules, caller, instance, is_chosen};
use quickcheck::quickcheck;

quickcheck! {
    /// Two proxies, two lives, two versions choose alike; who was in stays in while the share grows.
    fn the_same_callers_everywhere_and_whoever_was_in_stays(tenant: String, a: u8, b: u8) -> bool {
        let (less, more) = (f64::from(a.min(b)) / 255.0, f64::from(a.max(b)) / 255.0);
        let (one, two) = (rule(1, less, ""), rule(7, more, ""));
        let c = caller(&one, &tenant, "k");
        c == caller(&two, &tenant, "other key") && (!is_chosen(&one, c) || is_chosen(&two, c))
    }
}

#[test]
fn a_share_is_kept_and_a_new_version_waits_for_its_moment() {
    let chosen = |share: f64| {
        let r = rule(1, share, "");
        (0..10_000)
            .filter(|n| is_chosen(&r, caller(&r, &format!("tenant{n}"), "")))
            .count()
    };
    assert_eq!((chosen(0.0), chosen(1.0)), (0, 10_000));
    assert!((900..1100).contains(&chosen(0.1)), "{}", chosen(0.1));
    let mut c = ActiveRules::default();
    c.update(vec![rule(1, 0.1, "")], 1000);
    c.update(
        vec![rule(2, 0.5, r#","from_ms":5000,"until_ms":9000"#)],
        2000,
    );
    let mut version = |ms| c.rules_for("s", ms).first().map(|r| r.version);
    assert_eq!(
        (version(4999), version(5000), version(9000)),
        (Some(1), Some(2), None)
    );
    // An old version that comes late changes nothing; a rule that is dropped is gone.
    c.update(vec![rule(1, 0.1, "")], 6000);
    assert_eq!(c.rules_for("s", 6000)[0].version, 2);
    c.update(vec![], 6000);
    assert!(c.rules_for("s", 6000).is_empty());
}

#[test]
fn copies_keep_to_their_homes_and_never_go_where_a_real_backend_is() {
    let r = rule(1, 1.0, "");
    let any = |_: &str| true;
    let at = |c, homes: &dyn Fn(&str) -> bool, real: &dyn Fn(SocketAddr) -> bool| {
        instance(&r, c, homes, real).map(|i| i.0.id.clone())
    };
    let both: std::collections::BTreeSet<_> = (0..64u64)
        .filter_map(|n| at(n << 32, &any, &|_| false))
        .collect();
    assert_eq!(both.len(), 2);
    assert_eq!(at(0, &|h| h == "q", &|_| false).as_deref(), Some("x-2"));
    assert_eq!(
        at(0, &any, &|a| a.ip().to_string() == "10.0.0.9").as_deref(),
        Some("x-2")
    );
    assert_eq!(at(0, &any, &|_| true), None);
}
