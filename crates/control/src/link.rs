//! Held connections between the system's own processes: messages of bounded length, each with its length first.

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

use crate::messages::{MAX_MESSAGE_BYTES, pack, unpack};

/// A connection on which nothing is acknowledged for this long is dead: a cut or a machine without power says nothing.
pub const SILENT: Duration = Duration::from_millis(2000);
/// Messages that wait to be written at most: a peer that reads nothing loses its connection.
const ROOM: usize = 4096;

/// Which way a message goes over a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    In,
    Out,
}

/// Told of each message's bytes, without their length.
pub type Observer = fn(Direction, &[u8]);

static OBSERVER: OnceLock<Observer> = OnceLock::new();

/// For tools that measure: the observer is told of all messages of this process from now on. The first one stays.
pub fn observe(observer: Observer) {
    OBSERVER.set(observer).ok();
}

fn tell_observer(direction: Direction, bytes: &[u8]) {
    if let Some(observer) = OBSERVER.get() {
        observer(direction, bytes);
    }
}

/// # Errors
/// Where no connection comes up in time.
pub async fn dial(at: SocketAddr, within: Duration) -> Result<TcpStream, String> {
    up(within, TcpStream::connect(at)).await
}

/// The same from an address of this machine's, by which the other side knows who calls: a machine may have several.
///
/// # Errors
/// Where no connection comes up in time.
pub async fn dial_from(ip: IpAddr, at: SocketAddr, within: Duration) -> Result<TcpStream, String> {
    up(within, async {
        let socket = TcpSocket::new_v4()?;
        socket.bind((ip, 0).into())?;
        socket.connect(at).await
    })
    .await
}

async fn up(
    within: Duration,
    connect: impl Future<Output = io::Result<TcpStream>>,
) -> Result<TcpStream, String> {
    match timeout(within, connect).await {
        Ok(Ok(stream)) => {
            tend(&stream);
            Ok(stream)
        }
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("no connection in time".into()),
    }
}

/// # Errors
/// Where the address can't be listened on.
pub fn listen(at: SocketAddr) -> Result<TcpListener, String> {
    let bound = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        socket.listen(1024)
    };
    bound().map_err(|e: std::io::Error| format!("listening on {at}: {e}"))
}

pub fn tend(stream: &TcpStream) {
    stream.set_nodelay(true).ok();
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENT)).ok();
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&probes.with_retries(2)).ok();
}

/// The end on which messages go out.
#[derive(Clone)]
pub struct Out(mpsc::Sender<Vec<u8>>);

impl Out {
    /// False where the peer reads too slowly, or is gone.
    pub fn send<T: Encode>(&self, note: &T) -> bool {
        self.bytes(pack(note))
    }

    pub fn bytes(&self, bytes: Vec<u8>) -> bool {
        tell_observer(Direction::Out, &bytes);
        self.0.try_send(bytes).is_ok()
    }
}

pub struct In(BufReader<OwnedReadHalf>);

/// The two ends of a connection; what goes out is written by a task of its own, until either end is gone.
pub fn split(stream: TcpStream) -> (In, Out) {
    let (read, write) = stream.into_split();
    let (out, mail) = mpsc::channel(ROOM);
    tokio::task::spawn_local(write_all(write, mail));
    (In(BufReader::new(read)), Out(out))
}

async fn write_all(mut write: OwnedWriteHalf, mut mail: mpsc::Receiver<Vec<u8>>) {
    let mut batch = Vec::new();
    while mail.recv_many(&mut batch, 64).await > 0 {
        let mut bytes = Vec::with_capacity(batch.iter().map(|b| b.len() + 4).sum());
        for one in batch.drain(..) {
            bytes.extend_from_slice(&(one.len() as u32).to_be_bytes());
            bytes.extend_from_slice(&one);
        }
        if write.write_all(&bytes).await.is_err() {
            return;
        }
    }
    write.shutdown().await.ok();
}

impl In {
    /// The next message; one that takes longer than `silent` to come is no message.
    ///
    /// # Errors
    /// Where the connection ends, is silent, or says what can't be read.
    pub async fn next<T: for<'a> Decode<'a>>(&mut self, silent: Duration) -> Result<T, String> {
        let bytes = match timeout(silent, self.frame()).await {
            Ok(bytes) => bytes?,
            Err(_) => return Err("silent".into()),
        };
        unpack(&bytes)
    }

    async fn frame(&mut self) -> Result<Vec<u8>, String> {
        let length = self.0.read_u32().await.map_err(|e| e.to_string())? as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(format!("a message of {length} bytes"));
        }
        let mut bytes = vec![0; length];
        self.0
            .read_exact(&mut bytes)
            .await
            .map_err(|e| e.to_string())?;
        tell_observer(Direction::In, &bytes);
        Ok(bytes)
    }
}
