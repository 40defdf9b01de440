//! New settings, while invocations are under way.

use super::Rules;
use super::customer::KEPT_WINDOWS;
use super::latency_histogram::LatencyHistogram;
use super::use_estimate::initial_plan_use;
use crate::interface::{CustomerId, Settings};

impl Rules {
    /// Learned times go by name; what is under way keeps its operation, and the fewer attempts.
    pub(super) fn reconfigure(&mut self, settings: Settings) {
        let operations = &settings.operations;
        for operation in &operations[self.latencies.len()..] {
            let mut known = 0..self.latencies.len();
            let known = known.rfind(|row| operations[*row].name == operation.name);
            let latency = match known {
                Some(row) => self.latencies[row].clone(),
                None => LatencyHistogram::default(),
            };
            self.latencies.push(latency);
        }
        self.plan_use
            .resize(settings.plans.len(), initial_plan_use());
        self.settings = settings;
        let max_attempts = self.settings.limits.max_attempts;
        for invocation in self.invocations.values_mut() {
            invocation.max_attempts = invocation.max_attempts.min(max_attempts);
        }
        let customers: Vec<CustomerId> = self.customers.keys().cloned().collect();
        customers.iter().for_each(|id| self.recut(id));
    }

    /// Counts move to the slots of another quota; what is this gateway's own rides on its next add there.
    pub(super) fn recut(&mut self, id: &CustomerId) {
        let customer = &self.customers[id];
        let cut = self.window_cut(customer.plan, customer.gateways as u32);
        let known = self.customers.get_mut(id);
        let Some(customer) = known.filter(|customer| customer.cut() != cut) else {
            return;
        };
        let slot_s_before = customer.slot_s;
        let running = (self.now.as_secs_f64() / cut.slot_s) as u64;
        let oldest = running.saturating_sub(KEPT_WINDOWS * cut.slots);
        customer.window_slots = cut.slots;
        customer.slot_s = cut.slot_s;
        customer.oldest_slot = oldest;
        customer.learned_until = running;
        let moved = |slot: u64| {
            let middle = (slot as f64 + 0.5) * slot_s_before / cut.slot_s;
            (middle as u64).clamp(oldest, running)
        };
        for (number, slot) in std::mem::take(&mut customer.slots) {
            customer
                .slots
                .entry(moved(number))
                .or_default()
                .merge(&slot);
        }
        customer.recent_slots *= slot_s_before / cut.slot_s;
        let invocations = self.invocations.values_mut();
        for invocation in invocations.filter(|invocation| invocation.request.customer == *id) {
            invocation.slot = moved(invocation.slot);
        }
        // Answers still out are about names that nobody reads any more.
        let calls = self.calls.values_mut().flatten();
        for call in calls.filter(|call| call.customer == *id) {
            call.slot = 0;
        }
    }
}
