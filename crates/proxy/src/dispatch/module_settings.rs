//! Builds the settings of a decision module from the configuration.

use std::time::Duration;

use damsonbeam::interface::{
    CounterSettings, InForce, InvocationLimits, Operation, Plan, PlanId, RepeatMode, Settings,
};
use damsonbeam_control::config::{Route, RouteKind};

/// The module treats events within this interval as simultaneous.
pub(super) const TICK: Duration = Duration::from_millis(1);
/// Timeout of a call to the counts. The counts answer immediately, so the timeout only has to
/// exceed the queueing delay.
const COUNT_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum retry delay that clients are advised to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Default fraction of a request's value that a late answer keeps. It is above 0 so that late
/// requests are still attempted.
const LATE_VALUE: f64 = 0.5;

/// Returns whether a request on a route of this kind may run more than once.
pub fn repeatability(kind: RouteKind) -> RepeatMode {
    match kind {
        RouteKind::ReadOnly => RepeatMode::Idempotent,
        RouteKind::Mutating | RouteKind::Upload => RepeatMode::NonIdempotent,
    }
}

pub(super) fn operation_settings(route: &Route) -> Operation {
    let name = format!(
        "{:?}/{}/{}",
        route.kind, route.latency_target_ms, route.timeout_ms
    );
    Operation {
        name: name.as_str().into(),
        repeat: repeatability(route.kind),
        latency_objective: Duration::from_millis(route.latency_target_ms),
        integration_timeout: Duration::from_millis(route.timeout_ms),
        billed_value: 1.0,
        late_value: LATE_VALUE,
        streamed: false,
    }
}

pub(super) fn module_settings(
    gateways: u32,
    max_attempts: u32,
    connect_timeout: Duration,
    plans: Vec<Plan>,
) -> Settings {
    let in_force = InForce {
        operations: vec![],
        plans: (0..plans.len()).map(PlanId).collect(),
    };
    let limits = InvocationLimits {
        may_cancel: true,
        may_hedge: false,
        may_probe: false,
        may_message_peers: false,
        max_retry_after: Some(MAX_RETRY_AFTER),
        max_attempts,
        max_open_invocations: usize::MAX,
        connect_timeout,
    };
    Settings {
        gateways,
        tick: TICK,
        plans,
        in_force,
        limits,
        counter: Some(CounterSettings {
            timeout: COUNT_TIMEOUT,
            call_cost: 0.0,
        }),
        max_units: 1.0,
        warm_up_share: 1.0,
        overload_factor: 1.0,
        overload_span: Duration::from_secs(1),
        ..Settings::default()
    }
}
