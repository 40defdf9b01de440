//! Core machines are killed or terminated and replaced by machines with new addresses and empty disks.

use std::net::SocketAddr;
use std::time::Instant;

use crate::cluster::{Backend, Cluster, Plan};
use crate::operator::set_route;
use crate::{TIMING_BOUNDS, serves};

fn three_zones_plan() -> (Plan, Vec<Backend>) {
    let zones = vec![
        ("a", "east", 1, 1),
        ("b", "west", 0, 1),
        ("c", "south", 0, 1),
    ];
    let timing_bounds = [&TIMING_BOUNDS[..], &["catch_up_s=4"]].concat();
    (
        Plan {
            zones,
            timing_bounds,
            has_cloud_api: true,
            proxy_args: &[],
        },
        vec![Backend::start("i-1", "s", "a")],
    )
}

#[derive(Clone, Copy, PartialEq)]
enum StopMode {
    Killed,
    Terminated,
}

/// Stops a machine permanently.
fn stop_machine(cluster: &mut Cluster, machine: usize, mode: StopMode) {
    match mode {
        StopMode::Killed => cluster.kill_machine(machine),
        StopMode::Terminated => {
            cluster.signal(machine, "-TERM");
            assert_eq!(cluster.wait_for_exit_codes(machine), [Some(0), Some(0)]);
        }
    }
}

/// Replaces the first core machine by a new one, then kills another; the remaining machines must keep the configuration
/// and accept changes.
fn check_loss_after_replacement(mode: StopMode) {
    let (plan, backends) = three_zones_plan();
    let mut cluster = Cluster::new(plan, &backends);
    cluster.start_configured();
    let proxy = cluster.proxy_addresses()[0];
    cluster.change_at_any_machine(&set_route("r-2", "/two/", 2));
    let core_machines = cluster.running_core_machines();
    let seeds: Vec<SocketAddr> = core_machines
        .iter()
        .map(|n| cluster.control_address(*n))
        .collect();
    let new_machine = cluster.add_core_machine("a", seeds);
    cluster.start_machine(new_machine);
    stop_machine(&mut cluster, core_machines[0], mode);
    let since = Instant::now();
    cluster.change_at_any_machine(&set_route("r-3", "/three/", 3));
    cluster.wait_until_caught_up(since);
    cluster.kill_machine(core_machines[1]);
    cluster.change_at_any_machine(&set_route("r-4", "/four/", 4));
    cluster.assert_all_read(&[
        "\"/two/\"".into(),
        "\"/three/\"".into(),
        "\"/four/\"".into(),
    ]);
    cluster.wait_until("the proxy applies the last change", |_| {
        serves(proxy, "/four/")
    });
}

#[test]
fn loss_after_replacing_a_killed_machine_keeps_the_configuration() {
    check_loss_after_replacement(StopMode::Killed);
}

#[test]
fn loss_after_replacing_a_terminated_machine_keeps_the_configuration() {
    check_loss_after_replacement(StopMode::Terminated);
}

/// Replaces a core machine four times, so that no initial machine is left. Of the three seeds of each new machine, one
/// stopped at the first replacement, one stops before the new machine starts, and one is running.
#[test]
fn four_replacements_with_stale_seeds_keep_the_configuration() {
    let (plan, backends) = three_zones_plan();
    let mut cluster = Cluster::new(plan, &backends);
    cluster.start_configured();
    let proxy = cluster.proxy_addresses()[0];
    let initial_machines = cluster.running_core_machines();
    let stopped_address = cluster.control_address(initial_machines[0]);
    let mut prefixes = Vec::new();
    for round in 0..4 {
        let core_machines = cluster.running_core_machines();
        let (oldest, latest) = (core_machines[0], core_machines[core_machines.len() - 1]);
        let zone = cluster.machines[oldest].zone.clone();
        let seeds = vec![
            stopped_address,
            cluster.control_address(oldest),
            cluster.control_address(latest),
        ];
        let mode = if round % 2 == 0 {
            StopMode::Killed
        } else {
            StopMode::Terminated
        };
        stop_machine(&mut cluster, oldest, mode);
        let new_machine = cluster.add_core_machine(["a", "b", "c"][round % 3], seeds);
        assert_eq!(cluster.machines[new_machine].zone, zone);
        cluster.start_machine(new_machine);
        let since = Instant::now();
        let version = round as u32 + 2;
        cluster.change_at_any_machine(&set_route(
            &format!("r-{version}"),
            &format!("/round-{round}/"),
            version,
        ));
        prefixes.push(format!("\"/round-{round}/\""));
        cluster.wait_until_caught_up(since);
        cluster.assert_all_read(&prefixes);
    }
    assert!(
        cluster
            .running_core_machines()
            .iter()
            .all(|n| !initial_machines.contains(n)),
        "an initial machine is left"
    );
    // The cluster of replaced machines tolerates the loss of a machine as the initial one does.
    let last = cluster.running_core_machines()[0];
    cluster.kill_machine(last);
    cluster.change_at_any_machine(&set_route("r-last", "/last/", 9));
    prefixes.push("\"/last/\"".into());
    cluster.assert_all_read(&prefixes);
    cluster.wait_until("the proxy applies the last change", |_| {
        serves(proxy, "/last/")
    });
}
