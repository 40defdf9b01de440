//! The settings object that a gateway gets at its start, as it stands on the simulator's wire and in a
//! gateway's configuration, and its translation to the module's settings. One decoder for both.
#![warn(clippy::too_many_lines, unreachable_pub)]

use std::time::Duration;

use damsonbeam::interface::{
    Counter, Discovery, GatewayId, Group, InForce, Limits, Operation, OperationId, Plan, PlanId,
    Repeat, Settings,
};
use serde::Deserialize;

fn ns(t: u64) -> Duration {
    Duration::from_nanos(t)
}

/// The settings as they stand in the file.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Facts {
    /// What the deployment allows.
    pub ceilings: Ceilings,
    /// Names of the zones, by number.
    pub dcs: Vec<String>,
    /// How the list of backends comes.
    pub discovery: String,
    /// The counted domain.
    pub domain: Domain,
    /// Names of the kinds of machine, by number.
    pub kinds: Vec<String>,
    /// This gateway's zone.
    pub locality: u32,
    /// The plans of customers.
    pub plans: Vec<PlanFacts>,
    /// The load reports of backends.
    pub report: ReportFacts,
    /// The operations of the service.
    pub request_classes: Vec<Class>,
    /// The bounds that decisions keep to.
    pub rules: RuleFacts,
    /// This gateway's number.
    pub self_index: u32,
    /// Gateways of the fleet.
    pub siblings: u32,
    /// Between two batches of events.
    pub tick_ns: u64,
}

/// What the deployment allows.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Ceilings {
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// The platform closes idle connections after this.
    pub conn_idle_ns: u64,
    /// A connection comes up within this.
    pub connect_timeout_ns: u64,
    /// Invocations that are open at most.
    pub max_open: usize,
    /// The longest wait that clients are told.
    pub max_retry_after_ns: u64,
    /// Gateways may send each other messages.
    pub may_tell: bool,
    /// Several attempts may be out at once.
    pub parallel_tries: bool,
    /// Backends may be probed.
    pub probes: bool,
    /// Clients may be told when to come back.
    pub retry_after: bool,
    /// Attempts of an invocation at most.
    pub try_limit: u32,
}

/// The counted domain.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Domain {
    /// What a call to the counter costs.
    pub call_price: f64,
    /// It answers within this.
    pub counter_timeout_ns: u64,
    /// Whether there is a counter.
    pub has_counter: bool,
    /// The span that answers tell a customer's use of.
    pub meter_ns: u64,
    /// Units of an invocation at most.
    pub most_units: f64,
    /// True units come with the answer.
    pub settles: bool,
}

/// A plan.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct PlanFacts {
    /// Units a second that are never passed.
    pub cap_rate: f64,
    /// What a unit beyond the quota earns.
    pub excess_worth: f64,
    /// Part by which the ceiling may be passed.
    pub hard_slack: f64,
    /// Attempts that are out at once.
    pub max_out: f64,
    /// Its name.
    pub name: String,
    /// Units that the ceiling saves up.
    pub never_over_depth: f64,
    /// What a unit beyond the quota costs.
    pub overrun_cost: f64,
    /// Units a second.
    pub quota_rate: f64,
    /// Units in a window.
    pub store_size: f64,
    /// What a unit earns, beside other plans.
    pub value_factor: f64,
}

/// An operation.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Class {
    /// What a client waits over all its tries.
    pub deadline_ns: u64,
    /// The backends that share their memory of repeats.
    pub group: String,
    /// Whether it may take effect again.
    pub idempotency: String,
    /// What a unit earns, beside other operations.
    pub importance: f64,
    /// Part of that for an answer after the objective.
    pub late_worth: f64,
    /// Its name.
    pub name: String,
    /// The latency objective.
    pub slo_ns: u64,
    /// Its answers are streams.
    pub streamed: bool,
    /// For how long repeats are dropped.
    pub window_ns: u64,
}

/// The load reports of backends.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct ReportFacts {
    /// `inline`, `on_probe` or `off`; what else stands there is taken as `off`.
    pub how: String,
    /// The values in them.
    pub names: Vec<String>,
}

/// The bounds that decisions keep to.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct RuleFacts {
    /// How long an answer takes to its client.
    pub answer_slack_ns: u64,
    /// How long a list of backends is asked for at most.
    pub ask_within_ns: u64,
    /// A backend has its full capacity after this.
    pub cold_ns: u64,
    /// Part of its capacity that a backend has at its start.
    pub cold_share: f64,
    /// How long a backend that drains answers on.
    pub drain_grace_ns: u64,
    /// So many times the usual work overloads a backend that warms up.
    pub overload_factor: f64,
    /// The span over which that work is taken.
    pub tip_after_ns: u64,
}

/// What the decision module is told of them.
///
/// # Errors
/// Where they name no operation.
#[expect(clippy::too_many_lines, reason = "one field after the other")]
pub fn settings(f: &Facts) -> Result<Settings, String> {
    let operation = |c: &Class| {
        let repeat = match c.idempotency.as_str() {
            "retryable" => Repeat::Idempotent,
            "dedup" => {
                let group = match c.group.as_str() {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    _ => Group::Cell,
                };
                Repeat::Tokened {
                    group,
                    window: ns(c.window_ns),
                }
            }
            // What is not known to be repeatable is not repeated.
            _ => Repeat::NonIdempotent,
        };
        Operation {
            name: c.name.as_str().into(),
            repeat,
            latency_objective: ns(c.slo_ns),
            integration_timeout: ns(c.deadline_ns),
            billed_value: c.importance,
            late_value: c.late_worth,
            streamed: c.streamed,
        }
    };
    let plan = |p: &PlanFacts| Plan {
        name: p.name.as_str().into(),
        rate: p.quota_rate,
        burst: p.store_size,
        max_in_flight: p.max_out,
        price: p.value_factor,
        excess_value: p.excess_worth,
        excess_cost: p.overrun_cost,
        ceiling_rate: p.cap_rate,
        ceiling_burst: p.never_over_depth,
        ceiling_slack: p.hard_slack,
    };
    if f.request_classes.is_empty() {
        return Err("the settings name no request-classes".into());
    }
    let (limits, domain, rules) = (&f.ceilings, &f.domain, &f.rules);
    Ok(Settings {
        gateways: f.siblings,
        own_id: GatewayId(f.self_index),
        zone: f.locality,
        tick: ns(f.tick_ns),
        operations: f.request_classes.iter().map(operation).collect(),
        plans: f.plans.iter().map(plan).collect(),
        in_force: InForce {
            operations: (0..f.request_classes.len()).map(OperationId).collect(),
            plans: (0..f.plans.len()).map(PlanId).collect(),
        },
        limits: Limits {
            may_cancel: limits.cancel,
            may_hedge: limits.parallel_tries,
            may_probe: limits.probes,
            may_message_peers: limits.may_tell,
            retry_after: limits.retry_after.then(|| ns(limits.max_retry_after_ns)),
            max_attempts: limits.try_limit,
            open: limits.max_open,
            connect_timeout: ns(limits.connect_timeout_ns),
        },
        counter: domain.has_counter.then(|| Counter {
            timeout: ns(domain.counter_timeout_ns),
            price: domain.call_price,
        }),
        true_units_follow: domain.settles,
        max_units: domain.most_units,
        meter_period: ns(domain.meter_ns),
        discovery: if f.discovery == "subscribe" {
            Discovery::Subscribed
        } else {
            Discovery::Pushed
        },
        ask_within: ns(rules.ask_within_ns),
        drain_grace: ns(rules.drain_grace_ns),
        answer_slack: ns(rules.answer_slack_ns),
        warm_up_share: rules.cold_share,
        warm_up_time: ns(rules.cold_ns),
        overload_factor: rules.overload_factor,
        overload_span: ns(rules.tip_after_ns),
    })
}
