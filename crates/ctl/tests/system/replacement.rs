//! Core machines replaced by others at new addresses with empty disks, ended at once or in order.

use std::net::SocketAddr;
use std::time::Instant;

use crate::cluster::{Cluster, Plan, Server};
use crate::operator::set_route;
use crate::{BOUNDS, serves};

fn three_zones() -> (Plan, Vec<Server>) {
    let zones = vec![
        ("a", "east", 1, 1),
        ("b", "west", 0, 1),
        ("c", "south", 0, 1),
    ];
    let bounds = [&BOUNDS[..], &["catch_up_s=4"]].concat();
    (
        Plan {
            zones,
            bounds,
            cloud: true,
            words: &[],
        },
        vec![Server::start("i-1", "s", "a")],
    )
}

#[derive(Clone, Copy, PartialEq)]
enum End {
    AtOnce,
    InOrder,
}

/// Ends a machine for good.
fn end(cluster: &mut Cluster, machine: usize, how: End) {
    match how {
        End::AtOnce => cluster.kill_one(machine),
        End::InOrder => {
            cluster.signal(machine, "-TERM");
            assert_eq!(cluster.ended(machine), [Some(0), Some(0)]);
        }
    }
}

/// A new machine takes the place of the first; then another is lost, and all goes on with what is left.
fn replaced_then_another_lost(how: End) {
    let (plan, servers) = three_zones();
    let mut cluster = Cluster::new(plan, &servers);
    cluster.begin();
    let edge = cluster.edges()[0];
    cluster.change_anywhere(&set_route("r-2", "/two/", 2));
    let core = cluster.running_core();
    let seeds: Vec<SocketAddr> = core.iter().map(|n| cluster.control(*n)).collect();
    let new = cluster.add_core("a", seeds);
    cluster.start_one(new);
    end(&mut cluster, core[0], how);
    let since = Instant::now();
    cluster.change_anywhere(&set_route("r-3", "/three/", 3));
    cluster.settle(since);
    cluster.kill_one(core[1]);
    cluster.change_anywhere(&set_route("r-4", "/four/", 4));
    cluster.all_read(&[
        "\"/two/\"".into(),
        "\"/three/\"".into(),
        "\"/four/\"".into(),
    ]);
    cluster.until("the proxy serves by the last change", |_| {
        serves(edge, "/four/")
    });
}

#[test]
fn a_machine_is_replaced_at_once_and_another_is_lost_soon_after() {
    replaced_then_another_lost(End::AtOnce);
}

#[test]
fn a_machine_is_replaced_in_order_and_another_is_lost_soon_after() {
    replaced_then_another_lost(End::InOrder);
}

/// Four replacements, each known to the next by the last alone, until no first machine is left.
#[test]
fn four_replacements_in_a_row_with_stale_seeds_lose_nothing() {
    let (plan, servers) = three_zones();
    let mut cluster = Cluster::new(plan, &servers);
    cluster.begin();
    let edge = cluster.edges()[0];
    let firsts = cluster.running_core();
    let gone = cluster.control(firsts[0]);
    let mut prefixes = Vec::new();
    for round in 0..4 {
        let core = cluster.running_core();
        let (oldest, latest) = (core[0], core[core.len() - 1]);
        let zone = cluster.machines[oldest].zone.clone();
        let seeds = vec![gone, cluster.control(oldest), cluster.control(latest)];
        let how = if round % 2 == 0 {
            End::AtOnce
        } else {
            End::InOrder
        };
        end(&mut cluster, oldest, how);
        let new = cluster.add_core(["a", "b", "c"][round % 3], seeds);
        assert_eq!(cluster.machines[new].zone, zone);
        cluster.start_one(new);
        let since = Instant::now();
        let version = round as u32 + 2;
        cluster.change_anywhere(&set_route(
            &format!("r-{version}"),
            &format!("/round-{round}/"),
            version,
        ));
        prefixes.push(format!("\"/round-{round}/\""));
        cluster.settle(since);
        cluster.all_read(&prefixes);
    }
    assert!(
        cluster.running_core().iter().all(|n| !firsts.contains(n)),
        "a first machine is left"
    );
    // A loss after it all is borne as at the start.
    let last = cluster.running_core()[0];
    cluster.kill_one(last);
    cluster.change_anywhere(&set_route("r-last", "/last/", 9));
    prefixes.push("\"/last/\"".into());
    cluster.all_read(&prefixes);
    cluster.until("the proxy serves by the last change", |_| {
        serves(edge, "/last/")
    });
}
