//! Number of proxies that share a common quota or budget.
//!
//! A coordinator whose term has just begun does not know all proxies yet, so the highest recently
//! reported number is used. Proxies that announced a planned departure are subtracted immediately.

use std::time::Duration;

/// How long the highest reported number of proxies remains valid.
const HIGHEST_VALIDITY: Duration = Duration::from_secs(20);

/// The number of proxies, as reported by coordinators.
#[derive(Debug, Default)]
pub(super) struct ProxyNumber {
    /// The highest recently reported number, including the proxies that had departed by then in the
    /// same term.
    highest: u32,
    reported_at: Duration,
    /// Proxies that departed as planned in the current term and have not returned.
    departed: u32,
}

impl ProxyNumber {
    /// Returns the number of proxies in effect.
    fn current(&self) -> u32 {
        self.highest.saturating_sub(self.departed)
    }

    /// Begins the term of another coordinator, whose numbers do not include proxies that departed
    /// before its term.
    pub(super) fn begin_term(&mut self) {
        self.highest = self.current();
        self.departed = 0;
    }

    /// Sets how many proxies departed as planned in the current term and have not returned.
    pub(super) fn set_departed(&mut self, departed: u32) {
        self.departed = departed;
    }

    /// Records the number of proxies that the coordinator knows; returns the number in effect.
    pub(super) fn set_known(&mut self, known: u32, now: Duration) -> u32 {
        let with_departed = known + self.departed;
        let is_expired = now >= self.reported_at + HIGHEST_VALIDITY;
        if with_departed >= self.highest || self.highest == 0 || is_expired {
            self.highest = with_departed;
            self.reported_at = now;
        }
        self.current().max(known)
    }
}
