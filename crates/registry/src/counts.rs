//! The shared counts that the coordinator keeps: what each proxy holds and was asked for under each name, and the sums. Free
//! of I/O.
//!
//! A proxy says what it holds as a whole: said twice it changes nothing, and whoever takes the duty has all
//! counts as soon as each proxy has said its own. Who says something is told the sums. Of tenants that are asked
//! for as much as their quota or nearly so, all proxies are told: where there are many, most have not said a word of a
//! small tenant in the running slot, and would know nothing of the others.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use damsonbeam_control::messages::NamedCount;

/// A name's count outlives the longest window by far.
const KEEP: Duration = Duration::from_secs(20);
/// What is asked for is taken over this.
const SPAN: Duration = Duration::from_millis(1000);
/// All are told of a tenant that is asked for more than this part of its rate.
const HOT: f64 = 0.8;

/// What one proxy holds and was asked for.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    held: f64,
    asked: f64,
}

#[derive(Debug, Default)]
struct Count {
    /// By the proxy's life.
    holds: HashMap<u64, Held>,
    held: f64,
    asked: f64,
    last: Duration,
}

/// What a tenant is asked for, and until when all are told of it.
#[derive(Debug, Default)]
struct Asked {
    rate: f64,
    /// In the span that runs and in the last one.
    now: f64,
    before: f64,
    from: Duration,
}

#[derive(Debug, Default)]
pub struct SharedCounts {
    counts: HashMap<String, Count>,
    tenants: BTreeMap<String, Asked>,
    changed: BTreeSet<String>,
    swept: Duration,
}

impl SharedCounts {
    /// Tenants' rates, as the configuration has them.
    pub fn limit(&mut self, tenant: &str, rate: f64) {
        self.tenants.entry(tenant.to_owned()).or_default().rate = rate;
    }

    /// What a proxy's life holds and was asked for under a name; tells the sums over all lives.
    pub fn hold(&mut self, life: u64, count: &NamedCount, now: Duration) -> NamedCount {
        if now >= self.swept + KEEP / 4 {
            self.swept = now;
            self.counts.retain(|_, c| now < c.last + KEEP);
        }
        let NamedCount { name, held, asked } = count;
        let known = match self.counts.get_mut(name) {
            Some(known) => known,
            None => self.counts.entry(name.clone()).or_default(),
        };
        let before = known
            .holds
            .insert(
                life,
                Held {
                    held: *held,
                    asked: *asked,
                },
            )
            .unwrap_or_default();
        known.held += held - before.held;
        known.asked += asked - before.asked;
        known.last = now;
        let total = NamedCount {
            name: name.clone(),
            held: known.held,
            asked: known.asked,
        };
        let tenant = name.split_once('/').map_or(name.as_str(), |n| n.1);
        if let Some(t) = self.tenants.get_mut(tenant) {
            t.add((asked - before.asked).max(0.0), now);
            if t.is_hot(now) {
                self.changed.insert(name.clone());
            }
        }
        total
    }

    /// Totals that all proxies are to be told now.
    pub fn news(&mut self) -> Vec<NamedCount> {
        let names = std::mem::take(&mut self.changed);
        let total = |name: String| {
            let count = self.counts.get(&name)?;
            Some(NamedCount {
                name,
                held: count.held,
                asked: count.asked,
            })
        };
        names.into_iter().filter_map(total).collect()
    }

    pub fn clear(&mut self) {
        self.counts.clear();
        self.changed.clear();
    }
}

impl Asked {
    fn add(&mut self, units: f64, now: Duration) {
        if now >= self.from + SPAN {
            self.before = if now < self.from + SPAN * 2 {
                self.now
            } else {
                0.0
            };
            (self.now, self.from) = (0.0, now);
        }
        self.now += units;
    }

    fn is_hot(&self, now: Duration) -> bool {
        let part = (now - self.from).as_secs_f64() / SPAN.as_secs_f64();
        let pace = (self.now + self.before * (1.0 - part).max(0.0)) / SPAN.as_secs_f64();
        self.rate > 0.0 && pace > HOT * self.rate
    }
}
