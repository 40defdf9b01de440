//! Which requests get a permit to be sent again.

use std::rc::Rc;

use damsonbeam::interface::{Outcome, Repeat};
use damsonbeam_gateway::attempts::{Attempts, Ending, Refusal, Repeatable, Verdict};
use damsonbeam_gateway::write_meter::WriteMeter;

/// Endings of an attempt of which so many bytes of its head and body were written.
fn endings(written: &[u8]) -> impl Iterator<Item = (Ending, bool)> {
    let meter = Rc::new(WriteMeter::default());
    meter.begin(4);
    meter.wrote(written);
    let whole = meter.is_complete();
    let make = move |n| {
        let permit = Attempts::new(None)
            .permit()
            .expect("the first may always be sent");
        let sent = permit.sent_over(meter.clone());
        match n {
            0 => (sent.broken(false), !whole),
            1 => (sent.broken(true), false),
            2 => (sent.answered(Verdict::Succeeded), false),
            3 => (sent.answered(Verdict::Failed), false),
            4 => (sent.answered(Verdict::Misplaced), false),
            5 => (sent.answered(Verdict::Declined(Refusal::Full)), true),
            _ => (
                sent.answered(Verdict::Declined(Refusal::WrongBackend)),
                true,
            ),
        }
    };
    (0..7).map(make)
}

#[test]
fn without_proof_that_it_was_not_executed_a_request_gets_one_permit() {
    for written in [
        &b"POST"[..],
        b"POST / HTTP/1.1\r\n\r\nbod",
        b"POST / HTTP/1.1\r\n\r\nbody",
    ] {
        for (ending, proven) in endings(written) {
            let mut attempts = Attempts::new(Repeatable::by(Repeat::NonIdempotent));
            let first = attempts.next();
            assert!(attempts.permit().is_some());
            assert!(attempts.permit().is_none(), "while the first is out");
            assert_eq!(ending.outcome().never_ran(), proven, "{ending:?}");
            if let Ending::NotExecuted(proof) = ending {
                attempts.not_executed(first, proof);
            }
            assert_eq!(attempts.none_executed(), proven);
            assert_eq!(attempts.permit().is_some(), proven);
        }
    }
}

#[test]
fn what_may_run_more_than_once_gets_a_permit_each_time() {
    let mut attempts = Attempts::new(Repeatable::by(Repeat::Idempotent));
    assert!(attempts.none_executed());
    assert!(attempts.permit().is_some() && attempts.permit().is_some());
    assert!(!attempts.none_executed());
    assert_eq!(
        Ending::NotExecuted(attempts.permit().expect("again").unused()).outcome(),
        Outcome::ConnectFailed
    );
}
