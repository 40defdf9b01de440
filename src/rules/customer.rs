//! What is remembered of a customer: the slots of its window, and what was seen of its use.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::time::Duration;

use fnv::FnvHasher;
use serde::{Deserialize, Serialize};

use crate::interface::{Admitted, CustomerId, InvocationId, PeersAdmitted, PlanId};

/// A longer name is hashed in the counter's names.
const MAX_COUNTED_NAME: usize = 40;
/// Windows of slots that are kept.
pub(super) const KEPT_WINDOWS: u64 = 2;

/// One slot of a customer's window, as far as known here.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Slot {
    /// Units admitted here.
    #[serde(rename = "own")]
    pub(super) admitted: f64,
    /// Units whose add is not answered yet.
    #[serde(rename = "asking")]
    pub(super) pending: f64,
    /// Units asked for here and refused: they show a surge that what is admitted does not.
    #[serde(rename = "came")]
    pub(super) refused: f64,
    /// Own units that the counter is believed to hold.
    #[serde(rename = "put")]
    pub(super) on_counter: f64,
    /// Units of the other gateways, by the last answer.
    pub(super) others: f64,
    /// When that answer came.
    #[serde(rename = "told")]
    pub(super) answered_at: Duration,
    /// Nothing changes that answer any more.
    #[serde(rename = "last")]
    pub(super) is_final: bool,
    /// The counter is asked for it.
    #[serde(rename = "reading")]
    pub(super) read_pending: bool,
}

impl Slot {
    /// The part of this slot, of the `passed` part of it, in which the others' units are known.
    pub(super) fn known_part(&self, number: u64, slot_s: f64, passed: f64) -> f64 {
        if self.is_final {
            passed
        } else {
            (self.answered_at.as_secs_f64() / slot_s - number as f64).clamp(0.0, passed)
        }
    }

    /// What was counted here was counted by another process.
    pub(super) fn count_as_others(&mut self) {
        *self = Slot {
            others: self.others + self.admitted,
            refused: self.refused,
            answered_at: self.answered_at,
            is_final: self.is_final,
            ..Slot::default()
        };
    }

    /// Takes in what a slot of another length has counted.
    pub(super) fn merge(&mut self, other: &Slot) {
        self.admitted += other.admitted;
        self.pending += other.pending;
        self.refused += other.refused;
        self.others += other.others;
        self.answered_at = self.answered_at.max(other.answered_at);
    }
}

/// How a customer's window is cut into slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct WindowCut {
    /// Slots of a window.
    pub(super) slots: u64,
    /// The length of a slot in seconds.
    pub(super) slot_s: f64,
}

/// What is remembered of a customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Customer {
    #[serde(skip)]
    pub(super) plan: PlanId,
    /// Gateways at which its invocations come in.
    #[serde(rename = "spread")]
    pub(super) gateways: f64,
    /// Slots that its window is cut into.
    #[serde(rename = "cut")]
    pub(super) window_slots: u64,
    /// The length of a slot in seconds.
    #[serde(rename = "len")]
    pub(super) slot_s: f64,
    /// Part of a ceiling that is this gateway's.
    #[serde(rename = "part")]
    pub(super) ceiling_part: f64,
    pub(super) slots: BTreeMap<u64, Slot>,
    /// Units over the refill at the start of the oldest slot kept (an upper bound).
    pub(super) debt: f64,
    /// The oldest slot kept.
    #[serde(rename = "oldest")]
    pub(super) oldest_slot: u64,
    /// The slot up to which the use of those before was learned.
    #[serde(rename = "learned")]
    pub(super) learned_until: u64,
    /// Units seen of late.
    #[serde(rename = "units")]
    pub(super) recent_units: f64,
    /// The slots that they were seen in: a known one whole, else this gateway's share.
    #[serde(rename = "span")]
    pub(super) recent_slots: f64,
    /// Units admitted here in slots that are known.
    #[serde(rename = "own_seen")]
    pub(super) own_in_known: f64,
    /// Units admitted at all gateways in slots that are known.
    #[serde(rename = "all_seen")]
    pub(super) all_in_known: f64,
    /// Invocations whose add is answered and that wait for reads.
    #[serde(skip)]
    pub(super) awaiting_reads: BTreeSet<InvocationId>,
    /// Invocations that are not over.
    #[serde(skip)]
    pub(super) open_invocations: u32,
    /// Attempts that are out.
    #[serde(skip)]
    pub(super) in_flight: u32,
    /// Units that the ceiling has saved up.
    #[serde(rename = "ceiling")]
    pub(super) ceiling_units: f64,
    /// When these were reckoned.
    pub(super) ceiling_at: Duration,
    /// When an invocation of its was last over.
    pub(super) used_at: Duration,
}

impl Customer {
    /// Takes in what the other gateways say they admitted: all of it, up to a time, where all have reported.
    pub(super) fn take_peer_report(&mut self, report: &PeersAdmitted) {
        if report.slot < self.oldest_slot {
            return;
        }
        let slot = self.slots.entry(report.slot).or_default();
        slot.others = slot.others.max(report.units);
        let complete_until = report.complete_until.unwrap_or_default();
        slot.answered_at = slot.answered_at.max(complete_until);
    }

    /// What was admitted here in each slot that is kept.
    pub(super) fn admitted(
        &self,
        id: &CustomerId,
        now: Duration,
    ) -> impl Iterator<Item = Admitted> {
        let running = (now.as_secs_f64() / self.slot_s) as u64;
        let first = running.saturating_sub(KEPT_WINDOWS * self.window_slots);
        (self.oldest_slot.max(first)..=running).map(|slot| Admitted {
            name: counter_name(id, slot),
            customer: id.clone(),
            slot,
            units: self.slots.get(&slot).map_or(0.0, |slot| slot.admitted),
        })
    }

    /// How its window is cut now.
    pub(super) fn cut(&self) -> WindowCut {
        WindowCut {
            slots: self.window_slots,
            slot_s: self.slot_s,
        }
    }
}

/// The counter's name for a slot of a customer's: short, however long the customer's own is.
pub(super) fn counter_name(customer: &CustomerId, slot: u64) -> String {
    if customer.0.len() <= MAX_COUNTED_NAME {
        return format!("{slot}/{}", customer.0);
    }
    let mut hash = FnvHasher::default();
    hash.write(customer.0.as_bytes());
    format!("{slot}/{:x}", hash.finish())
}
