//! Checks which requests get a permit to be sent again.

use std::rc::Rc;

use damsonbeam::interface::{Outcome, RepeatMode};
use damsonbeam_gateway::attempts::{
    Attempts, ConnectionId, Ending, ExecutionStart, Refusal, Repeatable, Verdict,
};
use damsonbeam_gateway::write_meter::WriteMeter;

const HEAD: &[u8] = b"POST / HTTP/1.1\r\n\r\n";
const BODY: &[u8] = b"body";

/// Returns all endings of an attempt of which the first `written` bytes were written, each with whether it proves that
/// the request was not executed.
fn endings(written: usize, start: ExecutionStart) -> impl Iterator<Item = (Ending, bool)> {
    let request = [HEAD, BODY].concat();
    let meter = Rc::new(WriteMeter::default());
    meter.start_request(BODY.len());
    meter.record_written(&request[..written]);
    let needed = match start {
        ExecutionStart::Head => HEAD.len(),
        ExecutionStart::CompleteRequest => request.len(),
    };
    let can_have_begun = written >= needed;
    let ending = move |case| {
        let permit = Attempts::new(None)
            .start_attempt()
            .expect("the first attempt always gets a permit");
        let sent = permit.start_sending(ConnectionId(1), meter.clone(), start);
        match case {
            0 => (sent.end_without_response(false), !can_have_begun),
            1 => (sent.end_without_response(true), false),
            2 => (sent.end_with_response(Verdict::Succeeded), false),
            3 => (sent.end_with_response(Verdict::Failed), false),
            4 => (sent.end_with_response(Verdict::OtherRequest), false),
            5 => (
                sent.end_with_response(Verdict::Declined(Refusal::NoCapacity)),
                true,
            ),
            _ => (
                sent.end_with_response(Verdict::Declined(Refusal::WrongBackend)),
                true,
            ),
        }
    };
    (0..7).map(ending)
}

#[test]
fn non_repeatable_request_gets_another_permit_only_after_proof_of_non_execution() {
    let starts = [ExecutionStart::Head, ExecutionStart::CompleteRequest];
    let cuts = 0..=HEAD.len() + BODY.len();
    for (written, start) in cuts.flat_map(|cut| starts.map(|start| (cut, start))) {
        for (ending, is_proof) in endings(written, start) {
            let mut attempts =
                Attempts::new(Repeatable::from_repeat_mode(RepeatMode::NonIdempotent));
            let first = attempts.next_number();
            assert!(attempts.start_attempt().is_some());
            assert!(
                attempts.start_attempt().is_none(),
                "the first attempt is in progress"
            );
            assert_eq!(
                ending.outcome().proves_not_executed(),
                is_proof,
                "{ending:?}"
            );
            if let Ending::NotExecuted(proof) = ending {
                attempts.record_not_executed(first, proof);
            }
            assert_eq!(attempts.none_executed(), is_proof);
            assert_eq!(attempts.proof().is_some(), is_proof);
            assert_eq!(attempts.start_attempt().is_some(), is_proof);
        }
    }
}

#[test]
fn repeatable_request_gets_a_permit_for_each_attempt() {
    let mut attempts = Attempts::new(Repeatable::from_repeat_mode(RepeatMode::Idempotent));
    assert!(attempts.none_executed());
    assert!(attempts.start_attempt().is_some() && attempts.start_attempt().is_some());
    assert!(!attempts.none_executed());
    assert_eq!(
        Ending::NotExecuted(
            attempts
                .start_attempt()
                .expect("a repeatable request gets a permit")
                .give_up()
        )
        .outcome(),
        Outcome::ConnectFailed
    );
}
