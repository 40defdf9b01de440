//! With whom proxies exchange load reports.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use damsonbeam_registry::directory::{ProxyEndpoint, ProxyPhase};
use damsonbeam_registry::partners::{Partners, partners};

fn proxy(n: u8, region: &str, ready: bool) -> ProxyEndpoint {
    let phase = if ready {
        ProxyPhase::Ready
    } else {
        ProxyPhase::Starting
    };
    ProxyEndpoint {
        address: SocketAddr::from(([10, 0, 0, n], 80)),
        zone: format!("{region}-a"),
        region: region.into(),
        phase,
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
