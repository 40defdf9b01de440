//! Every decision of a gateway: [`Rules::on`] takes events in order and returns actions to carry out at once.
//!
//! Time is the events' clock, chance comes from the seed: same events, same actions. The design (docs/design.md):
//! an invocation adds its units to its customer's count of the running slot on the shared counter, the slots inside
//! the window are summed, and it is throttled if the sum passes the burst, its add then undone.
//!
//! A file for each concern:
//!
//! | file | decides |
//! | --- | --- |
//! | `admission` | whether an invocation is let in |
//! | `window` | what the slots of a customer's window sum up to |
//! | `use_estimate` | what a customer uses where the counter was not asked |
//! | `counter` | the calls to the shared counter, and which of them are left out while it is slow or gone |
//! | `queue` | which invocations wait for a backend, and for how long |
//! | `concurrency` | how many attempts the backends take at once |
//! | `backend_choice`, `warm_up` | which backend an attempt goes to; how much a fresh one gets |
//! | `attempts` | whether a further attempt or a second copy is sent |
//! | `unanswered` | which backends leave operations unanswered, told between gateways |
//! | `answers` | the final answers, and how long clients are to stay away |
//! | `backend_list`, `reconfigure`, `handover` | what new lists, new settings and a successor change |
//!
//! `backend`, `customer`, `invocation`, `latency_histogram` are what is remembered of each; `timers` is what is due.

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
use self::latency_histogram::LatencyHistogram;
use self::timers::Timer;
use self::use_estimate::{PlanUse, initial_plan_use};
use self::warm_up::WarmFlow;
use crate::interface::{
    Action, BackendId, CustomerId, Event, InvocationId, OperationId, PeersAdmitted, Settings,
};

/// Sums of fractions are equal within this many units.
const EPSILON: f64 = 1e-3;
/// Samples that a fading mean is taken over: a gateway meets a few a second.
const MEAN_SAMPLES: f64 = 50.0;
/// Part of an operation's objective that an answer is taken to need before any came.
const UNKNOWN_LATENCY_DIVISOR: f64 = 8.0;
/// Answers that the usual time weighs beside those measured.
const USUAL_LATENCY_WEIGHT: f64 = 3.0;
/// The median.
const MEDIAN: f64 = 0.5;

/// The decisions of one gateway, and what it remembers for them.
pub struct Rules {
    settings: Settings,
    rng: ChaCha8Rng,
    now: Duration,
    /// What the event at hand has given rise to.
    actions: Vec<Action>,
    started_at: Duration,
    invocations: BTreeMap<InvocationId, PendingInvocation>,
    customers: BTreeMap<CustomerId, Customer>,
    backends: BTreeMap<BackendId, BackendState>,
    /// Invocations that wait for a backend, by arrival.
    queue: BTreeSet<(Duration, InvocationId)>,
    /// Calls to the counter that are not answered yet, by name.
    calls: BTreeMap<String, VecDeque<CounterCall>>,
    timers: BTreeSet<(Duration, Timer)>,
    /// When the front end's timer ends.
    armed_until: Option<Duration>,
    counter_sampling: CounterSampling,
    /// Attempts that a backend takes at once, from all gateways together.
    concurrency_limit: f64,
    /// Answer times, by operation.
    latencies: Vec<LatencyHistogram>,
    /// What an invocation earns, on the mean of late.
    mean_value: f64,
    /// Units of an invocation, on the mean of late; at first the geometric middle, for few are large.
    mean_units: f64,
    /// How long an attempt stays out, on the mean of late, in seconds.
    mean_attempt_s: f64,
    /// By plan, and whether the client has tried before: the part of the quota seen in use.
    plan_use: Vec<[PlanUse; 2]>,
    /// Second copies that may be sent.
    hedge_budget: f64,
    warm_flow: WarmFlow,
    /// Another process takes this one's place.
    has_yielded: bool,
}

impl Rules {
    /// Nothing is known yet. `seed`: where chance comes from.
    pub fn new(seed: u64, settings: Settings, now: Duration) -> Self {
        let operations = settings.operations.iter();
        let unknown_latencies_s = operations
            .clone()
            .map(|operation| operation.latency_objective.as_secs_f64() / UNKNOWN_LATENCY_DIVISOR);
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
            mean_attempt_s: unknown_latencies_s.fold(1.0, f64::min),
            latencies: operations.map(|_| LatencyHistogram::default()).collect(),
            mean_value: 0.0,
            mean_units: settings.max_units.max(1.0).sqrt(),
            plan_use: vec![initial_plan_use(); settings.plans.len()],
            hedge_budget: 0.0,
            warm_flow: WarmFlow::new(now),
            has_yielded: false,
            settings,
        }
    }

    /// Takes an event; returns what is to be done.
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        self.handle(event);
        self.send_queued();
        self.run_timers();
        self.sweep();
        self.arm_timer();
        std::mem::take(&mut self.actions)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::BackendList { form, entries } => self.update_backends(form, &entries),
            Event::Invocation(invocation) => {
                let operation = invocation.operation.0;
                if operation < self.settings.operations.len() {
                    self.arrive(invocation);
                } else {
                    let invocation_id = invocation.id;
                    self.actions.push(Action::Fail { invocation_id });
                }
            }
            Event::FirstByte { invocation_id, .. } => self.stream_started(invocation_id),
            Event::AttemptEnded { .. } => self.handle_attempt_ended(event),
            Event::ClientGone { invocation_id } => self.forget(invocation_id),
            Event::CounterTotal {
                name,
                outcome,
                total,
                others,
                latency,
            } => self.handle_total(&name, outcome, total, others, latency),
            Event::PeersAdmitted(reports) => self.take_peer_reports(&reports),
            // A front end may round a wait down: a timer that comes early must not leave all others unarmed.
            Event::Timer { .. } => {
                let rounded = self.now + self.settings.tick;
                self.armed_until = self.armed_until.filter(|until| *until > rounded);
            }
            Event::PeerMessage { bytes, .. } => self.take_unanswered_report(&bytes),
            Event::BodyComplete {
                invocation_id,
                deadline,
            } => self.body_complete(invocation_id, deadline),
            Event::BodyConsumed { invocation_id } => {
                if let Some(invocation) = self.invocations.get_mut(&invocation_id) {
                    invocation.max_attempts = invocation.attempts.len() as u32;
                }
            }
            Event::Settings(settings) => self.reconfigure(*settings),
            Event::Yield => self.hand_over(),
            Event::Resume => self.has_yielded = false,
            Event::TakeOver(carry) => self.take_over(*carry),
            Event::Probed { .. } => {}
        }
    }

    fn handle_attempt_ended(&mut self, event: Event) {
        let Event::AttemptEnded {
            invocation_id,
            attempt,
            backend_id,
            outcome,
            latency,
            closed,
            used,
            true_units,
            ..
        } = event
        else {
            return;
        };
        if let Some(used) = used {
            self.learn_metered_use(invocation_id, used);
        }
        self.attempt_ended(invocation_id, attempt, backend_id, outcome, latency);
        if let Some(units) = true_units.filter(|_| self.settings.true_units_follow) {
            self.settle(invocation_id, units);
        }
        if closed {
            self.forget(invocation_id);
        } else {
            self.retry_or_end(invocation_id);
        }
    }

    fn take_peer_reports(&mut self, reports: &[PeersAdmitted]) {
        for report in reports {
            if let Some(customer) = self.customers.get_mut(&report.customer) {
                customer.take_peer_report(report);
            }
        }
    }

    /// Seconds that an answer takes by this quantile of late; a part of the objective before any came.
    fn expected_s(&self, quantile: f64, operation: OperationId) -> f64 {
        let objective = self.settings.operations[operation.0].latency_objective;
        self.latencies[operation.0]
            .quantile_s(quantile)
            .unwrap_or(objective.as_secs_f64() / UNKNOWN_LATENCY_DIVISOR)
    }

    /// Seconds that an answer takes on the mean of late.
    fn mean_s(&self, operation: OperationId) -> f64 {
        let usual_s = self.expected_s(MEDIAN, operation);
        self.latencies[operation.0].mean_s(usual_s, USUAL_LATENCY_WEIGHT)
    }

    /// Until when an invocation's answer earns its full value.
    fn objective(&self, invocation: &PendingInvocation) -> Duration {
        let operation = &self.settings.operations[invocation.request.operation.0];
        (invocation.time_from + operation.latency_objective).min(invocation.request.deadline)
    }

    /// The fleet's gateways, as a number to divide by.
    fn gateway_count(&self) -> f64 {
        f64::from(self.settings.gateways.max(1))
    }
}
