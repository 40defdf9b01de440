//! Support for quota tests: the decision module and shared counts of one proxy with a backend that
//! answers immediately.

use std::collections::VecDeque;
use std::time::Duration;

use damsonbeam::Rules;
use damsonbeam::interface::*;
use damsonbeam_proxy::quota::{QuotaCounter, QuotaTolerance};

/// The tenant of all these tests.
pub const TENANT: &str = "x";
/// Length of the tenant's slots in seconds. Its burst is worth one second, and the module divides
/// that window into two slots.
pub const SLOT_S: f64 = 0.5;

/// Tolerance of the quota: the window in seconds, and the excess allowed in it as a fraction and in
/// units.
const WINDOW_S: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// A proxy that enforces the quota of one tenant.
pub struct MeteredProxy {
    /// The shared counts as seen by this proxy.
    pub quota: QuotaCounter,
    rules: Rules,
    next_id: u64,
}

impl MeteredProxy {
    /// Creates a proxy that starts at `now` by its own clock. The tenant's quota and burst are
    /// `rate`.
    pub fn start(rate: f64, seed: u64, now: Duration) -> Self {
        let mut quota = QuotaCounter::new(seed);
        quota.set_tenant_quota(TENANT, rate, SLOT_S);
        quota.set_tolerance(QuotaTolerance {
            window_s: WINDOW_S,
            overage_fraction: OVERAGE,
            slack_units: SLACK,
        });
        let mut rules = Rules::new(seed, settings(rate), now);
        let backend = |number| BackendEntry {
            backend_id: BackendId(number),
            health: Health::Up,
            weight: 1.0,
            ..BackendEntry::default()
        };
        let list = Event::BackendList {
            form: ListUpdate::Replace,
            entries: (0..9).map(backend).collect(),
        };
        rules.handle_event(now, list);
        MeteredProxy {
            quota,
            rules,
            next_id: 0,
        }
    }

    /// Processes one request of the tenant; returns whether it is admitted.
    pub fn request(&mut self, now: Duration) -> bool {
        self.next_id += 1;
        let invocation = Invocation {
            id: InvocationId(self.next_id),
            deadline: now + Duration::from_secs(3),
            customer: CustomerId(TENANT.into()),
            units: 1.0,
            gateway_count: 1,
            ..Invocation::default()
        };
        let mut events = VecDeque::from([Event::Invocation(invocation)]);
        let mut is_admitted = false;
        while let Some(event) = events.pop_front() {
            for action in self.rules.handle_event(now, event) {
                is_admitted |= matches!(action, Action::SendAttempt { .. });
                events.extend(self.perform(action, now));
            }
        }
        is_admitted
    }

    fn perform(&mut self, action: Action, now: Duration) -> Option<Event> {
        match action {
            Action::AddToCounter {
                name, units: add, ..
            } => {
                let total = self.quota.add(&name, add, now);
                Some(Event::CounterTotal {
                    name,
                    outcome: Outcome::Ok,
                    total,
                    peer_units: 0.0,
                    latency: Duration::ZERO,
                })
            }
            Action::SendAttempt {
                invocation_id,
                backend_id,
                ..
            } => Some(Event::AttemptEnded {
                invocation_id,
                attempt: AttemptNumber(0),
                backend_id,
                outcome: Outcome::Ok,
                latency: Duration::from_millis(1),
                is_finished: true,
                metered_use: None,
                actual_units: None,
                report: vec![],
            }),
            _ => None,
        }
    }
}

fn settings(rate: f64) -> Settings {
    let plan = Plan {
        rate,
        burst: rate,
        unit_value: 1.0,
        excess_cost: 1.0,
        ..Plan::default()
    };
    let operation = Operation {
        latency_objective: Duration::from_millis(500),
        integration_timeout: Duration::from_millis(3000),
        billed_value: 1.0,
        ..Operation::default()
    };
    Settings {
        gateways: 1,
        tick: Duration::from_millis(1),
        operations: vec![operation],
        plans: vec![plan],
        in_force: InForce {
            operations: vec![OperationId(0)],
            plans: vec![PlanId(0)],
        },
        limits: InvocationLimits {
            max_attempts: 1,
            max_open_invocations: usize::MAX,
            ..InvocationLimits::default()
        },
        counter: Some(CounterSettings {
            timeout: Duration::from_millis(100),
            call_cost: 0.0,
        }),
        max_units: 1.0,
        warm_up_share: 1.0,
        overload_factor: 1.0,
        overload_span: Duration::from_secs(1),
        ..Settings::default()
    }
}

/// Returns the most admissions tolerated within five seconds for a quota and burst of `rate`.
pub fn most_in_five_seconds(rate: f64) -> f64 {
    (rate * WINDOW_S + rate) * (1.0 + OVERAGE) + SLACK
}

/// Returns the most admissions within any five seconds; `admitted_ms` are ascending times in
/// milliseconds.
pub fn most_admitted(admitted_ms: &[u64]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, at) in admitted_ms.iter().enumerate() {
        while admitted_ms[first] + 5000 <= *at {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}
