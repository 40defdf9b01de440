//! The shared count as seen from one proxy: what the clerk told, and the verdict's ground where it tells nothing.
//!
//! The decision module adds to a count and gets a total, always in time. The clerk's totals are exact while all
//! proxies are attached to it; while some are not, their parts of each quota are theirs, and its totals are
//! scaled up by that. Without a word of the clerk every other proxy is taken to use as much as this one: each
//! keeps to its part, and the sum over all keeps to the quota. A clerk that has just taken the duty knows
//! nothing of what was counted before: names first used here before its reign are reckoned in the same way.

use std::collections::HashMap;
use std::time::Duration;

/// A verdict waits so long for the clerk: the way there and back between regions, twice.
pub const WAIT: Duration = Duration::from_millis(250);
/// Unanswered calls in a row after which the clerk is not asked until it says something.
const DOUBT: u32 = 3;
/// Names are kept longer than any window.
const KEEP: Duration = Duration::from_secs(20);

#[derive(Debug)]
struct Own {
    units: f64,
    first: Duration,
    last: Duration,
}

#[derive(Debug)]
struct Asked {
    name: String,
    at: Duration,
}

/// What comes of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Count {
    /// The clerk is asked, by this number.
    Asked(u64),
    Told(f64),
}

#[derive(Debug)]
pub struct Toll {
    porters: f64,
    attached: f64,
    linked: bool,
    silent: u32,
    /// From when on the clerk's counts are whole.
    reign: Duration,
    own: HashMap<String, Own>,
    asked: HashMap<u64, Asked>,
    next: u64,
    swept: Duration,
}

impl Default for Toll {
    fn default() -> Self {
        let zero = Duration::ZERO;
        Toll {
            porters: 1.0,
            attached: 1.0,
            linked: false,
            silent: 0,
            reign: zero,
            own: HashMap::new(),
            asked: HashMap::new(),
            next: 0,
            swept: zero,
        }
    }
}

impl Toll {
    /// What the clerk says of the proxies. One that it hears may be missing in what it told before.
    pub fn share(&mut self, porters: u32, attached: u32) {
        self.porters = f64::from(porters.max(1));
        self.attached = f64::from(attached.clamp(1, porters.max(1)));
        self.silent = 0;
    }

    /// There is a way to a clerk, or none.
    pub fn link(&mut self, linked: bool) {
        (self.linked, self.silent) = (linked, 0);
    }

    fn alone(&self, name: &str) -> f64 {
        self.own.get(name).map_or(0.0, |o| o.units) * self.porters
    }

    pub fn count(&mut self, name: &str, add: f64, now: Duration) -> Count {
        if now >= self.swept + KEEP / 4 {
            self.swept = now;
            self.own.retain(|_, o| now < o.last + KEEP);
        }
        let own = self.own.entry(name.to_owned()).or_insert(Own { units: 0.0, first: now, last: now });
        (own.units, own.last) = ((own.units + add).max(0.0), now);
        if !self.linked || self.silent >= DOUBT {
            return Count::Told(self.alone(name));
        }
        self.next += 1;
        self.asked.insert(self.next, Asked { name: name.to_owned(), at: now });
        Count::Asked(self.next)
    }

    /// The clerk answered; its reign has lasted for `reign`.
    pub fn told(&mut self, of: &[(u64, f64)], reign: Duration, now: Duration) -> Vec<(u64, f64)> {
        self.silent = 0;
        self.reign = now.saturating_sub(reign);
        let mut out = Vec::new();
        for (no, total) in of {
            let Some(asked) = self.asked.remove(no) else { continue };
            let total = total * (self.porters / self.attached).max(1.0);
            let before = self.own.get(&asked.name).is_some_and(|o| o.first < self.reign);
            out.push((*no, if before { total.max(self.alone(&asked.name)) } else { total }));
        }
        out
    }

    /// Calls that have waited long enough.
    pub fn overdue(&mut self, now: Duration) -> Vec<(u64, f64)> {
        let late = self.asked.iter().filter(|(_, a)| !self.linked || now >= a.at + WAIT).map(|(no, _)| *no);
        let late: Vec<u64> = late.collect();
        if !late.is_empty() && self.linked {
            self.silent += 1;
        }
        let late = late.into_iter().filter_map(|no| Some((no, self.asked.remove(&no)?.name)));
        let late: Vec<(u64, String)> = late.collect();
        late.into_iter().map(|(no, name)| (no, self.alone(&name))).collect()
    }

    pub fn waits(&self) -> bool {
        !self.asked.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn asked(t: &mut Toll, name: &str, now: u64) -> u64 {
        match t.count(name, 1.0, at(now)) {
            Count::Asked(no) => no,
            told => panic!("not asked: {told:?}"),
        }
    }

    #[test]
    fn without_a_clerk_each_proxy_keeps_to_its_part() {
        let mut t = Toll::default();
        t.share(10, 10);
        assert_eq!(t.count("1/x", 1.0, at(0)), Count::Told(10.0));
        assert_eq!(t.count("1/x", 1.0, at(1)), Count::Told(20.0));
        // One that was refused and undone is not held against it.
        assert_eq!(t.count("1/x", -1.0, at(2)), Count::Told(10.0));
    }

    #[test]
    fn a_clerk_that_falls_silent_is_waited_for_a_few_times_only_until_it_speaks() {
        let mut t = Toll::default();
        t.share(4, 4);
        t.link(true);
        for n in 0..3 {
            let no = asked(&mut t, "1/x", n * 300);
            assert!(t.overdue(at(n * 300 + 100)).is_empty());
            assert_eq!(t.overdue(at(n * 300 + 250)), vec![(no, 4.0 * (n + 1) as f64)]);
        }
        assert_eq!(t.count("1/x", 1.0, at(1000)), Count::Told(16.0));
        t.share(4, 4);
        assert!(matches!(t.count("2/x", 1.0, at(1100)), Count::Asked(_)));
    }

    #[test]
    fn absent_proxies_keep_their_parts_and_an_emptied_clerk_brings_no_second_burst() {
        let mut t = Toll::default();
        t.link(true);
        t.share(10, 8);
        let no = asked(&mut t, "5/x", 4000);
        assert_eq!(t.told(&[(no, 40.0)], at(3000), at(4100)), vec![(no, 50.0)]);
        // A new clerk, its reign 100 ms old, has counted nothing of this slot.
        t.share(10, 10);
        let no = asked(&mut t, "5/x", 4400);
        assert_eq!(t.told(&[(no, 1.0)], at(100), at(4500)), vec![(no, 20.0)]);
        // A slot that began under it is its own.
        let no = asked(&mut t, "6/x", 4600);
        assert_eq!(t.told(&[(no, 1.0)], at(300), at(4700)), vec![(no, 1.0)]);
    }
}
