//! Reports of counts to the coordinator, and the totals it returns.

use std::time::Duration;

use damsonbeam_control::messages::NamedCount;

use super::count::{Count, Units};
use super::rate::RATE_WINDOW;
use super::{NEAR_QUOTA_HOLD, QuotaCounter, split_name};

/// Interval between reports of tenants that are not near their quotas.
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(150);

impl QuotaCounter {
    /// Returns the counts that changed since they were last reported, with all units admitted and
    /// requested here under each name, and marks them as reported.
    pub fn take_reports(&mut self, now: Duration) -> Vec<NamedCount> {
        if !self.is_connected {
            return vec![];
        }
        let is_full_report_recent = self
            .last_full_report
            .is_some_and(|at| now < at + FULL_REPORT_INTERVAL);
        let tenants = &self.tenants;
        // Counts of a tenant far from its quota can wait for the next full report; meanwhile the
        // other proxies extrapolate its rate.
        let is_deferrable = |count: &Count| {
            let tenant = tenants.get(&count.tenant);
            is_full_report_recent && tenant.is_none_or(|tenant| now >= tenant.near_quota_until)
        };
        let mut reports = Vec::new();
        for (name, count) in &mut self.counts {
            let is_final = count.needs_final_report(now);
            let has_changed = count.reported.unwrap_or_default() != count.own;
            if !(has_changed || is_final) || is_deferrable(count) {
                continue;
            }
            count.reported = Some(count.own);
            count.has_final_report |= is_final;
            reports.push(NamedCount {
                name: name.clone(),
                admitted: count.own.admitted,
                requested: count.own.requested,
            });
        }
        if !is_full_report_recent {
            self.last_full_report = Some(now);
        }
        if !reports.is_empty() {
            self.unanswered_since.get_or_insert(now);
        }
        reports
    }

    /// Records totals sent by the coordinator of `term`. The coordinator also sends totals of names
    /// that were not used here if their tenants are near their quotas. Totals of an earlier term
    /// come from a registry that has lost the lease and are ignored.
    pub fn receive_totals(&mut self, term: u64, totals: &[NamedCount], now: Duration) {
        if term < self.term {
            return;
        }
        self.term = term;
        self.unanswered_since = None;
        self.coordinator_heard_at = self.coordinator_heard_at.map(|_| now);
        for total in totals {
            if !self.counts.contains_key(&total.name) {
                self.insert_reported_count(&total.name, now);
            }
            self.receive_total(total, now);
        }
    }

    fn insert_reported_count(&mut self, name: &str, now: Duration) {
        let Some((_, tenant)) = split_name(name) else {
            return;
        };
        let tenant = tenant.to_owned();
        let slot_end = self.slot_end(name);
        let tenant_state = self.tenants.entry(tenant.clone()).or_default();
        tenant_state.near_quota_until = now + NEAR_QUOTA_HOLD;
        let count = Count {
            tenant,
            first_used_at: now,
            last_used_at: now,
            slot_end,
            reported: Some(Units::default()),
            ..Count::default()
        };
        self.counts.insert(name.to_owned(), count);
    }

    fn receive_total(&mut self, total: &NamedCount, now: Duration) {
        let Some(count) = self.counts.get_mut(&total.name) else {
            return;
        };
        // The other proxies' units never decrease, even when another coordinator reports.
        let reported = count.reported.unwrap_or_default();
        let others = Units {
            admitted: (total.admitted - reported.admitted).max(count.others.admitted),
            requested: (total.requested - reported.requested).max(count.others.requested),
        };
        let newly_admitted = others.admitted - count.others.admitted;
        let newly_requested = others.requested - count.others.requested;
        count.others = others;
        count.totals_received_at = Some(now);
        // A new coordinator also reports slots that ended long ago; these must not enter the
        // current rate.
        let is_recent = count.slot_end.is_zero() || now < count.slot_end + RATE_WINDOW;
        if is_recent {
            let tenant = self.tenants.entry(count.tenant.clone()).or_default();
            tenant.others.add(newly_admitted, now);
            tenant.others_requested.add(newly_requested, now);
        }
    }
}
