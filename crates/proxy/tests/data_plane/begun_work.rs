//! Requests on which a backend may have begun to work before it had them whole.

use crate::bodies::{Framing, begin_upload};
use crate::support::{Step, read_answer, run_test, start_backend, start_proxy};

/// Time for which a backend works on an upload before it resets the connection, in milliseconds.
const WORK_MS: u64 = 30;

/// Guards against REFUSED and TWICE: a backend may begin to work on a request as soon as it has read the head.
#[test]
fn upload_that_a_backend_may_have_begun_is_neither_refused_nor_sent_again() {
    run_test(async {
        for framing in [Framing::Chunked, Framing::Length] {
            let script = |_: usize, _: &str| vec![Step::Wait(WORK_MS), Step::Reset];
            let backends = [start_backend(script).await, start_backend(script).await];
            let proxy = start_proxy(&[&backends[0], &backends[1]], 2.0).await;
            let mut client = begin_upload(&proxy, framing).await;
            let (status, _) = read_answer(&mut client).await.expect("an answer");
            let arrivals = backends
                .iter()
                .map(|backend| backend.arrivals.borrow().len());
            assert_eq!((status, arrivals.sum()), (502, 1_usize), "{framing:?}");
        }
    });
}
