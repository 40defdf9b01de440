//! Factors on the weights of backends, computed from load reports without herding: a report can only lower a weight, at
//! once and at most to `MIN_FACTOR`, and the weight recovers slowly. A backend that all proxies report as idle keeps
//! its configured weight and gets no more, so its load can't exceed its fair share divided by `MIN_FACTOR`.

use std::collections::HashMap;
use std::time::Duration;

use crate::observation::{BackendKey, Observation};
use crate::summaries::{BackendView, Opinion};

/// The smallest factor.
pub const MIN_FACTOR: f64 = 0.25;
/// Recovery of a factor per second.
const RECOVERY_PER_S: f64 = 0.25;
/// Ratio of a backend's load to the mean load above which its factor is lowered. Smaller differences arise by chance.
const OVERLOAD_RATIO: f64 = 2.0;
/// Ratio of a backend's response time to the median above which its factor is lowered. Smaller differences arise
/// by chance.
const SLOW_RATIO: f64 = 2.0;
/// Number of observing proxies below which reported failures are ignored, because the failures of a single proxy may be
/// due to its network link.
const MIN_OBSERVERS: usize = 2;
/// Smallest change of a factor that is published, because each published change is sent to the decision modules.
pub const MIN_CHANGE: f64 = 0.1;

/// The load of a backend by own and reported observations.
#[derive(Clone, Debug, Default)]
pub struct BackendLoad {
    /// Number of attempts that the backend handles concurrently.
    pub slots: f64,
    /// The observation of this proxy.
    pub own: Observation,
    /// The observations of the other proxies.
    pub reported: BackendView,
}

impl BackendLoad {
    /// Returns the attempts in progress per slot, from all proxies.
    fn load_per_slot(&self) -> f64 {
        (f64::from(self.own.in_progress) + self.reported.in_progress) / self.slots.max(1.0)
    }

    /// Returns the weighted mean of all known response times in milliseconds; 0 if none is known.
    fn response_ms(&self) -> f64 {
        let reported = self
            .reported
            .opinions
            .iter()
            .filter(|o| o.response_ms > 0.0);
        let (sum, weight) = reported.fold((0.0, 0.0), |(sum, weight), o| {
            (sum + o.response_ms * o.weight, weight + o.weight)
        });
        let own = if self.own.response_ms > 0 { 1.0 } else { 0.0 };
        (sum + f64::from(self.own.response_ms) * own) / (weight + own).max(1e-9)
    }

    /// Returns the share of attempts that are rejected or fail, as the weighted median over the proxies.
    fn unsuccessful_share(&self) -> f64 {
        let seen = self.own != Observation::default();
        let own = seen.then(|| Opinion::from_observation(&self.own, 1.0));
        let opinions: Vec<&Opinion> = self.reported.opinions.iter().chain(&own).collect();
        let full = weighted_median(&opinions, |o| o.full);
        let failed = weighted_median(&opinions, |o| o.failed);
        full + if opinions.len() >= MIN_OBSERVERS {
            failed
        } else {
            0.0
        }
    }
}

/// Returns the median of a property over the opinions, weighted by age.
fn weighted_median(opinions: &[&Opinion], of: impl Fn(&Opinion) -> f64) -> f64 {
    let mut values: Vec<(f64, f64)> = opinions.iter().map(|o| (of(o), o.weight)).collect();
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = values.iter().map(|v| v.1).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    let found = values.iter().find(|v| {
        sum += v.1;
        sum >= half
    });
    found.map_or(0.0, |v| v.0)
}

/// The typical values of the backends of a service, with which each backend is compared.
struct Baseline {
    /// Mean load per slot.
    load_per_slot: f64,
    /// Median response time in milliseconds; 0 if none is known.
    response_ms: f64,
}

impl Baseline {
    fn from_backends(all: &HashMap<BackendKey, BackendLoad>) -> Self {
        let loads: f64 = all.values().map(BackendLoad::load_per_slot).sum();
        let mut times: Vec<f64> = all
            .values()
            .map(BackendLoad::response_ms)
            .filter(|ms| *ms > 0.0)
            .collect();
        times.sort_by(f64::total_cmp);
        Baseline {
            load_per_slot: loads / all.len().max(1) as f64,
            response_ms: times.get(times.len() / 2).copied().unwrap_or(0.0),
        }
    }

    /// Returns the factor that a backend should have by the current observations.
    fn factor(&self, backend: &BackendLoad) -> f64 {
        let load_factor = (OVERLOAD_RATIO * (self.load_per_slot + 1.0)
            / (backend.load_per_slot() + 1.0))
            .min(1.0);
        let slowness_factor = match self.response_ms > 0.0 {
            true => (SLOW_RATIO * self.response_ms / backend.response_ms().max(1e-9)).min(1.0),
            false => 1.0,
        };
        (load_factor * slowness_factor * (1.0 - backend.unsuccessful_share()).max(0.0))
            .clamp(MIN_FACTOR, 1.0)
    }
}

/// The factors on the weights of backends.
#[derive(Clone, Debug, Default)]
pub struct WeightFactors {
    current: HashMap<BackendKey, f64>,
    /// The factors last sent to the decision modules.
    published: HashMap<BackendKey, f64>,
    updated_at: Duration,
}

impl WeightFactors {
    /// Updates the factors of all backends of one service; returns whether any change is large enough to be published.
    pub fn update(&mut self, all: &HashMap<BackendKey, BackendLoad>, now: Duration) -> bool {
        let recovered = now.saturating_sub(self.updated_at).as_secs_f64() * RECOVERY_PER_S;
        self.updated_at = now;
        self.current.retain(|key, _| all.contains_key(key));
        self.published.retain(|key, _| all.contains_key(key));
        let baseline = Baseline::from_backends(all);
        for (key, backend) in all {
            let target = baseline.factor(backend);
            let factor = self.current.entry(*key).or_insert(1.0);
            *factor = if target < *factor {
                target
            } else {
                (*factor + recovered).min(target)
            };
        }
        let changed = self
            .current
            .iter()
            .any(|(key, factor)| self.is_significant(*key, *factor));
        if changed {
            self.published = self.current.clone();
        }
        changed
    }

    fn is_significant(&self, key: BackendKey, factor: f64) -> bool {
        let published = self.factor(key);
        (factor - published).abs() >= MIN_CHANGE || (factor >= 1.0) != (published >= 1.0)
    }

    /// Returns the published factor of a backend; 1 if there is none.
    pub fn factor(&self, backend: BackendKey) -> f64 {
        self.published.get(&backend).copied().unwrap_or(1.0)
    }
}
