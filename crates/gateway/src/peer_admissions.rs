//! Units that the gateways report to each other as admitted. The reports cover the part of a quota's use that the shared
//! counter does not show during a network partition, after a loss of its store, or while it does not reply. This module
//! does no I/O; the dispatcher sends and receives the reports.
//!
//! Every [`REPORT_INTERVAL`] a gateway reports to its peers the units admitted under each counter name for which they
//! have changed, whether or not the counter was called for that name. The reports of the peers are passed to the
//! decision module: as a lower bound of the use by other gateways and, as long as every peer reports, as the whole use
//! up to the time of the oldest report. In normal operation the reports lag behind the counter and have no effect. The
//! reports are off unless the configuration sets `witness` (docs/counter-failure.md).

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use damsonbeam::interface::{AdmittedUnits, GatewayId};

use crate::name_hash::hash_name;

/// Interval between reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of reports that include a changed name, because datagrams may be lost.
pub const REPORT_REPEATS: u8 = 3;
/// Time without reports after which a peer counts as silent; losing [`REPORT_REPEATS`] reports in a row is rare.
pub const SILENCE_TIMEOUT: Duration = REPORT_INTERVAL.saturating_mul(REPORT_REPEATS as u32);
/// Time for which a report of a peer is valid, longer than the counter keeps any name.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(60);
/// Interval at which names without valid reports are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// First byte of a report. Other datagrams of the decision module have a length of six bytes, which no report has.
pub const REPORT_TAG: u8 = 0xd8;
/// Size of the entry for one name: the hash of the name and the admitted units as `f32`.
pub const ENTRY_BYTES: usize = 12;

/// Own report under one name.
#[derive(Default)]
struct OwnReport {
    units: f32,
    /// Number of reports that still have to include the name.
    repeats_left: u8,
}

/// Report of a peer under one name.
struct PeerReport {
    units: f64,
    received_at: Duration,
}

impl PeerReport {
    fn is_valid(&self, now: Duration) -> bool {
        now < self.received_at + REPORT_LIFETIME
    }
}

/// Reports received from and sent to the other gateways.
#[derive(Default)]
pub struct PeerAdmissions {
    /// Own reports by name hash.
    own_reports: HashMap<u64, OwnReport>,
    /// Reports of the peers by name hash and gateway number.
    peer_reports: HashMap<u64, BTreeMap<u32, PeerReport>>,
    /// When each peer last sent a report, by gateway number.
    last_heard: BTreeMap<u32, Duration>,
    /// When names without valid reports were last removed.
    swept_at: Duration,
}

impl PeerAdmissions {
    /// Returns the datagrams of the next report, of at most `max_bytes` bytes each, with the names that changed
    /// recently.
    ///
    /// Returns at least one datagram, without entries if nothing changed, because the peers detect a silent gateway by
    /// missing reports.
    pub fn report(&mut self, admitted: &[AdmittedUnits], max_bytes: usize) -> Vec<Vec<u8>> {
        let mut entries = Vec::new();
        let mut names = HashSet::new();
        for admitted in admitted {
            let name_hash = hash_name(&admitted.name);
            let units = admitted.units as f32;
            names.insert(name_hash);
            let own = self.own_reports.entry(name_hash).or_default();
            if own.units != units {
                own.units = units;
                own.repeats_left = REPORT_REPEATS;
            }
            if own.repeats_left > 0 {
                own.repeats_left -= 1;
                entries.push(encode_entry(name_hash, units));
            }
        }
        // A name that is not passed in any more is in no quota window.
        self.own_reports
            .retain(|name_hash, _| names.contains(name_hash));
        if entries.is_empty() {
            return vec![vec![REPORT_TAG]];
        }
        let entries_per_datagram = (max_bytes.saturating_sub(1) / ENTRY_BYTES).max(1);
        let datagrams = entries.chunks(entries_per_datagram);
        datagrams
            .map(|entries| [&[REPORT_TAG], entries.concat().as_slice()].concat())
            .collect()
    }

    /// Records the report of a peer. Returns `false` if the bytes are not a report.
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
                let report = PeerReport {
                    units,
                    received_at: now,
                };
                let reports = self.peer_reports.entry(name_hash).or_default();
                reports.insert(from, report);
            }
        }
        self.last_heard.insert(from, now);
        if now >= self.swept_at + SWEEP_INTERVAL {
            self.swept_at = now;
            self.peer_reports
                .retain(|_, reports| reports.values().any(|report| report.is_valid(now)));
        }
        true
    }

    /// Returns the sum of the units that the peers have reported under a name.
    pub fn admitted_by_peers(&self, name: &str, now: Duration) -> f64 {
        let reports = self.peer_reports.get(&hash_name(name)).into_iter();
        let reports = reports.flat_map(BTreeMap::values);
        let valid = reports.filter(|report| report.is_valid(now));
        valid.map(|report| report.units).sum()
    }

    /// Returns the time up to which all of `peers` have reported; `None` if one of them is silent or `peers` is empty.
    pub fn reported_until(&self, peers: &[GatewayId], now: Duration) -> Option<Duration> {
        let last_heard = |peer: &GatewayId| self.last_heard.get(&peer.0).copied();
        let times = peers
            .iter()
            .map(|peer| last_heard(peer).unwrap_or_default());
        let oldest = times.min()?;
        (now < oldest + SILENCE_TIMEOUT).then_some(oldest)
    }
}

/// Encodes the entry for one name.
fn encode_entry(name_hash: u64, units: f32) -> Vec<u8> {
    [&name_hash.to_be_bytes()[..], &units.to_be_bytes()].concat()
}

fn decode_entry(entry: &[u8; ENTRY_BYTES]) -> (u64, f64) {
    let [h0, h1, h2, h3, h4, h5, h6, h7, u0, u1, u2, u3] = *entry;
    let name_hash = u64::from_be_bytes([h0, h1, h2, h3, h4, h5, h6, h7]);
    let units = f32::from_be_bytes([u0, u1, u2, u3]);
    (name_hash, f64::from(units))
}
