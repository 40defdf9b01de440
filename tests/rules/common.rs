//! Settings and a small stand-in world for the tests of the module alone.

use std::sync::Arc;
use std::time::Duration;

use damsonbeam::Rules;
use damsonbeam::interface::*;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn settings(repeat: Repeat) -> Settings {
    Settings {
        gateways: 3,
        me: GatewayId(0),
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
            operations: vec![OpId(0)],
            plans: vec![PlanId(0)],
        },
        plans: vec![Plan {
            name: "p".into(),
            rate: 2.0,
            burst: 8.0,
            price: 1.0,
            over_cost: 1.0,
            ..Plan::default()
        }],
        limits: Limits {
            cancel: true,
            parallel: false,
            probes: false,
            tell: false,
            retry_after: Some(ms(500)),
            tries: 4,
            open: 1000,
            connect_timeout: ms(250),
        },
        counter: Some(Counter {
            timeout: ms(30),
            price: 0.01,
        }),
        settles: false,
        most_units: 4.0,
        meter_period: Duration::ZERO,
        discovery: Discovery::Pushed,
        ask_within: ms(10_000),
        drain_grace: ms(250),
        answer_slack: ms(8),
        cold_share: 0.2,
        cold_for: ms(10_000),
        overload_factor: 2.0,
        overload_for: ms(1000),
    }
}

pub fn entry(tgt: u32, health: Health, since: Duration) -> Entry {
    Entry {
        tgt: TgtId(tgt),
        health,
        since,
        zone: tgt % 2,
        cell: tgt % 4,
        weight: 1.0,
        ..Entry::default()
    }
}

pub fn list(form: ListForm, entries: Vec<Entry>) -> Event {
    Event::Targets {
        form,
        entries: Arc::from(entries),
    }
}

/// `n` warm backends, and a module that knows them.
pub fn ready(set: Settings, n: u32) -> Rules {
    let mut rules = Rules::new(7, set, ms(1000));
    let up = (0..n)
        .map(|t| entry(t, Health::Up, Duration::ZERO))
        .collect();
    rules.on(ms(1000), list(ListForm::Restored, up));
    rules
}

pub fn arrival(inv: u64, now: Duration, customer: &str, units: f64) -> Event {
    Event::Invocation(Invocation {
        inv: InvId(inv),
        deadline: now + ms(3000),
        op: OpId(0),
        plan: PlanId(0),
        customer: CustomerId(customer.into()),
        units,
        first_gateway: GatewayId(0),
        spread: 3,
        write: false,
        repeat: false,
        coming: false,
    })
}

pub fn total(name: &str, total: f64) -> Event {
    Event::Total {
        name: name.into(),
        outcome: Outcome::Ok,
        total,
        others: 0.0,
        latency: ms(2),
    }
}

pub fn no_total(name: &str, outcome: Outcome) -> Event {
    Event::Total {
        name: name.into(),
        outcome,
        total: 0.0,
        others: 0.0,
        latency: ms(30),
    }
}

pub fn outcome(inv: u64, no: u32, tgt: TgtId, outcome: Outcome, closed: bool) -> Event {
    Event::Outcome {
        inv: InvId(inv),
        no: DeliveryNo(no),
        tgt,
        outcome,
        latency: ms(100),
        closed,
        used: None,
        true_units: None,
        report: Vec::new(),
    }
}

pub fn counts(actions: &[Action]) -> Vec<(String, f64)> {
    let named = actions.iter().filter_map(|a| match a {
        Action::Count { name, add, .. } => Some((name.clone(), *add)),
        _ => None,
    });
    named.collect()
}

pub fn delivered(actions: &[Action]) -> Vec<TgtId> {
    let sent = actions.iter().filter_map(|a| match a {
        Action::Deliver { tgt, .. } => Some(*tgt),
        _ => None,
    });
    sent.collect()
}

pub fn throttled(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Throttle { .. }))
}

pub fn errored(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Error { .. }))
}
