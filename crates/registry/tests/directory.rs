//! Where clients are sent, and with whom proxies exchange load reports.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use damsonbeam_registry::directory::{Partners, ProxyEndpoint, partners, proxies_near};

fn proxy(n: u8, region: &str, ready: bool) -> ProxyEndpoint {
    let address = SocketAddr::from(([10, 0, 0, n], 80));
    ProxyEndpoint {
        address,
        zone: format!("{region}-a"),
        region: region.into(),
        ready,
    }
}

#[test]
fn partners_are_few_and_by_turns_all() {
    let all: Vec<ProxyEndpoint> = (1..30)
        .map(|n| proxy(n, if n < 20 { "x" } else { "y" }, n != 7))
        .collect();
    let met = |n: u8| {
        let (mut near, mut far) = (BTreeSet::new(), BTreeSet::new());
        for turn in 0..20 {
            let Partners {
                near: some_near,
                far: some_far,
            } = partners(&all, all[n as usize - 1].address, "x", turn);
            assert!(some_near.len() <= 5 && some_far.len() <= 2);
            near.extend(some_near);
            far.extend(some_far);
        }
        (near.len(), far.len())
    };
    assert_eq!(
        (met(1), met(2)),
        ((17, 10), (17, 10)),
        "all ready ones but itself"
    );
    let first = |n: usize| partners(&all, all[n].address, "x", 0).near;
    assert!((0..6).any(|n| first(n) != first(0)), "all get the same few");
}

#[test]
fn the_region_first_and_others_where_it_is_nearly_gone() {
    let all = [
        proxy(1, "x", true),
        proxy(2, "x", true),
        proxy(3, "y", true),
        proxy(4, "x", false),
    ];
    assert_eq!(proxies_near(&all, "x", "x-a").len(), 2);
    assert_eq!(proxies_near(&all, "y", "y-a").len(), 3);
    assert_eq!(proxies_near(&all, "y", "y-a")[0], all[2].address);
    assert_eq!(
        proxies_near(&[proxy(4, "x", false)], "x", "x-a").len(),
        1,
        "no answer at all is worse"
    );
}
