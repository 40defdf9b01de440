//! Warm-up of backends: their current capacity, and the work they get.

use std::time::Duration;

use super::EPSILON;
use super::Rules;
use super::backend::BackendState;
use super::use_estimate::USAGE_DECAY_TIME;
use crate::interface::BackendEntry;

/// Fraction of its share of a warming backend's budget that a gateway uses. The rest allows for
/// random variation of the work.
const BUDGET_FRACTION: f64 = 0.75;
/// Units that a warming backend gets from all gateways during `overload_span` where there is no
/// throughput of a warm backend to derive a budget from.
const MIN_UNITS_PER_SPAN: f64 = 2.0;
/// Span over which the throughput of warm backends is measured: long enough to average out random
/// variation, short enough to follow the load.
const THROUGHPUT_SPAN: Duration = Duration::from_secs(4);
/// Lower bounds for divisors, in seconds.
const MIN_WARM_UP_S: f64 = 1e-9;
const MIN_OVERLOAD_SPAN_S: f64 = 1e-3;
/// Number of windows without use after which the quota of a customer is idle.
const IDLE_WINDOWS: f64 = 2.0;

/// Recent throughput of a warm backend, as the mean over the warm backends.
pub(super) struct WarmThroughput {
    /// Start of the current span.
    since: Duration,
    units: f64,
    /// Units of the previous span, scaled to `THROUGHPUT_SPAN`.
    units_before: f64,
}

impl WarmThroughput {
    pub(super) fn new(now: Duration) -> Self {
        WarmThroughput {
            since: now,
            units: 0.0,
            units_before: 0.0,
        }
    }

    /// Adds the units that the warm backends have served, per backend.
    pub(super) fn add(&mut self, units: f64) {
        self.units += units;
    }

    /// Returns units a second. Only served units count, because under overload most attempts are
    /// refused.
    fn per_s(&self, now: Duration) -> f64 {
        let span = THROUGHPUT_SPAN + now.saturating_sub(self.since);
        (self.units + self.units_before) / span.as_secs_f64()
    }

    fn is_span_over(&self, now: Duration) -> bool {
        now >= self.since + THROUGHPUT_SPAN
    }

    /// Starts a new span. With no warm backend left, the throughput of the last ones remains the
    /// best estimate.
    fn rotate(&mut self, now: Duration) {
        let spans = (now - self.since).as_secs_f64() / THROUGHPUT_SPAN.as_secs_f64();
        if self.units > 0.0 {
            self.units_before = self.units / spans;
        }
        self.units = 0.0;
        self.since = now;
    }
}

impl Rules {
    /// Returns a lower bound for a backend's current capacity, as a fraction of its full capacity.
    pub(super) fn warm_up_fraction(&self, entry: &BackendEntry) -> f64 {
        let settings = &self.settings;
        let age_s = self.now.saturating_sub(entry.started_at).as_secs_f64();
        let progress = age_s / settings.warm_up_time.as_secs_f64().max(MIN_WARM_UP_S);
        if entry.started_at.is_zero() || progress >= 1.0 {
            1.0
        } else {
            settings.warm_up_share + (1.0 - settings.warm_up_share) * progress
        }
    }

    /// Returns the units that this gateway may send to a warming backend. The credit never rises
    /// above 0, so that nothing is saved up.
    pub(super) fn warm_up_credit(&self, backend: &BackendState, warm_up_fraction: f64) -> f64 {
        let span_s = self.settings.overload_span.as_secs_f64();
        let min_per_s = MIN_UNITS_PER_SPAN / self.gateway_count() / span_s.max(MIN_OVERLOAD_SPAN_S);
        let throughput_per_s = self.warm_throughput.per_s(self.now);
        let budget_per_s = BUDGET_FRACTION * self.settings.overload_factor * throughput_per_s;
        let earned_per_s = budget_per_s.max(min_per_s) * warm_up_fraction;
        let since_s = self.now.saturating_sub(backend.credit_at).as_secs_f64();
        (backend.credit + earned_per_s * since_s).min(0.0)
    }

    /// Once per throughput span, starts a new span and removes idle customers.
    pub(super) fn run_periodic_cleanup(&mut self) {
        if !self.warm_throughput.is_span_over(self.now) {
            return;
        }
        self.warm_throughput.rotate(self.now);
        self.customers.retain(|_, customer| {
            let plan = &self.settings.plans[customer.plan.0];
            let window_s = IDLE_WINDOWS * plan.burst / plan.rate.max(EPSILON);
            let ceiling_s = plan.ceiling_burst / plan.ceiling_rate.max(EPSILON);
            let idle = Duration::from_secs_f64(window_s.max(ceiling_s)).max(USAGE_DECAY_TIME);
            customer.open_invocations > 0 || self.now < customer.used_at + idle + THROUGHPUT_SPAN
        });
    }
}
