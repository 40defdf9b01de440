//! The decision module as the system runs it: one for each service, homes and number of attempts, each with the
//! backends that may serve what comes to it. Operations are told apart by what the module reads of a route.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam::Rules;
use damsonbeam::interface::*;
use damsonbeam_admin::Figures;
use damsonbeam_control::items::{Route, RouteKind};
use damsonbeam_gateway::backends::{Backend, Fleet};
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::mail::{Listed, ToCounter, ToModule, Unanswered};
use damsonbeam_gateway::module::{Guard, Module, Sent, State};
use damsonbeam_gateway::stage::Now;
use tokio::sync::{mpsc, oneshot};

use crate::backend_pool::BackendPool;
use crate::retry_budget::RetryBudget;
use crate::routing_table::{Homes, RoutingTable};

/// Room in a module's mailbox.
const ROOM: usize = 4096;
/// The quota answers at once: the module's time-out for a count only has to be longer than its mailbox.
const COUNT: Duration = Duration::from_millis(100);
/// Slots of a window and the longest in seconds, as the module cuts them.
const SLOTS: f64 = 2.0;
const SLOT_MOST: f64 = 8.0;
const TICK: Duration = Duration::from_millis(1);
/// Advice to a client to come back is no longer than this.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Part of a request's worth that a late answer keeps, where nobody says: some, so late ones are still tried.
const LATE: f64 = 0.5;

/// Whose units a count's answer is for.
pub struct Counted {
    pub call: ToCounter,
    pub to: mpsc::Sender<ToModule>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    service: String,
    homes: Option<Vec<String>>,
    attempts: u32,
}

struct Dispatcher {
    service: String,
    homes: Homes,
    to: mpsc::Sender<ToModule>,
    settings: Settings,
    /// Names of operations by what the module reads of them.
    operations: HashMap<(RouteKind, u64, u64), OpId>,
}

pub struct Dispatchers {
    pub backend_pool: Rc<RefCell<BackendPool>>,
    pub retry_budget: Rc<RefCell<RetryBudget>>,
    pub fleet: Rc<Fleet>,
    pub clock: Clock,
    pub figures: Figures,
    /// Where counts go.
    pub quota: mpsc::Sender<Counted>,
    pub stage: Now,
    near: u32,
    place: u32,
    plans: Vec<Plan>,
    all: HashMap<Key, Dispatcher>,
}

/// What deliveries of one service use up that all proxies share.
struct Shared {
    service: String,
    backend_pool: Rc<RefCell<BackendPool>>,
    retry_budget: Rc<RefCell<RetryBudget>>,
    stage: Now,
}

impl Guard for Shared {
    fn again(&mut self, _: Duration) -> bool {
        self.retry_budget.borrow_mut().spend(&self.service)
    }

    fn sent(&mut self, tgt: TgtId, now: Duration) -> Sent {
        let mut backend_pool = self.backend_pool.borrow_mut();
        let cold = backend_pool.slow_start.is_cold(tgt, now);
        let go = backend_pool.slow_start.send(tgt, now);
        if let Some(load_reports) = backend_pool.load_reports.as_mut().filter(|_| go) {
            load_reports.sent(tgt, now);
        }
        Sent {
            go,
            entry: if cold {
                backend_pool.closed(tgt, now)
            } else {
                None
            },
        }
    }

    fn ended(&mut self, tgt: TgtId, outcome: Outcome, took: Duration, now: Duration) {
        if let Some(load_reports) = &mut self.backend_pool.borrow_mut().load_reports {
            load_reports.ended(tgt, outcome, took, now);
        }
    }

    /// Told to end, a proxy waits for what its backends are at work on: the budget may allow no second attempt.
    fn may_give_up(&self) -> bool {
        !self.stage.stage().sends_away()
    }
}

impl Dispatchers {
    pub fn new(
        backend_pool: Rc<RefCell<BackendPool>>,
        retry_budget: Rc<RefCell<RetryBudget>>,
        fleet: Rc<Fleet>,
        clock: Clock,
        figures: Figures,
        quota: mpsc::Sender<Counted>,
        stage: Now,
    ) -> Self {
        let (near, place, plans, all) = (1, 0, Vec::new(), HashMap::new());
        Dispatchers {
            backend_pool,
            retry_budget,
            fleet,
            clock,
            figures,
            quota,
            stage,
            near,
            place,
            plans,
            all,
        }
    }

    /// The module for a request on that route to that service, and its operation there.
    /// None where there is no backend that may serve it.
    pub fn dispatcher(
        &mut self,
        route: &Route,
        service: String,
        homes: &Homes,
    ) -> Option<(mpsc::Sender<ToModule>, OpId)> {
        if !self.backend_pool.borrow().has(&service, homes) {
            return None;
        }
        self.retry_budget.borrow_mut().earn(&service);
        let attempts = route.attempts.max(1);
        let list = homes.as_ref().map(|h| h.iter().cloned().collect());
        let key = Key {
            service,
            homes: list,
            attempts,
        };
        if !self.all.contains_key(&key) {
            let dispatcher = self.open(&key, homes.clone());
            self.all.insert(key.clone(), dispatcher);
        }
        let dispatcher = self.all.get_mut(&key).expect("just made");
        let row = (route.kind, route.aim_ms, route.timeout_ms);
        let op = dispatcher.operations.get(&row).copied().unwrap_or_else(|| {
            let op = OpId(dispatcher.settings.operations.len());
            dispatcher.settings.operations.push(operation(route));
            dispatcher.settings.in_force.operations.push(op);
            dispatcher.operations.insert(row, op);
            dispatcher
                .to
                .try_send(ToModule::Settings(Box::new(dispatcher.settings.clone())))
                .ok();
            op
        });
        Some((dispatcher.to.clone(), op))
    }

    fn open(&self, key: &Key, homes: Homes) -> Dispatcher {
        let (to, mailbox) = mpsc::channel(ROOM);
        let gateways = self.backend_pool.borrow().gateways(&key.service, self.near);
        let settings = settings(
            gateways,
            key.attempts,
            self.fleet.connect_timeout,
            self.plans.clone(),
        );
        let (to_counter, mut calls) = mpsc::channel(ROOM);
        let (quota, back) = (self.quota.clone(), to.clone());
        tokio::task::spawn_local(async move {
            while let Some(call) = calls.recv().await {
                if quota
                    .send(Counted {
                        call,
                        to: back.clone(),
                    })
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
        let fleet = self.fleet.clone();
        let guard = Shared {
            service: key.service.clone(),
            backend_pool: self.backend_pool.clone(),
            retry_budget: self.retry_budget.clone(),
            stage: self.stage.clone(),
        };
        let module = Module {
            rules: Rules::new(rand::random(), settings.clone(), self.clock.now()),
            clock: self.clock,
            mailbox,
            hire: Box::new(move |at, name| Backend::hire(&fleet, at, name)),
            me: to.clone(),
            guard: Some(Box::new(guard)),
            counter: Some(to_counter),
            list: mpsc::channel(1).0,
            peers: None,
            witness: None,
            state: State::default(),
            figures: self.figures.clone(),
            account: None,
            shown: false,
            carry: None,
        };
        tokio::task::spawn_local(module.run());
        let dispatcher = Dispatcher {
            service: key.service.clone(),
            homes,
            to,
            settings,
            operations: HashMap::new(),
        };
        self.tell(&dispatcher);
        let lines = self
            .backend_pool
            .borrow()
            .lines(&key.service, &dispatcher.homes, self.clock.now())
            .len();
        log::info!(
            "dispatcher: {} for homes {:?}, {} attempts, {lines} backends.",
            key.service,
            key.homes,
            key.attempts
        );
        dispatcher
    }

    /// The backends as they stand.
    fn tell(&self, dispatcher: &Dispatcher) {
        let lines = self.backend_pool.borrow().lines(
            &dispatcher.service,
            &dispatcher.homes,
            self.clock.now(),
        );
        let addrs = lines.iter().map(|l| l.at).collect();
        let names = lines.iter().map(|l| l.name.clone()).collect();
        let entries = lines.into_iter().map(|l| l.entry).collect();
        let listed = Listed {
            form: ListForm::Replace,
            entries,
            addrs,
            names,
        };
        if dispatcher.to.try_send(ToModule::Listed(listed)).is_err() {
            log::warn!("dispatcher: no room for a new list.");
        }
    }

    pub fn tell_all(&self) {
        self.all.values().for_each(|d| self.tell(d));
    }

    /// Tells all modules that the program ends; what they had unanswered comes back.
    pub fn end(
        &self,
        message: impl Fn(oneshot::Sender<Unanswered>) -> ToModule,
    ) -> Vec<oneshot::Receiver<Unanswered>> {
        let tell = |dispatcher: &Dispatcher| {
            let (to, told) = oneshot::channel();
            dispatcher.to.try_send(message(to)).ok().map(|()| told)
        };
        self.all.values().filter_map(tell).collect()
    }

    /// Which plan a tenant has.
    pub fn plan(&self, tenant: &str) -> PlanId {
        PlanId(
            self.plans
                .iter()
                .position(|p| &*p.name == tenant)
                .unwrap_or(usize::MAX),
        )
    }

    /// A new configuration: rows stay where they are, for what is under way goes by them.
    pub fn follow(&mut self, routing_table: &RoutingTable) {
        for t in &routing_table.tenants {
            let limited = t.rate > 0.0;
            // A burst of 0 is a second's worth: some must be let in at once.
            let burst = if t.burst > 0.0 { t.burst } else { t.rate };
            let plan = Plan {
                name: t.name.as_str().into(),
                rate: if limited { t.rate } else { 0.0 },
                burst: if limited { burst } else { 0.0 },
                price: 1.0,
                over_cost: 1.0,
                ..Plan::default()
            };
            match self.plans.iter_mut().find(|p| p.name == plan.name) {
                Some(known) => *known = plan,
                None => self.plans.push(plan),
            }
        }
        self.settle();
    }

    /// Tenants' rates and the lengths of the slots in which the module counts them, in seconds.
    pub fn slots(&self) -> Vec<(String, f64, f64)> {
        let limited = self.plans.iter().filter(|p| p.rate > 0.0);
        let slot = |p: &Plan| (p.burst / p.rate / SLOTS).clamp(TICK.as_secs_f64(), SLOT_MOST);
        limited
            .map(|p| (p.name.to_string(), p.rate, slot(p)))
            .collect()
    }

    /// So many proxies are near, and this one's place among them; whether that changed.
    pub fn near(&mut self, near: u32, place: u32) -> bool {
        let changed = (near, place) != (self.near, self.place);
        if changed {
            (self.near, self.place) = (near, place);
            self.settle();
        }
        changed
    }

    pub fn settle(&mut self) {
        let backend_pool = self.backend_pool.borrow();
        for dispatcher in self.all.values_mut() {
            let gateways = backend_pool.gateways(&dispatcher.service, self.near);
            if gateways != dispatcher.settings.gateways || dispatcher.settings.plans != self.plans {
                dispatcher.settings.gateways = gateways;
                dispatcher.settings.plans = self.plans.clone();
                dispatcher.settings.in_force.plans = (0..self.plans.len()).map(PlanId).collect();
                dispatcher
                    .to
                    .try_send(ToModule::Settings(Box::new(dispatcher.settings.clone())))
                    .ok();
            }
        }
    }
}

/// Whether a request on a route of that kind may run more than once.
pub fn repeat(kind: RouteKind) -> Repeat {
    match kind {
        RouteKind::ReadOnly => Repeat::Idempotent,
        _ => Repeat::NonIdempotent,
    }
}

fn operation(route: &Route) -> Operation {
    let name = format!("{:?}/{}/{}", route.kind, route.aim_ms, route.timeout_ms);
    Operation {
        name: name.as_str().into(),
        repeat: repeat(route.kind),
        latency_objective: Duration::from_millis(route.aim_ms),
        integration_timeout: Duration::from_millis(route.timeout_ms),
        billed_value: 1.0,
        late_value: LATE,
        streamed: false,
    }
}

fn settings(gateways: u32, attempts: u32, connect_timeout: Duration, plans: Vec<Plan>) -> Settings {
    let in_force = InForce {
        operations: vec![],
        plans: (0..plans.len()).map(PlanId).collect(),
    };
    Settings {
        gateways,
        tick: TICK,
        plans,
        in_force,
        limits: Limits {
            cancel: true,
            parallel: false,
            probes: false,
            tell: false,
            retry_after: Some(RETRY_AFTER),
            tries: attempts,
            open: usize::MAX,
            connect_timeout,
        },
        counter: Some(Counter {
            timeout: COUNT,
            price: 0.0,
        }),
        most_units: 1.0,
        cold_share: 1.0,
        overload_factor: 1.0,
        overload_for: Duration::from_secs(1),
        ..Settings::default()
    }
}
