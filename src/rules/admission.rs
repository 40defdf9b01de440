//! Whether an invocation is let in, by its customer's quota.

use std::time::Duration;

use rand::Rng;

use super::customer::{Customer, KEPT_WINDOWS};
use super::invocation::PendingInvocation;
use super::timers::Timer;
use super::{EPSILON, MEAN_SAMPLES, Rules};
use crate::interface::{Invocation, InvocationId, RejectReason};

/// Part of the burst up to which guesses stand in for unread slots: half leaves room to be wrong twofold.
const UNREAD_PART_OF_BURST: f64 = 0.5;
/// A window known to be full is not asked about again for this long: add and undo would be calls for nothing.
const FULL_HOLD: Duration = Duration::from_millis(100);
/// Part of guessed units by which a window may be over, times (earned inside / cost beyond - 1).
const GUESS_SLACK: f64 = 0.3;
/// What is at stake counts up to this far from the mean for who may ask: none is never asked for.
const MAX_STAKE: f64 = 5.0;

impl Rules {
    /// An invocation came in: it is let in, refused, or the counter is asked.
    pub(super) fn arrive(&mut self, request: Invocation) {
        let mut pending = PendingInvocation {
            request,
            arrived: self.now,
            time_from: self.now,
            max_attempts: self.settings.limits.max_attempts,
            ..PendingInvocation::default()
        };
        let id = pending.request.id;
        let last_at = self.last_answer_at(&pending);
        self.timers.insert((last_at, Timer::FinalAnswer(id)));
        self.register_customer(&mut pending);
        let is_metered = self.is_metered(pending.request.plan);
        pending.is_admitted = !is_metered;
        self.invocations.insert(id, pending);
        if !is_metered {
            return self.enqueue(id);
        }
        let customer = self.invocations[&id].request.customer.clone();
        self.age_slots(&customer);
        // Known full, or no room in the queue: refused early, without calls that are then undone.
        if self.is_known_full(id) {
            return self.throttle(id, RejectReason::Full);
        }
        if self.is_queue_too_long(id) {
            return self.throttle(id, RejectReason::Line);
        }
        if self.asks_counter(id) {
            self.add_to_counter(id);
        } else {
            self.decide(id, false);
        }
    }

    /// Its customer is known from now on; the invocation gets its slot and its units.
    fn register_customer(&mut self, pending: &mut PendingInvocation) {
        let request = &pending.request;
        let Some(plan) = self.settings.plans.get(request.plan.0) else {
            return;
        };
        let (ceiling_rate, ceiling_burst) = (plan.ceiling_rate, plan.ceiling_burst);
        let gateways = self.customer_gateways(request);
        let burst = self.burst(request.plan);
        let cut = self.window_cut(request.plan, gateways);
        pending.quota_units = if self.caps_in_flight(request.plan) {
            1.0
        } else {
            request.units
        };
        self.mean_units += (request.units - self.mean_units) / MEAN_SAMPLES;
        let running = (self.now.as_secs_f64() / cut.slot_s) as u64;
        let ceiling_part = if self.is_own_customer(request, gateways) && !self.has_yielded {
            1.0 / f64::from(gateways)
        } else {
            0.0
        };
        let (now, started_at) = (self.now, self.started_at);
        let new_customer = || Customer {
            plan: request.plan,
            window_slots: cut.slots,
            slot_s: cut.slot_s,
            debt: burst,
            oldest_slot: running.saturating_sub(KEPT_WINDOWS * cut.slots),
            learned_until: running,
            // A restart must not hand out the ceiling's store again: a process earns its part from nothing.
            ceiling_units: (ceiling_rate * (now - started_at).as_secs_f64()).min(ceiling_burst)
                * ceiling_part,
            ceiling_at: now,
            ..Customer::default()
        };
        let customer = self
            .customers
            .entry(request.customer.clone())
            .or_insert_with(new_customer);
        customer.gateways = f64::from(gateways);
        customer.ceiling_part = ceiling_part;
        customer.open_invocations += 1;
        pending.slot = (now.as_secs_f64() / customer.slot_s) as u64;
    }

    /// Gateways at which its customer's invocations come in.
    fn customer_gateways(&self, request: &Invocation) -> u32 {
        let all = self.settings.gateways.max(1);
        match request.spread {
            0 => all,
            spread => spread.min(all),
        }
    }

    /// Whether this gateway is one of these.
    fn is_own_customer(&self, request: &Invocation, gateways: u32) -> bool {
        let all = self.settings.gateways.max(1);
        let first = request.first_gateway.0 % all;
        (self.settings.own_id.0 + all - first) % all < gateways
    }

    /// Whether its customer's window is known to have no room for it.
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
        let hold = if self.caps_in_flight(plan) {
            Duration::from_secs_f64(self.mean_attempt_s)
        } else {
            FULL_HOLD
        };
        !self.counter_sampling.allows_reads() || self.now < answered_at + hold
    }

    /// Whether the counter is asked: near quotas, and where a wrong verdict costs most, first.
    fn asks_counter(&mut self, id: InvocationId) -> bool {
        let invocation = &self.invocations[&id];
        let request = &invocation.request;
        let customer = &self.customers[&request.customer];
        let sum = self.window_sum(customer, self.pace(customer, request.repeat));
        let fullness = (sum + invocation.quota_units) / self.burst(request.plan);
        let stake = self.stake(id);
        let distance = fullness.max(1.0 / fullness) / stake;
        let probability = self.counter_sampling.probability.powf(distance);
        self.settings.counter.is_some() && self.rng.random::<f64>() < probability
    }

    /// What an invocation earns, beside the mean of those that came of late.
    fn stake(&mut self, id: InvocationId) -> f64 {
        let request = &self.invocations[&id].request;
        let value = self.settings.operations[request.operation.0].billed_value
            * self.settings.plans[request.plan.0].price
            * request.units;
        let samples = if self.mean_value > 0.0 {
            MEAN_SAMPLES
        } else {
            1.0
        };
        self.mean_value += (value - self.mean_value) / samples;
        (value / self.mean_value.max(EPSILON)).clamp(1.0 / MAX_STAKE, MAX_STAKE)
    }

    /// Adds its units on the counter, and what the counter lacks of the units admitted here (not asked, or lost),
    /// or holds too much.
    fn add_to_counter(&mut self, id: InvocationId) {
        let Some(invocation) = self.invocations.get_mut(&id) else {
            return;
        };
        invocation.is_added = true;
        let (number, units) = (invocation.slot, invocation.quota_units);
        let customer_id = invocation.request.customer.clone();
        let customer = self.customers.get_mut(&customer_id).expect("registered");
        let slot = customer.slots.entry(number).or_default();
        let add = units + slot.admitted + slot.pending - slot.on_counter;
        slot.pending += units;
        self.call_counter(customer_id, number, add, Some(id), false);
    }

    /// Decides; with a counter that answers, finished slots are read first where they can matter.
    pub(super) fn decide(&mut self, id: InvocationId, answered: bool) {
        let customer_id = self.invocations[&id].request.customer.clone();
        self.age_slots(&customer_id);
        let invocation = &self.invocations[&id];
        let request = &invocation.request;
        let customer = &self.customers[&customer_id];
        let burst = self.burst(request.plan);
        let known = self.window_sum(customer, 0.0) + invocation.quota_units;
        let pace = self.pace(customer, request.repeat);
        let sum = self.window_sum(customer, pace) + invocation.quota_units;
        if answered && self.reads_first(id, sum, burst) {
            return;
        }
        // A guess is no proof: what is likely inside is let in, up to what beyond quota would cost it.
        let plan = &self.settings.plans[self.invocations[&id].request.plan.0];
        let loss = (plan.excess_cost - plan.excess_value).max(GUESS_SLACK);
        let slack = GUESS_SLACK * (1.0 / loss - 1.0);
        if sum > burst + EPSILON + slack * (sum - known) {
            return self.throttle(id, RejectReason::Quota);
        }
        self.let_in(id);
    }

    /// Reads finished slots where they can matter; returns whether the decision waits for them.
    fn reads_first(&mut self, id: InvocationId, sum: f64, burst: f64) -> bool {
        let invocation = &self.invocations[&id];
        let customer_id = &invocation.request.customer;
        let customer = &self.customers[customer_id];
        // Of the slot before, what was out at its end is over soon.
        let slot_start_s = invocation.slot as f64 * customer.slot_s;
        let is_over = self.caps_in_flight(invocation.request.plan)
            && self.now.as_secs_f64() - slot_start_s > self.mean_attempt_s;
        let matters = sum > UNREAD_PART_OF_BURST * burst;
        if is_over || !self.counter_sampling.allows_reads() || !matters {
            return false;
        }
        let first = if sum > burst {
            0
        } else {
            let running = self.running_slot(customer);
            running.saturating_sub(customer.window_slots)
        };
        let unread = self.unread_slots(customer, first);
        let customer_id = customer_id.clone();
        for number in &unread {
            let customer = self.customers.get_mut(&customer_id).expect("registered");
            customer.awaiting_reads.insert(id);
            let slot = customer.slots.entry(*number).or_default();
            if !std::mem::replace(&mut slot.read_pending, true) {
                self.call_counter(customer_id.clone(), *number, 0.0, None, true);
            }
        }
        !unread.is_empty()
    }

    fn let_in(&mut self, id: InvocationId) {
        let invocation = self.invocations.get_mut(&id).expect("is open");
        let customer = self.customers.get_mut(&invocation.request.customer);
        let customer = customer.expect("registered");
        let slot = customer.slots.entry(invocation.slot).or_default();
        slot.admitted += invocation.quota_units;
        if invocation.is_added {
            slot.pending -= invocation.quota_units;
        }
        invocation.is_admitted = true;
        self.enqueue(id);
    }

    /// Takes back what an invocation added that was never sent on, or that is out no more.
    pub(super) fn undo(&mut self, id: InvocationId) {
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
        let owed = slot.admitted + slot.pending;
        if (was_added || caps_in_flight) && slot.on_counter > owed + EPSILON {
            let add = (owed - slot.on_counter).max(-units);
            self.call_counter(customer_id, number, add, None, false);
        }
    }

    /// True units are known: the difference goes to the running slot, and rides on the next add there.
    pub(super) fn settle(&mut self, id: InvocationId, units: f64) {
        let Some(invocation) = self.invocations.get(&id) else {
            return;
        };
        let request = &invocation.request;
        if !invocation.is_admitted || self.settings.plans[request.plan.0].rate <= 0.0 {
            return;
        }
        let difference = units - request.units;
        let customer_id = request.customer.clone();
        let running = self.running_slot(&self.customers[&customer_id]);
        let customer = self.customers.get_mut(&customer_id).expect("registered");
        customer.slots.entry(running).or_default().admitted += difference;
    }
}
