//! One attempt, from its permit to how it ended.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{AttemptNumber, InvocationId, Report};
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
    /// It drains or is gone.
    pub(super) closed: Rc<Cell<bool>>,
}

/// Tells the dispatcher what becomes of an attempt.
struct Reporter {
    invocation_id: InvocationId,
    number: AttemptNumber,
    dispatcher: mpsc::Sender<ToDispatcher>,
}

impl Reporter {
    async fn ended(&self, ending: Ending, response: Option<BackendResponse>, report: Report) {
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

    async fn failed(&self, ending: Ending) {
        self.ended(ending, None, vec![]).await;
    }

    async fn body_consumed(&self) {
        let message = ToDispatcher::BodyConsumed {
            invocation_id: self.invocation_id,
        };
        self.dispatcher.send(message).await.ok();
    }
}

/// What came of a request that was written to a connection.
struct Exchange {
    attempt: SentAttempt,
    /// The last byte of a body that was still coming was on its way.
    body_ended: bool,
    response: Result<ReceivedResponse, ResponseError>,
}

/// Carries out an attempt; its connection comes back where it can carry another.
pub(super) async fn run_attempt(
    target: Target,
    idle: Option<BackendConnection>,
    outgoing: OutgoingAttempt,
) -> Option<BackendConnection> {
    let reporter = Reporter {
        invocation_id: outgoing.invocation_id,
        number: outgoing.number,
        dispatcher: outgoing.to,
    };
    let OutgoingAttempt {
        permit,
        request,
        time_left,
        cancel_handle,
        replaces,
        ..
    } = outgoing;
    let Some(mut connection) = target.connection(idle).await else {
        reporter.failed(Ending::NotExecuted(permit.unused())).await;
        return None;
    };
    // Cancelled before anything was written: the new connection serves the next.
    if cancel_handle.cancelled.get() {
        return Some(connection);
    }
    // While it connected, its backend began to drain.
    if target.closed.get() {
        reporter.failed(Ending::NotExecuted(permit.unused())).await;
        return None;
    }
    if let Some(overdue) = replaces {
        overdue.cancel();
    }
    *cancel_handle.socket.borrow_mut() = connection.socket.clone();
    let exchange = target
        .exchange(&mut connection, permit, &request, time_left)
        .await;
    // What has gone to a backend and is not held goes to no other.
    if request
        .body
        .streamed()
        .is_some_and(|body| body.is_consumed())
    {
        reporter.body_consumed().await;
    }
    let is_reusable = target
        .finish(exchange, &request, &cancel_handle, &reporter)
        .await;
    (is_reusable && connection.send.ready().await.is_ok()).then_some(connection)
}

impl Target {
    /// The idle connection, else a new one.
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

    /// Writes the request, and reads the response.
    async fn exchange(
        &self,
        connection: &mut BackendConnection,
        permit: SendPermit,
        request: &ForwardedRequest,
        time_left: Duration,
    ) -> Exchange {
        // Of a body whose length is not known, none can be told to be the last byte but by its end.
        let length = request.body.length();
        let body_bytes = length.map_or(usize::MAX, |length| length as usize);
        connection.meter.begin(body_bytes);
        let attempt = permit.sent_over(connection.meter.clone());
        let sent = connection
            .send
            .send_request(self.backend_request(request, time_left));
        let response = match sent.await {
            Ok(response) => receive(&self.pools.memory, response).await,
            Err(error) => Err(error.into()),
        };
        let streamed = request.body.streamed();
        let body_ended = streamed.is_some_and(|body| body.is_complete());
        if body_ended && !connection.meter.is_complete() {
            self.pools.figures.sends.inc();
        }
        Exchange {
            attempt,
            body_ended,
            response,
        }
    }

    fn backend_request(&self, request: &ForwardedRequest, time_left: Duration) -> Request<Upload> {
        let mut outgoing = Request::new(Upload::new(&request.body));
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = request.uri.clone();
        *outgoing.headers_mut() = request.headers.clone();
        let protocol = &self.pools.protocol;
        protocol.add_request_headers(outgoing.headers_mut(), time_left, &self.name);
        outgoing
    }

    /// Tells the dispatcher how the attempt ended; returns whether its connection may carry another.
    async fn finish(
        &self,
        exchange: Exchange,
        request: &ForwardedRequest,
        cancel_handle: &CancelHandle,
        reporter: &Reporter,
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
                // What still comes belongs to nothing any more.
                cancel_handle.cancel();
                reporter.failed(attempt.broken(body_ended)).await;
                return false;
            }
        };
        let protocol = &self.pools.protocol;
        let verdict = protocol.verdict(&request.headers, status, &headers);
        if verdict == Verdict::Misplaced {
            // It belongs to another request, and so may whatever follows it.
            cancel_handle.cancel();
            reporter.failed(attempt.answered(verdict)).await;
            return false;
        }
        *cancel_handle.socket.borrow_mut() = Weak::new();
        if let Some(timeout) = protocol.idle_timeout(&headers) {
            self.pools.set_idle_timeout(timeout);
        }
        let closes = announces_close(&headers);
        let report = load_report(&headers, &self.pools.reports);
        let may_forward = protocol.may_forward(verdict, status, &headers);
        let response = may_forward.then(|| {
            protocol.strip_response_headers(&mut headers);
            BackendResponse {
                status,
                headers,
                body,
            }
        });
        let ending = attempt.answered(verdict);
        reporter.ended(ending, response, report).await;
        let is_complete = match stream_end {
            Some(end) => end.await == Ok(StreamEnd::Complete),
            None => true,
        };
        is_complete && !closes && !cancel_handle.cancelled.get()
    }
}

fn announces_close(headers: &HeaderMap) -> bool {
    let value = headers.get(CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
