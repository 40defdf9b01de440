//! What the other gateways say they admitted: the part of a quota's count that a split, a lost store or a
//! silent counter hides. No I/O; the module actor carries it out.
//!
//! Every [`REPORT_INTERVAL`] a gateway reports to its peers what it has admitted under each counter name that changed,
//! whether or not the counter was asked about it. What the peers report is handed to the module: as a lower
//! bound of the others' use, and, while every peer is heard, as all of it up to the oldest report. In calm
//! times the reports trail the counter and change nothing. Off unless the configuration sets `witness`
//! (docs/counter-failure.md).

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::Hasher;
use std::time::Duration;

use damsonbeam::interface::{Admitted, GatewayId};
use fnv::FnvHasher;

/// Reports go out this often.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// A changed name is reported so many times: datagrams get lost.
const REPORT_REPEATS: u8 = 3;
/// Who was not heard for this long is silent: as many reports in a row are seldom lost.
const SILENCE_TIMEOUT: Duration = REPORT_INTERVAL.saturating_mul(REPORT_REPEATS as u32);
/// A peer's report counts for this long: longer than any name lives on the counter.
const REPORT_LIFETIME: Duration = Duration::from_secs(60);
/// Names are looked through for forgotten ones this often.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// The first byte of a report; the module's own datagrams are six bytes, and reports never are.
pub const REPORT_TAG: u8 = 0xd8;
/// One name's entry: its hash and the units admitted, as f32.
const ENTRY_BYTES: usize = 12;

fn hash(name: &str) -> u64 {
    let mut h = FnvHasher::default();
    h.write(name.as_bytes());
    h.finish()
}

/// What the other gateways say they admitted, and what was reported to them.
#[derive(Default)]
pub struct PeerAdmissions {
    /// By name's hash: what was reported last and how many times it still has to go.
    own: HashMap<u64, (f32, u8)>,
    /// By name's hash and peer: what it reported, and when.
    peers: HashMap<u64, BTreeMap<u32, (f64, Duration)>>,
    heard: BTreeMap<u32, Duration>,
    swept: Duration,
}

impl PeerAdmissions {
    /// Datagrams of `max_bytes` bytes at most with what changed of late; one at least, for silence tells too.
    pub fn report(&mut self, admitted: &[Admitted], max_bytes: usize) -> Vec<Vec<u8>> {
        let (mut news, mut named) = (Vec::new(), HashSet::new());
        for a in admitted {
            let (h, units) = (hash(&a.name), a.units as f32);
            named.insert(h);
            let own = self.own.entry(h).or_insert((0.0, 0));
            if own.0 != units {
                *own = (units, REPORT_REPEATS);
            }
            if own.1 > 0 {
                own.1 -= 1;
                news.push((h, units));
            }
        }
        // A name that is asked about no more has left every window.
        self.own.retain(|h, _| named.contains(h));
        let per = (max_bytes.saturating_sub(1) / ENTRY_BYTES).max(1);
        let entry = |(h, units): &(u64, f32)| [&h.to_be_bytes()[..], &units.to_be_bytes()].concat();
        let datagram = |news: &[(u64, f32)]| {
            std::iter::once(REPORT_TAG)
                .chain(news.iter().flat_map(entry))
                .collect()
        };
        if news.is_empty() {
            vec![vec![REPORT_TAG]]
        } else {
            news.chunks(per).map(datagram).collect()
        }
    }

    /// Takes a peer's report; false where the bytes are none.
    pub fn record_report(&mut self, from: u32, bytes: &[u8], now: Duration) -> bool {
        let Some((&REPORT_TAG, entries)) = bytes.split_first() else {
            return false;
        };
        if entries.len() % ENTRY_BYTES != 0 {
            return false;
        }
        for e in entries.chunks(ENTRY_BYTES) {
            let (Ok(name), Ok(units)) = (e[..8].try_into(), e[8..].try_into()) else {
                continue;
            };
            let h = u64::from_be_bytes(name);
            let units = f64::from(f32::from_be_bytes(units));
            if units.is_finite() && units >= 0.0 {
                self.peers.entry(h).or_default().insert(from, (units, now));
            }
        }
        self.heard.insert(from, now);
        if now >= self.swept + SWEEP_INTERVAL {
            self.swept = now;
            let fresh = |told: &BTreeMap<u32, (f64, Duration)>| {
                told.values().any(|(_, at)| now < *at + REPORT_LIFETIME)
            };
            self.peers.retain(|_, told| fresh(told));
        }
        true
    }

    /// What the peers say they admitted under a name.
    pub fn admitted_by_peers(&self, name: &str, now: Duration) -> f64 {
        let told = self
            .peers
            .get(&hash(name))
            .into_iter()
            .flat_map(BTreeMap::values);
        told.filter(|(_, at)| now < *at + REPORT_LIFETIME)
            .map(|(units, _)| units)
            .sum()
    }

    /// Up to when every one of these peers has told what it admitted; none where one is silent.
    pub fn reported_until(&self, peers: &[GatewayId], now: Duration) -> Option<Duration> {
        let oldest = peers
            .iter()
            .map(|p| self.heard.get(&p.0).copied().unwrap_or_default())
            .min()?;
        (now < oldest + SILENCE_TIMEOUT).then_some(oldest)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use damsonbeam::interface::CustomerId;

    fn admitted(name: &str, units: f64) -> Admitted {
        Admitted {
            customer: CustomerId("101".into()),
            slot: 7,
            name: name.into(),
            units,
        }
    }

    fn s(n: u64) -> Duration {
        Duration::from_secs(n)
    }

    #[test]
    fn what_the_peers_admitted_is_summed_and_old_reports_stop_counting() {
        let (mut a, mut b, mut c) = (
            PeerAdmissions::default(),
            PeerAdmissions::default(),
            PeerAdmissions::default(),
        );
        for (n, (w, units)) in [(&mut b, 5.0), (&mut c, 2.5)].into_iter().enumerate() {
            for d in w.report(&[admitted("7/101", units)], 256) {
                assert!(a.record_report(n as u32 + 1, &d, s(5)));
            }
        }
        assert_eq!(a.admitted_by_peers("7/101", s(5)), 7.5);
        assert_eq!(a.admitted_by_peers("8/101", s(5)), 0.0, "another name");
        // Said anew, it takes the place of what was said: an invocation was taken back.
        b.report(&[admitted("7/101", 4.0)], 256)
            .iter()
            .for_each(|d| assert!(a.record_report(1, d, s(6))));
        assert_eq!(a.admitted_by_peers("7/101", s(6)), 6.5);
        assert_eq!(a.admitted_by_peers("7/101", s(5) + REPORT_LIFETIME), 4.0);
        let garbled = [
            &[REPORT_TAG][..],
            &7u64.to_be_bytes(),
            &f32::NAN.to_be_bytes(),
        ]
        .concat();
        assert!(a.record_report(1, &garbled, s(6)));
        assert_eq!(a.admitted_by_peers("7/101", s(6)), 6.5, "no number");
    }

    #[test]
    fn all_have_told_only_while_each_peer_is_heard() {
        let (mut w, peers) = (PeerAdmissions::default(), [GatewayId(1), GatewayId(2)]);
        assert_eq!(w.reported_until(&peers, s(1)), None);
        w.record_report(1, &[REPORT_TAG], s(1));
        assert_eq!(w.reported_until(&peers, s(1)), None, "one was never heard");
        w.record_report(2, &[REPORT_TAG], s(1) + REPORT_INTERVAL);
        assert_eq!(
            w.reported_until(&peers, s(1) + REPORT_INTERVAL),
            Some(s(1)),
            "up to the older word"
        );
        assert_eq!(
            w.reported_until(&peers, s(1) + SILENCE_TIMEOUT),
            None,
            "one has fallen silent"
        );
        assert_eq!(
            w.reported_until(&[], s(1)),
            None,
            "a lone gateway has nobody to hear"
        );
    }

    #[test]
    fn reports_fit_a_datagram_are_repeated_and_end() {
        let mut w = PeerAdmissions::default();
        let all: Vec<_> = (0..50).map(|i| admitted(&format!("{i}/9"), 1.0)).collect();
        for _ in 0..REPORT_REPEATS {
            let sent = w.report(&all, 256);
            assert!(sent.iter().all(|d| d.len() <= 256 && d[0] == REPORT_TAG));
            assert_eq!(
                sent.iter()
                    .map(|d| (d.len() - 1) / ENTRY_BYTES)
                    .sum::<usize>(),
                50
            );
        }
        assert_eq!(w.report(&all, 256), [[REPORT_TAG]], "nothing changed since");
        assert!(
            !w.record_report(0, &[0, 1, 2, 3, 4, 5], s(0)),
            "the module's own datagrams are not reports"
        );
    }
}
