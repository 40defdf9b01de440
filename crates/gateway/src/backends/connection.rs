//! A connection to a backend: it carries one attempt at a time, and counts what of it was written.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};

use damsonbeam_admin::IntCounter;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::connection_pools::ConnectionPools;
use crate::bodies::Upload;
use crate::messages::Socket;
use crate::sizes::HEAD;
use crate::write_meter::WriteMeter;

/// A connection as hyper drives it. Attempts only borrow the socket, so it closes when hyper lets it go.
struct MeteredSocket {
    socket: Rc<Socket>,
    meter: Rc<WriteMeter>,
    sends: IntCounter,
    _open: OpenCount,
}

/// Counts open connections.
struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        OpenCount(open.clone())
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl AsyncRead for MeteredSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_read(cx, buf)
    }
}

impl AsyncWrite for MeteredSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, bytes))?;
        let before = self.meter.is_complete();
        self.meter.wrote(&bytes[..n]);
        if !before && self.meter.is_complete() {
            self.sends.inc();
        }
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_shutdown(cx)
    }
}

/// A connection that carries one attempt at a time.
pub(super) struct BackendConnection {
    pub(super) send: SendRequest<Upload>,
    pub(super) socket: Weak<Socket>,
    pub(super) meter: Rc<WriteMeter>,
}

impl BackendConnection {
    /// Whether it can carry an attempt: open, and with nothing on it that came since the last. What came
    /// since would be taken for the next one's answer; hyper sees it only once the poller has told of it.
    pub(super) fn is_reusable(&self) -> bool {
        let silent = |socket: Rc<Socket>| {
            let peeked = SockRef::from(&*socket.borrow()).peek(&mut [MaybeUninit::uninit()]);
            peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
        };
        !self.send.is_closed() && self.socket.upgrade().is_some_and(silent)
    }
}

/// Why there is no connection to a backend.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    #[error("{0} connections are open")]
    NoRoom(usize),
    #[error("no connection in time")]
    TimedOut,
    #[error(transparent)]
    Socket(#[from] io::Error),
    #[error(transparent)]
    Handshake(#[from] hyper::Error),
}

/// Opens a connection to a backend.
pub(super) async fn connect(
    pools: &ConnectionPools,
    address: SocketAddr,
) -> Result<BackendConnection, ConnectError> {
    if !pools.make_room().await {
        return Err(ConnectError::NoRoom(pools.max_open));
    }
    let open = OpenCount::new(&pools.open);
    let socket = timeout(pools.connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::TimedOut)??;
    socket.set_nodelay(true)?;
    let socket = Rc::new(RefCell::new(socket));
    let meter = Rc::<WriteMeter>::default();
    let metered = MeteredSocket {
        socket: socket.clone(),
        meter: meter.clone(),
        sends: pools.figures.sends.clone(),
        _open: open,
    };
    let (send, driver) = Builder::new()
        .max_buf_size(HEAD)
        .handshake(TokioIo::new(metered))
        .await?;
    tokio::task::spawn_local(async move { driver.await.ok() });
    Ok(BackendConnection {
        send,
        socket: Rc::downgrade(&socket),
        meter,
    })
}
