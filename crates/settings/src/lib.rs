//! Decodes the settings object of a gateway, which has the same format in the simulator's protocol and in a gateway's
//! configuration file, and converts it to the decision module's settings.
#![warn(clippy::too_many_lines, unreachable_pub)]

use std::time::Duration;

use damsonbeam::interface::{
    CounterSettings, DeduplicationGroup, Discovery, GatewayId, InForce, InvocationLimits,
    Operation, OperationId, Plan, PlanId, RepeatMode, Settings,
};
use serde::Deserialize;

fn ns(nanos: u64) -> Duration {
    Duration::from_nanos(nanos)
}

/// The settings as decoded.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct SettingsFile {
    /// The deployment's limits and permissions.
    pub ceilings: DeploymentLimits,
    /// Names of the zones, indexed by zone number.
    pub dcs: Vec<String>,
    /// How the list of backends is delivered: `subscribe` if the gateway must ask for it; with any other value it is
    /// pushed.
    pub discovery: String,
    /// Units and the counter that quotas are enforced with.
    pub domain: QuotaSettings,
    /// Names of the machine types, indexed by number.
    pub kinds: Vec<String>,
    /// Number of this gateway's zone.
    pub locality: u32,
    /// The plans of customers.
    pub plans: Vec<PlanSettings>,
    /// The load reports of backends.
    pub report: ReportSettings,
    /// The operations of the service.
    pub request_classes: Vec<OperationSettings>,
    /// Parameters of the decision module.
    pub rules: RuleSettings,
    /// This gateway's number, from 0.
    pub self_index: u32,
    /// Number of gateways in the fleet, including this one.
    pub siblings: u32,
    /// Interval between two batches of events, in nanoseconds.
    pub tick_ns: u64,
}

/// The deployment's limits and permissions.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct DeploymentLimits {
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Time after which the platform closes idle connections, in nanoseconds.
    pub conn_idle_ns: u64,
    /// Time limit for opening a connection to a backend, in nanoseconds.
    pub connect_timeout_ns: u64,
    /// Maximum number of open invocations.
    pub max_open: usize,
    /// Longest retry delay that clients are given, in nanoseconds; used only with `retry_after`.
    pub max_retry_after_ns: u64,
    /// Whether gateways may send each other messages.
    pub may_tell: bool,
    /// Whether several attempts of an invocation may be in flight at once.
    pub parallel_tries: bool,
    /// Whether backends may be probed.
    pub probes: bool,
    /// Whether clients may be given a retry delay.
    pub retry_after: bool,
    /// Maximum number of attempts per invocation.
    pub try_limit: u32,
}

/// Units and the shared counter that quotas are enforced with.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct QuotaSettings {
    /// Cost of a call to the counter.
    pub call_price: f64,
    /// Time limit for a call to the counter, in nanoseconds.
    pub counter_timeout_ns: u64,
    /// Whether there is a counter.
    pub has_counter: bool,
    /// Period over which responses report a customer's usage, in nanoseconds; 0 if they don't.
    pub meter_ns: u64,
    /// Maximum number of units per invocation.
    pub most_units: f64,
    /// Whether responses report the units used, so that the units of a request are only an estimate.
    pub settles: bool,
}

/// A plan: its limits for each customer, over all gateways together.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct PlanSettings {
    /// Rate of the hard limit, in units per second; 0 for no hard limit.
    pub cap_rate: f64,
    /// Value of a unit beyond the quota, as a fraction of `value_factor`.
    pub excess_worth: f64,
    /// Fraction by which the hard limit may be exceeded.
    pub hard_slack: f64,
    /// Maximum number of attempts in flight; 0 for no limit.
    pub max_out: f64,
    /// The plan's name.
    pub name: String,
    /// Burst size of the hard limit, in units.
    pub never_over_depth: f64,
    /// Cost of a unit beyond the quota, as a fraction of `value_factor`.
    pub overrun_cost: f64,
    /// Rate of the quota, in units per second; 0 for no quota.
    pub quota_rate: f64,
    /// Units in a window of the quota; the window's length is `store_size / quota_rate` seconds.
    pub store_size: f64,
    /// Value of a unit, relative to other plans.
    pub value_factor: f64,
}

/// An operation of the service.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct OperationSettings {
    /// How long a client waits over all its tries, in nanoseconds.
    pub deadline_ns: u64,
    /// Which backends deduplicate requests together: `all`, `zone`, or any other value for those of one cell.
    pub group: String,
    /// Whether a request may be repeated: `retryable`, `dedup` (backends drop duplicates), or any other value for
    /// never.
    pub idempotency: String,
    /// Value of a unit, relative to other operations.
    pub importance: f64,
    /// Fraction of the value that a response after the latency objective still has.
    pub late_worth: f64,
    /// The operation's name.
    pub name: String,
    /// The latency objective, in nanoseconds.
    pub slo_ns: u64,
    /// Whether responses are streamed.
    pub streamed: bool,
    /// How long backends drop duplicates of a request, in nanoseconds.
    pub window_ns: u64,
}

/// The load reports of backends.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct ReportSettings {
    /// How reports are sent: `inline`, `on_probe` or `off`; any other value means `off`.
    pub how: String,
    /// Names of the values in a report.
    pub names: Vec<String>,
}

/// Parameters of the decision module.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct RuleSettings {
    /// Time that a response takes from the gateway to its client, in nanoseconds.
    pub answer_slack_ns: u64,
    /// Longest time for which a list of backends is requested, in nanoseconds.
    pub ask_within_ns: u64,
    /// Time after its start at which a backend has its full capacity, in nanoseconds.
    pub cold_ns: u64,
    /// Fraction of its capacity that a backend has at its start.
    pub cold_share: f64,
    /// How long a draining backend still answers, in nanoseconds.
    pub drain_grace_ns: u64,
    /// A backend that warms up is overloaded by `overload_factor` times the usual work of a warm one.
    pub overload_factor: f64,
    /// Period over which the work for `overload_factor` is measured, in nanoseconds.
    pub tip_after_ns: u64,
}

/// Converts the settings to those of the decision module.
///
/// # Errors
/// Returns an error if the settings have no operation.
#[expect(
    clippy::too_many_lines,
    reason = "a flat conversion of one field after the other"
)]
pub fn to_settings(settings_file: &SettingsFile) -> Result<Settings, String> {
    let operation = |class: &OperationSettings| {
        let repeat = match class.idempotency.as_str() {
            "retryable" => RepeatMode::Idempotent,
            "dedup" => {
                let group = match class.group.as_str() {
                    "all" => DeduplicationGroup::All,
                    "zone" => DeduplicationGroup::Zone,
                    _ => DeduplicationGroup::Cell,
                };
                RepeatMode::Deduplicated {
                    group,
                    window: ns(class.window_ns),
                }
            }
            // An unknown value is treated as not repeatable, the safe choice.
            _ => RepeatMode::NonIdempotent,
        };
        Operation {
            name: class.name.as_str().into(),
            repeat,
            latency_objective: ns(class.slo_ns),
            integration_timeout: ns(class.deadline_ns),
            billed_value: class.importance,
            late_value: class.late_worth,
            streamed: class.streamed,
        }
    };
    let plan = |plan: &PlanSettings| Plan {
        name: plan.name.as_str().into(),
        rate: plan.quota_rate,
        burst: plan.store_size,
        max_in_flight: plan.max_out,
        unit_value: plan.value_factor,
        excess_value: plan.excess_worth,
        excess_cost: plan.overrun_cost,
        ceiling_rate: plan.cap_rate,
        ceiling_burst: plan.never_over_depth,
        ceiling_slack: plan.hard_slack,
    };
    if settings_file.request_classes.is_empty() {
        return Err("the settings name no request-classes".into());
    }
    let (limits, domain, rules) = (
        &settings_file.ceilings,
        &settings_file.domain,
        &settings_file.rules,
    );
    Ok(Settings {
        gateways: settings_file.siblings,
        own_id: GatewayId(settings_file.self_index),
        zone: settings_file.locality,
        tick: ns(settings_file.tick_ns),
        operations: settings_file
            .request_classes
            .iter()
            .map(operation)
            .collect(),
        plans: settings_file.plans.iter().map(plan).collect(),
        in_force: InForce {
            operations: (0..settings_file.request_classes.len())
                .map(OperationId)
                .collect(),
            plans: (0..settings_file.plans.len()).map(PlanId).collect(),
        },
        limits: InvocationLimits {
            may_cancel: limits.cancel,
            may_hedge: limits.parallel_tries,
            may_probe: limits.probes,
            may_message_peers: limits.may_tell,
            max_retry_after: limits.retry_after.then(|| ns(limits.max_retry_after_ns)),
            max_attempts: limits.try_limit,
            max_open_invocations: limits.max_open,
            connect_timeout: ns(limits.connect_timeout_ns),
        },
        counter: domain.has_counter.then(|| CounterSettings {
            timeout: ns(domain.counter_timeout_ns),
            call_cost: domain.call_price,
        }),
        units_are_estimates: domain.settles,
        max_units: domain.most_units,
        meter_period: ns(domain.meter_ns),
        discovery: if settings_file.discovery == "subscribe" {
            Discovery::Subscribed
        } else {
            Discovery::Pushed
        },
        list_request_timeout: ns(rules.ask_within_ns),
        drain_grace: ns(rules.drain_grace_ns),
        answer_delivery_time: ns(rules.answer_slack_ns),
        warm_up_share: rules.cold_share,
        warm_up_time: ns(rules.cold_ns),
        overload_factor: rules.overload_factor,
        overload_span: ns(rules.tip_after_ns),
    })
}
