//! Transport of the hand-over between two processes of one gateway: JSON lines on a Unix socket in `$TMPDIR`.
//! The crate `damsonbeam-handover` defines the messages and their order.

use std::path::PathBuf;
use std::time::Duration;

use damsonbeam_handover::{HandoverMessage, VERSION};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Take};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

use crate::log::log;

/// A process that doesn't reply within this time is treated as gone: the platform gives a new process only 6 s to
/// start.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest message: the state grows with the number of customers, by a few hundred bytes each.
const MAX_LINE_BYTES: u64 = 64 << 20;

/// Returns the path of the gateway's hand-over socket, or `None` if the platform passes no listening socket: a second
/// process couldn't listen on the clients' address then.
pub fn path(name: &str) -> Option<PathBuf> {
    std::env::var_os("NODE_LISTEN_FD")?;
    let plain: String = name
        .chars()
        .filter(|c| c.is_ascii_alphanumeric() || *c == '-')
        .take(40)
        .collect();
    Some(PathBuf::from(std::env::var_os("TMPDIR")?).join(format!("damsonbeam-{plain}.sock")))
}

/// A connection between predecessor and successor.
pub struct HandoverConnection {
    reader: Take<BufReader<OwnedReadHalf>>,
    writer: OwnedWriteHalf,
    /// The part of a line received so far, kept when `receive` is cancelled.
    line: Vec<u8>,
}

impl HandoverConnection {
    fn new(stream: UnixStream) -> Self {
        let (reader, writer) = stream.into_split();
        HandoverConnection {
            reader: BufReader::new(reader).take(MAX_LINE_BYTES),
            writer,
            line: Vec::new(),
        }
    }

    /// Connects to the serving process and sends `Hello`; returns `None` if no process listens at `path` in time.
    pub async fn connect(path: &PathBuf, name: &str) -> Option<HandoverConnection> {
        let mut connection = HandoverConnection::new(
            timeout(REPLY_TIMEOUT, UnixStream::connect(path))
                .await
                .ok()?
                .ok()?,
        );
        let hello = HandoverMessage::Hello {
            version: VERSION,
            name: name.to_owned(),
        };
        connection.send(&hello).await.then_some(connection)
    }

    /// Sends a message; returns `false` if the connection is closed or the other process doesn't read in time.
    pub async fn send(&mut self, message: &HandoverMessage) -> bool {
        let Ok(mut line) = serde_json::to_vec(message) else {
            return false;
        };
        line.push(b'\n');
        matches!(
            timeout(REPLY_TIMEOUT, self.writer.write_all(&line)).await,
            Ok(Ok(()))
        )
    }

    /// Receives the next message; returns `None` if the connection is closed or the message can't be parsed.
    /// Cancel-safe.
    pub async fn receive(&mut self) -> Option<HandoverMessage> {
        self.reader.read_until(b'\n', &mut self.line).await.ok()?;
        self.reader.set_limit(MAX_LINE_BYTES);
        if !self.line.ends_with(b"\n") {
            return None;
        }
        let message = serde_json::from_slice(&self.line);
        self.line.clear();
        message
            .map_err(|e| log!(warn, "handover-garbled", "{e}"))
            .ok()
    }

    /// Receives the next message; returns `None` also if none arrives within `REPLY_TIMEOUT`.
    pub async fn receive_reply(&mut self) -> Option<HandoverMessage> {
        timeout(REPLY_TIMEOUT, self.receive()).await.ok().flatten()
    }
}

/// Listens for a successor.
pub struct HandoverListener {
    listener: UnixListener,
}

impl HandoverListener {
    /// Binds the socket and replaces one left at `path` by another process; returns `None` and logs if binding fails.
    pub fn bind(path: &PathBuf) -> Option<HandoverListener> {
        std::fs::remove_file(path).ok();
        match UnixListener::bind(path) {
            Ok(listener) => Some(HandoverListener { listener }),
            Err(e) => {
                log!(
                    warn,
                    "handover-off",
                    "{}: {e}; no successor can take over from this process",
                    path.display()
                );
                None
            }
        }
    }

    /// Waits for a successor to connect.
    pub async fn accept(&self) -> Option<HandoverConnection> {
        let (stream, _) = self.listener.accept().await.ok()?;
        Some(HandoverConnection::new(stream))
    }
}
