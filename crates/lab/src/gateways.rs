//! Gateways of the built program, started as processes with configurations written for the lab.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;

pub struct Gateway {
    pub name: String,
    pub at: SocketAddr,
    pub child: Child,
    pub config: PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_file(&self.config).ok();
    }
}

/// Asks `GET /up`; true on 200.
pub async fn is_up(at: SocketAddr) -> bool {
    let Ok(Ok(socket)) = tokio::time::timeout(Duration::from_millis(500), TcpStream::connect(at)).await
    else {
        return false;
    };
    let Ok((mut send, connection)) = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await else {
        return false;
    };
    tokio::spawn(connection);
    let request = Request::get("/up").header("host", "gateway").body(Empty::<Bytes>::new());
    let Ok(request) = request else { return false };
    matches!(send.send_request(request).await, Ok(r) if r.status() == 200)
}

/// Where gateway `n` of this process listens: an address of its own in 127.0.0.0/8, so that no port is
/// handed out twice between tests that run side by side; port 9300, which the socket tests do not use.
pub fn address(n: usize) -> SocketAddr {
    let process = std::process::id() as usize;
    SocketAddr::from(([127, 100 + (process % 100) as u8, (process / 100 % 250) as u8, 1 + n as u8], 9300))
}

/// Where gateway `n` takes datagrams from its peers (UDP, beside its listener).
pub fn peer_address(n: usize) -> SocketAddr {
    SocketAddr::new(address(n).ip(), 9301)
}

/// Starts gateway `n` of `of`: its own counter front, the lab's discovery, the settings given, the
/// siblings and own number filled in; with `witness`, datagrams between all and the witness on. Waits
/// till it is up.
pub async fn start(
    program: &Path,
    n: usize,
    of: usize,
    counter: SocketAddr,
    discovery: SocketAddr,
    settings: &Value,
    witness: bool,
) -> Result<Gateway, String> {
    let (name, at) = (format!("g{n}"), address(n));
    let mut settings = settings.clone();
    settings["siblings"] = of.into();
    settings["self-index"] = n.into();
    let mut config = json!({
        "name": name, "listen": at, "discovery": discovery, "counter": counter,
        "seed": format!("{:x}", 0x5eed_0000_u64 + n as u64), "settings": settings, "limits": {"sockets": 1024},
    });
    if witness {
        config["settings"]["ceilings"]["may-tell"] = true.into();
        config["peer_listen"] = peer_address(n).to_string().into();
        config["peers"] = (0..of).map(|i| peer_address(i).to_string()).collect::<Vec<_>>().into();
        config["witness"] = true.into();
    }
    let path = std::env::temp_dir().join(format!("damsonbeam-lab-{}-{n}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
    let child = Command::new(program)
        .arg("serve")
        .env("NODE_CONFIG", &path)
        .env("DAMSONBEAM_LOG", "warn")
        .stderr(Stdio::null())
        .spawn()
        .map_err(|e| format!("{}: {e}", program.display()))?;
    let gateway = Gateway { name, at, child, config: path };
    for _ in 0..250 {
        if is_up(at).await {
            return Ok(gateway);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(format!("{}: not up after 5 s", gateway.name))
}
