//! The two layers of the service of a client connection: [`PhaseService`] answers requests that do not become
//! invocations, [`InvocationService`] carries out all others.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, StatusCode};
use tower::Service;

use super::connection::{ClientConnection, ConnectionState};
use super::{ClientResponse, Clients, empty_response};
use crate::bodies::ResponseBody;

type ResponseFuture = Pin<Box<dyn Future<Output = Result<ClientResponse, Infallible>>>>;

/// First layer: handles the phases of the process and of the connection, readiness checks, and connections over the
/// limit.
#[derive(Clone)]
pub(super) struct PhaseService {
    pub(super) over_limit: bool,
    pub(super) inner: InvocationService,
}

impl Service<Request<Incoming>> for PhaseService {
    type Response = ClientResponse;
    type Error = Infallible;
    type Future = ResponseFuture;

    fn poll_ready(&mut self, cx: &mut Context) -> Poll<Result<(), Infallible>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<Incoming>) -> ResponseFuture {
        let clients = self.inner.clients.clone();
        let connection = self.inner.connection.clone();
        let started = clients.clock.now();
        let own_reply = self.own_reply(&request, started);
        let closes_connection = self.over_limit
            || own_reply == Some(OwnReply::ConflictingLength)
            // The scanner cannot find the next head after a chunked body.
            || request.headers().contains_key(TRANSFER_ENCODING);
        let operation = clients.protocol.operation_name(request.uri());
        let inner = match own_reply {
            Some(reason) => Err(reason),
            None => Ok(self.inner.call(request)),
        };
        Box::pin(async move {
            let mut response = match inner {
                Ok(inner) => {
                    let response = inner.await?;
                    let latency = clients.clock.now().saturating_sub(started);
                    clients.shutdown_admission.record_latency(latency);
                    response
                }
                Err(reason) => clients.local_response(reason),
            };
            let closes_connections = clients.phase.get().closes_connections();
            let now = clients.clock.now();
            connection.enter_writing(&mut response, now, |response| {
                if let Some(operation) = operation {
                    clients.count_response(&operation, response);
                }
            });
            let must_close =
                closes_connection || closes_connections || connection.request_body_unread.get();
            if must_close || clients.closes_for_waiting_clients(now) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok(response)
        })
    }
}

/// Reasons why a request is answered without becoming an invocation.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OwnReply {
    /// The head states the body length in two ways, so the body may hide a second request.
    ConflictingLength,
    /// The process ends before the request could be answered.
    ShuttingDown,
    /// The request is a readiness check.
    Readiness,
    /// The connection is over the limit.
    OverLimit,
}

impl PhaseService {
    /// Returns why a request is answered here, or `None` if it becomes an invocation.
    fn own_reply(&self, request: &Request<Incoming>, now: Duration) -> Option<OwnReply> {
        let clients = &self.inner.clients;
        if self
            .inner
            .connection
            .heads
            .borrow()
            .has_conflicting_length()
        {
            Some(OwnReply::ConflictingLength)
        } else if !clients.shutdown_admission.admits(now) {
            Some(OwnReply::ShuttingDown)
        } else if clients.protocol.is_readiness_check(request.uri()) {
            Some(OwnReply::Readiness)
        } else if self.over_limit {
            Some(OwnReply::OverLimit)
        } else {
            None
        }
    }
}

impl Clients {
    fn local_response(&self, reason: OwnReply) -> ClientResponse {
        match reason {
            OwnReply::ConflictingLength => empty_response(StatusCode::BAD_REQUEST),
            OwnReply::ShuttingDown => self.shutdown_response(),
            OwnReply::Readiness if self.phase.get().is_serving() => empty_response(StatusCode::OK),
            OwnReply::Readiness | OwnReply::OverLimit => {
                empty_response(StatusCode::SERVICE_UNAVAILABLE)
            }
        }
    }

    /// Returns whether a response closes its connection to make room for waiting clients.
    fn closes_for_waiting_clients(&self, now: Duration) -> bool {
        let mut admission = self.admission.borrow_mut();
        admission.closes_after_response(self.max_connections.get(), now)
    }
}

impl ClientConnection {
    /// Enters the state [`ConnectionState::WritingResponse`].
    ///
    /// `count` is called first, because it may set the `on_end` callback of a streamed body, which is extended here.
    fn enter_writing(
        self: &Rc<Self>,
        response: &mut ClientResponse,
        now: Duration,
        count: impl FnOnce(&mut ClientResponse),
    ) {
        let is_streamed = matches!(response.body(), ResponseBody::Streamed(_));
        self.response_complete.set(!is_streamed);
        self.enter(ConnectionState::WritingResponse, now);
        count(response);
        if let ResponseBody::Streamed(body) = response.body_mut() {
            body.exceeds_limit = self.answer_limit.exceeded_mark();
            let count_end = body.on_end.take();
            let connection = self.clone();
            body.on_end = Some(Box::new(move |end| {
                if let Some(count_end) = count_end {
                    count_end(end);
                }
                connection.response_complete.set(true);
            }));
        }
    }
}

/// Second layer: carries out requests as invocations.
#[derive(Clone)]
pub(super) struct InvocationService {
    pub(super) clients: Rc<Clients>,
    pub(super) connection: Rc<ClientConnection>,
}

impl Service<Request<Incoming>> for InvocationService {
    type Response = ClientResponse;
    type Error = Infallible;
    type Future = ResponseFuture;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> ResponseFuture {
        let (clients, connection) = (self.clients.clone(), self.connection.clone());
        Box::pin(async move {
            Ok(clients
                .invoke(&connection, request)
                .await
                .unwrap_or_else(|rejection| *rejection))
        })
    }
}
