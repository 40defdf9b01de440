//! What is known of one count, and of one tenant.

use std::time::Duration;

use super::rate::RollingSum;
use super::token_bucket::TokenBucket;

/// What the coordinator reports of the others is this old when it arrives: their reports' interval and way, and its own
/// way here.
pub(super) const REPORT_AGE: Duration = Duration::from_millis(150);

/// Slots that the module cuts the window of a burst into.
const SLOTS_PER_BURST: f64 = 2.0;

/// Units admitted and requested under a name, as reported to the coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Units {
    pub(super) admitted: f64,
    pub(super) requested: f64,
}

/// The count of a tenant in a time slot.
#[derive(Debug, Default)]
pub(super) struct Count {
    pub(super) tenant: String,
    /// At this proxy.
    pub(super) own: Units,
    /// What the coordinator was last sent of it; `None`: nothing.
    pub(super) reported: Option<Units>,
    /// At all others, as far as the coordinator has reported.
    pub(super) others: Units,
    pub(super) first_use: Duration,
    pub(super) last_use: Duration,
    /// When the coordinator last reported.
    pub(super) last_totals: Option<Duration>,
    /// When its slot ends, by the module's time; zero where it has none.
    pub(super) slot_end: Duration,
    /// It was reported once more after the slot's end: its total is final.
    pub(super) has_final_report: bool,
}

impl Count {
    /// Whether a last report after the slot's end is due.
    pub(super) fn needs_final_report(&self, now: Duration) -> bool {
        let is_over = !self.slot_end.is_zero() && now >= self.slot_end + REPORT_AGE;
        is_over && !self.has_final_report && self.own.admitted > 0.0
    }
}

#[derive(Debug, Default)]
pub(super) struct Tenant {
    /// Its quota in units a second; 0: none.
    pub(super) rate: f64,
    /// The length of a slot in seconds; 0: it has none.
    pub(super) slot_s: f64,
    /// Requested here.
    pub(super) requested: RollingSum,
    /// Admitted here.
    pub(super) admitted: RollingSum,
    /// Admitted by the others.
    pub(super) others: RollingSum,
    /// Requested at the others.
    pub(super) others_requested: RollingSum,
    pub(super) near_quota_until: Duration,
    /// What this proxy admits without the coordinator, and in which outage that was last asked for.
    pub(super) bucket: Option<(u64, TokenBucket)>,
}

impl Tenant {
    /// Units that may be admitted at once: the module cuts the window in which its quota gives the burst into slots.
    pub(super) fn burst(&self) -> f64 {
        self.rate * self.slot_s * SLOTS_PER_BURST
    }
}
