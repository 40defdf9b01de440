//! Checks the reports of admitted units between gateways.

use std::time::Duration;

use damsonbeam::interface::{AdmittedUnits, CustomerId, GatewayId};
use damsonbeam_gateway::peer_admissions::{
    ENTRY_BYTES, PeerAdmissions, REPORT_INTERVAL, REPORT_LIFETIME, REPORT_REPEATS, REPORT_TAG,
    SILENCE_TIMEOUT,
};

fn admitted(name: &str, units: f64) -> AdmittedUnits {
    AdmittedUnits {
        customer: CustomerId("101".into()),
        slot: 7,
        name: name.into(),
        units,
    }
}

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[test]
fn reports_of_peers_are_summed_until_they_expire() {
    let (mut a, mut b, mut c) = (
        PeerAdmissions::default(),
        PeerAdmissions::default(),
        PeerAdmissions::default(),
    );
    for (n, (peer, units)) in [(&mut b, 5.0), (&mut c, 2.5)].into_iter().enumerate() {
        for datagram in peer.report(&[admitted("7/101", units)], 256) {
            assert!(a.record_report(n as u32 + 1, &datagram, s(5)));
        }
    }
    assert_eq!(a.admitted_by_peers("7/101", s(5)), 7.5);
    assert_eq!(a.admitted_by_peers("8/101", s(5)), 0.0, "another name");
    // A newer report replaces the older one, also with fewer units, as after an invocation was taken back.
    b.report(&[admitted("7/101", 4.0)], 256)
        .iter()
        .for_each(|datagram| assert!(a.record_report(1, datagram, s(6))));
    assert_eq!(a.admitted_by_peers("7/101", s(6)), 6.5);
    assert_eq!(a.admitted_by_peers("7/101", s(5) + REPORT_LIFETIME), 4.0);
    let invalid_entry = [
        &[REPORT_TAG][..],
        &7u64.to_be_bytes(),
        &f32::NAN.to_be_bytes(),
    ]
    .concat();
    assert!(a.record_report(1, &invalid_entry, s(6)));
    assert_eq!(
        a.admitted_by_peers("7/101", s(6)),
        6.5,
        "an entry that is not a number is ignored"
    );
}

#[test]
fn reported_until_returns_the_oldest_report_only_while_no_peer_is_silent() {
    let (mut gateway, peers) = (PeerAdmissions::default(), [GatewayId(1), GatewayId(2)]);
    assert_eq!(gateway.reported_until(&peers, s(1)), None);
    gateway.record_report(1, &[REPORT_TAG], s(1));
    assert_eq!(
        gateway.reported_until(&peers, s(1)),
        None,
        "one peer has never reported"
    );
    gateway.record_report(2, &[REPORT_TAG], s(1) + REPORT_INTERVAL);
    assert_eq!(
        gateway.reported_until(&peers, s(1) + REPORT_INTERVAL),
        Some(s(1)),
        "the time of the older report"
    );
    assert_eq!(
        gateway.reported_until(&peers, s(1) + SILENCE_TIMEOUT),
        None,
        "one peer is silent"
    );
    assert_eq!(
        gateway.reported_until(&[], s(1)),
        None,
        "a gateway without peers receives no reports"
    );
}

#[test]
fn changed_names_are_reported_several_times_in_datagrams_within_the_size_limit() {
    let mut gateway = PeerAdmissions::default();
    let all: Vec<_> = (0..50).map(|i| admitted(&format!("{i}/9"), 1.0)).collect();
    for _ in 0..REPORT_REPEATS {
        let sent = gateway.report(&all, 256);
        assert!(
            sent.iter()
                .all(|datagram| datagram.len() <= 256 && datagram[0] == REPORT_TAG)
        );
        assert_eq!(
            sent.iter()
                .map(|datagram| (datagram.len() - 1) / ENTRY_BYTES)
                .sum::<usize>(),
            50
        );
    }
    assert_eq!(
        gateway.report(&all, 256),
        [[REPORT_TAG]],
        "nothing has changed since"
    );
    assert!(
        !gateway.record_report(0, &[0, 1, 2, 3, 4, 5], s(0)),
        "other datagrams of the decision module are not reports"
    );
}
