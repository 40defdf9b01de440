//! Which of the common slots each slot of the decision module is, and when it ends by the module's time: the one place
//! that maps the one to the other, so that names and ends can't differ.
//!
//! The module numbers its slots by its own time; the shared counts are named by the common time. Both run alike, so a slot
//! of the module is a common slot shifted by a whole number: the offset between the times, rounded. What rounding leaves
//! is in the name alone: a slot ends when the module's slot ends, whatever its name.
//!
//! When the common time steps, slots that the module has begun keep their names, for what was admitted in them is counted
//! there. Later slots take new names. A step ahead leaves names out: the first slot after it stands for these as well, as
//! others may have used them. A step back gives a name to two slots: both see all of it, which lets in too little for a
//! moment and never too much.

use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::time::Duration;

/// A name is kept until it is off by more than this part of a slot: by half a slot it is off anyway, and the offset differs
/// by a few round trips whenever another coordinator reports the common time.
const KEPT_WITHIN_SLOTS: f64 = 0.75;
/// Names that one slot stands for at most: what lies farther back was not used lately.
const MAX_NAMES: u64 = 4;
/// Steps of the common time that are remembered.
const KEPT_STEPS: usize = 4;

/// From a slot of the module's on, names are shifted by so many slots.
#[derive(Clone, Copy, Debug)]
struct Shift {
    first_slot: u64,
    slots: i64,
}

impl Shift {
    /// The module's slot that a common slot is by this shift.
    fn module_slot(&self, common_slot: u64) -> u64 {
        common_slot.saturating_add_signed(-self.slots)
    }
}

/// The names of the module's slots, by the length of slots.
#[derive(Debug, Default)]
pub(super) struct SlotNaming {
    /// The common time less the module's, in seconds; `None`: there is none yet.
    offset_s: Option<f64>,
    /// The shifts of slots of a length, which is the key by its bits; the latest last.
    shifts: HashMap<u64, Vec<Shift>>,
}

impl SlotNaming {
    /// Sets the common time less the module's, in seconds.
    pub(super) fn set_offset(&mut self, offset_s: f64, now: Duration) {
        let is_first = self.offset_s.replace(offset_s).is_none();
        if is_first {
            // Before there was a common time, names meant nothing to anybody else.
            self.shifts.clear();
            return;
        }
        for (length, shifts) in &mut self.shifts {
            let slot_s = f64::from_bits(*length);
            let exact = offset_s / slot_s;
            let known = shifts.last().map_or(0, |shift| shift.slots);
            if (exact - known as f64).abs() <= KEPT_WITHIN_SLOTS {
                continue;
            }
            shifts.push(Shift {
                first_slot: (now.as_secs_f64() / slot_s) as u64 + 1,
                slots: exact.round() as i64,
            });
            if shifts.len() > KEPT_STEPS {
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

    /// The common slots that a slot of the module's stands for. What is admitted in it is counted under the last.
    pub(super) fn common_slots(&mut self, slot: u64, slot_s: f64) -> RangeInclusive<u64> {
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
        first.clamp(last.saturating_sub(MAX_NAMES - 1), last)..=last
    }

    /// When a common slot is over here, by the module's time.
    pub(super) fn end(&mut self, common_slot: u64, slot_s: f64) -> Duration {
        if slot_s <= 0.0 {
            return Duration::ZERO;
        }
        let shifts = self.shifts(slot_s);
        let is_in_force = |shift: &&Shift| shift.module_slot(common_slot) >= shift.first_slot;
        let shift = shifts.iter().rev().find(is_in_force).or(shifts.first());
        let slot = shift.map_or(common_slot, |shift| shift.module_slot(common_slot));
        Duration::from_secs_f64((slot + 1) as f64 * slot_s)
    }
}
