//! Machines out of touch with the majority: frozen, alone, started with dead seeds or without their disk.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Plan, Server};
use crate::operator::{Outcome, change, evacuate, read, set_route};
use crate::orders::core_only;
use crate::{BOUNDS, KEY, get, serves};

/// For how long a machine out of touch is asked: longer than its start and than an order waits.
const WATCHED: Duration = Duration::from_secs(4);

/// Nobody listens here.
pub fn dead_seeds() -> Vec<SocketAddr> {
    (1..=3)
        .map(|n| SocketAddr::from(([127, 0, 77, n], crate::cluster::CONTROL)))
        .collect()
}

/// Asks those machines for so long: none acknowledges, refuses or reads anything.
pub fn says_nothing(machines: &[SocketAddr], version: u32) {
    let ask_one = |at: SocketAddr| {
        let until = Instant::now() + WATCHED;
        let mut round = 0;
        while Instant::now() < until {
            round += 1;
            let body = set_route("r-alone", &format!("/alone-{}/", at.ip()), version);
            assert_eq!(change(at, &body), Outcome::Unclear, "{at}, change {round}");
            assert_eq!(read(at), None, "{at}, reading {round}");
            assert_eq!(
                evacuate(at, "a", true),
                Outcome::Unclear,
                "{at}, evacuation {round}"
            );
            thread::sleep(Duration::from_millis(50));
        }
    };
    thread::scope(|scope| {
        machines
            .iter()
            .for_each(|at| drop(scope.spawn(move || ask_one(*at))))
    });
}

#[test]
fn out_of_touch_with_the_majority_nothing_is_acknowledged_refused_or_read() {
    let mut cluster = Cluster::new(core_only(&["a", "b", "c"]), &[]);
    cluster.begin();
    cluster.until_level();
    // While all others are frozen: a machine that nobody knows, and one that came back without its disk. Their seeds are dead.
    let stranger = cluster.add_core("a", dead_seeds());
    cluster.kill_one(2);
    cluster.wipe(2);
    cluster.set_seeds(2, dead_seeds());
    cluster.freeze(&[0, 1]);
    cluster.start_one(stranger);
    cluster.start_one(2);
    let alone = [cluster.control(stranger), cluster.control(2)];
    says_nothing(&alone, 5);
    // Found by the others it is mended; then they are frozen again.
    cluster.kill_one(stranger);
    cluster.thaw(&[0, 1]);
    cluster.change_at(2, &set_route("r-2", "/two/", 2));
    cluster.freeze(&[0, 1]);
    says_nothing(&[cluster.control(2)], 5);
    cluster.thaw(&[0, 1]);
    cluster.change_anywhere(&set_route("r-3", "/three/", 3));
    cluster.all_read(&["\"/two/\"".into(), "\"/three/\"".into()]);
}

/// The machine that orders are passed on to is frozen: the others go on, and once woken it tells nothing old.
#[test]
fn a_frozen_machine_wakes_to_what_was_decided_meanwhile() {
    let zones = vec![
        ("a", "east", 1, 1),
        ("b", "west", 1, 1),
        ("c", "west", 0, 1),
    ];
    let plan = Plan {
        zones,
        bounds: BOUNDS.to_vec(),
        cloud: true,
        words: &[],
    };
    let servers = [Server::start("i-1", "s", "a")];
    let mut cluster = Cluster::new(plan, &servers);
    cluster.begin();
    let edges = cluster.edges();
    let proxies: Vec<usize> = (0..cluster.machines.len())
        .filter(|n| !cluster.machines[*n].core)
        .collect();
    let [first, ..] = cluster.running_core()[..] else {
        panic!("no core")
    };
    cluster.until("all serve", |_| edges.iter().all(|e| serves(*e, "/x/")));
    cluster.freeze(&[first]);
    cluster.kill_one(proxies[1]);
    let others: Vec<usize> = cluster
        .running_core()
        .into_iter()
        .filter(|n| *n != first)
        .collect();
    for version in 2..6 {
        let moved = set_route("r-1", &format!("/x{version}/"), version);
        cluster.change_at(others[version as usize % 2], &moved);
    }
    cluster.until("the proxy serves by the last change", |_| {
        serves(edges[0], "/x5/")
    });
    // A fresh proxy may hear of the woken machine first.
    cluster.start_one(proxies[1]);
    cluster.thaw(&[first]);
    let woken = cluster.control(first);
    let until = Instant::now() + Duration::from_secs(3);
    let mut new_served = false;
    while Instant::now() < until {
        assert!(
            read(woken).is_none_or(|text| text.contains("\"/x5/\"")),
            "an old configuration is read"
        );
        assert_eq!(
            get(edges[0], "/x/", KEY).status(),
            404,
            "a proxy went back to an old configuration"
        );
        new_served |= serves(edges[1], "/x5/");
        assert!(
            !new_served || get(edges[1], "/x/", KEY).status() == 404,
            "a fresh proxy went back"
        );
    }
    cluster.until("the fresh proxy serves by the last change", |_| {
        serves(edges[1], "/x5/")
    });
    cluster.until_level();
    assert!(cluster.read_at(first).contains("\"/x5/\""));
}
