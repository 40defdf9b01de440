//! Machines without contact to a majority: suspended, isolated, or started with unreachable seeds or an empty disk.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Backend, Cluster, Plan};
use crate::operator::{Outcome, evacuate, read_configuration, set_route, try_change};
use crate::orders::core_only_plan;
use crate::{API_KEY_HEADER, TIMING_BOUNDS, get, serves};

/// How long an isolated machine is sent calls: longer than its start takes and than an operator's call waits.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

/// Returns seed addresses at which no process listens.
pub fn unreachable_seeds() -> Vec<SocketAddr> {
    (1..=3)
        .map(|n| SocketAddr::from(([127, 0, 77, n], crate::cluster::CONTROL_PORT)))
        .collect()
}

/// Sends changes, reads and evacuations to the given machines for [`OBSERVATION_TIME`]; asserts that no change
/// or evacuation is acknowledged or rejected, and that no read succeeds.
pub fn assert_no_call_is_decided(machines: &[SocketAddr], version: u32) {
    let observe = |address: SocketAddr| {
        let deadline = Instant::now() + OBSERVATION_TIME;
        let mut round = 0;
        while Instant::now() < deadline {
            round += 1;
            let body = set_route("r-alone", &format!("/alone-{}/", address.ip()), version);
            assert_eq!(
                try_change(address, &body),
                Outcome::Unclear,
                "{address}, change {round}"
            );
            assert_eq!(
                read_configuration(address),
                None,
                "{address}, reading {round}"
            );
            assert_eq!(
                evacuate(address, "a", true),
                Outcome::Unclear,
                "{address}, evacuation {round}"
            );
            thread::sleep(Duration::from_millis(50));
        }
    };
    thread::scope(|scope| {
        machines
            .iter()
            .for_each(|address| drop(scope.spawn(move || observe(*address))))
    });
}

#[test]
fn machines_without_a_majority_neither_acknowledge_nor_reject_calls() {
    let mut cluster = Cluster::new(core_only_plan(&["a", "b", "c"]), &[]);
    cluster.start_configured();
    cluster.wait_until_in_sync();
    // While all others are suspended, a machine unknown to the others and one restarted with an empty disk run with
    // unreachable seeds.
    let unknown_machine = cluster.add_core_machine("a", unreachable_seeds());
    cluster.kill_machine(2);
    cluster.delete_disk(2);
    cluster.set_seeds(2, unreachable_seeds());
    cluster.suspend(&[0, 1]);
    cluster.start_machine(unknown_machine);
    cluster.start_machine(2);
    let isolated = [
        cluster.control_address(unknown_machine),
        cluster.control_address(2),
    ];
    assert_no_call_is_decided(&isolated, 5);
    // Once the others are resumed and find the machine, they restore its data; then they are suspended again.
    cluster.kill_machine(unknown_machine);
    cluster.resume(&[0, 1]);
    cluster.change_at(2, &set_route("r-2", "/two/", 2));
    cluster.suspend(&[0, 1]);
    assert_no_call_is_decided(&[cluster.control_address(2)], 5);
    cluster.resume(&[0, 1]);
    cluster.change_at_any_machine(&set_route("r-3", "/three/", 3));
    cluster.assert_all_read(&["\"/two/\"".into(), "\"/three/\"".into()]);
}

/// The machine to which changes are forwarded is suspended while the others accept changes. After it resumes, it must
/// not serve the configuration from before its suspension.
#[test]
fn suspended_machine_serves_no_old_configuration_after_resuming() {
    let zones = vec![
        ("a", "east", 1, 1),
        ("b", "west", 1, 1),
        ("c", "west", 0, 1),
    ];
    let plan = Plan {
        zones,
        timing_bounds: TIMING_BOUNDS.to_vec(),
        has_cloud_api: true,
        proxy_args: &[],
    };
    let backends = [Backend::start("i-1", "s", "a")];
    let mut cluster = Cluster::new(plan, &backends);
    cluster.start_configured();
    let proxy_addresses = cluster.proxy_addresses();
    let proxy_indices: Vec<usize> = (0..cluster.machines.len())
        .filter(|n| !cluster.machines[*n].is_core)
        .collect();
    let [first_core, ..] = cluster.running_core_machines()[..] else {
        panic!("expected a core machine")
    };
    cluster.wait_until("all proxies serve", |_| {
        proxy_addresses.iter().all(|proxy| serves(*proxy, "/x/"))
    });
    cluster.suspend(&[first_core]);
    cluster.kill_machine(proxy_indices[1]);
    let others: Vec<usize> = cluster
        .running_core_machines()
        .into_iter()
        .filter(|n| *n != first_core)
        .collect();
    for version in 2..6 {
        let moved = set_route("r-1", &format!("/x{version}/"), version);
        cluster.change_at(others[version as usize % 2], &moved);
    }
    cluster.wait_until("the proxy applies the last change", |_| {
        serves(proxy_addresses[0], "/x5/")
    });
    // A restarted proxy may contact the resumed machine before any other.
    cluster.start_machine(proxy_indices[1]);
    cluster.resume(&[first_core]);
    let resumed = cluster.control_address(first_core);
    let deadline = Instant::now() + Duration::from_secs(3);
    let mut new_served = false;
    while Instant::now() < deadline {
        assert!(
            read_configuration(resumed).is_none_or(|text| text.contains("\"/x5/\"")),
            "the resumed machine returned an old configuration"
        );
        assert_eq!(
            get(proxy_addresses[0], "/x/", API_KEY_HEADER).status(),
            404,
            "a proxy went back to an old configuration"
        );
        new_served |= serves(proxy_addresses[1], "/x5/");
        assert!(
            !new_served || get(proxy_addresses[1], "/x/", API_KEY_HEADER).status() == 404,
            "a restarted proxy went back to an old configuration"
        );
    }
    cluster.wait_until("the restarted proxy applies the last change", |_| {
        serves(proxy_addresses[1], "/x5/")
    });
    cluster.wait_until_in_sync();
    assert!(cluster.read_at(first_core).contains("\"/x5/\""));
}
