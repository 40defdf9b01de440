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

use super::connection::{Awaits, Conn};
use super::{ClientResponse, Clients, plain};
use crate::bodies::Given;

type Answering = Pin<Box<dyn Future<Output = Result<ClientResponse, Infallible>>>>;

/// First layer: the program's phases and the connection's, `/up`, and answers to what comes beyond the cap.
#[derive(Clone)]
pub(super) struct PhaseService {
    pub(super) full: bool,
    pub(super) inner: Invoke,
}

impl Service<Request<Incoming>> for PhaseService {
    type Response = ClientResponse;
    type Error = Infallible;
    type Future = Answering;

    fn poll_ready(&mut self, cx: &mut Context) -> Poll<Result<(), Infallible>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<Incoming>) -> Answering {
        let (conn, full, clients) = (
            self.inner.conn.clone(),
            self.full,
            self.inner.clients.clone(),
        );
        let up = clients.front.asks_up(request.uri());
        let both = conn.heads.borrow().both();
        // Where the next head starts is not known after one.
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let named = clients.front.named(request.uri());
        let began = clients.clock.now();
        let too_late = !clients.last_call.takes(began);
        let inner = (!up && !full && !both && !too_late).then(|| self.inner.call(request));
        Box::pin(async move {
            let mut answer = match inner {
                Some(inner) => {
                    let answer = inner.await?;
                    clients
                        .last_call
                        .answered(clients.clock.now().saturating_sub(began));
                    answer
                }
                // A second request may hide in its body.
                None if both => plain(StatusCode::BAD_REQUEST),
                None if too_late => clients.refusal(),
                None if up && clients.now.stage().serves() => plain(StatusCode::OK),
                None => plain(StatusCode::SERVICE_UNAVAILABLE),
            };
            let (now, sends_away) = (clients.clock.now(), clients.now.stage().sends_away());
            let streamed = matches!(answer.body(), Given::Through(_));
            conn.given.set(!streamed);
            conn.turn(Awaits::Taking, now);
            if let Some(named) = named {
                clients.count(&named, &mut answer);
            }
            if let Given::Through(body) = answer.body_mut() {
                let (counted, conn) = (body.count.take(), conn.clone());
                body.count = Some(Box::new(move |end| {
                    counted.into_iter().for_each(|count| count(end));
                    conn.given.set(true);
                }));
            }
            let ends = full || both || chunked || sends_away || conn.unread.get();
            if ends || clients.door.borrow_mut().ends(clients.most.get(), now) {
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
pub(super) struct Invoke {
    pub(super) clients: Rc<Clients>,
    pub(super) conn: Rc<Conn>,
}

impl Service<Request<Incoming>> for Invoke {
    type Response = ClientResponse;
    type Error = Infallible;
    type Future = Answering;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Answering {
        let (clients, conn) = (self.clients.clone(), self.conn.clone());
        Box::pin(async move {
            Ok(clients
                .invoke(&conn, request)
                .await
                .unwrap_or_else(|answer| *answer))
        })
    }
}
