//! All decisions of a gateway. [`Rules::handle_event`] takes events in order and returns the actions to carry
//! out at once.
//!
//! The module reads no clock: time comes with the events and randomness from the seed, so that the
//! same events always produce the same actions.
//!
//! Quotas (docs/design.md) use a sliding window that is divided into slots. An invocation adds its
//! units to its customer's count for the current slot on the shared counter. If the slots inside
//! the window sum up to more than the burst, the invocation is throttled and its add is undone.
//!
//! Each file covers one concern:
//!
//! | file | decides |
//! | --- | --- |
//! | `admission` | whether an invocation is admitted |
//! | `window` | the units used in a customer's window |
//! | `use_estimate` | the estimated usage of a customer where the counter was not asked |
//! | `counter` | the calls to the shared counter, and which of them are omitted |
//! | `queue` | which invocations wait for a backend, and for how long |
//! | `concurrency` | how many attempts the backends take at once |
//! | `backend_choice`, `warm_up` | which backend gets an attempt, and the work of a new one |
//! | `attempts` | whether a retry or a hedge is sent |
//! | `unanswered` | which backends leave operations unanswered, as reported between gateways |
//! | `answers` | the final answers, and the advised retry delay |
//! | `operation_latency` | how long answers take, by operation |
//! | `backend_list`, `reconfigure`, `handover` | the effect of new lists, settings and processes |
//!
//! `backend`, `customer`, `invocation` and `latency_histogram` hold state; `timers` holds the
//! timers.

mod admission;
mod answers;
mod attempts;
mod backend;
mod backend_choice;
mod backend_list;
mod concurrency;
mod counter;
mod customer;
pub(crate) mod handover;
mod invocation;
mod latency_histogram;
mod operation_latency;
mod queue;
mod reconfigure;
mod timers;
mod unanswered;
mod use_estimate;
mod warm_up;
mod window;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::backend::BackendState;
use self::counter::{CounterCall, CounterSampling};
use self::customer::Customer;
use self::invocation::PendingInvocation;
use self::operation_latency::OperationLatency;
use self::timers::Timer;
use self::use_estimate::{PlanUsage, initial_plan_usage};
use self::warm_up::WarmThroughput;
use crate::interface::{
    Action, BackendId, CustomerId, Event, InvocationId, OperationId, PeerUnits, Settings,
};

/// Tolerance in units when sums of fractions are compared.
const EPSILON: f64 = 1e-3;
/// Number of samples over which exponentially weighted means are taken. A gateway receives a few
/// samples a second.
const MEAN_SAMPLES: f64 = 50.0;
/// Before any answer, the latency of an operation is assumed to be its objective divided by this.
const DEFAULT_LATENCY_DIVISOR: f64 = 8.0;
/// Weight of the prior latency, in samples, in a mean latency.
const PRIOR_LATENCY_WEIGHT: f64 = 3.0;
/// The median as a quantile.
const MEDIAN: f64 = 0.5;

/// The decisions of one gateway, and the state they depend on.
pub struct Rules {
    settings: Settings,
    rng: ChaCha8Rng,
    now: Duration,
    /// Actions that the current event has caused so far.
    actions: Vec<Action>,
    started_at: Duration,
    invocations: BTreeMap<InvocationId, PendingInvocation>,
    customers: BTreeMap<CustomerId, Customer>,
    backends: BTreeMap<BackendId, BackendState>,
    /// Invocations that wait for a backend, ordered by arrival.
    queue: BTreeSet<(Duration, InvocationId)>,
    /// Unanswered calls to the counter, by counter name, oldest first.
    calls: BTreeMap<String, VecDeque<CounterCall>>,
    timers: BTreeSet<(Duration, Timer)>,
    /// When the front end's timer fires.
    armed_until: Option<Duration>,
    counter_sampling: CounterSampling,
    /// Limit on concurrent attempts at one backend, from all gateways together.
    concurrency_limit: f64,
    /// Latencies, indexed by operation.
    latencies: Vec<OperationLatency>,
    /// Moving mean of the value of an invocation.
    mean_value: f64,
    /// Moving mean of the units of an invocation. Starts at the geometric mean of 1 and the
    /// maximum, as few invocations are large.
    mean_units: f64,
    /// Moving mean of the duration of an attempt, in seconds.
    mean_attempt_s: f64,
    /// Observed fraction of the quota in use, indexed by plan and by whether the client has tried
    /// before.
    plan_usage: Vec<[PlanUsage; 2]>,
    /// Number of hedges that may be sent.
    hedge_budget: f64,
    warm_throughput: WarmThroughput,
    /// Whether the state has been handed over to a successor process.
    has_yielded: bool,
}

impl Rules {
    /// Creates the state of a gateway that knows no backend and no customer. `seed` seeds the
    /// random number generator.
    pub fn new(seed: u64, settings: Settings, now: Duration) -> Self {
        let operations = settings.operations.iter();
        let default_latencies_s = operations
            .clone()
            .map(|operation| operation.latency_objective.as_secs_f64() / DEFAULT_LATENCY_DIVISOR);
        Rules {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            actions: Vec::new(),
            started_at: now,
            invocations: BTreeMap::new(),
            customers: BTreeMap::new(),
            backends: BTreeMap::new(),
            queue: BTreeSet::new(),
            calls: BTreeMap::new(),
            timers: BTreeSet::new(),
            armed_until: None,
            counter_sampling: CounterSampling::new(now),
            concurrency_limit: concurrency::INITIAL_LIMIT,
            mean_attempt_s: default_latencies_s.fold(1.0, f64::min),
            latencies: operations.map(|_| OperationLatency::default()).collect(),
            mean_value: 0.0,
            mean_units: settings.max_units.max(1.0).sqrt(),
            plan_usage: vec![initial_plan_usage(); settings.plans.len()],
            hedge_budget: 0.0,
            warm_throughput: WarmThroughput::new(now),
            has_yielded: false,
            settings,
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle_event(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        self.handle(event);
        self.send_queued();
        self.run_timers();
        self.run_periodic_cleanup();
        self.arm_timer();
        std::mem::take(&mut self.actions)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::BackendList { form, entries } => self.update_backends(form, &entries),
            Event::Invocation(invocation) => {
                let operation = invocation.operation.0;
                if operation < self.settings.operations.len() {
                    self.handle_invocation(invocation);
                } else {
                    let invocation_id = invocation.id;
                    self.actions.push(Action::Fail { invocation_id });
                }
            }
            Event::FirstByte { invocation_id, .. } => self.handle_stream_started(invocation_id),
            Event::AttemptEnded { .. } => self.handle_attempt_ended(event),
            Event::ClientDisconnected { invocation_id } => self.remove_invocation(invocation_id),
            Event::CounterTotal {
                name,
                outcome,
                total,
                peer_units,
                latency,
            } => self.handle_total(&name, outcome, total, peer_units, latency),
            Event::PeerUnits(reports) => self.apply_peer_reports(&reports),
            // A front end may round a wait down, so that its timer fires up to a tick early. The
            // timer then counts as fired; otherwise no later one would be armed.
            Event::TimerFired { .. } => {
                let rounded = self.now + self.settings.tick;
                self.armed_until = self.armed_until.filter(|until| *until > rounded);
            }
            Event::PeerMessage { bytes, .. } => self.apply_unanswered_report(&bytes),
            Event::BodyComplete {
                invocation_id,
                deadline,
            } => self.handle_body_complete(invocation_id, deadline),
            Event::BodyConsumed { invocation_id } => {
                if let Some(invocation) = self.invocations.get_mut(&invocation_id) {
                    invocation.max_attempts = invocation.attempts.len() as u32;
                }
            }
            Event::Settings(settings) => self.reconfigure(*settings),
            Event::HandOver => self.hand_over(),
            Event::Resume => self.has_yielded = false,
            Event::TakeOver(carry) => self.take_over(*carry),
            Event::ProbeEnded { .. } => {}
        }
    }

    fn handle_attempt_ended(&mut self, event: Event) {
        let Event::AttemptEnded {
            invocation_id,
            attempt,
            backend_id,
            outcome,
            latency,
            is_finished,
            metered_use,
            actual_units,
            ..
        } = event
        else {
            return;
        };
        if let Some(metered_use) = metered_use {
            self.record_metered_usage(invocation_id, metered_use);
        }
        self.record_attempt_end(invocation_id, attempt, backend_id, outcome, latency);
        if let Some(units) = actual_units.filter(|_| self.settings.units_are_estimates) {
            self.apply_true_units(invocation_id, units);
        }
        if is_finished {
            self.remove_invocation(invocation_id);
        } else {
            self.retry_or_finish(invocation_id);
        }
    }

    fn apply_peer_reports(&mut self, reports: &[PeerUnits]) {
        for report in reports {
            if let Some(customer) = self.customers.get_mut(&report.customer) {
                customer.apply_peer_report(report);
            }
        }
    }

    /// Returns the given quantile of recent latencies in seconds, or a fraction of the objective if
    /// there are none yet.
    fn expected_s(&self, quantile: f64, operation: OperationId) -> f64 {
        self.latencies[operation.0]
            .histogram()
            .quantile_s(quantile)
            .unwrap_or_else(|| self.default_latency_s(operation))
    }

    /// Returns the latency in seconds that the next answer is likely to have.
    fn likely_s(&self, operation: OperationId) -> f64 {
        self.latencies[operation.0]
            .likely_s()
            .unwrap_or_else(|| self.default_latency_s(operation))
    }

    /// Returns the latency in seconds that is assumed before the first answer.
    fn default_latency_s(&self, operation: OperationId) -> f64 {
        let objective = self.settings.operations[operation.0].latency_objective;
        objective.as_secs_f64() / DEFAULT_LATENCY_DIVISOR
    }

    /// Returns the mean of recent latencies in seconds.
    fn mean_s(&self, operation: OperationId) -> f64 {
        let prior_s = self.expected_s(MEDIAN, operation);
        self.latencies[operation.0]
            .histogram()
            .mean_s(prior_s, PRIOR_LATENCY_WEIGHT)
    }

    /// Returns the time until which an answer earns its full value.
    fn objective(&self, invocation: &PendingInvocation) -> Duration {
        let operation = &self.settings.operations[invocation.request.operation.0];
        (invocation.timed_from + operation.latency_objective).min(invocation.request.deadline)
    }

    /// Returns the number of gateways, at least 1.
    fn gateway_count(&self) -> f64 {
        f64::from(self.settings.gateways.max(1))
    }
}
