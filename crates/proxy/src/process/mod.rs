//! One proxy process, from start to exit: it connects clients, decision modules, backends and registries.
//!
//! `proxy` is the state, with a handler for each kind of event; `operator_calls` answers the platform's checks and the
//! operators; `counts` carries the shared counts; `load_report_exchange` carries load reports.

mod counts;
mod load_report_exchange;
mod operator_calls;
mod proxy;

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_admin::Figures;
use damsonbeam_control::link::{LinkError, listen};
use damsonbeam_control::messages::ProxyStatus;
use damsonbeam_control::program::check_reloaded_settings;
use damsonbeam_control::settings::{InternalPort, Settings, SettingsError};
use damsonbeam_gateway::backends::Fleet;
use damsonbeam_gateway::clients::Clients;
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::sizes::CONNECTION;
use damsonbeam_gateway::stage::Now;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

use crate::backend_pool::BackendPool;
use crate::control_client::{self, ControlEvent, ControlState};
use crate::dispatch::{CountCall, Dispatchers, SharedParts};
use crate::load_reports::LoadReports;
use crate::mirroring::Mirror;
use crate::protocol::{Backends, Requests};
use crate::retry_budget::RetryBudget;
use crate::routing_table::RoutingTable;
use crate::unserved::UnservedLog;
use counts::CountCarrier;
use operator_calls::OperatorCalls;
use proxy::{Proxy, ShutdownReport};

/// Between two searches for what is due: counts that wait, turns of backends that warm up.
const TICK: Duration = Duration::from_millis(25);
/// Events that wait to be handled at most.
const EVENT_QUEUE_CAPACITY: usize = 4096;
const REPORT_QUEUE_CAPACITY: usize = 16;
/// A connection to a backend comes up within this, or its machine is gone: a round trip between regions, and one lost
/// packet less than a client's patience.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Idle connections to backends are kept for this long before any backend has said how long it keeps them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// File descriptors that are not for sockets.
const RESERVED_DESCRIPTORS: usize = 300;
const LEAST_CONNECTIONS: usize = 64;
/// The retry budget where the settings name none.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_RETRY_SLACK: f64 = 10.0;
const DEFAULT_GRACE_S: f64 = 5.0;

/// Why a proxy can't run.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// The settings lack an address.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address can't be listened on.
    #[error(transparent)]
    Listen(#[from] LinkError),
    /// Signals can't be waited for.
    #[error(transparent)]
    Signal(#[from] io::Error),
    /// What is counted for operators can't be set up.
    #[error("figures: {0}")]
    Figures(String),
    /// The port for load reports is not to be had.
    #[error("the port for load summaries: {0}")]
    LoadReports(io::Error),
}

/// What the machine's memory and descriptors allow.
struct Capacity {
    client_connections: usize,
    backend_connections: usize,
    body_bytes: usize,
}

impl Capacity {
    /// Three fifths of the connections are for clients; bodies get a sixth of the memory, and the clients' connections a
    /// quarter.
    fn of(settings: &Settings) -> Self {
        let descriptors = settings.file_descriptors as usize;
        let connections = descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(LEAST_CONNECTIONS);
        let memory = (settings.memory_mb as usize) << 20;
        Capacity {
            client_connections: (connections * 3 / 5).min(memory / 4 / CONNECTION),
            backend_connections: connections * 2 / 5,
            body_bytes: memory / 6,
        }
    }
}

/// Runs one proxy until it is told to end. `exchanges_load_reports`: whether it reports the backends' load to others, and
/// chooses by what they report.
///
/// # Errors
/// Where an address can't be listened on.
pub async fn run(settings: Settings, exchanges_load_reports: bool) -> Result<(), ProxyError> {
    // SIGHUP ends a program that has not asked for it.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (control_sender, mut control_events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (count_sender, mut count_calls) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (report_sender, mut shutdown_reports) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    let settings = Rc::new(settings);
    let start = ProxyStart {
        settings,
        exchanges_load_reports,
        control_events: control_sender,
        count_calls: count_sender,
        shutdown_reports: report_sender,
    };
    let mut proxy = start.run().await?;
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Some(event) = control_events.recv() => proxy.handle_control_event(event),
            Some(call) = count_calls.recv() => {
                proxy.handle_count_call(call);
                while let Ok(call) = count_calls.try_recv() {
                    proxy.handle_count_call(call);
                }
            }
            at = tick.tick() => {
                if proxy.handle_tick(at.elapsed()) {
                    return Ok(());
                }
            }
            Some(report) = shutdown_reports.recv() => proxy.log_shutdown_report(&report),
            _ = terminate.recv() => proxy.begin_shutdown(),
            _ = hangup.recv() => check_reloaded_settings("proxy"),
        }
        proxy.start_serving_when_ready()?;
    }
}

/// What a proxy is started with.
struct ProxyStart {
    settings: Rc<Settings>,
    exchanges_load_reports: bool,
    control_events: mpsc::Sender<ControlEvent>,
    count_calls: mpsc::Sender<CountCall>,
    shutdown_reports: mpsc::Sender<ShutdownReport>,
}

impl ProxyStart {
    /// Starts the tasks of the proxy, and returns its state.
    async fn run(self) -> Result<Proxy, ProxyError> {
        let settings = self.settings;
        let clock = Clock::start();
        let stage = Now::default();
        let time_offset_s = Rc::new(Cell::new(0.0));
        let figures = Figures::new().map_err(|e| ProxyError::Figures(e.to_string()))?;
        let unserved = Rc::new(RefCell::new(UnservedLog::default()));
        let mirror = Mirror::new(clock, time_offset_s.clone());
        let regions = settings.regions.clone();
        let pool = BackendPool::new(&settings.zone, &settings.region, regions);
        let backend_pool = Rc::new(RefCell::new(pool));
        let operator_calls = OperatorCalls {
            unserved: unserved.clone(),
            backend_pool: backend_pool.clone(),
            mirror: mirror.clone(),
            figures: figures.clone(),
            clock,
            time_offset_s: time_offset_s.clone(),
            stage: stage.clone(),
        };
        let readiness = listen(settings.listen_address("readiness")?)?;
        spawn_local(operator_calls::serve(readiness, operator_calls));
        let client_address = settings.listen_address("front")?;
        let status = ProxyStatus {
            node: settings.node_name.clone(),
            incarnation: rand::random(),
            zone: settings.zone.clone(),
            address: client_address.into(),
            ready: false,
            term: 0,
        };
        let incarnation = status.incarnation;
        let control = ControlState::new(&settings, status, self.exchanges_load_reports);
        let control = Rc::new(RefCell::new(control));
        let client = control_client::run(settings.clone(), control.clone(), self.control_events);
        spawn_local(client);

        let capacity = Capacity::of(&settings);
        let fleet = Fleet::new(
            CONNECT_TIMEOUT,
            IDLE_TIMEOUT,
            vec![],
            Box::new(Backends),
            capacity.backend_connections,
            capacity.body_bytes,
            &figures,
        );
        let retry_budget = RetryBudget::new(
            settings.bound("retry_budget_ratio", DEFAULT_RETRY_RATIO),
            settings.bound("retry_budget_slack", DEFAULT_RETRY_SLACK),
        );
        let retry_budget = Rc::new(RefCell::new(retry_budget));
        let dispatchers = Rc::new(RefCell::new(Dispatchers::new(SharedParts {
            backend_pool: backend_pool.clone(),
            retry_budget: retry_budget.clone(),
            fleet,
            clock,
            figures: figures.clone(),
            counts: self.count_calls,
            stage: stage.clone(),
        })));
        if self.exchanges_load_reports {
            let load_reports = LoadReports::new(incarnation, rand::random());
            backend_pool.borrow_mut().enable_load_reports(load_reports);
            let address = settings.internal_address(settings.ip_address, InternalPort::LoadReports);
            let socket = UdpSocket::bind(address)
                .await
                .map_err(ProxyError::LoadReports)?;
            let pool = backend_pool.clone();
            let exchange = load_report_exchange::run(socket, pool, dispatchers.clone(), clock);
            spawn_local(exchange);
        }
        let routing_table = Rc::new(RefCell::new(Rc::new(RoutingTable::default())));
        let idle_s = Rc::new(Cell::new(0));
        let requests = Requests {
            dispatchers: dispatchers.clone(),
            routing_table: routing_table.clone(),
            idle_s: idle_s.clone(),
            unserved: unserved.clone(),
            mirror: mirror.clone(),
            clock,
        };
        let clients = Clients::new(
            Rc::new(requests),
            capacity.client_connections,
            capacity.body_bytes,
            clock,
            stage.clone(),
            &figures,
        );
        Ok(Proxy {
            grace: settings.bound_s("grace_period_s", DEFAULT_GRACE_S),
            node_name: settings.node_name.clone(),
            client_address,
            clock,
            stage,
            control: control.clone(),
            counts: CountCarrier::new(clock, control),
            routing_table,
            backend_pool,
            dispatchers,
            retry_budget,
            mirror,
            unserved,
            figures,
            clients: Rc::new(clients),
            idle_s,
            time_offset_s,
            region_position: Default::default(),
            open_backends: Default::default(),
            accepting: None,
            shutdown: None,
            shutdown_reports: self.shutdown_reports,
        })
    }
}
