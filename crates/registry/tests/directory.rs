//! Tests of the proxies that a directory lookup returns: after planned shutdowns and unplanned losses in a region, with
//! home regions of the host's routes, and for regions without proxies.

use std::net::SocketAddr;

use damsonbeam_registry::directory::{HomeRegions, Lookup, ProxyEndpoint, ProxyPhase};

use ProxyPhase::{Leaving, Ready, Starting};

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

fn proxy(n: u8, region: &str, phase: ProxyPhase) -> ProxyEndpoint {
    ProxyEndpoint {
        address: address(n),
        zone: format!("{region}-a"),
        region: region.into(),
        phase,
    }
}

/// A lookup by a client in region `x`.
fn lookup(homes: HomeRegions, has_recent_loss: bool) -> Lookup<'static> {
    Lookup {
        region: "x",
        zone: "x-a",
        homes,
        has_recent_loss,
    }
}

fn only(regions: &[&str]) -> HomeRegions {
    HomeRegions::Only(regions.iter().map(|region| region.to_string()).collect())
}

fn addresses(numbers: &[u8]) -> Vec<SocketAddr> {
    numbers.iter().map(|n| address(*n)).collect()
}

/// Each kind of knowledge about a host's home regions.
fn all_homes() -> [HomeRegions; 5] {
    [
        HomeRegions::Unknown,
        HomeRegions::Anywhere,
        only(&["x"]),
        only(&["y"]),
        only(&[]),
    ]
}

#[test]
fn client_gets_only_the_proxies_of_its_region_and_those_of_its_zone_first() {
    let mut all = vec![
        proxy(1, "x", Ready),
        proxy(2, "x", Ready),
        proxy(3, "y", Ready),
        proxy(4, "x", Starting),
    ];
    all[0].zone = "x-b".into();
    for homes in all_homes() {
        for has_recent_loss in [false, true] {
            let named = lookup(homes.clone(), has_recent_loss).select_proxies(&all);
            assert_eq!(named, addresses(&[2, 1]), "{homes:?} {has_recent_loss}");
        }
    }
}

#[test]
fn last_ready_proxy_after_a_planned_shutdown_is_returned_alone() {
    let all = [
        proxy(1, "x", Leaving),
        proxy(2, "x", Ready),
        proxy(3, "y", Ready),
        proxy(4, "z", Ready),
    ];
    for homes in all_homes() {
        let named = lookup(homes.clone(), false).select_proxies(&all);
        assert_eq!(named, addresses(&[2]), "{homes:?}");
    }
}

#[test]
fn without_a_ready_proxy_after_planned_shutdowns_only_home_regions_are_added() {
    let all = [
        proxy(1, "x", Leaving),
        proxy(2, "y", Ready),
        proxy(3, "z", Ready),
    ];
    let named = |homes| lookup(homes, false).select_proxies(&all);
    assert_eq!(named(HomeRegions::Anywhere), addresses(&[2, 3]));
    assert_eq!(named(only(&["x", "z"])), addresses(&[3]));
    // No other region is allowed; proxies that are shutting down still answer for a while.
    assert_eq!(named(only(&["x"])), addresses(&[1]));
    assert_eq!(named(HomeRegions::Unknown), addresses(&[1]));
    let after_shutdown = &all[1..];
    assert_eq!(
        lookup(only(&["x"]), false).select_proxies(after_shutdown),
        addresses(&[])
    );
    assert_eq!(
        lookup(HomeRegions::Unknown, false).select_proxies(after_shutdown),
        addresses(&[])
    );
}

#[test]
fn after_an_unplanned_loss_with_one_or_no_proxy_left_other_regions_are_added() {
    let all = [
        proxy(1, "x", Ready),
        proxy(2, "y", Ready),
        proxy(3, "z", Ready),
    ];
    for homes in all_homes() {
        let one_left = lookup(homes.clone(), true).select_proxies(&all);
        assert_eq!(one_left, addresses(&[1, 2, 3]), "{homes:?}");
        let none_left = lookup(homes.clone(), true).select_proxies(&all[1..]);
        assert_eq!(none_left, addresses(&[2, 3]), "{homes:?}");
    }
}

#[test]
fn evacuated_region_keeps_its_clients_because_evacuations_concern_backends() {
    // An evacuation is no input of a lookup: the proxies of the region are ready and were not lost.
    let all = [proxy(1, "x", Ready), proxy(2, "y", Ready)];
    let named = lookup(only(&["y"]), false).select_proxies(&all);
    assert_eq!(named, addresses(&[1]));
}

#[test]
fn client_in_a_region_without_proxies_gets_proxies_of_the_home_regions() {
    let all = [
        proxy(1, "y", Ready),
        proxy(2, "z", Ready),
        proxy(3, "z", Starting),
    ];
    let named = |homes| lookup(homes, false).select_proxies(&all);
    assert_eq!(named(HomeRegions::Anywhere), addresses(&[1, 2]));
    assert_eq!(named(only(&["z"])), addresses(&[2]));
    assert_eq!(named(only(&["w"])), addresses(&[]));
}

#[test]
fn without_any_ready_proxy_the_starting_ones_are_returned() {
    let all = [proxy(4, "x", Starting), proxy(5, "y", Starting)];
    assert_eq!(
        lookup(HomeRegions::Anywhere, false).select_proxies(&all),
        addresses(&[4, 5]),
        "starting proxies are better than no answer"
    );
    assert_eq!(
        lookup(only(&["x"]), false).select_proxies(&all),
        addresses(&[4])
    );
}

#[test]
fn number_of_addresses_is_limited_by_the_protocol() {
    let all: Vec<ProxyEndpoint> = (0..100).map(|n| proxy(n, "x", Ready)).collect();
    assert_eq!(
        lookup(HomeRegions::Anywhere, false)
            .select_proxies(&all)
            .len(),
        64
    );
}
