//! The settings that decisions go by.

use std::sync::Arc;
use std::time::Duration;

use super::{GatewayId, OperationId, PlanId};

/// Whether an operation may take effect again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    /// Its effect is the same however often it runs.
    Idempotent,
    /// Repeats are dropped within `group`, for `window` from the first send that may have run.
    Tokened {
        /// The backends that know of each other's runs.
        group: Group,
        /// For how long they do.
        window: Duration,
    },
    /// What is not known to be repeatable is not repeated.
    #[default]
    NonIdempotent,
}

/// The backends that share their memory of repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All backends.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// An operation of the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operation {
    /// By which new settings know it again.
    pub name: Arc<str>,
    /// Whether it may take effect again.
    pub repeat: Repeat,
    /// An answer within this time earns its full billed value.
    pub latency_objective: Duration,
    /// What a client waits over all its tries.
    pub integration_timeout: Duration,
    /// What a unit of it earns, beside other operations.
    pub billed_value: f64,
    /// Part of the billed value for an answer after the objective.
    pub late_value: f64,
    /// Its answers are streams.
    pub streamed: bool,
}

/// A plan's quotas for each customer, over all gateways together. 0: no such limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// By which new settings know it again.
    pub name: Arc<str>,
    /// Units a second.
    pub rate: f64,
    /// Units in a window, which is as long as `rate` takes to earn them.
    pub burst: f64,
    /// Attempts that are out at once.
    pub max_in_flight: f64,
    /// What a unit earns, beside other plans.
    pub price: f64,
    /// What a unit beyond the quota earns, as a part of the price.
    pub excess_value: f64,
    /// What a unit beyond the quota costs, as a part of the price.
    pub excess_cost: f64,
    /// Units a second that are never passed.
    pub ceiling_rate: f64,
    /// Units that the ceiling saves up.
    pub ceiling_burst: f64,
    /// Part by which the ceiling may be passed.
    pub ceiling_slack: f64,
}

/// What the deployment allows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Several attempts of an invocation may be out at once.
    pub may_hedge: bool,
    /// Backends may be probed.
    pub may_probe: bool,
    /// Gateways may send each other messages.
    pub may_message_peers: bool,
    /// The longest wait a client follows; `None`: no such advice may be given.
    pub retry_after: Option<Duration>,
    /// Attempts of an invocation at most.
    pub max_attempts: u32,
    /// Invocations that are open at most.
    pub open: usize,
    /// A connection to a backend comes up within this.
    pub connect_timeout: Duration,
}

/// The shared counter.
#[derive(Clone, Debug, PartialEq)]
pub struct Counter {
    /// It answers within this, or not at all.
    pub timeout: Duration,
    /// What a call costs.
    pub price: f64,
}

/// How the list of backends reaches a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// It is sent whenever it changes.
    #[default]
    Pushed,
    /// It is sent to those who ask for it.
    Subscribed,
}

/// Rows of the operations and plans that are in force, in their settings' order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InForce {
    /// Rows of [`Settings::operations`].
    pub operations: Vec<OperationId>,
    /// Rows of [`Settings::plans`].
    pub plans: Vec<PlanId>,
}

/// The settings of one gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Gateways of the fleet.
    pub gateways: u32,
    /// This gateway's number among them.
    pub own_id: GatewayId,
    /// This gateway's zone.
    pub zone: u32,
    /// Between two batches of events.
    pub tick: Duration,
    /// Those of earlier settings too, so that what is under way keeps its own ([`Settings::follow`]).
    pub operations: Vec<Operation>,
    /// As the operations.
    pub plans: Vec<Plan>,
    /// The rows of both that new invocations name.
    pub in_force: InForce,
    /// What the deployment allows.
    pub limits: Limits,
    /// The shared counter, if there is one.
    pub counter: Option<Counter>,
    /// Units of an invocation are a guess; the true ones come with the answer.
    pub true_units_follow: bool,
    /// Units of an invocation at most.
    pub max_units: f64,
    /// The span that answers tell a customer's use of.
    pub meter_period: Duration,
    /// How the list of backends comes.
    pub discovery: Discovery,
    /// How long a list of backends is asked for at most.
    pub ask_within: Duration,
    /// How long a backend that drains answers on.
    pub drain_grace: Duration,
    /// How long an answer takes to its client.
    pub answer_slack: Duration,
    /// Part of its capacity that a backend has at its start.
    pub warm_up_share: f64,
    /// A backend has its full capacity after this.
    pub warm_up_time: Duration,
    /// A backend that warms up and gets so many times the usual work of a warm one is overloaded.
    pub overload_factor: f64,
    /// The span over which that work is taken.
    pub overload_span: Duration,
}
