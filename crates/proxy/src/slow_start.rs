//! Cold backends: what all proxies together may send one in a second, and this one's part of it.
//!
//! A cold backend is shown to the decision module while a turn for it is due, and hidden once it is used. Turns
//! come at the backend's own rate over the number of proxies, the first at a time by lot: in no second do all
//! proxies together send more than the rate and one each, and they hardly ever do that.

use std::collections::HashMap;
use std::time::Duration;

use damsonbeam::interface::TgtId;

use crate::quota::UNTOLD;

/// The list tells late how long it stays cold.
const LATE: Duration = Duration::from_millis(400);
/// Where nothing says what a cold backend bears, it gets one request in this time from all.
const LEAST: f64 = 1.0;

#[derive(Debug)]
struct Cold {
    until: Duration,
    rate: f64,
    next: Duration,
}

#[derive(Debug)]
pub struct SlowStart {
    proxies: f64,
    cold: HashMap<TgtId, Cold>,
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart {
            proxies: f64::from(UNTOLD),
            cold: HashMap::new(),
        }
    }
}

impl SlowStart {
    pub fn share(&mut self, proxies: u32) {
        self.proxies = f64::from(proxies.max(1));
    }

    fn apart(&self, rate: f64) -> Duration {
        Duration::from_secs_f64(self.proxies / rate.max(LEAST))
    }

    /// It stays cold for `left` more and bears `rate` requests a second; `lot` from 0 to 1.
    pub fn learn(&mut self, tgt: TgtId, left: Duration, rate: f64, lot: f64, now: Duration) {
        if left.is_zero() {
            return;
        }
        let (until, first) = (now + left + LATE, now + self.apart(rate).mul_f64(lot));
        let c = self.cold.entry(tgt).or_insert(Cold {
            until,
            rate,
            next: first,
        });
        (c.until, c.rate) = (c.until.max(until), rate);
    }

    pub fn forget(&mut self, now: Duration) {
        self.cold.retain(|_, c| now < c.until);
    }

    pub fn is_cold(&self, tgt: TgtId, now: Duration) -> bool {
        self.cold.get(&tgt).is_some_and(|c| now < c.until)
    }

    /// Whether a request may go to it now.
    pub fn open(&self, tgt: TgtId, now: Duration) -> bool {
        self.cold
            .get(&tgt)
            .is_none_or(|c| now >= c.until || now >= c.next)
    }

    /// One goes to it, if it may.
    pub fn send(&mut self, tgt: TgtId, now: Duration) -> bool {
        let Some(rate) = self
            .cold
            .get(&tgt)
            .filter(|c| now < c.until)
            .map(|c| c.rate)
        else {
            return true;
        };
        let apart = self.apart(rate);
        let c = self.cold.get_mut(&tgt).expect("seen above");
        if now < c.next {
            return false;
        }
        c.next = now + apart;
        true
    }

    /// Cold ones, and whether each may be sent to.
    pub fn all(&self, now: Duration) -> impl Iterator<Item = (TgtId, bool)> + '_ {
        self.cold
            .keys()
            .map(move |tgt| (*tgt, self.open(*tgt, now)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    /// `proxies` proxies that send whenever they may; the most that a cold backend gets in any second.
    fn most(proxies: u32, rate: f64) -> usize {
        let mut rng = SmallRng::seed_from_u64(7);
        let tgt = TgtId(1);
        let mut all: Vec<SlowStart> = (0..proxies)
            .map(|_| {
                let mut t = SlowStart::default();
                t.share(proxies);
                t.learn(
                    tgt,
                    Duration::from_secs(3),
                    rate,
                    rng.random(),
                    Duration::ZERO,
                );
                t
            })
            .collect();
        let mut sent = Vec::new();
        for ms in 0..3300 {
            for t in &mut all {
                if t.send(tgt, Duration::from_millis(ms)) {
                    sent.push(ms);
                }
            }
        }
        sent.iter()
            .map(|from| {
                sent.iter()
                    .filter(|ms| (*from..from + 1000).contains(*ms))
                    .count()
            })
            .max()
            .unwrap_or(0)
    }

    #[test]
    fn eager_proxies_together_keep_a_cold_backends_bound() {
        // The bound: the rate by half again, and 5 (8 for the large fleet).
        assert!(most(10, 20.0) <= 35, "{}", most(10, 20.0));
        assert!(most(12, 6.7) <= 15, "{}", most(12, 6.7));
        assert!(most(69, 20.0) <= 38, "{}", most(69, 20.0));
    }
}
