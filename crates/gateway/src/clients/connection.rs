//! A client's connection: what it waits for, how long it may, and an ear on what comes in.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::ClientTimeouts;
use crate::bodies::CLIENT_SILENCE_TIMEOUT;
use crate::clock::Clock;
use crate::request_heads::HeadScanner;

/// A body may be slow, but not silent ([`CLIENT_SILENCE_TIMEOUT`]), nor slower than so many bytes a second once it has
/// come for a while: a byte now and then would hold its place for good.
const SLOW_BODY_GRACE: Duration = Duration::from_secs(5);
const MIN_BYTES_PER_S: u64 = 16 << 10;
/// A client that takes nothing of an answer that is streamed to it for this long is held for gone: at 64 kB
/// a second a socket's buffer of megabytes frees room only every ten seconds or so.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// What a client's connection waits for.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ConnectionState {
    /// Its first request, whole.
    New,
    /// The rest of a later request.
    ReadingHead,
    /// A request's body.
    ReadingBody,
    /// That the last byte of our answer is handed to the system.
    WritingResponse,
    /// Our answer.
    AwaitingResponse,
    /// The next request.
    Idle,
}

/// A client's connection: its stand, since when, and whether it ever brought an invocation.
pub(super) struct ClientConnection {
    pub(super) socket: Rc<RefCell<TcpStream>>,
    pub(super) state: Cell<ConnectionState>,
    pub(super) since: Cell<Duration>,
    /// When its request's body began to come, and bytes of it so far.
    pub(super) started: Cell<Duration>,
    pub(super) received: Cell<u64>,
    pub(super) has_sent_request: Cell<bool>,
    pub(super) heads: RefCell<HeadScanner>,
    /// To be closed: after what is open on it, or at once.
    pub(super) close: Notify,
    pub(super) close_now: Cell<bool>,
    /// The answer has come whole from its backend; its last bytes may still wait to be written.
    pub(super) response_complete: Cell<bool>,
    /// Its request's body was not read to the end: its answer ends the connection.
    pub(super) unread: Cell<bool>,
    pub(super) timeouts: Rc<Cell<ClientTimeouts>>,
}

impl ClientConnection {
    pub(super) fn enter(&self, state: ConnectionState, now: Duration) {
        self.state.set(state);
        self.since.set(now);
    }

    /// Whether no whole request is on it, and no answer.
    pub(super) fn is_free(&self) -> bool {
        matches!(
            self.state.get(),
            ConnectionState::New | ConnectionState::ReadingHead | ConnectionState::Idle
        )
    }

    /// When its client's time for this stand is over.
    pub(super) fn due(&self) -> Option<Duration> {
        match self.state.get() {
            ConnectionState::New | ConnectionState::ReadingHead => {
                Some(self.since.get() + self.timeouts.get().head)
            }
            ConnectionState::ReadingBody => {
                let paid = Duration::from_millis(self.received.get() * 1000 / MIN_BYTES_PER_S);
                Some(
                    (self.since.get() + CLIENT_SILENCE_TIMEOUT)
                        .min(self.started.get() + SLOW_BODY_GRACE + paid),
                )
            }
            ConnectionState::WritingResponse => Some(self.since.get() + UNREAD_TIMEOUT),
            ConnectionState::Idle => Some(self.since.get() + self.timeouts.get().idle),
            ConnectionState::AwaitingResponse => None,
        }
    }
}

/// A client's socket, with an ear on what comes in.
pub(super) struct ObservedSocket {
    pub(super) socket: Rc<RefCell<TcpStream>>,
    pub(super) connection: Rc<ClientConnection>,
    pub(super) clock: Clock,
}

impl ObservedSocket {
    /// A client that goes on reading its answer, however slowly, is not quiet yet.
    fn wrote(&self) {
        if matches!(
            self.connection.state.get(),
            ConnectionState::Idle | ConnectionState::WritingResponse
        ) {
            self.connection.since.set(self.clock.now());
        }
    }
}

/// Whether something has come that nobody has read yet: closed now, it would be lost.
pub(super) fn unread(socket: &RefCell<TcpStream>) -> bool {
    let peeked = SockRef::from(&*socket.borrow()).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_ok_and(|n| n > 0)
}

impl AsyncRead for ObservedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut *self.socket.borrow_mut()).poll_read(cx, buf))?;
        let received = &buf.filled()[before..];
        match self.connection.state.get() {
            ConnectionState::Idle if !received.is_empty() => self
                .connection
                .enter(ConnectionState::ReadingHead, self.clock.now()),
            ConnectionState::ReadingBody => {
                self.connection.since.set(self.clock.now());
                self.connection
                    .received
                    .set(self.connection.received.get() + received.len() as u64);
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
        self.wrote();
        Poll::Ready(Ok(n))
    }

    /// Hyper flushes once all that it holds is written.
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
        self.wrote();
        Poll::Ready(Ok(n))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
