//! Machines that missed many changes, and changes too large for one message.

use std::time::{Duration, Instant};

use crate::cluster::{Backend, Cluster};
use crate::operator::{Outcome, remove_route, set_route, try_change};
use crate::orders::core_only_plan;
use crate::{API_KEY_HEADER, get, route, serves, two_regions_plan};

const MISSED_CHANGES: u32 = 300;
/// Limit for a restarted machine to catch up with the others. Catching up took 1.1 s on a busy machine.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(10);

#[test]
fn machine_that_missed_300_changes_catches_up_within_ten_seconds() {
    let mut cluster = Cluster::new(core_only_plan(&["a", "b", "c"]), &[]);
    cluster.start_configured();
    cluster.wait_until_in_sync();
    cluster.kill_machine(0);
    for n in 0..MISSED_CHANGES {
        let (name, version) = (format!("r-many-{}", n % 60), 2 + n);
        // Each tenth change removes a route.
        let body = match n % 10 {
            9 => remove_route(&name, version),
            _ => set_route(&name, &format!("/many-{n}/"), version),
        };
        if try_change(cluster.control_address(1 + n as usize % 2), &body) != Outcome::Acknowledged {
            cluster.change_at_any_machine(&body);
        }
    }
    let expected_digest = cluster.digest(1);
    let restarted_at = Instant::now();
    cluster.start_machine(0);
    cluster.wait_until("the restarted machine has caught up", |c| {
        c.digest(0).is_some() && c.digest(0) == c.digest(1)
    });
    let took = restarted_at.elapsed();
    assert!(took < CATCH_UP_LIMIT, "{took:?}");
    println!("caught up {took:?} after the start, {MISSED_CHANGES} changes missed");
    assert_eq!(cluster.digest(0), expected_digest);
    // The restarted machine answers reads and accepts changes.
    let text = cluster.read_at(0);
    assert!(
        text.contains(&format!("\"/many-{}/\"", MISSED_CHANGES - 2)),
        "{text}"
    );
    cluster.change_at(0, &set_route("r-after", "/after/", 1000));
    cluster.assert_all_read(&["\"/after/\"".into()]);
}

/// Number of routes in one change, more than a registry sends to proxies unasked.
const ROUTE_COUNT: u32 = 1_500;

#[test]
fn change_of_1500_routes_reaches_proxies_and_a_restarted_proxy_gets_all_at_once() {
    let backends = [
        Backend::start("i-1", "s", "a"),
        Backend::start("i-2", "s", "b"),
    ];
    let mut cluster = Cluster::new(two_regions_plan(), &backends);
    cluster.start_configured();
    let proxy_addresses = cluster.proxy_addresses();
    cluster.wait_until("all proxies serve", |_| {
        proxy_addresses.iter().all(|proxy| serves(*proxy, "/x/1"))
    });

    let routes =
        (0..ROUTE_COUNT).map(|n| route(&format!("r-many-{n}"), &format!("/many-{n}/"), "s", 1, ""));
    let body = format!(
        r#"{{"upserts":{{"route_list":[{}]}}}}"#,
        routes.collect::<Vec<_>>().join(",")
    );
    cluster.change_at_any_machine(&body);
    let paths = [0, ROUTE_COUNT / 2, ROUTE_COUNT - 1].map(|n| format!("/many-{n}/1"));
    cluster.wait_until("all proxies know the new routes", |_| {
        proxy_addresses
            .iter()
            .all(|proxy| paths.iter().all(|path| serves(*proxy, path)))
    });

    let proxy_index = cluster
        .machines
        .iter()
        .position(|machine| !machine.is_core)
        .expect("a proxy");
    cluster.kill_machine(proxy_index);
    cluster.start_machine(proxy_index);
    cluster.wait_until("the restarted proxy serves", |_| {
        let statuses = paths
            .each_ref()
            .map(|path| get(proxy_addresses[0], path, API_KEY_HEADER).status());
        assert!(
            !statuses.iter().any(|status| [401, 404].contains(status)),
            "{statuses:?}"
        );
        statuses == [200; 3]
    });
}
