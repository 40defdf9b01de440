//! Simulated clients, each with its own bounded connection pool and a queue for invocations that wait for a connection,
//! or with a new connection for each invocation. The result of each try depends on how much of the answer arrived.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::profile::ClientOptions;

/// Final result of a try or an invocation, as the client observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum InvocationResult {
    /// A complete answer with status 200.
    Succeeded,
    /// A complete answer with status 429 or 503.
    Throttled,
    /// A complete answer with any other status, mostly 5xx.
    Errored,
    /// The connection closed before the first byte of the answer.
    BrokenBefore,
    /// The connection closed within the head of the answer.
    BrokenHead,
    /// The connection closed within the body of the answer.
    BrokenBody,
    /// No complete answer arrived before the client timeout (`patience`).
    TimedOut,
    /// No connection could be opened, or none became free in time; the gateway never received the invocation.
    NotSent,
}

impl InvocationResult {
    /// All values, in the order of the table columns.
    pub const ALL: [InvocationResult; 8] = [
        InvocationResult::Succeeded,
        InvocationResult::Throttled,
        InvocationResult::Errored,
        InvocationResult::BrokenBefore,
        InvocationResult::BrokenHead,
        InvocationResult::BrokenBody,
        InvocationResult::TimedOut,
        InvocationResult::NotSent,
    ];

    /// Returns the column name in tables.
    pub fn name(self) -> &'static str {
        match self {
            InvocationResult::Succeeded => "succeeded",
            InvocationResult::Throttled => "throttled",
            InvocationResult::Errored => "errored",
            InvocationResult::BrokenBefore => "broken_before",
            InvocationResult::BrokenHead => "broken_head",
            InvocationResult::BrokenBody => "broken_body",
            InvocationResult::TimedOut => "none",
            InvocationResult::NotSent => "not_taken",
        }
    }

    /// Returns whether a complete answer arrived, with any status.
    pub fn is_complete(self) -> bool {
        matches!(
            self,
            InvocationResult::Succeeded | InvocationResult::Throttled | InvocationResult::Errored
        )
    }

    /// Returns whether the gateway may have received the invocation and no complete answer arrived.
    pub fn is_lost(self) -> bool {
        !self.is_complete() && self != InvocationResult::NotSent
    }
}

/// A TCP stream that counts the bytes read, to determine where a broken answer ended.
struct CountingStream {
    socket: TcpStream,
    bytes_read: Arc<AtomicU64>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        self.bytes_read
            .fetch_add((buf.filled().len() - before) as u64, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// An open connection and the number of bytes read from it.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    bytes_read: Arc<AtomicU64>,
}

impl Connection {
    async fn open(address: SocketAddr) -> Option<Connection> {
        let socket = TcpStream::connect(address).await.ok()?;
        socket.set_nodelay(true).ok();
        let bytes_read = Arc::<AtomicU64>::default();
        let stream = CountingStream {
            socket,
            bytes_read: bytes_read.clone(),
        };
        let (sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(driver);
        Some(Connection { sender, bytes_read })
    }
}

/// The result of one try.
pub struct TryResult {
    /// The answer, or how it failed.
    pub result: InvocationResult,
    /// Delay in the `Retry-After` header of the answer.
    pub retry_after: Option<Duration>,
}

/// A simulated client with its idle connections by gateway, its queue and its retry budget.
pub struct Client {
    options: ClientOptions,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    /// Limits the open connections; invocations that wait for a permit form the queue.
    connection_permits: Semaphore,
    retry_budget: Mutex<f64>,
    /// Number of connections opened so far.
    pub opened_connections: AtomicU64,
}

/// Maximum number of retries that a retry budget accumulates.
const MAX_SAVED_RETRIES: f64 = 10.0;

impl Client {
    /// Creates a client without connections and with a full retry budget.
    pub fn new(options: &ClientOptions) -> Client {
        Client {
            connection_permits: Semaphore::new(
                options
                    .connections
                    .filter(|n| *n > 0)
                    .unwrap_or(Semaphore::MAX_PERMITS),
            ),
            options: options.clone(),
            idle: Mutex::default(),
            retry_budget: Mutex::new(MAX_SAVED_RETRIES),
            opened_connections: AtomicU64::new(0),
        }
    }

    /// Adds the credit of a first try to the retry budget.
    pub fn add_retry_credit(&self) {
        let mut budget = self.retry_budget.lock().unwrap_or_else(|e| e.into_inner());
        *budget = (*budget + self.options.budget.unwrap_or_default()).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget and returns whether the client may retry; returns true where there is no budget.
    pub fn take_retry_credit(&self) -> bool {
        let mut budget = self.retry_budget.lock().unwrap_or_else(|e| e.into_inner());
        if self.options.budget.is_some() && *budget < 1.0 {
            return false;
        }
        *budget -= if self.options.budget.is_some() {
            1.0
        } else {
            0.0
        };
        true
    }

    /// Removes an idle connection to `gateway` from the pool; discards closed connections.
    fn take_idle(&self, gateway: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let connections = idle.get_mut(&gateway)?;
        while let Some(connection) = connections.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Sends one try to `gateway`: waits for a connection permit, sends the request and reads the complete answer.
    /// Where the gateway closes a reused connection before the first byte of the answer, the request is sent again on a
    /// new connection, because an idle connection may close at any time; the answer does not count as lost.
    pub async fn send(
        &self,
        gateway: SocketAddr,
        request: impl Fn() -> Request<Empty<Bytes>>,
    ) -> TryResult {
        let without_delay = |result| TryResult {
            result,
            retry_after: None,
        };
        let Ok(_permit) = self.connection_permits.acquire().await else {
            return without_delay(InvocationResult::NotSent);
        };
        let pooled = self.options.connections != Some(0);
        let mut idle_connection = self.take_idle(gateway).filter(|_| pooled);
        loop {
            let reused = idle_connection.is_some();
            let mut connection = match idle_connection.take() {
                Some(connection) => connection,
                None => {
                    self.opened_connections.fetch_add(1, Ordering::Relaxed);
                    match Connection::open(gateway).await {
                        Some(connection) => connection,
                        None => return without_delay(InvocationResult::NotSent),
                    }
                }
            };
            let bytes_before = connection.bytes_read.load(Ordering::Relaxed);
            let response = match connection.sender.send_request(request()).await {
                Ok(response) => response,
                Err(_) if connection.bytes_read.load(Ordering::Relaxed) > bytes_before => {
                    return without_delay(InvocationResult::BrokenHead);
                }
                Err(_) if reused => continue,
                Err(_) => return without_delay(InvocationResult::BrokenBefore),
            };
            let (head, body) = response.into_parts();
            let retry_after = head
                .headers
                .get("retry-after")
                .and_then(|v| v.to_str().ok()?.parse().ok());
            if body.collect().await.is_err() {
                return without_delay(InvocationResult::BrokenBody);
            }
            let result = match head.status.as_u16() {
                200 => InvocationResult::Succeeded,
                429 | 503 => InvocationResult::Throttled,
                _ => InvocationResult::Errored,
            };
            let closes = head
                .headers
                .get("connection")
                .is_some_and(|v| v.as_bytes() == b"close");
            if pooled && !closes && connection.sender.ready().await.is_ok() {
                self.idle
                    .lock()
                    .unwrap_or_else(|e| e.into_inner())
                    .entry(gateway)
                    .or_default()
                    .push(connection);
            }
            let retry_after = retry_after.and_then(|s| Duration::try_from_secs_f64(s).ok());
            return TryResult {
                result,
                retry_after,
            };
        }
    }
}
