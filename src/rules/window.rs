//! The sliding window of a customer's quota: how it is cut into slots, and what they sum up to.

use std::time::Duration;

use super::customer::{Customer, KEPT_WINDOWS, Slot, WindowCut};
use super::{EPSILON, Rules};
use crate::interface::{Admitted, CustomerId, PlanId};

/// Gateways of a customer up to which its window is two slots, else one: reads would outnumber adds.
pub(super) const MAX_GATEWAYS_OF_TWO_SLOTS: u32 = 4;
/// Longest slot in seconds: two windows of them are still kept on the counter.
const MAX_SLOT_S: f64 = 8.0;
/// Shortest slot in seconds.
const MIN_SLOT_S: f64 = 1e-3;
/// A finished slot's total is final this many counter time-outs after its end: add, verdict, undo.
const FINAL_AFTER_TIMEOUTS: u32 = 3;
/// Attempts that are out are whole and estimates of them are not: so far above a cap is not over it.
const IN_FLIGHT_TOLERANCE: f64 = 0.15;

impl Rules {
    /// The slot that runs now.
    pub(super) fn running_slot(&self, customer: &Customer) -> u64 {
        (self.now.as_secs_f64() / customer.slot_s) as u64
    }

    /// A slot's total is final some time after its end: late adds and undos are on their way till then.
    pub(super) fn is_final(&self, customer: &Customer, slot: u64, at: Duration) -> bool {
        let end = Duration::from_secs_f64((slot + 1) as f64 * customer.slot_s);
        at >= end + self.counter_timeout() * FINAL_AFTER_TIMEOUTS
    }

    /// The time in which the counter answers; zero without one.
    pub(super) fn counter_timeout(&self) -> Duration {
        let counter = self.settings.counter.as_ref();
        counter.map_or(Duration::ZERO, |counter| counter.timeout)
    }

    /// Whether a plan has a quota.
    pub(super) fn is_metered(&self, plan: PlanId) -> bool {
        let plan = self.settings.plans.get(plan.0);
        plan.is_some_and(|plan| plan.rate > 0.0 && plan.burst > 0.0 || plan.max_in_flight > 0.0)
    }

    /// Whether a plan's only quota caps attempts out at once: in slots as long as any stays, each off at its end.
    pub(super) fn caps_in_flight(&self, plan: PlanId) -> bool {
        let plan = self.settings.plans.get(plan.0);
        plan.is_some_and(|plan| plan.rate == 0.0 && plan.max_in_flight > 0.0)
    }

    /// Units that a customer may use in a window.
    pub(super) fn burst(&self, plan: PlanId) -> f64 {
        let settings = &self.settings.plans[plan.0];
        if self.caps_in_flight(plan) {
            settings.max_in_flight + IN_FLIGHT_TOLERANCE
        } else {
            settings.burst
        }
    }

    /// Slots of a customer's window and their length: alike at all gateways, as names go by them.
    pub(super) fn window_cut(&self, plan: PlanId, gateways: u32) -> WindowCut {
        let settings = &self.settings.plans[plan.0];
        let (slots, window_s) = if self.caps_in_flight(plan) {
            (1, self.longest_timeout().as_secs_f64())
        } else {
            let slots = if gateways > MAX_GATEWAYS_OF_TWO_SLOTS {
                1
            } else {
                2
            };
            (slots, settings.burst / settings.rate.max(EPSILON))
        };
        let shortest_s = self.settings.tick.as_secs_f64().max(MIN_SLOT_S);
        WindowCut {
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

    /// Ages finished slots out of the two windows kept, into the debt they leave, and learns from them.
    pub(super) fn age_slots(&mut self, customer_id: &CustomerId) {
        let Some(customer) = self.customers.get(customer_id) else {
            return;
        };
        let running = self.running_slot(customer);
        let plan = &self.settings.plans[customer.plan.0];
        let (burst, refill) = (plan.burst, plan.rate * customer.slot_s);
        let caps_in_flight = self.caps_in_flight(customer.plan);
        let customer = self.customers.get_mut(customer_id).expect("seen above");
        if caps_in_flight {
            customer.slots.retain(|number, _| *number + 1 >= running);
            customer.oldest_slot = running.saturating_sub(1);
            customer.learned_until = running;
            return;
        }
        customer.learn_finished_slots(running, burst);
        customer.drop_old_slots(running, burst, refill);
    }

    /// Units in the window, others at this `pace` where they are not known; the store refills meanwhile: the
    /// lower of both.
    pub(super) fn window_sum(&self, customer: &Customer, pace: f64) -> f64 {
        if self.caps_in_flight(customer.plan) {
            return self.in_flight_sum(customer, pace);
        }
        let plan = &self.settings.plans[customer.plan.0];
        let slot_s = customer.slot_s;
        let at = self.now.as_secs_f64() / slot_s;
        let others_part = 1.0 - customer.own_share(plan.burst);
        let unused = Slot::default();
        let (mut window, mut debt) = (0.0, customer.debt);
        for number in customer.oldest_slot..=at as u64 {
            let slot = customer.slots.get(&number).unwrap_or(&unused);
            let passed = (at - number as f64).min(1.0);
            let unknown = passed - slot.known_part(number, slot_s, passed);
            let used = slot.admitted + slot.others + pace * others_part * unknown;
            // The oldest slot slides out as the running one fills.
            let out_at = (number + 1 + customer.window_slots) as f64;
            window += used * (out_at - at).clamp(0.0, 1.0);
            debt = (debt - plan.rate * slot_s * passed).max(0.0) + used;
        }
        // A window longer than the counter remembers: only the replayed store bounds it.
        if slot_s * customer.window_slots as f64 + EPSILON < plan.burst / plan.rate {
            debt
        } else {
            window.min(debt)
        }
    }

    /// Attempts that are out: what is known ends as attempts do; the usual number comes in its place.
    fn in_flight_sum(&self, customer: &Customer, usual: f64) -> f64 {
        let still_out = |since: Duration| {
            let age_s = self.now.saturating_sub(since).as_secs_f64();
            (-age_s / self.mean_attempt_s).exp()
        };
        let running = self.running_slot(customer);
        let slots = customer.slots.range(running.saturating_sub(1)..);
        let known: f64 = slots
            .map(|(_, slot)| {
                slot.admitted.max(0.0) + slot.others.max(0.0) * still_out(slot.answered_at)
            })
            .sum();
        let slot = customer.slots.get(&running);
        let answered_at = slot.map_or(Duration::ZERO, |slot| slot.answered_at);
        known + usual * (1.0 - still_out(answered_at))
    }

    /// Finished slots, from `first` on, whose final total is there to be read.
    pub(super) fn unread_slots(&self, customer: &Customer, first: u64) -> Vec<u64> {
        let unused = Slot::default();
        let is_unread = |number: &u64| {
            let slot = customer.slots.get(number).unwrap_or(&unused);
            let has_news = self.is_final(customer, *number, self.now) || slot.answered_at.is_zero();
            !slot.is_final && has_news
        };
        let finished = customer.oldest_slot.max(first)..self.running_slot(customer);
        finished.filter(is_unread).collect()
    }

    /// What was admitted here under each of the counter's names that a window still holds.
    pub fn admitted(&self, now: Duration) -> Vec<Admitted> {
        let in_use = self.customers.iter().filter(|(_, customer)| {
            !customer.slots.is_empty() && !self.caps_in_flight(customer.plan)
        });
        in_use
            .flat_map(|(id, customer)| customer.admitted(id, now))
            .collect()
    }
}

impl Customer {
    /// Drops the slots that are older than the windows kept; what they were over the refill stays as debt.
    fn drop_old_slots(&mut self, running: u64, burst: f64, refill: f64) {
        let first_kept = running.saturating_sub(KEPT_WINDOWS * self.window_slots);
        while self.oldest_slot < first_kept {
            let slot = self.slots.remove(&self.oldest_slot);
            // What was never read may have been used up elsewhere: no credit is drawn from it.
            self.debt = match slot.filter(|slot| slot.is_final) {
                Some(slot) => (self.debt - refill).max(0.0) + slot.admitted + slot.others,
                None => burst,
            };
            self.oldest_slot = if self.slots.is_empty() {
                first_kept
            } else {
                self.oldest_slot + 1
            };
        }
    }
}
