//! Settings, events and filters of actions for the tests of the decision module.

use std::sync::Arc;
use std::time::Duration;

use damsonbeam::Rules;
use damsonbeam::interface::*;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn settings(repeat: RepeatMode) -> Settings {
    Settings {
        gateways: 3,
        own_id: GatewayId(0),
        zone: 0,
        tick: ms(2),
        operations: vec![Operation {
            name: "a".into(),
            repeat,
            latency_objective: ms(1000),
            integration_timeout: ms(3000),
            billed_value: 1.0,
            late_value: 0.0,
            streamed: false,
        }],
        in_force: InForce {
            operations: vec![OperationId(0)],
            plans: vec![PlanId(0)],
        },
        plans: vec![Plan {
            name: "p".into(),
            rate: 2.0,
            burst: 8.0,
            unit_value: 1.0,
            excess_cost: 1.0,
            ..Plan::default()
        }],
        limits: InvocationLimits {
            may_cancel: true,
            may_hedge: false,
            may_probe: false,
            may_message_peers: false,
            max_retry_after: Some(ms(500)),
            max_attempts: 4,
            max_open_invocations: 1000,
            connect_timeout: ms(250),
        },
        counter: Some(CounterSettings {
            timeout: ms(30),
            call_cost: 0.01,
        }),
        units_are_estimates: false,
        max_units: 4.0,
        meter_period: Duration::ZERO,
        discovery: Discovery::Pushed,
        list_request_timeout: ms(10_000),
        drain_grace: ms(250),
        answer_delivery_time: ms(8),
        warm_up_share: 0.2,
        warm_up_time: ms(10_000),
        overload_factor: 2.0,
        overload_span: ms(1000),
    }
}

pub fn backend_entry(backend_id: u32, health: Health, since: Duration) -> BackendEntry {
    BackendEntry {
        backend_id: BackendId(backend_id),
        health,
        started_at: since,
        zone: backend_id % 2,
        cell: backend_id % 4,
        weight: 1.0,
        ..BackendEntry::default()
    }
}

pub fn backend_list(form: ListUpdate, entries: Vec<BackendEntry>) -> Event {
    Event::BackendList {
        form,
        entries: Arc::from(entries),
    }
}

/// Returns a decision module that knows `count` warm backends.
pub fn rules_with_backends(settings: Settings, count: u32) -> Rules {
    let mut rules = Rules::new(7, settings, ms(1000));
    let entries = (0..count)
        .map(|id| backend_entry(id, Health::Up, Duration::ZERO))
        .collect();
    rules.handle_event(ms(1000), backend_list(ListUpdate::Restored, entries));
    rules
}

pub fn arrival(invocation_id: u64, now: Duration, customer: &str, units: f64) -> Event {
    Event::Invocation(Invocation {
        id: InvocationId(invocation_id),
        deadline: now + ms(3000),
        operation: OperationId(0),
        plan: PlanId(0),
        customer: CustomerId(customer.into()),
        units,
        first_gateway: GatewayId(0),
        gateway_count: 3,
        is_mutating: false,
        is_retry: false,
        body_pending: false,
    })
}

pub fn counter_total(name: &str, total: f64) -> Event {
    Event::CounterTotal {
        name: name.into(),
        outcome: Outcome::Ok,
        total,
        peer_units: 0.0,
        latency: ms(2),
    }
}

pub fn counter_failure(name: &str, outcome: Outcome) -> Event {
    Event::CounterTotal {
        name: name.into(),
        outcome,
        total: 0.0,
        peer_units: 0.0,
        latency: ms(30),
    }
}

pub fn attempt_ended(
    invocation_id: u64,
    attempt: u32,
    backend_id: BackendId,
    outcome: Outcome,
    closed: bool,
) -> Event {
    Event::AttemptEnded {
        invocation_id: InvocationId(invocation_id),
        attempt: AttemptNumber(attempt),
        backend_id,
        outcome,
        latency: ms(100),
        is_finished: closed,
        metered_use: None,
        actual_units: None,
        report: Vec::new(),
    }
}

pub fn counter_calls(actions: &[Action]) -> Vec<(String, f64)> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::AddToCounter {
            name, units: add, ..
        } => Some((name.clone(), *add)),
        _ => None,
    });
    calls.collect()
}

pub fn sent_to(actions: &[Action]) -> Vec<BackendId> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::SendAttempt { backend_id, .. } => Some(*backend_id),
        _ => None,
    });
    sent.collect()
}

pub fn is_throttled(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Throttle { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}
