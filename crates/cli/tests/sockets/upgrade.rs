//! A new version under load: two processes of the built program are one gateway for a while.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::stand_ins::*;

/// A gateway's place on the platform: its listening socket, which processes inherit, and its `$TMPDIR`.
struct Place {
    config: Value,
    _list: std::sync::mpsc::Sender<Value>,
    listener: socket2::Socket,
    at: SocketAddr,
    tmp: PathBuf,
    /// Where the processes' operators call, by their order.
    processes: AtomicUsize,
}

/// One process of a gateway, and where its operators call.
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
    fn signal(&self, name: &str) {
        Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
    }

    fn ready(&self) -> bool {
        std::net::TcpStream::connect(self.admin).is_ok()
            && call(self.admin, "GET /api/ready").status() == 200
    }

    fn ends(&mut self) -> bool {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(8) {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("it does not end");
    }
}

impl Place {
    fn new(members: &[(&str, SocketAddr)]) -> Self {
        let (config, list) = config(members, None);
        let at: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
        let listener =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        listener.bind(&at.into()).unwrap();
        listener.listen(1024).unwrap();
        listener.set_cloexec(false).unwrap();
        let tmp =
            std::env::temp_dir().join(format!("damsonbeam-{}-{}", std::process::id(), at.ip()));
        std::fs::create_dir_all(&tmp).unwrap();
        Place {
            config,
            _list: list,
            listener,
            at,
            tmp,
            processes: AtomicUsize::new(0),
        }
    }

    fn seat(&self) -> PathBuf {
        self.tmp.join("damsonbeam-n0.sock")
    }

    /// Another process, started beside whatever runs.
    fn launch(&self) -> Process {
        let n = self.processes.fetch_add(1, Ordering::SeqCst);
        let admin = SocketAddr::from((self.at.ip(), 9100 + n as u16));
        let mut config = self.config.clone();
        config["admin_addr"] = json!(admin);
        let path = self.tmp.join(format!("config-{n}.json"));
        std::fs::write(&path, config.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_damsonbeam"))
            .env("NODE_CONFIG", path)
            .env("NODE_LISTEN_FD", self.listener.as_raw_fd().to_string())
            .env("TMPDIR", &self.tmp)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Process { child, admin }
    }

    fn start(&self) -> Process {
        let process = self.launch();
        until(|| process.ready());
        process
    }

    fn ask(&self, n: usize) -> Message {
        ask(
            self.at,
            &request("/tile", "").replace("9b1f03aa5c7e2d41", &format!("{n:016x}")),
        )
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.tmp).ok();
    }
}

/// Clients that ask one after another on kept connections until told to stop; how many were answered, and how
/// many were not: their connection ended before the answer, though it had been asked on in good time.
fn load(
    at: SocketAddr,
    clients: usize,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<(usize, usize)>> {
    let one = move |client: usize, stop: Arc<AtomicBool>| {
        let (mut answered, mut lost, mut n) = (0, 0, 0);
        let mut socket = connect(at);
        while !stop.load(Ordering::SeqCst) {
            n += 1;
            let text = request("/tile", "")
                .replace("9b1f03aa5c7e2d41", &format!("{:016x}", client << 32 | n));
            socket.get_mut().write_all(text.as_bytes()).ok();
            match Message::read(&mut socket) {
                Some(answer) => {
                    assert_eq!(answer.status(), 200);
                    answered += 1;
                    if answer.header("connection") == Some("close") {
                        socket = connect(at);
                    }
                }
                None => {
                    lost += 1;
                    socket = connect(at);
                }
            }
        }
        (answered, lost)
    };
    (0..clients)
        .map(|client| (client, stop.clone()))
        .map(|(c, s)| thread::spawn(move || one(c, s)))
        .collect()
}

#[test]
fn under_load_a_new_process_takes_the_place_of_the_old_and_nothing_is_lost() {
    let backend = backend(|n| {
        // Some answers are long on the way.
        thread::sleep(Duration::from_millis(if n % 16 == 0 { 700 } else { 3 }));
        Does::Answers(answer("200 OK", "here"))
    });
    let place = Place::new(&[("s-1", backend.at)]);
    let mut old = place.start();
    let stop = Arc::<AtomicBool>::default();
    let clients = load(place.at, 24, &stop);
    thread::sleep(Duration::from_millis(300));
    for _ in 0..3 {
        let new = place.start();
        assert!(!old.ready(), "both say that they are ready");
        assert_eq!(
            call(old.admin, "POST /api/rejoin").status(),
            409,
            "it is not the old one's any more"
        );
        old.signal("-TERM");
        old.signal("-TERM");
        assert!(old.ends());
        assert_eq!(
            figure(new.admin, "gateway_handovers{step=\"Follows\"}"),
            Some(1)
        );
        old = new;
        thread::sleep(Duration::from_millis(200));
    }
    stop.store(true, Ordering::SeqCst);
    let all: Vec<_> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let (answered, lost) = all.iter().fold((0, 0), |(a, l), (x, y)| (a + x, l + y));
    assert!(answered > 500, "{answered} answered");
    // A close may cross a request that nobody read; the platform has its client send that again.
    assert!(lost <= 3, "{lost} of {answered} ended at the door");
}

#[test]
fn the_old_process_serves_on_where_the_new_one_dies() {
    let backend = serves("here");
    let place = Place::new(&[("s-1", backend.at)]);
    let old = place.start();
    // It dies at each step before its yes, and once after it.
    let hello = json!({"Hello": {"version": 1, "name": "n0"}}).to_string() + "\n";
    for (n, said) in ["", &hello, &(hello.clone() + "\"Prepared\"\n")]
        .iter()
        .enumerate()
    {
        let mut link = BufReader::new(UnixStream::connect(place.seat()).unwrap());
        link.get_mut().write_all(said.as_bytes()).unwrap();
        let lines = said.lines().count();
        for expected in ["Known", "Carry"].iter().take(lines) {
            let mut line = String::new();
            link.read_line(&mut line).unwrap();
            assert!(line.contains(expected), "{expected}: {line}");
        }
        drop(link);
        assert_eq!(
            place.ask(n).status(),
            200,
            "it accepts no more after {said}"
        );
        until(|| old.ready());
    }
    let mut new = place.start();
    assert!(!old.ready());
    new.child.kill().unwrap();
    new.child.wait().unwrap();
    until(|| old.ready());
    assert_eq!(place.ask(9).status(), 200);
    // And it can be followed again.
    let new = place.start();
    assert!(new.ready() && !old.ready());
    assert_eq!(place.ask(10).status(), 200);
}

#[test]
fn one_that_speaks_another_version_or_for_another_gateway_gets_nothing() {
    let backend = serves("here");
    let place = Place::new(&[("s-1", backend.at)]);
    let old = place.start();
    for hello in [
        json!({"Hello": {"version": 2, "name": "n0"}}),
        json!({"Hello": {"version": 1, "name": "n1"}}),
    ] {
        let mut link = BufReader::new(UnixStream::connect(place.seat()).unwrap());
        link.get_mut()
            .write_all(format!("{hello}\n").as_bytes())
            .unwrap();
        let mut line = String::new();
        assert_eq!(link.read_line(&mut line).unwrap_or(0), 0, "{line}");
    }
    assert!(old.ready());
}

#[test]
fn the_new_process_serves_alone_where_the_old_one_dies_midway_or_says_nothing() {
    let backend = serves("here");
    for says in ["", "\"Taken\"\n", "{\"Known\":null}\n"] {
        let place = Place::new(&[("s-1", backend.at)]);
        let seat = UnixListener::bind(place.seat()).unwrap();
        let stand_in = thread::spawn(move || {
            let (mut link, _) = seat.accept().unwrap();
            link.write_all(says.as_bytes()).unwrap();
            let mut hello = String::new();
            BufReader::new(link.try_clone().unwrap())
                .read_line(&mut hello)
                .unwrap();
            if says.is_empty() {
                // It is there, and hangs.
                thread::sleep(Duration::from_secs(3));
            }
        });
        let began = Instant::now();
        let new = place.start();
        assert!(
            began.elapsed() < Duration::from_secs(5),
            "{says}: its yes is due within 6 s"
        );
        assert_eq!(place.ask(1).status(), 200);
        assert_eq!(
            figure(new.admin, "gateway_handovers{step=\"Alone\"}"),
            Some(1)
        );
        stand_in.join().unwrap();
    }
}

#[test]
fn an_old_version_that_knows_no_hand_over_is_started_beside() {
    let backend = serves("here");
    let place = Place::new(&[("s-1", backend.at)]);
    let old = place.start();
    // To the new one it looks so: nothing listens where a hand-over would be asked for.
    std::fs::remove_file(place.seat()).unwrap();
    let new = place.start();
    assert!(old.ready() && new.ready());
    old.signal("-TERM");
    for n in 0..20 {
        assert_eq!(place.ask(n).status(), 200);
    }
}

#[test]
fn a_descriptor_that_does_not_listen_is_named_in_one_line() {
    let (config, _list) = config(&[], None);
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
