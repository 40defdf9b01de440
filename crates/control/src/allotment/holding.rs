//! The proxy's side: the allotments it holds and their expiry.

use std::collections::BTreeMap;
use std::time::Duration;

use super::HOLDING_LEASE;
use crate::messages::Allotment;

/// The allotments of one proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AllotmentHolding {
    /// The highest coordinator term seen.
    term: u64,
    /// The revision of the latest change applied in `term`; 0 if none was.
    revision: u64,
    /// By tenant, in units of `1 / TOTAL_PARTS` of the divided quota.
    parts: BTreeMap<String, u32>,
    /// When the coordinator last confirmed that it has this proxy's report. The lease runs from then.
    renewed_at: Duration,
}

impl AllotmentHolding {
    /// Records a coordinator's term. Changes from coordinators of earlier terms are rejected from then on.
    pub fn observe_term(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
            self.revision = 0;
        }
    }

    fn is_expired(&self, now: Duration) -> bool {
        now >= self.renewed_at + HOLDING_LEASE
    }

    /// Applies a coordinator's change unless it is outdated or the lease has expired. Returns whether the change was applied
    /// and must be acknowledged.
    pub fn apply_change(
        &mut self,
        term: u64,
        revision: u64,
        allotments: &[Allotment],
        now: Duration,
    ) -> bool {
        let is_new = term == self.term && revision > self.revision;
        if !is_new || self.is_expired(now) {
            return false;
        }
        self.revision = revision;
        for allotment in allotments {
            self.parts.insert(allotment.tenant.clone(), allotment.parts);
        }
        true
    }

    /// Renews the lease: the coordinator of `term` has this proxy's report for that term. An expired lease is not renewed.
    pub fn renew(&mut self, term: u64, now: Duration) {
        if term == self.term && !self.is_expired(now) {
            self.renewed_at = now;
        }
    }

    /// Returns the allotments to report to a coordinator when the connection to it is established. Expired allotments are
    /// discarded permanently.
    pub fn take_report(&mut self, now: Duration) -> Vec<Allotment> {
        if self.is_expired(now) {
            self.parts.clear();
            self.renewed_at = now;
        }
        let parts = self.parts.iter().filter(|(_, parts)| **parts > 0);
        let report = parts.map(|(tenant, parts)| Allotment {
            tenant: tenant.clone(),
            parts: *parts,
        });
        report.collect()
    }

    /// Returns the parts of a tenant's quota that this proxy holds at `now`.
    pub fn parts(&self, tenant: &str, now: Duration) -> u32 {
        if self.is_expired(now) {
            return 0;
        }
        self.parts.get(tenant).copied().unwrap_or(0)
    }
}
