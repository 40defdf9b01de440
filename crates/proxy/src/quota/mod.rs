//! Shared quota counts as seen by one proxy: its own units, the units of the other proxies as the
//! coordinator reported them, and an estimate of what the other proxies admitted since.
//!
//! The decision module adds units to a count and receives the total synchronously. A round trip to
//! a coordinator in another region would take longer than a refusal may take. Every few
//! milliseconds the proxy reports the units admitted under each name to the coordinator, as an
//! absolute value and not as a difference: a duplicated report changes nothing, and a new
//! coordinator has complete counts once each proxy has reported once.
//!
//! Between two reports of the coordinator, the other proxies are assumed to continue at their
//! recent rate and, near the quota, to use at least their shares of it. Proxies that are out of
//! contact with the coordinator keep their shares, so totals are scaled up accordingly. When the
//! coordinator does not answer, this proxy limits itself to its own share: an equal part plus its
//! allotment (`damsonbeam_control::allotment`).
//!
//! Modules: `reports` exchanges counts with the coordinator, `share` computes this proxy's share of
//! each quota, `token_bucket` limits admissions while the coordinator is out of contact, `count`
//! holds the state of a count and of a tenant, `rate` computes rates, `slot_naming` names slots,
//! and `proxy_number` tracks the number of proxies.

mod count;
mod proxy_number;
mod rate;
mod reports;
mod share;
mod slot_naming;
mod token_bucket;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use damsonbeam_control::allotment::AllotmentHolding;
use damsonbeam_control::messages::Heartbeat;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use count::{Count, REPORT_AGE, Tenant};
use proxy_number::ProxyNumber;
use share::AbsentParts;
use slot_naming::SlotNaming;
pub use token_bucket::QuotaTolerance;

/// The coordinator counts as unresponsive once a report has been unanswered for this long: several
/// round trips.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(600);
/// The coordinator counts as unresponsive once nothing was heard of it for this long: two and a half of its heartbeats.
/// A proxy that has nothing to report would not notice otherwise.
const COORDINATOR_SILENCE_TIMEOUT: Duration = Duration::from_millis(1000);
/// A tenant is near its quota if its rate exceeds this fraction of the quota. The rate is estimated
/// from the other proxies' reported admissions, or from the local demand assuming similar demand at
/// every proxy, because a local surge is visible here before any proxy reports it.
const NEAR_QUOTA_FRACTION: f64 = 0.75;
/// Fraction of the local demand that is assumed at every other proxy. It is below 1 because the few
/// requests of a small tenant are spread unevenly.
const PEER_DEMAND_FRACTION: f64 = 0.7;
/// How long a tenant remains marked as near its quota. The decision module refuses some requests
/// without a call to the counter, so demand can continue unseen.
const NEAR_QUOTA_HOLD: Duration = Duration::from_millis(2000);
/// A tenant has low traffic per proxy if a proxy's share of its quota is fewer units than this
/// during the time until the other proxies learn of an admission. Local admissions then say nothing
/// about the admissions of all proxies.
const LOW_TRAFFIC_UNITS: f64 = 3.0;
/// Fraction of the quota admitted by random admission. It is below 1 because random variation
/// sometimes admits more than the average.
const RANDOM_ADMISSION_FRACTION: f64 = 0.95;
/// Added to a total to make it exceed every quota.
const OVER_ANY_QUOTA: f64 = 1e9;
/// Units admitted here since the last totals that are not extrapolated to the other proxies; each
/// of them is assumed to have admitted the units above this number.
const EXTRAPOLATION_THRESHOLD_UNITS: f64 = 1.0;
/// The number of proxies assumed before any is reported, so that a proxy that has just started
/// among others does not use the whole quota.
pub const ASSUMED_PROXIES: u32 = 24;
/// How long a count is kept after its last use: longer than any quota window.
const COUNT_RETENTION: Duration = Duration::from_secs(16);
/// Interval between two removals of expired counts.
const SWEEP_INTERVAL: Duration = Duration::from_secs(4);

/// Shared quota counts as seen by one proxy.
#[derive(Debug)]
pub struct QuotaCounter {
    /// Number of proxies that share the quotas, and how many of them are in contact with the
    /// coordinator.
    known_proxies: f64,
    attached_proxies: f64,
    proxy_number: ProxyNumber,
    tolerance: QuotaTolerance,
    holding: AllotmentHolding,
    /// Whether the connected coordinator has not yet been told which allotments this proxy holds.
    needs_holding_report: bool,
    /// Parts of quotas that out-of-contact proxies hold, by tenant; `None` until the coordinator
    /// reports them.
    absent: Option<AbsentParts>,
    /// Number of coordinator outages so far, and whether an outage is in progress.
    outages: u64,
    is_in_outage: bool,
    is_connected: bool,
    /// The highest known coordinator term.
    term: u64,
    /// The term of the most recently connected coordinator.
    connected_term: u64,
    /// When the oldest unanswered report was sent.
    unanswered_since: Option<Duration>,
    /// When the coordinator was last heard of; `None` before its first heartbeat.
    coordinator_heard_at: Option<Duration>,
    counts: BTreeMap<String, Count>,
    tenants: HashMap<String, Tenant>,
    naming: SlotNaming,
    last_sweep: Duration,
    /// When the last report that included tenants far from their quotas was taken.
    last_full_report: Option<Duration>,
    rng: SmallRng,
}

impl Default for QuotaCounter {
    fn default() -> Self {
        QuotaCounter::new(0)
    }
}

/// Returns whether the number of proxies in a registry's heartbeat can be used while no coordinator
/// has reported one. A registry that is out of contact may know only a few of the proxies, so its
/// number is used only if it exceeds [`ASSUMED_PROXIES`].
pub fn is_proxy_count_usable(heartbeat: &Heartbeat) -> bool {
    let required_above = if heartbeat.in_contact {
        0
    } else {
        ASSUMED_PROXIES
    };
    heartbeat.known_proxy_count > required_above
}

/// Splits a count name into its slot and its tenant.
fn split_name(name: &str) -> Option<(u64, &str)> {
    let (slot, tenant) = name.split_once('/')?;
    Some((slot.parse().ok()?, tenant))
}

impl QuotaCounter {
    /// Creates the counts of a proxy that has just started. `seed` determines random refusals and
    /// nothing else.
    pub fn new(seed: u64) -> Self {
        QuotaCounter {
            known_proxies: f64::from(ASSUMED_PROXIES),
            attached_proxies: f64::from(ASSUMED_PROXIES),
            proxy_number: ProxyNumber::default(),
            tolerance: QuotaTolerance::default(),
            holding: AllotmentHolding::default(),
            needs_holding_report: true,
            absent: None,
            outages: 0,
            is_in_outage: false,
            is_connected: false,
            term: 0,
            connected_term: 0,
            unanswered_since: None,
            coordinator_heard_at: None,
            counts: BTreeMap::new(),
            tenants: HashMap::new(),
            naming: SlotNaming::default(),
            last_sweep: Duration::ZERO,
            last_full_report: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets by how much the operators tolerate quotas to be exceeded; the default is not at all.
    pub fn set_tolerance(&mut self, tolerance: QuotaTolerance) {
        self.tolerance = tolerance;
    }

    /// Records the number of proxies reported by the coordinator; returns the number that the
    /// quotas are shared among.
    pub fn set_proxy_count(&mut self, proxies: u32, attached: u32, now: Duration) -> u32 {
        let proxies = self.proxy_number.set_known(proxies, now);
        self.known_proxies = f64::from(proxies.max(1));
        self.attached_proxies = f64::from(attached.clamp(1, proxies.max(1)));
        proxies
    }

    /// Records whether the coordinator of `term` is connected. A new coordinator is sent all counts
    /// again.
    pub fn set_coordinator(&mut self, term: u64, is_connected: bool) {
        let is_new = term != self.connected_term;
        self.connected_term = term;
        self.term = self.term.max(term);
        self.holding.observe_term(term);
        if is_new {
            self.absent = None;
            self.proxy_number.begin_term();
        }
        self.set_connected(is_connected, is_new);
    }

    /// Records a heartbeat of the coordinator.
    pub fn record_coordinator_heartbeat(&mut self, now: Duration) {
        self.coordinator_heard_at = Some(now);
    }

    /// Records that the connection to the coordinator was lost.
    pub fn record_coordinator_disconnect(&mut self) {
        self.set_connected(false, false);
    }

    fn set_connected(&mut self, is_connected: bool, is_new: bool) {
        if is_new || is_connected != self.is_connected {
            self.counts
                .values_mut()
                .for_each(|count| count.reported = None);
            self.unanswered_since = None;
            self.last_full_report = None;
            self.needs_holding_report = true;
        }
        self.is_connected = is_connected;
    }

    /// Sets the offset of the coordinator time from the module's time (`coordinator - module`), in seconds.
    /// Slots are named by the coordinator time, which is the coordinator's clock.
    pub fn set_time_offset(&mut self, offset_s: f64, now: Duration) {
        self.naming.set_offset(offset_s, now);
    }

    /// Sets a tenant's quota in units per second and the length of its slots in seconds.
    pub fn set_tenant_quota(&mut self, tenant: &str, rate: f64, slot_s: f64) {
        let tenant = self.tenants.entry(tenant.to_owned()).or_default();
        tenant.rate = rate;
        tenant.slot_s = slot_s;
    }

    fn slot_s(&self, tenant: &str) -> f64 {
        self.tenants.get(tenant).map_or(0.0, |tenant| tenant.slot_s)
    }

    /// Returns the names that all proxies use for the count that the module here calls `name`.
    /// Units admitted here are counted under the last of them.
    fn coordinator_slot_names(&mut self, name: &str) -> Vec<String> {
        let Some((slot, tenant)) = split_name(name) else {
            return vec![name.to_owned()];
        };
        let slots = self.naming.coordinator_slots(slot, self.slot_s(tenant));
        slots.map(|slot| format!("{slot}/{tenant}")).collect()
    }

    /// Returns when the slot of a name ends, by the module's time.
    fn slot_end(&mut self, slot_name: &str) -> Duration {
        let Some((slot, tenant)) = split_name(slot_name) else {
            return Duration::ZERO;
        };
        let slot_s = self.slot_s(tenant);
        self.naming.end(slot, slot_s)
    }

    /// Returns whether the coordinator is disconnected, has left a report unanswered for too long
    /// or has been silent for too long.
    fn is_coordinator_unresponsive(&self, now: Duration) -> bool {
        let is_overdue = |since: Duration| now >= since + COORDINATOR_TIMEOUT;
        let is_silent = |heard_at: Duration| now >= heard_at + COORDINATOR_SILENCE_TIMEOUT;
        !self.is_connected
            || self.unanswered_since.is_some_and(is_overdue)
            || self.coordinator_heard_at.is_some_and(is_silent)
    }

    /// Returns until when information about the other proxies is available. While a report is
    /// unanswered, the other proxies are assumed to continue at the rate seen when it was sent: a
    /// coordinator outage must not look as if the other proxies had stopped.
    fn others_known_until(&self, now: Duration) -> Duration {
        self.unanswered_since.map_or(now, |since| since.min(now))
    }

    /// Adds units to the count that the module calls `name` and returns the best estimate of the
    /// total.
    pub fn add(&mut self, name: &str, units: f64, now: Duration) -> f64 {
        self.sweep_when_due(now);
        let names = self.coordinator_slot_names(name);
        let Some((name, earlier_names)) = names.split_last() else {
            return 0.0;
        };
        let tenant = split_name(name).map_or("", |(_, tenant)| tenant).to_owned();
        let slot_end = self.slot_end(name);
        let tenant_state = self.tenants.entry(tenant.clone()).or_default();
        if units > 0.0 {
            tenant_state.requested.add(units, now);
        }
        tenant_state.admitted.add(units, now);
        let count = self.counts.entry(name.clone()).or_insert_with(|| Count {
            tenant: tenant.clone(),
            first_used_at: now,
            slot_end,
            ..Count::default()
        });
        count.own.admitted = (count.own.admitted + units).max(0.0);
        count.own.requested += units.max(0.0);
        count.last_used_at = now;
        // After a step back of the coordinator time, the same name covers a later slot as well.
        count.slot_end = count.slot_end.max(slot_end);
        self.update_near_quota(&tenant, now);
        let earlier_counts = earlier_names
            .iter()
            .filter_map(|name| self.counts.get(name));
        let earlier_total: f64 = earlier_counts.map(|count| self.total(count, now)).sum();
        let total = self.total(&self.counts[name], now) + earlier_total;
        // The module undoes units that it refuses, and the call that undoes them returns the
        // estimate without the surcharge.
        total + self.refusal_surcharge(&tenant, units, now)
    }

    fn sweep_when_due(&mut self, now: Duration) {
        if now >= self.last_sweep + SWEEP_INTERVAL {
            self.last_sweep = now;
            self.counts
                .retain(|_, count| now < count.last_used_at + COUNT_RETENTION);
        }
    }

    /// Marks a tenant as near its quota if its estimated rate is.
    fn update_near_quota(&mut self, tenant: &str, now: Duration) {
        let Some(tenant) = self
            .tenants
            .get_mut(tenant)
            .filter(|tenant| tenant.rate > 0.0)
        else {
            return;
        };
        let others = tenant.others.rate(now);
        let requested = tenant.requested.rate(now);
        let uniform_demand = PEER_DEMAND_FRACTION * requested * self.known_proxies;
        if (others + requested).max(uniform_demand) > NEAR_QUOTA_FRACTION * tenant.rate {
            tenant.near_quota_until = now + NEAR_QUOTA_HOLD;
        }
    }

    /// Returns whether a request is refused at random. With many proxies, each receives too few
    /// requests of a small tenant to detect a surge from its own admissions, and together they
    /// would admit everything until they learn of each other. Each proxy therefore admits requests
    /// with probability `quota / total demand`.
    fn refuses_at_random(&mut self, tenant: &str, now: Duration) -> bool {
        let is_in_outage = self.is_coordinator_unresponsive(now);
        let Some(tenant) = self.tenants.get(tenant) else {
            return false;
        };
        let is_near_quota = tenant.rate > 0.0 && now < tenant.near_quota_until;
        if !is_near_quota || is_in_outage {
            return false;
        }
        let has_low_traffic =
            tenant.rate * REPORT_AGE.as_secs_f64() * 2.0 < LOW_TRAFFIC_UNITS * self.known_proxies;
        let others_known_until = self.others_known_until(now);
        let demand = tenant.others_requested.rate(others_known_until) + tenant.requested.rate(now);
        has_low_traffic
            && demand > tenant.rate
            && self.rng.random::<f64>() * demand > RANDOM_ADMISSION_FRACTION * tenant.rate
    }

    /// Returns the estimated total of a count over all proxies.
    fn total(&self, count: &Count, now: Duration) -> f64 {
        let peers = self.known_proxies.max(1.0) - 1.0;
        let known = count.own.admitted + count.others.admitted;
        let tenant = self.tenants.get(&count.tenant);
        if self.is_coordinator_unresponsive(now) {
            let has_quota = tenant.is_some_and(|tenant| tenant.rate > 0.0);
            return if has_quota {
                known
            } else {
                count.own.admitted + count.others.admitted.max(count.own.admitted * peers)
            };
        }
        let scale = 1.0 / self.attached_fraction(&count.tenant);
        let Some(tenant) = tenant else {
            return known * scale;
        };
        let others_share = if now < tenant.near_quota_until {
            tenant.rate * peers / self.known_proxies
        } else {
            0.0
        };
        // A slot that has ended receives no further units.
        let reported = count
            .totals_received_at
            .map(|at| at.saturating_sub(REPORT_AGE));
        let from = reported.map_or(count.first_used_at, |at| at.max(count.first_used_at));
        let until = now.min(count.slot_end.max(count.first_used_at));
        let unreported_s = until.saturating_sub(from).as_secs_f64();
        // Each other proxy may have admitted as much as this one: a surge at all proxies at once
        // would otherwise be noticed too late.
        let extrapolated =
            (tenant.admitted.since(from) - EXTRAPOLATION_THRESHOLD_UNITS).max(0.0) * peers;
        let extrapolated = if unreported_s > 0.0 {
            extrapolated
        } else {
            0.0
        };
        let expected = tenant
            .others
            .rate(self.others_known_until(now))
            .max(others_share)
            * unreported_s;
        (known + expected.max(extrapolated)) * scale
    }
}
