//! Tests of the phases of proxies derived from their status reports, and of the detection of unplanned losses.

use std::collections::BTreeSet;
use std::time::Duration;

use damsonbeam_control::messages::ProxyStatus;
use damsonbeam_registry::directory::ProxyPhase;
use damsonbeam_registry::known_proxies::KnownProxies;

fn status(node: &str, incarnation: u64, ready: bool) -> ProxyStatus {
    ProxyStatus {
        node: node.into(),
        incarnation,
        zone: format!("zone-of-{node}"),
        ready,
        ..ProxyStatus::default()
    }
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn zones_with_loss<'a>(known: &'a KnownProxies, attached: &[&str], seconds: u64) -> Vec<&'a str> {
    let attached: BTreeSet<&str> = attached.iter().copied().collect();
    known.zones_with_recent_loss(&attached, at(seconds))
}

#[test]
fn proxy_that_stops_being_ready_is_leaving_and_not_lost() {
    let mut known = KnownProxies::default();
    known.observe(&status("a", 1, false), at(0));
    assert_eq!(known.phase("a"), ProxyPhase::Starting);
    known.observe(&status("a", 1, true), at(1));
    assert_eq!(known.phase("a"), ProxyPhase::Ready);
    known.observe(&status("a", 1, false), at(2));
    known.observe(&status("a", 1, false), at(3));
    assert_eq!(known.phase("a"), ProxyPhase::Leaving);
    assert!(zones_with_loss(&known, &[], 4).is_empty());
    // The restart after a planned shutdown is no loss either.
    known.observe(&status("a", 2, false), at(5));
    assert_eq!(known.phase("a"), ProxyPhase::Starting);
    assert!(zones_with_loss(&known, &["a"], 5).is_empty());
}

#[test]
fn ready_proxy_that_disappears_or_restarts_counts_as_lost() {
    let mut known = KnownProxies::default();
    known.observe(&status("a", 1, true), at(0));
    assert!(zones_with_loss(&known, &["a"], 1).is_empty());
    assert_eq!(zones_with_loss(&known, &[], 1), ["zone-of-a"]);
    assert!(
        zones_with_loss(&known, &[], 15).is_empty(),
        "the loss is still recent after 15 s"
    );
    known.observe(&status("a", 2, false), at(16));
    assert_eq!(zones_with_loss(&known, &["a"], 17), ["zone-of-a"]);
    known.observe(&status("a", 2, true), at(18));
    assert_eq!(zones_with_loss(&known, &["a"], 30), ["zone-of-a"]);
    assert!(zones_with_loss(&known, &["a"], 31).is_empty());
}

#[test]
fn proxy_not_seen_for_30_s_is_no_longer_counted() {
    let mut known = KnownProxies::default();
    known.observe(&status("a", 1, true), at(0));
    known.observe(&status("b", 1, true), at(10));
    assert_eq!(known.expire_and_count(at(29)), 2);
    assert_eq!(known.expire_and_count(at(30)), 1);
    assert_eq!(
        known.phase("a"),
        ProxyPhase::Starting,
        "an expired proxy is still known"
    );
}

#[test]
fn departed_proxy_is_not_counted_until_another_incarnation_runs_on_its_node() {
    let mut known = KnownProxies::default();
    known.observe(&status("a", 1, true), at(0));
    known.observe(&status("b", 1, true), at(0));
    known.observe(&status("a", 1, false), at(1));
    known.record_departure(&status("a", 1, false));
    assert_eq!(
        (known.expire_and_count(at(1)), known.departed_count()),
        (1, 1)
    );
    // A status that was delayed on another connection does not restore the proxy.
    known.observe(&status("a", 1, false), at(2));
    assert_eq!(
        (known.expire_and_count(at(2)), known.departed_count()),
        (1, 1)
    );
    known.observe(&status("a", 2, false), at(3));
    assert_eq!(
        (known.expire_and_count(at(3)), known.departed_count()),
        (2, 0)
    );
}

#[test]
fn new_incarnation_replaces_the_previous_one() {
    let mut known = KnownProxies::default();
    assert_eq!(known.observe(&status("a", 1, true), at(0)), None);
    assert_eq!(known.observe(&status("a", 1, true), at(1)), None);
    assert_eq!(known.observe(&status("a", 2, false), at(2)), Some(1));
    assert!(known.is_replaced(&status("a", 1, true)));
    assert!(!known.is_replaced(&status("a", 2, true)));
}
