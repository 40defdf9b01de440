//! Held connections between the system's own processes: messages of bounded length, each preceded by its length.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::OnceLock;
use std::time::Duration;

use bitcode::{Decode, Encode};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::messages::{DecodeError, MAX_MESSAGE_BYTES, decode, encode};

/// A connection on which nothing is acknowledged for this long is dead: behind a partition, or from a machine without
/// power, nothing comes that would end it.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Messages that wait to be written at most: a peer that does not read loses its connection.
const SEND_QUEUE_CAPACITY: usize = 4096;
/// Messages written at once.
const WRITE_BATCH: usize = 64;
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// TCP keep-alive probes go out at this interval, and so many may be lost.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// Why a connection does not come up, or ends.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// An address can't be listened on.
    #[error("listening on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// No connection came up in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// Nothing came for too long.
    #[error("silent")]
    Silent,
    /// The peer announced a message that is too long.
    #[error("a message of {0} bytes")]
    TooLong(usize),
    /// What came is no message.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The connection could not be made, or broke.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Which way a message goes over a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Received.
    In,
    /// Sent.
    Out,
}

/// Called with the bytes of each message, without their length.
pub type Observer = fn(Direction, &[u8]);

static OBSERVER: OnceLock<Observer> = OnceLock::new();

/// Has all messages of this process observed from now on, for tools that measure. The first observer stays.
pub fn observe(observer: Observer) {
    OBSERVER.set(observer).ok();
}

fn notify_observer(direction: Direction, bytes: &[u8]) {
    if let Some(observer) = OBSERVER.get() {
        observer(direction, bytes);
    }
}

/// Connects to a process.
///
/// # Errors
/// Where no connection comes up in time.
pub async fn connect(to: SocketAddr, within: Duration) -> Result<TcpStream, LinkError> {
    configured(within, TcpStream::connect(to)).await
}

/// Connects to a process from a given address of this machine, which may have several: the peer identifies the caller
/// by it.
///
/// # Errors
/// Where no connection comes up in time.
pub async fn connect_from(
    from: IpAddr,
    to: SocketAddr,
    within: Duration,
) -> Result<TcpStream, LinkError> {
    let connecting = async {
        let socket = TcpSocket::new_v4()?;
        socket.bind((from, 0).into())?;
        socket.connect(to).await
    };
    configured(within, connecting).await
}

async fn configured(
    within: Duration,
    connecting: impl Future<Output = io::Result<TcpStream>>,
) -> Result<TcpStream, LinkError> {
    let connected = timeout(within, connecting).await;
    let stream = connected.map_err(|_| LinkError::ConnectTimeout)??;
    configure(&stream);
    Ok(stream)
}

/// Listens on an address.
///
/// # Errors
/// Where the address can't be listened on.
pub fn listen(address: SocketAddr) -> Result<TcpListener, LinkError> {
    let listening = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    listening().map_err(|source| LinkError::Listen { address, source })
}

/// Sets a connection's options: no delay, and an end where the peer acknowledges nothing.
pub fn configure(stream: &TcpStream) {
    stream.set_nodelay(true).ok();
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT)).ok();
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive).ok();
}

/// The two ends of a connection. Messages are written by a task of their own, until either end is dropped.
pub fn split(stream: TcpStream) -> (MessageReader, MessageSender) {
    let (read, write) = stream.into_split();
    let (sender, queue) = mpsc::channel(SEND_QUEUE_CAPACITY);
    tokio::task::spawn_local(write_queued(write, queue));
    (MessageReader(BufReader::new(read)), MessageSender(sender))
}

async fn write_queued(mut write: OwnedWriteHalf, mut queue: mpsc::Receiver<Vec<u8>>) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, WRITE_BATCH).await > 0 {
        let length = batch
            .iter()
            .map(|message| message.len() + size_of::<u32>())
            .sum();
        let mut bytes = Vec::with_capacity(length);
        for message in batch.drain(..) {
            bytes.extend_from_slice(&(message.len() as u32).to_be_bytes());
            bytes.extend_from_slice(&message);
        }
        if write.write_all(&bytes).await.is_err() {
            return;
        }
    }
    write.shutdown().await.ok();
}

/// The end of a connection on which messages are sent.
#[derive(Clone)]
pub struct MessageSender(mpsc::Sender<Vec<u8>>);

impl MessageSender {
    /// Queues a message; `false` where the peer reads too slowly, or is gone.
    pub fn send<T: Encode>(&self, message: &T) -> bool {
        self.send_encoded(encode(message))
    }

    /// Queues a message that is encoded already; `false` where the peer reads too slowly, or is gone.
    pub fn send_encoded(&self, bytes: Vec<u8>) -> bool {
        notify_observer(Direction::Out, &bytes);
        self.0.try_send(bytes).is_ok()
    }
}

/// The end of a connection on which messages are received.
pub struct MessageReader(BufReader<OwnedReadHalf>);

impl MessageReader {
    /// The next message.
    ///
    /// # Errors
    /// Where the connection ends, nothing comes within `silence_timeout`, or what comes is no message.
    pub async fn next<T: for<'a> Decode<'a>>(
        &mut self,
        silence_timeout: Duration,
    ) -> Result<T, LinkError> {
        let frame = timeout(silence_timeout, self.frame()).await;
        let bytes = frame.map_err(|_| LinkError::Silent)??;
        Ok(decode(&bytes)?)
    }

    async fn frame(&mut self) -> Result<Vec<u8>, LinkError> {
        let length = self.0.read_u32().await? as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(LinkError::TooLong(length));
        }
        let mut bytes = vec![0; length];
        self.0.read_exact(&mut bytes).await?;
        notify_observer(Direction::In, &bytes);
        Ok(bytes)
    }
}
