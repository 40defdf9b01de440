//! Tests of the selection of partners for load reports.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use damsonbeam_registry::directory::{ProxyEndpoint, ProxyPhase};
use damsonbeam_registry::partners::{Partners, select_partners};

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
fn partners_are_few_at_a_time_and_rotate_through_all_ready_proxies() {
    let all: Vec<ProxyEndpoint> = (1..30)
        .map(|n| proxy(n, if n < 20 { "x" } else { "y" }, n != 7))
        .collect();
    let partner_counts = |n: u8| {
        let (mut near, mut far) = (BTreeSet::new(), BTreeSet::new());
        for round in 0..20 {
            let Partners {
                near: some_near,
                far: some_far,
            } = select_partners(&all, all[n as usize - 1].address, "x", round);
            assert!(some_near.len() <= 5 && some_far.len() <= 2);
            near.extend(some_near);
            far.extend(some_far);
        }
        (near.len(), far.len())
    };
    assert_eq!(
        (partner_counts(1), partner_counts(2)),
        ((17, 10), (17, 10)),
        "every other ready proxy is selected in some round"
    );
    let first_selection = |n: usize| select_partners(&all, all[n].address, "x", 0).near;
    assert!(
        (0..6).any(|n| first_selection(n) != first_selection(0)),
        "all proxies start with the same partners"
    );
}
