//! Sums of units over time and their recent rates.

use std::collections::VecDeque;
use std::time::Duration;

/// Window over which the rate is measured: long compared with the report intervals, short compared
/// with a surge.
pub(super) const RATE_WINDOW: Duration = Duration::from_millis(600);

/// A sum whose changes are recorded over time; changes may be negative.
#[derive(Debug, Default)]
pub(super) struct RollingSum {
    sum: f64,
    /// The sum after each change, as far back as the rate needs.
    history: VecDeque<(Duration, f64)>,
}

impl RollingSum {
    pub(super) fn add(&mut self, units: f64, now: Duration) {
        self.sum += units;
        self.history.push_back((now, self.sum));
        while self.history.len() > 2 && self.history[1].0 + RATE_WINDOW <= now {
            self.history.pop_front();
        }
    }

    /// Returns the units added since `from`.
    pub(super) fn since(&self, from: Duration) -> f64 {
        let before = self.history.iter().rev().find(|(at, _)| *at <= from);
        let before = before.or(self.history.front());
        before.map_or(0.0, |(_, sum)| self.sum - sum)
    }

    /// Returns the recent rate in units per second.
    pub(super) fn rate(&self, now: Duration) -> f64 {
        self.since(now.saturating_sub(RATE_WINDOW)) / RATE_WINDOW.as_secs_f64()
    }
}
