//! The coordinator's side: what each proxy may hold at most, and how it is divided anew.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{HOLDER_EXPIRY, PARTS};
use crate::messages::Allotment;

/// A holder not heard of for this long is taken to be out of contact, and to use what it holds.
const PRESENT_TIMEOUT: Duration = Duration::from_millis(1300);
/// Changes smaller than this part of the whole wait, or smaller than half of an equal share.
const LEAST_CHANGE: u32 = PARTS / 64;
/// Changes smaller than this part of what is held wait.
const LEAST_RELATIVE_CHANGE: f64 = 0.25;

/// How much of a tenant each proxy was asked for of late, by incarnation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantDemand {
    /// The tenant.
    pub tenant: String,
    /// Units by incarnation.
    pub by_incarnation: BTreeMap<u64, f64>,
}

/// A change to be sent to a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllotmentChange {
    /// The holder's incarnation.
    pub incarnation: u64,
    /// Numbers the changes of a holder in a term.
    pub revision: u64,
    /// What the holder holds from now on, of these tenants.
    pub allotments: Vec<Allotment>,
}

/// What holders out of contact may hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AbsentAllotments {
    /// By tenant.
    pub by_tenant: Vec<Allotment>,
    /// The parts of each tenant that is not listed.
    pub of_unlisted: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Holder {
    /// At most, by tenant.
    held: BTreeMap<String, u32>,
    last_seen: Duration,
    revision: u64,
    /// The change that is not acknowledged yet.
    in_flight: Option<Vec<Allotment>>,
}

impl Holder {
    fn parts(&self, tenant: &str) -> u32 {
        self.held.get(tenant).copied().unwrap_or(0)
    }

    fn raise(&mut self, allotment: &Allotment) {
        let held = self.held.entry(allotment.tenant.clone()).or_default();
        *held = (*held).max(allotment.parts);
    }

    fn is_present(&self, now: Duration) -> bool {
        now < self.last_seen + PRESENT_TIMEOUT
    }
}

/// What each proxy may hold, as the coordinator of one term knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AllotmentLedger {
    began: Duration,
    /// No coordinator before may have allotted anything.
    is_first: bool,
    holders: BTreeMap<u64, Holder>,
    /// What holders reported when they were first heard of in this term, by tenant.
    reported: BTreeMap<String, u32>,
}

impl AllotmentLedger {
    /// A term begins. `is_first`: no coordinator before may have allotted anything.
    pub fn begin_term(&mut self, is_first: bool, now: Duration) {
        *self = AllotmentLedger {
            began: now,
            is_first,
            ..AllotmentLedger::default()
        };
    }

    /// A proxy reports what it holds, when its connection comes up.
    pub fn report(&mut self, incarnation: u64, allotments: &[Allotment], now: Duration) {
        let is_new = !self.holders.contains_key(&incarnation);
        let holder = self.holders.entry(incarnation).or_default();
        holder.last_seen = now;
        // A change that was lost with the connection before may have been taken.
        holder.in_flight = None;
        for allotment in allotments {
            holder.raise(allotment);
            if is_new {
                let reported = self.reported.entry(allotment.tenant.clone()).or_default();
                *reported = reported.saturating_add(allotment.parts);
            }
        }
    }

    /// A holder was heard of.
    pub fn see(&mut self, incarnation: u64, now: Duration) {
        if let Some(holder) = self.holders.get_mut(&incarnation) {
            holder.last_seen = now;
        }
    }

    /// Whether a holder's lease may be renewed: its report is known here, and it was heard of just now. Were a holder told
    /// so that is heard of no more, it would keep what is taken back from it.
    pub fn may_renew(&self, incarnation: u64, now: Duration) -> bool {
        let holder = self.holders.get(&incarnation);
        holder.is_some_and(|holder| holder.is_present(now))
    }

    /// A holder has taken its last change.
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

    /// A holder is gone for good: it left with its last word, or another incarnation runs in its place.
    pub fn release(&mut self, incarnation: u64) {
        self.holders.remove(&incarnation);
    }

    /// Parts of a tenant that may be held, by holders known and unknown.
    pub fn allotted(&self, tenant: &str, now: Duration) -> u32 {
        let held = self.holders.values().map(|holder| holder.parts(tenant));
        let held = held.fold(0u32, u32::saturating_add);
        held.saturating_add(self.set_aside(tenant, now))
    }

    /// Parts that holders may have which were not heard of in this term.
    fn set_aside(&self, tenant: &str, now: Duration) -> u32 {
        if self.is_accounted(now) {
            return 0;
        }
        let reported = self.reported.get(tenant).copied().unwrap_or(0);
        PARTS.saturating_sub(reported)
    }

    /// What holders out of contact may hold. `missing_part`: the part of the known proxies that is not in contact, and may have
    /// what is set aside.
    pub fn absent(&self, missing_part: f64, now: Duration) -> AbsentAllotments {
        let misses_proxies = missing_part > 0.0;
        let mut absent: BTreeMap<&str, u32> = BTreeMap::new();
        let holders = self.holders.values();
        for holder in holders.filter(|holder| !holder.is_present(now)) {
            for (tenant, parts) in &holder.held {
                *absent.entry(tenant).or_default() += parts;
            }
        }
        if misses_proxies {
            for tenant in self.reported.keys() {
                *absent.entry(tenant).or_default() += self.set_aside(tenant, now);
            }
        }
        let allotment = |(tenant, parts): (&str, u32)| Allotment {
            tenant: tenant.to_owned(),
            parts,
        };
        // Of a tenant that nobody has reported, those that are missing are taken to hold as much as their number is of all: after
        // a restart of everything nobody holds anything, and the first that lags must not cost the others all of it.
        let of_unlisted = if self.is_accounted(now) {
            0
        } else {
            (missing_part * f64::from(PARTS)) as u32
        };
        AbsentAllotments {
            by_tenant: absent.into_iter().map(allotment).collect(),
            of_unlisted,
        }
    }

    /// Whether all that may be held is known here.
    fn is_accounted(&self, now: Duration) -> bool {
        self.is_first || now >= self.began + HOLDER_EXPIRY
    }

    /// Divides the quotas anew by demand; returns the changes to be sent. Less goes out first: what it sets free is allotted
    /// once it is acknowledged.
    pub fn divide(&mut self, demands: &[TenantDemand], now: Duration) -> Vec<AllotmentChange> {
        self.holders
            .retain(|_, holder| now < holder.last_seen + HOLDER_EXPIRY);
        let ready: BTreeSet<u64> = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.is_present(now) && holder.in_flight.is_none())
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

    fn send(&mut self, incarnation: u64, allotments: Vec<Allotment>) -> AllotmentChange {
        let holder = self.holders.entry(incarnation).or_default();
        holder.revision += 1;
        for allotment in &allotments {
            holder.raise(allotment);
        }
        holder.in_flight = Some(allotments.clone());
        AllotmentChange {
            incarnation,
            revision: holder.revision,
            allotments,
        }
    }

    /// The changes of one tenant's allotments.
    fn divide_tenant(
        &self,
        demand: &TenantDemand,
        ready: &BTreeSet<u64>,
        now: Duration,
    ) -> Vec<(u64, Allotment)> {
        let tenant = &demand.tenant;
        let wishes = self.wishes(demand, ready, now);
        let wanted: u64 = wishes.iter().map(Wish::wanted).sum();
        if wanted == 0 {
            return vec![];
        }
        let free = u64::from(PARTS.saturating_sub(self.allotted(tenant, now)));
        let granted = free.min(wanted);
        let changes = wishes.into_iter().filter_map(|wish| {
            let share = (granted * wish.wanted() / wanted) as u32;
            let parts = wish.target.min(wish.held + share);
            let allotment = Allotment {
                tenant: tenant.clone(),
                parts,
            };
            (parts != wish.held).then_some((wish.incarnation, allotment))
        });
        changes.collect()
    }

    /// What each ready holder is to hold by the demand, where that differs enough from what it holds.
    fn wishes(&self, demand: &TenantDemand, ready: &BTreeSet<u64>, now: Duration) -> Vec<Wish> {
        let demand_at = |incarnation: &u64| {
            let units = demand.by_incarnation.get(incarnation);
            units.copied().unwrap_or(0.0)
        };
        let present = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.is_present(now));
        let total: f64 = present.map(|(incarnation, _)| demand_at(incarnation)).sum();
        if total <= 0.0 {
            return vec![];
        }
        let least = LEAST_CHANGE.min(PARTS / (2 * self.holders.len().max(1) as u32));
        let wish = |incarnation: &u64| Wish {
            incarnation: *incarnation,
            held: self.holders[incarnation].parts(&demand.tenant),
            target: (demand_at(incarnation) / total * f64::from(PARTS)) as u32,
        };
        let wishes = ready.iter().map(wish);
        wishes.filter(|wish| wish.is_worth_it(least)).collect()
    }
}

/// What a holder is to hold.
struct Wish {
    incarnation: u64,
    held: u32,
    target: u32,
}

impl Wish {
    /// Whether the change is large enough to be sent.
    fn is_worth_it(&self, least: u32) -> bool {
        let least_of_held = (f64::from(self.held) * LEAST_RELATIVE_CHANGE) as u32;
        self.target.abs_diff(self.held) >= least.max(least_of_held)
    }

    /// The parts that it lacks.
    fn wanted(&self) -> u64 {
        u64::from(self.target.saturating_sub(self.held))
    }
}
