//! The protocol between gateway and backends: the trait and its implementation for the deployments in service.

use std::time::Duration;

use damsonbeam::interface::LoadReport;
use hyper::StatusCode;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};

use crate::attempts::{ExecutionStart, Refusal, Verdict};

/// Header with the name of an invocation, the same in the client, the gateway and the backend.
pub static CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// Header with the time that the sender of a request still waits for the response, in milliseconds.
pub static TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
static UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
static BACKEND_LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// Protocol of the backends of a deployment.
pub trait BackendProtocol {
    /// Returns the part of a request with which a backend can begin to execute it.
    fn execution_start(&self) -> ExecutionStart;
    /// Adds the headers that the gateway itself sends with a request to a backend.
    fn add_request_headers(&self, headers: &mut HeaderMap, time_left: Duration, backend: &str);
    /// Returns what a response says about the execution of its request; `request` are the headers of the request.
    fn verdict(&self, request: &HeaderMap, status: StatusCode, headers: &HeaderMap) -> Verdict;
    /// Returns whether a response may be forwarded to the client if no better response arrives.
    fn may_forward(&self, verdict: Verdict, status: StatusCode, headers: &HeaderMap) -> bool;
    /// Removes the response headers that are not meant for the client.
    fn strip_response_headers(&self, headers: &mut HeaderMap);
    /// Returns how long an idle connection may be kept, if the response states that time.
    fn idle_timeout(&self, headers: &HeaderMap) -> Option<Duration>;
}

/// Protocol of the backends in the deployments in service.
pub struct PlatformBackends;

impl BackendProtocol for PlatformBackends {
    fn execution_start(&self) -> ExecutionStart {
        ExecutionStart::CompleteRequest
    }

    fn add_request_headers(&self, headers: &mut HeaderMap, time_left: Duration, _: &str) {
        headers.insert(&TIME_LEFT, HeaderValue::from(time_left.as_millis() as u64));
    }

    fn verdict(&self, _: &HeaderMap, status: StatusCode, headers: &HeaderMap) -> Verdict {
        let unprocessed = headers.get(&UNPROCESSED).is_some_and(|value| value == "1");
        match status {
            StatusCode::OK => Verdict::Succeeded,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => {
                Verdict::Declined(Refusal::NoCapacity)
            }
            // Any other status leaves open whether the request was executed.
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

/// Returns the values of a load report in the order of `names`, or an empty report if a value is missing or invalid.
pub(super) fn load_report(headers: &HeaderMap, names: &[String]) -> LoadReport {
    let Some(text) = headers.get(&BACKEND_LOAD).filter(|_| !names.is_empty()) else {
        return vec![];
    };
    let fields: Vec<(&str, &str)> = text
        .to_str()
        .unwrap_or("")
        .split(',')
        .filter_map(|field| field.trim().split_once('='))
        .collect();
    let value = |name: &String| fields.iter().find(|field| field.0 == name)?.1.parse().ok();
    names
        .iter()
        .map(value)
        .collect::<Option<_>>()
        .unwrap_or_default()
}

/// Removes all hop-by-hop headers and sets the header with the invocation name, unless `invocation_name` is empty.
///
/// The name is set again because a client may list its header in `Connection`, as meant for the next hop only; the
/// request must not be forwarded without it.
pub fn keep_end_to_end(headers: &mut HeaderMap, invocation_name: &str) {
    if let Some(listed) = headers.remove(CONNECTION) {
        for name in listed.to_str().unwrap_or("").split(',') {
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
    if let Some(name) = HeaderValue::from_str(invocation_name)
        .ok()
        .filter(|n| !n.is_empty())
    {
        headers.insert(&CORRELATION_ID, name);
    }
}
