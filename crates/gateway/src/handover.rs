//! The hand-over's socket: lines of JSON on a Unix socket in `$TMPDIR`, between two processes of one gateway.
//! The steps are `damsonbeam-handover`'s; here they are only carried.

use std::path::PathBuf;
use std::time::Duration;

use damsonbeam_handover::{Said, VERSION};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Take};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

use crate::log::log;

/// What the other says in answer comes within this, or it is held for gone: the platform gives a new process
/// 6 s in all.
const ANSWER: Duration = Duration::from_millis(1500);
/// A line at most: state grows with the customers, some hundred bytes each.
const LINE: u64 = 64 << 20;

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
pub struct Link {
    from: Take<BufReader<OwnedReadHalf>>,
    to: OwnedWriteHalf,
    /// A line's beginning, kept when a wait for its end is given up.
    line: Vec<u8>,
}

impl Link {
    fn new(stream: UnixStream) -> Self {
        let (from, to) = stream.into_split();
        Link {
            from: BufReader::new(from).take(LINE),
            to,
            line: Vec::new(),
        }
    }

    /// Greets the process that serves; none where there is none, or it does not listen.
    pub async fn greet(path: &PathBuf, name: &str) -> Option<Link> {
        let mut link = Link::new(
            timeout(ANSWER, UnixStream::connect(path))
                .await
                .ok()?
                .ok()?,
        );
        let hello = Said::Hello {
            version: VERSION,
            name: name.to_owned(),
        };
        link.say(&hello).await.then_some(link)
    }

    /// False where the other is gone, or does not read.
    pub async fn say(&mut self, said: &Said) -> bool {
        let Ok(mut line) = serde_json::to_vec(said) else {
            return false;
        };
        line.push(b'\n');
        matches!(timeout(ANSWER, self.to.write_all(&line)).await, Ok(Ok(())))
    }

    /// The next thing said; none where the other is gone or says what can't be read. May be dropped midway.
    pub async fn hear(&mut self) -> Option<Said> {
        self.from.read_until(b'\n', &mut self.line).await.ok()?;
        self.from.set_limit(LINE);
        if !self.line.ends_with(b"\n") {
            return None;
        }
        let said = serde_json::from_slice(&self.line);
        self.line.clear();
        said.map_err(|e| log!(warn, "handover-garbled", "{e}")).ok()
    }

    /// The same, within the time that an answer may take.
    pub async fn hear_soon(&mut self) -> Option<Said> {
        timeout(ANSWER, self.hear()).await.ok().flatten()
    }
}

/// Where a younger process may come.
pub struct Seat {
    listener: UnixListener,
}

impl Seat {
    /// Takes the place; a socket that is left there from another process is replaced.
    pub fn take(path: &PathBuf) -> Option<Seat> {
        std::fs::remove_file(path).ok();
        match UnixListener::bind(path) {
            Ok(listener) => Some(Seat { listener }),
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

    pub async fn came(&self) -> Option<Link> {
        let (stream, _) = self.listener.accept().await.ok()?;
        Some(Link::new(stream))
    }
}
