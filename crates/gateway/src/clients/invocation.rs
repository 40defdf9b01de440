//! A request becomes an invocation, the module's answer becomes a response.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{InvocationId, RejectReason};
use hyper::body::{Body, Incoming};
use hyper::{Method, Request, StatusCode};
use tokio::sync::{mpsc, oneshot};

use super::connection::{ClientConnection, ConnectionState};
use super::{ClientResponse, Clients, DecodedRequest, Rejection, rejection};
use crate::bodies::{self, RequestBody, ResponseBody, StreamEnd, StreamedBody};
use crate::log::log;
use crate::messages::*;
use crate::shutdown_admission::ELSEWHERE;
use crate::sizes::{BODY, LARGE};

/// A body that still comes when its invocation is told runs on no client's time yet; this bounds it.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(600);

impl Clients {
    /// The answer to a request that is not taken, for the program ends.
    pub(super) fn refusal(&self) -> ClientResponse {
        let refused = Answer::Throttled {
            after: Some(ELSEWHERE),
            reason: RejectReason::Line,
            none_executed: true,
        };
        self.protocol.encode("", None, refused)
    }

    /// Counts an answer, where it ends: as it is handed over, or with the last byte of one passed on as it comes.
    pub(super) fn count(self: &Rc<Self>, operation: &Arc<str>, answer: &mut ClientResponse) {
        let status = answer.status();
        let all = match status {
            StatusCode::OK => &self.figures.answered,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                &self.figures.deferred
            }
            _ => &self.figures.errored,
        };
        let ResponseBody::Streamed(body) = answer.body_mut() else {
            return all.with_label_values(&[&**operation]).inc();
        };
        let (clients, operation) = (self.clone(), operation.clone());
        clients.figures.current.inc();
        body.count = Some(Box::new(move |end| {
            clients.figures.current.dec();
            let figures = &clients.figures;
            let all = if end == StreamEnd::Broken {
                &figures.errored
            } else {
                &figures.answered
            };
            all.with_label_values(&[&*operation]).inc();
        }));
    }

    /// An invocation's answer, or why the request is none.
    pub(super) async fn invoke(
        &self,
        connection: &ClientConnection,
        request: Request<Incoming>,
    ) -> Result<ClientResponse, Rejection> {
        let (head, body) = request.into_parts();
        let invocation_id = InvocationId(self.next.replace(self.next.get() + 1));
        let DecodedRequest {
            mut invocation,
            repeatable,
            name,
            mut context,
            time_left,
            headers,
            dispatcher,
        } = self.protocol.decode(invocation_id, &head)?;
        let body = self
            .body(
                connection,
                &head.method,
                body,
                invocation.id,
                time_left,
                &dispatcher,
            )
            .await
            .map_err(rejection)?;
        invocation.body_pending = body.streamed().is_some();
        // Its client's time runs from its last byte.
        let received = self.clock.now();
        invocation.deadline = received
            + if invocation.body_pending {
                UPLOAD_TIMEOUT
            } else {
                time_left
            };
        // Two of a name would share one effect, and each would get the other's answer.
        if !self.open.borrow_mut().insert(name.clone()) {
            log!(warn, "invocation-twice", "{name}");
            return Err(rejection(StatusCode::CONFLICT));
        }
        self.figures.current.inc();
        let mut open_invocation = OpenInvocation {
            invocation_id: invocation.id,
            name,
            clients: self,
            dispatcher: dispatcher.clone(),
            answered: false,
        };
        connection.has_sent_request.set(true);
        connection.enter(ConnectionState::AwaitingResponse, Duration::ZERO);
        let streamed = body.streamed().cloned();
        let forwarded = Rc::new(ForwardedRequest {
            method: head.method,
            uri: head.uri,
            headers,
            body,
        });
        self.protocol.request_accepted(&forwarded, &mut context);
        let (answer, answered) = oneshot::channel();
        if dispatcher
            .send(ToDispatcher::Invocation {
                invocation,
                time_left,
                repeatable,
                request: forwarded,
                answer,
            })
            .await
            .is_err()
        {
            open_invocation.answered = true;
            return Err(rejection(StatusCode::SERVICE_UNAVAILABLE));
        }
        let answer = answered.await.unwrap_or(Answer::Errored);
        open_invocation.answered = true;
        self.figures
            .answer_seconds
            .observe(self.clock.now().saturating_sub(received).as_secs_f64());
        if let Some(streamed) = streamed.filter(|c| !c.is_complete()) {
            connection.unread.set(true);
            tokio::task::spawn_local(async move { streamed.drain().await });
        }
        Ok(self.protocol.encode(&open_invocation.name, context, answer))
    }

    /// A request's body: whole where it is small, else its start and what still comes.
    async fn body(
        &self,
        connection: &ClientConnection,
        method: &Method,
        mut body: Incoming,
        invocation_id: InvocationId,
        time_left: Duration,
        dispatcher: &mpsc::Sender<ToDispatcher>,
    ) -> Result<RequestBody, StatusCode> {
        if body.is_end_stream() {
            return Ok(RequestBody::Buffered(bytes::Bytes::new()));
        }
        if *method == Method::GET {
            return Err(StatusCode::BAD_REQUEST);
        }
        let length = body.size_hint().exact();
        if length.is_some_and(|n| n > LARGE as u64) {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let room = length.map_or(BODY, |n| BODY.min(n as usize));
        let Some(room) = self.bodies.reserve(room) else {
            log!(warn, "bodies-full", "no room for a body of {room} bytes");
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        };
        connection.enter(ConnectionState::ReadingBody, self.clock.now());
        connection.started.set(self.clock.now());
        connection.received.set(0);
        let (first, whole) = bodies::read_start(&mut body, None)
            .await
            .map_err(|_| StatusCode::BAD_REQUEST)?;
        let first = room.keep(first);
        if whole {
            return Ok(RequestBody::Buffered(first));
        }
        let (dispatcher, clock) = (dispatcher.clone(), self.clock);
        let whole = move || {
            let invocation = ToDispatcher::BodyComplete {
                invocation_id,
                deadline: clock.now() + time_left,
            };
            if let Err(mpsc::error::TrySendError::Full(invocation)) =
                dispatcher.try_send(invocation)
            {
                tokio::task::spawn_local(async move { dispatcher.send(invocation).await.ok() });
            }
        };
        Ok(RequestBody::Streamed(StreamedBody::new(
            first,
            body,
            length,
            Box::new(whole),
        )))
    }
}

/// An invocation that the module holds; dropped unanswered, its client has hung up.
struct OpenInvocation<'a> {
    invocation_id: InvocationId,
    name: String,
    clients: &'a Clients,
    dispatcher: mpsc::Sender<ToDispatcher>,
    answered: bool,
}

impl Drop for OpenInvocation<'_> {
    fn drop(&mut self) {
        self.clients.open.borrow_mut().remove(&self.name);
        self.clients.figures.current.dec();
        if self.answered {
            return;
        }
        let message = ToDispatcher::ClientGone {
            invocation_id: self.invocation_id,
        };
        if let Err(mpsc::error::TrySendError::Full(message)) = self.dispatcher.try_send(message) {
            let dispatcher = self.dispatcher.clone();
            tokio::task::spawn_local(async move { dispatcher.send(message).await.ok() });
        }
    }
}
