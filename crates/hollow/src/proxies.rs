//! Hollow proxies: the real links, configuration and counts of a proxy without its data plane, many to a process.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use damsonbeam_control::address::{Endpoint, ip_octets};
use damsonbeam_control::config::{ItemKey, ItemKind};
use damsonbeam_control::messages::{Message, ProxyStatus};
use damsonbeam_control::settings::Settings;
use damsonbeam_proxy::control_client::{self, ControlEvent, ControlState, SharedControlState};
use damsonbeam_proxy::quota::QuotaCounter;
use damsonbeam_proxy::routing_table::RoutingTable;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::operator::{PROBE, tenant_name};

/// As the proxy looks at what is due.
const TICK: Duration = Duration::from_millis(25);
/// Where there are no requests nothing is due: only the links' work is measured.
const IDLE_TICK: Duration = Duration::from_secs(1);
/// Between two looks of a thread at what it is told.
const COMMAND_PAUSE: Duration = Duration::from_millis(10);
/// As the proxy queues its events.
const EVENTS: usize = 4096;
/// Burst over rate of the tenants is a second, two slots.
const SLOT: Duration = Duration::from_millis(500);
const TENANT_RATE: f64 = 115.0;

/// What the proxies must come to know.
#[derive(Clone, Copy, Debug)]
pub struct Goal {
    /// Items of the configuration.
    pub items: usize,
    /// Backends of the list.
    pub backends: usize,
}

/// When a version of the probe's route came to how many proxies, the last of them when.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Proxies that have it.
    pub proxies: usize,
    /// When the last of them got it.
    pub last: Instant,
}

/// What the threads and the run share.
pub struct Progress {
    /// What the proxies must come to know.
    pub goal: Goal,
    /// Requests a second of each proxy.
    pub requests: f64,
    /// Tenants that they come from.
    pub tenants: usize,
    /// Proxies that know all items and backends.
    pub ready: AtomicUsize,
    /// Lists of backends taken.
    pub lists: AtomicU64,
    /// Requests that the shared count was asked about.
    pub counted: AtomicU64,
    /// By version less one.
    arrivals: Mutex<Vec<Option<Arrival>>>,
    /// Time that one proxy took to read the configuration anew, and to build its table for requests.
    pub apply: Mutex<Vec<Duration>>,
    stop: AtomicBool,
}

impl Progress {
    fn arrived(&self, versions: std::ops::RangeInclusive<u64>) {
        let now = Instant::now();
        let Ok(mut arrivals) = self.arrivals.lock() else {
            return;
        };
        for version in versions {
            let n = version as usize;
            if arrivals.len() <= n {
                arrivals.resize(n + 1, None);
            }
            let arrival = arrivals[n].get_or_insert(Arrival {
                proxies: 0,
                last: now,
            });
            arrival.proxies += 1;
            arrival.last = now;
        }
    }

    /// When a version came to how many proxies.
    pub fn arrival(&self, version: u64) -> Option<Arrival> {
        *self.arrivals.lock().ok()?.get(version as usize)?
    }
}

enum ThreadCommand {
    Start(Box<Settings>),
    /// The one that has run longest ends without a word and a new one comes in its place.
    Restart,
}

/// All hollow proxies of a run; they end with it.
pub struct HollowProxies {
    /// What they have come to know.
    pub progress: Arc<Progress>,
    threads: Vec<(mpsc::UnboundedSender<ThreadCommand>, Option<JoinHandle<()>>)>,
    started: usize,
    restarted: usize,
}

impl HollowProxies {
    /// No proxies yet, on so many threads.
    pub fn new(threads: usize, goal: Goal, requests: f64, tenants: usize) -> Self {
        let progress = Arc::new(Progress {
            goal,
            requests,
            tenants,
            ready: AtomicUsize::new(0),
            lists: AtomicU64::new(0),
            counted: AtomicU64::new(0),
            arrivals: Mutex::default(),
            apply: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let start = |_| {
            let (to, commands) = mpsc::unbounded_channel();
            let progress = progress.clone();
            (
                to,
                Some(std::thread::spawn(move || run_thread(commands, progress))),
            )
        };
        let threads = (0..threads.max(1)).map(start).collect();
        HollowProxies {
            progress,
            threads,
            started: 0,
            restarted: 0,
        }
    }

    /// Starts a proxy.
    pub fn start(&mut self, settings: Settings) {
        let thread = self.started % self.threads.len();
        self.threads[thread]
            .0
            .send(ThreadCommand::Start(Box::new(settings)))
            .ok();
        self.started += 1;
    }

    /// One of them is replaced.
    pub fn restart(&mut self) {
        let thread = self.restarted % self.threads.len();
        self.threads[thread].0.send(ThreadCommand::Restart).ok();
        self.restarted += 1;
    }
}

impl Drop for HollowProxies {
    fn drop(&mut self) {
        self.progress.stop.store(true, Ordering::Relaxed);
        for (_, thread) in &mut self.threads {
            thread.take().map(JoinHandle::join);
        }
    }
}

fn run_thread(mut commands: mpsc::UnboundedReceiver<ThreadCommand>, progress: Arc<Progress>) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return;
    };
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let mut running = std::collections::VecDeque::new();
        while !progress.stop.load(Ordering::Relaxed) {
            while let Ok(command) = commands.try_recv() {
                let settings = match command {
                    ThreadCommand::Start(settings) => Rc::new(*settings),
                    ThreadCommand::Restart => {
                        let Some((task, settings)) = running.pop_front() else {
                            continue;
                        };
                        let task: tokio::task::JoinHandle<()> = task;
                        task.abort();
                        settings
                    }
                };
                let proxy = run_proxy(settings.clone(), progress.clone());
                running.push_back((tokio::task::spawn_local(proxy), settings));
            }
            sleep(COMMAND_PAUSE).await;
        }
    });
}

/// Ends the links' task with the proxy: the links themselves end as their events are no longer taken.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct HollowProxy {
    known: SharedControlState,
    progress: Arc<Progress>,
    quota: QuotaCounter,
    began: Instant,
    rng: SmallRng,
    limited: HashSet<usize>,
    requests_due: f64,
    backends: usize,
    /// Version of the probe's route that it has.
    probe: u64,
    ready: bool,
}

impl Drop for HollowProxy {
    fn drop(&mut self) {
        if self.ready {
            self.progress.ready.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

async fn run_proxy(settings: Rc<Settings>, progress: Arc<Progress>) {
    let status = ProxyStatus {
        node: settings.node_name.clone(),
        incarnation: rand::random(),
        zone: settings.zone.clone(),
        address: Endpoint {
            ip: ip_octets(settings.ip_address),
            port: crate::topology::CLIENT_PORT,
        },
        ready: false,
        term: 0,
    };
    let known = Rc::new(RefCell::new(ControlState::new(&settings, status, false)));
    let (to, mut events) = mpsc::channel(EVENTS);
    let _links = AbortOnDrop(tokio::task::spawn_local(control_client::run(
        settings,
        known.clone(),
        to,
    )));
    let mut proxy = HollowProxy {
        known,
        progress,
        quota: QuotaCounter::new(rand::random()),
        began: Instant::now(),
        rng: SmallRng::seed_from_u64(rand::random()),
        limited: HashSet::new(),
        requests_due: 0.0,
        backends: 0,
        probe: 0,
        ready: false,
    };
    let mut tick = interval(if proxy.progress.requests > 0.0 {
        TICK
    } else {
        IDLE_TICK
    });
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Some(event) = events.recv() => proxy.take(event),
            _ = tick.tick() => proxy.serve(),
        }
    }
}

impl HollowProxy {
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn take(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::ConfigChanged => self.take_items(),
            ControlEvent::BackendListReceived(backends) => {
                self.backends = backends.len();
                self.progress.lists.fetch_add(1, Ordering::Relaxed);
            }
            ControlEvent::CoordinatorHeartbeat(heartbeat) if heartbeat.known_proxy_count > 0 => {
                let now = self.now();
                self.quota.set_proxy_count(
                    heartbeat.known_proxy_count,
                    heartbeat.connected_proxy_count,
                    now,
                );
                let known = self.known.borrow();
                if let Some(time) = known.coordinator_time() {
                    let coordinator_time = Duration::from_millis(time.now_ms());
                    self.quota.set_time_offset(
                        coordinator_time.as_secs_f64() - self.began.elapsed().as_secs_f64(),
                        self.began.elapsed(),
                    );
                    self.quota
                        .set_coordinator(time.term, known.coordinator_sender().is_some());
                }
            }
            ControlEvent::CountTotals { term, totals } => {
                self.quota
                    .receive_totals(term, &totals, self.began.elapsed());
            }
            ControlEvent::CoordinatorLost => self.quota.record_coordinator_disconnect(),
            _ => {}
        }
        self.become_ready();
    }

    fn take_items(&mut self) {
        let known = self.known.borrow();
        let probe = known.snapshot().get(&ItemKey {
            kind: ItemKind::Route,
            name: PROBE.into(),
        });
        let version = probe.map_or(0, |i| i.version);
        if version > self.probe {
            self.progress.arrived(self.probe + 1..=version);
            self.probe = version;
        }
    }

    fn become_ready(&mut self) {
        let goal = self.progress.goal;
        let mut known = self.known.borrow_mut();
        if self.ready
            || self.backends < goal.backends
            || known.snapshot().items().len() < goal.items
        {
            return;
        }
        self.ready = true;
        known.set_ready(true);
        let first = self.progress.ready.fetch_add(1, Ordering::Relaxed) == 0;
        if first {
            let began = Instant::now();
            drop(RoutingTable::from_snapshot(known.snapshot()));
            if let Ok(mut all) = self.progress.apply.lock() {
                all.push(began.elapsed());
            }
        }
    }

    /// Requests of one tick: few tenants send most of them.
    fn serve(&mut self) {
        if !self.ready || self.progress.requests <= 0.0 {
            return;
        }
        self.requests_due += self.progress.requests * TICK.as_secs_f64();
        let now = self.now();
        while self.requests_due >= 1.0 {
            self.requests_due -= 1.0;
            let draw: f64 = self.rng.random();
            let tenant = ((self.progress.tenants as f64 * draw.powi(3)) as usize)
                .min(self.progress.tenants - 1);
            let name = tenant_name(tenant);
            if self.limited.insert(tenant) {
                self.quota
                    .set_tenant_quota(&name, TENANT_RATE, SLOT.as_secs_f64());
            }
            let slot = (now.as_secs_f64() / SLOT.as_secs_f64()) as u64;
            self.quota.add(&format!("{slot}/{name}"), 1.0, now);
            self.progress.counted.fetch_add(1, Ordering::Relaxed);
        }
        let reports = self.quota.take_reports(now);
        if !reports.is_empty() {
            let known = self.known.borrow();
            known
                .coordinator_sender()
                .map(|out| out.send(&Message::CountReport(reports)));
        }
    }
}
