//! Tests of the home regions of each host's routes as the configuration changes.

use damsonbeam_control::config::{Item, ItemKey, ItemKind, ProposalNumber};
use damsonbeam_registry::directory::HomeRegions;
use damsonbeam_registry::home_regions::HomeRegionIndex;

fn route(name: &str, host: &str, homes: &[&str]) -> Item {
    let homes: Vec<String> = homes.iter().map(|home| format!("\"{home}\"")).collect();
    let homes = homes.join(",");
    let body = format!(
        r#"{{"name":"{name}","host_name":"{host}","path_prefix":"/{name}/","route_type":"read_only","timeout_ms":3000,
            "target_latency_ms":500,"target_service":"s","max_attempts":2,"serving_regions":[{homes}]}}"#
    );
    item(name, ItemKind::Route, Some(body))
}

fn item(name: &str, kind: ItemKind, body: Option<String>) -> Item {
    Item {
        key: ItemKey {
            kind,
            name: name.into(),
        },
        version: 1,
        proposal_number: ProposalNumber::default(),
        body: body.map(String::into_bytes),
    }
}

fn only(regions: &[&str]) -> HomeRegions {
    HomeRegions::Only(regions.iter().map(|region| region.to_string()).collect())
}

#[test]
fn home_regions_of_a_host_are_those_common_to_all_its_routes() {
    let mut homes = HomeRegionIndex::default();
    assert_eq!(homes.home_regions("h"), HomeRegions::Anywhere);
    homes.update(&route("free", "H", &[]));
    assert_eq!(homes.home_regions("h"), HomeRegions::Anywhere);
    homes.update(&route("a", "H", &["x", "y"]));
    assert_eq!(homes.home_regions("h"), only(&["x", "y"]));
    homes.update(&route("b", "h", &["y", "z"]));
    assert_eq!(homes.home_regions("H"), only(&["y"]));
    homes.update(&route("c", "h", &["x"]));
    assert_eq!(homes.home_regions("h"), only(&[]));
    assert_eq!(homes.home_regions("other"), HomeRegions::Anywhere);
}

#[test]
fn home_regions_follow_a_route_that_changes_its_host_or_is_removed() {
    let mut homes = HomeRegionIndex::default();
    homes.update(&route("a", "h", &["x"]));
    homes.update(&route("a", "g", &["y"]));
    assert_eq!(homes.home_regions("h"), HomeRegions::Anywhere);
    assert_eq!(homes.home_regions("g"), only(&["y"]));
    homes.update(&item("a", ItemKind::Tenant, None));
    assert_eq!(
        homes.home_regions("g"),
        only(&["y"]),
        "a removed tenant with the route's name has no effect"
    );
    homes.update(&item("a", ItemKind::Route, None));
    assert_eq!(homes.home_regions("g"), HomeRegions::Anywhere);
}
