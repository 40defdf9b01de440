//! Backends that warm up: how much of their capacity they have, and how much work they get.

use std::time::Duration;

use super::EPSILON;
use super::Rules;
use super::backend::BackendState;
use super::use_estimate::MEMORY;
use crate::interface::BackendEntry;

/// Part of the budget for a backend that warms up which this gateway's part may use: work sizes vary by chance.
const BUDGET_PART: f64 = 0.75;
/// Units that such a backend gets from all gateways in a span of its budget where no warm one tells its flow.
const MIN_UNITS: f64 = 2.0;
/// Span over which the flow to warm backends is taken: long against chance, short against load's swing.
const FLOW_SPAN: Duration = Duration::from_secs(4);
/// Shortest times to divide by, in seconds.
const MIN_WARM_UP_S: f64 = 1e-9;
const MIN_OVERLOAD_SPAN_S: f64 = 1e-3;
/// A plan's quota is idle after so many windows.
const IDLE_WINDOWS: f64 = 2.0;

/// The units that a warm backend served of late.
pub(super) struct WarmFlow {
    /// Since when `units` are counted.
    since: Duration,
    units: f64,
    /// Those of the span before.
    units_before: f64,
}

impl WarmFlow {
    pub(super) fn new(now: Duration) -> Self {
        WarmFlow {
            since: now,
            units: 0.0,
            units_before: 0.0,
        }
    }

    /// Each of the warm backends has served so many units more, on the mean.
    pub(super) fn add(&mut self, units: f64) {
        self.units += units;
    }

    /// Units a second: what a backend turned away is most of what is sent in a jam, and does not count.
    fn per_s(&self, now: Duration) -> f64 {
        let span = FLOW_SPAN + now.saturating_sub(self.since);
        (self.units + self.units_before) / span.as_secs_f64()
    }

    fn is_over(&self, now: Duration) -> bool {
        now >= self.since + FLOW_SPAN
    }

    /// Begins a new span. With no warm backend left, what the last ones took is still the best guide.
    fn turn(&mut self, now: Duration) {
        let spans = (now - self.since).as_secs_f64() / FLOW_SPAN.as_secs_f64();
        if self.units > 0.0 {
            self.units_before = self.units / spans;
        }
        self.units = 0.0;
        self.since = now;
    }
}

impl Rules {
    /// Present part of a backend's full capacity, at least.
    pub(super) fn warmth(&self, entry: &BackendEntry) -> f64 {
        let settings = &self.settings;
        let age_s = self.now.saturating_sub(entry.since).as_secs_f64();
        let part = age_s / settings.warm_up_time.as_secs_f64().max(MIN_WARM_UP_S);
        if entry.since.is_zero() || part >= 1.0 {
            1.0
        } else {
            settings.warm_up_share + (1.0 - settings.warm_up_share) * part
        }
    }

    /// Units that this gateway may send to a backend that warms up, none above 0 saved up.
    pub(super) fn warm_up_credit(&self, backend: &BackendState, warmth: f64) -> f64 {
        let span_s = self.settings.overload_span.as_secs_f64();
        let least_per_s = MIN_UNITS / self.gateway_count() / span_s.max(MIN_OVERLOAD_SPAN_S);
        let flow_per_s = self.warm_flow.per_s(self.now);
        let budget_per_s = BUDGET_PART * self.settings.overload_factor * flow_per_s;
        let earned_per_s = budget_per_s.max(least_per_s) * warmth;
        let since_s = self.now.saturating_sub(backend.credit_at).as_secs_f64();
        (backend.credit + earned_per_s * since_s).min(0.0)
    }

    /// Now and then: turns the flow's span and forgets idle customers.
    pub(super) fn sweep(&mut self) {
        if !self.warm_flow.is_over(self.now) {
            return;
        }
        self.warm_flow.turn(self.now);
        self.customers.retain(|_, customer| {
            let plan = &self.settings.plans[customer.plan.0];
            let window_s = IDLE_WINDOWS * plan.burst / plan.rate.max(EPSILON);
            let ceiling_s = plan.ceiling_burst / plan.ceiling_rate.max(EPSILON);
            let idle = Duration::from_secs_f64(window_s.max(ceiling_s)).max(MEMORY);
            customer.open_invocations > 0 || self.now < customer.used_at + idle + FLOW_SPAN
        });
    }
}
