//! What backends speak: the trait, and the protocol of the deployments in service.

use std::time::Duration;

use damsonbeam::interface::Report;
use hyper::StatusCode;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};

use crate::attempts::{Refusal, Verdict};

/// Names an invocation at every party on its way.
pub static CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// How long the sender of a request will wait for its answer, in milliseconds.
pub static TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
static UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
static BACKEND_LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// What backends speak, by the deployment's protocol.
pub trait BackendProtocol {
    /// What a request to a backend says besides what its client said.
    fn add_request_headers(&self, headers: &mut HeaderMap, time_left: Duration, backend: &str);
    /// What an answer says of the request that it came for.
    fn verdict(&self, asked: &HeaderMap, status: StatusCode, headers: &HeaderMap) -> Verdict;
    /// Whether an answer may go to the client where no better one comes.
    fn may_forward(&self, verdict: Verdict, status: StatusCode, headers: &HeaderMap) -> bool;
    /// Leaves of an answer's headers what is the client's.
    fn strip_response_headers(&self, headers: &mut HeaderMap);
    /// How long an idle connection may be kept, where an answer says.
    fn idle_timeout(&self, headers: &HeaderMap) -> Option<Duration>;
}

/// What the backends of the deployments in service speak.
pub struct Platform;

impl BackendProtocol for Platform {
    fn add_request_headers(&self, headers: &mut HeaderMap, time_left: Duration, _: &str) {
        headers.insert(&TIME_LEFT, HeaderValue::from(time_left.as_millis() as u64));
    }

    fn verdict(&self, _: &HeaderMap, status: StatusCode, headers: &HeaderMap) -> Verdict {
        let unprocessed = headers.get(&UNPROCESSED).is_some_and(|v| v == "1");
        match status {
            StatusCode::OK => Verdict::Succeeded,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => {
                Verdict::Declined(Refusal::Full)
            }
            // Any other answer leaves open whether it ran.
            _ => Verdict::Failed,
        }
    }

    fn may_forward(&self, verdict: Verdict, _: StatusCode, _: &HeaderMap) -> bool {
        verdict == Verdict::Succeeded
    }

    fn strip_response_headers(&self, headers: &mut HeaderMap) {
        keep_end_to_end(headers, "");
        headers.remove(&BACKEND_LOAD);
    }

    fn idle_timeout(&self, _: &HeaderMap) -> Option<Duration> {
        None
    }
}

/// The values of a load report in the settings' order; none if it isn't whole.
pub(super) fn load_report(headers: &HeaderMap, names: &[String]) -> Report {
    let Some(text) = headers.get(&BACKEND_LOAD).filter(|_| !names.is_empty()) else {
        return vec![];
    };
    let fields: Vec<(&str, &str)> = text
        .to_str()
        .unwrap_or("")
        .split(',')
        .filter_map(|f| f.trim().split_once('='))
        .collect();
    let value = |name: &String| fields.iter().find(|f| f.0 == name)?.1.parse().ok();
    names
        .iter()
        .map(value)
        .collect::<Option<_>>()
        .unwrap_or_default()
}

/// Leaves the headers that are meant for the far end, and the name of an invocation in any case: a client
/// that lists it as meant for the next hop only must not have it go on without.
pub fn keep_end_to_end(headers: &mut HeaderMap, name: &str) {
    if let Some(named) = headers.remove(CONNECTION) {
        for name in named.to_str().unwrap_or("").split(',') {
            headers.remove(name.trim());
        }
    }
    for name in [
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
        "expect",
    ] {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    if let Some(name) = HeaderValue::from_str(name).ok().filter(|n| !n.is_empty()) {
        headers.insert(&CORRELATION_ID, name);
    }
}
