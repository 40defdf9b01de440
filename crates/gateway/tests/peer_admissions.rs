//! What gateways report to each other of what they admitted.

use std::time::Duration;

use damsonbeam::interface::{Admitted, CustomerId, GatewayId};
use damsonbeam_gateway::peer_admissions::{
    ENTRY_BYTES, PeerAdmissions, REPORT_INTERVAL, REPORT_LIFETIME, REPORT_REPEATS, REPORT_TAG,
    SILENCE_TIMEOUT,
};

fn admitted(name: &str, units: f64) -> Admitted {
    Admitted {
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
fn what_the_peers_admitted_is_summed_and_old_reports_stop_counting() {
    let (mut a, mut b, mut c) = (
        PeerAdmissions::default(),
        PeerAdmissions::default(),
        PeerAdmissions::default(),
    );
    for (n, (w, units)) in [(&mut b, 5.0), (&mut c, 2.5)].into_iter().enumerate() {
        for d in w.report(&[admitted("7/101", units)], 256) {
            assert!(a.record_report(n as u32 + 1, &d, s(5)));
        }
    }
    assert_eq!(a.admitted_by_peers("7/101", s(5)), 7.5);
    assert_eq!(a.admitted_by_peers("8/101", s(5)), 0.0, "another name");
    // Said anew, it takes the place of what was said: an invocation was taken back.
    b.report(&[admitted("7/101", 4.0)], 256)
        .iter()
        .for_each(|d| assert!(a.record_report(1, d, s(6))));
    assert_eq!(a.admitted_by_peers("7/101", s(6)), 6.5);
    assert_eq!(a.admitted_by_peers("7/101", s(5) + REPORT_LIFETIME), 4.0);
    let garbled = [
        &[REPORT_TAG][..],
        &7u64.to_be_bytes(),
        &f32::NAN.to_be_bytes(),
    ]
    .concat();
    assert!(a.record_report(1, &garbled, s(6)));
    assert_eq!(a.admitted_by_peers("7/101", s(6)), 6.5, "no number");
}

#[test]
fn all_have_told_only_while_each_peer_is_heard() {
    let (mut w, peers) = (PeerAdmissions::default(), [GatewayId(1), GatewayId(2)]);
    assert_eq!(w.reported_until(&peers, s(1)), None);
    w.record_report(1, &[REPORT_TAG], s(1));
    assert_eq!(w.reported_until(&peers, s(1)), None, "one was never heard");
    w.record_report(2, &[REPORT_TAG], s(1) + REPORT_INTERVAL);
    assert_eq!(
        w.reported_until(&peers, s(1) + REPORT_INTERVAL),
        Some(s(1)),
        "up to the older word"
    );
    assert_eq!(
        w.reported_until(&peers, s(1) + SILENCE_TIMEOUT),
        None,
        "one has fallen silent"
    );
    assert_eq!(
        w.reported_until(&[], s(1)),
        None,
        "a lone gateway has nobody to hear"
    );
}

#[test]
fn reports_fit_a_datagram_are_repeated_and_end() {
    let mut w = PeerAdmissions::default();
    let all: Vec<_> = (0..50).map(|i| admitted(&format!("{i}/9"), 1.0)).collect();
    for _ in 0..REPORT_REPEATS {
        let sent = w.report(&all, 256);
        assert!(sent.iter().all(|d| d.len() <= 256 && d[0] == REPORT_TAG));
        assert_eq!(
            sent.iter()
                .map(|d| (d.len() - 1) / ENTRY_BYTES)
                .sum::<usize>(),
            50
        );
    }
    assert_eq!(w.report(&all, 256), [[REPORT_TAG]], "nothing changed since");
    assert!(
        !w.record_report(0, &[0, 1, 2, 3, 4, 5], s(0)),
        "the module's own datagrams are not reports"
    );
}
