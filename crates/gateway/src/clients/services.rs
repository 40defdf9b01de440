//! The two layers of a connection's service: the program's phases, then requests as invocations.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

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
        let (connection, full, clients) = (
            self.inner.connection.clone(),
            self.full,
            self.inner.clients.clone(),
        );
        let up = clients.protocol.is_readiness_check(request.uri());
        let both = connection.heads.borrow().has_conflicting_length();
        // Where the next head starts is not known after one.
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let named = clients.protocol.operation_name(request.uri());
        let started = clients.clock.now();
        let too_late = !clients.shutdown_admission.takes(started);
        let inner = (!up && !full && !both && !too_late).then(|| self.inner.call(request));
        Box::pin(async move {
            let mut answer = match inner {
                Some(inner) => {
                    let answer = inner.await?;
                    clients
                        .shutdown_admission
                        .answered(clients.clock.now().saturating_sub(started));
                    answer
                }
                // A second request may hide in its body.
                None if both => plain(StatusCode::BAD_REQUEST),
                None if too_late => clients.refusal(),
                None if up && clients.phase.get().is_serving() => plain(StatusCode::OK),
                None => plain(StatusCode::SERVICE_UNAVAILABLE),
            };
            let (now, closes_connections) = (
                clients.clock.now(),
                clients.phase.get().closes_connections(),
            );
            let streamed = matches!(answer.body(), ResponseBody::Streamed(_));
            connection.response_complete.set(!streamed);
            connection.enter(ConnectionState::WritingResponse, now);
            if let Some(named) = named {
                clients.count(&named, &mut answer);
            }
            if let ResponseBody::Streamed(body) = answer.body_mut() {
                let (counted, connection) = (body.count.take(), connection.clone());
                body.count = Some(Box::new(move |end| {
                    counted.into_iter().for_each(|count| count(end));
                    connection.response_complete.set(true);
                }));
            }
            let ends = full || both || chunked || closes_connections || connection.unread.get();
            if ends
                || clients
                    .admission
                    .borrow_mut()
                    .closes_after_response(clients.max_connections.get(), now)
            {
                answer
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(answer)
        })
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
