//! What this proxy admits of a tenant without the coordinator: a token bucket of its share of the quota.
//!
//! In contact the shared count lets in a quota's rate and its burst once. When an outage begins, the burst may have been used:
//! the buckets of all proxies together begin with a part of what the operators tolerate beyond a quota, and fill at the
//! quota's rate. At most they hold the burst and another part of what is tolerated. Where a share of that is less than one
//! unit, a unit is admitted at random with the probability that has been saved up: the sum is right on the average, and
//! every proxy lets some in.

use std::time::Duration;

/// What the buckets of all proxies begin with, as a part of what is tolerated.
const INITIAL_PART: f64 = 0.1;
/// What the buckets of all proxies hold beyond the burst, as a part of what is tolerated: the rest is for chance.
const SAVED_PART: f64 = 0.6;

/// A bucket begins to fill this late: a coordinator that is still there, and only out of reach of this proxy, leaves its
/// share to the others until it misses it.
const FILL_DELAY: Duration = Duration::from_millis(350);

/// How far the operators tolerate that quotas are exceeded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// The window over which use is measured, in seconds.
    pub window_s: f64,
    /// The part of what is allowed in a window that may come on top.
    pub overage: f64,
    /// Units in a window that may come on top.
    pub slack: f64,
}

/// A tenant's quota and this proxy's share of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaShare {
    /// Units a second that all proxies together may admit.
    pub(super) rate: f64,
    /// Units at once that all proxies together may admit.
    pub(super) burst: f64,
    /// This proxy's share, from 0 to 1.
    pub(super) share: f64,
    pub(super) tolerance: QuotaTolerance,
}

impl QuotaShare {
    /// Units in a window that all proxies together may admit beyond the quota.
    fn tolerated(&self) -> f64 {
        let QuotaTolerance {
            window_s,
            overage,
            slack,
        } = self.tolerance;
        overage * (self.rate * window_s + self.burst) + slack
    }

    /// What this proxy's bucket begins with.
    fn initial(&self) -> f64 {
        self.share * INITIAL_PART * self.tolerated()
    }

    /// What this proxy's bucket holds at most.
    fn most(&self) -> f64 {
        self.share * (self.burst + SAVED_PART * self.tolerated())
    }
}

/// A tenant's bucket.
#[derive(Debug, Default)]
pub(super) struct TokenBucket {
    tokens: f64,
    filled_at: Duration,
    /// Units refused that the module has not undone yet: nothing was taken for them.
    refused: f64,
    /// What was taken for a unit that was admitted last: less than one where chance admitted it.
    last_cost: f64,
}

impl TokenBucket {
    /// An outage begins.
    pub(super) fn begin(quota: QuotaShare, now: Duration) -> Self {
        TokenBucket {
            tokens: quota.initial(),
            filled_at: now + FILL_DELAY,
            refused: 0.0,
            last_cost: 0.0,
        }
    }

    /// Another outage begins: what is left of it is not filled up for the time in between.
    pub(super) fn resume(&mut self, quota: QuotaShare, now: Duration) {
        self.tokens = self.tokens.min(quota.initial());
        self.filled_at = now + FILL_DELAY;
    }

    fn fill(&mut self, quota: QuotaShare, now: Duration) {
        let elapsed_s = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let filled = self.tokens + quota.share * quota.rate * elapsed_s;
        self.tokens = filled.min(quota.most());
    }

    /// Takes units; returns whether they are admitted. `random`: from 0 to 1.
    pub(super) fn take(
        &mut self,
        units: f64,
        quota: QuotaShare,
        random: f64,
        now: Duration,
    ) -> bool {
        self.fill(quota, now);
        let holds_a_unit = quota.most() >= units;
        let is_admitted = if holds_a_unit {
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
            if !holds_a_unit {
                self.tokens = 0.0;
            }
        }
        is_admitted
    }

    /// The module takes units back that it has not admitted after all.
    pub(super) fn undo(&mut self, units: f64) {
        let of_refused = units.min(self.refused);
        self.refused -= of_refused;
        self.tokens += (units - of_refused) * self.last_cost;
    }
}
