//! This proxy's share of each quota: the allotments it holds, the units it admits under the share
//! while the coordinator is out of contact, and the part of a quota left to the proxies in contact.

use std::collections::HashMap;
use std::time::Duration;

use damsonbeam_control::allotment::{AbsentAllotments, EQUAL_SHARE_FRACTION, TOTAL_PARTS};
use damsonbeam_control::messages::Allotment;
use rand::Rng;

use super::token_bucket::{QuotaShare, TokenBucket};
use super::{OVER_ANY_QUOTA, QuotaCounter};

/// Lower bound for the part of a quota that the proxies in contact may use together.
const MIN_ATTACHED_FRACTION: f64 = 0.05;
/// Retry delay, in seconds, of a client that is refused by a share and not by the quota. Its retry
/// most likely reaches another proxy.
const NEXT_PROXY_RETRY_S: f64 = 0.05;
/// Demand is a surge if it exceeds this multiple of what the share admits and also
/// `SURGE_MIN_RATE_PER_S`, the rate that random variation reaches within the rate window.
const SURGE_FACTOR: f64 = 2.0;
const SURGE_MIN_RATE_PER_S: f64 = 6.0;

/// Parts of quotas that out-of-contact proxies may hold.
#[derive(Debug)]
pub(super) struct AbsentParts {
    by_tenant: HashMap<String, u32>,
    default_parts: u32,
}

impl QuotaCounter {
    /// Returns the allotments held here and the coordinator's term if the connected coordinator has
    /// not been told yet; `None` otherwise.
    pub fn take_held_allotments_report(&mut self, now: Duration) -> Option<(u64, Vec<Allotment>)> {
        let is_connected_to_latest_term = self.is_connected && self.connected_term == self.term;
        if !is_connected_to_latest_term || !std::mem::take(&mut self.needs_holding_report) {
            return None;
        }
        Some((self.term, self.holding.take_report(now)))
    }

    /// Applies a change of the allotments held here; returns whether to acknowledge it.
    pub fn apply_allotment_change(
        &mut self,
        term: u64,
        revision: u64,
        allotments: &[Allotment],
        now: Duration,
    ) -> bool {
        self.holding.apply_change(term, revision, allotments, now)
    }

    /// Records the coordinator's confirmation of this proxy's report, the number of proxies that
    /// departed as planned in its term, and what out-of-contact proxies hold.
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
            default_parts: absent.parts_per_unlisted_tenant,
        });
    }

    /// Returns this proxy's share of a tenant's quota while the coordinator is out of contact.
    fn own_share(&self, tenant: &str, now: Duration) -> f64 {
        let allotted = f64::from(self.holding.parts(tenant, now)) / f64::from(TOTAL_PARTS);
        EQUAL_SHARE_FRACTION / self.known_proxies + (1.0 - EQUAL_SHARE_FRACTION) * allotted
    }

    /// Returns the part of a tenant's quota that is left to the proxies in contact with the
    /// coordinator.
    pub(super) fn attached_fraction(&self, tenant: &str) -> f64 {
        let unattached_fraction = 1.0 - (self.attached_proxies / self.known_proxies).min(1.0);
        let absent = match &self.absent {
            Some(absent) => {
                let parts = absent.by_tenant.get(tenant);
                let parts = parts.copied().unwrap_or(absent.default_parts);
                let allotted = f64::from(parts.min(TOTAL_PARTS)) / f64::from(TOTAL_PARTS);
                EQUAL_SHARE_FRACTION * unattached_fraction + (1.0 - EQUAL_SHARE_FRACTION) * allotted
            }
            None => unattached_fraction,
        };
        (1.0 - absent).max(MIN_ATTACHED_FRACTION)
    }

    /// Returns whether the coordinator is out of contact, and counts the outages.
    fn update_outage_state(&mut self, now: Duration) -> bool {
        let is_in_outage = self.is_coordinator_unresponsive(now);
        if is_in_outage && !self.is_in_outage {
            self.outages += 1;
        }
        self.is_in_outage = is_in_outage;
        is_in_outage
    }

    /// Takes units from this proxy's share of a tenant's quota; returns whether they are admitted.
    fn admit_by_share(&mut self, tenant: &str, units: f64, now: Duration) -> bool {
        let share = self.own_share(tenant, now);
        let outages = self.outages;
        let tolerance = self.tolerance;
        let random = self.rng.random();
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
        let (outage, bucket) = tenant
            .bucket
            .get_or_insert_with(|| (outages, TokenBucket::new(quota, now)));
        if *outage != outages {
            *outage = outages;
            bucket.resume(quota, now);
        }
        bucket.take(units, quota, random, now)
    }

    /// Puts units back into the tenant's bucket that the module did not admit after all.
    fn return_to_bucket(&mut self, tenant: &str, units: f64) {
        let tenant = self.tenants.get_mut(tenant);
        if let Some((_, bucket)) = tenant.and_then(|tenant| tenant.bucket.as_mut()) {
            bucket.undo(units);
        }
    }

    /// Returns the amount to add to a total so that the module refuses the units, or 0 if it may
    /// admit them. Negative units undo an earlier addition.
    pub(super) fn refusal_surcharge(&mut self, tenant: &str, units: f64, now: Duration) -> f64 {
        if self.update_outage_state(now) {
            if units < 0.0 {
                self.return_to_bucket(tenant, -units);
            }
            if units > 0.0 && !self.admit_by_share(tenant, units, now) {
                return self.share_refusal_surcharge(tenant, now);
            }
        } else if units > 0.0 && self.refuses_at_random(tenant, now) {
            return OVER_ANY_QUOTA;
        }
        0.0
    }

    /// Returns the amount to add to a total for a refusal while the coordinator is out of contact.
    /// From the total, the module computes how long the client is to wait until the excess over the
    /// quota has passed. Other proxies have shares of their own: unless demand here is a surge, the
    /// amount is kept small so that the client soon retries at another proxy.
    fn share_refusal_surcharge(&self, tenant: &str, now: Duration) -> f64 {
        let share = self.own_share(tenant, now);
        let Some(tenant) = self.tenants.get(tenant) else {
            return OVER_ANY_QUOTA;
        };
        let requested = tenant.requested.rate(now);
        let is_surge =
            requested > SURGE_FACTOR * share * tenant.rate && requested > SURGE_MIN_RATE_PER_S;
        if is_surge {
            return OVER_ANY_QUOTA;
        }
        tenant.burst() + tenant.rate * NEXT_PROXY_RETRY_S
    }
}
