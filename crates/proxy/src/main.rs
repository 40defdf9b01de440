//! `damsonbeam-proxy`: one proxy, from start to exit. It wires clients, modules and backends, and feeds them news.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::Outcome;
use damsonbeam_admin::Figures;
use damsonbeam_control::link::listen;
use damsonbeam_control::messages::{Message, ProxyStatus, addr, ip};
use damsonbeam_control::settings::{Port, Settings};
use damsonbeam_gateway::backends::Fleet;
use damsonbeam_gateway::clients::{Clients, Patience};
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::mail::{Call, ToCounter, ToModule, Unanswered};
use damsonbeam_gateway::sizes::CONNECTION;
use damsonbeam_gateway::stage::{Now, Stage};
use damsonbeam_proxy::backend_pool::BackendPool;
use damsonbeam_proxy::control_client::{self, ControlEvent, ControlState};
use damsonbeam_proxy::dispatch::{Counted, Dispatchers};
use damsonbeam_proxy::freshness::Basis;
use damsonbeam_proxy::load_reports::LoadReports;
use damsonbeam_proxy::mirroring::Copies;
use damsonbeam_proxy::protocol::{Backends, Requests};
use damsonbeam_proxy::quota::{self, QuotaCounter};
use damsonbeam_proxy::retry_budget::RetryBudget;
use damsonbeam_proxy::routing_table::RoutingTable;
use damsonbeam_proxy::stop::{Step, Stop};
use damsonbeam_proxy::unserved::UnservedLog;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use rand::Rng;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

/// Between two looks at what is due: counts that wait, cold backends' turns.
const TICK: Duration = Duration::from_millis(25);
/// A connection to a backend comes up within this, or its machine is gone: the way between regions there and
/// back, and one lost packet less than a client's patience.
const CONNECT: Duration = Duration::from_millis(350);
/// Idle connections to backends before any has said how long it keeps them.
const IDLE: Duration = Duration::from_secs(4);
/// Descriptors not for sockets.
const RESERVE: usize = 300;
/// An idle connection of a client's is closed so long after it was told that it would be: no request meets the close.
const CLOSE_LATER: Duration = Duration::from_millis(1500);

/// The counts' carrier: the modules' calls are answered at once, what is held goes to the coordinator now and then.
struct Counts {
    quota: QuotaCounter,
    clock: Clock,
    known: control_client::Shared,
}

impl Counts {
    fn call(&mut self, Counted { call, to }: Counted) {
        let ToCounter::Call(Call { name, add, at, .. }) = call else {
            return;
        };
        let now = self.clock.now();
        let total = self.quota.count(&name, add, now);
        let latency = now.saturating_sub(at);
        let total = ToModule::Total {
            name,
            outcome: Outcome::Ok,
            total,
            latency,
        };
        if let Err(mpsc::error::TrySendError::Full(total)) = to.try_send(total) {
            tokio::task::spawn_local(async move { to.send(total).await.ok() });
        }
    }

    /// What has come together goes in one message.
    fn flush(&mut self) {
        let fresh = self.quota.fresh(self.clock.now());
        if !fresh.is_empty()
            && !self
                .known
                .borrow()
                .coordinator_link()
                .is_some_and(|out| out.send(&Message::CountReport(fresh)))
        {
            self.quota.unlink();
        }
    }
}

/// What staff may ask a proxy.
#[derive(Clone)]
struct Staff {
    unserved: Rc<RefCell<UnservedLog>>,
    backend_pool: Rc<RefCell<BackendPool>>,
    copies: Rc<Copies>,
    figures: Figures,
    clock: Clock,
    /// The common time less this process's, in seconds.
    ahead: Rc<Cell<f64>>,
}

impl Staff {
    /// The answer to a call, if it is one of staff's.
    fn ask(&self, uri: &Uri) -> Option<String> {
        match uri.path() {
            "/-/loads" => {
                let known = self
                    .backend_pool
                    .borrow_mut()
                    .load_reports
                    .as_mut()
                    .map(|c| c.show(self.clock.now()));
                Some(known.unwrap_or_else(|| "{\"backends\":null}\n".into()))
            }
            "/-/copies" => Some(self.copies.show()),
            "/-/figures" => String::from_utf8(self.figures.text()).ok(),
            "/-/account" => {
                let one = uri.query().and_then(|q| q.strip_prefix("request="));
                let ahead = Duration::try_from_secs_f64(self.ahead.get()).unwrap_or_default();
                Some(self.unserved.borrow().show(one, ahead))
            }
            _ => None,
        }
    }
}

/// The platform's checks, and staff's calls.
async fn readiness(listener: TcpListener, now: Now, staff: Staff) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(TICK).await;
            continue;
        };
        let (now, staff) = (now.clone(), staff.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let mut answer = Response::new(Full::<Bytes>::default());
                if let Some(told) = staff.ask(request.uri()) {
                    *answer.body_mut() = told.into();
                } else if !now.stage().serves() {
                    *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                }
                async move { Ok::<_, Infallible>(answer) }
            });
            let http = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            timeout(Duration::from_secs(30), http).await.ok();
        });
    }
}

/// Datagrams of load summaries, in and out.
async fn exchange_load_summaries(
    socket: UdpSocket,
    backend_pool: Rc<RefCell<BackendPool>>,
    dispatchers: Rc<RefCell<Dispatchers>>,
    clock: Clock,
) {
    let port = socket.local_addr().map_or(0, |a| a.port());
    let (mut buf, mut tick) = (vec![0; 4096], interval(TICK * 4));
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Ok((n, from)) = socket.recv_from(&mut buf) => {
                if let Some(load_reports) = &mut backend_pool.borrow_mut().load_reports {
                    load_reports.heard(ip(from.ip()), &buf[..n], clock.now());
                }
            }
            _ = tick.tick() => {
                let out = backend_pool.borrow_mut().load_reports.as_mut().map_or(vec![], |c| c.gossip.tick(clock.now()));
                for (to, bytes) in out {
                    socket.send_to(&bytes, (addr(to), port)).await.ok();
                }
                let changed = backend_pool.borrow_mut().load_reports.as_mut().is_some_and(|c| c.look(clock.now()));
                if changed {
                    dispatchers.borrow().tell_all();
                }
            }
        }
    }
}

/// What all modules together had unanswered at a step of a stop.
async fn sum_unanswered(
    step: Step,
    told: Vec<oneshot::Receiver<Unanswered>>,
    to: mpsc::Sender<(Step, Unanswered)>,
) {
    let mut all = Unanswered::default();
    for told in told {
        let one = told.await.unwrap_or_default();
        all.refused += one.refused;
        all.at_work += one.at_work;
    }
    to.send((step, all)).await.ok();
}

async fn run(settings: Settings, summaries: bool) -> Result<(), String> {
    let settings = Rc::new(settings);
    let node = settings.node.clone();
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut reload = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let now = Now::default();
    let (unserved, ahead) = (
        Rc::new(RefCell::new(UnservedLog::default())),
        Rc::new(Cell::new(0.0)),
    );
    let backend_pool = Rc::new(RefCell::new(BackendPool::new(
        &settings.zone,
        &settings.region,
        settings.zones.clone(),
    )));
    let clock = Clock::start();
    let copies = Copies::new(clock, ahead.clone());
    let figures = Figures::new().map_err(|e| format!("figures: {e}"))?;
    let staff = Staff {
        unserved: unserved.clone(),
        backend_pool: backend_pool.clone(),
        copies: copies.clone(),
        figures: figures.clone(),
        clock,
        ahead: ahead.clone(),
    };
    tokio::task::spawn_local(readiness(
        listen(settings.listens("readiness")?)?,
        now.clone(),
        staff,
    ));
    let front = settings.listens("front")?;
    let status = ProxyStatus {
        node: node.clone(),
        life: rand::random(),
        zone: settings.zone.clone(),
        front: (ip(front.ip()), front.port()),
        ready: false,
        term: 0,
    };
    let known = Rc::new(RefCell::new(ControlState::new(
        &settings, status, summaries,
    )));
    let (to, mut words) = mpsc::channel(4096);
    tokio::task::spawn_local(control_client::run(settings.clone(), known.clone(), to));

    let places = (settings.descriptors as usize)
        .saturating_sub(RESERVE)
        .max(64);
    let (most_clients, most_backends) = (places * 3 / 5, places * 2 / 5);
    let memory = (settings.memory_mb as usize) << 20;
    let most_clients = most_clients.min(memory / 4 / CONNECTION);
    let bodies = memory / 6;
    let fleet = Fleet::new(
        CONNECT,
        IDLE,
        vec![],
        Box::new(Backends),
        most_backends,
        bodies,
        &figures,
    );
    if summaries {
        backend_pool.borrow_mut().load_reports =
            Some(LoadReports::new(known.borrow().status.life, rand::random()));
    }
    let retry_budget = RetryBudget::new(
        settings.bound("retry_budget_ratio", 0.1),
        settings.bound("retry_budget_slack", 10.0),
    );
    let retry_budget = Rc::new(RefCell::new(retry_budget));
    let (to_quota, mut calls) = mpsc::channel(4096);
    let dispatchers = Dispatchers::new(
        backend_pool.clone(),
        retry_budget.clone(),
        fleet,
        clock,
        figures.clone(),
        to_quota,
        now.clone(),
    );
    let dispatchers = Rc::new(RefCell::new(dispatchers));
    if summaries {
        let socket = UdpSocket::bind(settings.inner(settings.ip, Port::LoadReports)).await;
        let socket = socket.map_err(|e| format!("the port for load summaries: {e}"))?;
        tokio::task::spawn_local(exchange_load_summaries(
            socket,
            backend_pool.clone(),
            dispatchers.clone(),
            clock,
        ));
    }
    let routing_table = Rc::new(RefCell::new(Rc::new(RoutingTable::default())));
    let idle_s = Rc::new(Cell::new(0));
    let (for_requests, by_routing_table, idle) =
        (dispatchers.clone(), routing_table.clone(), idle_s.clone());
    let requests = Requests {
        dispatchers: for_requests,
        routing_table: by_routing_table,
        idle_s: idle,
        unserved: unserved.clone(),
        copies: copies.clone(),
        clock,
    };
    let clients = Rc::new(Clients::new(
        Rc::new(requests),
        most_clients,
        bodies,
        clock,
        now.clone(),
        &figures,
    ));
    let mut counts = Counts {
        quota: QuotaCounter::new(rand::random()),
        clock,
        known: known.clone(),
    };
    // So many proxies share what all of them together may use.
    let share = |proxies: u32| {
        copies.proxies.set(proxies);
        retry_budget.borrow_mut().share(proxies);
        backend_pool.borrow_mut().slow_start.share(proxies);
    };
    let mut accepting = None;
    let mut lot = || rand::rng().random::<f64>();
    let mut open: HashMap<damsonbeam::interface::TgtId, bool> = HashMap::new();
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut ending: Option<(Instant, Stop)> = None;
    let (to_log, mut unanswered) = mpsc::channel::<(Step, Unanswered)>(16);
    let grace = settings.bound_s("grace_period_s", 5.0);
    loop {
        let mut word = None;
        {
            tokio::select! {
                biased;
                Some(w) = words.recv() => word = Some(w),
                Some(call) = calls.recv() => {
                    counts.call(call);
                    while let Ok(call) = calls.try_recv() {
                        counts.call(call);
                    }
                }
                at = tick.tick() => {
                    copies.late(at.elapsed());
                    counts.flush();
                    let is_old = accepting.is_some() && !known.borrow().freshness.is_current();
                    figures.possibly_old.set(i64::from(is_old));
                    if let Some(line) = unserved.borrow_mut().line(clock.now()) {
                        log::info!("account: {line}");
                    }
                    // Cold backends whose turn has come, or that are cold no more.
                    let states: Vec<_> = backend_pool.borrow().slow_start.all(clock.now()).collect();
                    let mut turned = false;
                    for (tgt, is) in &states {
                        turned |= open.insert(*tgt, *is).unwrap_or(true) != *is && *is;
                    }
                    if turned {
                        dispatchers.borrow().tell_all();
                    }
                    let step = match &mut ending {
                        Some((began, stop)) => stop.step(began.elapsed(), clients.owed()),
                        None => None,
                    };
                    match step {
                        None => {}
                        Some(Step::RefuseUnsent) => {
                            let told = dispatchers.borrow().end(ToModule::RefuseUnsent);
                            tokio::task::spawn_local(sum_unanswered(Step::RefuseUnsent, told, to_log.clone()));
                        }
                        Some(Step::StopAccepting) => {
                            now.enter(Stage::Finishing, &node);
                            if let Some(accepts) = accepting.take() {
                                let accepts: tokio::task::JoinHandle<()> = accepts;
                                accepts.abort();
                            }
                            clients.close();
                        }
                        Some(Step::AnswerAll) => {
                            let told = dispatchers.borrow().end(ToModule::AnswerAll);
                            tokio::task::spawn_local(sum_unanswered(Step::AnswerAll, told, to_log.clone()));
                        }
                        Some(Step::Exit) => {
                            log::info!("proxy: ends with {} answers not written in full.", clients.owed());
                            return Ok(());
                        }
                    }
                }
                Some((step, Unanswered { refused, at_work })) = unanswered.recv() => match step {
                    Step::AnswerAll => log::warn!(
                        "proxy: the grace is over: {refused} requests refused that had not run, \
                         {at_work} cut off at their backends."
                    ),
                    _ if refused > 0 => log::info!(
                        "proxy: refused {refused} requests that had not run; {at_work} are at their backends."
                    ),
                    _ => {}
                },
                _ = terminate.recv(), if ending.is_none() => {
                    log::info!("proxy: SIGTERM, sends its clients away.");
                    ending = Some((Instant::now(), Stop::new(grace)));
                    clients.end_by(clock.now() + Stop::time_to_answer(grace));
                    now.enter(Stage::Draining, &node);
                    let mut k = known.borrow_mut();
                    k.status.ready = false;
                    k.tell(true);
                }
                _ = reload.recv() => damsonbeam_control::reloaded("proxy"),
            }
        }
        match word {
            None => {}
            Some(ControlEvent::Items) => {
                let new = Rc::new(RoutingTable::read(&known.borrow().snapshot));
                if let Some(limits) = &new.limits {
                    let idle = Duration::from_millis(limits.idle_ms);
                    idle_s.set((limits.idle_ms / 1000).saturating_sub(2));
                    let whole =
                        Duration::from_millis(limits.header_ms).max(Duration::from_millis(200));
                    clients.wait(Patience {
                        whole,
                        quiet: idle.max(CLOSE_LATER),
                    });
                }
                backend_pool
                    .borrow_mut()
                    .evacuate(&new, clock.now(), &mut lot);
                *routing_table.borrow_mut() = new.clone();
                dispatchers.borrow_mut().follow(&new);
                copies.follow(new.copies.clone());
                for (tenant, rate, slot) in dispatchers.borrow().slots() {
                    counts.quota.limit(&tenant, rate, slot);
                }
                dispatchers.borrow().tell_all();
            }
            Some(ControlEvent::List(servers)) => {
                let routing_table = routing_table.borrow().clone();
                unserved.borrow_mut().list = known.borrow().list();
                backend_pool
                    .borrow_mut()
                    .take(servers, &routing_table, clock.now(), &mut lot);
                dispatchers.borrow_mut().settle();
                dispatchers.borrow().tell_all();
            }
            Some(ControlEvent::Heartbeat(told)) => {
                if told.proxies > 0 {
                    share(counts.quota.share(told.proxies, told.attached, clock.now()));
                    backend_pool.borrow_mut().place = (told.place, told.near);
                    if dispatchers.borrow_mut().near(told.near, told.place) {
                        dispatchers.borrow().tell_all();
                    }
                }
                let k = known.borrow();
                if let Some(time) = k.coordinator.time() {
                    let common = Duration::from_millis(time.time_ms) + time.told_at.elapsed();
                    ahead.set(common.as_secs_f64() - clock.now().as_secs_f64());
                    counts.quota.clock(ahead.get());
                    unserved.borrow_mut().term = time.term;
                    counts
                        .quota
                        .link_coordinator(time.term, k.coordinator_link().is_some());
                }
            }
            // The coordinator's word is the better one, but at a start there is none.
            Some(ControlEvent::OtherHeartbeat(told))
                if known.borrow().coordinator.time().is_none() && quota::is_share_told(&told) =>
            {
                share(counts.quota.share(told.proxies, told.proxies, clock.now()));
            }
            Some(ControlEvent::OtherHeartbeat(_)) => {}
            Some(ControlEvent::Few(near, far)) => {
                if let Some(load_reports) = &mut backend_pool.borrow_mut().load_reports {
                    (load_reports.gossip.near, load_reports.gossip.far) = (near, far);
                }
            }
            Some(ControlEvent::Totals { term, totals }) => {
                counts.quota.receive_totals(term, &totals, clock.now());
            }
            Some(ControlEvent::CoordinatorLost) => counts.quota.unlink(),
        }
        let is_complete = !routing_table.borrow().is_empty() && !backend_pool.borrow().is_empty();
        let basis = known
            .borrow_mut()
            .freshness
            .may_serve(is_complete, clock.now());
        if let Some(basis) = basis.filter(|_| accepting.is_none() && ending.is_none()) {
            if basis == Basis::PossiblyOld {
                log::warn!(
                    "proxy: no registry in contact with most of the core answers; what it serves by may be old."
                );
            }
            let listener = Rc::new(listen(front)?);
            accepting = Some(tokio::task::spawn_local(clients.clone().accept(listener)));
            now.enter(Stage::Serving, &node);
            log::info!("proxy: {node} serves.");
            let mut k = known.borrow_mut();
            k.status.ready = true;
            k.tell(true);
        }
    }
}

fn main() -> ExitCode {
    let about = "One proxy: the proxy of the system. Configured by DAMSONBEAM_CONFIG.";
    let summaries = bpaf::long("load-summaries")
        .help("Tell other proxies how busy each backend is, and choose by what they tell")
        .switch();
    damsonbeam_control::program_with("proxy", about, summaries, run)
}
