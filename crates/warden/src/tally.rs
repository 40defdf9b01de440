//! The shared counts that the clerk keeps: what each porter holds under each name, and the sum. Free of I/O.
//!
//! A porter says what it holds as a whole: said twice it changes nothing, and whoever takes the duty has all
//! counts as soon as each porter has said its own.

use std::collections::HashMap;
use std::time::Duration;

/// A name's count outlives the longest window by far.
const KEEP: Duration = Duration::from_secs(20);

#[derive(Debug, Default)]
struct Count {
    /// By the porter's life.
    holds: HashMap<u64, f64>,
    sum: f64,
    last: Duration,
}

#[derive(Debug, Default)]
pub struct Tally {
    counts: HashMap<String, Count>,
    swept: Duration,
}

impl Tally {
    /// What a porter's life holds under a name; tells the sum over all lives.
    pub fn hold(&mut self, name: &str, life: u64, units: f64, now: Duration) -> f64 {
        if now >= self.swept + KEEP / 4 {
            self.swept = now;
            self.counts.retain(|_, c| now < c.last + KEEP);
        }
        let count = match self.counts.get_mut(name) {
            Some(count) => count,
            None => self.counts.entry(name.to_owned()).or_default(),
        };
        let before = count.holds.insert(life, units).unwrap_or(0.0);
        (count.sum, count.last) = (count.sum + units - before, now);
        count.sum
    }

    pub fn clear(&mut self) {
        self.counts.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_said_twice_counts_once_and_a_new_life_adds_to_its_last() {
        let mut t = Tally::default();
        let at = Duration::from_secs(1);
        assert_eq!(t.hold("1/x", 7, 3.0, at), 3.0);
        assert_eq!(t.hold("1/x", 7, 3.0, at), 3.0);
        assert_eq!(t.hold("1/x", 8, 2.0, at), 5.0);
        assert_eq!(t.hold("1/x", 7, 2.0, at), 4.0);
    }
}
