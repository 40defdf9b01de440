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

use super::Patience;
use crate::bodies::CLIENT_SILENT;
use crate::clock::Clock;
use crate::heads::Heads;

/// A body may be slow, but not silent ([`CLIENT_SILENT`]), nor slower than so many bytes a second once it has
/// come for a while: a byte now and then would hold its place for good.
const SLOW_FOR: Duration = Duration::from_secs(5);
const SLOWEST: u64 = 16 << 10;
/// A client that takes nothing of an answer that is streamed to it for this long is held for gone: at 64 kB
/// a second a socket's buffer of megabytes frees room only every ten seconds or so.
const UNREAD: Duration = Duration::from_secs(30);

/// What a client's connection waits for.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Awaits {
    /// Its first request, whole.
    New,
    /// The rest of a later request.
    Asking,
    /// A request's body.
    Giving,
    /// That the last byte of our answer is handed to the system.
    Taking,
    /// Our answer.
    Held,
    /// The next request.
    Quiet,
}

/// A client's connection: its stand, since when, and whether it ever brought an invocation.
pub(super) struct Conn {
    pub(super) socket: Rc<RefCell<TcpStream>>,
    pub(super) stand: Cell<Awaits>,
    pub(super) since: Cell<Duration>,
    /// When its request's body began to come, and bytes of it so far.
    pub(super) began: Cell<Duration>,
    pub(super) came: Cell<u64>,
    pub(super) proven: Cell<bool>,
    pub(super) heads: RefCell<Heads>,
    /// To be closed: after what is open on it, or at once.
    pub(super) close: Notify,
    pub(super) at_once: Cell<bool>,
    /// The answer has come whole from its backend; its last bytes may still wait to be written.
    pub(super) given: Cell<bool>,
    /// Its request's body was not read to the end: its answer ends the connection.
    pub(super) unread: Cell<bool>,
    pub(super) patience: Rc<Cell<Patience>>,
}

impl Conn {
    pub(super) fn turn(&self, stand: Awaits, now: Duration) {
        self.stand.set(stand);
        self.since.set(now);
    }

    /// Whether no whole request is on it, and no answer.
    pub(super) fn is_free(&self) -> bool {
        matches!(
            self.stand.get(),
            Awaits::New | Awaits::Asking | Awaits::Quiet
        )
    }

    /// When its client's time for this stand is over.
    pub(super) fn due(&self) -> Option<Duration> {
        match self.stand.get() {
            Awaits::New | Awaits::Asking => Some(self.since.get() + self.patience.get().whole),
            Awaits::Giving => {
                let paid = Duration::from_millis(self.came.get() * 1000 / SLOWEST);
                Some((self.since.get() + CLIENT_SILENT).min(self.began.get() + SLOW_FOR + paid))
            }
            Awaits::Taking => Some(self.since.get() + UNREAD),
            Awaits::Quiet => Some(self.since.get() + self.patience.get().quiet),
            Awaits::Held => None,
        }
    }
}

/// A client's socket, with an ear on what comes in.
pub(super) struct ObservedSocket {
    pub(super) socket: Rc<RefCell<TcpStream>>,
    pub(super) conn: Rc<Conn>,
    pub(super) clock: Clock,
}

impl ObservedSocket {
    /// A client that goes on reading its answer, however slowly, is not quiet yet.
    fn wrote(&self) {
        if matches!(self.conn.stand.get(), Awaits::Quiet | Awaits::Taking) {
            self.conn.since.set(self.clock.now());
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
        let came = &buf.filled()[before..];
        match self.conn.stand.get() {
            Awaits::Quiet if !came.is_empty() => self.conn.turn(Awaits::Asking, self.clock.now()),
            Awaits::Giving => {
                self.conn.since.set(self.clock.now());
                self.conn.came.set(self.conn.came.get() + came.len() as u64);
            }
            _ => {}
        }
        self.conn.heads.borrow_mut().came(came);
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
        if self.conn.stand.get() == Awaits::Taking && self.conn.given.get() {
            self.conn.turn(Awaits::Quiet, self.clock.now());
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
