//! Test harness: fake backends, counters and discovery services on loopback, gateway processes and a client.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub use damsonbeam_lab::http::{HttpMessage, response_text};
use serde_json::{Value, json};

/// Time limit of a read or a wait; no operation of these tests takes that long unless it hangs.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Reaction of a fake backend to a request.
pub enum Behavior {
    /// Sends the text and waits for the next request.
    Respond(String),
    /// Sends the text and handles no further request. If the text contains `Length`, the connection stays open until
    /// the gateway sends more or closes it; otherwise the backend closes the connection.
    RespondAndStall(String),
    /// Closes the connection without a response.
    Disconnect,
    /// Sends nothing and reports the end of the connection.
    Hang(Sender<()>),
}

/// A fake backend.
pub struct Backend {
    pub address: SocketAddr,
    /// The requests received so far.
    pub requests: Arc<Mutex<Vec<HttpMessage>>>,
}

/// Starts a fake backend. `behave` receives the number of earlier requests.
pub fn start_backend(behave: impl Fn(usize) -> Behavior + Send + Sync + 'static) -> Backend {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, behave, requests) = (
        listener.local_addr().unwrap(),
        Arc::new(behave),
        Arc::<Mutex<Vec<_>>>::default(),
    );
    let received = requests.clone();
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let (behave, received) = (behave.clone(), received.clone());
            thread::spawn(move || {
                let (mut writer, mut reader) =
                    (socket.try_clone().unwrap(), BufReader::new(socket));
                while let Some(request) = HttpMessage::read(&mut reader) {
                    let n = received
                        .lock()
                        .map(|mut s| (s.len(), s.push(request)).0)
                        .unwrap();
                    match behave(n) {
                        Behavior::Respond(text) => writer.write_all(text.as_bytes()).unwrap_or(()),
                        Behavior::RespondAndStall(text) => {
                            writer.write_all(text.as_bytes()).ok();
                            if text.contains("Length") {
                                reader.fill_buf().ok();
                            }
                            return;
                        }
                        Behavior::Disconnect => return,
                        Behavior::Hang(ended) => {
                            reader.fill_buf().ok();
                            ended.send(()).ok();
                            return;
                        }
                    }
                }
            });
        }
    });
    Backend { address, requests }
}

/// Starts a backend that holds back its reaction to the request with index `held`. Returns the backend, a receiver
/// that reports the arrival of that request and a sender that releases the reaction.
pub fn start_held_backend(
    held: usize,
    behave: impl Fn(usize) -> Behavior + Send + Sync + 'static,
) -> (Backend, Receiver<()>, Sender<()>) {
    let ((arrival, arrived), (release, released)) = (channel(), channel::<()>());
    let released = Mutex::new(released);
    let backend = start_backend(move |n| {
        if n == held {
            arrival.send(()).unwrap();
            released.lock().unwrap().recv().ok();
        }
        behave(n)
    });
    (backend, arrived, release)
}

/// Returns a bound socket and its address, which refuses connections until the socket listens.
pub fn reserve_address() -> (socket2::Socket, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// Starts a backend that answers every request with status 200 and `body`.
pub fn start_fixed_backend(body: &'static str) -> Backend {
    start_backend(move |_| Behavior::Respond(response_text("200 OK", body)))
}

/// Starts a fake counter. `reply` receives the number of earlier lines and the line, and returns the text to send.
/// Returns the counter's address and the lines received so far.
pub fn start_counter(
    reply: impl Fn(usize, &str) -> String + Send + Sync + 'static,
) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, reply, lines) = (
        listener.local_addr().unwrap(),
        Arc::new(reply),
        Arc::<Mutex<Vec<_>>>::default(),
    );
    let (received, n) = (lines.clone(), Arc::new(AtomicUsize::new(0)));
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let (reply, received, n) = (reply.clone(), received.clone(), n.clone());
            thread::spawn(move || {
                let mut writer = socket.try_clone().unwrap();
                for line in BufReader::new(socket).lines().map_while(Result::ok) {
                    let text = reply(n.fetch_add(1, Ordering::SeqCst), &line);
                    received.lock().unwrap().push(line);
                    writer.write_all(text.as_bytes()).ok();
                }
            });
        }
    });
    (address, lines)
}

/// Starts a fake discovery service and returns its address. A request without `from=` gets `full_list`; a request with
/// `from=` (a watch) gets the next value from `updates`. A null closes the connection; a string leaves the watch
/// without a response.
pub fn start_discovery(full_list: Value, updates: Receiver<Value>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, shared) = (
        listener.local_addr().unwrap(),
        Arc::new((full_list, Mutex::new(updates))),
    );
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let shared = shared.clone();
            thread::spawn(move || {
                let (mut writer, mut reader) =
                    (socket.try_clone().unwrap(), BufReader::new(socket));
                while let Some(request) = HttpMessage::read(&mut reader) {
                    let page = match request.start_line.contains("from=") {
                        true => shared
                            .1
                            .lock()
                            .unwrap()
                            .recv_timeout(Duration::from_secs(1)),
                        false => Ok(shared.0.clone()),
                    };
                    match page {
                        Ok(Value::Null) | Err(RecvTimeoutError::Disconnected) => return,
                        Ok(Value::String(_)) => drop(reader.fill_buf()),
                        Ok(page) => writer
                            .write_all(response_text("200 OK", &page.to_string()).as_bytes())
                            .unwrap_or(()),
                        // No update within 1 s: an empty page with the revision of the full list.
                        Err(RecvTimeoutError::Timeout) => {
                            let revision = shared.0["revision"].as_u64().unwrap();
                            let empty = self::page(revision, false, vec![]).to_string();
                            writer
                                .write_all(response_text("200 OK", &empty).as_bytes())
                                .unwrap_or(())
                        }
                    }
                }
            });
        }
    });
    address
}

/// Returns an entry of the list of backends.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address, "locality": "a", "flavor": "m", "cell": 0, "phase": phase, "size": 1.0,
        "up_since_ms": 0})
}

/// Returns a page of the list of backends.
pub fn page(revision: u64, complete: bool, members: Vec<Value>) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

/// Returns the `settings` of a gateway's configuration.
fn gateway_settings(has_counter: bool) -> Value {
    // Tests without a counter don't test quotas and get a rate that they never reach. Tests with a counter get a low
    // rate, because the gateway doesn't call the counter for customers far below their quota.
    let rate = if has_counter { 10.0 } else { 1e6 };
    json!({
        "ceilings": {"cancel": true, "conn-idle-ns": 30_000_000_000u64, "connect-timeout-ns": 250_000_000,
            "max-retry-after-ns": 1_000_000_000, "retry-after": true, "try-limit": 3},
        "dcs": ["a"], "kinds": ["m"], "discovery": "automatic", "self-index": 0, "siblings": 1, "tick-ns": 4_000_000,
        "domain": {"has-counter": has_counter, "counter-timeout-ns": 1_000_000_000, "most-units": 8},
        "plans": [{"name": "basic", "quota-rate": rate, "store-size": 2.0 * rate, "value-factor": 1.0, "overrun-cost": 1.0}],
        "request-classes": [{"name": "tile", "idempotency": "retryable", "deadline-ns": 8_000_000_000u64,
            "slo-ns": 4_000_000_000u64, "importance": 1.0, "late-worth": 0.2}],
        "rules": {"drain-grace-ns": 250_000_000, "overload-factor": 2.0, "tip-after-ns": 3_000_000_000u64,
            "cold-share": 0.2, "cold-ns": 1_000_000_000},
    })
}

/// A gateway process; killed on drop.
pub struct Gateway {
    pub address: SocketAddr,
    pub child: Child,
    /// Sends values to the gateway's fake discovery service.
    pub list_updates: Sender<Value>,
}

impl Gateway {
    /// Sends a signal to the process, given as an option of `kill`.
    pub fn signal(&self, name: &str) {
        Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Returns the configuration of a gateway with these active backends, and the sender of its list updates.
pub fn gateway_config(
    members: &[(&str, SocketAddr)],
    counter: Option<SocketAddr>,
) -> (Value, Sender<Value>) {
    let members = members
        .iter()
        .map(|(id, address)| member(id, *address, "active"))
        .collect();
    let (list_updates, updates) = channel();
    // Each gateway listens on a loopback address of its own. A port that this process reserves and frees for the
    // gateway could be taken by another test first.
    static GATEWAYS: AtomicUsize = AtomicUsize::new(0);
    let (n, process) = (GATEWAYS.fetch_add(1, Ordering::SeqCst), std::process::id());
    let address = format!(
        "127.{}.{}.{}:9000",
        10 + process % 200,
        process / 200 % 250,
        1 + n
    );
    let config = json!({
        "name": "n0", "listen": address, "seed": "8c1f30d27a5be964", "counter": counter,
        "discovery": start_discovery(page(1, true, members), updates), "settings": gateway_settings(counter.is_some()),
        "limits": {"sockets": 256},
    });
    (config, list_updates)
}

/// Starts a gateway and returns it with the path of its configuration file, which a test can overwrite.
pub fn start_from_file(config: &Value, list_updates: Sender<Value>) -> (Gateway, PathBuf) {
    let path = write_config_file(config);
    let address = SocketAddr::from(([0; 4], 0));
    (
        wait_until_up(
            config,
            Gateway {
                address,
                child: spawn_from_file(&path, 1024),
                list_updates,
            },
        ),
        path,
    )
}

/// Starts the built program as a gateway and returns it once `/up` reports that it is ready.
pub fn start_gateway(config: &Value, list_updates: Sender<Value>) -> Gateway {
    wait_until_up(
        config,
        Gateway {
            address: SocketAddr::from(([0; 4], 0)),
            child: spawn_gateway(config),
            list_updates,
        },
    )
}

/// Waits until `/up` on the configured address returns 200 and returns the gateway with that address.
pub fn wait_until_up(config: &Value, mut gateway: Gateway) -> Gateway {
    let address: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
    for _ in 0..500 {
        if TcpStream::connect(address).is_ok()
            && send_request(address, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200
        {
            gateway.address = address;
            return gateway;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("the gateway is not ready in time");
}

/// Starts the program with a configuration and at most 1024 file descriptors.
pub fn spawn_gateway(config: &Value) -> Child {
    spawn_with_limit(config, 1024)
}

/// Starts the program with a limit on file descriptors, independent of the configuration.
pub fn spawn_with_limit(config: &Value, descriptors: u32) -> Child {
    spawn_from_file(&write_config_file(config), descriptors)
}

/// Writes a configuration to a temporary file and returns its path.
fn write_config_file(config: &Value) -> PathBuf {
    static FILES: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "damsonbeam-{}-{}.json",
        std::process::id(),
        FILES.fetch_add(1, Ordering::SeqCst)
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config.to_string()).unwrap();
    path
}

/// Starts the program with a configuration file and a limit on file descriptors.
fn spawn_from_file(path: &Path, descriptors: u32) -> Child {
    let mut command = Command::new("/bin/sh");
    let run = format!(
        "ulimit -n {descriptors}; exec {}",
        env!("CARGO_BIN_EXE_damsonbeam")
    );
    command
        .arg("-c")
        .arg(run)
        .env("NODE_CONFIG", path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Starts a gateway with the default configuration for these backends and this counter.
pub fn start_default_gateway(
    members: &[(&str, SocketAddr)],
    counter: Option<SocketAddr>,
) -> Gateway {
    let (config, list_updates) = gateway_config(members, counter);
    start_gateway(&config, list_updates)
}

/// Returns the head of a GET request that a gateway accepts, with `extra` header lines.
pub fn request(path: &str, extra: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: 9b1f03aa5c7e2d41\r\nX-Tariff: basic\r\n\
         X-Subscriber: 00000000b4d65521\r\nX-Time-Left-Ms: 6000\r\nX-Weight: units=2,spread=1,first=0\r\n{extra}\r\n"
    )
}

/// Opens a connection whose reads time out.
pub fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    BufReader::new(socket)
}

/// Sends a request on a new connection and returns the response, or an empty message where no complete response came.
pub fn send_request(address: SocketAddr, text: &str) -> HttpMessage {
    let mut socket = connect(address);
    socket.get_mut().write_all(text.as_bytes()).ok();
    HttpMessage::read(&mut socket).unwrap_or_default()
}

/// Adds an address for operator requests to a configuration and returns that address.
pub fn set_admin_address(config: &mut Value) -> SocketAddr {
    let listen: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
    let admin = SocketAddr::from((listen.ip(), 9100));
    config["admin_addr"] = json!(admin);
    admin
}

/// Sends an operator request without a body; `method_and_path` is for example `GET /api/ready`.
pub fn call_operator_api(address: SocketAddr, method_and_path: &str) -> HttpMessage {
    send_request(
        address,
        &format!("{method_and_path} HTTP/1.1\r\nHost: x\r\n\r\n"),
    )
}

/// Returns the value of a metric, given its name with labels.
pub fn read_metric(admin: SocketAddr, name: &str) -> Option<i64> {
    let text = String::from_utf8(call_operator_api(admin, "GET /api/telemetry").body).ok()?;
    text.lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
}

/// Waits until `done` returns true; panics after 1000 polls at intervals of 10 ms.
pub fn wait_until(mut done: impl FnMut() -> bool) {
    for _ in 0..1000 {
        if done() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("the expected condition was not met in time");
}

/// Returns the anonymous resident memory of a gateway process, in kB.
pub fn anon_memory_kb(gateway: &Gateway) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
    let kb = status
        .lines()
        .find_map(|l| l.strip_prefix("RssAnon:")?.trim().strip_suffix(" kB"));
    kb.unwrap().parse().unwrap()
}

/// Returns the next value from a channel; panics after `TIMEOUT`.
pub fn receive<T>(receiver: &Receiver<T>) -> T {
    receiver
        .recv_timeout(TIMEOUT)
        .expect("nothing was received in time")
}
