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

use super::connection::{BackendConnection, connect};
use super::connection_pools::ConnectionPools;
use super::protocol::load_report;
use super::response::{ReceivedResponse, ResponseError, receive};
use crate::attempts::{Ending, SendPermit, SentAttempt, Verdict};
use crate::bodies::{StreamEnd, Upload};
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

    async fn report_body_consumed(&self) {
        let message = ToDispatcher::BodyConsumed {
            invocation_id: self.invocation_id,
        };
        self.dispatcher.send(message).await.ok();
    }
}

/// Result of writing a request to a connection and reading the response.
struct Exchange {
    attempt: SentAttempt,
    /// Whether a streamed body has been read to its end, so that its last byte may already be on the wire.
    body_ended: bool,
    response: Result<ReceivedResponse, ResponseError>,
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
        reporter
            .report_failure(Ending::NotExecuted(permit.give_up()))
            .await;
        return None;
    };
    // Cancelled before anything was written, so the connection can serve the next attempt.
    if cancel_handle.cancelled.get() {
        return Some(connection);
    }
    // The backend began to drain while the connection was being opened.
    if target.closed.get() {
        reporter
            .report_failure(Ending::NotExecuted(permit.give_up()))
            .await;
        return None;
    }
    if let Some(overdue) = overdue_attempt {
        overdue.cancel();
    }
    *cancel_handle.socket.borrow_mut() = connection.socket.clone();
    let exchange = target
        .exchange(&mut connection, permit, &request, time_left)
        .await;
    // The part of a streamed body that was sent is not kept in memory, so no other attempt can send this body.
    if request
        .body
        .streamed()
        .is_some_and(|body| body.is_consumed())
    {
        reporter.report_body_consumed().await;
    }
    let is_reusable = target
        .finish(exchange, &request, &cancel_handle, &reporter)
        .await;
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
        permit: SendPermit,
        request: &ForwardedRequest,
        time_left: Duration,
    ) -> Exchange {
        // With an unknown length, the last byte of a body is known only at the end of its stream.
        let length = request.body.length();
        let body_bytes = length.map_or(usize::MAX, |length| length as usize);
        connection.meter.start_request(body_bytes);
        request.connections.record(connection.id);
        let attempt = permit.start_sending(connection.id, connection.meter.clone());
        let sent = connection
            .send
            .send_request(self.build_request(request, time_left));
        let response = match sent.await {
            Ok(response) => receive(&self.pools.response_memory, response).await,
            Err(error) => Err(error.into()),
        };
        let streamed = request.body.streamed();
        let body_ended = streamed.is_some_and(|body| body.is_complete());
        if body_ended && !connection.meter.is_complete() {
            self.pools.metrics.sends.inc();
        }
        Exchange {
            attempt,
            body_ended,
            response,
        }
    }

    fn build_request(&self, request: &ForwardedRequest, time_left: Duration) -> Request<Upload> {
        let mut outgoing = Request::new(Upload::new(&request.body));
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
        exchange: Exchange,
        request: &ForwardedRequest,
        cancel_handle: &CancelHandle,
        reporter: &AttemptReporter,
    ) -> bool {
        let Exchange {
            attempt,
            body_ended,
            response,
        } = exchange;
        let ReceivedResponse {
            status,
            mut headers,
            body,
            stream_end,
        } = match response {
            Ok(response) => response,
            Err(error) => {
                if !cancel_handle.cancelled.get() {
                    log!(warn, "delivery-broken", "{}: {error}", self.address);
                }
                // Nothing that still arrives on this connection belongs to a request.
                cancel_handle.cancel();
                reporter
                    .report_failure(attempt.end_without_response(body_ended))
                    .await;
                return false;
            }
        };
        let protocol = &self.pools.protocol;
        let verdict = protocol.verdict(&request.headers, status, &headers);
        if verdict == Verdict::OtherRequest {
            // The response belongs to another request, and so may all further data on this connection.
            cancel_handle.cancel();
            reporter
                .report_failure(attempt.end_with_response(verdict))
                .await;
            return false;
        }
        *cancel_handle.socket.borrow_mut() = Weak::new();
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
        let ending = attempt.end_with_response(verdict);
        reporter.report_end(ending, response, report).await;
        let is_complete = match stream_end {
            Some(end) => end.await == Ok(StreamEnd::Complete),
            None => true,
        };
        is_complete && !closes_connection && !cancel_handle.cancelled.get()
    }
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let value = headers.get(CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
