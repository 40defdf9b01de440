//! Tests of when a new proxy begins to serve, given heartbeats of registries in and out of contact.

use std::time::Duration;

use damsonbeam_proxy::freshness::{FALLBACK_AFTER, Freshness, ServingState};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn complete_state_of_a_registry_in_contact_is_served_as_current() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.serving_state(false, at(0)), None);
    // A registry that is out of contact sent routes and backends.
    freshness.observe(false, true, true);
    assert_eq!(freshness.serving_state(true, at(5000)), None);
    // A registry in contact first has newer items; after the proxy has these, the registry's list
    // is still newer.
    freshness.observe(true, false, false);
    assert_eq!(freshness.serving_state(true, at(5100)), None);
    freshness.observe(true, true, false);
    assert_eq!(freshness.serving_state(true, at(5200)), None);
    freshness.observe(true, true, true);
    assert_eq!(
        freshness.serving_state(true, at(5300)),
        Some(ServingState::Current)
    );
}

#[test]
fn state_of_registries_out_of_contact_is_served_as_possibly_old_after_the_fallback_time() {
    let mut freshness = Freshness::default();
    freshness.observe(false, true, true);
    assert_eq!(freshness.serving_state(true, at(1000)), None);
    let fallback_at = at(1000) + FALLBACK_AFTER;
    assert_eq!(freshness.serving_state(true, fallback_at - at(1)), None);
    assert_eq!(
        freshness.serving_state(true, fallback_at),
        Some(ServingState::PossiblyStale)
    );
}
