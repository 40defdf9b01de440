//! Checks which connections are accepted and which responses close their connections.

use std::time::Duration;

use damsonbeam_gateway::connection_admission::{
    AdmissionDecision, ConnectionAdmission, Evictable, MAX_OVER_LIMIT, TURNOVER_TIME,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn connections_are_accepted_below_the_limit_and_evict_idle_ones_at_the_limit() {
    let mut admission = ConnectionAdmission::new(ms(0));
    assert_eq!(
        admission.decide(99, 100, Evictable::Now, ms(0)),
        AdmissionDecision::Accept
    );
    assert_eq!(
        admission.decide(100, 100, Evictable::Now, ms(0)),
        AdmissionDecision::Evict
    );
    assert_eq!(
        admission.decide(100, 100, Evictable::Soon(ms(9)), ms(0)),
        AdmissionDecision::Wait(ms(9))
    );
    assert_eq!(
        admission.decide(100, 100, Evictable::None, ms(0)),
        AdmissionDecision::Refuse
    );
    assert_eq!(
        admission.decide(100 + MAX_OVER_LIMIT, 100, Evictable::None, ms(0)),
        AdmissionDecision::Wait(TURNOVER_TIME)
    );
}

/// Guards against a gateway that spends its CPU time on refusals, each of which takes an accept, a response and a close
/// (issue 23).
#[test]
fn refusals_stay_within_their_rate_limit_under_overload() {
    let (mut admission, mut refused) = (ConnectionAdmission::new(ms(0)), 0);
    for n in 0..22_000 {
        match admission.decide(595, 595, Evictable::None, ms(n / 10)) {
            AdmissionDecision::Refuse => refused += 1,
            AdmissionDecision::Wait(wait) => assert!(
                wait <= ms(4),
                "wait of {wait:?} at a rate of 270 per second"
            ),
            other => panic!("{other:?}"),
        }
    }
    assert!(
        (595..=595 + MAX_OVER_LIMIT).contains(&refused),
        "{refused} refused in {TURNOVER_TIME:?}"
    );
}

/// Guards against responses that all close their connections once a third of the limit is in use, so that each further
/// invocation needs a new connection.
#[test]
fn responses_close_connections_at_a_limited_rate_and_only_while_clients_wait() {
    let mut admission = ConnectionAdmission::new(ms(0));
    assert!(
        !admission.closes_after_response(595, ms(0)),
        "no connection was refused"
    );
    admission.record_refused(ms(0));
    let closed = (0..22_000)
        .filter(|n| admission.closes_after_response(595, ms(n / 10)))
        .count();
    assert!(
        (595..=595 + MAX_OVER_LIMIT).contains(&closed),
        "{closed} closed in {TURNOVER_TIME:?}"
    );
    assert!(
        !admission.closes_after_response(595, TURNOVER_TIME),
        "no connection was refused since"
    );
}
