//! This proxy's own observations of the backends, aggregated from the begin and end of its attempts.

use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

use bitcode::{Decode, Encode};
use fnv::FnvHasher;

/// The hash that identifies a backend in summaries, the same at every proxy. Collisions are rare among some hundred
/// backends, and only cost the colliding backends some weight.
pub type BackendKey = u32;

/// Returns the key of a backend, which all proxies derive from its ID.
pub fn backend_key(id: &str) -> BackendKey {
    let mut hash = FnvHasher::default();
    hash.write(id.as_bytes());
    (hash.finish() ^ hash.finish() >> 32) as BackendKey
}

/// One proxy's summary of one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Observation {
    /// Attempts in progress.
    pub in_progress: u16,
    /// Mean response time, or the age of the oldest attempt in progress if that is longer, in milliseconds; 0 if there
    /// is neither.
    pub response_ms: u16,
    /// Share of recently ended attempts that the backend rejected because it was full, in units of 1/255.
    pub full: u8,
    /// Share of recently ended attempts that failed, in units of 1/255.
    pub failed: u8,
}

/// How an attempt ended, as far as that says something about the backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The backend answered.
    Answered,
    /// The backend rejected the attempt because it was full.
    Full,
    /// The attempt failed.
    Failed,
    /// This proxy cancelled the attempt, which says nothing about the backend.
    Cancelled,
}

/// Time constant of the exponential decay of observations, in seconds.
const DECAY_TIME_S: f64 = 1.0;
/// Decayed number of attempts below which observations are discarded.
const MIN_ATTEMPTS: f64 = 0.05;
/// Number of assumed successful attempts added to the ended ones when shares are computed, so that one failure in a
/// single attempt is not a share of 100 %.
const PRIOR_ATTEMPTS: f64 = 2.0;

/// Recent attempts at one backend. The counts of ended attempts and the sum of response times decay.
#[derive(Clone, Debug, Default)]
struct RecentAttempts {
    ended: f64,
    full: f64,
    failed: f64,
    answered: f64,
    /// Sum of the response times of answered attempts, in seconds.
    response_time_sum_s: f64,
    /// Time up to which the counts have decayed.
    decayed_at: Duration,
    /// Start times of the attempts in progress.
    in_progress: Vec<Duration>,
}

impl RecentAttempts {
    fn decay(&mut self, now: Duration) {
        let keep = (-now.saturating_sub(self.decayed_at).as_secs_f64() / DECAY_TIME_S).exp();
        for sum in [
            &mut self.ended,
            &mut self.full,
            &mut self.failed,
            &mut self.answered,
            &mut self.response_time_sum_s,
        ] {
            *sum *= keep;
        }
        self.decayed_at = now;
    }
}

/// The observations of all backends.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    by_backend: HashMap<BackendKey, RecentAttempts>,
}

impl Observer {
    /// Records the start of an attempt at a backend.
    pub fn begin(&mut self, backend: BackendKey, now: Duration) {
        let recent = self.by_backend.entry(backend).or_default();
        recent.decay(now);
        recent.in_progress.push(now);
    }

    /// Records the end of an attempt that took `took`. The attempt in progress with the nearest start time is removed.
    pub fn end(&mut self, backend: BackendKey, end: AttemptEnd, took: Duration, now: Duration) {
        let Some(recent) = self.by_backend.get_mut(&backend) else {
            return;
        };
        recent.decay(now);
        let began = now.saturating_sub(took);
        let nearest =
            (0..recent.in_progress.len()).min_by_key(|n| recent.in_progress[*n].abs_diff(began));
        nearest.map(|n| recent.in_progress.swap_remove(n));
        match end {
            AttemptEnd::Cancelled => return,
            AttemptEnd::Answered => {
                recent.answered += 1.0;
                recent.response_time_sum_s += took.as_secs_f64();
            }
            AttemptEnd::Full => recent.full += 1.0,
            AttemptEnd::Failed => recent.failed += 1.0,
        }
        recent.ended += 1.0;
    }

    /// Returns the current observation of a backend.
    pub fn observe(&mut self, backend: BackendKey, now: Duration) -> Observation {
        let Some(recent) = self.by_backend.get_mut(&backend) else {
            return Observation::default();
        };
        recent.decay(now);
        let share = |n: f64| (n / (recent.ended + PRIOR_ATTEMPTS) * 255.0) as u8;
        let mean_ms = if recent.answered > MIN_ATTEMPTS {
            recent.response_time_sum_s / recent.answered * 1000.0
        } else {
            0.0
        };
        let longest_wait_ms = recent
            .in_progress
            .iter()
            .min()
            .map_or(0, |began| now.saturating_sub(*began).as_millis())
            as f64;
        let response_ms = mean_ms.max(longest_wait_ms);
        Observation {
            in_progress: recent.in_progress.len() as u16,
            response_ms: response_ms.min(60_000.0) as u16,
            full: share(recent.full),
            failed: share(recent.failed),
        }
    }

    /// Returns the observations of all backends with recent attempts; removes the other backends.
    pub fn all(&mut self, now: Duration) -> Vec<(BackendKey, Observation)> {
        self.by_backend
            .values_mut()
            .for_each(|recent| recent.decay(now));
        self.by_backend
            .retain(|_, recent| !recent.in_progress.is_empty() || recent.ended > MIN_ATTEMPTS);
        let keys: Vec<BackendKey> = self.by_backend.keys().copied().collect();
        keys.into_iter()
            .map(|key| (key, self.observe(key, now)))
            .collect()
    }
}
