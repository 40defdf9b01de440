//! What this proxy sees of the backends itself, folded from deliveries that begin and end.

use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

use bitcode::{Decode, Encode};
use fnv::FnvHasher;

/// A backend's name in summaries: the same at every proxy. Two of some hundreds that fall together are rare, and cost
/// each other some weight, no more.
pub type BackendKey = u32;

/// The number by which all proxies name a backend.
pub fn backend_key(id: &str) -> BackendKey {
    let mut hash = FnvHasher::default();
    hash.write(id.as_bytes());
    (hash.finish() ^ hash.finish() >> 32) as BackendKey
}

/// One proxy's summary of one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Observation {
    /// Deliveries out.
    pub out: u16,
    /// Usual time of its answers, or how long one has been waited for, if that is longer, in milliseconds; 0: neither.
    pub usual_ms: u16,
    /// Of 255 deliveries that ended of late, so many were turned away, and so many failed.
    pub full: u8,
    /// The part of attempts that failed, of 255.
    pub failed: u8,
}

/// How a delivery ended, as far as it tells of the backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DeliveryEnd {
    /// The backend has answered.
    Answered,
    /// It had no room.
    Full,
    /// It failed.
    Failed,
    /// It was called off here: that tells nothing.
    Cancelled,
}

/// What was seen fades over this.
const FADE_SPAN_S: f64 = 1.0;
/// Below this part of a delivery nothing is left of what was seen.
const NEGLIGIBLE: f64 = 0.05;
/// Ends that count as none beside those seen: one failure of one is not all failed.
const PRIOR_ENDS: f64 = 2.0;

#[derive(Clone, Debug, Default)]
struct RecentDeliveries {
    ended: f64,
    full: f64,
    failed: f64,
    answered: f64,
    took: f64,
    at: Duration,
    /// When those out began.
    begun: Vec<Duration>,
}

impl RecentDeliveries {
    fn fade(&mut self, now: Duration) {
        let keep = (-now.saturating_sub(self.at).as_secs_f64() / FADE_SPAN_S).exp();
        for sum in [
            &mut self.ended,
            &mut self.full,
            &mut self.failed,
            &mut self.answered,
            &mut self.took,
        ] {
            *sum *= keep;
        }
        self.at = now;
    }
}

/// What was observed of each backend.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    seen: HashMap<BackendKey, RecentDeliveries>,
}

impl Observer {
    /// An attempt goes to a backend.
    pub fn begin(&mut self, backend: BackendKey, now: Duration) {
        let seen = self.seen.entry(backend).or_default();
        seen.fade(now);
        seen.begun.push(now);
    }

    /// One that `took` so long ended.
    pub fn end(&mut self, backend: BackendKey, end: DeliveryEnd, took: Duration, now: Duration) {
        let Some(seen) = self.seen.get_mut(&backend) else {
            return;
        };
        seen.fade(now);
        let began = now.saturating_sub(took);
        let nearest = (0..seen.begun.len()).min_by_key(|n| seen.begun[*n].abs_diff(began));
        nearest.map(|n| seen.begun.swap_remove(n));
        match end {
            DeliveryEnd::Cancelled => return,
            DeliveryEnd::Answered => {
                seen.answered += 1.0;
                seen.took += took.as_secs_f64();
            }
            DeliveryEnd::Full => seen.full += 1.0,
            DeliveryEnd::Failed => seen.failed += 1.0,
        }
        seen.ended += 1.0;
    }

    /// What there is to say of one now.
    pub fn observe(&mut self, backend: BackendKey, now: Duration) -> Observation {
        let Some(seen) = self.seen.get_mut(&backend) else {
            return Observation::default();
        };
        seen.fade(now);
        let part = |n: f64| (n / (seen.ended + PRIOR_ENDS) * 255.0) as u8;
        let usual = if seen.answered > NEGLIGIBLE {
            seen.took / seen.answered * 1000.0
        } else {
            0.0
        };
        let waited = seen
            .begun
            .iter()
            .min()
            .map_or(0, |b| now.saturating_sub(*b).as_millis()) as f64;
        let usual = usual.max(waited);
        Observation {
            out: seen.begun.len() as u16,
            usual_ms: usual.min(60_000.0) as u16,
            full: part(seen.full),
            failed: part(seen.failed),
        }
    }

    /// All of which there is anything to say; the others are forgotten.
    pub fn all(&mut self, now: Duration) -> Vec<(BackendKey, Observation)> {
        self.seen.values_mut().for_each(|s| s.fade(now));
        self.seen
            .retain(|_, s| !s.begun.is_empty() || s.ended > NEGLIGIBLE);
        let keys: Vec<BackendKey> = self.seen.keys().copied().collect();
        keys.into_iter()
            .map(|key| (key, self.observe(key, now)))
            .collect()
    }
}
