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
pub const REPORT_REPEATS: u8 = 3;
/// Who was not heard for this long is silent: as many reports in a row are seldom lost.
pub const SILENCE_TIMEOUT: Duration = REPORT_INTERVAL.saturating_mul(REPORT_REPEATS as u32);
/// A peer's report counts for this long: longer than any name lives on the counter.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(60);
/// Names are looked through for forgotten ones this often.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// The first byte of a report; the module's own datagrams are six bytes, and reports never are.
pub const REPORT_TAG: u8 = 0xd8;
/// One name's entry: its hash and the units admitted, as f32.
pub const ENTRY_BYTES: usize = 12;

fn hash(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// What this gateway reports under a name.
#[derive(Default)]
struct OwnReport {
    units: f32,
    /// How many times it still has to go.
    repeats_left: u8,
}

/// What another gateway reported under a name.
struct PeerReport {
    units: f64,
    at: Duration,
}

impl PeerReport {
    fn counts(&self, now: Duration) -> bool {
        now < self.at + REPORT_LIFETIME
    }
}

/// What the other gateways say they admitted, and what was reported to them.
#[derive(Default)]
pub struct PeerAdmissions {
    /// By the name's hash.
    own: HashMap<u64, OwnReport>,
    /// By the name's hash and the gateway's number.
    peers: HashMap<u64, BTreeMap<u32, PeerReport>>,
    /// When each gateway was heard last.
    last_heard: BTreeMap<u32, Duration>,
    swept_at: Duration,
}

impl PeerAdmissions {
    /// Datagrams of `max_bytes` bytes at most with what changed of late; one at least, for silence tells too.
    pub fn report(&mut self, admitted: &[Admitted], max_bytes: usize) -> Vec<Vec<u8>> {
        let mut entries = Vec::new();
        let mut names = HashSet::new();
        for admitted in admitted {
            let name_hash = hash(&admitted.name);
            let units = admitted.units as f32;
            names.insert(name_hash);
            let own = self.own.entry(name_hash).or_default();
            if own.units != units {
                own.units = units;
                own.repeats_left = REPORT_REPEATS;
            }
            if own.repeats_left > 0 {
                own.repeats_left -= 1;
                entries.push(encode_entry(name_hash, units));
            }
        }
        // A name that is asked about no more has left every window.
        self.own.retain(|name_hash, _| names.contains(name_hash));
        if entries.is_empty() {
            return vec![vec![REPORT_TAG]];
        }
        let entries_per_datagram = (max_bytes.saturating_sub(1) / ENTRY_BYTES).max(1);
        let datagrams = entries.chunks(entries_per_datagram);
        datagrams
            .map(|entries| [&[REPORT_TAG], entries.concat().as_slice()].concat())
            .collect()
    }

    /// Takes another gateway's report; `false` where the bytes are none.
    pub fn record_report(&mut self, from: u32, bytes: &[u8], now: Duration) -> bool {
        let Some((&REPORT_TAG, entries)) = bytes.split_first() else {
            return false;
        };
        let (entries, []) = entries.as_chunks::<ENTRY_BYTES>() else {
            return false;
        };
        for entry in entries {
            let (name_hash, units) = decode_entry(entry);
            if units.is_finite() && units >= 0.0 {
                let report = PeerReport { units, at: now };
                let reports = self.peers.entry(name_hash).or_default();
                reports.insert(from, report);
            }
        }
        self.last_heard.insert(from, now);
        if now >= self.swept_at + SWEEP_INTERVAL {
            self.swept_at = now;
            self.peers
                .retain(|_, reports| reports.values().any(|report| report.counts(now)));
        }
        true
    }

    /// What the other gateways say they admitted under a name.
    pub fn admitted_by_peers(&self, name: &str, now: Duration) -> f64 {
        let reports = self.peers.get(&hash(name)).into_iter();
        let reports = reports.flat_map(BTreeMap::values);
        let counted = reports.filter(|report| report.counts(now));
        counted.map(|report| report.units).sum()
    }

    /// Up to when every one of these gateways has reported what it admitted; `None` where one is silent.
    pub fn reported_until(&self, peers: &[GatewayId], now: Duration) -> Option<Duration> {
        let last_heard = |peer: &GatewayId| self.last_heard.get(&peer.0).copied();
        let times = peers
            .iter()
            .map(|peer| last_heard(peer).unwrap_or_default());
        let oldest = times.min()?;
        (now < oldest + SILENCE_TIMEOUT).then_some(oldest)
    }
}

/// One name's entry: its hash, and the units.
fn encode_entry(name_hash: u64, units: f32) -> Vec<u8> {
    [&name_hash.to_be_bytes()[..], &units.to_be_bytes()].concat()
}

fn decode_entry(entry: &[u8; ENTRY_BYTES]) -> (u64, f64) {
    let [h0, h1, h2, h3, h4, h5, h6, h7, u0, u1, u2, u3] = *entry;
    let name_hash = u64::from_be_bytes([h0, h1, h2, h3, h4, h5, h6, h7]);
    let units = f32::from_be_bytes([u0, u1, u2, u3]);
    (name_hash, f64::from(units))
}
