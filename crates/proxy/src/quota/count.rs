//! State of a single count and of a single tenant.

use std::time::Duration;

use super::rate::RollingSum;
use super::token_bucket::TokenBucket;

/// Assumed age of a reported total on arrival: the other proxies' report interval, their latency to
/// the coordinator, and the latency from the coordinator to this proxy.
pub(super) const REPORT_AGE: Duration = Duration::from_millis(150);

/// Number of slots into which the module divides the window of a burst.
const SLOTS_PER_BURST: f64 = 2.0;

/// Units admitted and requested under a name, as reported to the coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Units {
    pub(super) admitted: f64,
    pub(super) requested: f64,
}

/// The count of a tenant in one time slot.
#[derive(Debug, Default)]
pub(super) struct Count {
    pub(super) tenant: String,
    /// Units at this proxy.
    pub(super) own: Units,
    /// Units last reported to the coordinator; `None` if never reported.
    pub(super) reported: Option<Units>,
    /// Units at all other proxies, as far as the coordinator has reported them.
    pub(super) others: Units,
    pub(super) first_used_at: Duration,
    pub(super) last_used_at: Duration,
    /// When the coordinator last reported a total of this count.
    pub(super) totals_received_at: Option<Duration>,
    /// End of the slot, by the module's time; zero if the name has no slot.
    pub(super) slot_end: Duration,
    /// Whether the count was reported once more after the end of its slot, which makes its total
    /// final.
    pub(super) has_final_report: bool,
}

impl Count {
    /// Returns whether the final report after the end of the slot is due.
    pub(super) fn needs_final_report(&self, now: Duration) -> bool {
        let has_ended = !self.slot_end.is_zero() && now >= self.slot_end + REPORT_AGE;
        has_ended && !self.has_final_report && self.own.admitted > 0.0
    }
}

#[derive(Debug, Default)]
pub(super) struct Tenant {
    /// Quota in units per second; 0 if the tenant has none.
    pub(super) rate: f64,
    /// Length of a slot in seconds; 0 if there are no slots.
    pub(super) slot_s: f64,
    /// Units requested at this proxy.
    pub(super) requested: RollingSum,
    /// Units admitted at this proxy.
    pub(super) admitted: RollingSum,
    /// Units admitted by the other proxies.
    pub(super) others: RollingSum,
    /// Units requested at the other proxies.
    pub(super) others_requested: RollingSum,
    pub(super) near_quota_until: Duration,
    /// Bucket that limits admissions while the coordinator is out of contact, and the number of the
    /// outage in which it was last used.
    pub(super) bucket: Option<(u64, TokenBucket)>,
}

impl Tenant {
    /// Returns the burst in units. The window over which the quota grants the burst has
    /// `SLOTS_PER_BURST` slots.
    pub(super) fn burst(&self) -> f64 {
        self.rate * self.slot_s * SLOTS_PER_BURST
    }
}
