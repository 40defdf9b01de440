//! A machine that missed hundreds of changes.

use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Server};
use crate::operator::{Outcome, change, remove_route, set_route};
use crate::orders::core_only;
use crate::{KEY, get, route, serves, two_regions};

const CHANGES: u32 = 300;
/// Back for so long, a machine knows what all know; it took 1.1 s on a busy machine.
const LEVEL_WITHIN: Duration = Duration::from_secs(10);

#[test]
fn a_machine_that_missed_hundreds_of_changes_is_level_within_seconds() {
    let mut cluster = Cluster::new(core_only(&["a", "b", "c"]), &[]);
    cluster.begin();
    cluster.until_level();
    cluster.kill_one(0);
    for n in 0..CHANGES {
        let (name, version) = (format!("r-many-{}", n % 60), 2 + n);
        // Each tenth change takes a route away again.
        let body = match n % 10 {
            9 => remove_route(&name, version),
            _ => set_route(&name, &format!("/many-{n}/"), version),
        };
        if change(cluster.control(1 + n as usize % 2), &body) != Outcome::Acknowledged {
            cluster.change_anywhere(&body);
        }
    }
    let known = cluster.digest(1);
    let back = Instant::now();
    cluster.start_one(0);
    cluster.until("the machine that was down is level", |c| {
        c.digest(0).is_some() && c.digest(0) == c.digest(1)
    });
    let took = back.elapsed();
    assert!(took < LEVEL_WITHIN, "{took:?}");
    println!("level {took:?} after the start, {CHANGES} changes missed");
    assert_eq!(cluster.digest(0), known);
    // It reads and takes changes by itself.
    let text = cluster.read_at(0);
    assert!(
        text.contains(&format!("\"/many-{}/\"", CHANGES - 2)),
        "{text}"
    );
    cluster.change_at(0, &set_route("r-after", "/after/", 1000));
    cluster.all_read(&["\"/after/\"".into()]);
}

/// Routes of one change: more than a registry sends by itself.
const ROUTES: u32 = 1_500;

#[test]
fn a_change_of_many_routes_reaches_proxies_and_a_fresh_one_serves_none_without_the_others() {
    let servers = [
        Server::start("i-1", "s", "a"),
        Server::start("i-2", "s", "b"),
    ];
    let mut cluster = Cluster::new(two_regions(), &servers);
    cluster.begin();
    let edges = cluster.edges();
    cluster.until("all proxies serve", |_| {
        edges.iter().all(|edge| serves(*edge, "/x/1"))
    });

    let routes =
        (0..ROUTES).map(|n| route(&format!("r-many-{n}"), &format!("/many-{n}/"), "s", 1, ""));
    let body = format!(
        r#"{{"upserts":{{"route_list":[{}]}}}}"#,
        routes.collect::<Vec<_>>().join(",")
    );
    cluster.change_anywhere(&body);
    let paths = [0, ROUTES / 2, ROUTES - 1].map(|n| format!("/many-{n}/1"));
    cluster.until("all proxies know the new routes", |_| {
        edges
            .iter()
            .all(|edge| paths.iter().all(|path| serves(*edge, path)))
    });

    let proxy = cluster
        .machines
        .iter()
        .position(|machine| !machine.core)
        .expect("a proxy");
    cluster.kill_one(proxy);
    cluster.start_one(proxy);
    cluster.until("the fresh proxy serves", |_| {
        let statuses = paths
            .each_ref()
            .map(|path| get(edges[0], path, KEY).status());
        assert!(
            !statuses.iter().any(|status| [401, 404].contains(status)),
            "{statuses:?}"
        );
        statuses == [200; 3]
    });
}
