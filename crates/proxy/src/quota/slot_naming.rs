//! Which of the common slots each slot of the decision module is, and when it ends by the module's time: the one place
//! that maps the one to the other, so that names and ends can't differ.
//!
//! The module numbers its slots by its own time; the shared counts are named by the common time. Both run alike, so a slot
//! of the module is a common slot shifted by a whole number: the offset between the times, rounded. What rounding leaves
//! is in the name alone: a slot ends when the module's slot ends, whatever its name.

use std::time::Duration;

/// The common time is known this well, in seconds: round trips between regions differ by less.
const TIME_JITTER_S: f64 = 0.06;

/// The names of the module's slots.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotNaming {
    /// The common time less the module's, in seconds.
    offset_s: f64,
}

impl SlotNaming {
    /// Sets the common time less the module's, in seconds. Small differences come from the ways of messages: slots must
    /// not be renamed because of them.
    pub(super) fn set_offset(&mut self, offset_s: f64) {
        if (offset_s - self.offset_s).abs() >= TIME_JITTER_S {
            self.offset_s = offset_s;
        }
    }

    /// By how many slots of that length names are shifted.
    fn shift(&self, slot_s: f64) -> i64 {
        if slot_s > 0.0 {
            (self.offset_s / slot_s).round() as i64
        } else {
            0
        }
    }

    /// The common slot of a slot of the module's.
    pub(super) fn common_slot(&self, slot: u64, slot_s: f64) -> u64 {
        slot.saturating_add_signed(self.shift(slot_s))
    }

    /// When a common slot is over here, by the module's time.
    pub(super) fn end(&self, common_slot: u64, slot_s: f64) -> Duration {
        let slot = common_slot.saturating_add_signed(-self.shift(slot_s));
        Duration::from_secs_f64((slot + 1) as f64 * slot_s)
    }
}
