//! Hand-over from an old gateway process to a new one: both run at the same time as one gateway.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::harness::*;

/// Deployment of a gateway: the listening socket, which its processes inherit, and their `$TMPDIR`.
struct Deployment {
    config: Value,
    _list_updates: std::sync::mpsc::Sender<Value>,
    listener: socket2::Socket,
    address: SocketAddr,
    temp_dir: PathBuf,
    /// Number of processes launched so far; each gets its own port for operator requests.
    launched: AtomicUsize,
}

/// A process of a gateway with its address for operator requests; killed on drop.
struct Process {
    child: Child,
    admin: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Process {
    /// Sends a signal to the process, given as an option of `kill`.
    fn signal(&self, name: &str) {
        Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
    }

    /// Reports whether `/api/ready` returns 200.
    fn is_ready(&self) -> bool {
        TcpStream::connect(self.admin).is_ok()
            && call_operator_api(self.admin, "GET /api/ready").status() == 200
    }

    /// Waits up to 8 s for the process to end and reports whether it succeeded.
    fn exits_successfully(&mut self) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(8) {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the process does not end");
    }
}

impl Deployment {
    /// Creates the listening socket and the temporary folder of a gateway with these backends.
    fn new(members: &[(&str, SocketAddr)]) -> Self {
        let (config, list_updates) = gateway_config(members, None);
        let address: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
        let listener =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        listener.bind(&address.into()).unwrap();
        listener.listen(1024).unwrap();
        listener.set_cloexec(false).unwrap();
        let temp_dir = std::env::temp_dir().join(format!(
            "damsonbeam-{}-{}",
            std::process::id(),
            address.ip()
        ));
        std::fs::create_dir_all(&temp_dir).unwrap();
        Deployment {
            config,
            _list_updates: list_updates,
            listener,
            address,
            temp_dir,
            launched: AtomicUsize::new(0),
        }
    }

    /// Returns the path of the hand-over socket.
    fn handover_socket(&self) -> PathBuf {
        self.temp_dir.join("damsonbeam-n0.sock")
    }

    /// Starts another process beside the running ones.
    fn launch_process(&self) -> Process {
        let n = self.launched.fetch_add(1, Ordering::SeqCst);
        let admin = SocketAddr::from((self.address.ip(), 9100 + n as u16));
        let mut config = self.config.clone();
        config["admin_addr"] = json!(admin);
        let path = self.temp_dir.join(format!("config-{n}.json"));
        std::fs::write(&path, config.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_damsonbeam"))
            .env("NODE_CONFIG", path)
            .env("NODE_LISTEN_FD", self.listener.as_raw_fd().to_string())
            .env("TMPDIR", &self.temp_dir)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Process { child, admin }
    }

    /// Starts another process and waits until it is ready.
    fn start_process(&self) -> Process {
        let process = self.launch_process();
        wait_until(|| process.is_ready());
        process
    }

    /// Sends a request with the correlation id `n` and returns the response.
    fn send(&self, n: usize) -> HttpMessage {
        send_request(
            self.address,
            &request("/tile", "").replace("9b1f03aa5c7e2d41", &format!("{n:016x}")),
        )
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.temp_dir).ok();
    }
}

/// What became of the requests of a client.
#[derive(Default)]
struct ClientCounts {
    answered: usize,
    /// The correlation ids of the requests whose connection ended before the response.
    lost: Vec<String>,
}

/// Returns whether the gateway has closed a connection on which no request is waiting.
fn is_closed(socket: &TcpStream) -> bool {
    socket.set_nonblocking(true).unwrap();
    let peeked = socket.peek(&mut [0]);
    socket.set_nonblocking(false).unwrap();
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

/// Starts clients that send one request after another on persistent connections until `stop` is set. As the platform's,
/// they open a new connection where the gateway has closed theirs between two requests.
fn start_load(
    address: SocketAddr,
    clients: usize,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<ClientCounts>> {
    let run_client = move |client: usize, stop: Arc<AtomicBool>| {
        let mut counts = ClientCounts::default();
        let mut n = 0;
        let mut socket = connect(address);
        while !stop.load(Ordering::SeqCst) {
            n += 1;
            if is_closed(socket.get_ref()) {
                socket = connect(address);
            }
            let id = format!("{:016x}", client << 32 | n);
            let text = request("/tile", "").replace("9b1f03aa5c7e2d41", &id);
            socket.get_mut().write_all(text.as_bytes()).ok();
            match HttpMessage::read(&mut socket) {
                Some(response) => {
                    assert_eq!(response.status(), 200);
                    counts.answered += 1;
                    if response.header("connection") == Some("close") {
                        socket = connect(address);
                    }
                }
                None => {
                    counts.lost.push(id);
                    socket = connect(address);
                }
            }
        }
        counts
    };
    (0..clients)
        .map(|client| (client, stop.clone()))
        .map(|(c, s)| thread::spawn(move || run_client(c, s)))
        .collect()
}

#[test]
fn new_process_takes_over_under_load_and_loses_no_accepted_request() {
    let backend = start_backend(|n| {
        // One response in 16 takes 700 ms.
        thread::sleep(Duration::from_millis(if n % 16 == 0 { 700 } else { 3 }));
        Behavior::Respond(response_text("200 OK", "here"))
    });
    let deployment = Deployment::new(&[("s-1", backend.address)]);
    let mut old = deployment.start_process();
    let stop = Arc::<AtomicBool>::default();
    let clients = start_load(deployment.address, 24, &stop);
    thread::sleep(Duration::from_millis(300));
    for _ in 0..3 {
        let new = deployment.start_process();
        assert!(!old.is_ready(), "both processes report ready");
        assert_eq!(
            call_operator_api(old.admin, "POST /api/rejoin").status(),
            409,
            "the old process must not rejoin"
        );
        old.signal("-TERM");
        old.signal("-TERM");
        assert!(old.exits_successfully());
        assert_eq!(
            read_metric(new.admin, "gateway_handovers{step=\"Follows\"}"),
            Some(1)
        );
        old = new;
        thread::sleep(Duration::from_millis(200));
    }
    stop.store(true, Ordering::SeqCst);
    let counts: Vec<_> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let answered: usize = counts.iter().map(|client| client.answered).sum();
    let lost: Vec<&String> = counts.iter().flat_map(|client| &client.lost).collect();
    assert!(answered > 500, "{answered} answered");
    let forwarded = backend.requests.lock().unwrap();
    let is_forwarded = |id: &&String| {
        let mut ids = forwarded.iter().map(|r| r.header("x-correlation-id"));
        ids.any(|other| other == Some(&**id))
    };
    let forwarded_and_lost: Vec<_> = lost.iter().copied().filter(is_forwarded).collect();
    assert!(
        forwarded_and_lost.is_empty(),
        "lost after a backend had them: {forwarded_and_lost:?}"
    );
    // A connection may be closed while a request that no process has read is on its way; the platform lets the client
    // send this request again.
    let lost = lost.len();
    assert!(lost <= 3, "{lost} requests lost, {answered} answered");
}

#[test]
fn old_process_serves_on_when_the_new_one_dies() {
    let backend = start_fixed_backend("here");
    let deployment = Deployment::new(&[("s-1", backend.address)]);
    let old = deployment.start_process();
    // The new process dies at each step before it is ready, and once after.
    let hello = json!({"Hello": {"version": 1, "name": "n0"}}).to_string() + "\n";
    for (n, sent) in ["", &hello, &(hello.clone() + "\"Prepared\"\n")]
        .iter()
        .enumerate()
    {
        let mut connection =
            BufReader::new(UnixStream::connect(deployment.handover_socket()).unwrap());
        connection.get_mut().write_all(sent.as_bytes()).unwrap();
        let lines = sent.lines().count();
        for expected in ["Known", "Carry"].iter().take(lines) {
            let mut line = String::new();
            connection.read_line(&mut line).unwrap();
            assert!(line.contains(expected), "{expected}: {line}");
        }
        drop(connection);
        assert_eq!(
            deployment.send(n).status(),
            200,
            "the old process accepts no more requests after {sent}"
        );
        wait_until(|| old.is_ready());
    }
    let mut new = deployment.start_process();
    assert!(!old.is_ready());
    new.child.kill().unwrap();
    new.child.wait().unwrap();
    wait_until(|| old.is_ready());
    assert_eq!(deployment.send(9).status(), 200);
    // The old process can be replaced again.
    let new = deployment.start_process();
    assert!(new.is_ready() && !old.is_ready());
    assert_eq!(deployment.send(10).status(), 200);
}

#[test]
fn handover_with_another_version_or_gateway_name_is_refused() {
    let backend = start_fixed_backend("here");
    let deployment = Deployment::new(&[("s-1", backend.address)]);
    let old = deployment.start_process();
    for hello in [
        json!({"Hello": {"version": 2, "name": "n0"}}),
        json!({"Hello": {"version": 1, "name": "n1"}}),
    ] {
        let mut connection =
            BufReader::new(UnixStream::connect(deployment.handover_socket()).unwrap());
        connection
            .get_mut()
            .write_all(format!("{hello}\n").as_bytes())
            .unwrap();
        let mut line = String::new();
        assert_eq!(connection.read_line(&mut line).unwrap_or(0), 0, "{line}");
    }
    assert!(old.is_ready());
}

#[test]
fn new_process_serves_alone_when_the_old_one_dies_or_is_silent_during_handover() {
    let backend = start_fixed_backend("here");
    for sent in ["", "\"Taken\"\n", "{\"Known\":null}\n"] {
        let deployment = Deployment::new(&[("s-1", backend.address)]);
        let handover_socket = UnixListener::bind(deployment.handover_socket()).unwrap();
        let old_process = thread::spawn(move || {
            let (mut connection, _) = handover_socket.accept().unwrap();
            connection.write_all(sent.as_bytes()).unwrap();
            let mut hello = String::new();
            BufReader::new(connection.try_clone().unwrap())
                .read_line(&mut hello)
                .unwrap();
            if sent.is_empty() {
                // The old process keeps the connection open and sends nothing.
                thread::sleep(Duration::from_secs(3));
            }
        });
        let start = Instant::now();
        let new = deployment.start_process();
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "{sent}: the new process must be ready within 6 s"
        );
        assert_eq!(deployment.send(1).status(), 200);
        assert_eq!(
            read_metric(new.admin, "gateway_handovers{step=\"Alone\"}"),
            Some(1)
        );
        old_process.join().unwrap();
    }
}

#[test]
fn new_process_starts_beside_an_old_version_without_handover() {
    let backend = start_fixed_backend("here");
    let deployment = Deployment::new(&[("s-1", backend.address)]);
    let old = deployment.start_process();
    // Without the hand-over socket the old process looks to the new one like a version without hand-over.
    std::fs::remove_file(deployment.handover_socket()).unwrap();
    let new = deployment.start_process();
    assert!(old.is_ready() && new.is_ready());
    old.signal("-TERM");
    for n in 0..20 {
        assert_eq!(deployment.send(n).status(), 200);
    }
}

#[test]
fn descriptor_that_is_no_listening_socket_is_rejected_naming_node_listen_fd() {
    let (config, _list_updates) = gateway_config(&[], None);
    let path = std::env::temp_dir().join(format!("damsonbeam-fd-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).unwrap();
    for fd in ["5000", "x", "0"] {
        let output = Command::new(env!("CARGO_BIN_EXE_damsonbeam"))
            .env("NODE_CONFIG", &path)
            .env("NODE_LISTEN_FD", fd)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && text.contains("NODE_LISTEN_FD"),
            "{fd}: {text}"
        );
    }
}
