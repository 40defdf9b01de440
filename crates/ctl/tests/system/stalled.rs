//! Operators' calls that wait at a stalled machine.

use std::time::{Duration, Instant};

use crate::cluster::{Backend, Cluster, Plan, REGISTRY, STORE};
use crate::operator::{
    Outcome, evacuate, remove_route, send_without_reading_response, set_route, try_change,
};
use crate::orders::core_only_plan;
use crate::{API_KEY_HEADER, TIMING_BOUNDS, get, serves};

/// How long requests are sent to the zone after the store resumes: longer than a call waits in the store.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

/// An evacuation waits for a store that is blocked by a disk sync. Meanwhile the operator evacuates the zone through
/// another machine and revokes the evacuation. The resumed store must not apply the waiting call.
#[test]
fn resumed_store_does_not_apply_an_outdated_evacuation() {
    let zones = vec![
        ("a", "east", 1, 1),
        ("b", "west", 0, 1),
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
    let proxy = cluster.proxy_addresses()[0];
    cluster.wait_until("the proxy serves", |_| serves(proxy, "/x/"));
    let [first_core, second_core, third_core] = cluster.running_core_machines()[..] else {
        panic!("expected three core machines")
    };
    cluster.signal_program(first_core, STORE, "-STOP");
    assert_eq!(
        evacuate(cluster.control_address(first_core), "a", true),
        Outcome::Unclear
    );
    for (machine, on) in [(second_core, true), (third_core, false)] {
        let address = cluster.control_address(machine);
        cluster.wait_until("the evacuation or its revocation is acknowledged", |_| {
            evacuate(address, "a", on) == Outcome::Acknowledged
        });
    }
    cluster.wait_until("the zone serves again", |_| serves(proxy, "/x/"));
    cluster.signal_program(first_core, STORE, "-CONT");
    cluster.change_at(first_core, &set_route("r-1", "/again/", 2));
    cluster.wait_until_in_sync();
    let deadline = Instant::now() + OBSERVATION_TIME;
    cluster.wait_until("the change is in force", |_| {
        get(proxy, "/x/", API_KEY_HEADER).status() == 404
    });
    while Instant::now() < deadline {
        assert!(
            serves(proxy, "/again/"),
            "an outdated call evacuated the zone"
        );
    }
}

/// Guards against CONFIG: a change waits at a stalled machine and is refused at another one. Then what it clashed with is
/// removed. The resumed machine must not carry the change out, as its caller has left.
#[test]
fn change_that_was_refused_elsewhere_is_dropped_by_the_machine_at_which_it_waited() {
    for stalled_programs in [&[REGISTRY, STORE][..], &[STORE]] {
        let mut cluster = Cluster::new(core_only_plan(&["a", "b", "c"]), &[]);
        cluster.start_configured();
        cluster.wait_until_in_sync();
        let change = set_route("r-new", "/x/", 2);
        for program in stalled_programs {
            cluster.signal_program(1, program, "-STOP");
        }
        send_without_reading_response(cluster.control_address(1), &change);
        let elsewhere = try_change(cluster.control_address(0), &change);
        assert!(matches!(elsewhere, Outcome::Rejected(_)), "{elsewhere:?}");
        cluster.change_at(0, &remove_route("r-1", 2));
        for program in stalled_programs {
            cluster.signal_program(1, program, "-CONT");
        }
        cluster.run_for(OBSERVATION_TIME);
        let text = cluster.read_at(0);
        assert!(!text.contains("\"r-new\""), "{stalled_programs:?}: {text}");
    }
}

/// Guards against CONFIG (`review/4`): a store forwards a change to a stalled machine, takes it back and refuses it. Then
/// what it clashed with is removed. The resumed machine must not carry out its copy.
#[test]
fn change_that_was_forwarded_to_a_stalled_machine_and_refused_is_not_carried_out() {
    let mut cluster = Cluster::new(core_only_plan(&["a", "b", "c"]), &[]);
    cluster.start_configured();
    cluster.wait_until_in_sync();
    let change = set_route("r-new", "/x/", 2);
    // Machine 0 has the first voter.
    for program in [REGISTRY, STORE] {
        cluster.signal_program(0, program, "-STOP");
    }
    let address = cluster.control_address(1);
    cluster.wait_until("the change is refused", |_| {
        matches!(try_change(address, &change), Outcome::Rejected(_))
    });
    cluster.change_at(2, &remove_route("r-1", 2));
    for program in [REGISTRY, STORE] {
        cluster.signal_program(0, program, "-CONT");
    }
    cluster.run_for(OBSERVATION_TIME);
    let text = cluster.read_at(1);
    assert!(!text.contains("\"r-new\""), "{text}");
    cluster.change_at(1, &change);
}
