//! The table of summaries by backend and origin. The merge is commutative and idempotent: two tables that receive the
//! same summaries, in any order and any number of times, have the same contents.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bitcode::{Decode, Encode};

use crate::observation::{BackendKey, Observation};

/// Identifies a proxy process; chosen at random when the process starts.
pub type Origin = u32;

/// Age at which a summary is removed.
pub const EXPIRY: Duration = Duration::from_millis(3000);
/// Age up to which a summary is forwarded: half of `EXPIRY`.
pub const FORWARD_AGE: Duration = Duration::from_millis(1500);
/// Time after which the weight of a summary halves, in seconds.
const HALF_LIFE_S: f64 = 0.6;
/// Maximum number of times that a new summary is forwarded.
const MAX_FORWARDS: u8 = 3;
/// Maximum number of summaries kept per backend; the oldest are removed.
const MAX_ORIGINS: usize = 16;
/// Largest plausible number of attempts in progress; summaries with more are ignored.
const MAX_PLAUSIBLE_IN_PROGRESS: u16 = 5_000;

/// A summary as sent between proxies. It carries its age instead of a time, because clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Summary {
    /// The proxy that made the observation.
    pub origin: Origin,
    /// Sequence number at the origin.
    pub number: u32,
    /// The backend.
    pub backend: BackendKey,
    /// Time since the observation, in milliseconds.
    pub age_ms: u16,
    /// What was observed.
    pub observation: Observation,
}

/// The latest observation of a backend by one proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Sequence number of the observation.
    pub number: u32,
    /// Time of the observation by the clock of this process.
    pub at: Duration,
    /// What was observed.
    pub observation: Observation,
    forwards_left: u8,
}

/// The observations of the other proxies.
#[derive(Clone, Debug, Default)]
pub struct SummaryTable {
    by_backend: HashMap<BackendKey, BTreeMap<Origin, Entry>>,
}

/// The observations of a backend by all other proxies together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendView {
    /// Attempts in progress from the other proxies, weighted by the age of the summaries.
    pub in_progress: f64,
    /// Number of proxies with a summary of the backend.
    pub origins: usize,
    /// Age of the oldest of these summaries.
    pub oldest: Duration,
    /// One opinion per proxy.
    pub opinions: Vec<Opinion>,
}

/// One proxy's opinion of a backend, with its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Opinion {
    /// Usual response time in milliseconds; 0 if unknown.
    pub response_ms: f64,
    /// Share of attempts rejected because the backend was full, from 0 to 1.
    pub full: f64,
    /// Share of failed attempts, from 0 to 1.
    pub failed: f64,
    /// Weight by age, 1 for a current observation.
    pub weight: f64,
}

impl Opinion {
    /// Converts an observation to an opinion with the given weight.
    pub fn from_observation(observation: &Observation, weight: f64) -> Self {
        let share = |of_255: u8| f64::from(of_255) / 255.0;
        Opinion {
            response_ms: f64::from(observation.response_ms),
            full: share(observation.full),
            failed: share(observation.failed),
            weight,
        }
    }
}

impl SummaryTable {
    /// Merges a summary; returns whether it was new. A later number of an origin replaces an earlier one. For the same
    /// number the earlier observation time is kept, so that forwarding can't make a summary younger.
    pub fn merge(&mut self, summary: &Summary, now: Duration) -> bool {
        let age = Duration::from_millis(summary.age_ms.into());
        if age >= EXPIRY || summary.observation.in_progress > MAX_PLAUSIBLE_IN_PROGRESS {
            return false;
        }
        let (at, number, observation) =
            (now.saturating_sub(age), summary.number, summary.observation);
        let known = self.by_backend.entry(summary.backend).or_default();
        let new = Entry {
            number,
            at,
            observation,
            forwards_left: MAX_FORWARDS,
        };
        match known.get_mut(&summary.origin) {
            // Sequence numbers wrap around after 2^32.
            Some(entry)
                if entry.number != number && number.wrapping_sub(entry.number) < u32::MAX / 2 =>
            {
                *entry = new
            }
            Some(entry) => {
                if entry.number == number {
                    entry.at = entry.at.min(at);
                }
                return false;
            }
            None => drop(known.insert(summary.origin, new)),
        }
        if known.len() > MAX_ORIGINS {
            let oldest = known
                .iter()
                .min_by_key(|(origin, entry)| (entry.at, **origin))
                .map(|oldest| *oldest.0);
            oldest.map(|origin| known.remove(&origin));
        }
        true
    }

    /// Removes expired summaries.
    pub fn expire(&mut self, now: Duration) {
        self.by_backend.retain(|_, known| {
            known.retain(|_, entry| now < entry.at + EXPIRY);
            !known.is_empty()
        });
    }

    /// Removes backends that no longer exist, because a reused address belongs to another backend.
    pub fn retain(&mut self, backends: &dyn Fn(BackendKey) -> bool) {
        self.by_backend.retain(|backend, _| backends(*backend));
    }

    /// Returns the combined observations of a backend by the other proxies.
    pub fn view(&self, backend: BackendKey, now: Duration) -> BackendView {
        let mut view = BackendView::default();
        for entry in self
            .by_backend
            .get(&backend)
            .into_iter()
            .flat_map(|known| known.values())
        {
            let age = now.saturating_sub(entry.at);
            if age >= EXPIRY {
                continue;
            }
            let weight = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE_S);
            view.in_progress += f64::from(entry.observation.in_progress) * weight;
            view.origins += 1;
            view.oldest = view.oldest.max(age);
            view.opinions
                .push(Opinion::from_observation(&entry.observation, weight));
        }
        view
    }

    /// Returns up to `limit` summaries to forward, the youngest first. Each summary is forwarded a limited number of
    /// times.
    pub fn take_forwards(&mut self, limit: usize, now: Duration) -> Vec<Summary> {
        let mut fresh: Vec<(Duration, BackendKey, Origin)> = Vec::new();
        for (backend, known) in &self.by_backend {
            let due = known
                .iter()
                .filter(|(_, entry)| entry.forwards_left > 0 && now < entry.at + FORWARD_AGE);
            fresh.extend(due.map(|(origin, entry)| (entry.at, *backend, *origin)));
        }
        fresh.sort_unstable_by(|a, b| b.cmp(a));
        fresh.truncate(limit);
        fresh
            .into_iter()
            .filter_map(|(_, backend, origin)| self.forward(backend, origin, now))
            .collect()
    }

    fn forward(&mut self, backend: BackendKey, origin: Origin, now: Duration) -> Option<Summary> {
        let entry = self.by_backend.get_mut(&backend)?.get_mut(&origin)?;
        entry.forwards_left -= 1;
        let age_ms = now.saturating_sub(entry.at).as_millis() as u16;
        Some(Summary {
            origin,
            number: entry.number,
            backend,
            age_ms,
            observation: entry.observation,
        })
    }

    /// Returns the number of observations.
    pub fn len(&self) -> usize {
        self.by_backend.values().map(BTreeMap::len).sum()
    }

    /// Returns whether there is no observation.
    pub fn is_empty(&self) -> bool {
        self.by_backend.is_empty()
    }

    /// Returns the contents without the forwarding state, to compare tables.
    pub fn known(&self) -> BTreeMap<(BackendKey, Origin), (u32, Duration, Observation)> {
        let row = |backend: &BackendKey, (origin, entry): (&Origin, &Entry)| {
            (
                (*backend, *origin),
                (entry.number, entry.at, entry.observation),
            )
        };
        self.by_backend
            .iter()
            .flat_map(|(backend, known)| known.iter().map(move |entry| row(backend, entry)))
            .collect()
    }
}
