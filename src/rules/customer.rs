//! State kept for a customer: the slots of its window and its observed usage.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::time::Duration;

use fnv::FnvHasher;
use serde::{Deserialize, Serialize};

use crate::interface::{AdmittedUnits, CustomerId, InvocationId, PeerUnits, PlanId};

/// Length in bytes beyond which a customer name is hashed in counter names.
const MAX_COUNTER_NAME_LEN: usize = 40;
/// Number of windows whose slots are retained.
pub(super) const RETAINED_WINDOWS: u64 = 2;

/// One slot of a customer's window, as far as this gateway knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Slot {
    /// Units admitted at this gateway.
    #[serde(rename = "own")]
    pub(super) admitted: f64,
    /// Units whose add has not been answered yet.
    #[serde(rename = "asking")]
    pub(super) pending: f64,
    /// Units requested at this gateway and refused. They reveal a surge that the admitted units do
    /// not show.
    #[serde(rename = "came")]
    pub(super) refused: f64,
    /// This gateway's units that the counter is believed to hold.
    #[serde(rename = "put")]
    pub(super) on_counter: f64,
    /// Units of the other gateways, according to the last answer.
    pub(super) others: f64,
    /// When the last answer arrived.
    #[serde(rename = "told")]
    pub(super) answered_at: Duration,
    /// Whether the last answer is final, that is, no more adds are expected for the slot.
    #[serde(rename = "last")]
    pub(super) is_final: bool,
    /// Whether a read of the slot is in progress.
    #[serde(rename = "reading")]
    pub(super) read_pending: bool,
}

impl Slot {
    /// Returns the fraction of the slot for which the other gateways' units are known, out of the
    /// fraction `elapsed`.
    pub(super) fn known_fraction(&self, number: u64, slot_s: f64, elapsed: f64) -> f64 {
        if self.is_final {
            elapsed
        } else {
            (self.answered_at.as_secs_f64() / slot_s - number as f64).clamp(0.0, elapsed)
        }
    }

    /// Counts the units admitted by a previous process as units of another gateway.
    pub(super) fn count_as_others(&mut self) {
        *self = Slot {
            others: self.others + self.admitted,
            refused: self.refused,
            answered_at: self.answered_at,
            is_final: self.is_final,
            ..Slot::default()
        };
    }

    /// Adds the counts of a slot from another slot layout.
    pub(super) fn merge(&mut self, other: &Slot) {
        self.admitted += other.admitted;
        self.pending += other.pending;
        self.refused += other.refused;
        self.others += other.others;
        self.answered_at = self.answered_at.max(other.answered_at);
    }
}

/// How a customer's window is divided into slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SlotLayout {
    /// Slots per window.
    pub(super) slots: u64,
    /// Length of a slot in seconds.
    pub(super) slot_s: f64,
}

/// State kept for a customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Customer {
    #[serde(skip)]
    pub(super) plan: PlanId,
    /// Number of gateways that receive the customer's invocations.
    #[serde(rename = "spread")]
    pub(super) gateways: f64,
    /// Slots per window.
    #[serde(rename = "cut")]
    pub(super) window_slots: u64,
    /// Length of a slot in seconds.
    #[serde(rename = "len")]
    pub(super) slot_s: f64,
    /// Fraction of the customer's ceiling that this gateway may use.
    #[serde(rename = "part")]
    pub(super) ceiling_share: f64,
    pub(super) slots: BTreeMap<u64, Slot>,
    /// Upper bound for the units used beyond the refill at the start of the oldest retained slot.
    pub(super) debt: f64,
    /// Number of the oldest retained slot.
    #[serde(rename = "oldest")]
    pub(super) oldest_slot: u64,
    /// Number of the first slot whose usage has not been learned yet.
    #[serde(rename = "learned")]
    pub(super) learned_until: u64,
    /// Recently observed units, with exponential decay.
    #[serde(rename = "units")]
    pub(super) recent_units: f64,
    /// Number of slots in which `recent_units` were observed. A slot with known totals counts
    /// fully, any other by this gateway's share.
    #[serde(rename = "span")]
    pub(super) recent_slots: f64,
    /// Units admitted at this gateway in slots whose total is known, with exponential decay.
    #[serde(rename = "own_seen")]
    pub(super) local_units_in_known: f64,
    /// Units admitted at all gateways in slots whose total is known, with exponential decay.
    #[serde(rename = "all_seen")]
    pub(super) fleet_units_in_known: f64,
    /// Invocations whose add has been answered and that wait for reads.
    #[serde(skip)]
    pub(super) awaiting_reads: BTreeSet<InvocationId>,
    /// Number of open invocations.
    #[serde(skip)]
    pub(super) open_invocations: u32,
    /// Number of attempts in flight.
    #[serde(skip)]
    pub(super) in_flight: u32,
    /// Units available in the ceiling budget.
    #[serde(rename = "ceiling")]
    pub(super) ceiling_units: f64,
    /// When `ceiling_units` was computed.
    pub(super) ceiling_at: Duration,
    /// When the customer's last invocation ended.
    pub(super) used_at: Duration,
}

impl Customer {
    /// Applies a report of the units admitted by the other gateways. The report is complete up to a
    /// time if all of them have reported.
    pub(super) fn apply_peer_report(&mut self, report: &PeerUnits) {
        if report.slot < self.oldest_slot {
            return;
        }
        let slot = self.slots.entry(report.slot).or_default();
        slot.others = slot.others.max(report.units);
        let complete_until = report.complete_until.unwrap_or_default();
        slot.answered_at = slot.answered_at.max(complete_until);
    }

    /// Returns the units admitted at this gateway in each retained slot.
    pub(super) fn admitted(
        &self,
        id: &CustomerId,
        now: Duration,
    ) -> impl Iterator<Item = AdmittedUnits> {
        let current_slot = (now.as_secs_f64() / self.slot_s) as u64;
        let first = current_slot.saturating_sub(RETAINED_WINDOWS * self.window_slots);
        (self.oldest_slot.max(first)..=current_slot).map(|slot| AdmittedUnits {
            name: counter_name(id, slot),
            customer: id.clone(),
            slot,
            units: self.slots.get(&slot).map_or(0.0, |slot| slot.admitted),
        })
    }

    /// Returns the current slot layout.
    pub(super) fn slot_layout(&self) -> SlotLayout {
        SlotLayout {
            slots: self.window_slots,
            slot_s: self.slot_s,
        }
    }
}

/// Returns the counter name for a slot of a customer. The name is short even where that of the
/// customer is long.
pub(super) fn counter_name(customer: &CustomerId, slot: u64) -> String {
    if customer.0.len() <= MAX_COUNTER_NAME_LEN {
        return format!("{slot}/{}", customer.0);
    }
    let mut hash = FnvHasher::default();
    hash.write(customer.0.as_bytes());
    format!("{slot}/{:x}", hash.finish())
}
