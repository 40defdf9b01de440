//! Tests of the selection of mirrored callers and of their trial instances.

mod common;

use std::net::SocketAddr;

use common::rule;
use damsonbeam_mirror::selection::{ActiveRules, caller_hash, is_selected, select_instance};
use quickcheck::quickcheck;

quickcheck! {
    /// All proxies and all versions of a rule select the same callers, and a selected caller stays selected while the
    /// share grows.
    fn selection_is_the_same_everywhere_and_grows_with_the_share(tenant: String, a: u8, b: u8) -> bool {
        let (less, more) = (f64::from(a.min(b)) / 255.0, f64::from(a.max(b)) / 255.0);
        let (one, two) = (rule(1, less, ""), rule(7, more, ""));
        let hash = caller_hash(&one, &tenant, "k");
        hash == caller_hash(&two, &tenant, "other key") && (!is_selected(&one, hash) || is_selected(&two, hash))
    }
}

#[test]
fn selected_share_is_kept_and_a_new_version_takes_effect_at_its_start() {
    let chosen = |share: f64| {
        let r = rule(1, share, "");
        (0..10_000)
            .filter(|n| is_selected(&r, caller_hash(&r, &format!("tenant{n}"), "")))
            .count()
    };
    assert_eq!((chosen(0.0), chosen(1.0)), (0, 10_000));
    assert!((900..1100).contains(&chosen(0.1)), "{}", chosen(0.1));
    let mut active_rules = ActiveRules::default();
    active_rules.update(vec![rule(1, 0.1, "")], 1000);
    active_rules.update(
        vec![rule(2, 0.5, r#","from_ms":5000,"until_ms":9000"#)],
        2000,
    );
    let mut version = |ms| active_rules.rules_for("s", ms).first().map(|r| r.version);
    assert_eq!(
        (version(4999), version(5000), version(9000)),
        (Some(1), Some(2), None)
    );
    // A delayed old version has no effect; a removed rule ends at once.
    active_rules.update(vec![rule(1, 0.1, "")], 6000);
    assert_eq!(active_rules.rules_for("s", 6000)[0].version, 2);
    active_rules.update(vec![], 6000);
    assert!(active_rules.rules_for("s", 6000).is_empty());
}

#[test]
fn mirrored_requests_go_only_to_allowed_regions_and_never_to_a_real_backend() {
    let r = rule(1, 1.0, "");
    let any = |_: &str| true;
    let instance_id =
        |caller, is_allowed_region: &dyn Fn(&str) -> bool, is_real: &dyn Fn(SocketAddr) -> bool| {
            select_instance(&r, caller, is_allowed_region, is_real).map(|found| found.0.id.clone())
        };
    let all_ids: std::collections::BTreeSet<_> = (0..64u64)
        .filter_map(|n| instance_id(n << 32, &any, &|_| false))
        .collect();
    assert_eq!(all_ids.len(), 2);
    assert_eq!(
        instance_id(0, &|h| h == "q", &|_| false).as_deref(),
        Some("x-2")
    );
    assert_eq!(
        instance_id(0, &any, &|a| a.ip().to_string() == "10.0.0.9").as_deref(),
        Some("x-2")
    );
    assert_eq!(instance_id(0, &any, &|_| true), None);
}
