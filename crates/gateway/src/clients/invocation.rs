//! Converts requests to invocations and the answers of the dispatcher to responses.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use damsonbeam::interface::{InvocationId, RejectReason};
use hyper::body::{Body, Incoming};
use hyper::{Method, Request, StatusCode};
use tokio::sync::{mpsc, oneshot};

use super::connection::{ClientConnection, ConnectionState};
use super::upload_limit::UploadLimit;
use super::{ClientResponse, Clients, DecodedRequest, Rejection, empty_rejection};
use crate::attempts::NoneExecuted;
use crate::bodies::{self, RequestBody, ResponseBody, StreamEnd, StreamedBody};
use crate::log::log;
use crate::messages::{Answer, ForwardedRequest, ToDispatcher};
use crate::shutdown_admission::SHUTDOWN_RETRY_DELAY;
use crate::sizes::MAX_BUFFERED_BODY;

/// Time limit for an invocation whose body is still arriving. The time limit of the client starts only with the last
/// byte of the body.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(600);

impl Clients {
    /// Returns the response to a request that is rejected because the process is shutting down.
    pub(super) fn shutdown_response(&self) -> ClientResponse {
        let answer = Answer::Throttled {
            retry_after: Some(SHUTDOWN_RETRY_DELAY),
            reason: RejectReason::QueueTooLong,
            none_executed: Some(NoneExecuted::without_attempts()),
        };
        self.protocol.encode("", None, answer)
    }

    /// Counts a response in the metrics: a buffered one immediately, a streamed one when its stream ends.
    pub(super) fn count_response(
        self: &Rc<Self>,
        operation: &Arc<str>,
        answer: &mut ClientResponse,
    ) {
        let status = answer.status();
        let counter = match status {
            StatusCode::OK => &self.metrics.answered,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                &self.metrics.deferred
            }
            _ => &self.metrics.errored,
        };
        let ResponseBody::Streamed(body) = answer.body_mut() else {
            return counter.with_label_values(&[&**operation]).inc();
        };
        let (clients, operation) = (self.clone(), operation.clone());
        clients.metrics.current.inc();
        body.on_end = Some(Box::new(move |end| {
            clients.metrics.current.dec();
            let metrics = &clients.metrics;
            let counter = match end {
                StreamEnd::Broken | StreamEnd::TimedOut => &metrics.errored,
                StreamEnd::Complete | StreamEnd::Abandoned => &metrics.answered,
            };
            counter.with_label_values(&[&*operation]).inc();
        }));
    }

    /// Carries out a request as an invocation. Returns the response, or the rejection of an invalid request.
    pub(super) async fn invoke(
        &self,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Result<ClientResponse, Rejection> {
        let (head, body) = request.into_parts();
        connection.answer_limit.begin_request();
        let invocation_id = InvocationId(self.next_id.replace(self.next_id.get() + 1));
        let mut decoded = self.protocol.decode(invocation_id, &head)?;
        let body = self
            .receive_body(connection, &head.method, body, &decoded)
            .await
            .map_err(empty_rejection)?;
        let streamed = body.streamed().cloned();
        decoded.invocation.body_pending = streamed.is_some();
        // The time limit of the client starts with the last byte of the request.
        let received = self.clock.now();
        let wait = if streamed.is_some() {
            UPLOAD_TIMEOUT
        } else {
            let answer_limit = decoded.answer_limit.map(|limit| received + limit);
            connection.answer_limit.set(answer_limit);
            decoded.time_left
        };
        decoded.invocation.deadline = received + wait;
        let name = Rc::<str>::from(std::mem::take(&mut decoded.name));
        let open_invocation = self.open_invocation(&decoded, name)?;
        connection.has_sent_request.set(true);
        connection.enter(ConnectionState::AwaitingResponse, Duration::ZERO);
        let forwarded = Rc::new(ForwardedRequest {
            method: head.method,
            uri: head.uri,
            headers: std::mem::take(&mut decoded.headers),
            body,
            name: open_invocation.name.clone(),
        });
        self.protocol
            .request_accepted(&forwarded, &mut decoded.context);
        let context = decoded.context.take();
        let answer = open_invocation.dispatch(decoded, forwarded).await?;
        let latency = self.clock.now().saturating_sub(received);
        self.metrics.answer_seconds.observe(latency.as_secs_f64());
        let is_too_large = streamed.as_ref().is_some_and(|body| body.is_too_large());
        if let Some(streamed) = streamed.filter(|body| !body.is_whole()) {
            self.drain(connection, streamed);
        }
        let is_answered = matches!(answer, Answer::Succeeded(_));
        let response = self.protocol.encode(&open_invocation.name, context, answer);
        if is_too_large && !is_answered {
            return Err(empty_rejection(StatusCode::PAYLOAD_TOO_LARGE));
        }
        Ok(response)
    }

    /// Registers an invocation. A second invocation with the name of an open one is rejected: the two would share one
    /// effect, and each would receive the response of the other.
    fn open_invocation(
        &self,
        decoded: &DecodedRequest,
        name: Rc<str>,
    ) -> Result<OpenInvocation<'_>, Rejection> {
        if !self.open_invocations.borrow_mut().insert(name.clone()) {
            log!(warn, "invocation-twice", "{name}");
            return Err(empty_rejection(StatusCode::CONFLICT));
        }
        self.metrics.current.inc();
        Ok(OpenInvocation {
            invocation_id: decoded.invocation.id,
            name,
            clients: self,
            dispatcher: decoded.dispatcher.clone(),
            answered: Cell::new(false),
        })
    }

    /// Receives the body of a request: buffers a small body whole, and the beginning of a larger one.
    async fn receive_body(
        &self,
        connection: &Rc<ClientConnection>,
        method: &Method,
        mut body: Incoming,
        decoded: &DecodedRequest,
    ) -> Result<RequestBody, StatusCode> {
        if body.is_end_stream() {
            return Ok(RequestBody::Buffered(Bytes::new()));
        }
        if *method == Method::GET {
            return Err(StatusCode::BAD_REQUEST);
        }
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > self.max_body.get()) {
            self.drain(
                connection,
                self.streamed_body(Bytes::new(), body, length, || {}),
            );
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let buffered = length.map_or(MAX_BUFFERED_BODY, |length| {
            MAX_BUFFERED_BODY.min(length as usize)
        });
        let Some(reservation) = self.body_memory.reserve(buffered) else {
            log!(
                warn,
                "bodies-full",
                "memory limit for request bodies reached; rejected a body of {buffered} bytes"
            );
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        };
        connection.enter(ConnectionState::ReadingBody, self.clock.now());
        connection.body_started.set(self.clock.now());
        connection.body_bytes_received.set(0);
        let (beginning, is_whole) = bodies::read_start(&mut body, None)
            .await
            .map_err(|_| StatusCode::BAD_REQUEST)?;
        let beginning = reservation.keep(beginning);
        if beginning.len() as u64 > self.max_body.get() {
            if !is_whole {
                let rest = self.streamed_body(Bytes::new(), body, length, || {});
                self.drain(connection, rest);
            }
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        if is_whole {
            return Ok(RequestBody::Buffered(beginning));
        }
        let streamed = self.streamed_body(
            beginning,
            body,
            length,
            self.report_completion(connection, decoded),
        );
        self.watch_upload(connection, &streamed, decoded);
        Ok(RequestBody::Streamed(streamed))
    }

    /// Starts the checks of an upload: whether it is held up for too long, and whether its client has left.
    fn watch_upload(
        &self,
        connection: &Rc<ClientConnection>,
        body: &Rc<StreamedBody>,
        decoded: &DecodedRequest,
    ) {
        let Some(limit) = decoded.answer_limit else {
            return;
        };
        connection.upload.replace(Rc::downgrade(body));
        let upload_limit = UploadLimit {
            body: Rc::downgrade(body),
            connection: Rc::downgrade(connection),
            limit,
            invocation_id: decoded.invocation.id,
            dispatcher: decoded.dispatcher.clone(),
            clock: self.clock,
        };
        tokio::task::spawn_local(upload_limit.watch());
    }

    fn streamed_body(
        &self,
        beginning: Bytes,
        rest: Incoming,
        length: Option<u64>,
        on_complete: impl FnOnce() + 'static,
    ) -> Rc<StreamedBody> {
        let max_bytes = self.max_body.get();
        StreamedBody::new(beginning, rest, length, max_bytes, Box::new(on_complete))
    }

    /// Reads and discards the rest of a body that is not needed, so that the client goes on to read its answer. The
    /// connection is closed after the answer.
    fn drain(&self, connection: &ClientConnection, body: Rc<StreamedBody>) {
        connection.request_body_unread.set(true);
        tokio::task::spawn_local(async move { body.drain().await });
    }

    /// Returns a callback for the arrival of the body's last byte: starts the limit of the answer, and reports the
    /// deadline to the dispatcher.
    fn report_completion(
        &self,
        connection: &Rc<ClientConnection>,
        decoded: &DecodedRequest,
    ) -> impl FnOnce() + use<> {
        // Not kept open by a body that outlives it.
        let connection = Rc::downgrade(connection);
        let invocation_id = decoded.invocation.id;
        let dispatcher = decoded.dispatcher.clone();
        let clock = self.clock;
        let (time_left, answer_limit) = (decoded.time_left, decoded.answer_limit);
        move || {
            let now = clock.now();
            let answer_limit = answer_limit.map(|limit| now + limit);
            if let Some(connection) = connection.upgrade() {
                connection.answer_limit.set(answer_limit);
            }
            let message = ToDispatcher::BodyComplete {
                invocation_id,
                deadline: now + time_left,
            };
            send_without_waiting(&dispatcher, message);
        }
    }
}

/// Sends a message without waiting; if the mailbox is full, a separate task sends it.
pub(super) fn send_without_waiting(dispatcher: &mpsc::Sender<ToDispatcher>, message: ToDispatcher) {
    if let Err(mpsc::error::TrySendError::Full(message)) = dispatcher.try_send(message) {
        let dispatcher = dispatcher.clone();
        tokio::task::spawn_local(async move { dispatcher.send(message).await.ok() });
    }
}

/// An invocation that is at the dispatcher. If it is dropped without an answer, the client has disconnected.
struct OpenInvocation<'a> {
    invocation_id: InvocationId,
    name: Rc<str>,
    clients: &'a Clients,
    dispatcher: mpsc::Sender<ToDispatcher>,
    answered: Cell<bool>,
}

impl OpenInvocation<'_> {
    /// Sends the invocation to the dispatcher and waits for its answer.
    async fn dispatch(
        &self,
        decoded: DecodedRequest,
        request: Rc<ForwardedRequest>,
    ) -> Result<Answer, Rejection> {
        let (reply_to, answered) = oneshot::channel();
        let message = ToDispatcher::Invocation {
            invocation: decoded.invocation,
            time_left: decoded.time_left,
            repeatable: decoded.repeatable,
            request,
            reply_to,
        };
        let sent = self.dispatcher.send(message).await;
        if sent.is_err() {
            self.answered.set(true);
            return Err(empty_rejection(StatusCode::SERVICE_UNAVAILABLE));
        }
        let answer = answered.await.unwrap_or(Answer::Errored);
        self.answered.set(true);
        Ok(answer)
    }
}

impl Drop for OpenInvocation<'_> {
    fn drop(&mut self) {
        self.clients
            .open_invocations
            .borrow_mut()
            .remove(&self.name);
        self.clients.metrics.current.dec();
        if !self.answered.get() {
            let message = ToDispatcher::ClientDisconnected {
                invocation_id: self.invocation_id,
            };
            send_without_waiting(&self.dispatcher, message);
        }
    }
}
