//! Gateways of the built program, started as processes with configurations written for the lab.

use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;

use crate::script::Fault;

/// One process of a gateway.
struct Process {
    child: Child,
    /// Where its operators call.
    admin: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// A gateway's place: its address, its file, what its processes have in common, and those that run.
pub struct Place {
    pub name: String,
    pub at: SocketAddr,
    program: PathBuf,
    config: Value,
    folder: PathBuf,
    /// The listening socket, where processes inherit it: then one can follow another.
    listener: Option<socket2::Socket>,
    serving: Option<Process>,
    /// Those before it that still end what they hold.
    before: Vec<Process>,
    started: usize,
}

impl Drop for Place {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// A call with no body on a connection of its own; true on 200.
async fn call(at: SocketAddr, method: Method, path: &str) -> bool {
    let asked = async {
        let socket = TcpStream::connect(at).await.ok()?;
        let (mut send, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket))
            .await
            .ok()?;
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "gateway");
        let answer = send
            .send_request(request.body(Empty::<Bytes>::new()).ok()?)
            .await
            .ok()?;
        Some(answer.status() == 200)
    };
    matches!(
        tokio::time::timeout(Duration::from_secs(1), asked).await,
        Ok(Some(true))
    )
}

/// Asks `GET /up`; true on 200.
pub async fn is_up(at: SocketAddr) -> bool {
    call(at, Method::GET, "/up").await
}

/// Where gateway `n` of this process listens: an address of its own in 127.0.0.0/8, so that no port is
/// handed out twice between tests that run side by side; port 9300, which the socket tests do not use.
pub fn address(n: usize) -> SocketAddr {
    let process = std::process::id() as usize;
    SocketAddr::from((
        [
            127,
            100 + (process % 100) as u8,
            (process / 100 % 250) as u8,
            1 + n as u8,
        ],
        9300,
    ))
}

/// Where gateway `n` takes datagrams from its peers (UDP, beside its listener).
pub fn peer_address(n: usize) -> SocketAddr {
    SocketAddr::new(address(n).ip(), 9301)
}

/// What the gateways of one experiment have in common.
pub struct Common<'a> {
    pub program: &'a Path,
    pub of: usize,
    pub discovery: SocketAddr,
    pub settings: &'a Value,
    /// Datagrams between all gateways, and the witness on.
    pub witness: bool,
    /// Descriptors that each may use.
    pub sockets: usize,
    /// The lab holds the listening sockets, which processes inherit.
    pub inherits: bool,
}

impl Place {
    /// Starts gateway `n`: its own counter front, the lab's discovery, the settings given, the siblings and
    /// own number filled in. Waits till it is up.
    ///
    /// # Errors
    /// Where its address can't be bound, its program not started, or it is not up after 5 s.
    pub async fn start(
        n: usize,
        counter: SocketAddr,
        common: &Common<'_>,
    ) -> Result<Place, String> {
        let (name, at, of) = (format!("g{n}"), address(n), common.of);
        let mut settings = common.settings.clone();
        settings["siblings"] = of.into();
        settings["self-index"] = n.into();
        let mut config = json!({
            "name": name, "listen": at, "discovery": common.discovery, "counter": counter,
            "seed": format!("{:x}", 0x5eed_0000_u64 + n as u64), "settings": settings, "limits": {"sockets": common.sockets},
        });
        if common.witness {
            config["settings"]["ceilings"]["may-tell"] = true.into();
            config["peer_listen"] = peer_address(n).to_string().into();
            config["peers"] = (0..of)
                .map(|i| peer_address(i).to_string())
                .collect::<Vec<_>>()
                .into();
            config["witness"] = true.into();
        }
        let folder =
            std::env::temp_dir().join(format!("damsonbeam-lab-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let listener = match common.inherits {
            true => Some(listen(at).map_err(|e| format!("{at}: {e}"))?),
            false => None,
        };
        let program = common.program.to_owned();
        let (serving, before, started) = (None, Vec::new(), 0);
        let mut place = Place {
            name,
            at,
            program,
            config,
            folder,
            listener,
            serving,
            before,
            started,
        };
        place.serving = Some(place.launch().await?);
        Ok(place)
    }

    /// Another process, beside whatever runs; waits till it is ready.
    async fn launch(&mut self) -> Result<Process, String> {
        let admin = SocketAddr::new(self.at.ip(), 9310 + (self.started % 100) as u16);
        self.started += 1;
        self.config["admin_addr"] = admin.to_string().into();
        let path = self.write()?;
        let mut command = Command::new(&self.program);
        command
            .arg("serve")
            .env("NODE_CONFIG", &path)
            .env("DAMSONBEAM_LOG", "warn")
            .stderr(Stdio::null());
        command
            .env("TMPDIR", &self.folder)
            .env_remove("NODE_LISTEN_FD");
        if let Some(listener) = &self.listener {
            command.env("NODE_LISTEN_FD", listener.as_raw_fd().to_string());
        }
        let child = command
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.display()))?;
        let process = Process { child, admin };
        for _ in 0..500 {
            if call(admin, Method::GET, "/api/ready").await {
                return Ok(process);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(format!("{}: not ready after 5 s", self.name))
    }

    fn write(&self) -> Result<PathBuf, String> {
        let path = self.folder.join("config.json");
        std::fs::write(&path, self.config.to_string())
            .map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(path)
    }

    fn signal(&self, process: &Process, name: &str) -> Result<(), String> {
        let done = Command::new("kill")
            .arg(name)
            .arg(process.child.id().to_string())
            .status();
        match done {
            Ok(status) if status.success() => Ok(()),
            failed => Err(format!("{}: {name}: {failed:?}", self.name)),
        }
    }

    /// Resident memory of all its processes together, in kB.
    pub fn memory_kb(&self) -> u64 {
        let all = self.serving.iter().chain(&self.before);
        let one = |p: &Process| {
            let status = std::fs::read_to_string(format!("/proc/{}/status", p.child.id())).ok()?;
            let kb = status
                .lines()
                .find_map(|l| l.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"));
            kb?.parse::<u64>().ok()
        };
        all.filter_map(one).sum()
    }

    /// Processor time of its serving process so far: user and system, in the kernel's hundredths of a second.
    pub fn cpu(&self) -> Duration {
        let ticks = |p: &Process| {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", p.child.id())).ok()?;
            // The name before may hold anything up to its last bracket; utime and stime are fields 14 and 15.
            let (_, fields) = stat.rsplit_once(')')?;
            let mut fields = fields.split_whitespace().skip(11).map(str::parse::<u64>);
            Some(fields.next()?.ok()? + fields.next()?.ok()?)
        };
        Duration::from_millis(10 * self.serving.iter().filter_map(ticks).sum::<u64>())
    }

    /// Carries out a step that concerns this gateway, number `n`.
    ///
    /// # Errors
    /// What could not be done.
    pub async fn apply(&mut self, n: usize, fault: &Fault) -> Result<(), String> {
        let mine = |gateway: &usize| *gateway == n;
        let why = format!("{}: no process of it runs", self.name);
        let none = move || why;
        match fault {
            Fault::GatewayDrain { gateway } if mine(gateway) => self.order("/api/evacuate").await,
            Fault::GatewayRejoin { gateway } if mine(gateway) => self.order("/api/rejoin").await,
            Fault::GatewayReload { gateway, factor } if gateway.is_none_or(|g| g == n) => {
                let mut config = self.config.clone();
                for plan in config["settings"]["plans"]
                    .as_array_mut()
                    .into_iter()
                    .flatten()
                {
                    for key in ["quota-rate", "store-size"] {
                        plan[key] = (plan[key].as_f64().unwrap_or(0.0) * factor).into();
                    }
                }
                let path = self.folder.join("config.json");
                std::fs::write(&path, config.to_string())
                    .map_err(|e| format!("{}: {e}", path.display()))?;
                self.signal(self.serving.as_ref().ok_or_else(none)?, "-HUP")
            }
            Fault::GatewayUpgrade { gateway } if mine(gateway) => {
                let new = self.launch().await?;
                let old = self.serving.replace(new).ok_or_else(none)?;
                self.signal(&old, "-TERM")?;
                self.before
                    .retain_mut(|p| matches!(p.child.try_wait(), Ok(None)));
                self.before.push(old);
                Ok(())
            }
            Fault::GatewayKill { gateway } if mine(gateway) => {
                self.serving.take().map(drop).ok_or_else(none)
            }
            Fault::GatewayStart { gateway } if mine(gateway) => {
                self.serving = Some(self.launch().await?);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    async fn order(&self, path: &str) -> Result<(), String> {
        let Some(process) = &self.serving else {
            return Err(format!("{}: no process of it runs", self.name));
        };
        match call(process.admin, Method::POST, path).await {
            true => Ok(()),
            false => Err(format!("{}: {path} was not done", self.name)),
        }
    }
}

/// A listening socket that processes started from here inherit.
fn listen(at: SocketAddr) -> std::io::Result<socket2::Socket> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(at),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(1024)?;
    socket.set_cloexec(false)?;
    Ok(socket)
}
