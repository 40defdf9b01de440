//! Orders that wait before a store that stands still.

use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Plan, STORE, Server};
use crate::operator::{Outcome, evacuate, set_route};
use crate::{BOUNDS, KEY, get, serves};

/// The zone is asked for so long after the store went on: longer than an order waits in it.
const WATCHED: Duration = Duration::from_secs(2);

/// An evacuation waits before a store whose disk holds a sync up; its caller has gone elsewhere, and has taken it back.
#[test]
fn a_store_that_goes_on_after_a_stall_carries_out_no_late_evacuation() {
    let zones = vec![
        ("a", "east", 1, 1),
        ("b", "west", 0, 1),
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
    let edge = cluster.edges()[0];
    cluster.until("it serves", |_| serves(edge, "/x/"));
    let [first, second, third] = cluster.running_core()[..] else {
        panic!("three core machines")
    };
    cluster.signal_program(first, STORE, "-STOP");
    assert_eq!(
        evacuate(cluster.control(first), "a", true),
        Outcome::Unclear
    );
    for (machine, on) in [(second, true), (third, false)] {
        let at = cluster.control(machine);
        cluster.until("the evacuation is ordered", |_| {
            evacuate(at, "a", on) == Outcome::Acknowledged
        });
    }
    cluster.until("the zone serves again", |_| serves(edge, "/x/"));
    cluster.signal_program(first, STORE, "-CONT");
    cluster.change_at(first, &set_route("r-1", "/again/", 2));
    cluster.until_level();
    let until = Instant::now() + WATCHED;
    cluster.until("the change is in force", |_| {
        get(edge, "/x/", KEY).status() == 404
    });
    while Instant::now() < until {
        assert!(serves(edge, "/again/"), "a late order evacuated the zone");
    }
}
