//! What is told of a backend as a factor on its weight, and nobody rushes: told load only ever takes weight away, within
//! a bound, at once; what was taken comes back slowly. A backend that all hear is quiet keeps its own weight and no
//! more, so the most that it can get of all is its fair part over the bound.

use std::collections::HashMap;
use std::time::Duration;

use crate::observation::{BackendKey, Observation};
use crate::summaries::{BackendView, Opinion};

/// The least that is left of a weight.
pub const MIN_FACTOR: f64 = 0.25;
/// What was taken comes back by this part of the whole in a second.
const RECOVERY_PER_S: f64 = 0.25;
/// Load of a backend beside the mean of all from which on weight is taken: chance makes more than this difference.
const OVERLOAD_RATIO: f64 = 2.0;
/// Answer times beside the middle of all, likewise.
const SLOW_RATIO: f64 = 2.0;
/// Of what fewer proxies than this say of failures, none is believed: one's bad link condemns nobody.
const MIN_WITNESSES: usize = 2;
/// Factors that differ by less are the same: each change is told to the modules.
pub const MIN_CHANGE: f64 = 0.1;

/// A backend as this proxy knows it from all sides.
#[derive(Clone, Debug, Default)]
pub struct BackendLoad {
    /// Attempts that it takes at once.
    pub slots: f64,
    /// What was observed here.
    pub own: Observation,
    /// What the others have told.
    pub told: BackendView,
}

impl BackendLoad {
    /// Deliveries out, of all that is known, by slot.
    fn per_slot(&self) -> f64 {
        (f64::from(self.own.out) + self.told.out) / self.slots.max(1.0)
    }

    /// The weighted mean of all known usual answer times; 0: nobody knows one.
    fn usual_ms(&self) -> f64 {
        let told = self.told.opinions.iter().filter(|o| o.usual_ms > 0.0);
        let (sum, weight) = told.fold((0.0, 0.0), |(sum, weight), o| {
            (sum + o.usual_ms * o.weight, weight + o.weight)
        });
        let own = if self.own.usual_ms > 0 { 1.0 } else { 0.0 };
        (sum + f64::from(self.own.usual_ms) * own) / (weight + own).max(1e-9)
    }

    /// The part of deliveries that it turns away or fails, as most see it.
    fn refused_part(&self) -> f64 {
        let seen = self.own != Observation::default();
        let own = seen.then(|| Opinion::of(&self.own, 1.0));
        let opinions: Vec<&Opinion> = self.told.opinions.iter().chain(&own).collect();
        let full = weighted_median(&opinions, |o| o.full);
        let failed = weighted_median(&opinions, |o| o.failed);
        full + if opinions.len() >= MIN_WITNESSES {
            failed
        } else {
            0.0
        }
    }
}

/// What most of those who have seen a backend lately say of one thing; each weighs by age.
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

/// What is usual among the backends of a service, by which each is measured.
struct Usual {
    load_per_slot: f64,
    answer_ms: f64,
}

impl Usual {
    fn of(all: &HashMap<BackendKey, BackendLoad>) -> Self {
        let loads: f64 = all.values().map(BackendLoad::per_slot).sum();
        let mut times: Vec<f64> = all
            .values()
            .map(BackendLoad::usual_ms)
            .filter(|ms| *ms > 0.0)
            .collect();
        times.sort_by(f64::total_cmp);
        Usual {
            load_per_slot: loads / all.len().max(1) as f64,
            answer_ms: times.get(times.len() / 2).copied().unwrap_or(0.0),
        }
    }

    /// The factor that a backend should have by what is known now.
    fn factor(&self, backend: &BackendLoad) -> f64 {
        let load =
            (OVERLOAD_RATIO * (self.load_per_slot + 1.0) / (backend.per_slot() + 1.0)).min(1.0);
        let slow = match self.answer_ms > 0.0 {
            true => (SLOW_RATIO * self.answer_ms / backend.usual_ms().max(1e-9)).min(1.0),
            false => 1.0,
        };
        (load * slow * (1.0 - backend.refused_part()).max(0.0)).clamp(MIN_FACTOR, 1.0)
    }
}

/// The factors on the weights of backends.
#[derive(Clone, Debug, Default)]
pub struct WeightFactors {
    current: HashMap<BackendKey, f64>,
    /// As told to the decision modules last.
    published: HashMap<BackendKey, f64>,
    at: Duration,
}

impl WeightFactors {
    /// The factors anew, of all backends of one service; whether any differs by enough to be told.
    pub fn update(&mut self, all: &HashMap<BackendKey, BackendLoad>, now: Duration) -> bool {
        let recovered = now.saturating_sub(self.at).as_secs_f64() * RECOVERY_PER_S;
        self.at = now;
        self.current.retain(|key, _| all.contains_key(key));
        self.published.retain(|key, _| all.contains_key(key));
        let usual = Usual::of(all);
        for (key, backend) in all {
            let target = usual.factor(backend);
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
            .any(|(key, factor)| self.is_news(*key, *factor));
        if changed {
            self.published = self.current.clone();
        }
        changed
    }

    fn is_news(&self, key: BackendKey, factor: f64) -> bool {
        let published = self.factor(key);
        (factor - published).abs() >= MIN_CHANGE || (factor >= 1.0) != (published >= 1.0)
    }

    /// The factor of a backend, as the decision modules know it.
    pub fn factor(&self, backend: BackendKey) -> f64 {
        self.published.get(&backend).copied().unwrap_or(1.0)
    }
}
