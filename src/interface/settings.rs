//! Settings of the decision module.

use std::sync::Arc;
use std::time::Duration;

use super::{GatewayId, OperationId, PlanId};

/// Whether an operation may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RepeatMode {
    /// Repeated runs have the same effect as one.
    Idempotent,
    /// Repeats are dropped within `group`, for `window` after the first attempt that may have run.
    Deduplicated {
        /// The backends that recognize each other's runs.
        group: DeduplicationGroup,
        /// How long a run is remembered.
        window: Duration,
    },
    /// An invocation that may have run must not be repeated.
    #[default]
    NonIdempotent,
}

/// The backends that share their memory of repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationGroup {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// An operation of the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operation {
    /// Name that identifies the row when settings change.
    pub name: Arc<str>,
    /// Whether the operation may run more than once.
    pub repeat: RepeatMode,
    /// Latency up to which an answer earns its full billed value.
    pub latency_objective: Duration,
    /// How long a client waits over all its tries.
    pub integration_timeout: Duration,
    /// Value of a unit, relative to other operations.
    pub billed_value: f64,
    /// Value of an answer after the objective, as a fraction of the billed value.
    pub late_value: f64,
    /// Whether the answers are streams.
    pub streamed: bool,
}

/// The quotas of a plan for each customer, over all gateways together. 0 means no limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Name that identifies the row when settings change.
    pub name: Arc<str>,
    /// Rate in units a second.
    pub rate: f64,
    /// Units per window. The length of the window is `burst / rate`.
    pub burst: f64,
    /// Maximum number of attempts in flight.
    pub max_in_flight: f64,
    /// Value of a unit, relative to other plans.
    pub unit_value: f64,
    /// Value of a unit beyond the quota, as a fraction of the unit value.
    pub excess_value: f64,
    /// Cost of a unit beyond the quota, as a fraction of the unit value.
    pub excess_cost: f64,
    /// Rate of the ceiling in units a second. The ceiling is a hard limit.
    pub ceiling_rate: f64,
    /// Burst of the ceiling in units.
    pub ceiling_burst: f64,
    /// Fraction by which the ceiling may be exceeded.
    pub ceiling_slack: f64,
}

/// Limits of the deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InvocationLimits {
    /// Whether attempts may be canceled.
    pub may_cancel: bool,
    /// Whether several attempts of an invocation may be in flight at once.
    pub may_hedge: bool,
    /// Whether backends may be probed.
    pub may_probe: bool,
    /// Whether gateways may send each other messages.
    pub may_message_peers: bool,
    /// The longest retry delay that clients respect; `None` if no delay may be advised.
    pub max_retry_after: Option<Duration>,
    /// Maximum number of attempts of an invocation.
    pub max_attempts: u32,
    /// Maximum number of open invocations.
    pub max_open_invocations: usize,
    /// Timeout of connecting to a backend.
    pub connect_timeout: Duration,
}

/// The shared counter.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterSettings {
    /// Timeout of a call.
    pub timeout: Duration,
    /// Cost of a call.
    pub call_cost: f64,
}

/// How a gateway receives the list of backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// The list is sent whenever it changes.
    #[default]
    Pushed,
    /// The list is sent to subscribers.
    Subscribed,
}

/// Rows of the operations and plans in force, in the order of their settings.
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
    /// Number of gateways in the fleet.
    pub gateways: u32,
    /// Number of this gateway within the fleet.
    pub own_id: GatewayId,
    /// Zone of this gateway.
    pub zone: u32,
    /// Interval between two batches of events.
    pub tick: Duration,
    /// Operations of the current and of earlier settings, so that open invocations keep theirs
    /// ([`Settings::updated_with`]).
    pub operations: Vec<Operation>,
    /// Plans of the current and of earlier settings.
    pub plans: Vec<Plan>,
    /// Rows of operations and plans that new invocations use.
    pub in_force: InForce,
    /// Limits of the deployment.
    pub limits: InvocationLimits,
    /// The shared counter, if there is one.
    pub counter: Option<CounterSettings>,
    /// Whether the units at arrival are an estimate and the actual ones follow with the answer.
    pub units_are_estimates: bool,
    /// Maximum number of units of an invocation.
    pub max_units: f64,
    /// Period covered by the customer's use that answers report.
    pub meter_period: Duration,
    /// How the list of backends is received.
    pub discovery: Discovery,
    /// How long a list of backends is requested at most.
    pub list_request_timeout: Duration,
    /// How long a draining backend continues to answer.
    pub drain_grace: Duration,
    /// How long an answer takes to reach the client.
    pub answer_delivery_time: Duration,
    /// Capacity of a backend at its start, as a fraction of the full capacity.
    pub warm_up_share: f64,
    /// Time after which a backend has its full capacity.
    pub warm_up_time: Duration,
    /// A warming backend is overloaded if it gets more than this multiple of the usual work of a
    /// warm backend, scaled by its current capacity.
    pub overload_factor: f64,
    /// Period over which the work of a warming backend is measured.
    pub overload_span: Duration,
}
