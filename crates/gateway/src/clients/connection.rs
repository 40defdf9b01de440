//! State and timeouts of a client connection, and the socket wrapper that tracks them.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Sleep, sleep, sleep_until};

use super::ClientTimeouts;
use super::answer_limit::AnswerLimit;
use crate::bodies::{CLIENT_SILENCE_TIMEOUT, StreamedBody};
use crate::clock::Clock;
use crate::log::log;
use crate::request_heads::HeadScanner;

/// Time after the start of a request body from which its average rate must be at least [`MIN_BODY_BYTES_PER_S`].
const SLOW_BODY_GRACE: Duration = Duration::from_secs(5);
/// Minimum average rate of a request body. The limit on pauses ([`CLIENT_SILENCE_TIMEOUT`]) is not enough: a client that
/// sends a byte now and then would keep its connection for ever.
const MIN_BODY_BYTES_PER_S: u64 = 16 << 10;
/// Time without progress in writing a response after which the client counts as disconnected. A client that reads 64 kB
/// a second frees space in a socket buffer of several megabytes only about every ten seconds.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval of the checks whether the client of an upload has left.
const DEPARTURE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// State of a client connection.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ConnectionState {
    /// Waiting for the whole head of the first request.
    New,
    /// Waiting for the rest of the head of a later request.
    ReadingHead,
    /// Waiting for the body of a request.
    ReadingBody,
    /// Writing the response until its last byte is handed to the operating system.
    WritingResponse,
    /// Waiting for the response to a request.
    AwaitingResponse,
    /// Waiting for the next request.
    Idle,
}

/// A client connection and its state.
pub(super) struct ClientConnection {
    pub(super) socket: Rc<RefCell<TcpStream>>,
    pub(super) state: Cell<ConnectionState>,
    /// Start of the state, or the last progress in it.
    pub(super) state_since: Cell<Duration>,
    /// When the current request body started.
    pub(super) body_started: Cell<Duration>,
    /// Bytes of the current request body received so far.
    pub(super) body_bytes_received: Cell<u64>,
    /// Whether the connection has ever carried an invocation.
    pub(super) has_sent_request: Cell<bool>,
    pub(super) heads: RefCell<HeadScanner>,
    /// Requests a close after the current request.
    pub(super) close: Notify,
    /// Requests an immediate close.
    pub(super) close_now: Cell<bool>,
    /// Whether the whole response has been received from the backend; its last bytes may not be written yet.
    pub(super) response_complete: Cell<bool>,
    /// Whether the request body was not read to its end, so that the connection is closed after the response.
    pub(super) request_body_unread: Cell<bool>,
    /// The request body that is being received, if it is streamed.
    pub(super) upload: RefCell<Weak<StreamedBody>>,
    /// The limit of the answer to the current request.
    pub(super) answer_limit: AnswerLimit,
    pub(super) timeouts: Rc<Cell<ClientTimeouts>>,
}

impl ClientConnection {
    /// Changes the state.
    pub(super) fn enter(&self, state: ConnectionState, now: Duration) {
        self.state.set(state);
        self.state_since.set(now);
    }

    /// Returns whether the connection has neither a complete request head nor a response in progress.
    pub(super) fn has_no_request(&self) -> bool {
        matches!(
            self.state.get(),
            ConnectionState::New | ConnectionState::ReadingHead | ConnectionState::Idle
        )
    }

    /// Prepares the socket for its end. `result` is that of serving the connection; `None` if the connection is closed
    /// before it has ended.
    pub(super) fn finish(&self, result: Option<hyper::Result<()>>) {
        match result {
            // The body of the answer broke off.
            Some(Err(e)) if e.is_user() => self.reset_on_close(),
            Some(Err(e)) if e.is_parse() => log!(warn, "client-malformed", "{e}"),
            None if self.state.get() == ConnectionState::WritingResponse => self.reset_on_close(),
            _ => {}
        }
    }

    /// Makes the connection end with a reset: a client of HTTP/1.0 may know the end of its answer by the end of the
    /// connection alone, and would take a broken answer for a whole one.
    fn reset_on_close(&self) {
        let socket = self.socket.borrow();
        SockRef::from(&*socket)
            .set_linger(Some(Duration::ZERO))
            .ok();
    }

    /// Returns when the timeout of the current state expires, if it has one.
    pub(super) fn deadline(&self) -> Option<Duration> {
        match self.state.get() {
            ConnectionState::New | ConnectionState::ReadingHead => {
                Some(self.state_since.get() + self.timeouts.get().request_head)
            }
            ConnectionState::ReadingBody => {
                let transfer_time = Duration::from_millis(
                    self.body_bytes_received.get() * 1000 / MIN_BODY_BYTES_PER_S,
                );
                Some(
                    (self.state_since.get() + CLIENT_SILENCE_TIMEOUT)
                        .min(self.body_started.get() + SLOW_BODY_GRACE + transfer_time),
                )
            }
            ConnectionState::WritingResponse => {
                let write_deadline = self.state_since.get() + WRITE_TIMEOUT;
                let limit = self.answer_deadline().unwrap_or(write_deadline);
                Some(write_deadline.min(limit))
            }
            ConnectionState::Idle => {
                Some(self.state_since.get() + self.timeouts.get().idle_connection)
            }
            ConnectionState::AwaitingResponse => None,
        }
    }
}

impl ClientConnection {
    /// Returns when the answer is cut off if its backend has not sent all of it by then.
    fn answer_deadline(&self) -> Option<Duration> {
        let limit = self.answer_limit.expires_at();
        limit.filter(|_| !self.response_complete.get())
    }

    /// Records that the answer is cut off at its limit, if that is the deadline that has passed.
    fn mark_exceeded_limit(&self, passed: Duration) {
        let is_writing = self.state.get() == ConnectionState::WritingResponse;
        if is_writing && self.answer_deadline() == Some(passed) {
            self.answer_limit.exceeded_mark().set(true);
        }
    }
}

/// Timer for the deadline of a connection, which changes with its state.
pub(super) struct DeadlineTimer {
    clock: Clock,
    armed: Option<Duration>,
    sleep: Pin<Box<Sleep>>,
}

impl DeadlineTimer {
    pub(super) fn new(connection: &ClientConnection, clock: Clock) -> Self {
        let armed = connection.deadline();
        let instant = clock.to_instant(armed.unwrap_or_default());
        DeadlineTimer {
            clock,
            armed,
            sleep: Box::pin(sleep_until(instant)),
        }
    }

    /// Returns ready once the connection's present deadline has passed.
    pub(super) fn poll(&mut self, connection: &ClientConnection, cx: &mut Context) -> Poll<()> {
        let Some(deadline) = connection.deadline() else {
            return Poll::Pending;
        };
        if self.armed != Some(deadline) {
            self.armed = Some(deadline);
            let instant = self.clock.to_instant(deadline);
            self.sleep.as_mut().reset(instant);
        }
        ready!(self.sleep.as_mut().poll(cx));
        connection.mark_exceeded_limit(deadline);
        Poll::Ready(())
    }
}

impl ClientConnection {
    /// Returns whether a streamed request body is still being received and not answered yet, so that the end of the
    /// client's input breaks it off.
    fn has_upload_under_way(&self) -> bool {
        let upload = self.upload.borrow().upgrade();
        let is_under_way = upload.is_some_and(|body| body.is_under_way());
        is_under_way && self.state.get() == ConnectionState::AwaitingResponse
    }

    /// Returns whether the client has ended its input, also behind data that is not read yet.
    fn is_input_ended(&self, cx: &mut Context) -> bool {
        let socket = self.socket.borrow();
        let mut readiness = pin!(socket.ready(Interest::READABLE));
        match readiness.as_mut().poll(cx) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }
}

/// Periodic check whether the client of an upload has left. While a backend takes no more of the body, the gateway reads
/// nothing from the client and does not see the end of its input otherwise.
#[derive(Default)]
pub(super) struct DepartureCheck {
    /// `None` while no upload is under way.
    next: Option<Pin<Box<Sleep>>>,
}

impl DepartureCheck {
    /// Returns ready once the client has left in the middle of its upload.
    pub(super) fn poll(&mut self, connection: &ClientConnection, cx: &mut Context) -> Poll<()> {
        if !connection.has_upload_under_way() {
            self.next = None;
            return Poll::Pending;
        }
        let next = self
            .next
            .get_or_insert_with(|| Box::pin(sleep(DEPARTURE_CHECK_INTERVAL)));
        while next.as_mut().poll(cx).is_ready() {
            if connection.is_input_ended(cx) {
                return Poll::Ready(());
            }
            *next = Box::pin(sleep(DEPARTURE_CHECK_INTERVAL));
        }
        Poll::Pending
    }
}

/// Socket of a client that updates the state of its connection on reads and writes.
pub(super) struct ObservedSocket {
    pub(super) socket: Rc<RefCell<TcpStream>>,
    pub(super) connection: Rc<ClientConnection>,
    pub(super) clock: Clock,
}

impl ObservedSocket {
    /// Records progress in writing: a client that still reads its response, however slowly, is not idle.
    fn record_write(&self) {
        if matches!(
            self.connection.state.get(),
            ConnectionState::Idle | ConnectionState::WritingResponse
        ) {
            self.connection.state_since.set(self.clock.now());
        }
    }
}

/// Returns whether the socket has unread input, which would be lost if the connection were closed now.
pub(super) fn has_unread_input(socket: &RefCell<TcpStream>) -> bool {
    let peeked = SockRef::from(&*socket.borrow()).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_ok_and(|n| n > 0)
}

impl AsyncRead for ObservedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut *self.socket.borrow_mut()).poll_read(cx, buf))?;
        let received = &buf.filled()[filled_before..];
        match self.connection.state.get() {
            ConnectionState::Idle if !received.is_empty() => self
                .connection
                .enter(ConnectionState::ReadingHead, self.clock.now()),
            ConnectionState::ReadingBody => {
                self.connection.state_since.set(self.clock.now());
                self.connection
                    .body_bytes_received
                    .set(self.connection.body_bytes_received.get() + received.len() as u64);
            }
            _ => {}
        }
        self.connection.heads.borrow_mut().scan(received);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, bytes))?;
        self.record_write();
        Poll::Ready(Ok(n))
    }

    /// Marks the response as written: hyper flushes after it has written all of its buffer.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        if self.connection.state.get() == ConnectionState::WritingResponse
            && self.connection.response_complete.get()
        {
            self.connection
                .enter(ConnectionState::Idle, self.clock.now());
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut *self.socket.borrow_mut()).poll_write_vectored(cx, bytes))?;
        self.record_write();
        Poll::Ready(Ok(n))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
