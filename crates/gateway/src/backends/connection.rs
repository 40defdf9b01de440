//! A connection to a backend. It carries one attempt at a time and tracks how much of the request was written.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
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
use crate::attempts::ConnectionId;
use crate::bodies::Upload;
use crate::messages::{ForwardedRequest, Socket};
use crate::name_hash::hash_name;
use crate::sizes::MAX_HEAD;
use crate::write_meter::WriteMeter;

/// Number of requests for which a connection keeps the names. A late answer that more of them have overtaken would have
/// been read as the answer to one of these, which closes the connection.
const MAX_CARRIED_REQUESTS: usize = 64;

/// The socket that hyper reads and writes. Attempts hold weak references only, so the socket closes as soon as
/// hyper drops it.
struct MeteredSocket {
    socket: Rc<Socket>,
    meter: Rc<WriteMeter>,
    sends: IntCounter,
    _open_guard: OpenConnectionGuard,
}

/// Guard that counts an open connection until it is dropped.
struct OpenConnectionGuard(Rc<Cell<usize>>);

impl OpenConnectionGuard {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        OpenConnectionGuard(open.clone())
    }
}

impl Drop for OpenConnectionGuard {
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
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut *self.socket.stream.borrow_mut()).poll_read(cx, buf))?;
        if buf.filled().len() == filled_before && self.socket.is_cut() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut *self.socket.stream.borrow_mut()).poll_write(cx, bytes))?;
        let was_complete = self.meter.is_complete();
        self.meter.record_written(&bytes[..n]);
        if !was_complete && self.meter.is_complete() {
            self.sends.inc();
        }
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.stream.borrow_mut()).poll_shutdown(cx)
    }
}

/// A connection that carries one attempt at a time.
pub(super) struct BackendConnection {
    pub(super) id: ConnectionId,
    pub(super) send: SendRequest<Upload>,
    pub(super) socket: Weak<Socket>,
    pub(super) meter: Rc<WriteMeter>,
    carried: RefCell<CarriedRequests>,
}

/// The hashes of the names of the requests that a connection carried most recently, oldest first.
#[derive(Default)]
struct CarriedRequests(VecDeque<u64>);

impl CarriedRequests {
    fn record(&mut self, name: &str) {
        if self.0.len() == MAX_CARRIED_REQUESTS {
            self.0.pop_front();
        }
        self.0.push_back(hash_name(name));
    }

    fn contains(&self, name: &str) -> bool {
        self.0.contains(&hash_name(name))
    }
}

impl BackendConnection {
    /// Prepares the connection for an attempt of a request.
    pub(super) fn start_request(&self, request: &ForwardedRequest) {
        // With an unknown length, the last byte of a body is known only at the end of its stream.
        let length = request.body.length();
        let body_bytes = length.map_or(usize::MAX, |length| length as usize);
        self.meter.start_request(body_bytes);
        self.carried.borrow_mut().record(&request.name);
    }

    /// Returns whether the connection recently carried a request with this name. It must not carry another: a late answer
    /// to the first could not be told from the answer to the second.
    pub(super) fn has_carried(&self, name: &str) -> bool {
        self.carried.borrow().contains(name)
    }

    /// Returns whether the connection can carry another attempt: it is open and has no unread input.
    ///
    /// Input that arrived after the last response would be read as the response to the next request. Hyper notices such
    /// input only after the I/O driver has reported the socket as readable, so the socket is checked here directly.
    pub(super) fn is_reusable(&self) -> bool {
        let has_no_input = |socket: Rc<Socket>| {
            let peeked = SockRef::from(&*socket.stream.borrow()).peek(&mut [MaybeUninit::uninit()]);
            peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
        };
        !self.send.is_closed() && self.socket.upgrade().is_some_and(has_no_input)
    }
}

/// Reasons why no connection to a backend could be opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    #[error("connection limit reached: {0} connections are open")]
    TooManyConnections(usize),
    #[error("connection attempt timed out")]
    TimedOut,
    #[error(transparent)]
    Socket(#[from] io::Error),
    #[error(transparent)]
    Handshake(#[from] hyper::Error),
}

/// Opens a connection to a backend, closing the longest idle one if the limit is reached.
pub(super) async fn connect(
    pools: &ConnectionPools,
    address: SocketAddr,
) -> Result<BackendConnection, ConnectError> {
    if !pools.make_room().await {
        return Err(ConnectError::TooManyConnections(pools.max_connections));
    }
    let open_guard = OpenConnectionGuard::new(&pools.open_connections);
    let socket = timeout(pools.connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::TimedOut)??;
    socket.set_nodelay(true)?;
    let socket = Rc::new(Socket::new(socket));
    let meter = Rc::<WriteMeter>::default();
    let metered = MeteredSocket {
        socket: socket.clone(),
        meter: meter.clone(),
        sends: pools.metrics.sends.clone(),
        _open_guard: open_guard,
    };
    let (send, driver) = Builder::new()
        .max_buf_size(MAX_HEAD)
        .handshake(TokioIo::new(metered))
        .await?;
    tokio::task::spawn_local(async move { driver.await.ok() });
    Ok(BackendConnection {
        id: pools.next_connection_id(),
        send,
        socket: Rc::downgrade(&socket),
        meter,
        carried: RefCell::default(),
    })
}
