//! Tests of which backends a proxy offers to the decision module, and of the subsets of many
//! backends.

use std::collections::HashMap;
use std::time::Duration;

use damsonbeam::interface::Health;
use damsonbeam_control::address::Endpoint;
use damsonbeam_control::messages::Backend;
use damsonbeam_proxy::backend_pool::{BackendPool, RegionPosition};
use damsonbeam_proxy::routing_table::{HomeRegions, RoutingTable};

fn backend(number: u32, zone: &str) -> Backend {
    Backend {
        id: format!("i-{number}"),
        service: "s".into(),
        address: Endpoint {
            ip: [10, 128, 0, number as u8],
            port: 80,
        },
        zone: zone.into(),
        capacity_slots: 6,
        draining: false,
        warm_up_left_ms: 0,
    }
}

fn pool_at_position(position: u32, proxy_count: u32, backends: u32) -> BackendPool {
    let regions = [("a", "x"), ("b", "x"), ("c", "y")];
    let regions = regions.map(|(zone, region)| (zone.to_string(), region.to_string()));
    let mut pool = BackendPool::new("a", "x", regions.into());
    pool.set_region_position(RegionPosition {
        position,
        proxy_count,
    });
    let backends = (0..backends).map(|n| backend(n, ["a", "b", "c"][n as usize % 3]));
    let table = RoutingTable::default();
    pool.update(backends.collect(), &table, Duration::ZERO, &mut || 0.5);
    pool
}

#[test]
fn subsets_cover_many_backends_evenly_and_include_all_of_few() {
    let mut proxies_by_backend: HashMap<String, usize> = HashMap::new();
    for position in 0..23 {
        let pool = pool_at_position(position, 23, 96);
        for id in pool.subset("s") {
            *proxies_by_backend.entry(id.into()).or_default() += 1;
        }
    }
    let min = proxies_by_backend
        .values()
        .min()
        .expect("subsets are not empty");
    let max = proxies_by_backend
        .values()
        .max()
        .expect("subsets are not empty");
    assert_eq!(
        proxies_by_backend.len(),
        64,
        "a backend of the region is in no subset"
    );
    assert!(max - min <= 1, "{min} to {max} proxies per backend");
    assert_eq!(pool_at_position(1, 4, 18).subset("s").len(), 12);
}

/// Returns a table in which zone `b` is evacuated.
fn table_with_evacuated_zone() -> RoutingTable {
    let mut table = RoutingTable::default();
    table.evacuated_zones.insert("b".into());
    table
}

fn available_names(pool: &BackendPool, homes: &HomeRegions, ms: u64) -> Vec<String> {
    let backends = pool.backends("s", homes, Duration::from_millis(ms));
    let up = backends
        .iter()
        .filter(|backend| backend.entry.health == Health::Up);
    up.map(|backend| backend.name.to_string()).collect()
}

#[test]
fn draining_evacuated_and_warming_backends_are_unavailable_and_home_regions_are_respected() {
    let mut pool = pool_at_position(0, 1, 3);
    assert_eq!(available_names(&pool, &None, 0), ["i-0", "i-1", "i-2"]);
    assert_eq!(
        available_names(&pool, &Some(["y".to_string()].into()), 0),
        ["i-2"]
    );
    let evacuated = table_with_evacuated_zone();
    let table = RoutingTable::default();
    pool.set_evacuated_zones(&evacuated, Duration::ZERO, &mut || 0.5);
    assert_eq!(available_names(&pool, &None, 0), ["i-0", "i-2"]);
    // Zone `b` is back in service. Its backend may warm up before the list reports it, so its first
    // turn comes at a random time.
    pool.set_evacuated_zones(&table, Duration::from_millis(100), &mut || 0.5);
    assert_eq!(available_names(&pool, &None, 100), ["i-0", "i-2"]);
    assert_eq!(available_names(&pool, &None, 3000), ["i-0", "i-1", "i-2"]);
    // A backend that restarted at the same address is a different backend.
    let mut next = vec![backend(0, "a"), backend(1, "b")];
    next[0].id = "i-9".into();
    next[1].draining = true;
    pool.update(next, &table, Duration::from_millis(4000), &mut || 0.5);
    assert_eq!(available_names(&pool, &None, 4000), ["i-9"]);
}
