//! Estimates of a customer's usage at all gateways, where the counter has not been asked.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::customer::{Customer, Slot};
use super::window::MAX_GATEWAYS_FOR_TWO_SLOTS;
use super::{MEAN_SAMPLES, Rules};
use crate::interface::InvocationId;

/// Time constant with which observed usage decays: long enough that a spike does not dominate and
/// sustained heavy use does.
pub(super) const USAGE_DECAY_TIME: Duration = Duration::from_secs(40);
/// Upper bound for the number of slots learned from at a time.
const MAX_LEARNED_SLOTS: u64 = 60;
/// Assumed usage of an unknown customer, as a fraction of the rate.
const INITIAL_USAGE: f64 = 0.5;
/// Weight of the plan's usage in the estimate for one customer, in mean invocations.
const PRIOR_WEIGHT: f64 = 1.5;
/// Lower bound for the estimated usage, as a fraction of the rate.
const MIN_USAGE: f64 = 0.01;
/// Upper bound for the estimated usage, as a fraction of the rate. Other gateways enforce the quota
/// too; the excess over 1 is for bursts.
const MAX_USAGE: f64 = 1.5;
/// An arrival is counted as `ARRIVAL_WEIGHT * p * (1 - p)^2` mean invocations, where `p` is the
/// probability of asking the counter. The maximum is 4/9, at `p = 1/3`.
const ARRIVAL_WEIGHT: f64 = 3.0;
/// Lower bound for this gateway's share of a customer, as a fraction of an even distribution.
const MIN_SHARE: f64 = 0.2;

/// Usage of the customers of a plan, observed only for those for which the counter is asked.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub(crate) struct PlanUsage {
    /// Sum of the observed usage, as a fraction of the quota per slot.
    used: f64,
    /// Number of slots in which `used` was observed.
    slots: f64,
}

impl From<(f64, f64)> for PlanUsage {
    fn from((used, slots): (f64, f64)) -> Self {
        PlanUsage { used, slots }
    }
}

impl From<PlanUsage> for (f64, f64) {
    fn from(plan_usage: PlanUsage) -> Self {
        (plan_usage.used, plan_usage.slots)
    }
}

/// Returns the initial usage of a plan, for first tries and for retries.
pub(super) fn initial_plan_usage() -> [PlanUsage; 2] {
    [PlanUsage::from((INITIAL_USAGE, 1.0)); 2]
}

impl Rules {
    /// Records the customer's recent usage over all gateways, which an answer reports as a fraction
    /// of the rate.
    pub(super) fn record_metered_usage(&mut self, id: InvocationId, used: f64) {
        let Some(invocation) = self.invocations.get(&id) else {
            return;
        };
        let request = &invocation.request;
        if !self.is_metered(request.plan) {
            return;
        }
        let Some(customer) = self.customers.get_mut(&request.customer) else {
            return;
        };
        let rate = self.settings.plans[request.plan.0].rate;
        // The reported usage covers at most the metered period.
        let slots = (self.settings.meter_period.as_secs_f64() / customer.slot_s).min(1.0);
        customer.recent_units += used * rate * customer.slot_s * slots;
        customer.recent_slots += slots;
    }

    /// Records the usage of a plan's customers from a total of the counter.
    pub(super) fn record_plan_usage(&mut self, id: InvocationId, total: f64) {
        let invocation = &self.invocations[&id];
        let request = &invocation.request;
        let plan = &self.settings.plans[request.plan.0];
        let slot_s = self.customers[&request.customer].slot_s;
        let elapsed = (self.now.as_secs_f64() / slot_s - invocation.slot as f64).min(1.0);
        let (used, slots) = if self.caps_in_flight(request.plan) {
            (f64::from(total > self.burst(request.plan)), 1.0)
        } else {
            let part = (total - invocation.quota_units) / (plan.rate * slot_s);
            (part.clamp(0.0, MAX_USAGE * elapsed), elapsed)
        };
        let known = &mut self.plan_usage[request.plan.0][usize::from(request.is_retry)];
        known.used = known.used - known.used / MEAN_SAMPLES + used;
        known.slots = known.slots - known.slots / MEAN_SAMPLES + slots;
    }

    /// Returns the expected units per slot at all gateways, from the customer's observed usage,
    /// that of its plan and the arrival itself. For an in-flight cap, returns the expected attempts
    /// in flight.
    pub(super) fn expected_usage(&self, customer: &Customer, is_repeat: bool) -> f64 {
        let plan = &self.settings.plans[customer.plan.0];
        let known = self.plan_usage[customer.plan.0][usize::from(is_repeat)];
        let prior_usage = (known.used / known.slots).clamp(MIN_USAGE, MAX_USAGE);
        if self.caps_in_flight(customer.plan) {
            // The number in flight is either low or at the cap, so that its mean says little.
            // `prior_usage` is the probability of a full cap; the estimate reaches the cap at
            // `prior_usage * loss == 1`.
            let loss = 1.0 + plan.excess_cost - plan.excess_value;
            return (self.burst(customer.plan) - 1.0) * prior_usage * loss;
        }
        let rate = plan.rate * customer.slot_s;
        let prior_weight = PRIOR_WEIGHT * self.mean_units;
        let now_in_slots = self.now.as_secs_f64() / customer.slot_s;
        let (current_slot, elapsed) = (now_in_slots as u64, now_in_slots.fract());
        let empty_slot = Slot::default();
        let slot = customer.slots.get(&current_slot).unwrap_or(&empty_slot);
        let known_fraction = slot.known_fraction(current_slot, customer.slot_s, elapsed);
        let ask_probability = self.counter_sampling.probability;
        let arrival =
            ARRIVAL_WEIGHT * ask_probability * (1.0 - ask_probability).powi(2) * self.mean_units;
        let units = prior_weight
            + customer.recent_units
            + slot.admitted
            + slot.refused
            + slot.others
            + arrival;
        let slots = prior_weight / (prior_usage * rate)
            + customer.recent_slots
            + known_fraction
            + customer.local_share(plan.burst) * (elapsed - known_fraction);
        (units / slots).min(MAX_USAGE * rate)
    }
}

impl Customer {
    /// Returns the fraction of the customer's usage that arrives at this gateway, weighted with an
    /// even distribution.
    pub(super) fn local_share(&self, burst: f64) -> f64 {
        // Totals are known only for slots with local arrivals, which overstates the local share.
        // The bias grows with the number of gateways, and so does the weight of the even
        // distribution.
        let even_units = burst.max(1.0) * self.gateways / f64::from(MAX_GATEWAYS_FOR_TWO_SLOTS);
        let share = (self.local_units_in_known + even_units / self.gateways)
            / (self.fleet_units_in_known + even_units);
        share.clamp(MIN_SHARE / self.gateways, 1.0)
    }

    /// Learns the customer's usage from the slots that have ended since the last call.
    pub(super) fn learn_from_finished_slots(&mut self, current_slot: u64, burst: f64) {
        let decay = (-self.slot_s / USAGE_DECAY_TIME.as_secs_f64()).exp();
        let finished = current_slot.saturating_sub(self.learned_until);
        let local_share = self.local_share(burst);
        let empty_slot = Slot::default();
        for number in current_slot - finished.min(MAX_LEARNED_SLOTS)..current_slot {
            let slot = self.slots.get(&number).unwrap_or(&empty_slot);
            let known = slot.known_fraction(number, self.slot_s, 1.0);
            self.recent_units =
                self.recent_units * decay + slot.admitted + slot.refused + slot.others;
            self.recent_slots = self.recent_slots * decay + known + local_share * (1.0 - known);
            if known > 0.0 {
                self.local_units_in_known = self.local_units_in_known * decay + slot.admitted;
                self.fleet_units_in_known =
                    self.fleet_units_in_known * decay + slot.admitted + slot.others;
            }
        }
        self.learned_until = current_slot;
    }
}
