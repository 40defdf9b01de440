//! Admission of invocations by the quotas of their customers.

use std::time::Duration;

use rand::Rng;

use super::customer::{Customer, RETAINED_WINDOWS};
use super::invocation::PendingInvocation;
use super::timers::Timer;
use super::{EPSILON, MEAN_SAMPLES, Rules};
use crate::interface::{Invocation, InvocationId, RejectReason};

/// Fraction of the burst up to which estimates replace reads of finished slots. One half leaves
/// room for an estimate that is too low by a factor of two.
const MAX_UNREAD_BURST_FRACTION: f64 = 0.5;
/// How long the counter is not asked again about a full window. Such a call would only add units
/// and then undo the add.
const FULL_WINDOW_RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A window may exceed the burst by `ESTIMATE_SLACK * (1 / loss - 1)` of its estimated units, where
/// `loss` is `excess_cost - excess_value`, at least `ESTIMATE_SLACK`.
const ESTIMATE_SLACK: f64 = 0.3;
/// Bound on the value of an invocation relative to the mean, in both directions, so that even the
/// least valuable invocations are sometimes checked against the counter.
const MAX_RELATIVE_VALUE: f64 = 5.0;

impl Rules {
    /// Handles a new invocation: admits it, rejects it or asks the counter.
    pub(super) fn handle_invocation(&mut self, request: Invocation) {
        let mut pending = PendingInvocation {
            request,
            arrived: self.now,
            timed_from: self.now,
            max_attempts: self.settings.limits.max_attempts,
            ..PendingInvocation::default()
        };
        let id = pending.request.id;
        let answer_by = self.answer_deadline(&pending);
        self.timers.insert((answer_by, Timer::FinalAnswer(id)));
        self.register_customer(&mut pending);
        let is_metered = self.is_metered(pending.request.plan);
        pending.is_admitted = !is_metered;
        self.invocations.insert(id, pending);
        if !is_metered {
            return self.enqueue(id);
        }
        let customer = self.invocations[&id].request.customer.clone();
        self.expire_slots(&customer);
        // Rejected here, a full window or a long queue costs no counter calls that would be undone.
        if self.is_known_full(id) {
            return self.throttle(id, RejectReason::WindowFull);
        }
        if self.is_queue_too_long(id) {
            return self.throttle(id, RejectReason::QueueTooLong);
        }
        if self.should_ask_counter(id) {
            self.add_to_counter(id);
        } else {
            self.decide_admission(id, false);
        }
    }

    /// Creates the customer's state if there is none, and sets the invocation's slot and quota
    /// units.
    fn register_customer(&mut self, pending: &mut PendingInvocation) {
        let request = &pending.request;
        let Some(plan) = self.settings.plans.get(request.plan.0) else {
            return;
        };
        let (ceiling_rate, ceiling_burst) = (plan.ceiling_rate, plan.ceiling_burst);
        let gateways = self.customer_gateways(request);
        let burst = self.burst(request.plan);
        let layout = self.slot_layout_for(request.plan, gateways);
        pending.quota_units = if self.caps_in_flight(request.plan) {
            1.0
        } else {
            request.units
        };
        self.mean_units += (request.units - self.mean_units) / MEAN_SAMPLES;
        let current_slot = (self.now.as_secs_f64() / layout.slot_s) as u64;
        let ceiling_share = if self.serves_customer(request, gateways) && !self.has_yielded {
            1.0 / f64::from(gateways)
        } else {
            0.0
        };
        let (now, started_at) = (self.now, self.started_at);
        let new_customer = || Customer {
            plan: request.plan,
            window_slots: layout.slots,
            slot_s: layout.slot_s,
            debt: burst,
            oldest_slot: current_slot.saturating_sub(RETAINED_WINDOWS * layout.slots),
            learned_until: current_slot,
            // A restart must not grant the whole burst of the ceiling again. The budget starts
            // empty when the process starts.
            ceiling_units: (ceiling_rate * (now - started_at).as_secs_f64()).min(ceiling_burst)
                * ceiling_share,
            ceiling_at: now,
            ..Customer::default()
        };
        let customer = self
            .customers
            .entry(request.customer.clone())
            .or_insert_with(new_customer);
        customer.gateways = f64::from(gateways);
        customer.ceiling_share = ceiling_share;
        customer.open_invocations += 1;
        pending.slot = (now.as_secs_f64() / customer.slot_s) as u64;
    }

    /// Returns the number of gateways that receive the customer's invocations.
    fn customer_gateways(&self, request: &Invocation) -> u32 {
        let all = self.settings.gateways.max(1);
        match request.gateway_count {
            0 => all,
            spread => spread.min(all),
        }
    }

    /// Returns whether this gateway is one of those that receive the customer's invocations.
    fn serves_customer(&self, request: &Invocation, gateways: u32) -> bool {
        let all = self.settings.gateways.max(1);
        let first = request.first_gateway.0 % all;
        (self.settings.own_id.0 + all - first) % all < gateways
    }

    /// Returns whether the customer's window is known to have no room for the invocation.
    fn is_known_full(&self, id: InvocationId) -> bool {
        let invocation = &self.invocations[&id];
        let plan = invocation.request.plan;
        let customer = &self.customers[&invocation.request.customer];
        let sum = self.window_sum(customer, 0.0) + invocation.quota_units;
        if sum <= self.burst(plan) + EPSILON {
            return false;
        }
        let slot = customer.slots.get(&invocation.slot);
        let answered_at = slot.map_or(Duration::ZERO, |slot| slot.answered_at);
        let recheck_after = if self.caps_in_flight(plan) {
            Duration::from_secs_f64(self.mean_attempt_s)
        } else {
            FULL_WINDOW_RECHECK_INTERVAL
        };
        !self.counter_sampling.allows_reads() || self.now < answered_at + recheck_after
    }

    /// Decides at random whether to ask the counter. If it cannot be asked every time, invocations
    /// near the quota and those with a high value are preferred.
    fn should_ask_counter(&mut self, id: InvocationId) -> bool {
        let invocation = &self.invocations[&id];
        let request = &invocation.request;
        let customer = &self.customers[&request.customer];
        let sum = self.window_sum(customer, self.expected_usage(customer, request.is_retry));
        let fullness = (sum + invocation.quota_units) / self.burst(request.plan);
        let relative_value = self.relative_value(id);
        let distance = fullness.max(1.0 / fullness) / relative_value;
        let probability = self.counter_sampling.probability.powf(distance);
        self.settings.counter.is_some() && self.rng.random::<f64>() < probability
    }

    /// Returns the value of an invocation relative to the moving mean, and updates the mean.
    fn relative_value(&mut self, id: InvocationId) -> f64 {
        let request = &self.invocations[&id].request;
        let value = self.settings.operations[request.operation.0].billed_value
            * self.settings.plans[request.plan.0].unit_value
            * request.units;
        let samples = if self.mean_value > 0.0 {
            MEAN_SAMPLES
        } else {
            1.0
        };
        self.mean_value += (value - self.mean_value) / samples;
        (value / self.mean_value.max(EPSILON)).clamp(1.0 / MAX_RELATIVE_VALUE, MAX_RELATIVE_VALUE)
    }

    /// Adds the units of the invocation on the counter. The call also corrects the difference
    /// between the units admitted here and those the counter holds, for example after lost or
    /// omitted calls.
    fn add_to_counter(&mut self, id: InvocationId) {
        let Some(invocation) = self.invocations.get_mut(&id) else {
            return;
        };
        invocation.is_added = true;
        let (number, units) = (invocation.slot, invocation.quota_units);
        let customer_id = invocation.request.customer.clone();
        let customer = self
            .customers
            .get_mut(&customer_id)
            .expect("customer is registered");
        let slot = customer.slots.entry(number).or_default();
        let add = units + slot.admitted + slot.pending - slot.on_counter;
        slot.pending += units;
        self.call_counter(customer_id, number, add, Some(id), false);
    }

    /// Admits or rejects an invocation. If the counter has `answered`, finished slots that can
    /// change the decision are read first.
    pub(super) fn decide_admission(&mut self, id: InvocationId, answered: bool) {
        let customer_id = self.invocations[&id].request.customer.clone();
        self.expire_slots(&customer_id);
        let invocation = &self.invocations[&id];
        let request = &invocation.request;
        let customer = &self.customers[&customer_id];
        let burst = self.burst(request.plan);
        let known = self.window_sum(customer, 0.0) + invocation.quota_units;
        let expected_usage = self.expected_usage(customer, request.is_retry);
        let sum = self.window_sum(customer, expected_usage) + invocation.quota_units;
        if answered && self.read_finished_slots(id, sum, burst) {
            return;
        }
        // Estimated units alone do not justify a rejection. The window may exceed the burst by a
        // fraction of them; the fraction shrinks as the loss from exceeding the quota grows.
        let plan = &self.settings.plans[self.invocations[&id].request.plan.0];
        let loss = (plan.excess_cost - plan.excess_value).max(ESTIMATE_SLACK);
        let slack = ESTIMATE_SLACK * (1.0 / loss - 1.0);
        if sum > burst + EPSILON + slack * (sum - known) {
            return self.throttle(id, RejectReason::Quota);
        }
        self.admit(id);
    }

    /// Reads the finished slots that can change the decision. Returns whether the decision has to
    /// wait for them.
    fn read_finished_slots(&mut self, id: InvocationId, sum: f64, burst: f64) -> bool {
        let invocation = &self.invocations[&id];
        let customer_id = &invocation.request.customer;
        let customer = &self.customers[customer_id];
        // An in-flight cap also counts the previous slot. Attempts that were in flight at its end
        // have usually ended after the mean attempt duration, so that a read tells nothing.
        let slot_start_s = invocation.slot as f64 * customer.slot_s;
        let previous_has_ended = self.caps_in_flight(invocation.request.plan)
            && self.now.as_secs_f64() - slot_start_s > self.mean_attempt_s;
        let affects_decision = sum > MAX_UNREAD_BURST_FRACTION * burst;
        if previous_has_ended || !self.counter_sampling.allows_reads() || !affects_decision {
            return false;
        }
        let first = if sum > burst {
            0
        } else {
            let current_slot = self.current_slot(customer);
            current_slot.saturating_sub(customer.window_slots)
        };
        let unread = self.unread_slots(customer, first);
        let customer_id = customer_id.clone();
        for number in &unread {
            let customer = self
                .customers
                .get_mut(&customer_id)
                .expect("customer is registered");
            customer.awaiting_reads.insert(id);
            let slot = customer.slots.entry(*number).or_default();
            if !std::mem::replace(&mut slot.read_pending, true) {
                self.call_counter(customer_id.clone(), *number, 0.0, None, true);
            }
        }
        !unread.is_empty()
    }

    fn admit(&mut self, id: InvocationId) {
        let invocation = self.invocations.get_mut(&id).expect("invocation is open");
        let customer = self.customers.get_mut(&invocation.request.customer);
        let customer = customer.expect("customer is registered");
        let slot = customer.slots.entry(invocation.slot).or_default();
        slot.admitted += invocation.quota_units;
        if invocation.is_added {
            slot.pending -= invocation.quota_units;
        }
        invocation.is_admitted = true;
        self.enqueue(id);
    }

    /// Releases the units of an invocation that was never sent, or, under an in-flight cap, of one
    /// that is no longer in flight.
    pub(super) fn release_quota(&mut self, id: InvocationId) {
        let pending = self.invocations.get(&id);
        let caps_in_flight =
            pending.is_some_and(|invocation| self.caps_in_flight(invocation.request.plan));
        let Some(invocation) = self.invocations.get_mut(&id) else {
            return;
        };
        if !caps_in_flight && !invocation.attempts.is_empty() {
            return;
        }
        let was_added = std::mem::take(&mut invocation.is_added);
        let was_admitted = std::mem::take(&mut invocation.is_admitted);
        let (number, units) = (invocation.slot, invocation.quota_units);
        let customer_id = invocation.request.customer.clone();
        let customer = self.customers.get_mut(&customer_id);
        let Some(slot) = customer.and_then(|customer| customer.slots.get_mut(&number)) else {
            return;
        };
        if was_admitted {
            slot.admitted -= units;
        } else if was_added {
            slot.pending -= units;
        }
        let expected_on_counter = slot.admitted + slot.pending;
        if (was_added || caps_in_flight) && slot.on_counter > expected_on_counter + EPSILON {
            let add = (expected_on_counter - slot.on_counter).max(-units);
            self.call_counter(customer_id, number, add, None, false);
        }
    }

    /// Applies the true units of an invocation. The difference is added to the current slot and is
    /// sent with the next add for that slot.
    pub(super) fn apply_true_units(&mut self, id: InvocationId, units: f64) {
        let Some(invocation) = self.invocations.get(&id) else {
            return;
        };
        let request = &invocation.request;
        if !invocation.is_admitted || self.settings.plans[request.plan.0].rate <= 0.0 {
            return;
        }
        let difference = units - request.units;
        let customer_id = request.customer.clone();
        let current_slot = self.current_slot(&self.customers[&customer_id]);
        let customer = self
            .customers
            .get_mut(&customer_id)
            .expect("customer is registered");
        customer.slots.entry(current_slot).or_default().admitted += difference;
    }
}
