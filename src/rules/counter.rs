//! Calls to the shared counter, and the sampling that omits some of them while it is slow or
//! unavailable.

use std::time::Duration;

use super::customer::{RETAINED_WINDOWS, counter_name};
use super::{EPSILON, Rules};
use crate::interface::{Action, CustomerId, InvocationId, Outcome};

/// Slots by which a counter name outlives the retained windows.
const EXTRA_RETAINED_SLOTS: u64 = 3;
/// Longest time for which the counter keeps a name.
const MAX_RETENTION: Duration = Duration::from_secs(60);
/// Probability of asking an unavailable counter. A few calls a second detect its recovery, and few
/// invocations wait for a timeout.
const MIN_PROBABILITY: f64 = 0.05;
/// Factor on the probability for a failed call. About twenty failures reach `MIN_PROBABILITY`; the
/// small step loses few answers where a counter is permanently too small.
const FAILURE_FACTOR: f64 = 0.85;
/// Growth of the probability for a prompt answer, multiplied by the number of consecutive prompt
/// answers. About two dozen restore a probability of 1.
const GROWTH_PER_PROMPT_CALL: f64 = 0.02;
/// Upper bound for the growth factor.
const MAX_GROWTH_FACTOR: f64 = 1.35;
/// Factor on the probability for a late answer. Every decision waits for the queue of an overloaded
/// counter.
const LATE_ANSWER_FACTOR: f64 = 0.98;
/// Fraction of the call timeout beyond which an answer counts as late, that is, as delayed by a
/// queue at the counter.
const PROMPT_TIMEOUT_FRACTION: f64 = 0.3;
/// Probability below which reads are omitted, so that an overloaded counter spends its capacity on
/// adds.
const MIN_PROBABILITY_OF_READS: f64 = 0.95;

/// A call that has not been answered yet.
pub(super) struct CounterCall {
    pub(super) customer: CustomerId,
    pub(super) slot: u64,
    add: f64,
    /// Units that this gateway has added under the name so far, including this call.
    added_so_far: f64,
    /// The invocation whose decision waits for the answer.
    invocation: Option<InvocationId>,
    /// Whether the call only reads a finished slot.
    is_read: bool,
    sent_at: Duration,
}

/// The probability that an invocation asks the counter, adapted to how promptly the counter
/// answers.
pub(super) struct CounterSampling {
    pub(super) probability: f64,
    /// When the probability was last reduced for a failed call.
    reduced_at: Duration,
    /// Number of consecutive prompt answers.
    prompt_answers: f64,
}

impl CounterSampling {
    pub(super) fn new(now: Duration) -> Self {
        CounterSampling {
            probability: 1.0,
            reduced_at: now,
            prompt_answers: 0.0,
        }
    }

    /// Returns whether the counter answers well enough to be asked for finished slots too.
    pub(super) fn allows_reads(&self) -> bool {
        self.probability >= MIN_PROBABILITY_OF_READS
    }

    /// Records the outcome of a call made at `called_at`.
    ///
    /// An overloaded counter works on calls whose callers have given up. The probability therefore
    /// follows late answers too, not only failures.
    fn record(
        &mut self,
        outcome: Outcome,
        called_at: Duration,
        latency: Duration,
        timeout: Duration,
        now: Duration,
    ) {
        let is_ok = outcome == Outcome::Ok;
        let is_prompt = is_ok && latency < timeout.mul_f64(PROMPT_TIMEOUT_FRACTION);
        self.prompt_answers = if is_prompt {
            self.prompt_answers + 1.0
        } else {
            0.0
        };
        // Calls that were in flight together and fail count as one failure, since one broken
        // connection fails them all. `Failed` (an unreadable total) does not count.
        let is_new_failure = !is_ok && called_at >= self.reduced_at && outcome != Outcome::Failed;
        let factor = if is_new_failure {
            self.reduced_at = now;
            FAILURE_FACTOR
        } else if is_prompt {
            (1.0 + GROWTH_PER_PROMPT_CALL * self.prompt_answers).min(MAX_GROWTH_FACTOR)
        } else if is_ok {
            LATE_ANSWER_FACTOR
        } else {
            1.0
        };
        self.probability = (self.probability * factor).clamp(MIN_PROBABILITY, 1.0);
    }
}

impl Rules {
    /// Calls the counter. With `is_read` the call only reads a finished slot's total.
    pub(super) fn call_counter(
        &mut self,
        customer_id: CustomerId,
        number: u64,
        add: f64,
        invocation: Option<InvocationId>,
        is_read: bool,
    ) {
        let customer = self
            .customers
            .get_mut(&customer_id)
            .expect("customer is registered");
        let retained_slots = RETAINED_WINDOWS * customer.window_slots + EXTRA_RETAINED_SLOTS;
        let keep =
            Duration::from_secs_f64(customer.slot_s * retained_slots as f64).min(MAX_RETENTION);
        let slot = customer.slots.entry(number).or_default();
        slot.on_counter += add;
        let name = counter_name(&customer_id, number);
        let call = CounterCall {
            customer: customer_id,
            slot: number,
            add,
            added_so_far: slot.on_counter,
            invocation,
            is_read,
            sent_at: self.now,
        };
        self.calls.entry(name.clone()).or_default().push_back(call);
        self.actions.push(Action::AddToCounter {
            name,
            units: add,
            retention: keep,
        });
    }

    /// Handles the end of a call: applies its total and makes the decisions that wait for it.
    pub(super) fn handle_total(
        &mut self,
        name: &str,
        outcome: Outcome,
        total: f64,
        others: f64,
        latency: Duration,
    ) {
        let Some((call, lost)) = self.take_call(name, outcome, total) else {
            return;
        };
        let timeout = self.counter_timeout();
        let now = self.now;
        self.counter_sampling
            .record(outcome, call.sent_at, latency, timeout, now);
        if !self.customers.contains_key(&call.customer) {
            return;
        }
        let is_ok = outcome == Outcome::Ok;
        self.apply_total(&call, is_ok, total, others, lost);
        self.decide_pending(&call, is_ok, total);
    }

    /// Removes the oldest call under `name`. Also returns how many units of this gateway the
    /// counter lacks.
    fn take_call(
        &mut self,
        name: &str,
        outcome: Outcome,
        total: f64,
    ) -> Option<(CounterCall, f64)> {
        let queue = self.calls.get_mut(name)?;
        let call = queue.pop_front().expect("names without calls are removed");
        let lost = if outcome == Outcome::Ok {
            // The total is less than this gateway alone has added, so the counter has lost units.
            // They are added again with a later call.
            let lacking = (call.added_so_far - total).max(0.0);
            if lacking > EPSILON { lacking } else { 0.0 }
        } else if outcome.proves_not_executed() {
            call.add
        } else {
            0.0
        };
        for later in queue.iter_mut() {
            later.added_so_far -= lost;
        }
        if queue.is_empty() {
            self.calls.remove(name);
        }
        Some((call, lost))
    }

    fn apply_total(&mut self, call: &CounterCall, is_ok: bool, total: f64, others: f64, lost: f64) {
        let customer = &self.customers[&call.customer];
        let is_final = is_ok && call.is_read && self.is_final(customer, call.slot, call.sent_at);
        let customer = self
            .customers
            .get_mut(&call.customer)
            .expect("customer exists");
        let Some(slot) = customer.slots.get_mut(&call.slot) else {
            return;
        };
        slot.read_pending &= !call.is_read;
        slot.on_counter -= lost;
        if is_ok {
            if lost <= 0.0 {
                slot.others = (total - call.added_so_far).max(others);
            }
            slot.answered_at = self.now;
            slot.is_final |= is_final;
        }
    }

    fn decide_pending(&mut self, call: &CounterCall, is_ok: bool, total: f64) {
        let waiting = call.invocation;
        if let Some(id) = waiting.filter(|id| self.invocations.contains_key(id)) {
            if is_ok {
                self.record_plan_usage(id, total);
            }
            return self.decide_admission(id, is_ok);
        }
        let customer = self
            .customers
            .get_mut(&call.customer)
            .expect("customer exists");
        let mut slots = customer.slots.values();
        if !call.is_read || slots.any(|slot| slot.read_pending) {
            return;
        }
        for id in std::mem::take(&mut customer.awaiting_reads) {
            let pending = self.invocations.get(&id);
            if pending.is_some_and(|invocation| !invocation.is_admitted) {
                self.decide_admission(id, true);
            }
        }
    }
}
