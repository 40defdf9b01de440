//! The shared counts that the clerk keeps: units by name, each kept for a while. Free of I/O.

use std::collections::HashMap;
use std::time::Duration;

/// A name's count outlives the longest window by far.
const KEEP: Duration = Duration::from_secs(20);

#[derive(Debug, Default)]
pub struct Tally {
    counts: HashMap<String, (f64, Duration)>,
    swept: Duration,
}

impl Tally {
    /// Adds, and tells the total.
    pub fn add(&mut self, name: String, add: f64, now: Duration) -> f64 {
        if now >= self.swept + KEEP / 4 {
            self.swept = now;
            self.counts.retain(|_, c| now < c.1 + KEEP);
        }
        let count = self.counts.entry(name).or_insert((0.0, now));
        count.0 += add;
        count.1 = now;
        count.0
    }

    pub fn clear(&mut self) {
        self.counts.clear();
    }
}
