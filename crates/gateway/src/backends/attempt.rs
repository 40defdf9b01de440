//! Carries out one attempt: connects to the backend, sends the request and reports the result to the dispatcher.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{AttemptNumber, InvocationId, LoadReport};
use hyper::Request;
use hyper::header::{CONNECTION, HeaderMap};
use tokio::sync::mpsc;

use super::attempt_log::{AttemptLog, EndedBy};
use super::connection::{BackendConnection, connect};
use super::connection_pools::ConnectionPools;
use super::protocol::load_report;
use super::response::{ReceivedResponse, ResponseError, receive};
use crate::attempts::{Ending, SendPermit, SentAttempt, Verdict};
use crate::bodies::{RequestBody, StreamEnd, Upload, UploadHandle};
use crate::log::log;
use crate::messages::{
    AttemptEnded, BackendResponse, CancelHandle, ForwardedRequest, OutgoingAttempt, ToDispatcher,
};

/// The backend that an attempt goes to.
pub(super) struct Target {
    pub(super) pools: Rc<ConnectionPools>,
    pub(super) address: SocketAddr,
    pub(super) name: Arc<str>,
    /// Set once the backend drains or has been removed; nothing more may be sent to it.
    pub(super) closed: Rc<Cell<bool>>,
}

/// Reports the progress of one attempt to the dispatcher.
struct AttemptReporter {
    invocation_id: InvocationId,
    number: AttemptNumber,
    dispatcher: mpsc::Sender<ToDispatcher>,
}

impl AttemptReporter {
    async fn report_end(
        &self,
        ending: Ending,
        response: Option<BackendResponse>,
        report: LoadReport,
    ) {
        let ended = AttemptEnded {
            invocation_id: self.invocation_id,
            number: self.number,
            ending,
            response,
            report,
        };
        let message = ToDispatcher::AttemptEnded(ended);
        self.dispatcher.send(message).await.ok();
    }

    async fn report_failure(&self, ending: Ending) {
        self.report_end(ending, None, vec![]).await;
    }

    /// Reports that nothing of the attempt was sent.
    async fn report_unsent(&self, permit: SendPermit) {
        let ending = Ending::NotExecuted(permit.give_up());
        self.report_failure(ending).await;
    }

    /// Reports that no further attempt can send the body, if that is so.
    async fn report_body(&self, body: &RequestBody) {
        if body.is_kept() {
            return;
        }
        let message = ToDispatcher::BodyConsumed {
            invocation_id: self.invocation_id,
        };
        self.dispatcher.send(message).await.ok();
    }
}

/// An attempt that was handed to a connection.
struct RunningAttempt<'a> {
    request: &'a ForwardedRequest,
    cancel_handle: &'a CancelHandle,
    reporter: &'a AttemptReporter,
    sent: SentAttempt,
    upload: UploadHandle,
    log: AttemptLog,
}

impl RunningAttempt<'_> {
    /// Closes the connection and takes the body away from it.
    async fn close_connection(&self) {
        self.cancel_handle.cancel();
        self.upload.release();
        self.reporter.report_body(&self.request.body).await;
    }

    /// Ends an attempt that got no usable response. What was written is looked at once nothing more can be written.
    async fn end_without_response(self) {
        self.close_connection().await;
        let ending = self.sent.end_without_response(self.upload.has_ended());
        self.reporter.report_failure(ending).await;
    }
}

/// Carries out an attempt. Returns its connection if the connection can be reused.
pub(super) async fn run_attempt(
    target: Target,
    idle: Option<BackendConnection>,
    outgoing: OutgoingAttempt,
) -> Option<BackendConnection> {
    let reporter = AttemptReporter {
        invocation_id: outgoing.invocation_id,
        number: outgoing.number,
        dispatcher: outgoing.reply_to,
    };
    let OutgoingAttempt {
        permit,
        request,
        time_left,
        cancel_handle,
        overdue_attempt,
        ..
    } = outgoing;
    let Some(mut connection) = target.connection(idle).await else {
        reporter.report_unsent(permit).await;
        return None;
    };
    // Cancelled before anything was written, so the connection can serve the next attempt.
    if cancel_handle.cancelled.get() {
        return Some(connection);
    }
    // The backend began to drain while the connection was being opened.
    if target.closed.get() {
        reporter.report_unsent(permit).await;
        return None;
    }
    let log = AttemptLog {
        request: request.name.clone(),
        number: reporter.number,
        connection: connection.id,
    };
    let Some((body, upload)) = Upload::claim(&request.body) else {
        log.body_unavailable();
        reporter.report_body(&request.body).await;
        reporter.report_unsent(permit).await;
        return Some(connection);
    };
    if let Some(overdue) = overdue_attempt {
        overdue.cancel();
    }
    *cancel_handle.socket.borrow_mut() = connection.socket.clone();
    connection.start_request(&request);
    let execution_start = target.pools.protocol.execution_start();
    let sent = permit.start_sending(connection.id, connection.meter.clone(), execution_start);
    let outgoing = target.build_request(&request, body, time_left);
    let response = target.exchange(&mut connection, outgoing).await;
    if upload.has_ended() && !connection.meter.is_complete() {
        target.pools.metrics.sends.inc();
    }
    let attempt = RunningAttempt {
        request: &request,
        cancel_handle: &cancel_handle,
        reporter: &reporter,
        sent,
        upload,
        log,
    };
    let is_reusable = target.finish(attempt, response).await;
    (is_reusable && connection.send.ready().await.is_ok()).then_some(connection)
}

impl Target {
    /// Returns the idle connection if there is one, otherwise opens a new connection.
    async fn connection(&self, idle: Option<BackendConnection>) -> Option<BackendConnection> {
        if idle.is_some() {
            return idle;
        }
        match connect(&self.pools, self.address).await {
            Ok(connection) => Some(connection),
            Err(error) => {
                log!(warn, "backend-unreachable", "{}: {error}", self.address);
                None
            }
        }
    }

    /// Writes the request and reads the response.
    async fn exchange(
        &self,
        connection: &mut BackendConnection,
        outgoing: Request<Upload>,
    ) -> Result<ReceivedResponse, ResponseError> {
        let response = connection.send.send_request(outgoing).await?;
        receive(&self.pools.response_memory, response).await
    }

    fn build_request(
        &self,
        request: &ForwardedRequest,
        upload: Upload,
        time_left: Duration,
    ) -> Request<Upload> {
        let mut outgoing = Request::new(upload);
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = request.uri.clone();
        *outgoing.headers_mut() = request.headers.clone();
        let protocol = &self.pools.protocol;
        protocol.add_request_headers(outgoing.headers_mut(), time_left, &self.name);
        outgoing
    }

    /// Reports the end of the attempt to the dispatcher. Returns whether the connection can be reused.
    async fn finish(
        &self,
        attempt: RunningAttempt<'_>,
        response: Result<ReceivedResponse, ResponseError>,
    ) -> bool {
        let response = match response {
            Ok(response) => response,
            Err(error) => {
                let is_cut = attempt.cancel_handle.cancelled.get();
                if !is_cut {
                    log!(warn, "delivery-broken", "{}: {error}", self.address);
                }
                let received = attempt.upload.progress();
                let written = attempt.sent.write_progress();
                let ended_by = EndedBy::of(is_cut);
                attempt.log.no_answer(&error, ended_by, received, written);
                attempt.end_without_response().await;
                return false;
            }
        };
        let protocol = &self.pools.protocol;
        let request_headers = &attempt.request.headers;
        let verdict = protocol.verdict(request_headers, response.status, &response.headers);
        attempt
            .log
            .answer(&response, verdict, attempt.upload.progress());
        if verdict == Verdict::OtherRequest {
            // The response belongs to another request, and so may all further data on this connection.
            attempt.close_connection().await;
            let ending = attempt.sent.end_with_response(verdict);
            attempt.reporter.report_failure(ending).await;
            return false;
        }
        self.report_response(attempt, verdict, response).await
    }

    /// Reports the response to the attempt's request. Returns whether the connection can be reused.
    async fn report_response(
        &self,
        attempt: RunningAttempt<'_>,
        verdict: Verdict,
        response: ReceivedResponse,
    ) -> bool {
        let ReceivedResponse {
            status,
            mut headers,
            body,
            stream_end,
            ..
        } = response;
        // A backend that answers before the body's end gets no more of it, unless the connection still carries the
        // response.
        let is_early = attempt.upload.is_unfinished() && stream_end.is_none();
        if is_early {
            attempt.close_connection().await;
        } else {
            attempt.reporter.report_body(&attempt.request.body).await;
        }
        *attempt.cancel_handle.socket.borrow_mut() = Weak::new();
        let protocol = &self.pools.protocol;
        if let Some(timeout) = protocol.idle_timeout(&headers) {
            self.pools.set_idle_timeout(timeout);
        }
        let closes_connection = has_connection_close(&headers);
        let report = load_report(&headers, &self.pools.load_report_fields);
        let may_forward = protocol.may_forward(verdict, status, &headers);
        let response = may_forward.then(|| {
            protocol.strip_response_headers(&mut headers);
            BackendResponse {
                status,
                headers,
                body,
            }
        });
        let ending = attempt.sent.end_with_response(verdict);
        attempt.reporter.report_end(ending, response, report).await;
        let stream_end = match stream_end {
            Some(end) => {
                let end = end.await.unwrap_or(StreamEnd::Abandoned);
                let is_cut = attempt.cancel_handle.cancelled.get();
                attempt.log.stream_end(end, EndedBy::of(is_cut));
                end
            }
            None => StreamEnd::Complete,
        };
        let is_complete = stream_end == StreamEnd::Complete;
        is_complete && !is_early && !closes_connection && !attempt.cancel_handle.cancelled.get()
    }
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let value = headers.get(CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
