//! Clients like real ones: each with its own bounded pool of connections and a queue before it, or with a
//! connection an invocation; and how a try ends, told apart by what came of its answer.

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

use crate::profile::Kind;

/// How an invocation ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Answer {
    Succeeded,
    Throttled,
    /// A whole answer of another status: 5xx for the most part.
    Errored,
    /// Its connection ended before the first byte of an answer, within its head, or within its body.
    BrokenBefore,
    BrokenHead,
    BrokenBody,
    /// Nothing whole came within the client's patience.
    None,
    /// No connection came up, or none came free in time: the gateway never had the invocation.
    NotTaken,
}

impl Answer {
    pub const ALL: [Answer; 8] = [
        Answer::Succeeded,
        Answer::Throttled,
        Answer::Errored,
        Answer::BrokenBefore,
        Answer::BrokenHead,
        Answer::BrokenBody,
        Answer::None,
        Answer::NotTaken,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Answer::Succeeded => "succeeded",
            Answer::Throttled => "throttled",
            Answer::Errored => "errored",
            Answer::BrokenBefore => "broken_before",
            Answer::BrokenHead => "broken_head",
            Answer::BrokenBody => "broken_body",
            Answer::None => "none",
            Answer::NotTaken => "not_taken",
        }
    }

    /// Whether it is an answer at all: a connection that broke gave none.
    pub fn is_whole(self) -> bool {
        matches!(
            self,
            Answer::Succeeded | Answer::Throttled | Answer::Errored
        )
    }

    /// Whether the gateway may have had it and gave no whole answer.
    pub fn is_lost(self) -> bool {
        !self.is_whole() && self != Answer::NotTaken
    }
}

/// A socket that counts what it reads: a broken answer is told by how far it came.
struct Counted {
    socket: TcpStream,
    read: Arc<AtomicU64>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        self.read
            .fetch_add((buf.filled().len() - before) as u64, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Counted {
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

/// A connection that is open, and what it has read.
struct Line {
    send: SendRequest<Empty<Bytes>>,
    read: Arc<AtomicU64>,
}

impl Line {
    async fn open(at: SocketAddr) -> Option<Line> {
        let socket = TcpStream::connect(at).await.ok()?;
        socket.set_nodelay(true).ok();
        let read = Arc::<AtomicU64>::default();
        let counted = Counted {
            socket,
            read: read.clone(),
        };
        let (send, connection) = handshake(TokioIo::new(counted)).await.ok()?;
        tokio::spawn(connection);
        Some(Line { send, read })
    }
}

/// What a try came to.
pub struct Tried {
    pub answer: Answer,
    /// When the gateway says to return.
    pub retry_after: Option<Duration>,
}

/// One client: its pool by gateway, its queue, and its budget for retries.
pub struct Client {
    kind: Kind,
    idle: Mutex<HashMap<SocketAddr, Vec<Line>>>,
    places: Semaphore,
    budget: Mutex<f64>,
    pub opened: AtomicU64,
}

/// Retries saved up at most, where there is a budget.
const SAVED: f64 = 10.0;

impl Client {
    pub fn new(kind: &Kind) -> Client {
        Client {
            places: Semaphore::new(
                kind.connections
                    .filter(|n| *n > 0)
                    .unwrap_or(Semaphore::MAX_PERMITS),
            ),
            kind: kind.clone(),
            idle: Mutex::default(),
            budget: Mutex::new(SAVED),
            opened: AtomicU64::new(0),
        }
    }

    /// A first try pays into the budget; a retry draws one from it, if one is there.
    pub fn pays(&self) {
        let mut budget = self.budget.lock().unwrap_or_else(|e| e.into_inner());
        *budget = (*budget + self.kind.budget.unwrap_or_default()).min(SAVED);
    }

    pub fn may_retry(&self) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(|e| e.into_inner());
        if self.kind.budget.is_some() && *budget < 1.0 {
            return false;
        }
        *budget -= if self.kind.budget.is_some() { 1.0 } else { 0.0 };
        true
    }

    fn kept(&self, at: SocketAddr) -> Option<Line> {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let lines = idle.get_mut(&at)?;
        while let Some(line) = lines.pop() {
            if line.send.is_ready() {
                return Some(line);
            }
        }
        None
    }

    /// One try: waits for a place, asks, reads the answer to its end. A kept connection that the gateway
    /// closed as the request was written is no answer lost: it goes out once more on a new one.
    pub async fn ask(&self, at: SocketAddr, request: impl Fn() -> Request<Empty<Bytes>>) -> Tried {
        let none = |answer| Tried {
            answer,
            retry_after: None,
        };
        let Ok(_place) = self.places.acquire().await else {
            return none(Answer::NotTaken);
        };
        let pooled = self.kind.connections != Some(0);
        let mut kept = self.kept(at).filter(|_| pooled);
        loop {
            let again = kept.is_some();
            let mut line = match kept.take() {
                Some(line) => line,
                None => {
                    self.opened.fetch_add(1, Ordering::Relaxed);
                    match Line::open(at).await {
                        Some(line) => line,
                        None => return none(Answer::NotTaken),
                    }
                }
            };
            let before = line.read.load(Ordering::Relaxed);
            let response = match line.send.send_request(request()).await {
                Ok(response) => response,
                Err(_) if line.read.load(Ordering::Relaxed) > before => {
                    return none(Answer::BrokenHead);
                }
                Err(_) if again => continue,
                Err(_) => return none(Answer::BrokenBefore),
            };
            let (head, body) = response.into_parts();
            let retry_after = head
                .headers
                .get("retry-after")
                .and_then(|v| v.to_str().ok()?.parse().ok());
            if body.collect().await.is_err() {
                return none(Answer::BrokenBody);
            }
            let answer = match head.status.as_u16() {
                200 => Answer::Succeeded,
                429 | 503 => Answer::Throttled,
                _ => Answer::Errored,
            };
            let ends = head
                .headers
                .get("connection")
                .is_some_and(|v| v.as_bytes() == b"close");
            if pooled && !ends && line.send.ready().await.is_ok() {
                self.idle
                    .lock()
                    .unwrap_or_else(|e| e.into_inner())
                    .entry(at)
                    .or_default()
                    .push(line);
            }
            let retry_after = retry_after.and_then(|s| Duration::try_from_secs_f64(s).ok());
            return Tried {
                answer,
                retry_after,
            };
        }
    }
}
