//! Manages instances of the decision module, one for each combination of service, home regions and
//! maximum number of attempts. Each instance has the backends that may serve its requests. Its
//! operations correspond to the distinct route properties that the module reads.

mod limits;
mod module_settings;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam::Rules;
use damsonbeam::interface::{ListUpdate, OperationId, Plan, PlanId, Settings};
use damsonbeam_admin::Metrics;
use damsonbeam_control::config::{Route, RouteKind};
use damsonbeam_gateway::backends::{Backend, ConnectionPools};
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::dispatcher::{Dispatcher, DispatcherState};
use damsonbeam_gateway::messages::{BackendListUpdate, ToCounter, ToDispatcher, Unanswered};
use damsonbeam_gateway::phase::CurrentPhase;
use tokio::sync::{mpsc, oneshot};

use crate::backend_pool::BackendPool;
use crate::retry_budget::RetryBudget;
use crate::routing_table::{HomeRegions, RoutingTable};
use limits::SharedLimits;
pub use module_settings::repeatability;
use module_settings::{TICK, module_settings, operation_settings};

/// Capacity of a module's event queue.
const EVENT_QUEUE_CAPACITY: usize = 4096;
/// Number of slots into which the module divides a window, and the maximum slot length in seconds.
const SLOTS_PER_WINDOW: f64 = 2.0;
const MAX_SLOT_S: f64 = 8.0;
/// Plan of a request without a tenant.
pub const NO_PLAN: PlanId = PlanId(usize::MAX);

/// A module's call to the shared counts, with the recipient of the answer.
pub struct QuotaCounterCall {
    /// The call to the counts.
    pub call: ToCounter,
    /// The module that made the call.
    pub reply_to: mpsc::Sender<ToDispatcher>,
}

/// Key of a module instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DispatcherKey {
    service: String,
    homes: Option<Vec<String>>,
    max_attempts: u32,
}

/// The route properties that the module reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OperationKey {
    kind: RouteKind,
    latency_target_ms: u64,
    timeout_ms: u64,
}

/// A running module instance.
struct DispatcherHandle {
    service: String,
    homes: HomeRegions,
    events: mpsc::Sender<ToDispatcher>,
    settings: Settings,
    operations: HashMap<OperationKey, OperationId>,
}

impl DispatcherHandle {
    /// Sends the settings to the module.
    fn send_settings(&self) {
        let settings = Box::new(self.settings.clone());
        self.events.try_send(ToDispatcher::Settings(settings)).ok();
    }

    /// Returns the operation of a route, adding it to the settings if necessary.
    fn operation(&mut self, route: &Route) -> OperationId {
        let key = OperationKey {
            kind: route.kind,
            latency_target_ms: route.latency_target_ms,
            timeout_ms: route.timeout_ms,
        };
        if let Some(known) = self.operations.get(&key) {
            return *known;
        }
        let new = OperationId(self.settings.operations.len());
        self.settings.operations.push(operation_settings(route));
        self.settings.in_force.operations.push(new);
        self.operations.insert(key, new);
        self.send_settings();
        new
    }
}

/// The module instance and operation for a request.
pub struct DispatchTarget {
    /// Event queue of the module.
    pub events: mpsc::Sender<ToDispatcher>,
    /// Operation of the request in that module.
    pub operation: OperationId,
}

/// State shared by all module instances.
pub struct DispatchContext {
    /// Known backends.
    pub backend_pool: Rc<RefCell<BackendPool>>,
    /// Retry budget of this proxy.
    pub retry_budget: Rc<RefCell<RetryBudget>>,
    /// Connections to the backends.
    pub connection_pools: Rc<ConnectionPools>,
    /// Clock of the modules.
    pub clock: Clock,
    /// Counters for operators.
    pub metrics: Metrics,
    /// Sender for calls to the shared counts.
    pub counter_calls: mpsc::Sender<QuotaCounterCall>,
    /// Phase of the process.
    pub phase: CurrentPhase,
}

/// All module instances of this proxy.
pub struct Dispatchers {
    shared: DispatchContext,
    nearby_proxies: u32,
    plans: Vec<Plan>,
    dispatchers: HashMap<DispatcherKey, DispatcherHandle>,
}

impl Dispatchers {
    /// Creates an empty set; module instances are started when requests need them.
    pub fn new(shared: DispatchContext) -> Self {
        Dispatchers {
            shared,
            nearby_proxies: 1,
            plans: Vec::new(),
            dispatchers: HashMap::new(),
        }
    }

    /// Returns whether a backend in the current list has this address.
    pub fn is_backend_address(&self, address: std::net::SocketAddr) -> bool {
        self.shared.backend_pool.borrow().has_address(address)
    }

    /// Returns the module instance for a request on a route to a service, or `None` if no backend
    /// may serve it. Each request earns a part of a retry.
    pub fn dispatch(
        &mut self,
        route: &Route,
        service: String,
        homes: &HomeRegions,
    ) -> Option<DispatchTarget> {
        if !self
            .shared
            .backend_pool
            .borrow()
            .has_backends(&service, homes)
        {
            return None;
        }
        self.shared
            .retry_budget
            .borrow_mut()
            .record_request(&service);
        let key = DispatcherKey {
            service,
            homes: homes.as_ref().map(|homes| homes.iter().cloned().collect()),
            max_attempts: route.max_attempts.max(1),
        };
        if !self.dispatchers.contains_key(&key) {
            let dispatcher = self.start_dispatcher(&key, homes.clone());
            self.dispatchers.insert(key.clone(), dispatcher);
        }
        let dispatcher = self.dispatchers.get_mut(&key)?;
        let operation = dispatcher.operation(route);
        Some(DispatchTarget {
            events: dispatcher.events.clone(),
            operation,
        })
    }

    fn start_dispatcher(&self, key: &DispatcherKey, homes: HomeRegions) -> DispatcherHandle {
        let shared = &self.shared;
        let (module, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let gateways = shared
            .backend_pool
            .borrow()
            .gateways(&key.service, self.nearby_proxies);
        let connect_timeout = shared.connection_pools.connect_timeout;
        let plans = self.plans.clone();
        let settings = module_settings(gateways, key.max_attempts, connect_timeout, plans);
        let connection_pools = shared.connection_pools.clone();
        let limits = SharedLimits {
            service: key.service.clone(),
            backend_pool: shared.backend_pool.clone(),
            retry_budget: shared.retry_budget.clone(),
            phase: shared.phase.clone(),
        };
        let actor = Dispatcher {
            rules: Rules::new(rand::random(), settings.clone(), shared.clock.now()),
            clock: shared.clock,
            mailbox: events,
            spawn_backend: Box::new(move |address, name| {
                Backend::spawn(&connection_pools, address, name)
            }),
            own_mailbox: module.clone(),
            attempt_policy: Some(Box::new(limits)),
            counter: Some(self.forward_count_calls(module.clone())),
            list_watcher: mpsc::channel(1).0,
            peers: None,
            peer_admissions: None,
            state: DispatcherState::default(),
            metrics: shared.metrics.clone(),
            account: None,
            reports_metrics: false,
            carry: None,
        };
        tokio::task::spawn_local(actor.run());
        let dispatcher = DispatcherHandle {
            service: key.service.clone(),
            homes,
            events: module,
            settings,
            operations: HashMap::new(),
        };
        let backends = self.send_backends_to(&dispatcher, shared.clock.now());
        log::info!(
            "dispatcher: started for service {}, home regions {:?}, {} attempts, {backends} backends.",
            key.service,
            key.homes,
            key.max_attempts
        );
        dispatcher
    }

    /// Starts a task that adds the answer's recipient to a module's calls to the counts.
    fn forward_count_calls(&self, module: mpsc::Sender<ToDispatcher>) -> mpsc::Sender<ToCounter> {
        let (sender, mut calls) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let counter_calls = self.shared.counter_calls.clone();
        tokio::task::spawn_local(async move {
            while let Some(call) = calls.recv().await {
                let reply_to = module.clone();
                if counter_calls
                    .send(QuotaCounterCall { call, reply_to })
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
        sender
    }

    /// Sends a module the backends as they are at a time; returns their number.
    fn send_backends_to(&self, dispatcher: &DispatcherHandle, now: Duration) -> usize {
        let pool = self.shared.backend_pool.borrow();
        let backends = pool.backends(&dispatcher.service, &dispatcher.homes, now);
        let count = backends.len();
        let listed = BackendListUpdate {
            form: ListUpdate::Replace,
            addresses: backends.iter().map(|backend| backend.address).collect(),
            names: backends
                .iter()
                .map(|backend| backend.name.clone())
                .collect(),
            entries: backends.into_iter().map(|backend| backend.entry).collect(),
        };
        if dispatcher
            .events
            .try_send(ToDispatcher::BackendList(listed))
            .is_err()
        {
            log::warn!("dispatcher: event queue is full; backend list not sent.");
        }
        count
    }

    /// Sends all modules their current backends.
    pub fn send_backends(&self) {
        let now = self.shared.clock.now();
        for dispatcher in self.dispatchers.values() {
            self.send_backends_to(dispatcher, now);
        }
        let mut pool = self.shared.backend_pool.borrow_mut();
        pool.slow_start().record_announcement(now);
    }

    /// Sends all modules a message about the end of the process; returns receivers for their
    /// unanswered requests.
    pub fn send_shutdown_message(
        &self,
        message: impl Fn(oneshot::Sender<Unanswered>) -> ToDispatcher,
    ) -> Vec<oneshot::Receiver<Unanswered>> {
        let send = |dispatcher: &DispatcherHandle| {
            let (reply_to, reply) = oneshot::channel();
            dispatcher.events.try_send(message(reply_to)).ok()?;
            Some(reply)
        };
        self.dispatchers.values().filter_map(send).collect()
    }

    /// Returns the plan of a tenant, or [`NO_PLAN`] if the tenant is unknown.
    pub fn plan(&self, tenant: &str) -> PlanId {
        let position = self.plans.iter().position(|plan| &*plan.name == tenant);
        position.map_or(NO_PLAN, PlanId)
    }

    /// Applies a new configuration. Plans keep their positions because requests in progress refer
    /// to plans by position.
    pub fn apply_config(&mut self, table: &RoutingTable) {
        for tenant in &table.tenants {
            let is_limited = tenant.rate_per_s > 0.0;
            let burst = if tenant.burst > 0.0 {
                tenant.burst
            } else {
                // A burst of 0 means one second's worth, as a burst is needed to admit any request.
                tenant.rate_per_s
            };
            let plan = Plan {
                name: tenant.name.as_str().into(),
                rate: if is_limited { tenant.rate_per_s } else { 0.0 },
                burst: if is_limited { burst } else { 0.0 },
                unit_value: 1.0,
                excess_cost: 1.0,
                ..Plan::default()
            };
            match self.plans.iter_mut().find(|known| known.name == plan.name) {
                Some(known) => *known = plan,
                None => self.plans.push(plan),
            }
        }
        self.update_settings();
    }

    /// Returns the tenants with quotas, each with its rate and the length in seconds of the slots
    /// in which the module counts it.
    pub fn tenant_quota_slots(&self) -> Vec<(String, f64, f64)> {
        let limited = self.plans.iter().filter(|plan| plan.rate > 0.0);
        let slot_s = |plan: &Plan| {
            let window_s = plan.burst / plan.rate;
            (window_s / SLOTS_PER_WINDOW).clamp(TICK.as_secs_f64(), MAX_SLOT_S)
        };
        limited
            .map(|plan| (plan.name.to_string(), plan.rate, slot_s(plan)))
            .collect()
    }

    /// Sets the number of proxies in this region.
    pub fn set_region_proxies(&mut self, proxies: u32) {
        if proxies != self.nearby_proxies {
            self.nearby_proxies = proxies;
            self.update_settings();
        }
    }

    /// Sends new settings to modules whose settings have changed.
    pub fn update_settings(&mut self) {
        let pool = self.shared.backend_pool.borrow();
        for dispatcher in self.dispatchers.values_mut() {
            let gateways = pool.gateways(&dispatcher.service, self.nearby_proxies);
            let settings = &mut dispatcher.settings;
            if gateways != settings.gateways || settings.plans != self.plans {
                settings.gateways = gateways;
                settings.plans = self.plans.clone();
                settings.in_force.plans = (0..self.plans.len()).map(PlanId).collect();
                dispatcher.send_settings();
            }
        }
    }
}
