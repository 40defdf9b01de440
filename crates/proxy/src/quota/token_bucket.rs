//! Token bucket that limits what this proxy admits of a tenant while the coordinator is out of
//! contact.
//!
//! While the coordinator is in contact, the shared count admits the rate of a quota and its burst
//! once. When an outage begins, the burst may already have been used, so the buckets of all proxies
//! together start with a fraction of the excess that operators tolerate and fill at the rate of the
//! quota. Together they hold at most the burst plus another fraction of the tolerated excess. If a
//! proxy's share of that capacity is less than one unit, the proxy admits a unit at random with a
//! probability equal to the tokens it has accumulated: the total is right on average, and every
//! proxy admits some requests.

use std::time::Duration;

/// Initial content of the buckets of all proxies, as a fraction of the tolerated excess.
const INITIAL_FRACTION: f64 = 0.1;
/// Capacity of the buckets of all proxies beyond the burst, as a fraction of the tolerated excess.
/// The remainder allows for random variation.
const CAPACITY_FRACTION: f64 = 0.6;

/// Delay before a bucket starts to fill. If the coordinator still runs and only this proxy cannot
/// reach it, the other proxies use this proxy's share until the coordinator detects that the proxy
/// is missing.
const FILL_DELAY: Duration = Duration::from_millis(350);

/// By how much the operators tolerate quotas to be exceeded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window over which usage is measured, in seconds.
    pub window_s: f64,
    /// Tolerated excess as a fraction of what is allowed in a window.
    pub overage_fraction: f64,
    /// Tolerated excess per window in units, in addition to `overage_fraction`.
    pub slack_units: f64,
}

/// A tenant's quota and this proxy's share of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaShare {
    /// Units per second that all proxies together may admit.
    pub(super) rate: f64,
    /// Burst in units that all proxies together may admit.
    pub(super) burst: f64,
    /// This proxy's share of the quota, from 0 to 1.
    pub(super) share: f64,
    pub(super) tolerance: QuotaTolerance,
}

impl QuotaShare {
    /// Returns the units per window that all proxies together may admit beyond the quota.
    fn tolerated_excess(&self) -> f64 {
        let QuotaTolerance {
            window_s,
            overage_fraction,
            slack_units,
        } = self.tolerance;
        overage_fraction * (self.rate * window_s + self.burst) + slack_units
    }

    /// Returns the initial content of this proxy's bucket.
    fn initial(&self) -> f64 {
        self.share * INITIAL_FRACTION * self.tolerated_excess()
    }

    /// Returns the capacity of this proxy's bucket.
    fn capacity(&self) -> f64 {
        self.share * (self.burst + CAPACITY_FRACTION * self.tolerated_excess())
    }
}

/// Token bucket of a tenant.
#[derive(Debug, Default)]
pub(super) struct TokenBucket {
    tokens: f64,
    filled_at: Duration,
    /// Refused units that the module has not undone yet; no tokens were taken for them.
    refused: f64,
    /// Tokens taken per unit at the last admission; less than 1 if it was a random admission.
    last_cost: f64,
}

impl TokenBucket {
    /// Creates the bucket at the beginning of an outage.
    pub(super) fn new(quota: QuotaShare, now: Duration) -> Self {
        TokenBucket {
            tokens: quota.initial(),
            filled_at: now + FILL_DELAY,
            refused: 0.0,
            last_cost: 0.0,
        }
    }

    /// Begins another outage with the remaining tokens. The bucket is not filled for the time in
    /// between.
    pub(super) fn resume(&mut self, quota: QuotaShare, now: Duration) {
        self.tokens = self.tokens.min(quota.initial());
        self.filled_at = now + FILL_DELAY;
    }

    fn fill(&mut self, quota: QuotaShare, now: Duration) {
        let elapsed_s = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let filled = self.tokens + quota.share * quota.rate * elapsed_s;
        self.tokens = filled.min(quota.capacity());
    }

    /// Takes units from the bucket; returns whether they are admitted. `random` is in the range
    /// from 0 to 1.
    pub(super) fn take(
        &mut self,
        units: f64,
        quota: QuotaShare,
        random: f64,
        now: Duration,
    ) -> bool {
        self.fill(quota, now);
        let can_hold_units = quota.capacity() >= units;
        let is_admitted = if can_hold_units {
            self.tokens >= units
        } else {
            random * units < self.tokens
        };
        if is_admitted {
            let cost = units.min(self.tokens);
            self.tokens -= cost;
            self.last_cost = cost / units;
        } else {
            self.refused += units;
            if !can_hold_units {
                self.tokens = 0.0;
            }
        }
        is_admitted
    }

    /// Puts back the tokens of units that the module did not admit after all.
    pub(super) fn undo(&mut self, units: f64) {
        let from_refused = units.min(self.refused);
        self.refused -= from_refused;
        self.tokens += (units - from_refused) * self.last_cost;
    }
}
