//! Creates the components of a proxy from its settings, and connects them to each other.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_admin::Metrics;
use damsonbeam_control::link::listen;
use damsonbeam_control::messages::ProxyStatus;
use damsonbeam_control::settings::{InternalPort, Settings, SettingsError};
use damsonbeam_gateway::backends::ConnectionPools;
use damsonbeam_gateway::clients::Clients;
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::phase::CurrentPhase;
use damsonbeam_gateway::sizes::CONNECTION_MEMORY;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::ProxyError;
use super::counts::QuotaClient;
use super::load_report_exchange;
use super::operator_calls::{self, OperatorCalls};
use super::proxy::{Proxy, ShutdownReport};
use crate::backend_pool::BackendPool;
use crate::control_client::{self, ControlEvent, ControlState};
use crate::dispatch::{DispatchContext, Dispatchers, QuotaCounterCall};
use crate::load_reports::LoadReports;
use crate::mirroring::Mirror;
use crate::protocol::{ProxyBackendProtocol, ProxyClientProtocol};
use crate::quota::QuotaTolerance;
use crate::retry_budget::RetryBudget;
use crate::routing_table::RoutingTable;
use crate::unserved::UnservedLog;

/// Time within which a backend accepts a connection; otherwise its machine counts as gone. It covers a round trip
/// between regions, and is shorter than a client's timeout by the time that one lost packet costs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// How long idle connections to a backend are kept until the backend has stated its own idle timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// File descriptors reserved for other uses than client and backend connections.
const RESERVED_DESCRIPTORS: usize = 300;
/// Minimum number of client and backend connections together, however few file descriptors there are.
const MIN_CONNECTIONS: usize = 64;
/// The retry budget where the settings do not define one.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_RETRY_SLACK: f64 = 10.0;
/// The grace period of a shutdown where the settings do not define one, in seconds.
const DEFAULT_GRACE_PERIOD_S: f64 = 5.0;

/// Limits derived from the machine's memory and file descriptors.
struct Capacity {
    client_connections: usize,
    backend_connections: usize,
    /// Memory for buffered bodies, in bytes.
    body_bytes: usize,
}

impl Capacity {
    /// Derives the limits from the settings: clients get 3/5 of the connections and backends 2/5; client connections
    /// may take 1/4 of the memory and buffered bodies 1/6.
    fn from_settings(settings: &Settings) -> Self {
        let descriptors = settings.file_descriptors as usize;
        let connections = descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTIONS);
        let memory = (settings.memory_mb as usize) << 20;
        Capacity {
            client_connections: (connections * 3 / 5).min(memory / 4 / CONNECTION_MEMORY),
            backend_connections: connections * 2 / 5,
            body_bytes: memory / 6,
        }
    }
}

/// The settings of a proxy, and the channels on which its components send events to the main loop.
pub(super) struct ProxyBuilder {
    pub(super) settings: Rc<Settings>,
    pub(super) exchanges_load_reports: bool,
    pub(super) control_events: mpsc::Sender<ControlEvent>,
    pub(super) count_calls: mpsc::Sender<QuotaCounterCall>,
    pub(super) shutdown_reports: mpsc::Sender<ShutdownReport>,
}

/// Components that several others share.
struct SharedComponents {
    clock: Clock,
    metrics: Metrics,
    phase: CurrentPhase,
    /// The coordinator's time minus this process's clock, in seconds.
    time_offset_s: Rc<Cell<f64>>,
    backend_pool: Rc<RefCell<BackendPool>>,
    mirror: Rc<Mirror>,
    unserved: Rc<RefCell<UnservedLog>>,
}

impl SharedComponents {
    fn new(settings: &Settings) -> Result<Self, ProxyError> {
        let clock = Clock::start();
        let time_offset_s = Rc::new(Cell::new(0.0));
        let regions = settings.regions_by_zone.clone();
        let backend_pool = BackendPool::new(&settings.zone, &settings.region, regions);
        Ok(SharedComponents {
            clock,
            metrics: Metrics::new().map_err(|e| ProxyError::Metrics(e.to_string()))?,
            phase: CurrentPhase::default(),
            mirror: Mirror::new(clock, time_offset_s.clone()),
            time_offset_s,
            backend_pool: Rc::new(RefCell::new(backend_pool)),
            unserved: Rc::new(RefCell::new(UnservedLog::default())),
        })
    }
}

impl ProxyBuilder {
    /// Creates the components, starts their tasks, and returns the state of the proxy.
    pub(super) async fn start(self) -> Result<Proxy, ProxyError> {
        let shared = SharedComponents::new(&self.settings)?;
        self.serve_operators(&shared)?;
        let client_address = self.settings.listen_address("front")?;
        let incarnation = rand::random();
        let control = self.connect_control_plane(incarnation)?;

        let capacity = Capacity::from_settings(&self.settings);
        let retry_budget = Rc::new(RefCell::new(self.create_retry_budget()));
        let dispatchers = self.create_dispatchers(&shared, &capacity, &retry_budget);
        if self.exchanges_load_reports {
            let load_reports = LoadReports::new(incarnation, rand::random());
            self.start_load_report_exchange(load_reports, &shared, &dispatchers)
                .await?;
        }
        let routing_table = Rc::new(RefCell::new(Rc::new(RoutingTable::default())));
        let advertised_idle_s = Rc::new(Cell::new(0));
        let client_protocol = ProxyClientProtocol {
            dispatchers: dispatchers.clone(),
            routing_table: routing_table.clone(),
            advertised_idle_s: advertised_idle_s.clone(),
            unserved: shared.unserved.clone(),
            mirror: shared.mirror.clone(),
            clock: shared.clock,
        };
        let clients = Clients::new(
            Rc::new(client_protocol),
            capacity.client_connections,
            capacity.body_bytes,
            shared.clock,
            shared.phase.clone(),
            &shared.metrics,
        );
        Ok(Proxy {
            grace_period: self
                .settings
                .timing_bound_s("grace_period_s", DEFAULT_GRACE_PERIOD_S),
            node_name: self.settings.node_name.clone(),
            client_address,
            clock: shared.clock,
            phase: shared.phase,
            control: control.clone(),
            quota_client: QuotaClient::new(shared.clock, control, self.quota_tolerance()),
            routing_table,
            backend_pool: shared.backend_pool,
            dispatchers,
            retry_budget,
            mirror: shared.mirror,
            unserved: shared.unserved,
            metrics: shared.metrics,
            clients: Rc::new(clients),
            advertised_idle_s,
            time_offset_s: shared.time_offset_s,
            region_position: Default::default(),
            accept_task: None,
            shutdown: None,
            shutdown_reports: self.shutdown_reports,
        })
    }

    /// Starts the server for readiness checks and operator calls.
    fn serve_operators(&self, shared: &SharedComponents) -> Result<(), ProxyError> {
        let operator_calls = OperatorCalls {
            unserved: shared.unserved.clone(),
            backend_pool: shared.backend_pool.clone(),
            mirror: shared.mirror.clone(),
            metrics: shared.metrics.clone(),
            clock: shared.clock,
            time_offset_s: shared.time_offset_s.clone(),
            phase: shared.phase.clone(),
        };
        let readiness = listen(self.settings.listen_address("readiness")?)?;
        spawn_local(operator_calls::serve(readiness, operator_calls));
        Ok(())
    }

    /// Starts the task that keeps the connections to the registries, and returns the state that it updates.
    fn connect_control_plane(
        &self,
        incarnation: u64,
    ) -> Result<Rc<RefCell<ControlState>>, SettingsError> {
        let settings = &self.settings;
        let status = ProxyStatus {
            node: settings.node_name.clone(),
            incarnation,
            zone: settings.zone.clone(),
            address: settings.listen_address("front")?.into(),
            ready: false,
            term: 0,
        };
        let control = ControlState::new(settings, status, self.exchanges_load_reports);
        let control = Rc::new(RefCell::new(control));
        let events = self.control_events.clone();
        let client = control_client::run(settings.clone(), control.clone(), events);
        spawn_local(client);
        Ok(control)
    }

    /// Creates the retry budget that the settings define.
    fn create_retry_budget(&self) -> RetryBudget {
        RetryBudget::new(
            self.settings
                .timing_bound("retry_budget_ratio", DEFAULT_RETRY_RATIO),
            self.settings
                .timing_bound("retry_budget_slack", DEFAULT_RETRY_SLACK),
        )
    }

    /// Returns how far quotas may be exceeded; not at all where the settings do not define it.
    fn quota_tolerance(&self) -> QuotaTolerance {
        QuotaTolerance {
            window_s: self.settings.timing_bound("quota_window_s", 0.0),
            overage_fraction: self.settings.timing_bound("quota_overage", 0.0),
            slack_units: self.settings.timing_bound("quota_slack", 0.0),
        }
    }

    /// Creates the dispatchers, which run the decision modules, with their connections to backends.
    fn create_dispatchers(
        &self,
        shared: &SharedComponents,
        capacity: &Capacity,
        retry_budget: &Rc<RefCell<RetryBudget>>,
    ) -> Rc<RefCell<Dispatchers>> {
        let connection_pools = ConnectionPools::new(
            CONNECT_TIMEOUT,
            IDLE_TIMEOUT,
            vec![],
            Box::new(ProxyBackendProtocol),
            capacity.backend_connections,
            capacity.body_bytes,
            &shared.metrics,
        );
        Rc::new(RefCell::new(Dispatchers::new(DispatchContext {
            backend_pool: shared.backend_pool.clone(),
            retry_budget: retry_budget.clone(),
            connection_pools,
            clock: shared.clock,
            metrics: shared.metrics.clone(),
            counter_calls: self.count_calls.clone(),
            phase: shared.phase.clone(),
        })))
    }

    /// Starts the task that exchanges load reports with other proxies.
    async fn start_load_report_exchange(
        &self,
        load_reports: LoadReports,
        shared: &SharedComponents,
        dispatchers: &Rc<RefCell<Dispatchers>>,
    ) -> Result<(), ProxyError> {
        let pool = shared.backend_pool.clone();
        pool.borrow_mut().enable_load_reports(load_reports);
        let ip_address = self.settings.ip_address;
        let address = self
            .settings
            .internal_address(ip_address, InternalPort::LoadReports);
        let socket = UdpSocket::bind(address)
            .await
            .map_err(ProxyError::LoadReports)?;
        let exchange = load_report_exchange::run(socket, pool, dispatchers.clone(), shared.clock);
        spawn_local(exchange);
        Ok(())
    }
}
