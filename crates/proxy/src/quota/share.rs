//! This proxy's share of each quota: what it holds, what it admits by it without the coordinator, and what is left to
//! the proxies in contact.

use std::collections::HashMap;
use std::time::Duration;

use damsonbeam_control::allotment::{AbsentAllotments, EQUAL_PART, PARTS};
use damsonbeam_control::messages::Allotment;
use rand::Rng;

use super::token_bucket::{QuotaShare, TokenBucket};
use super::{OVER_ANY_QUOTA, QuotaCounter};

/// What the proxies in contact may use together is taken to be at least this part of a quota.
const LEAST_PRESENT_PART: f64 = 0.05;
/// A client that is refused by a share and not by the quota comes back after this, to another proxy most likely.
const NEXT_PROXY_AFTER_S: f64 = 0.05;
/// Requests this many times what a share admits are a surge, if they are more than chance brings in the time of a rate.
const SURGE_FACTOR: f64 = 2.0;
const SURGE_LEAST_RATE_PER_S: f64 = 6.0;

/// What proxies out of contact may hold.
#[derive(Debug)]
pub(super) struct AbsentParts {
    by_tenant: HashMap<String, u32>,
    of_unlisted: u32,
}

impl QuotaCounter {
    /// What the coordinator that has been connected is to be told of what is held here, and its term; `None` where it was
    /// told.
    pub fn take_holding_report(&mut self, now: Duration) -> Option<(u64, Vec<Allotment>)> {
        let is_owed = self.is_connected && self.connected_term == self.term;
        if !is_owed || !std::mem::take(&mut self.owes_holding_report) {
            return None;
        }
        Some((self.term, self.holding.report(now)))
    }

    /// Takes a change of what is held here; returns whether it is to be acknowledged.
    pub fn change_allotments(
        &mut self,
        term: u64,
        revision: u64,
        allotments: &[Allotment],
        now: Duration,
    ) -> bool {
        self.holding.change(term, revision, allotments, now)
    }

    /// Takes the coordinator's word that it has this proxy's report, how many proxies have left by plan in its term, and what
    /// those out of contact hold.
    pub fn receive_allotment_status(
        &mut self,
        term: u64,
        departed_proxies: u32,
        absent: &AbsentAllotments,
        now: Duration,
    ) {
        if term != self.term {
            return;
        }
        self.holding.renew(term, now);
        self.proxy_number.set_departed(departed_proxies);
        let by_tenant = absent.by_tenant.iter();
        let by_tenant = by_tenant.map(|allotment| (allotment.tenant.clone(), allotment.parts));
        self.absent = Some(AbsentParts {
            by_tenant: by_tenant.collect(),
            of_unlisted: absent.of_unlisted,
        });
    }

    /// This proxy's share of a tenant's quota while it hears nothing of the others.
    fn own_share(&self, tenant: &str, now: Duration) -> f64 {
        let allotted = f64::from(self.holding.parts(tenant, now)) / f64::from(PARTS);
        EQUAL_PART / self.proxies + (1.0 - EQUAL_PART) * allotted
    }

    /// The part of a tenant's quota that is left to the proxies in contact with the coordinator.
    pub(super) fn present_part(&self, tenant: &str) -> f64 {
        let out_of_contact = 1.0 - (self.attached / self.proxies).min(1.0);
        let absent = match &self.absent {
            Some(absent) => {
                let parts = absent.by_tenant.get(tenant);
                let parts = parts.copied().unwrap_or(absent.of_unlisted);
                let allotted = f64::from(parts.min(PARTS)) / f64::from(PARTS);
                EQUAL_PART * out_of_contact + (1.0 - EQUAL_PART) * allotted
            }
            None => out_of_contact,
        };
        (1.0 - absent).max(LEAST_PRESENT_PART)
    }

    /// Whether the coordinator is out of contact now; counts the outages.
    fn note_contact(&mut self, now: Duration) -> bool {
        let is_out_of_contact = self.is_coordinator_unresponsive(now);
        if is_out_of_contact && !self.is_out_of_contact {
            self.outages += 1;
        }
        self.is_out_of_contact = is_out_of_contact;
        is_out_of_contact
    }

    /// Whether units of a tenant are within this proxy's share, where nothing is heard of the others.
    fn admit_by_share(&mut self, tenant: &str, units: f64, now: Duration) -> bool {
        let share = self.own_share(tenant, now);
        let outages = self.outages;
        let tolerance = self.tolerance;
        let random = self.random.random();
        let Some(tenant) = self.tenants.get_mut(tenant) else {
            return true;
        };
        if tenant.rate <= 0.0 {
            return true;
        }
        let quota = QuotaShare {
            rate: tenant.rate,
            burst: tenant.burst(),
            share,
            tolerance,
        };
        let (last_outage, bucket) = tenant
            .bucket
            .get_or_insert_with(|| (outages, TokenBucket::begin(quota, now)));
        if *last_outage != outages {
            *last_outage = outages;
            bucket.resume(quota, now);
        }
        bucket.take(units, quota, random, now)
    }

    /// The module takes back what it has not admitted after all.
    fn return_to_bucket(&mut self, tenant: &str, units: f64) {
        let tenant = self.tenants.get_mut(tenant);
        if let Some((_, bucket)) = tenant.and_then(|tenant| tenant.bucket.as_mut()) {
            bucket.undo(units);
        }
    }

    /// What is added to a total so that units are refused, whatever it is; 0 where they are not. Negative units undo.
    pub(super) fn refusal(&mut self, tenant: &str, units: f64, now: Duration) -> f64 {
        if self.note_contact(now) {
            if units < 0.0 {
                self.return_to_bucket(tenant, -units);
            }
            if units > 0.0 && !self.admit_by_share(tenant, units, now) {
                return self.refusal_by_share(tenant, now);
            }
        } else if units > 0.0 && self.is_refused_at_random(tenant, now) {
            return OVER_ANY_QUOTA;
        }
        0.0
    }

    /// What is added to a total for a refusal without the coordinator. The module advises clients to come back once
    /// what exceeds the quota has gone by. Other proxies have shares of their own: where no more is requested than this one
    /// may admit, a client is sent on to the next one soon.
    fn refusal_by_share(&self, tenant: &str, now: Duration) -> f64 {
        let share = self.own_share(tenant, now);
        let Some(tenant) = self.tenants.get(tenant) else {
            return OVER_ANY_QUOTA;
        };
        let requested = tenant.requested.rate(now);
        let is_surge =
            requested > SURGE_FACTOR * share * tenant.rate && requested > SURGE_LEAST_RATE_PER_S;
        if is_surge {
            return OVER_ANY_QUOTA;
        }
        tenant.burst() + tenant.rate * NEXT_PROXY_AFTER_S
    }
}
