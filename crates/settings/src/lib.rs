//! The settings object that a gateway gets at its start, as it stands on the simulator's wire and in a
//! gateway's configuration, and its translation to the module's settings. One decoder for both.

use std::time::Duration;

use damsonbeam::interface::*;
use serde::Deserialize;

fn ns(t: u64) -> Duration {
    Duration::from_nanos(t)
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Facts {
    pub ceilings: Ceilings,
    /// Names of the zones, by number.
    pub dcs: Vec<String>,
    pub discovery: String,
    pub domain: Domain,
    /// Names of the kinds of machine, by number.
    pub kinds: Vec<String>,
    pub locality: u32,
    pub plans: Vec<PlanFacts>,
    pub report: ReportFacts,
    pub request_classes: Vec<Class>,
    pub rules: RuleFacts,
    pub self_index: u32,
    pub siblings: u32,
    pub tick_ns: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Ceilings {
    pub cancel: bool,
    pub conn_idle_ns: u64,
    pub connect_timeout_ns: u64,
    pub max_open: usize,
    pub max_retry_after_ns: u64,
    pub may_tell: bool,
    pub parallel_tries: bool,
    pub probes: bool,
    pub retry_after: bool,
    pub try_limit: u32,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Domain {
    pub call_price: f64,
    pub counter_timeout_ns: u64,
    pub has_counter: bool,
    pub meter_ns: u64,
    pub most_units: f64,
    pub settles: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct PlanFacts {
    pub cap_rate: f64,
    pub excess_worth: f64,
    pub hard_slack: f64,
    pub max_out: f64,
    pub name: String,
    pub never_over_depth: f64,
    pub overrun_cost: f64,
    pub quota_rate: f64,
    pub store_size: f64,
    pub value_factor: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Class {
    pub deadline_ns: u64,
    pub group: String,
    pub idempotency: String,
    pub importance: f64,
    pub late_worth: f64,
    pub name: String,
    pub slo_ns: u64,
    pub streamed: bool,
    pub window_ns: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct ReportFacts {
    /// `inline`, `on_probe` or `off`; what else stands there is taken as `off`.
    pub how: String,
    pub names: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct RuleFacts {
    pub answer_slack_ns: u64,
    pub ask_within_ns: u64,
    pub cold_ns: u64,
    pub cold_share: f64,
    pub drain_grace_ns: u64,
    pub overload_factor: f64,
    pub tip_after_ns: u64,
}

/// What the module is told of them.
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
