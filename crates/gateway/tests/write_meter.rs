//! Checks how much of a request counts as written.

use damsonbeam_gateway::write_meter::{WriteMeter, WriteProgress};

const HEAD: &[u8] = b"POST / HTTP/1.1\r\nA: b\r\n\r\n";
const BODY: &[u8] = b"body";

#[test]
fn progress_tells_the_head_from_the_body_wherever_the_writes_are_cut() {
    let request = [HEAD, BODY].concat();
    for cut in 0..=request.len() {
        let meter = WriteMeter::default();
        meter.start_request(BODY.len());
        meter.record_written(&request[..cut]);
        let due = if cut < HEAD.len() {
            WriteProgress::HeadIncomplete
        } else if cut < request.len() {
            WriteProgress::BodyIncomplete(cut - HEAD.len())
        } else {
            WriteProgress::Complete
        };
        assert_eq!(meter.progress(), due, "{cut}");
        meter.record_written(&request[cut..]);
        assert_eq!(meter.progress(), WriteProgress::Complete);
    }
}

#[test]
fn body_of_unknown_length_is_never_written_completely() {
    let meter = WriteMeter::default();
    meter.start_request(usize::MAX);
    meter.record_written(&[HEAD, BODY].concat());
    assert_eq!(meter.progress(), WriteProgress::BodyIncomplete(BODY.len()));
}
