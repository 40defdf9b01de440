//! Maps each slot of the decision module to the coordinator slots it stands for, and each coordinator slot to
//! its end by the module's time. Both mappings are kept here so that names and ends stay
//! consistent.
//!
//! The module numbers slots by its own time, while the shared counts are named by the coordinator time
//! (the coordinator's clock). Both clocks run at the same rate, so a module slot corresponds to a
//! coordinator slot shifted by an integer: the rounded offset between the clocks. The rounding error
//! affects only the name: a slot ends when the module's slot ends, whatever its name.
//!
//! When the coordinator time steps, slots that the module has already begun keep their names, because
//! their admissions are counted there; later slots get new names. A forward step skips names: the
//! first slot after it also covers the skipped ones, which other proxies may have used. A backward
//! step gives one name to two slots: both see the whole count, which admits too little for a moment
//! but never too much.

use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::time::Duration;

/// A shift is kept until it differs from the exact offset by more than this many slots. Rounding
/// alone accounts for half a slot, and the offset changes by a few round trips whenever another
/// coordinator reports the coordinator time.
const MAX_SHIFT_ERROR_SLOTS: f64 = 0.75;
/// Maximum number of names that one slot covers; earlier names were not used recently.
const MAX_NAMES_PER_SLOT: u64 = 4;
/// Number of shifts that are kept per slot length, one for each step of the coordinator time.
const MAX_SHIFTS: usize = 4;

/// Shift of names that applies from a given module slot on.
#[derive(Clone, Copy, Debug)]
struct Shift {
    first_slot: u64,
    slots: i64,
}

impl Shift {
    /// Returns the module slot that corresponds to a coordinator slot under this shift.
    fn module_slot(&self, coordinator_slot: u64) -> u64 {
        coordinator_slot.saturating_add_signed(-self.slots)
    }
}

/// The names of the module's slots, by slot length. Names number the slots by coordinator time.
#[derive(Debug, Default)]
pub(super) struct SlotNaming {
    /// Offset of the coordinator time from the module's time (`coordinator - module`), in seconds; `None`
    /// until the coordinator time is known.
    offset_s: Option<f64>,
    /// Shifts by slot length, keyed by the bits of the length in seconds; the latest is last.
    shifts: HashMap<u64, Vec<Shift>>,
}

impl SlotNaming {
    /// Sets the offset of the coordinator time from the module's time, in seconds.
    pub(super) fn set_offset(&mut self, offset_s: f64, now: Duration) {
        let had_no_offset = self.offset_s.replace(offset_s).is_none();
        if had_no_offset {
            // Until the coordinator time was known, the names had no meaning to other proxies.
            self.shifts.clear();
            return;
        }
        for (length, shifts) in &mut self.shifts {
            let slot_s = f64::from_bits(*length);
            let exact_slots = offset_s / slot_s;
            let current_slots = shifts.last().map_or(0, |shift| shift.slots);
            if (exact_slots - current_slots as f64).abs() <= MAX_SHIFT_ERROR_SLOTS {
                continue;
            }
            shifts.push(Shift {
                first_slot: (now.as_secs_f64() / slot_s) as u64 + 1,
                slots: exact_slots.round() as i64,
            });
            if shifts.len() > MAX_SHIFTS {
                shifts.remove(0);
            }
        }
    }

    fn shifts(&mut self, slot_s: f64) -> &[Shift] {
        let offset_s = self.offset_s.unwrap_or(0.0);
        let shifts = self.shifts.entry(slot_s.to_bits());
        shifts.or_insert_with(|| {
            let slots = (offset_s / slot_s).round() as i64;
            vec![Shift {
                first_slot: 0,
                slots,
            }]
        })
    }

    /// Returns the range of coordinator slots that a module slot covers. Units admitted in the module
    /// slot are counted under the last coordinator slot of the range. Only the first module slot after
    /// a forward step of the coordinator time covers more than one.
    pub(super) fn coordinator_slots(&mut self, slot: u64, slot_s: f64) -> RangeInclusive<u64> {
        if slot_s <= 0.0 {
            return slot..=slot;
        }
        let shifts = self.shifts(slot_s);
        let index = shifts.iter().rposition(|shift| shift.first_slot <= slot);
        let index = index.unwrap_or(0);
        let shift = shifts[index];
        let last = slot.saturating_add_signed(shift.slots);
        let is_first_after_step = index > 0 && shift.first_slot == slot;
        if !is_first_after_step {
            return last..=last;
        }
        let first = slot.saturating_add_signed(shifts[index - 1].slots);
        first.clamp(last.saturating_sub(MAX_NAMES_PER_SLOT - 1), last)..=last
    }

    /// Returns when a coordinator slot ends, by the module's time.
    pub(super) fn end(&mut self, coordinator_slot: u64, slot_s: f64) -> Duration {
        if slot_s <= 0.0 {
            return Duration::ZERO;
        }
        let shifts = self.shifts(slot_s);
        let applies = |shift: &&Shift| shift.module_slot(coordinator_slot) >= shift.first_slot;
        let shift = shifts.iter().rev().find(applies).or(shifts.first());
        let slot = shift.map_or(coordinator_slot, |shift| {
            shift.module_slot(coordinator_slot)
        });
        Duration::from_secs_f64((slot + 1) as f64 * slot_s)
    }
}
