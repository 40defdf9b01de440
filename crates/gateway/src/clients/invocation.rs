//! A request becomes an invocation, the module's answer becomes a response.

use std::cell::Cell;
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
use crate::messages::{Answer, ForwardedRequest, ToDispatcher};
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
        let invocation_id = InvocationId(self.next_id.replace(self.next_id.get() + 1));
        let mut decoded = self.protocol.decode(invocation_id, &head)?;
        let body = self
            .receive_body(connection, &head.method, body, &decoded)
            .await
            .map_err(rejection)?;
        let streamed = body.streamed().cloned();
        decoded.invocation.body_pending = streamed.is_some();
        // Its client's time runs from its last byte.
        let received = self.clock.now();
        let wait = if streamed.is_some() {
            UPLOAD_TIMEOUT
        } else {
            decoded.time_left
        };
        decoded.invocation.deadline = received + wait;
        let name = std::mem::take(&mut decoded.name);
        let open_invocation = self.open_invocation(&decoded, name)?;
        connection.has_sent_request.set(true);
        connection.enter(ConnectionState::AwaitingResponse, Duration::ZERO);
        let forwarded = Rc::new(ForwardedRequest {
            method: head.method,
            uri: head.uri,
            headers: std::mem::take(&mut decoded.headers),
            body,
        });
        self.protocol
            .request_accepted(&forwarded, &mut decoded.context);
        let context = decoded.context.take();
        let answer = open_invocation.ask(decoded, forwarded).await?;
        let took = self.clock.now().saturating_sub(received);
        self.figures.answer_seconds.observe(took.as_secs_f64());
        if let Some(streamed) = streamed.filter(|body| !body.is_complete()) {
            connection.unread.set(true);
            tokio::task::spawn_local(async move { streamed.drain().await });
        }
        Ok(self.protocol.encode(&open_invocation.name, context, answer))
    }

    /// Two of a name would share one effect, and each would get the other's answer: only one may be open.
    fn open_invocation(
        &self,
        decoded: &DecodedRequest,
        name: String,
    ) -> Result<OpenInvocation<'_>, Rejection> {
        if !self.open.borrow_mut().insert(name.clone()) {
            log!(warn, "invocation-twice", "{name}");
            return Err(rejection(StatusCode::CONFLICT));
        }
        self.figures.current.inc();
        Ok(OpenInvocation {
            invocation_id: decoded.invocation.id,
            name,
            clients: self,
            dispatcher: decoded.dispatcher.clone(),
            answered: Cell::new(false),
        })
    }

    /// A request's body: whole where it is small, else its start and what still comes.
    async fn receive_body(
        &self,
        connection: &ClientConnection,
        method: &Method,
        mut body: Incoming,
        decoded: &DecodedRequest,
    ) -> Result<RequestBody, StatusCode> {
        if body.is_end_stream() {
            return Ok(RequestBody::Buffered(bytes::Bytes::new()));
        }
        if *method == Method::GET {
            return Err(StatusCode::BAD_REQUEST);
        }
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > LARGE as u64) {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let buffered = length.map_or(BODY, |length| BODY.min(length as usize));
        let Some(reservation) = self.bodies.reserve(buffered) else {
            log!(
                warn,
                "bodies-full",
                "no room for a body of {buffered} bytes"
            );
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        };
        connection.enter(ConnectionState::ReadingBody, self.clock.now());
        connection.started.set(self.clock.now());
        connection.received.set(0);
        let (beginning, is_whole) = bodies::read_start(&mut body, None)
            .await
            .map_err(|_| StatusCode::BAD_REQUEST)?;
        let beginning = reservation.keep(beginning);
        if is_whole {
            return Ok(RequestBody::Buffered(beginning));
        }
        let on_complete = Box::new(self.report_completion(decoded));
        let streamed = StreamedBody::new(beginning, body, length, on_complete);
        Ok(RequestBody::Streamed(streamed))
    }

    /// Tells the dispatcher that a body's last byte has come.
    fn report_completion(&self, decoded: &DecodedRequest) -> impl FnOnce() + use<> {
        let invocation_id = decoded.invocation.id;
        let dispatcher = decoded.dispatcher.clone();
        let (clock, time_left) = (self.clock, decoded.time_left);
        move || {
            let message = ToDispatcher::BodyComplete {
                invocation_id,
                deadline: clock.now() + time_left,
            };
            send_without_waiting(&dispatcher, message);
        }
    }
}

/// Sends a message now, or from a task of its own where there is no room.
fn send_without_waiting(dispatcher: &mpsc::Sender<ToDispatcher>, message: ToDispatcher) {
    if let Err(mpsc::error::TrySendError::Full(message)) = dispatcher.try_send(message) {
        let dispatcher = dispatcher.clone();
        tokio::task::spawn_local(async move { dispatcher.send(message).await.ok() });
    }
}

/// An invocation that the dispatcher holds; dropped unanswered, its client has hung up.
struct OpenInvocation<'a> {
    invocation_id: InvocationId,
    name: String,
    clients: &'a Clients,
    dispatcher: mpsc::Sender<ToDispatcher>,
    answered: Cell<bool>,
}

impl OpenInvocation<'_> {
    /// Hands the invocation to the dispatcher, and waits for its answer.
    async fn ask(
        &self,
        decoded: DecodedRequest,
        request: Rc<ForwardedRequest>,
    ) -> Result<Answer, Rejection> {
        let (answer, answered) = oneshot::channel();
        let message = ToDispatcher::Invocation {
            invocation: decoded.invocation,
            time_left: decoded.time_left,
            repeatable: decoded.repeatable,
            request,
            answer,
        };
        let sent = self.dispatcher.send(message).await;
        if sent.is_err() {
            self.answered.set(true);
            return Err(rejection(StatusCode::SERVICE_UNAVAILABLE));
        }
        let answer = answered.await.unwrap_or(Answer::Errored);
        self.answered.set(true);
        Ok(answer)
    }
}

impl Drop for OpenInvocation<'_> {
    fn drop(&mut self) {
        self.clients.open.borrow_mut().remove(&self.name);
        self.clients.figures.current.dec();
        if !self.answered.get() {
            let message = ToDispatcher::ClientGone {
                invocation_id: self.invocation_id,
            };
            send_without_waiting(&self.dispatcher, message);
        }
    }
}
