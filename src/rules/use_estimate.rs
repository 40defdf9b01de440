//! What a customer uses at all gateways, where the counter has not told.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::customer::{Customer, Slot};
use super::window::MAX_GATEWAYS_OF_TWO_SLOTS;
use super::{MEAN_SAMPLES, Rules};
use crate::interface::InvocationId;

/// What was seen of a customer's pace fades over this: spikes pass, heavy use stays.
pub(super) const MEMORY: Duration = Duration::from_secs(40);
/// Slots that are learned from at a time, at most.
const MAX_LEARNED_SLOTS: u64 = 60;
/// Part of the rate that an unknown customer is taken to use.
const INITIAL_USE: f64 = 0.5;
/// That guess's weight in mean invocations.
const USUAL_WEIGHT: f64 = 1.5;
/// The least part of the rate that a customer is taken to use.
const MIN_USE: f64 = 0.01;
/// The others hold to the quota too: what they admit is guessed up to this part of the rate, for bursts.
const MAX_USE: f64 = 1.5;
/// Mean invocations that an arrival tells of, times the probability of asking, times that of not asking squared:
/// half where a third asks.
const ARRIVAL_WEIGHT: f64 = 3.0;
/// The least share of an even spread that is taken for this gateway's.
const MIN_SHARE: f64 = 0.2;

/// What the customers of a plan use, as those show that ask: of nobody else is there anything to know.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub(crate) struct PlanUse {
    /// Parts of the quota seen in use.
    used: f64,
    /// The slots that they were seen in.
    slots: f64,
}

impl From<(f64, f64)> for PlanUse {
    fn from((used, slots): (f64, f64)) -> Self {
        PlanUse { used, slots }
    }
}

impl From<PlanUse> for (f64, f64) {
    fn from(plan_use: PlanUse) -> Self {
        (plan_use.used, plan_use.slots)
    }
}

/// Nothing was seen yet of a plan's customers: first tries, and those tried again.
pub(super) fn initial_plan_use() -> [PlanUse; 2] {
    [PlanUse::from((INITIAL_USE, 1.0)); 2]
}

impl Rules {
    /// An answer tells the customer's use over all gateways of late, as a part of its rate.
    pub(super) fn learn_metered_use(&mut self, id: InvocationId, used: f64) {
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
        // It tells of no longer than the period.
        let slots = (self.settings.meter_period.as_secs_f64() / customer.slot_s).min(1.0);
        customer.recent_units += used * rate * customer.slot_s * slots;
        customer.recent_slots += slots;
    }

    /// The counter's total tells what the customers of a plan use.
    pub(super) fn learn_plan_use(&mut self, id: InvocationId, total: f64) {
        let invocation = &self.invocations[&id];
        let request = &invocation.request;
        let plan = &self.settings.plans[request.plan.0];
        let slot_s = self.customers[&request.customer].slot_s;
        let passed = (self.now.as_secs_f64() / slot_s - invocation.slot as f64).min(1.0);
        let (used, slots) = if self.caps_in_flight(request.plan) {
            (f64::from(total > self.burst(request.plan)), 1.0)
        } else {
            let part = (total - invocation.quota_units) / (plan.rate * slot_s);
            (part.clamp(0.0, MAX_USE * passed), passed)
        };
        let known = &mut self.plan_use[request.plan.0][usize::from(request.repeat)];
        known.used = known.used - known.used / MEAN_SAMPLES + used;
        known.slots = known.slots - known.slots / MEAN_SAMPLES + slots;
    }

    /// Units a slot that come in at all gateways, by what was seen and the usual, and by the arrival itself.
    pub(super) fn pace(&self, customer: &Customer, is_repeat: bool) -> f64 {
        let plan = &self.settings.plans[customer.plan.0];
        let known = self.plan_use[customer.plan.0][usize::from(is_repeat)];
        let usual = (known.used / known.slots).clamp(MIN_USE, MAX_USE);
        if self.caps_in_flight(customer.plan) {
            // Few are out or many: the mean is neither. It is full where sending on would lose by it.
            let loss = 1.0 + plan.excess_cost - plan.excess_value;
            return (self.burst(customer.plan) - 1.0) * usual * loss;
        }
        let rate = plan.rate * customer.slot_s;
        let weight = USUAL_WEIGHT * self.mean_units;
        let at = self.now.as_secs_f64() / customer.slot_s;
        let (running, passed) = (at as u64, at.fract());
        let unused = Slot::default();
        let slot = customer.slots.get(&running).unwrap_or(&unused);
        let known_part = slot.known_part(running, customer.slot_s, passed);
        let asked = self.counter_sampling.probability;
        let arrival = ARRIVAL_WEIGHT * asked * (1.0 - asked).powi(2) * self.mean_units;
        let units =
            weight + customer.recent_units + slot.admitted + slot.refused + slot.others + arrival;
        let slots = weight / (usual * rate)
            + customer.recent_slots
            + known_part
            + customer.own_share(plan.burst) * (passed - known_part);
        (units / slots).min(MAX_USE * rate)
    }
}

impl Customer {
    /// Part of the customer's use that comes in here, drawn towards an even spread.
    pub(super) fn own_share(&self, burst: f64) -> f64 {
        // Slots are told where something came in here: the more gateways, the more too large a share shows.
        let even = burst.max(1.0) * self.gateways / f64::from(MAX_GATEWAYS_OF_TWO_SLOTS);
        let share = (self.own_in_known + even / self.gateways) / (self.all_in_known + even);
        share.clamp(MIN_SHARE / self.gateways, 1.0)
    }

    /// Learns the customer's use from the slots that ended since the last time.
    pub(super) fn learn_finished_slots(&mut self, running: u64, burst: f64) {
        let fade = (-self.slot_s / MEMORY.as_secs_f64()).exp();
        let finished = running.saturating_sub(self.learned_until);
        let own_share = self.own_share(burst);
        let unused = Slot::default();
        for number in running - finished.min(MAX_LEARNED_SLOTS)..running {
            let slot = self.slots.get(&number).unwrap_or(&unused);
            let known = slot.known_part(number, self.slot_s, 1.0);
            self.recent_units =
                self.recent_units * fade + slot.admitted + slot.refused + slot.others;
            self.recent_slots = self.recent_slots * fade + known + own_share * (1.0 - known);
            if known > 0.0 {
                self.own_in_known = self.own_in_known * fade + slot.admitted;
                self.all_in_known = self.all_in_known * fade + slot.admitted + slot.others;
            }
        }
        self.learned_until = running;
    }
}
