//! Load that one proxy observes at a backend lowers the weight of the backend at another proxy.

use std::collections::HashMap;
use std::time::Duration;

use damsonbeam::interface::{BackendId, Outcome};
use damsonbeam_control::address::Endpoint;
use damsonbeam_control::messages::Backend;
use damsonbeam_proxy::load_reports::LoadReports;

fn backend(number: u32) -> Backend {
    Backend {
        id: format!("i-{number}"),
        service: "s".into(),
        address: Endpoint {
            ip: [10, 0, 0, number as u8],
            port: 80,
        },
        zone: "a".into(),
        capacity_slots: 2,
        draining: false,
        warm_up_left_ms: 0,
    }
}

#[test]
fn reported_load_lowers_a_backends_weight_until_a_new_list_drops_the_backend() {
    let at = Duration::from_millis;
    let backends: Vec<Backend> = (0..4).map(backend).collect();
    let ids: HashMap<String, BackendId> =
        (0..4).map(|n| (format!("i-{n}"), BackendId(n))).collect();
    let load_reports = |incarnation| {
        let mut reports = LoadReports::new(incarnation, incarnation);
        reports.update_backends(&backends, &ids);
        reports
    };
    let (mut first, mut second) = (load_reports(1), load_reports(2));
    first.set_partners(vec![[10, 1, 0, 2]], vec![]);
    // Backend 0 leaves the first proxy's attempts unanswered; the other backends answer them.
    for n in 0..4 {
        (0..3).for_each(|_| first.attempt_sent(BackendId(n), at(0)));
        if n > 0 {
            (0..3).for_each(|_| first.attempt_ended(BackendId(n), Outcome::Ok, at(50), at(50)));
        }
    }
    for t in (1000..3000).step_by(100) {
        for (_, bytes) in first.tick(at(t)) {
            second.receive([10, 1, 0, 1], &bytes, at(t + 1));
        }
        second.update_factors(at(t + 2));
    }
    let json = second.to_json(at(3000));
    assert!(
        second.factor("s", "i-0") < 0.5 && second.factor("s", "i-1") == 1.0,
        "{json}"
    );
    assert!(
        json.contains("\"id\":\"i-0\",\"service\":\"s\",\"own_out\":0"),
        "{json}"
    );
    second.update_backends(&backends[1..], &ids);
    assert!(!second.to_json(at(3000)).contains("i-0"));
    second.update_factors(at(4000));
    assert_eq!(
        second.factor("s", "i-0"),
        1.0,
        "a backend that is no longer listed has no weight factor"
    );
}
