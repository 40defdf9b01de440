//! Which route, tenant and service a request has.

use damsonbeam_control::config::{ConfigChange, ConfigSnapshot, Route};
use damsonbeam_proxy::routing_table::{RoutingError, RoutingTable};

fn routing_table(text: &str) -> RoutingTable {
    let mut snapshot = ConfigSnapshot::default();
    let change = ConfigChange::from_json(text.as_bytes().to_vec()).expect("reads");
    for item in snapshot.effective_items(&change) {
        snapshot.merge(item);
    }
    RoutingTable::from_snapshot(&snapshot)
}

#[test]
fn the_longest_prefix_wins_keys_are_needed_and_home_regions_are_those_of_both() {
    let route = |name: &str, prefix: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","host_name":"a.example","path_prefix":"{prefix}","route_type":"read_only","timeout_ms":3000,"target_latency_ms":500,"target_service":"s","max_attempts":2,"config_version":"r1"{more}}}"#
        )
    };
    let one = route("one", "/x/", "");
    let more = r#","public_access":true,"serving_regions":["p","q"]"#;
    let two = route("two", "/x/y/", more);
    let table = routing_table(&format!(
        r#"{{"upserts":{{"route_list":[{one},{two}],"tenant_list":[{{"name":"t","api_keys":["k"],"rate_per_s":5,"burst":5,"serving_regions":["q"],"config_version":"r1"}}]}}}}"#
    ));
    let names = |path, key| {
        let found = table.find("A.example:80", path, key)?;
        let tenant = found.tenant.map(|tenant| tenant.name.clone());
        Ok((found.route.name.clone(), tenant))
    };
    assert_eq!(
        names("/x/z", Some("k")),
        Ok(("one".into(), Some("t".into())))
    );
    assert_eq!(names("/x/y/z", None), Ok(("two".into(), None)));
    assert_eq!(names("/x/z", Some("other")), Err(RoutingError::NoTenant));
    assert_eq!(names("/xy", Some("k")), Err(RoutingError::NoRoute));
    let two = table.find("a.example", "/x/y/", None).expect("there").route;
    assert_eq!(
        RoutingTable::home_regions(two, Some(&table.tenants[0])),
        Some(["q".to_string()].into())
    );
}

#[test]
fn a_split_follows_its_weights_and_gives_nothing_to_a_weight_of_0() {
    let change = ConfigChange::from_json(br#"{"upserts":{"route_list":[{"name":"r","host_name":"h","path_prefix":"/","route_type":"upload","timeout_ms":1,"target_latency_ms":1,"traffic_split":[{"target_service":"a","weight":90},{"target_service":"b","weight":10},{"target_service":"c","weight":0}],"config_version":"r1"}]}}"#.to_vec());
    let items = change.expect("reads").items;
    let mut route = Route::try_from(&items[0]).expect("a route");
    assert_eq!(RoutingTable::choose_service(&route, 0.89), "a");
    assert_eq!(RoutingTable::choose_service(&route, 0.91), "b");
    assert_eq!(RoutingTable::choose_service(&route, 1.0), "b");
    route.services.rotate_right(1);
    assert_eq!(RoutingTable::choose_service(&route, 0.0), "a");
}
