//! Gateways of the built program, run as processes with generated configuration files.

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

/// A gateway process, killed when dropped.
struct Process {
    child: Child,
    /// Address of the admin interface.
    admin: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// A gateway with its address, its configuration and its running processes. Dropping the gateway kills the processes.
pub struct Gateway {
    /// Name in the configuration: `g` and the index.
    pub name: String,
    /// Address on which clients connect.
    pub address: SocketAddr,
    program: PathBuf,
    config: Value,
    /// Directory of the configuration file; also `TMPDIR` of the processes.
    folder: PathBuf,
    /// Listening socket that the processes inherit, so that an upgrade can start a second process on the same address.
    listener: Option<socket2::Socket>,
    /// Process that serves new clients.
    serving: Option<Process>,
    /// Earlier processes that still complete their requests after an upgrade.
    draining: Vec<Process>,
    /// Number of processes started so far; determines the admin port.
    start_count: usize,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Sends a request without a body on a new connection; returns whether the response has status 200. Times out after
/// 1 s.
async fn request_succeeds(address: SocketAddr, method: Method, path: &str) -> bool {
    let response_ok = async {
        let socket = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket))
            .await
            .ok()?;
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "gateway");
        let response = sender
            .send_request(request.body(Empty::<Bytes>::new()).ok()?)
            .await
            .ok()?;
        Some(response.status() == 200)
    };
    matches!(
        tokio::time::timeout(Duration::from_secs(1), response_ok).await,
        Ok(Some(true))
    )
}

/// Sends `GET /up`; returns whether the response has status 200.
pub async fn is_up(address: SocketAddr) -> bool {
    request_succeeds(address, Method::GET, "/up").await
}

/// Returns the listen address of gateway `index`. The IP address in 127.0.0.0/8 depends on the process id, so that
/// tests in parallel processes do not use the same address and port. The socket tests do not use port 9300.
pub fn address(index: usize) -> SocketAddr {
    let process_id = std::process::id() as usize;
    SocketAddr::from((
        [
            127,
            100 + (process_id % 100) as u8,
            (process_id / 100 % 250) as u8,
            1 + index as u8,
        ],
        9300,
    ))
}

/// Returns the UDP address on which gateway `index` receives datagrams from its peers.
pub fn peer_address(index: usize) -> SocketAddr {
    SocketAddr::new(address(index).ip(), 9301)
}

/// Options that all gateways of an experiment share.
pub struct GatewayOptions<'a> {
    /// Path of the gateway program.
    pub program: &'a Path,
    /// Number of gateways in the experiment.
    pub gateway_count: usize,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Value of `settings` in the configuration; each gateway adds `siblings` and `self-index`.
    pub settings: &'a Value,
    /// Whether the gateways send each other datagrams and have `witness` enabled.
    pub witness: bool,
    /// Maximum number of file descriptors of each gateway.
    pub max_descriptors: usize,
    /// Whether the emulator opens the listening sockets and the gateway processes inherit them.
    pub inherit_listener: bool,
}

impl Gateway {
    /// Starts gateway `index` with the counter address `counter` and waits until it is ready.
    ///
    /// # Errors
    /// Returns an error where the address cannot be bound, the configuration cannot be written, the program cannot be
    /// started, or the gateway is not ready after 5 s.
    pub async fn start(
        index: usize,
        counter: SocketAddr,
        options: &GatewayOptions<'_>,
    ) -> Result<Gateway, String> {
        let (name, address, gateway_count) =
            (format!("g{index}"), address(index), options.gateway_count);
        let mut settings = options.settings.clone();
        settings["siblings"] = gateway_count.into();
        settings["self-index"] = index.into();
        let mut config = json!({
            "name": name, "listen": address, "discovery": options.discovery, "counter": counter,
            "seed": format!("{:x}", 0x5eed_0000_u64 + index as u64), "settings": settings, "limits": {"sockets": options.max_descriptors},
        });
        if options.witness {
            config["settings"]["ceilings"]["may-tell"] = true.into();
            config["peer_listen"] = peer_address(index).to_string().into();
            config["peers"] = (0..gateway_count)
                .map(|i| peer_address(i).to_string())
                .collect::<Vec<_>>()
                .into();
            config["witness"] = true.into();
        }
        let folder =
            std::env::temp_dir().join(format!("damsonbeam-lab-{}-{index}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let listener = match options.inherit_listener {
            true => Some(listen(address).map_err(|e| format!("{address}: {e}"))?),
            false => None,
        };
        let program = options.program.to_owned();
        let (serving, draining, start_count) = (None, Vec::new(), 0);
        let mut gateway = Gateway {
            name,
            address,
            program,
            config,
            folder,
            listener,
            serving,
            draining,
            start_count,
        };
        gateway.serving = Some(gateway.start_process().await?);
        Ok(gateway)
    }

    /// Starts a further process of this gateway and waits until it is ready.
    async fn start_process(&mut self) -> Result<Process, String> {
        let admin = SocketAddr::new(self.address.ip(), 9310 + (self.start_count % 100) as u16);
        self.start_count += 1;
        self.config["admin_addr"] = admin.to_string().into();
        let path = self.write_config()?;
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
            if request_succeeds(admin, Method::GET, "/api/ready").await {
                return Ok(process);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(format!("{}: not ready after 5 s", self.name))
    }

    fn write_config(&self) -> Result<PathBuf, String> {
        let path = self.folder.join("config.json");
        std::fs::write(&path, self.config.to_string())
            .map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(path)
    }

    fn send_signal(&self, process: &Process, name: &str) -> Result<(), String> {
        let result = Command::new("kill")
            .arg(name)
            .arg(process.child.id().to_string())
            .status();
        match result {
            Ok(status) if status.success() => Ok(()),
            failed => Err(format!("{}: {name}: {failed:?}", self.name)),
        }
    }

    /// Returns the resident memory of all processes of this gateway, in kB.
    pub fn memory_kb(&self) -> u64 {
        let processes = self.serving.iter().chain(&self.draining);
        let resident_kb = |p: &Process| {
            let status = std::fs::read_to_string(format!("/proc/{}/status", p.child.id())).ok()?;
            let kb = status
                .lines()
                .find_map(|l| l.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"));
            kb?.parse::<u64>().ok()
        };
        processes.filter_map(resident_kb).sum()
    }

    /// Returns the CPU time, user and system, of the serving process. The kernel reports it in ticks of 10 ms.
    pub fn cpu_time(&self) -> Duration {
        let cpu_ticks = |p: &Process| {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", p.child.id())).ok()?;
            // The process name in parentheses may contain spaces and parentheses, so the fields are counted from the
            // last closing parenthesis. utime and stime are fields 14 and 15.
            let (_, fields) = stat.rsplit_once(')')?;
            let mut fields = fields.split_whitespace().skip(11).map(str::parse::<u64>);
            Some(fields.next()?.ok()? + fields.next()?.ok()?)
        };
        Duration::from_millis(10 * self.serving.iter().filter_map(cpu_ticks).sum::<u64>())
    }

    /// Applies a fault to this gateway, which has the index `index`; ignores all other faults.
    ///
    /// # Errors
    /// Returns the reason where the fault could not be applied.
    pub async fn apply(&mut self, index: usize, fault: &Fault) -> Result<(), String> {
        let is_this = |gateway: &usize| *gateway == index;
        let reason = format!("{}: no running process", self.name);
        let no_process = move || reason;
        match fault {
            Fault::GatewayDrain { gateway } if is_this(gateway) => {
                self.post_admin("/api/evacuate").await
            }
            Fault::GatewayRejoin { gateway } if is_this(gateway) => {
                self.post_admin("/api/rejoin").await
            }
            Fault::GatewayReload { gateway, factor } if gateway.is_none_or(|g| g == index) => {
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
                self.send_signal(self.serving.as_ref().ok_or_else(no_process)?, "-HUP")
            }
            Fault::GatewayUpgrade { gateway } if is_this(gateway) => {
                let new = self.start_process().await?;
                let old = self.serving.replace(new).ok_or_else(no_process)?;
                self.send_signal(&old, "-TERM")?;
                self.draining
                    .retain_mut(|p| matches!(p.child.try_wait(), Ok(None)));
                self.draining.push(old);
                Ok(())
            }
            Fault::GatewayKill { gateway } if is_this(gateway) => {
                self.serving.take().map(drop).ok_or_else(no_process)
            }
            Fault::GatewayStart { gateway } if is_this(gateway) => {
                self.serving = Some(self.start_process().await?);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    async fn post_admin(&self, path: &str) -> Result<(), String> {
        let Some(process) = &self.serving else {
            return Err(format!("{}: no running process", self.name));
        };
        match request_succeeds(process.admin, Method::POST, path).await {
            true => Ok(()),
            false => Err(format!("{}: {path} failed", self.name)),
        }
    }
}

/// Opens a listening socket that child processes inherit.
fn listen(address: SocketAddr) -> std::io::Result<socket2::Socket> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    socket.set_cloexec(false)?;
    Ok(socket)
}
