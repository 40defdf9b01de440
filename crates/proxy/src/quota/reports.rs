//! What goes to the coordinator of the counts, and what comes back.

use std::time::Duration;

use damsonbeam_control::messages::NamedCount;

use super::count::{Count, Units};
use super::rate::RATE_SPAN;
use super::{NEAR_QUOTA_TIME, QuotaCounter, split_name};

/// Between two reports of tenants that are not near their quotas.
const CALM_INTERVAL: Duration = Duration::from_millis(150);

impl QuotaCounter {
    /// What the coordinator has not got yet: names, and all that this proxy has admitted and was asked for under each.
    pub fn take_reports(&mut self, now: Duration) -> Vec<NamedCount> {
        if !self.is_connected {
            return vec![];
        }
        let is_calm = self
            .last_calm_report
            .is_some_and(|at| now < at + CALM_INTERVAL);
        let tenants = &self.tenants;
        // Far from its quota, a tenant's counts can wait for others to go along; the other proxies reckon with its rate
        // meanwhile.
        let may_wait = |count: &Count| {
            let tenant = tenants.get(&count.tenant);
            is_calm && tenant.is_none_or(|tenant| now >= tenant.near_quota_until)
        };
        let mut reports = Vec::new();
        for (name, count) in &mut self.counts {
            let is_final = count.needs_final_report(now);
            let has_changed = count.reported.unwrap_or_default() != count.own;
            if !(has_changed || is_final) || may_wait(count) {
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
        if !is_calm {
            self.last_calm_report = Some(now);
        }
        if !reports.is_empty() {
            self.unanswered_since.get_or_insert(now);
        }
        reports
    }

    /// Takes the totals of the coordinator of a term. Of a name not used here yet, it reports because its tenant is near its
    /// quota. Totals of an earlier term come from a registry that has lost the lease: they change nothing.
    pub fn receive_totals(&mut self, term: u64, totals: &[NamedCount], now: Duration) {
        if term < self.term {
            return;
        }
        self.term = term;
        self.unanswered_since = None;
        for total in totals {
            if !self.counts.contains_key(&total.name) {
                self.add_reported_name(&total.name, now);
            }
            self.receive_total(total, now);
        }
    }

    fn add_reported_name(&mut self, name: &str, now: Duration) {
        let Some((_, tenant)) = split_name(name) else {
            return;
        };
        let tenant = tenant.to_owned();
        let slot_end = self.slot_end(name);
        let known_tenant = self.tenants.entry(tenant.clone()).or_default();
        known_tenant.near_quota_until = now + NEAR_QUOTA_TIME;
        let count = Count {
            tenant,
            first_use: now,
            last_use: now,
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
        // What was once reported of the others stays true, whoever is the coordinator.
        let reported = count.reported.unwrap_or_default();
        let others = Units {
            admitted: (total.admitted - reported.admitted).max(count.others.admitted),
            requested: (total.requested - reported.requested).max(count.others.requested),
        };
        let more_admitted = others.admitted - count.others.admitted;
        let more_requested = others.requested - count.others.requested;
        count.others = others;
        count.last_totals = Some(now);
        // A coordinator that has just begun reports slots that are long over: nothing of them is the rate of now.
        let is_lately = count.slot_end.is_zero() || now < count.slot_end + RATE_SPAN;
        if is_lately {
            let tenant = self.tenants.entry(count.tenant.clone()).or_default();
            tenant.others.add(more_admitted, now);
            tenant.others_requested.add(more_requested, now);
        }
    }
}
