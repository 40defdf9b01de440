//! What is known of each backend, from whom, how old. Two tables that hear the same in whatever order, however often,
//! know the same.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bitcode::{Decode, Encode};

use crate::observation::{BackendKey, Observation};

/// A proxy's life, chosen by chance at its start.
pub type Origin = u32;

/// A summary of this age is nobody's any more; of half of it, it is passed on no further.
pub const EXPIRY: Duration = Duration::from_millis(3000);
/// A summary is forwarded up to this age.
pub const FORWARD_AGE: Duration = Duration::from_millis(1500);
/// A summary weighs half after this.
const HALF_LIFE_S: f64 = 0.6;
/// Times that one that is news here is passed on.
const MAX_FORWARDS: u8 = 3;
/// Summaries of one backend kept, the youngest.
const MAX_ORIGINS: usize = 16;
/// What no proxy can truly say.
const MAX_PLAUSIBLE_OUT: u16 = 5_000;

/// A summary as it goes from one to another: its age is told, for clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Summary {
    /// Who made the observation.
    pub origin: Origin,
    /// Counts up at its origin with each summary.
    pub number: u32,
    /// The backend.
    pub backend: BackendKey,
    /// Since the observation.
    pub age_ms: u16,
    /// What was observed.
    pub observation: Observation,
}

/// What one proxy observed last of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The observation's number.
    pub number: u32,
    /// When it was true, by this process's clock.
    pub at: Duration,
    /// What was observed.
    pub observation: Observation,
    forwards_left: u8,
}

/// What the other proxies have observed.
#[derive(Clone, Debug, Default)]
pub struct SummaryTable {
    all: HashMap<BackendKey, BTreeMap<Origin, Entry>>,
}

/// What all others together say of a backend.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendView {
    /// Deliveries that the others have out.
    pub out: f64,
    /// How many tell of it, and the age of the oldest that counts.
    pub origins: usize,
    /// The age of the oldest of them.
    pub oldest: Duration,
    /// One for each proxy that has told.
    pub opinions: Vec<Opinion>,
}

/// What one proxy says of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Opinion {
    /// Usual answer time; 0: none is known.
    pub usual_ms: f64,
    /// Parts of deliveries that were turned away, and that failed.
    pub full: f64,
    /// The part of attempts that failed.
    pub failed: f64,
    /// By age: 1 for what is said just now.
    pub weight: f64,
}

impl Opinion {
    /// An observation, weighed.
    pub fn of(observation: &Observation, weight: f64) -> Self {
        let part = |of_255: u8| f64::from(of_255) / 255.0;
        Opinion {
            usual_ms: f64::from(observation.usual_ms),
            full: part(observation.full),
            failed: part(observation.failed),
            weight,
        }
    }
}

impl SummaryTable {
    /// Takes a summary in; says whether it was news. A later number of one origin takes an earlier one's place; of the same
    /// number the older telling stands, so that nothing grows young by going round.
    pub fn merge(&mut self, summary: &Summary, now: Duration) -> bool {
        let age = Duration::from_millis(summary.age_ms.into());
        if age >= EXPIRY || summary.observation.out > MAX_PLAUSIBLE_OUT {
            return false;
        }
        let (at, number, observation) =
            (now.saturating_sub(age), summary.number, summary.observation);
        let known = self.all.entry(summary.backend).or_default();
        let new = Entry {
            number,
            at,
            observation,
            forwards_left: MAX_FORWARDS,
        };
        match known.get_mut(&summary.origin) {
            // Numbers go round after 2^32.
            Some(k) if k.number != number && number.wrapping_sub(k.number) < u32::MAX / 2 => {
                *k = new
            }
            Some(k) => {
                if k.number == number {
                    k.at = k.at.min(at);
                }
                return false;
            }
            None => drop(known.insert(summary.origin, new)),
        }
        if known.len() > MAX_ORIGINS {
            let oldest = known
                .iter()
                .min_by_key(|(origin, k)| (k.at, **origin))
                .map(|k| *k.0);
            oldest.map(|o| known.remove(&o));
        }
        true
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Duration) {
        self.all.retain(|_, known| {
            known.retain(|_, k| now < k.at + EXPIRY);
            !known.is_empty()
        });
    }

    /// Forgets backends that are gone: an address that is used again is another backend.
    pub fn retain(&mut self, backends: &dyn Fn(BackendKey) -> bool) {
        self.all.retain(|mark, _| backends(*mark));
    }

    /// What all others have told of a backend.
    pub fn view(&self, backend: BackendKey, now: Duration) -> BackendView {
        let mut view = BackendView::default();
        for k in self.all.get(&backend).into_iter().flat_map(|k| k.values()) {
            let age = now.saturating_sub(k.at);
            if age >= EXPIRY {
                continue;
            }
            let weight = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE_S);
            view.out += f64::from(k.observation.out) * weight;
            view.origins += 1;
            view.oldest = view.oldest.max(age);
            view.opinions.push(Opinion::of(&k.observation, weight));
        }
        view
    }

    /// Up to `most` of what is news here and young enough to be passed on, the youngest first; each a few times.
    pub fn take_forwards(&mut self, most: usize, now: Duration) -> Vec<Summary> {
        let mut fresh: Vec<(Duration, BackendKey, Origin)> = Vec::new();
        for (mark, known) in &self.all {
            let due = known
                .iter()
                .filter(|(_, k)| k.forwards_left > 0 && now < k.at + FORWARD_AGE);
            fresh.extend(due.map(|(origin, k)| (k.at, *mark, *origin)));
        }
        fresh.sort_unstable_by(|a, b| b.cmp(a));
        fresh.truncate(most);
        fresh
            .into_iter()
            .filter_map(|(_, backend, origin)| self.forward(backend, origin, now))
            .collect()
    }

    fn forward(&mut self, backend: BackendKey, origin: Origin, now: Duration) -> Option<Summary> {
        let k = self.all.get_mut(&backend)?.get_mut(&origin)?;
        k.forwards_left -= 1;
        let age_ms = now.saturating_sub(k.at).as_millis() as u16;
        Some(Summary {
            origin,
            number: k.number,
            backend,
            age_ms,
            observation: k.observation,
        })
    }

    /// Observations that are kept.
    pub fn len(&self) -> usize {
        self.all.values().map(BTreeMap::len).sum()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// What is known, without what is only for passing on: to compare boards by.
    pub fn known(&self) -> BTreeMap<(BackendKey, Origin), (u32, Duration, Observation)> {
        let row =
            |m: &BackendKey, (o, k): (&Origin, &Entry)| ((*m, *o), (k.number, k.at, k.observation));
        self.all
            .iter()
            .flat_map(|(m, known)| known.iter().map(move |k| row(m, k)))
            .collect()
    }
}
