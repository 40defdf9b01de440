//! The calls to the shared counter, and which of them are left out while it is slow or gone.

use std::time::Duration;

use super::customer::{KEPT_WINDOWS, counter_name};
use super::{EPSILON, Rules};
use crate::interface::{Action, CustomerId, InvocationId, Outcome};

/// The counter keeps a name for 60 s at most; names outlive the window by this many slots.
const EXTRA_KEPT_SLOTS: u64 = 3;
const MAX_KEEP: Duration = Duration::from_secs(60);
/// Part of invocations that still ask a dead counter: a few a second find its return, none wait long.
const MIN_PROBABILITY: f64 = 0.05;
/// The probability falls by this at a failed call: out in twenty; few are lost where a counter is too small for good.
const FAILURE_FACTOR: f64 = 0.85;
/// It grows by this at a prompt call, times those in a row: back in two dozen.
const GROWTH_PER_PROMPT_CALL: f64 = 0.02;
/// It grows by this at most.
const MAX_GROWTH_FACTOR: f64 = 1.35;
/// It falls by this at a late answer: the queue at a crowded counter is time that every verdict waits.
const LATE_FACTOR: f64 = 0.98;
/// A call answered later than this part of its time-out stood in a queue.
const PROMPT_PART_OF_TIMEOUT: f64 = 0.3;
/// Reads are left out below this probability: a crowded counter's calls are for adds.
const MIN_PROBABILITY_OF_READS: f64 = 0.95;

/// A call that is not answered yet.
pub(super) struct CounterCall {
    pub(super) customer: CustomerId,
    pub(super) slot: u64,
    add: f64,
    /// All that this gateway has added there, with this call.
    added_until: f64,
    /// Whose verdict waits for the answer.
    invocation: Option<InvocationId>,
    /// It reads a finished slot.
    is_read: bool,
    at: Duration,
}

/// How probable it is that an invocation asks the counter: it follows how promptly the counter answers.
pub(super) struct CounterSampling {
    pub(super) probability: f64,
    /// When it last fell for a failed call.
    fell_at: Duration,
    /// Prompt answers in a row.
    prompt_answers: f64,
}

impl CounterSampling {
    pub(super) fn new(now: Duration) -> Self {
        CounterSampling {
            probability: 1.0,
            fell_at: now,
            prompt_answers: 0.0,
        }
    }

    /// Whether the counter answers well enough to be asked for finished slots too.
    pub(super) fn allows_reads(&self) -> bool {
        self.probability >= MIN_PROBABILITY_OF_READS
    }

    /// A call made at `called_at` ended after `took`.
    ///
    /// A crowded counter works on calls that nobody waits for: its queue is followed, not only failures.
    fn record(
        &mut self,
        outcome: Outcome,
        called_at: Duration,
        took: Duration,
        timeout: Duration,
        now: Duration,
    ) {
        let is_ok = outcome == Outcome::Ok;
        let is_prompt = is_ok && took < timeout.mul_f64(PROMPT_PART_OF_TIMEOUT);
        self.prompt_answers = if is_prompt {
            self.prompt_answers + 1.0
        } else {
            0.0
        };
        // Calls out together that fail are one failure: a dead connection takes all. An unreadable total is none.
        let falls = !is_ok && called_at >= self.fell_at && outcome != Outcome::Failed;
        let factor = if falls {
            self.fell_at = now;
            FAILURE_FACTOR
        } else if is_prompt {
            (1.0 + GROWTH_PER_PROMPT_CALL * self.prompt_answers).min(MAX_GROWTH_FACTOR)
        } else if is_ok {
            LATE_FACTOR
        } else {
            1.0
        };
        self.probability = (self.probability * factor).clamp(MIN_PROBABILITY, 1.0);
    }
}

impl Rules {
    /// Calls the counter; `is_read`: for a finished slot's total only.
    pub(super) fn call_counter(
        &mut self,
        customer_id: CustomerId,
        number: u64,
        add: f64,
        invocation: Option<InvocationId>,
        is_read: bool,
    ) {
        let customer = self.customers.get_mut(&customer_id).expect("registered");
        let kept_slots = KEPT_WINDOWS * customer.window_slots + EXTRA_KEPT_SLOTS;
        let keep = Duration::from_secs_f64(customer.slot_s * kept_slots as f64).min(MAX_KEEP);
        let slot = customer.slots.entry(number).or_default();
        slot.on_counter += add;
        let name = counter_name(&customer_id, number);
        let call = CounterCall {
            customer: customer_id,
            slot: number,
            add,
            added_until: slot.on_counter,
            invocation,
            is_read,
            at: self.now,
        };
        self.calls.entry(name.clone()).or_default().push_back(call);
        self.actions.push(Action::AddToCounter { name, add, keep });
    }

    /// A call ended: its total is taken in, and the verdicts that wait for it are given.
    pub(super) fn handle_total(
        &mut self,
        name: &str,
        outcome: Outcome,
        total: f64,
        others: f64,
        took: Duration,
    ) {
        let Some((call, lost)) = self.take_call(name, outcome, total) else {
            return;
        };
        let timeout = self.counter_timeout();
        let now = self.now;
        self.counter_sampling
            .record(outcome, call.at, took, timeout, now);
        if !self.customers.contains_key(&call.customer) {
            return;
        }
        let is_ok = outcome == Outcome::Ok;
        self.take_total(&call, is_ok, total, others, lost);
        self.decide_waiting(&call, is_ok, total);
    }

    /// The oldest call under that name, and the units of this gateway that the counter turns out to lack.
    fn take_call(
        &mut self,
        name: &str,
        outcome: Outcome,
        total: f64,
    ) -> Option<(CounterCall, f64)> {
        let queue = self.calls.get_mut(name)?;
        let call = queue.pop_front().expect("kept only while calls are out");
        let lost = if outcome == Outcome::Ok {
            // Less than this gateway alone has added: the counter lost it, so it is owed anew.
            let lacking = (call.added_until - total).max(0.0);
            if lacking > EPSILON { lacking } else { 0.0 }
        } else if outcome.never_ran() {
            call.add
        } else {
            0.0
        };
        for later in queue.iter_mut() {
            later.added_until -= lost;
        }
        if queue.is_empty() {
            self.calls.remove(name);
        }
        Some((call, lost))
    }

    fn take_total(&mut self, call: &CounterCall, is_ok: bool, total: f64, others: f64, lost: f64) {
        let customer = &self.customers[&call.customer];
        let is_final = is_ok && call.is_read && self.is_final(customer, call.slot, call.at);
        let customer = self.customers.get_mut(&call.customer).expect("seen above");
        let Some(slot) = customer.slots.get_mut(&call.slot) else {
            return;
        };
        slot.read_pending &= !call.is_read;
        slot.on_counter -= lost;
        if is_ok {
            if lost <= 0.0 {
                slot.others = (total - call.added_until).max(others);
            }
            slot.answered_at = self.now;
            slot.is_final |= is_final;
        }
    }

    fn decide_waiting(&mut self, call: &CounterCall, is_ok: bool, total: f64) {
        let asking = call.invocation;
        if let Some(id) = asking.filter(|id| self.invocations.contains_key(id)) {
            if is_ok {
                self.learn_plan_use(id, total);
            }
            return self.decide(id, is_ok);
        }
        let customer = self.customers.get_mut(&call.customer).expect("seen above");
        let mut slots = customer.slots.values();
        if !call.is_read || slots.any(|slot| slot.read_pending) {
            return;
        }
        for id in std::mem::take(&mut customer.awaiting_reads) {
            let pending = self.invocations.get(&id);
            if pending.is_some_and(|invocation| !invocation.is_admitted) {
                self.decide(id, true);
            }
        }
    }
}
