//! The hand-over's socket: lines of JSON on a Unix socket in `$TMPDIR`, between two processes of one gateway.
//! The steps are `damsonbeam-handover`'s; here they are only carried.

use std::path::PathBuf;
use std::time::Duration;

use damsonbeam_handover::{HandoverMessage, VERSION};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Take};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

use crate::log::log;

/// What the other says in answer comes within this, or it is held for gone: the platform gives a new process
/// 6 s in all.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1500);
/// A line at most: state grows with the customers, some hundred bytes each.
const MAX_LINE_BYTES: u64 = 64 << 20;

/// Where a gateway's processes find each other; none where the platform hands over no listening socket, for
/// then a second process can't listen anyway.
pub fn path(name: &str) -> Option<PathBuf> {
    std::env::var_os("NODE_LISTEN_FD")?;
    let plain: String = name
        .chars()
        .filter(|c| c.is_ascii_alphanumeric() || *c == '-')
        .take(40)
        .collect();
    Some(PathBuf::from(std::env::var_os("TMPDIR")?).join(format!("damsonbeam-{plain}.sock")))
}

/// A connection between the two.
pub struct HandoverConnection {
    from: Take<BufReader<OwnedReadHalf>>,
    to: OwnedWriteHalf,
    /// A line's beginning, kept when a wait for its end is given up.
    line: Vec<u8>,
}

impl HandoverConnection {
    fn new(stream: UnixStream) -> Self {
        let (from, to) = stream.into_split();
        HandoverConnection {
            from: BufReader::new(from).take(MAX_LINE_BYTES),
            to,
            line: Vec::new(),
        }
    }

    /// Greets the process that serves; none where there is none, or it does not listen.
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

    /// False where the other is gone, or does not read.
    pub async fn send(&mut self, message: &HandoverMessage) -> bool {
        let Ok(mut line) = serde_json::to_vec(message) else {
            return false;
        };
        line.push(b'\n');
        matches!(
            timeout(REPLY_TIMEOUT, self.to.write_all(&line)).await,
            Ok(Ok(()))
        )
    }

    /// The next thing said; none where the other is gone or says what can't be read. May be dropped midway.
    pub async fn receive(&mut self) -> Option<HandoverMessage> {
        self.from.read_until(b'\n', &mut self.line).await.ok()?;
        self.from.set_limit(MAX_LINE_BYTES);
        if !self.line.ends_with(b"\n") {
            return None;
        }
        let message = serde_json::from_slice(&self.line);
        self.line.clear();
        message
            .map_err(|e| log!(warn, "handover-garbled", "{e}"))
            .ok()
    }

    /// The same, within the time that an answer may take.
    pub async fn receive_reply(&mut self) -> Option<HandoverMessage> {
        timeout(REPLY_TIMEOUT, self.receive()).await.ok().flatten()
    }
}

/// Where a younger process may come.
pub struct HandoverListener {
    listener: UnixListener,
}

impl HandoverListener {
    /// Takes the place; a socket that is left there from another process is replaced.
    pub fn bind(path: &PathBuf) -> Option<HandoverListener> {
        std::fs::remove_file(path).ok();
        match UnixListener::bind(path) {
            Ok(listener) => Some(HandoverListener { listener }),
            Err(e) => {
                log!(
                    warn,
                    "handover-off",
                    "{}: {e}; no other process can follow this one",
                    path.display()
                );
                None
            }
        }
    }

    /// Waits for a successor.
    pub async fn accept(&self) -> Option<HandoverConnection> {
        let (stream, _) = self.listener.accept().await.ok()?;
        Some(HandoverConnection::new(stream))
    }
}
