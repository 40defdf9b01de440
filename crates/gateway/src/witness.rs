//! What the other gateways say they added to the counter, held against what the counter answers: the part
//! of a quota's count that a split or a lost store hides. No I/O; the module actor carries it out.
//!
//! Each gateway reports, every [`EVERY`], the totals it has added under each counter name that changed,
//! to its peers. When the counter answers a total for a name, the total is raised to what this gateway
//! and its peers are known to have added there, so the module counts what the counter lacks. In calm
//! times the reports trail the counter and change nothing; in a split each side learns the other's use.
//! Off unless the configuration sets `witness` (docs/counter-failure.md).

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::time::Duration;

use fnv::FnvHasher;

/// Reports go out this often.
pub const EVERY: Duration = Duration::from_millis(200);
/// A peer's report counts for this long: longer than any name lives on the counter.
const TRUST: Duration = Duration::from_secs(60);
/// The first byte of a report; the module's own datagrams are six bytes and never begin so in length.
pub const TAG: u8 = 0xd7;
/// One name's entry: its hash and the total added, as f32.
const ENTRY: usize = 12;

fn hash(name: &str) -> u64 {
    let mut h = FnvHasher::default();
    h.write(name.as_bytes());
    h.finish()
}

#[derive(Default)]
pub struct Witness {
    /// What this gateway added under each name (by hash), and the names changed since the last report.
    own: BTreeMap<u64, f64>,
    changed: BTreeSet<u64>,
    /// By peer and name: the total it reported, and when.
    peers: BTreeMap<(u32, u64), (f64, Duration)>,
}

impl Witness {
    pub fn added(&mut self, name: &str, add: f64) {
        let h = hash(name);
        *self.own.entry(h).or_default() += add;
        self.changed.insert(h);
    }

    /// Datagrams of `most` bytes at most with what changed since the last call.
    pub fn report(&mut self, most: usize) -> Vec<Vec<u8>> {
        let per = (most.saturating_sub(1) / ENTRY).max(1);
        let changed: Vec<u64> = std::mem::take(&mut self.changed).into_iter().collect();
        changed
            .chunks(per)
            .map(|names| {
                let mut bytes = vec![TAG];
                for h in names {
                    bytes.extend_from_slice(&h.to_be_bytes());
                    bytes.extend_from_slice(&(self.own.get(h).copied().unwrap_or(0.0) as f32).to_be_bytes());
                }
                bytes
            })
            .collect()
    }

    /// Takes a peer's report; false where the bytes are none.
    pub fn heard(&mut self, from: u32, bytes: &[u8], now: Duration) -> bool {
        let Some((&TAG, entries)) = bytes.split_first() else { return false };
        if entries.len() % ENTRY != 0 {
            return false;
        }
        for e in entries.chunks(ENTRY) {
            let h = u64::from_be_bytes(e[..8].try_into().expect("eight bytes"));
            let total = f32::from_be_bytes(e[8..].try_into().expect("four bytes"));
            self.peers.insert((from, h), (f64::from(total), now));
        }
        self.peers.retain(|_, (_, at)| now.saturating_sub(*at) < TRUST);
        true
    }

    /// The counter's total for a name, raised to what this gateway and its peers are known to have added.
    pub fn total(&self, name: &str, total: f64, now: Duration) -> f64 {
        let h = hash(name);
        let own = self.own.get(&h).copied().unwrap_or(0.0);
        let peers: f64 = self
            .peers
            .iter()
            .filter(|((_, n), (_, at))| *n == h && now.saturating_sub(*at) < TRUST)
            .map(|(_, (t, _))| t.max(0.0))
            .sum();
        total.max(own + peers)
    }

    /// Forgets names that no peer reported and that this gateway did not add to for a long time.
    pub fn forget(&mut self, keep: usize) {
        while self.own.len() > keep {
            let Some((&h, _)) = self.own.iter().next() else { break };
            self.own.remove(&h);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_split_counter_is_raised_to_what_the_peers_added() {
        let (mut a, mut b, now) = (Witness::default(), Witness::default(), Duration::from_secs(5));
        a.added("7/101", 4.0);
        b.added("7/101", 6.0);
        b.added("7/101", -1.0);
        for d in b.report(256) {
            assert!(a.heard(1, &d, now));
        }
        // a's counter (split off, empty but for a's own) says 4; b is known to have put 5 there.
        assert_eq!(a.total("7/101", 4.0, now), 9.0);
        // Where the counter knows more, it stands.
        assert_eq!(a.total("7/101", 12.0, now), 12.0);
        // Other names are not touched, and old reports stop counting.
        assert_eq!(a.total("8/101", 3.0, now), 3.0);
        assert_eq!(a.total("7/101", 4.0, now + TRUST), 4.0);
    }

    #[test]
    fn reports_fit_a_datagram_and_only_what_changed_goes() {
        let mut w = Witness::default();
        (0..50).for_each(|i| w.added(&format!("{i}/9"), 1.0));
        let sent = w.report(256);
        assert!(sent.iter().all(|d| d.len() <= 256 && d[0] == TAG));
        assert_eq!(sent.iter().map(|d| (d.len() - 1) / ENTRY).sum::<usize>(), 50);
        assert!(w.report(256).is_empty(), "nothing changed since");
        assert!(
            !w.heard(0, &[0, 1, 2, 3, 4, 5], Duration::ZERO),
            "the module's own datagrams are not reports"
        );
    }
}
