//! The coordinator's side: an upper bound of what each proxy holds, and the division of quotas by demand.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{HOLDER_EXPIRY, TOTAL_PARTS};
use crate::messages::Allotment;

/// A holder that has sent nothing for this long counts as out of contact, and as using all that it holds.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1300);
/// The smallest change that is sent, in parts. Half of an equal share (`TOTAL_PARTS / (2 * holders)`) applies instead where that
/// is smaller.
const MIN_CHANGE: u32 = TOTAL_PARTS / 64;
/// The smallest change that is sent, as a fraction of what the holder holds. A change must reach both minimums.
const MIN_RELATIVE_CHANGE: f64 = 0.25;

/// The recent demand for a tenant's quota at each proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantDemand {
    /// The tenant's name.
    pub tenant: String,
    /// Demanded units, by the proxy's incarnation.
    pub by_incarnation: BTreeMap<u64, f64>,
}

/// A change of allotments to send to a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllotmentChange {
    /// The holder's incarnation.
    pub incarnation: u64,
    /// The number of the change among those sent to this holder in this term, from 1.
    pub revision: u64,
    /// The holder's new allotments; tenants not listed keep theirs.
    pub allotments: Vec<Allotment>,
}

/// The allotments that holders out of contact may still be using.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AbsentAllotments {
    /// The sum over these holders, by tenant.
    pub by_tenant: Vec<Allotment>,
    /// The parts assumed for each tenant that `by_tenant` does not list.
    pub parts_per_unlisted_tenant: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Holder {
    /// Upper bound of the parts held, by tenant.
    held: BTreeMap<String, u32>,
    /// When the holder last sent a message.
    last_heard_at: Duration,
    /// The revision of the latest change sent.
    revision: u64,
    /// The latest change, until it is acknowledged.
    in_flight: Option<Vec<Allotment>>,
}

impl Holder {
    fn parts(&self, tenant: &str) -> u32 {
        self.held.get(tenant).copied().unwrap_or(0)
    }

    /// Raises the upper bound of one tenant; never lowers it.
    fn raise_bound(&mut self, allotment: &Allotment) {
        let held = self.held.entry(allotment.tenant.clone()).or_default();
        *held = (*held).max(allotment.parts);
    }

    fn is_in_contact(&self, now: Duration) -> bool {
        now < self.last_heard_at + CONTACT_TIMEOUT
    }
}

/// The coordinator's record, for one term, of what each proxy may hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AllotmentLedger {
    /// When the term began.
    began_at: Duration,
    /// Whether no earlier coordinator can have allotted anything.
    is_first: bool,
    /// By incarnation.
    holders: BTreeMap<u64, Holder>,
    /// Sum of the parts in the first report of each holder in this term, by tenant.
    reported: BTreeMap<String, u32>,
}

impl AllotmentLedger {
    /// Resets the ledger for a new term. `is_first` states that no earlier coordinator can have allotted anything.
    pub fn begin_term(&mut self, is_first: bool, now: Duration) {
        *self = AllotmentLedger {
            began_at: now,
            is_first,
            ..AllotmentLedger::default()
        };
    }

    /// Records the allotments that a proxy reports when its connection is established.
    pub fn record_report(&mut self, incarnation: u64, allotments: &[Allotment], now: Duration) {
        let is_new = !self.holders.contains_key(&incarnation);
        let holder = self.holders.entry(incarnation).or_default();
        holder.last_heard_at = now;
        // The change was sent over the previous connection. The holder may have applied it or not, so the raised upper bound
        // stays.
        holder.in_flight = None;
        for allotment in allotments {
            holder.raise_bound(allotment);
            if is_new {
                let reported = self.reported.entry(allotment.tenant.clone()).or_default();
                *reported = reported.saturating_add(allotment.parts);
            }
        }
    }

    /// Records that a holder has sent a message.
    pub fn record_contact(&mut self, incarnation: u64, now: Duration) {
        if let Some(holder) = self.holders.get_mut(&incarnation) {
            holder.last_heard_at = now;
        }
    }

    /// Returns whether a holder's lease may be renewed: the ledger has its report and the holder is in contact. A renewal
    /// sent to a holder that is out of contact would let it keep allotments that the coordinator reclaims after
    /// [`HOLDER_EXPIRY`].
    pub fn may_renew(&self, incarnation: u64, now: Duration) -> bool {
        let holder = self.holders.get(&incarnation);
        holder.is_some_and(|holder| holder.is_in_contact(now))
    }

    /// Records that a holder has applied the change of that revision. Lowers the upper bounds to the acknowledged values if
    /// it is the holder's latest change.
    pub fn acknowledge(&mut self, incarnation: u64, revision: u64) {
        let Some(holder) = self.holders.get_mut(&incarnation) else {
            return;
        };
        if revision != holder.revision {
            return;
        }
        for allotment in holder.in_flight.take().unwrap_or_default() {
            holder.held.insert(allotment.tenant, allotment.parts);
        }
    }

    /// Removes a holder that is gone permanently: it announced its exit, or another incarnation runs in its place.
    pub fn remove_holder(&mut self, incarnation: u64) {
        self.holders.remove(&incarnation);
    }

    /// Returns an upper bound of the parts of a tenant that known and unknown holders hold together.
    pub fn allotted(&self, tenant: &str, now: Duration) -> u32 {
        let held = self.holders.values().map(|holder| holder.parts(tenant));
        let held = held.fold(0u32, u32::saturating_add);
        held.saturating_add(self.reserved_parts(tenant, now))
    }

    /// Returns the parts that holders not yet seen in this term may hold.
    fn reserved_parts(&self, tenant: &str, now: Duration) -> u32 {
        if self.is_complete(now) {
            return 0;
        }
        let reported = self.reported.get(tenant).copied().unwrap_or(0);
        TOTAL_PARTS.saturating_sub(reported)
    }

    /// Returns the allotments that holders out of contact may still be using. `missing_fraction` is the fraction of the known
    /// proxies that is not in contact; these proxies may hold the reserved parts, which no proxy has reported in this term.
    pub fn absent_allotments(&self, missing_fraction: f64, now: Duration) -> AbsentAllotments {
        let are_proxies_missing = missing_fraction > 0.0;
        let mut absent: BTreeMap<&str, u32> = BTreeMap::new();
        let holders = self.holders.values();
        for holder in holders.filter(|holder| !holder.is_in_contact(now)) {
            for (tenant, parts) in &holder.held {
                *absent.entry(tenant).or_default() += parts;
            }
        }
        if are_proxies_missing {
            for tenant in self.reported.keys() {
                *absent.entry(tenant).or_default() += self.reserved_parts(tenant, now);
            }
        }
        let allotment = |(tenant, parts): (&str, u32)| Allotment {
            tenant: tenant.to_owned(),
            parts,
        };
        // For a tenant that no proxy has reported, the missing proxies are assumed to hold the fraction `missing_fraction`.
        // After a restart of the whole system no proxy holds any allotment, and one proxy that connects late must not block
        // the whole quota for the others.
        let parts_per_unlisted_tenant = if self.is_complete(now) {
            0
        } else {
            (missing_fraction * f64::from(TOTAL_PARTS)) as u32
        };
        AbsentAllotments {
            by_tenant: absent.into_iter().map(allotment).collect(),
            parts_per_unlisted_tenant,
        }
    }

    /// Whether the ledger covers every allotment that may still be held.
    fn is_complete(&self, now: Duration) -> bool {
        self.is_first || now >= self.began_at + HOLDER_EXPIRY
    }

    /// Divides the quotas by demand and returns the changes to send. Parts freed by a decrease are allotted to other holders
    /// only after the decrease is acknowledged.
    pub fn rebalance(&mut self, demands: &[TenantDemand], now: Duration) -> Vec<AllotmentChange> {
        self.holders
            .retain(|_, holder| now < holder.last_heard_at + HOLDER_EXPIRY);
        let ready: BTreeSet<u64> = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.is_in_contact(now) && holder.in_flight.is_none())
            .map(|(incarnation, _)| *incarnation)
            .collect();
        let mut changes: BTreeMap<u64, Vec<Allotment>> = BTreeMap::new();
        for demand in demands {
            for (incarnation, allotment) in self.divide_tenant(demand, &ready, now) {
                changes.entry(incarnation).or_default().push(allotment);
            }
        }
        let changes = changes.into_iter();
        changes
            .map(|(incarnation, allotments)| self.send(incarnation, allotments))
            .collect()
    }

    /// Builds the next change for a holder and records it as in flight. The upper bounds are raised before the change is
    /// sent.
    fn send(&mut self, incarnation: u64, allotments: Vec<Allotment>) -> AllotmentChange {
        let holder = self.holders.entry(incarnation).or_default();
        holder.revision += 1;
        for allotment in &allotments {
            holder.raise_bound(allotment);
        }
        holder.in_flight = Some(allotments.clone());
        AllotmentChange {
            incarnation,
            revision: holder.revision,
            allotments,
        }
    }

    /// Returns the changes of one tenant's allotments. Increases share the unallotted parts in proportion to the parts
    /// lacking.
    fn divide_tenant(
        &self,
        demand: &TenantDemand,
        ready: &BTreeSet<u64>,
        now: Duration,
    ) -> Vec<(u64, Allotment)> {
        let tenant = &demand.tenant;
        let rebalances = self.rebalances(demand, ready, now);
        let lacking: u64 = rebalances.iter().map(Rebalance::lacking_parts).sum();
        if lacking == 0 {
            return vec![];
        }
        let unallotted = u64::from(TOTAL_PARTS.saturating_sub(self.allotted(tenant, now)));
        let granted = unallotted.min(lacking);
        let changes = rebalances.into_iter().filter_map(|rebalance| {
            let share = (granted * rebalance.lacking_parts() / lacking) as u32;
            let parts = rebalance.target.min(rebalance.held + share);
            let allotment = Allotment {
                tenant: tenant.clone(),
                parts,
            };
            (parts != rebalance.held).then_some((rebalance.incarnation, allotment))
        });
        changes.collect()
    }

    /// Returns the target of each ready holder by demand, for those whose target differs enough from what they hold.
    fn rebalances(
        &self,
        demand: &TenantDemand,
        ready: &BTreeSet<u64>,
        now: Duration,
    ) -> Vec<Rebalance> {
        let demand_at = |incarnation: &u64| {
            let units = demand.by_incarnation.get(incarnation);
            units.copied().unwrap_or(0.0)
        };
        let present = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.is_in_contact(now));
        let total: f64 = present.map(|(incarnation, _)| demand_at(incarnation)).sum();
        if total <= 0.0 {
            return vec![];
        }
        let min_change = MIN_CHANGE.min(TOTAL_PARTS / (2 * self.holders.len().max(1) as u32));
        let rebalance = |incarnation: &u64| Rebalance {
            incarnation: *incarnation,
            held: self.holders[incarnation].parts(&demand.tenant),
            target: (demand_at(incarnation) / total * f64::from(TOTAL_PARTS)) as u32,
        };
        let rebalances = ready.iter().map(rebalance);
        rebalances
            .filter(|rebalance| rebalance.is_significant(min_change))
            .collect()
    }
}

/// The difference between the parts that a holder holds and its share by demand, for one tenant.
struct Rebalance {
    incarnation: u64,
    /// Upper bound of the parts held.
    held: u32,
    /// The holder's share by demand, in parts.
    target: u32,
}

impl Rebalance {
    /// Whether the change is large enough to send; `min_change` is in parts.
    fn is_significant(&self, min_change: u32) -> bool {
        let min_change_of_held = (f64::from(self.held) * MIN_RELATIVE_CHANGE) as u32;
        self.target.abs_diff(self.held) >= min_change.max(min_change_of_held)
    }

    /// The parts that the holder lacks.
    fn lacking_parts(&self) -> u64 {
        u64::from(self.target.saturating_sub(self.held))
    }
}
