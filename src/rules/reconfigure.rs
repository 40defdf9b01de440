//! Application of new settings while invocations are open.

use super::Rules;
use super::customer::RETAINED_WINDOWS;
use super::operation_latency::OperationLatency;
use super::use_estimate::initial_plan_usage;
use crate::interface::{CustomerId, Settings};

impl Rules {
    /// Applies new settings. A new operation row takes over the latencies of the last row of the
    /// same name. Open invocations keep their operation row and get the lower of both attempt
    /// limits.
    pub(super) fn reconfigure(&mut self, settings: Settings) {
        let operations = &settings.operations;
        for operation in &operations[self.latencies.len()..] {
            let mut known = 0..self.latencies.len();
            let known = known.rfind(|row| operations[*row].name == operation.name);
            let latency = match known {
                Some(row) => self.latencies[row].clone(),
                None => OperationLatency::default(),
            };
            self.latencies.push(latency);
        }
        self.plan_usage
            .resize(settings.plans.len(), initial_plan_usage());
        self.settings = settings;
        let max_attempts = self.settings.limits.max_attempts;
        for invocation in self.invocations.values_mut() {
            invocation.max_attempts = invocation.max_attempts.min(max_attempts);
        }
        let customers: Vec<CustomerId> = self.customers.keys().cloned().collect();
        customers.iter().for_each(|id| self.apply_slot_layout(id));
    }

    /// Moves a customer's counts to the slot layout of the new settings. The next add for a slot
    /// brings this gateway's units to the counter.
    pub(super) fn apply_slot_layout(&mut self, id: &CustomerId) {
        let customer = &self.customers[id];
        let slot_layout = self.slot_layout_for(customer.plan, customer.gateways as u32);
        let known = self.customers.get_mut(id);
        let Some(customer) = known.filter(|customer| customer.slot_layout() != slot_layout) else {
            return;
        };
        let slot_s_before = customer.slot_s;
        let current_slot = (self.now.as_secs_f64() / slot_layout.slot_s) as u64;
        let oldest = current_slot.saturating_sub(RETAINED_WINDOWS * slot_layout.slots);
        customer.window_slots = slot_layout.slots;
        customer.slot_s = slot_layout.slot_s;
        customer.oldest_slot = oldest;
        customer.learned_until = current_slot;
        let remapped = |slot: u64| {
            let middle = (slot as f64 + 0.5) * slot_s_before / slot_layout.slot_s;
            (middle as u64).clamp(oldest, current_slot)
        };
        for (number, slot) in std::mem::take(&mut customer.slots) {
            customer
                .slots
                .entry(remapped(number))
                .or_default()
                .merge(&slot);
        }
        customer.recent_slots *= slot_s_before / slot_layout.slot_s;
        let invocations = self.invocations.values_mut();
        for invocation in invocations.filter(|invocation| invocation.request.customer == *id) {
            invocation.slot = remapped(invocation.slot);
        }
        // Calls in flight use names of the old layout. Slot 0 is not retained, so that their totals
        // are ignored.
        let calls = self.calls.values_mut().flatten();
        for call in calls.filter(|call| call.customer == *id) {
            call.slot = 0;
        }
    }
}
