//! A route split by weight between two services, one of which becomes slow for some seconds: each service has a decision
//! module of its own, and a client that is rejected comes again, with the service chosen anew.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::common::{backend_entry, backend_list, ms, settings};
use damsonbeam::Rules;
use damsonbeam::interface::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PROXIES: usize = 10;
const BACKENDS: u32 = 19;
const PRIMARY_WEIGHT: f64 = 0.75;
/// The share of a part may differ from its weight by this much.
const MAX_SHARE_ERROR: f64 = 0.2;
/// Shares are judged once the backends have answered at their usual speed for this long.
const CONTACT_TIME: Duration = Duration::from_secs(5);
const JUDGED_TIME: Duration = Duration::from_secs(7);
/// Attempts that a client makes after its first one was rejected.
const CLIENT_RETRIES: u32 = 2;
const CLIENT_DEADLINE: Duration = Duration::from_millis(2500);

/// The operations of the secondary service's module.
const SPLIT_ROUTE: OperationId = OperationId(0);
const OWN_ROUTE: OperationId = OperationId(1);

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Part {
    Primary,
    Secondary,
}

/// A time in which requests wait in the queues of the secondary service's backends, for `queue_time` each.
#[derive(Clone, Copy)]
struct SlowTime {
    from: Duration,
    to: Duration,
    queue_time: Duration,
}

/// Requests per second at one proxy.
#[derive(Clone, Copy)]
struct RequestRates {
    split_route: f64,
    own_route: f64,
}

#[derive(Clone, Copy)]
struct ClientAttempt {
    route: OperationId,
    retries_left: u32,
}

enum SimulationEvent {
    /// The next request of a route arrives at a proxy.
    Arrival { proxy: usize, route: OperationId },
    /// A client tries again after a rejection.
    Retry(ClientAttempt),
    AttemptEnds {
        proxy: usize,
        part: Part,
        backend_id: BackendId,
        invocation_id: InvocationId,
        latency: Duration,
    },
    Timer {
        proxy: usize,
        part: Part,
        token: String,
    },
}

struct Simulation {
    modules: HashMap<(usize, Part), Rules>,
    rates: RequestRates,
    slow: SlowTime,
    rng: ChaCha8Rng,
    now: Duration,
    queue: BTreeMap<(Duration, u64), SimulationEvent>,
    last_number: u64,
    open: HashMap<InvocationId, ClientAttempt>,
    outcome: JudgedOutcome,
}

/// What happened in the judged time.
#[derive(Default)]
struct JudgedOutcome {
    /// Requests of the split route that reached backends of each part.
    reached: HashMap<Part, u32>,
    /// Rejections of requests on the own route of the secondary service.
    own_route_rejections: u32,
}

impl JudgedOutcome {
    /// Returns the share of the split route's requests that reached the primary part.
    fn primary_share(&self) -> f64 {
        let reached = |part| f64::from(self.reached.get(&part).copied().unwrap_or(0));
        reached(Part::Primary) / (reached(Part::Primary) + reached(Part::Secondary))
    }
}

fn operation(name: &str, latency_objective: Duration) -> Operation {
    Operation {
        name: name.into(),
        repeat: RepeatMode::Idempotent,
        latency_objective,
        integration_timeout: CLIENT_DEADLINE,
        billed_value: 1.0,
        late_value: 0.5,
        streamed: false,
    }
}

/// Returns the settings of a module of a proxy, without quotas.
fn module_settings() -> Settings {
    let operations = vec![operation("split", ms(400)), operation("own", ms(500))];
    let unlimited = settings(RepeatMode::Idempotent);
    Settings {
        gateways: 2,
        tick: ms(1),
        in_force: InForce {
            operations: vec![SPLIT_ROUTE, OWN_ROUTE],
            plans: vec![],
        },
        operations,
        plans: vec![],
        counter: None,
        max_units: 1.0,
        warm_up_share: 1.0,
        limits: InvocationLimits {
            max_attempts: 2,
            max_retry_after: Some(ms(1000)),
            ..unlimited.limits.clone()
        },
        ..unlimited
    }
}

fn new_module(seed: u64) -> Rules {
    let mut rules = Rules::new(seed, module_settings(), Duration::ZERO);
    let entries = (0..BACKENDS).map(|id| backend_entry(id, Health::Up, Duration::ZERO));
    let list = backend_list(ListUpdate::Restored, entries.collect());
    rules.handle_event(Duration::ZERO, list);
    rules
}

impl Simulation {
    fn new(seed: u64, rates: RequestRates, slow: SlowTime) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let parts = [Part::Primary, Part::Secondary];
        let keys = (0..PROXIES).flat_map(|proxy| parts.map(|part| (proxy, part)));
        let modules = keys.map(|key| (key, new_module(rng.random()))).collect();
        let mut simulation = Simulation {
            modules,
            rates,
            slow,
            rng,
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            last_number: 0,
            open: HashMap::new(),
            outcome: JudgedOutcome::default(),
        };
        for proxy in 0..PROXIES {
            simulation.schedule_arrival(proxy, SPLIT_ROUTE);
            simulation.schedule_arrival(proxy, OWN_ROUTE);
        }
        simulation
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn schedule(&mut self, after: Duration, event: SimulationEvent) {
        let number = self.next_number();
        self.queue.insert((self.now + after, number), event);
    }

    fn schedule_arrival(&mut self, proxy: usize, route: OperationId) {
        let rate = if route == SPLIT_ROUTE {
            self.rates.split_route
        } else {
            self.rates.own_route
        };
        let pause_s = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        let event = SimulationEvent::Arrival { proxy, route };
        self.schedule(Duration::from_secs_f64(pause_s), event);
    }

    fn judged_from(&self) -> Duration {
        self.slow.to + CONTACT_TIME
    }

    fn is_judged(&self) -> bool {
        self.now >= self.judged_from()
    }

    /// Plays until the end of the judged time.
    fn play(mut self) -> JudgedOutcome {
        let end = self.judged_from() + JUDGED_TIME;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.outcome
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival { proxy, route } => {
                self.schedule_arrival(proxy, route);
                let retries_left = CLIENT_RETRIES;
                let attempt = ClientAttempt {
                    route,
                    retries_left,
                };
                self.receive_request(proxy, attempt);
            }
            SimulationEvent::Retry(attempt) => {
                let proxy = self.rng.random_range(0..PROXIES);
                self.receive_request(proxy, attempt);
            }
            SimulationEvent::AttemptEnds {
                proxy,
                part,
                backend_id,
                invocation_id,
                latency,
            } => {
                self.open.remove(&invocation_id);
                let ended = Event::AttemptEnded {
                    invocation_id,
                    attempt: AttemptNumber(0),
                    backend_id,
                    outcome: Outcome::Ok,
                    latency,
                    is_finished: true,
                    metered_use: None,
                    actual_units: None,
                    report: Vec::new(),
                };
                self.pass_to_module(proxy, part, ended);
            }
            SimulationEvent::Timer { proxy, part, token } => {
                self.pass_to_module(proxy, part, Event::TimerFired { token });
            }
        }
    }

    fn receive_request(&mut self, proxy: usize, attempt: ClientAttempt) {
        let is_primary = attempt.route == SPLIT_ROUTE && self.rng.random::<f64>() < PRIMARY_WEIGHT;
        let part = if is_primary {
            Part::Primary
        } else {
            Part::Secondary
        };
        let id = InvocationId(self.next_number());
        self.open.insert(id, attempt);
        let invocation = Invocation {
            id,
            deadline: self.now + CLIENT_DEADLINE,
            operation: attempt.route,
            units: 1.0,
            gateway_count: 1,
            ..Invocation::default()
        };
        self.pass_to_module(proxy, part, Event::Invocation(invocation));
    }

    fn pass_to_module(&mut self, proxy: usize, part: Part, event: Event) {
        let rules = self.modules.get_mut(&(proxy, part)).expect("module exists");
        for action in rules.handle_event(self.now, event) {
            self.carry_out(proxy, part, action);
        }
    }

    fn carry_out(&mut self, proxy: usize, part: Part, action: Action) {
        match action {
            Action::SendAttempt {
                invocation_id,
                backend_id,
                ..
            } => {
                let route = self.open[&invocation_id].route;
                if route == SPLIT_ROUTE && self.is_judged() {
                    *self.outcome.reached.entry(part).or_default() += 1;
                }
                let latency = self.draw_latency(part, route);
                let ended = SimulationEvent::AttemptEnds {
                    proxy,
                    part,
                    backend_id,
                    invocation_id,
                    latency,
                };
                self.schedule(latency, ended);
            }
            Action::Throttle {
                invocation_id,
                retry_after,
                ..
            } => {
                let attempt = self.open.remove(&invocation_id).expect("request is open");
                if attempt.route == OWN_ROUTE && self.is_judged() {
                    self.outcome.own_route_rejections += 1;
                }
                if let Some(retries_left) = attempt.retries_left.checked_sub(1) {
                    let retry = ClientAttempt {
                        retries_left,
                        ..attempt
                    };
                    let event = SimulationEvent::Retry(retry);
                    self.schedule(retry_after.unwrap_or_default(), event);
                }
            }
            Action::SetTimer { after, token } => {
                self.schedule(after, SimulationEvent::Timer { proxy, part, token });
            }
            _ => {}
        }
    }

    /// Returns the latency of an attempt that begins now.
    fn draw_latency(&mut self, part: Part, route: OperationId) -> Duration {
        let usual_ms = if route == SPLIT_ROUTE { 36.0 } else { 130.0 };
        let is_slow = part == Part::Secondary && (self.slow.from..self.slow.to).contains(&self.now);
        let queue_time = if is_slow {
            self.slow.queue_time
        } else {
            Duration::ZERO
        };
        let spread = self.rng.random_range(0.6..1.6);
        queue_time + Duration::from_secs_f64(usual_ms * spread / 1000.0)
    }
}

/// Plays a day for each seed in which the secondary service's backends queue requests for eight seconds.
fn play_slow_times(rates: RequestRates, queue_time: Duration) -> Vec<(u64, JudgedOutcome)> {
    let slow = SlowTime {
        from: ms(5_000),
        to: ms(13_000),
        queue_time,
    };
    let outcomes = (0..20).map(|seed| (seed, Simulation::new(seed, rates, slow).play()));
    outcomes.collect()
}

fn assert_weights_are_kept(outcomes: &[(u64, JudgedOutcome)]) {
    let shares = outcomes
        .iter()
        .map(|(seed, outcome)| (seed, outcome.primary_share()));
    let off_weight: Vec<_> = shares
        .filter(|(_, share)| (share - PRIMARY_WEIGHT).abs() > MAX_SHARE_ERROR)
        .collect();
    assert!(off_weight.is_empty(), "seeds and shares: {off_weight:?}");
}

#[test]
fn split_keeps_its_weights_after_a_part_was_slow() {
    let rates = RequestRates {
        split_route: 10.0,
        own_route: 40.0,
    };
    assert_weights_are_kept(&play_slow_times(rates, ms(400)));
}

#[test]
fn split_with_few_requests_keeps_its_weights_after_a_part_was_slow() {
    let rates = RequestRates {
        split_route: 4.4,
        own_route: 40.0,
    };
    assert_weights_are_kept(&play_slow_times(rates, ms(380)));
}

#[test]
fn busy_route_is_not_rejected_after_its_backends_were_slow() {
    let rates = RequestRates {
        split_route: 10.0,
        own_route: 40.0,
    };
    let outcomes = play_slow_times(rates, ms(900));
    let rejections = outcomes
        .iter()
        .map(|(seed, outcome)| (seed, outcome.own_route_rejections));
    let rejecting: Vec<_> = rejections.filter(|(_, count)| *count > 0).collect();
    assert!(rejecting.is_empty(), "seeds and rejections: {rejecting:?}");
}
