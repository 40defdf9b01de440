//! Stand-ins for all that a gateway meets, on loopback, and a client.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub use damsonbeam_lab::plain::{Message, answer};
use serde_json::{Value, json};

/// Nothing here takes this long; what does hangs.
const HANGS: Duration = Duration::from_secs(20);

/// What a backend does with a request.
pub enum Does {
    Answers(String),
    /// The same, and goes on reading nothing: the connection stays open, or ends where no length was said.
    Says(String),
    Breaks,
    /// Says nothing, and tells when the connection ends.
    Hangs(Sender<()>),
}

pub struct Backend {
    pub at: SocketAddr,
    pub got: Arc<Mutex<Vec<Message>>>,
}

/// `does` is told how many requests came before.
pub fn backend(does: impl Fn(usize) -> Does + Send + Sync + 'static) -> Backend {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (at, does, got) = (
        listener.local_addr().unwrap(),
        Arc::new(does),
        Arc::<Mutex<Vec<_>>>::default(),
    );
    let seen = got.clone();
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let (does, seen) = (does.clone(), seen.clone());
            thread::spawn(move || {
                let (mut out, mut from) = (socket.try_clone().unwrap(), BufReader::new(socket));
                while let Some(request) = Message::read(&mut from) {
                    let n = seen
                        .lock()
                        .map(|mut s| (s.len(), s.push(request)).0)
                        .unwrap();
                    match does(n) {
                        Does::Answers(text) => out.write_all(text.as_bytes()).unwrap_or(()),
                        Does::Says(text) => {
                            out.write_all(text.as_bytes()).ok();
                            if text.contains("Length") {
                                from.fill_buf().ok();
                            }
                            return;
                        }
                        Does::Breaks => return,
                        Does::Hangs(ended) => {
                            from.fill_buf().ok();
                            ended.send(()).ok();
                            return;
                        }
                    }
                }
            });
        }
    });
    Backend { at, got }
}

/// A backend that holds what it does with request `held`: the word that it has come, and the leave to go on.
pub fn holds(
    held: usize,
    does: impl Fn(usize) -> Does + Send + Sync + 'static,
) -> (Backend, Receiver<()>, Sender<()>) {
    let ((asked, told), (go, may)) = (channel(), channel::<()>());
    let may = Mutex::new(may);
    let backend = backend(move |n| {
        if n == held {
            asked.send(()).unwrap();
            may.lock().unwrap().recv().ok();
        }
        does(n)
    });
    (backend, told, go)
}

/// An address that refuses connections until its socket listens.
pub fn unheard() -> (socket2::Socket, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let at = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, at)
}

pub fn serves(body: &'static str) -> Backend {
    backend(move |_| Does::Answers(answer("200 OK", body)))
}

/// A counter: what to write on each line, given how many came before; the lines it got.
pub fn counter(
    does: impl Fn(usize, &str) -> String + Send + Sync + 'static,
) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (at, does, calls) = (
        listener.local_addr().unwrap(),
        Arc::new(does),
        Arc::<Mutex<Vec<_>>>::default(),
    );
    let (seen, n) = (calls.clone(), Arc::new(AtomicUsize::new(0)));
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let (does, seen, n) = (does.clone(), seen.clone(), n.clone());
            thread::spawn(move || {
                let mut out = socket.try_clone().unwrap();
                for line in BufReader::new(socket).lines().map_while(Result::ok) {
                    let text = does(n.fetch_add(1, Ordering::SeqCst), &line);
                    seen.lock().unwrap().push(line);
                    out.write_all(text.as_bytes()).ok();
                }
            });
        }
    });
    (at, calls)
}

/// Discovery: the whole list, then what is sent to it, an answer to a watch each; null breaks the connection,
/// a text leaves it silent.
pub fn discovery(whole: Value, changes: Receiver<Value>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (at, all) = (
        listener.local_addr().unwrap(),
        Arc::new((whole, Mutex::new(changes))),
    );
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let all = all.clone();
            thread::spawn(move || {
                let (mut out, mut from) = (socket.try_clone().unwrap(), BufReader::new(socket));
                while let Some(request) = Message::read(&mut from) {
                    let page = match request.first.contains("from=") {
                        true => all.1.lock().unwrap().recv_timeout(Duration::from_secs(1)),
                        false => Ok(all.0.clone()),
                    };
                    match page {
                        Ok(Value::Null) | Err(RecvTimeoutError::Disconnected) => return,
                        Ok(Value::String(_)) => drop(from.fill_buf()),
                        Ok(page) => out
                            .write_all(answer("200 OK", &page.to_string()).as_bytes())
                            .unwrap_or(()),
                        // Nothing is new.
                        Err(RecvTimeoutError::Timeout) => {
                            let same = all.0["revision"].as_u64().unwrap();
                            let none = self::page(same, false, vec![]).to_string();
                            out.write_all(answer("200 OK", &none).as_bytes())
                                .unwrap_or(())
                        }
                    }
                }
            });
        }
    });
    at
}

pub fn member(id: &str, at: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": at, "locality": "a", "flavor": "m", "cell": 0, "phase": phase, "size": 1.0,
        "up_since_ms": 0})
}

pub fn page(revision: u64, complete: bool, members: Vec<Value>) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

fn settings(has_counter: bool) -> Value {
    // Without a counter no test is about quotas; with one, customers far below theirs would not ask it.
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

pub struct Gateway {
    pub at: SocketAddr,
    pub child: Child,
    pub list: Sender<Value>,
}

impl Gateway {
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

pub fn config(
    members: &[(&str, SocketAddr)],
    counter: Option<SocketAddr>,
) -> (Value, Sender<Value>) {
    let members = members
        .iter()
        .map(|(id, at)| member(id, *at, "active"))
        .collect();
    let (list, changes) = channel();
    // An address of its own: a port given back for it to take could be taken by another test first.
    static GATEWAYS: AtomicUsize = AtomicUsize::new(0);
    let (n, process) = (GATEWAYS.fetch_add(1, Ordering::SeqCst), std::process::id());
    let at = format!(
        "127.{}.{}.{}:9000",
        10 + process % 200,
        process / 200 % 250,
        1 + n
    );
    let config = json!({
        "name": "n0", "listen": at, "seed": "8c1f30d27a5be964", "counter": counter,
        "discovery": discovery(page(1, true, members), changes), "settings": settings(counter.is_some()),
        "limits": {"sockets": 256},
    });
    (config, list)
}

/// A gateway with its configuration's file, to be replaced under it.
pub fn reloadable(config: &Value, list: Sender<Value>) -> (Gateway, PathBuf) {
    let path = file(config);
    let at = SocketAddr::from(([0; 4], 0));
    (
        up(
            config,
            Gateway {
                at,
                child: launch_from(&path, 1024),
                list,
            },
        ),
        path,
    )
}

/// A gateway of the built program; it is there to be asked once it says that it is up.
pub fn start(config: &Value, list: Sender<Value>) -> Gateway {
    up(
        config,
        Gateway {
            at: SocketAddr::from(([0; 4], 0)),
            child: launch(config),
            list,
        },
    )
}

pub fn up(config: &Value, mut gateway: Gateway) -> Gateway {
    let at: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
    for _ in 0..500 {
        if TcpStream::connect(at).is_ok()
            && ask(at, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200
        {
            gateway.at = at;
            return gateway;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("the gateway does not come up");
}

pub fn launch(config: &Value) -> Child {
    launch_with(config, 1024)
}

/// With so many descriptors, whatever the configuration says.
pub fn launch_with(config: &Value, descriptors: u32) -> Child {
    launch_from(&file(config), descriptors)
}

fn file(config: &Value) -> PathBuf {
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

fn launch_from(path: &Path, descriptors: u32) -> Child {
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

pub fn gateway(members: &[(&str, SocketAddr)], counter: Option<SocketAddr>) -> Gateway {
    let (config, list) = config(members, counter);
    start(&config, list)
}

pub fn request(path: &str, extra: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: 9b1f03aa5c7e2d41\r\nX-Tariff: basic\r\n\
         X-Subscriber: 00000000b4d65521\r\nX-Time-Left-Ms: 6000\r\nX-Weight: units=2,spread=1,first=0\r\n{extra}\r\n"
    )
}

pub fn connect(at: SocketAddr) -> BufReader<TcpStream> {
    let socket = TcpStream::connect(at).unwrap();
    socket.set_read_timeout(Some(HANGS)).unwrap();
    BufReader::new(socket)
}

/// Asks on a connection of its own; an empty answer where none came whole.
pub fn ask(at: SocketAddr, text: &str) -> Message {
    let mut socket = connect(at);
    socket.get_mut().write_all(text.as_bytes()).ok();
    Message::read(&mut socket).unwrap_or_default()
}

/// Has a configuration's gateway hear operators, at an address of its own, which comes back.
pub fn admin(config: &mut Value) -> SocketAddr {
    let listen: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
    let admin = SocketAddr::from((listen.ip(), 9100));
    config["admin_addr"] = json!(admin);
    admin
}

/// An operator's call: method and path.
pub fn call(at: SocketAddr, what: &str) -> Message {
    ask(at, &format!("{what} HTTP/1.1\r\nHost: x\r\n\r\n"))
}

/// One of the figures, by its name with its label.
pub fn figure(admin: SocketAddr, name: &str) -> Option<i64> {
    let text = String::from_utf8(call(admin, "GET /api/telemetry").body).ok()?;
    text.lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
}

pub fn until(mut done: impl FnMut() -> bool) {
    for _ in 0..1000 {
        if done() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("it does not come to it");
}

/// Memory that is a gateway's own.
pub fn rss_kb(gateway: &Gateway) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
    let kb = status
        .lines()
        .find_map(|l| l.strip_prefix("RssAnon:")?.trim().strip_suffix(" kB"));
    kb.unwrap().parse().unwrap()
}

pub fn wait<T>(from: &Receiver<T>) -> T {
    from.recv_timeout(HANGS).expect("it hangs")
}
