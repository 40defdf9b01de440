//! Two operators with two contents under one version.

use std::thread;

use crate::cluster::Cluster;
use crate::operator::{Outcome, change, read, set_route};
use crate::orders::core_only;

#[test]
fn two_contents_under_one_version_are_never_both_acknowledged() {
    let mut cluster = Cluster::new(core_only(&["a", "b", "c"]), &[]);
    cluster.begin();
    for version in 2..12 {
        let content = |operator: usize| format!("/v{version}-of-{operator}/");
        let operators: Vec<_> = (0..2)
            .map(|operator| {
                let body = set_route("r-2", &content(operator), version);
                let machines: Vec<_> = (0..3)
                    .map(|n| cluster.control((operator + n + version as usize) % 3))
                    .collect();
                thread::spawn(move || {
                    let mut tries = machines.iter().map(|at| change(*at, &body));
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
        let confirmed: Vec<usize> = (0..2)
            .filter(|n| outcomes[*n] == Outcome::Acknowledged)
            .collect();
        assert!(
            confirmed.len() < 2,
            "both contents of version {version} are confirmed"
        );
        for machine in 0..3 {
            let text = cluster.read_at(machine);
            for operator in &confirmed {
                assert!(
                    text.contains(&content(*operator)),
                    "{outcomes:?} of version {version}: {text}"
                );
            }
        }
        // The other content stays out, whoever sends it again.
        if let [operator] = confirmed[..] {
            let other = set_route("r-2", &content(1 - operator), version);
            (0..3).for_each(|n| {
                assert_ne!(change(cluster.control(n), &other), Outcome::Acknowledged)
            });
            assert!(read(cluster.control(0)).is_none_or(|text| text.contains(&content(operator))));
        }
    }
}
