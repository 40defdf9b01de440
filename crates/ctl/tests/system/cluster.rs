//! A cluster of machines on loopback, each with an address of its own: the three programs as processes, and stand-ins
//! for the platform, the backends, the operator and clients.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use damsonbeam_lab::plain::{Message, answer};

/// What takes so long does not come.
const HANGS: Duration = Duration::from_secs(30);

/// A program of the system as it was built for tests; built now where only this test was asked for.
fn built(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_BIN_EXE_damsonbeam-ctl")).with_file_name(name);
    if !path.exists() {
        let made = Command::new(env!("CARGO"))
            .args(["build", "--locked", "-p", name])
            .status();
        assert!(
            made.is_ok_and(|s| s.success()) && path.exists(),
            "{name} can't be built"
        );
    }
    path
}

/// Asks on a connection of its own; an empty answer where none came whole.
pub fn ask(at: SocketAddr, text: &str) -> Message {
    let Ok(socket) = TcpStream::connect_timeout(&at, Duration::from_secs(1)) else {
        return Message::default();
    };
    socket
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("set");
    let mut socket = BufReader::new(socket);
    socket.get_mut().write_all(text.as_bytes()).ok();
    Message::read(&mut socket).unwrap_or_default()
}

pub fn call(at: SocketAddr, what: &str, body: &str) -> Message {
    ask(
        at,
        &format!(
            "{what} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ),
    )
}

fn listen(does: impl Fn(Message) -> String + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (at, does) = (listener.local_addr().expect("bound"), Arc::new(does));
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let does = does.clone();
            thread::spawn(move || {
                let (mut out, mut from) =
                    (socket.try_clone().expect("cloned"), BufReader::new(socket));
                while let Some(request) = Message::read(&mut from) {
                    out.write_all(does(request).as_bytes()).unwrap_or(());
                }
            });
        }
    });
    at
}

/// A backend of a service; what it ran is kept.
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub at: SocketAddr,
    pub ran: Arc<Mutex<Vec<Message>>>,
}

impl Server {
    pub fn start(id: &str, service: &str, zone: &str) -> Self {
        let ran = Arc::<Mutex<Vec<Message>>>::default();
        let (kept, me) = (ran.clone(), id.to_string());
        let at = listen(move |request| {
            let name = request
                .header("x-request-id")
                .unwrap_or_default()
                .to_string();
            if request.header("x-target-instance").is_some_and(|i| i != me) {
                return answer("421 Other\r\nX-Not-Executed: 1", "");
            }
            kept.lock().expect("whole").push(request);
            answer(
                &format!("200 OK\r\nX-Response-Seal: s\r\nX-Request-Id: {name}"),
                &me,
            )
        });
        Server {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            at,
            ran,
        }
    }
}

/// What a day's machines are told.
pub struct Plan {
    /// Zones with their regions, and how many edge and core machines stand in each.
    pub zones: Vec<(&'static str, &'static str, usize, usize)>,
    pub bounds: Vec<&'static str>,
    pub cloud: bool,
    /// Words for the proxies' command line.
    pub words: &'static [&'static str],
}

pub struct Cluster {
    pub machines: Vec<Machine>,
    folder: PathBuf,
    plan: Plan,
    list: Arc<Mutex<Vec<String>>>,
    cloud: SocketAddr,
    /// Lines of all programs' logs: what is waited for is looked at after each.
    lines: (Sender<String>, Receiver<String>),
}

pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub region: String,
    pub core: bool,
    /// Control addresses that its settings name; none of its own: those of the first three core machines.
    seeds: Option<Vec<SocketAddr>>,
    children: BTreeMap<&'static str, Child>,
}

pub const REGISTRY: &str = "damsonbeam-registry";
pub const STORE: &str = "damsonbeam-config-store";
pub const PROXY: &str = "damsonbeam-proxy";

impl Machine {
    fn programs(&self) -> &'static [&'static str] {
        if self.core {
            &[REGISTRY, STORE]
        } else {
            &[PROXY]
        }
    }

    pub fn at(&self, port: u16) -> SocketAddr {
        (self.ip, port).into()
    }
}

pub const FRONT: u16 = 8686;
pub const READY: u16 = 8680;
pub const CONTROL: u16 = 8688;
pub const DIRECTORY: u16 = 8689;

impl Cluster {
    pub fn new(plan: Plan, servers: &[Server]) -> Self {
        static STREETS: AtomicU32 = AtomicU32::new(0);
        let (n, process) = (STREETS.fetch_add(1, Ordering::SeqCst), std::process::id());
        let (a, b) = (
            (100 + process % 140) as u8,
            ((process / 140 * 8 + n) % 250) as u8,
        );
        let list = Arc::<Mutex<Vec<String>>>::default();
        let told = list.clone();
        let cloud = listen(move |_| {
            let all = told.lock().expect("whole").join(",");
            answer(
                "200 OK",
                &format!("{{\"instances\":[{all}],\"next_page_token\":null}}"),
            )
        });
        let mut machines = Vec::new();
        for (zone, region, edges, cores) in &plan.zones {
            for core in (0..edges + cores).map(|i| i >= *edges) {
                let name = format!(
                    "{}-{zone}-{}",
                    if core { "core" } else { "edge" },
                    machines.len()
                );
                let ip = Ipv4Addr::new(127, a, b, 1 + machines.len() as u8);
                let (zone, region) = (zone.to_string(), region.to_string());
                machines.push(Machine {
                    name,
                    ip,
                    zone,
                    region,
                    core,
                    seeds: None,
                    children: BTreeMap::new(),
                });
            }
        }
        let folder = std::env::temp_dir().join(format!("damsonbeam-cluster-{process}-{n}"));
        let lines = channel();
        let cluster = Cluster {
            machines,
            folder,
            plan,
            list,
            cloud,
            lines,
        };
        cluster.set_list(servers, &[]);
        cluster
    }

    /// The platform's list; those named drain.
    pub fn set_list(&self, servers: &[Server], draining: &[&str]) {
        let entry = |s: &Server| {
            let state = if draining.contains(&&*s.id) {
                "draining"
            } else {
                "ready"
            };
            format!(
                r#"{{"id":"{}","target_service":"{}","address":"{}","zone":"{}","config_version":"v1","capacity_slots":4,"state":"{state}","cold_remaining_ms":0}}"#,
                s.id, s.service, s.at, s.zone
            )
        };
        *self.list.lock().expect("whole") = servers.iter().map(entry).collect();
    }

    fn settings(&self, machine: &Machine, program: &str, first: bool) -> String {
        let zones = self
            .plan
            .zones
            .iter()
            .map(|z| format!("\"{}\":\"{}\"", z.0, z.1))
            .collect::<Vec<_>>();
        let first_three = || {
            self.machines
                .iter()
                .filter(|m| m.core)
                .take(3)
                .map(|m| m.at(CONTROL))
                .collect()
        };
        let seeds: Vec<SocketAddr> = machine.seeds.clone().unwrap_or_else(first_three);
        let seeds = seeds
            .iter()
            .map(|s| format!("\"{s}\""))
            .collect::<Vec<_>>()
            .join(",");
        let listens: &[(&str, u16)] = match program {
            PROXY => &[("front", FRONT), ("readiness", READY)],
            REGISTRY => &[("control", CONTROL), ("directory", DIRECTORY)],
            _ => &[],
        };
        let listens = listens
            .iter()
            .map(|l| format!("\"{}\":\"{}\"", l.0, machine.at(l.1)));
        let listens = listens.collect::<Vec<_>>().join(",");
        let bounds = self
            .plan
            .bounds
            .iter()
            .map(|b| format!("\"{b}\""))
            .collect::<Vec<_>>()
            .join(",");
        let cloud = match self.plan.cloud {
            true => format!(
                "{{\"address\":\"{}\",\"rate_per_s\":20.0,\"duties\":[],\"max_lag_ms\":100}}",
                self.cloud
            ),
            false => "null".into(),
        };
        let disk = match machine.core {
            true => format!("{:?}", self.disk(machine)),
            false => "null".into(),
        };
        format!(
            r#"{{"node_name":"{}","role":"r","machine_class":"c","serves":[],"ip_address":"{}","zone":"{}","region":"{}",
"zones":{{{}}},"listen_addresses":{{{listens}}},"internal_port_range":[7740,7755],"seed_nodes":[{seeds}],
"initial_start":{first},"loss_counted":{},"limits":{{"cpu_share":1.0,"cpu_cores":1,"memory_mb":256,"file_descriptors":1024,"bandwidth_mbps":1000.0,"disk_mb":256}},
"data_directory":{disk},"active_contracts":["base"],"fault_tolerance":{{"machines":1,"zones":1,"regions":0}},"timing_bounds":[{bounds}],"cloud_api":{cloud},"a_field_of_tomorrow":1}}"#,
            machine.name,
            machine.ip,
            machine.zone,
            machine.region,
            zones.join(","),
            machine.core,
        )
    }

    /// Starts what does not run on those machines.
    pub fn start(&mut self, first: bool, which: impl Fn(&Machine) -> bool) {
        for n in 0..self.machines.len() {
            if !which(&self.machines[n]) {
                continue;
            }
            for program in self.machines[n].programs() {
                if self.machines[n].children.contains_key(program) {
                    continue;
                }
                let text = self.settings(&self.machines[n], program, first);
                std::fs::create_dir_all(&self.folder).expect("a folder");
                let file = self
                    .folder
                    .join(format!("{}-{program}.json", self.machines[n].name));
                std::fs::write(&file, text).expect("written");
                // A write beyond a limit on file sizes is refused, as by a full disk, and ends nothing.
                let mut command = Command::new("sh");
                command
                    .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
                    .arg(built(program));
                command
                    .env("DAMSONBEAM_CONFIG", file)
                    .env("DAMSONBEAM_LOG", "debug");
                if *program == PROXY {
                    command.args(self.plan.words);
                }
                let mut child = command.stderr(Stdio::piped()).spawn().expect("starts");
                let (from, to) = (
                    BufReader::new(child.stderr.take().expect("piped")),
                    self.lines.0.clone(),
                );
                thread::spawn(move || {
                    from.lines()
                        .map_while(Result::ok)
                        .all(|l| to.send(l).is_ok())
                });
                self.machines[n].children.insert(program, child);
            }
        }
    }

    /// Kills what runs on those machines.
    pub fn kill(&mut self, which: impl Fn(&Machine) -> bool) {
        for m in self.machines.iter_mut().filter(|m| which(m)) {
            for child in m.children.values_mut() {
                child.kill().expect("killed");
            }
            std::mem::take(&mut m.children)
                .into_values()
                .for_each(|mut c| drop(c.wait()));
        }
    }

    /// Until it holds: looked at after each line that a program writes, and as time goes by.
    pub fn until(&mut self, what: &str, mut holds: impl FnMut(&Cluster) -> bool) {
        let until = Instant::now() + HANGS;
        while !holds(self) {
            assert!(Instant::now() < until, "it does not come to it: {what}");
            self.lines.1.recv_timeout(Duration::from_millis(50)).ok();
            // What waits already needs no look each.
            while self.lines.1.try_recv().is_ok() {}
        }
    }

    pub fn signal(&self, machine: usize, name: &str) {
        self.machines[machine]
            .children
            .keys()
            .for_each(|program| self.signal_program(machine, program, name));
    }

    pub fn signal_program(&self, machine: usize, program: &str, name: &str) {
        let child = &self.machines[machine].children[program];
        let sent = Command::new("kill")
            .arg(name)
            .arg(child.id().to_string())
            .status();
        assert!(
            sent.is_ok_and(|s| s.success()),
            "{name} is not sent to {program}"
        );
    }

    /// Stops all programs of those machines where they are; they say nothing until they are thawed.
    pub fn freeze(&self, machines: &[usize]) {
        machines.iter().for_each(|m| self.signal(*m, "-STOP"));
    }

    pub fn thaw(&self, machines: &[usize]) {
        machines.iter().for_each(|m| self.signal(*m, "-CONT"));
    }

    pub fn kill_one(&mut self, machine: usize) {
        let name = self.machines[machine].name.clone();
        self.kill(|m| m.name == name);
    }

    pub fn start_one(&mut self, machine: usize) {
        let name = self.machines[machine].name.clone();
        self.start(false, |m| m.name == name);
    }

    /// The disk of a machine whose programs have ended is lost.
    pub fn wipe(&self, machine: usize) {
        let machine = &self.machines[machine];
        assert!(machine.children.is_empty(), "{} runs", machine.name);
        std::fs::remove_dir_all(self.disk(machine)).expect("a disk that was written");
    }

    /// Refuses each write of a machine's store from now on, as a full disk does, or takes them again.
    pub fn set_disk_full(&self, machine: usize, full: bool) {
        let limit = if full {
            "--fsize=1:unlimited"
        } else {
            "--fsize=unlimited:unlimited"
        };
        let store = self.machines[machine].children[STORE].id().to_string();
        let set = Command::new("prlimit")
            .args(["--pid", &store, limit])
            .status();
        assert!(
            set.is_ok_and(|s| s.success()),
            "prlimit does not set the limit"
        );
    }

    /// A machine for the core with an empty disk and those seeds; it does not run yet.
    pub fn add_core(&mut self, zone: &str, seeds: Vec<SocketAddr>) -> usize {
        let number = self.machines.len();
        let region = self
            .plan
            .zones
            .iter()
            .find(|z| z.0 == zone)
            .expect("a zone of the plan")
            .1;
        let [net, high, low, _] = self.machines[0].ip.octets();
        let ip = Ipv4Addr::new(net, high, low, 1 + number as u8);
        let name = format!("core-{zone}-{number}");
        let (zone, region, seeds) = (zone.to_string(), region.to_string(), Some(seeds));
        self.machines.push(Machine {
            name,
            ip,
            zone,
            region,
            core: true,
            seeds,
            children: BTreeMap::new(),
        });
        number
    }

    pub fn set_seeds(&mut self, machine: usize, seeds: Vec<SocketAddr>) {
        self.machines[machine].seeds = Some(seeds);
    }

    fn disk(&self, machine: &Machine) -> PathBuf {
        self.folder.join(&machine.name)
    }

    /// Where a machine's store has its files.
    pub fn store_folder(&self, machine: usize) -> PathBuf {
        self.disk(&self.machines[machine])
    }

    /// Whether a program has not ended by itself.
    pub fn runs(&mut self, machine: usize, program: &str) -> bool {
        let child = self.machines[machine].children.get_mut(program);
        child.is_some_and(|c| c.try_wait().is_ok_and(|ended| ended.is_none()))
    }

    /// The exit code of one program, once it has ended by itself.
    pub fn ended_program(&mut self, machine: usize, program: &str) -> Option<i32> {
        let child = self.machines[machine].children.remove(program);
        child
            .expect("it was started")
            .wait()
            .expect("waited")
            .code()
    }

    pub fn control(&self, machine: usize) -> SocketAddr {
        self.machines[machine].at(CONTROL)
    }

    /// Core machines whose programs run, frozen ones among them.
    pub fn running_core(&self) -> Vec<usize> {
        let runs = |n: &usize| self.machines[*n].core && !self.machines[*n].children.is_empty();
        (0..self.machines.len()).filter(runs).collect()
    }

    /// Exit codes of a machine's programs, once they have ended by themselves.
    pub fn ended(&mut self, machine: usize) -> Vec<Option<i32>> {
        let children = std::mem::take(&mut self.machines[machine].children);
        children
            .into_values()
            .map(|mut c| c.wait().expect("waited").code())
            .collect()
    }

    pub fn edges(&self) -> Vec<SocketAddr> {
        self.edges_at(FRONT)
    }

    /// A port of all proxies' machines.
    pub fn edges_at(&self, port: u16) -> Vec<SocketAddr> {
        let edges = self.machines.iter().filter(|m| !m.core);
        edges.map(|m| m.at(port)).collect()
    }

    /// The operator's call, sent again to the next running core machine as long as none answers it clearly.
    pub fn order(&mut self, what: &str, body: &str) -> Message {
        let all: Vec<SocketAddr> = self
            .running_core()
            .into_iter()
            .map(|n| self.control(n))
            .collect();
        let (mut answer, mut n) = (Message::default(), 0);
        self.until(what, |_| {
            answer = call(all[n % all.len()], what, body);
            n += 1;
            !matches!(answer.status(), 0 | 503)
        });
        answer
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.kill(|_| true);
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// A server that takes requests and says nothing.
pub fn hanging() -> SocketAddr {
    listen(|_| {
        loop {
            thread::park();
        }
    })
}
