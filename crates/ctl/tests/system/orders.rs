//! Changes whose responses are lost, that are repeated, or that are sent concurrently.

use std::thread;

use crate::cluster::{Cluster, Plan};
use crate::operator::{
    Outcome, remove_route, send_without_reading_response, set_route, try_change,
};

/// Returns a plan with core machines only, each in its own zone.
pub fn core_only_plan(zones: &[&'static str]) -> Plan {
    let zones = zones.iter().map(|z| (*z, *z, 0, 1)).collect();
    Plan {
        zones,
        timing_bounds: crate::TIMING_BOUNDS.to_vec(),
        has_cloud_api: false,
        proxy_args: &[],
    }
}

#[test]
fn repeated_change_is_acknowledged_by_every_machine() {
    let mut cluster = Cluster::new(core_only_plan(&["a", "b", "c"]), &[]);
    cluster.start_configured();
    let body = set_route("r-2", "/two/", 2);
    let repeat_at_all_machines =
        |cluster: &mut Cluster| (0..3).for_each(|n| cluster.change_at(n, &body));

    // The response is lost; the change is repeated at another machine, and at the first one after its restart.
    send_without_reading_response(cluster.control_address(0), &body);
    cluster.change_at(1, &body);
    cluster.kill_machine(0);
    cluster.change_at(2, &body);
    cluster.start_machine(0);
    repeat_at_all_machines(&mut cluster);
    assert!(cluster.read_at(0).contains("\"/two/\""));

    // Another route is changed; then `r-2` is removed and its prefix is given to `r-3`. If the repeated change were
    // new, it would be rejected.
    cluster.change_at(0, &set_route("r-1", "/one/", 2));
    repeat_at_all_machines(&mut cluster);
    cluster.change_at(1, &remove_route("r-2", 3));
    cluster.change_at(2, &set_route("r-3", "/two/", 3));
    repeat_at_all_machines(&mut cluster);
    let text = cluster.read_at(1);
    assert!(
        text.contains("\"r-3\"") && !text.contains("\"r-2\""),
        "{text}"
    );

    // Eight concurrent changes, each sent to two machines at the same time.
    let bodies: Vec<String> = (0..8)
        .map(|n| set_route(&format!("r-at-once-{n}"), &format!("/at-once-{n}/"), 4))
        .collect();
    let attempts: Vec<_> = (0..16)
        .map(|n| {
            let (address, body) = (cluster.control_address(n % 3), bodies[n % 8].clone());
            thread::spawn(move || try_change(address, &body))
        })
        .collect();
    for attempt in attempts {
        let outcome = attempt.join().expect("sent");
        assert!(!matches!(outcome, Outcome::Rejected(_)), "{outcome:?}");
    }
    for (n, body) in bodies.iter().enumerate() {
        cluster.change_at((n + 1) % 3, body);
    }
    cluster.assert_all_read(
        &(0..8)
            .map(|n| format!("\"/at-once-{n}/\""))
            .collect::<Vec<_>>(),
    );
}
