//! The two layers of a connection's service: the program's phases, then requests as invocations.

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
use super::{ClientResponse, Clients, plain};
use crate::bodies::ResponseBody;

type Answering = Pin<Box<dyn Future<Output = Result<ClientResponse, Infallible>>>>;

/// First layer: the program's phases and the connection's, `/up`, and answers to what comes beyond the cap.
#[derive(Clone)]
pub(super) struct PhaseService {
    pub(super) full: bool,
    pub(super) inner: InvocationService,
}

impl Service<Request<Incoming>> for PhaseService {
    type Response = ClientResponse;
    type Error = Infallible;
    type Future = Answering;

    fn poll_ready(&mut self, cx: &mut Context) -> Poll<Result<(), Infallible>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<Incoming>) -> Answering {
        let clients = self.inner.clients.clone();
        let connection = self.inner.connection.clone();
        let started = clients.clock.now();
        let answered_here = self.answered_here(&request, started);
        let ends_connection = self.full
            || answered_here == Some(AnsweredHere::ConflictingLength)
            // Where the next head starts is not known after one.
            || request.headers().contains_key(TRANSFER_ENCODING);
        let operation = clients.protocol.operation_name(request.uri());
        let inner = match answered_here {
            Some(reason) => Err(reason),
            None => Ok(self.inner.call(request)),
        };
        Box::pin(async move {
            let mut response = match inner {
                Ok(inner) => {
                    let response = inner.await?;
                    let took = clients.clock.now().saturating_sub(started);
                    clients.shutdown_admission.answered(took);
                    response
                }
                Err(reason) => clients.local_response(reason),
            };
            let closes_connections = clients.phase.get().closes_connections();
            let now = clients.clock.now();
            connection.enter_writing(&mut response, now, |response| {
                if let Some(operation) = operation {
                    clients.count(&operation, response);
                }
            });
            let ends = ends_connection || closes_connections || connection.unread.get();
            if ends || clients.closes_for_others(now) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok(response)
        })
    }
}

/// Why a request is answered without becoming an invocation.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AnsweredHere {
    /// Its head gives its length in two ways: a second request may hide in its body.
    ConflictingLength,
    /// The process ends before it could be answered.
    TooLate,
    /// It asks whether the gateway is up.
    Readiness,
    /// Its connection is beyond the cap.
    Full,
}

impl PhaseService {
    fn answered_here(&self, request: &Request<Incoming>, now: Duration) -> Option<AnsweredHere> {
        let clients = &self.inner.clients;
        if self
            .inner
            .connection
            .heads
            .borrow()
            .has_conflicting_length()
        {
            Some(AnsweredHere::ConflictingLength)
        } else if !clients.shutdown_admission.takes(now) {
            Some(AnsweredHere::TooLate)
        } else if clients.protocol.is_readiness_check(request.uri()) {
            Some(AnsweredHere::Readiness)
        } else if self.full {
            Some(AnsweredHere::Full)
        } else {
            None
        }
    }
}

impl Clients {
    fn local_response(&self, reason: AnsweredHere) -> ClientResponse {
        match reason {
            AnsweredHere::ConflictingLength => plain(StatusCode::BAD_REQUEST),
            AnsweredHere::TooLate => self.refusal(),
            AnsweredHere::Readiness if self.phase.get().is_serving() => plain(StatusCode::OK),
            AnsweredHere::Readiness | AnsweredHere::Full => plain(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Whether a response ends its connection for the sake of clients that wait for one.
    fn closes_for_others(&self, now: Duration) -> bool {
        let mut admission = self.admission.borrow_mut();
        admission.closes_after_response(self.max_connections.get(), now)
    }
}

impl ClientConnection {
    /// A response is written from now on; `count` is called before the end of one that is streamed is watched.
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
            let counted = body.count.take();
            let connection = self.clone();
            body.count = Some(Box::new(move |end| {
                if let Some(counted) = counted {
                    counted(end);
                }
                connection.response_complete.set(true);
            }));
        }
    }
}

/// Second layer: a request becomes an invocation, the module's answer becomes a response.
#[derive(Clone)]
pub(super) struct InvocationService {
    pub(super) clients: Rc<Clients>,
    pub(super) connection: Rc<ClientConnection>,
}

impl Service<Request<Incoming>> for InvocationService {
    type Response = ClientResponse;
    type Error = Infallible;
    type Future = Answering;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Answering {
        let (clients, connection) = (self.clients.clone(), self.connection.clone());
        Box::pin(async move {
            Ok(clients
                .invoke(&connection, request)
                .await
                .unwrap_or_else(|answer| *answer))
        })
    }
}
