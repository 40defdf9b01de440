//! The sliding window of a customer's quota: its slots, and the sum of the units in them.

use std::time::Duration;

use super::customer::{Customer, RETAINED_WINDOWS, Slot, SlotLayout};
use super::{EPSILON, Rules};
use crate::interface::{AdmittedUnits, CustomerId, PlanId};

/// Maximum number of a customer's gateways for which a window has two slots. With more gateways it
/// has one, because reads would outnumber adds.
pub(super) const MAX_GATEWAYS_FOR_TWO_SLOTS: u32 = 4;
/// Maximum length of a slot in seconds. The counter still keeps two windows of such slots.
const MAX_SLOT_S: f64 = 8.0;
/// Minimum length of a slot in seconds.
const MIN_SLOT_S: f64 = 1e-3;
/// Number of counter timeouts after which the total of a finished slot is final: enough for
/// an add, its decision and the undo.
const FINAL_AFTER_TIMEOUTS: u32 = 3;
/// Excess over an in-flight cap that is tolerated, in attempts. The actual number is whole but its
/// estimate is not.
const IN_FLIGHT_TOLERANCE: f64 = 0.15;

impl Rules {
    /// Returns the number of the current slot.
    pub(super) fn current_slot(&self, customer: &Customer) -> u64 {
        (self.now.as_secs_f64() / customer.slot_s) as u64
    }

    /// Returns whether the total of `slot` is final at time `at`. Late adds and undos may arrive
    /// for some time after the end of the slot.
    pub(super) fn is_final(&self, customer: &Customer, slot: u64, at: Duration) -> bool {
        let end = Duration::from_secs_f64((slot + 1) as f64 * customer.slot_s);
        at >= end + self.counter_timeout() * FINAL_AFTER_TIMEOUTS
    }

    /// Returns the counter's timeout, zero if there is no counter.
    pub(super) fn counter_timeout(&self) -> Duration {
        let counter = self.settings.counter.as_ref();
        counter.map_or(Duration::ZERO, |counter| counter.timeout)
    }

    /// Returns whether a plan has a quota.
    pub(super) fn is_metered(&self, plan: PlanId) -> bool {
        let plan = self.settings.plans.get(plan.0);
        plan.is_some_and(|plan| plan.rate > 0.0 && plan.burst > 0.0 || plan.max_in_flight > 0.0)
    }

    /// Returns whether a plan's only quota is a cap on attempts in flight. Its slots are as long as
    /// the longest possible attempt, and the units of each attempt are released at its end.
    pub(super) fn caps_in_flight(&self, plan: PlanId) -> bool {
        let plan = self.settings.plans.get(plan.0);
        plan.is_some_and(|plan| plan.rate == 0.0 && plan.max_in_flight > 0.0)
    }

    /// Returns the units that a customer may use in a window.
    pub(super) fn burst(&self, plan: PlanId) -> f64 {
        let settings = &self.settings.plans[plan.0];
        if self.caps_in_flight(plan) {
            settings.max_in_flight + IN_FLIGHT_TOLERANCE
        } else {
            settings.burst
        }
    }

    /// Returns the slot layout for a customer of a plan. All gateways must use the same layout,
    /// because the slot number is part of the counter name.
    pub(super) fn slot_layout_for(&self, plan: PlanId, gateways: u32) -> SlotLayout {
        let settings = &self.settings.plans[plan.0];
        let (slots, window_s) = if self.caps_in_flight(plan) {
            (1, self.longest_timeout().as_secs_f64())
        } else {
            let slots = if gateways > MAX_GATEWAYS_FOR_TWO_SLOTS {
                1
            } else {
                2
            };
            (slots, settings.burst / settings.rate.max(EPSILON))
        };
        let shortest_s = self.settings.tick.as_secs_f64().max(MIN_SLOT_S);
        SlotLayout {
            slots,
            slot_s: (window_s / slots as f64).clamp(shortest_s, MAX_SLOT_S),
        }
    }

    fn longest_timeout(&self) -> Duration {
        let in_force = self.settings.in_force.operations.iter();
        let timeouts =
            in_force.map(|operation| self.settings.operations[operation.0].integration_timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Removes the slots that are older than the two retained windows, keeps the debt they leave
    /// and learns from finished ones.
    pub(super) fn expire_slots(&mut self, customer_id: &CustomerId) {
        let Some(customer) = self.customers.get(customer_id) else {
            return;
        };
        let current_slot = self.current_slot(customer);
        let plan = &self.settings.plans[customer.plan.0];
        let (burst, refill) = (plan.burst, plan.rate * customer.slot_s);
        let caps_in_flight = self.caps_in_flight(customer.plan);
        let customer = self
            .customers
            .get_mut(customer_id)
            .expect("customer exists");
        if caps_in_flight {
            customer
                .slots
                .retain(|number, _| *number + 1 >= current_slot);
            customer.oldest_slot = current_slot.saturating_sub(1);
            customer.learned_until = current_slot;
            return;
        }
        customer.learn_from_finished_slots(current_slot, burst);
        customer.drop_old_slots(current_slot, burst, refill);
    }

    /// Returns the units in the window: the lower of the slots' sum and the debt of a token bucket
    /// that refills at the plan's rate. Where the usage of other gateways is unknown,
    /// `expected_usage` per slot is assumed.
    pub(super) fn window_sum(&self, customer: &Customer, expected_usage: f64) -> f64 {
        if self.caps_in_flight(customer.plan) {
            return self.in_flight_sum(customer, expected_usage);
        }
        let plan = &self.settings.plans[customer.plan.0];
        let slot_s = customer.slot_s;
        let now_in_slots = self.now.as_secs_f64() / slot_s;
        let peer_share = 1.0 - customer.local_share(plan.burst);
        let empty_slot = Slot::default();
        let (mut window, mut debt) = (0.0, customer.debt);
        for number in customer.oldest_slot..=now_in_slots as u64 {
            let slot = customer.slots.get(&number).unwrap_or(&empty_slot);
            let elapsed = (now_in_slots - number as f64).min(1.0);
            let unknown = elapsed - slot.known_fraction(number, slot_s, elapsed);
            let units = slot.admitted + slot.others + expected_usage * peer_share * unknown;
            // The oldest slot leaves the window gradually as the current one elapses.
            let leaves_at = (number + 1 + customer.window_slots) as f64;
            window += units * (leaves_at - now_in_slots).clamp(0.0, 1.0);
            debt = (debt - plan.rate * slot_s * elapsed).max(0.0) + units;
        }
        // The counter does not keep the whole window, so that only the token bucket bounds the
        // usage.
        if slot_s * customer.window_slots as f64 + EPSILON < plan.burst / plan.rate {
            debt
        } else {
            window.min(debt)
        }
    }

    /// Returns the estimated attempts in flight. Known attempts are assumed to end at the mean
    /// rate, and the usual number takes their place.
    fn in_flight_sum(&self, customer: &Customer, usual_in_flight: f64) -> f64 {
        let in_flight_probability = |since: Duration| {
            let age_s = self.now.saturating_sub(since).as_secs_f64();
            (-age_s / self.mean_attempt_s).exp()
        };
        let current_slot = self.current_slot(customer);
        let slots = customer.slots.range(current_slot.saturating_sub(1)..);
        let known: f64 = slots
            .map(|(_, slot)| {
                slot.admitted.max(0.0)
                    + slot.others.max(0.0) * in_flight_probability(slot.answered_at)
            })
            .sum();
        let slot = customer.slots.get(&current_slot);
        let answered_at = slot.map_or(Duration::ZERO, |slot| slot.answered_at);
        known + usual_in_flight * (1.0 - in_flight_probability(answered_at))
    }

    /// Returns the finished slots from `first` on that have no final total yet and are worth
    /// reading.
    pub(super) fn unread_slots(&self, customer: &Customer, first: u64) -> Vec<u64> {
        let empty_slot = Slot::default();
        let is_unread = |number: &u64| {
            let slot = customer.slots.get(number).unwrap_or(&empty_slot);
            let is_readable =
                self.is_final(customer, *number, self.now) || slot.answered_at.is_zero();
            !slot.is_final && is_readable
        };
        let finished = customer.oldest_slot.max(first)..self.current_slot(customer);
        finished.filter(is_unread).collect()
    }

    /// Returns the units that this gateway has admitted under each counter name in use by a window.
    pub fn admitted_units(&self, now: Duration) -> Vec<AdmittedUnits> {
        let in_use = self.customers.iter().filter(|(_, customer)| {
            !customer.slots.is_empty() && !self.caps_in_flight(customer.plan)
        });
        in_use
            .flat_map(|(id, customer)| customer.admitted(id, now))
            .collect()
    }
}

impl Customer {
    /// Removes the slots older than the retained windows. Their usage beyond the refill remains as
    /// debt.
    fn drop_old_slots(&mut self, current_slot: u64, burst: f64, refill: f64) {
        let oldest_retained = current_slot.saturating_sub(RETAINED_WINDOWS * self.window_slots);
        while self.oldest_slot < oldest_retained {
            let slot = self.slots.remove(&self.oldest_slot);
            // The units of a slot that was never read may have been used at other gateways, so that
            // no credit is derived from it.
            self.debt = match slot.filter(|slot| slot.is_final) {
                Some(slot) => (self.debt - refill).max(0.0) + slot.admitted + slot.others,
                None => burst,
            };
            self.oldest_slot = if self.slots.is_empty() {
                oldest_retained
            } else {
                self.oldest_slot + 1
            };
        }
    }
}
