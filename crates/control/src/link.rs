//! Persistent connections between the processes of the system. Each message is preceded by its length, which is
//! bounded.

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

/// A connection on which nothing is acknowledged for this long is closed. After a network partition or a power failure
/// of the peer's machine, no packet arrives that would close the connection.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(2000);
/// The maximum number of messages queued for writing. When the queue is full, sending fails, so that a peer that does
/// not read loses its connection.
const SEND_QUEUE_CAPACITY: usize = 4096;
/// The maximum number of messages in one write.
const MAX_BATCH_MESSAGES: usize = 64;
/// The maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// The idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// The reason why a connection cannot be established, or is closed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Listening on an address failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection was not established in time.
    #[error("connection attempt timed out")]
    ConnectTimeout,
    /// No message was received in time.
    #[error("no message received in time")]
    ReceiveTimeout,
    /// The length of the peer's message, in bytes, exceeds [`MAX_MESSAGE_BYTES`].
    #[error("message of {0} bytes is too long")]
    MessageTooLong(usize),
    /// The received bytes cannot be decoded as a message.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The connection could not be established, or was lost.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The direction of a message on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageDirection {
    /// Received.
    In,
    /// Sent.
    Out,
}

/// A function that is called with the bytes of each message, without the length prefix.
pub type MessageObserver = fn(MessageDirection, &[u8]);

static OBSERVER: OnceLock<MessageObserver> = OnceLock::new();

/// Sets the observer of all messages of this process, for measurement tools. Only the first call has an effect.
pub fn set_observer(observer: MessageObserver) {
    OBSERVER.set(observer).ok();
}

fn notify_observer(direction: MessageDirection, bytes: &[u8]) {
    if let Some(observer) = OBSERVER.get() {
        observer(direction, bytes);
    }
}

/// Connects to a process and sets the connection's options.
///
/// # Errors
/// Returns an error if the connection fails or is not established within `connect_timeout`.
pub async fn connect(to: SocketAddr, connect_timeout: Duration) -> Result<TcpStream, LinkError> {
    connect_with_timeout(connect_timeout, TcpStream::connect(to)).await
}

/// Connects to a process from the given local address. The machine may have several addresses, and the peer identifies
/// the caller by its address.
///
/// # Errors
/// Returns an error if the connection fails or is not established within `connect_timeout`.
pub async fn connect_from(
    from: IpAddr,
    to: SocketAddr,
    connect_timeout: Duration,
) -> Result<TcpStream, LinkError> {
    let connection = async {
        let socket = TcpSocket::new_v4()?;
        socket.bind((from, 0).into())?;
        socket.connect(to).await
    };
    connect_with_timeout(connect_timeout, connection).await
}

async fn connect_with_timeout(
    connect_timeout: Duration,
    connection: impl Future<Output = io::Result<TcpStream>>,
) -> Result<TcpStream, LinkError> {
    let connected = timeout(connect_timeout, connection).await;
    let stream = connected.map_err(|_| LinkError::ConnectTimeout)??;
    configure(&stream);
    Ok(stream)
}

/// Listens on an address.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener, LinkError> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().map_err(|source| LinkError::Listen { address, source })
}

/// Sets a connection's options: `TCP_NODELAY`, and time-outs that close the connection when the peer acknowledges
/// nothing.
pub fn configure(stream: &TcpStream) {
    stream.set_nodelay(true).ok();
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(LINK_TIMEOUT)).ok();
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive).ok();
}

/// Splits a connection into a reader and a sender. A separate task writes the queued messages; it ends when all senders
/// are dropped or a write fails.
pub fn into_reader_and_sender(stream: TcpStream) -> (MessageReader, MessageSender) {
    let (read, write) = stream.into_split();
    let (sender, queue) = mpsc::channel(SEND_QUEUE_CAPACITY);
    tokio::task::spawn_local(write_queued(write, queue));
    (MessageReader(BufReader::new(read)), MessageSender(sender))
}

async fn write_queued(mut write: OwnedWriteHalf, mut queue: mpsc::Receiver<Vec<u8>>) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, MAX_BATCH_MESSAGES).await > 0 {
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

/// The sending side of a connection.
#[derive(Clone)]
pub struct MessageSender(mpsc::Sender<Vec<u8>>);

impl MessageSender {
    /// Queues a message. Returns `false` if the queue is full or the connection is closed.
    pub fn send<T: Encode>(&self, message: &T) -> bool {
        self.send_encoded(encode(message))
    }

    /// Queues an encoded message. Returns `false` if the queue is full or the connection is closed.
    pub fn send_encoded(&self, bytes: Vec<u8>) -> bool {
        notify_observer(MessageDirection::Out, &bytes);
        self.0.try_send(bytes).is_ok()
    }
}

/// The receiving side of a connection.
pub struct MessageReader(BufReader<OwnedReadHalf>);

impl MessageReader {
    /// Receives the next message.
    ///
    /// # Errors
    /// Returns an error if the connection is closed, no message arrives within `silence_timeout`, or the received bytes
    /// cannot be decoded.
    pub async fn next<T: for<'a> Decode<'a>>(
        &mut self,
        silence_timeout: Duration,
    ) -> Result<T, LinkError> {
        let frame = timeout(silence_timeout, self.read_frame()).await;
        let bytes = frame.map_err(|_| LinkError::ReceiveTimeout)??;
        Ok(decode(&bytes)?)
    }

    async fn read_frame(&mut self) -> Result<Vec<u8>, LinkError> {
        let length = self.0.read_u32().await? as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(LinkError::MessageTooLong(length));
        }
        let mut bytes = vec![0; length];
        self.0.read_exact(&mut bytes).await?;
        notify_observer(MessageDirection::In, &bytes);
        Ok(bytes)
    }
}
