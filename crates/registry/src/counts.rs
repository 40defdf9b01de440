//! The shared counts that the coordinator keeps: the units that each proxy has admitted and that were requested from it
//! under each name, and their totals. Free of I/O.
//!
//! A proxy reports its cumulative count under a name: a repeated report changes nothing, and a new coordinator has all
//! counts as soon as each proxy has reported once. A proxy that reports gets the totals in reply. The totals of tenants
//! with a request rate near or above their quota go to all proxies: in a large system most proxies have no requests of
//! a small tenant to report in the current slot, and would not learn of the requests at other proxies.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use damsonbeam_control::allotment::TenantDemand;
use damsonbeam_control::messages::NamedCount;

/// Time after the last report at which a count is removed; far longer than the longest quota window.
const RETENTION: Duration = Duration::from_secs(20);
/// Interval between two sweeps for expired counts.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Length of the span over which a tenant's request rate is measured.
const RATE_SPAN: Duration = Duration::from_millis(1000);
/// Factor by which the demand at a proxy decays each time the demands are taken (once a second). This averages the
/// demand over some ten seconds, which suits clients that keep their connections.
const DEMAND_DECAY: f64 = 0.93;
/// Demand of at most this many units is removed.
const MIN_DEMAND: f64 = 0.05;
/// Fraction of its quota above which a tenant's request rate makes the tenant hot: all proxies get its totals.
const HOT_FRACTION: f64 = 0.8;

/// The count that one proxy reported under a name, in units.
#[derive(Clone, Copy, Debug, Default)]
struct ProxyCount {
    admitted: f64,
    requested: f64,
}

/// The counts of all proxies under one name, and their sums.
#[derive(Debug, Default)]
struct Count {
    by_incarnation: HashMap<u64, ProxyCount>,
    admitted: f64,
    requested: f64,
    last_report: Duration,
}

impl Count {
    /// Records the cumulative count of an incarnation; returns the units requested since its previous report. The
    /// requested units only grow, so a report with fewer arrived late over a replaced connection and is ignored.
    fn record(&mut self, incarnation: u64, reported: ProxyCount) -> f64 {
        let known = self.by_incarnation.entry(incarnation).or_default();
        if reported.requested < known.requested {
            return 0.0;
        }
        let before = std::mem::replace(known, reported);
        self.admitted += reported.admitted - before.admitted;
        self.requested += reported.requested - before.requested;
        reported.requested - before.requested
    }
}

/// The request rate of a tenant, and its demand by proxy.
#[derive(Debug, Default)]
struct RequestRate {
    /// The tenant's quota in units per second; 0 if it has none.
    quota_per_s: f64,
    /// Units requested in the current span.
    in_span: f64,
    /// Units requested in the previous span.
    in_previous_span: f64,
    span_start: Duration,
    /// Recently requested units at each proxy, decaying, by incarnation.
    demand: BTreeMap<u64, f64>,
}

/// The counts of all proxies under all names.
#[derive(Debug, Default)]
pub struct SharedCounts {
    counts: HashMap<String, Count>,
    tenants: BTreeMap<String, RequestRate>,
    /// Names of hot tenants with reports since the last call of `take_due_totals`.
    updated: BTreeSet<String>,
    last_sweep: Duration,
}

impl SharedCounts {
    /// Sets a tenant's quota in units per second, as configured.
    pub fn set_rate(&mut self, tenant: &str, rate_per_s: f64) {
        self.tenants
            .entry(tenant.to_owned())
            .or_default()
            .quota_per_s = rate_per_s;
    }

    /// Records the count of a proxy's incarnation under a name; returns the total over all incarnations.
    pub fn record(&mut self, incarnation: u64, count: &NamedCount, now: Duration) -> NamedCount {
        self.sweep_when_due(now);
        let NamedCount {
            name,
            admitted,
            requested,
        } = count;
        let reported = ProxyCount {
            admitted: *admitted,
            requested: *requested,
        };
        // Most names are known already: the lookup by reference avoids cloning them.
        let known = match self.counts.get_mut(name) {
            Some(known) => known,
            None => self.counts.entry(name.clone()).or_default(),
        };
        let newly_requested = known.record(incarnation, reported);
        known.last_report = now;
        let total = NamedCount {
            name: name.clone(),
            admitted: known.admitted,
            requested: known.requested,
        };
        if let Some(rate) = self.tenants.get_mut(tenant_of(name)) {
            rate.add(newly_requested, now);
            *rate.demand.entry(incarnation).or_default() += newly_requested;
            if rate.is_hot(now) {
                self.updated.insert(name.clone());
            }
        }
        total
    }

    fn sweep_when_due(&mut self, now: Duration) {
        if now >= self.last_sweep + SWEEP_INTERVAL {
            self.last_sweep = now;
            self.counts
                .retain(|_, count| now < count.last_report + RETENTION);
        }
    }

    /// Returns the totals that are due to be sent to all proxies; each update is returned once.
    pub fn take_due_totals(&mut self) -> Vec<NamedCount> {
        let names = std::mem::take(&mut self.updated);
        let total = |name: String| {
            let count = self.counts.get(&name)?;
            Some(NamedCount {
                name,
                admitted: count.admitted,
                requested: count.requested,
            })
        };
        names.into_iter().filter_map(total).collect()
    }

    /// Decays the demands and returns them by proxy, for each tenant with a quota. Older requests weigh less.
    pub fn decay_and_read_demands(&mut self) -> Vec<TenantDemand> {
        let limited = self.tenants.iter_mut();
        let limited = limited.filter(|(_, rate)| rate.quota_per_s > 0.0);
        let demands = limited.map(|(tenant, rate)| {
            rate.demand
                .values_mut()
                .for_each(|units| *units *= DEMAND_DECAY);
            rate.demand.retain(|_, units| *units > MIN_DEMAND);
            TenantDemand {
                tenant: tenant.clone(),
                by_incarnation: rate.demand.clone(),
            }
        });
        demands.collect()
    }

    /// Removes all counts, but keeps the tenants' quotas and demands.
    pub fn clear(&mut self) {
        self.counts.clear();
        self.updated.clear();
    }
}

/// Returns the tenant in a count's name, which is `{slot number}/{tenant}`.
fn tenant_of(name: &str) -> &str {
    name.split_once('/').map_or(name, |(_, tenant)| tenant)
}

impl RequestRate {
    fn add(&mut self, units: f64, now: Duration) {
        if now >= self.span_start + RATE_SPAN {
            let is_next_span = now < self.span_start + RATE_SPAN * 2;
            self.in_previous_span = if is_next_span { self.in_span } else { 0.0 };
            self.in_span = 0.0;
            self.span_start = now;
        }
        self.in_span += units;
    }

    fn is_hot(&self, now: Duration) -> bool {
        let span = RATE_SPAN.as_secs_f64();
        let elapsed_fraction = (now - self.span_start).as_secs_f64() / span;
        let rest_of_previous_span = self.in_previous_span * (1.0 - elapsed_fraction).max(0.0);
        let rate = (self.in_span + rest_of_previous_span) / span;
        self.quota_per_s > 0.0 && rate > HOT_FRACTION * self.quota_per_s
    }
}
