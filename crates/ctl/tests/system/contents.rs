//! Two operators send different contents with the same version.

use std::thread;

use crate::cluster::Cluster;
use crate::operator::{Outcome, read_configuration, set_route, try_change};
use crate::orders::core_only_plan;

#[test]
fn conflicting_changes_with_one_version_are_never_both_acknowledged() {
    let mut cluster = Cluster::new(core_only_plan(&["a", "b", "c"]), &[]);
    cluster.start_configured();
    for version in 2..12 {
        let content = |operator: usize| format!("/v{version}-of-{operator}/");
        let operators: Vec<_> = (0..2)
            .map(|operator| {
                let body = set_route("r-2", &content(operator), version);
                let machines: Vec<_> = (0..3)
                    .map(|n| cluster.control_address((operator + n + version as usize) % 3))
                    .collect();
                thread::spawn(move || {
                    let mut tries = machines.iter().map(|address| try_change(*address, &body));
                    tries
                        .find(|o| *o != Outcome::Unclear)
                        .unwrap_or(Outcome::Unclear)
                })
            })
            .collect();
        let outcomes: Vec<Outcome> = operators
            .into_iter()
            .map(|o| o.join().expect("sent"))
            .collect();
        let acknowledged: Vec<usize> = (0..2)
            .filter(|n| outcomes[*n] == Outcome::Acknowledged)
            .collect();
        assert!(
            acknowledged.len() < 2,
            "both contents of version {version} are acknowledged"
        );
        for machine in 0..3 {
            let text = cluster.read_at(machine);
            for operator in &acknowledged {
                assert!(
                    text.contains(&content(*operator)),
                    "{outcomes:?} of version {version}: {text}"
                );
            }
        }
        // The other content is not accepted, whichever machine it is sent to again.
        if let [operator] = acknowledged[..] {
            let other = set_route("r-2", &content(1 - operator), version);
            (0..3).for_each(|n| {
                assert_ne!(
                    try_change(cluster.control_address(n), &other),
                    Outcome::Acknowledged
                )
            });
            assert!(
                read_configuration(cluster.control_address(0))
                    .is_none_or(|text| text.contains(&content(operator)))
            );
        }
    }
}
