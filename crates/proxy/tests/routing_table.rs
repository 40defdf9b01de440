//! Tests of the route, tenant and service of a request.

use damsonbeam_control::config::{ConfigChange, ConfigSnapshot, Route};
use damsonbeam_proxy::routing_table::{RoutingError, RoutingTable};

fn routing_table(text: &str) -> RoutingTable {
    RoutingTable::from_snapshot(&snapshot(&[text]))
}

/// Returns the snapshot after calls in this order.
fn snapshot(calls: &[&str]) -> ConfigSnapshot {
    let mut snapshot = ConfigSnapshot::default();
    for text in calls {
        let change = ConfigChange::from_json(text.as_bytes().to_vec()).expect("valid JSON");
        for item in snapshot.effective_items(&change) {
            snapshot.merge(item);
        }
    }
    snapshot
}

#[test]
fn longest_prefix_wins_keys_are_required_and_home_regions_are_intersected() {
    let route = |name: &str, prefix: &str, extra_fields: &str| {
        format!(
            r#"{{"name":"{name}","host_name":"a.example","path_prefix":"{prefix}","route_type":"read_only","timeout_ms":3000,"target_latency_ms":500,"target_service":"s","max_attempts":2,"config_version":"r1"{extra_fields}}}"#
        )
    };
    let short_prefix = route("one", "/x/", "");
    let extra_fields = r#","public_access":true,"serving_regions":["p","q"]"#;
    let long_prefix = route("two", "/x/y/", extra_fields);
    let table = routing_table(&format!(
        r#"{{"upserts":{{"route_list":[{short_prefix},{long_prefix}],"tenant_list":[{{"name":"t","api_keys":["k"],"rate_per_s":5,"burst":5,"serving_regions":["q"],"config_version":"r1"}}]}}}}"#
    ));
    let find_names = |path, key| {
        let found = table.find("A.example:80", path, key)?;
        let tenant = found.tenant.map(|tenant| tenant.name.clone());
        Ok((found.route.name.clone(), tenant))
    };
    assert_eq!(
        find_names("/x/z", Some("k")),
        Ok(("one".into(), Some("t".into())))
    );
    assert_eq!(find_names("/x/y/z", None), Ok(("two".into(), None)));
    assert_eq!(
        find_names("/x/z", Some("other")),
        Err(RoutingError::InvalidApiKey)
    );
    assert_eq!(find_names("/xy", Some("k")), Err(RoutingError::NoRoute));
    let long_prefix = table
        .find("a.example", "/x/y/", None)
        .expect("route exists")
        .route;
    assert_eq!(
        RoutingTable::home_regions(long_prefix, Some(&table.tenants[0])),
        Some(["q".to_string()].into())
    );
}

#[test]
fn traffic_split_follows_weights_and_skips_zero_weights() {
    let change = ConfigChange::from_json(br#"{"upserts":{"route_list":[{"name":"r","host_name":"h","path_prefix":"/","route_type":"upload","timeout_ms":1,"target_latency_ms":1,"traffic_split":[{"target_service":"a","weight":90},{"target_service":"b","weight":10},{"target_service":"c","weight":0}],"config_version":"r1"}]}}"#.to_vec());
    let items = change.expect("valid JSON").items;
    let mut route = Route::try_from(&items[0]).expect("valid route");
    assert_eq!(RoutingTable::choose_service(&route, 0.89), "a");
    assert_eq!(RoutingTable::choose_service(&route, 0.91), "b");
    assert_eq!(RoutingTable::choose_service(&route, 1.0), "b");
    route.services.rotate_right(1);
    assert_eq!(RoutingTable::choose_service(&route, 0.0), "a");
}

const ROUTE_WITHOUT_TENANTS: &str = r#"{"upserts":{"route_list":[{"name":"r","host_name":"h","path_prefix":"/","route_type":"read_only","timeout_ms":9,"target_latency_ms":5,"target_service":"s","config_version":"r1"}]}}"#;

/// Guards against ROUTE (`review/6`): when the last tenant was removed, requests with its key, with unknown keys and with
/// none were routed, as if no tenant had ever been configured.
#[test]
fn no_key_is_valid_once_the_last_tenant_is_removed() {
    let tenant =
        r#"{"upserts":{"tenant_list":[{"name":"t","api_keys":["k"],"config_version":"r1"}]}}"#;
    let removal = r#"{"removals":{"tenant_list":[{"name":"t","config_version":"r2"}]}}"#;
    let keys = [Some("k"), Some("unknown"), None];
    let results = |calls: &[&str]| {
        let table = RoutingTable::from_snapshot(&snapshot(calls));
        keys.map(|key| table.find("h", "/x", key).map(drop))
    };
    let refused = Err(RoutingError::InvalidApiKey);
    assert_eq!(
        results(&[ROUTE_WITHOUT_TENANTS, tenant]),
        [Ok(()), refused, refused]
    );
    assert_eq!(
        results(&[ROUTE_WITHOUT_TENANTS, tenant, removal]),
        [refused; 3]
    );
    // The order in which the calls become known makes no difference.
    assert_eq!(
        results(&[removal, tenant, ROUTE_WITHOUT_TENANTS]),
        [refused; 3]
    );
    assert_eq!(results(&[ROUTE_WITHOUT_TENANTS]), [Ok(()); 3]);
}

/// The same confusion with routes: a configuration whose last route was removed was taken for none at all, so that clients
/// were told to come back.
#[test]
fn a_configuration_without_routes_differs_from_none() {
    let removal = r#"{"removals":{"route_list":[{"name":"r","config_version":"r2"}]}}"#;
    let table = RoutingTable::from_snapshot(&snapshot(&[ROUTE_WITHOUT_TENANTS, removal]));
    assert!(table.is_configured());
    assert_eq!(table.find("h", "/x", None), Err(RoutingError::NoRoute));
    assert!(!RoutingTable::default().is_configured());
    assert!(!routing_table("{}").is_configured());
}
