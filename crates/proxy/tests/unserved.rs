//! The reports and log lines about requests that were not served.

use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::RejectReason;
use damsonbeam_control::config::{Route, RouteKind, Tenant};
use damsonbeam_control::messages::BackendListVersion;
use damsonbeam_proxy::unserved::{Cause, RouteAndTenant, UnservedLog};

fn route_and_tenant() -> RouteAndTenant {
    let route = Route {
        name: "r-1".into(),
        version: 7,
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::ReadOnly,
        timeout_ms: 1,
        latency_target_ms: 1,
        priority: 0,
        services: vec![],
        max_attempts: 1,
        public_access: false,
        serving_regions: vec![],
    };
    let tenant = Tenant {
        name: "house".into(),
        version: 3,
        api_keys: vec![],
        rate_per_s: 1.0,
        burst: 1.0,
        serving_regions: vec![],
    };
    RouteAndTenant {
        route: Some(Rc::new(route)),
        split_service: None,
        tenant: Some(Rc::new(tenant)),
    }
}

#[test]
fn report_shows_cause_and_versions_and_many_events_make_one_log_line() {
    let mut log = UnservedLog::default();
    log.set_term(4);
    log.set_backend_list(BackendListVersion {
        term: 4,
        revision: 9,
    });
    let at = Duration::from_secs;
    let quota = Cause::rejected(RejectReason::Quota);
    log.add("q\"1", quota, false, &route_and_tenant(), at(1));
    log.add(
        "q2",
        Cause::rejected(RejectReason::QueueTooLong),
        false,
        &route_and_tenant(),
        at(2),
    );
    log.add("q3", Cause::Failed, true, &route_and_tenant(), at(2));
    log.add(
        "q4",
        Cause::NoRoute,
        false,
        &RouteAndTenant::default(),
        at(2),
    );
    assert_eq!(
        log.to_json(Some("q\"1"), at(100)),
        "{\"not_served\":{\"no_route\":1,\"line\":1,\"quota\":1,\"failed\":1},\"last\":[\n{\"at_ms\":101000,\
         \"request\":\"q\\\"1\",\"cause\":\"quota\",\"may_have_run\":false,\"route\":\"r-1 r7\",\"tenant\":\"house r3\",\
         \"coordinator_term\":4,\"list\":\"4.9\"}]}\n"
    );
    (0..5000).for_each(|_| log.add("q", quota, false, &route_and_tenant(), at(3)));
    let line = log
        .log_line(at(5))
        .expect("a line, as events were recorded");
    assert_eq!(
        line,
        "5004 not served in 5 s: 5001 quota house r3, 1 no_route, 1 line r-1 r7, 1 others; coordinator's term 4, list 4.9."
    );
    assert_eq!(
        (log.log_line(at(6)), log.log_line(at(10))),
        (None, None),
        "no line, as no event was recorded since the last"
    );
    assert!(
        log.len() == 1000,
        "the number of events kept must be bounded"
    );
}

#[test]
fn rejection_on_a_split_route_names_the_service_chosen() {
    let mut log = UnservedLog::default();
    let split = RouteAndTenant {
        split_service: Some("tiles".into()),
        ..route_and_tenant()
    };
    let cause = Cause::rejected(RejectReason::QueueTooLong);
    log.add("q", cause, false, &split, Duration::from_secs(1));
    let line = log
        .log_line(Duration::from_secs(5))
        .expect("a line, as an event was recorded");
    assert!(line.contains("1 line r-1 r7 to tiles;"), "{line}");
    let report = log.to_json(None, Duration::ZERO);
    assert!(report.contains("\"route\":\"r-1 r7 to tiles\""), "{report}");
}
