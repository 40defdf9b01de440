//! The shared counts as seen from one proxy: what it added itself, what the coordinator reports of the others, and what
//! the others may have added since.
//!
//! The decision module adds to a count and gets a total at once: waiting for the coordinator would take a round trip to
//! another region, more than a refusal may take. What this proxy has admitted under a name goes to the coordinator every
//! few milliseconds, as a whole and not as a difference: a report that comes twice changes nothing, and a new coordinator
//! has everything as soon as each proxy has reported once.
//!
//! Between two reports of the coordinator the others are taken to go on as they did of late; near the quota, to use at
//! least their shares of it. Proxies out of contact with the coordinator keep their shares: totals are scaled up by them.
//! Where the coordinator does not answer, this proxy keeps to its share: an equal part, and what it was allotted
//! (`damsonbeam_control::allotment`).
//!
//! `reports` is what goes to the coordinator and comes back, `share` this proxy's share of each quota, `token_bucket` the
//! bucket that it admits by without the coordinator; `count` is one count and one tenant, `rate` units over time,
//! `slot_naming` the names of slots, `proxy_number` how many proxies there are.

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

/// The coordinator is unresponsive once a report to it has had no answer for this long: several round trips.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(600);
/// A tenant whose rate is above this part of its quota is near it: by what is known of the others, or by what is
/// requested here if as much is requested everywhere, for a surge shows here before anybody reports it.
const NEAR_QUOTA: f64 = 0.75;
/// The part of the requests here that is taken to be requested at every other proxy: a small tenant's few requests come
/// unevenly.
const EVENNESS: f64 = 0.7;
/// A tenant stays near its quota for this long: what the module refuses without a call is requested unseen here.
const NEAR_QUOTA_TIME: Duration = Duration::from_millis(2000);
/// A tenant of which a proxy's share is fewer units than this in the time until others hear of it is requested seldom
/// here: what is admitted here shows nothing of what all admit.
const SELDOM_UNITS: f64 = 3.0;
/// The part of the quota that is admitted at random then: chance admits more now and then.
const RANDOM_ADMISSION: f64 = 0.95;
/// Added to a total so that no quota admits it.
const OVER_ANY_QUOTA: f64 = 1e9;
/// Units admitted here since the others were heard of, above which each of them is taken to have admitted as many.
const SPARE_UNITS: f64 = 1.0;
/// The number of proxies taken as given before anybody reports one: a fresh proxy among others must not use the quota
/// alone.
pub const ASSUMED_PROXIES: u32 = 24;
/// Names are kept longer than any window.
const RETENTION: Duration = Duration::from_secs(16);
/// Between two searches for names to forget.
const SWEEP_INTERVAL: Duration = Duration::from_secs(4);

/// The shared counts as seen from one proxy.
#[derive(Debug)]
pub struct QuotaCounter {
    /// Proxies that share the quotas, and those of them in contact with the coordinator.
    proxies: f64,
    attached: f64,
    proxy_number: ProxyNumber,
    tolerance: QuotaTolerance,
    holding: AllotmentHolding,
    /// The coordinator that is connected has not been told what is held here.
    owes_holding_report: bool,
    /// What proxies out of contact hold, by tenant; `None`: the coordinator has not said.
    absent: Option<AbsentParts>,
    /// How many times the coordinator was out of contact, and whether it is now.
    outages: u64,
    is_out_of_contact: bool,
    is_connected: bool,
    /// The highest term of a coordinator that is known.
    term: u64,
    /// The term of the coordinator that was connected last.
    connected_term: u64,
    /// Since when a report has had no answer.
    unanswered_since: Option<Duration>,
    counts: BTreeMap<String, Count>,
    tenants: HashMap<String, Tenant>,
    naming: SlotNaming,
    last_sweep: Duration,
    /// When everything was reported last.
    last_calm_report: Option<Duration>,
    random: SmallRng,
}

impl Default for QuotaCounter {
    fn default() -> Self {
        QuotaCounter::new(0)
    }
}

/// Whether the number of proxies that a registry reports counts where no coordinator has reported one. A registry that is
/// cut off has met few, and there may be many: its number counts only above the one that is assumed anyway.
pub fn is_proxy_count_usable(heartbeat: &Heartbeat) -> bool {
    let least = if heartbeat.in_contact {
        0
    } else {
        ASSUMED_PROXIES
    };
    heartbeat.known_proxies > least
}

/// The slot and the tenant of a name.
fn split_name(name: &str) -> Option<(u64, &str)> {
    let (slot, tenant) = name.split_once('/')?;
    Some((slot.parse().ok()?, tenant))
}

impl QuotaCounter {
    /// Counts of a proxy that has just started. What is refused at random differs by the seed, and nothing else does.
    pub fn new(seed: u64) -> Self {
        QuotaCounter {
            proxies: f64::from(ASSUMED_PROXIES),
            attached: f64::from(ASSUMED_PROXIES),
            proxy_number: ProxyNumber::default(),
            tolerance: QuotaTolerance::default(),
            holding: AllotmentHolding::default(),
            owes_holding_report: true,
            absent: None,
            outages: 0,
            is_out_of_contact: false,
            is_connected: false,
            term: 0,
            connected_term: 0,
            unanswered_since: None,
            counts: BTreeMap::new(),
            tenants: HashMap::new(),
            naming: SlotNaming::default(),
            last_sweep: Duration::ZERO,
            last_calm_report: None,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets how far the operators tolerate that quotas are exceeded; not at all where nothing is set.
    pub fn set_tolerance(&mut self, tolerance: QuotaTolerance) {
        self.tolerance = tolerance;
    }

    /// Takes the number of proxies as the coordinator reports it; returns the number that the quotas are shared among.
    pub fn set_proxies(&mut self, proxies: u32, attached: u32, now: Duration) -> u32 {
        let proxies = self.proxy_number.set_known(proxies, now);
        self.proxies = f64::from(proxies.max(1));
        self.attached = f64::from(attached.clamp(1, proxies.max(1)));
        proxies
    }

    /// The coordinator of a term is connected, or not. A new one must get everything.
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

    /// The connection to the coordinator is lost.
    pub fn disconnect(&mut self) {
        self.set_connected(false, false);
    }

    fn set_connected(&mut self, is_connected: bool, is_new: bool) {
        if is_new || is_connected != self.is_connected {
            self.counts
                .values_mut()
                .for_each(|count| count.reported = None);
            self.unanswered_since = None;
            self.last_calm_report = None;
            self.owes_holding_report = true;
        }
        self.is_connected = is_connected;
    }

    /// Sets the common time less the module's, in seconds: slots are named by the common time.
    pub fn set_time_offset(&mut self, offset_s: f64, now: Duration) {
        self.naming.set_offset(offset_s, now);
    }

    /// Sets a tenant's quota in units a second, and the length of its slots in seconds.
    pub fn set_rate(&mut self, tenant: &str, rate: f64, slot_s: f64) {
        let tenant = self.tenants.entry(tenant.to_owned()).or_default();
        tenant.rate = rate;
        tenant.slot_s = slot_s;
    }

    fn slot_s(&self, tenant: &str) -> f64 {
        self.tenants.get(tenant).map_or(0.0, |tenant| tenant.slot_s)
    }

    /// The names by which all proxies know what the module here calls so. What is admitted here is counted under the last.
    fn common_names(&mut self, name: &str) -> Vec<String> {
        let Some((slot, tenant)) = split_name(name) else {
            return vec![name.to_owned()];
        };
        let slots = self.naming.common_slots(slot, self.slot_s(tenant));
        slots.map(|slot| format!("{slot}/{tenant}")).collect()
    }

    /// When a common name's slot ends, by the module's time.
    fn slot_end(&mut self, common_name: &str) -> Duration {
        let Some((slot, tenant)) = split_name(common_name) else {
            return Duration::ZERO;
        };
        let slot_s = self.slot_s(tenant);
        self.naming.end(slot, slot_s)
    }

    /// Whether nothing is known of the others: the coordinator is not connected, or does not answer.
    fn is_coordinator_unresponsive(&self, now: Duration) -> bool {
        let is_overdue = |since: Duration| now >= since + COORDINATOR_TIMEOUT;
        !self.is_connected || self.unanswered_since.is_some_and(is_overdue)
    }

    /// Until when the others were heard of. While a report waits for its answer they are taken to go on as they did when it
    /// was sent: a coordinator that is gone must not look like others that have ceased.
    fn heard_until(&self, now: Duration) -> Duration {
        self.unanswered_since.map_or(now, |since| since.min(now))
    }

    /// Adds units under a name of the module's, and returns the total as far as it can be known.
    pub fn add(&mut self, name: &str, units: f64, now: Duration) -> f64 {
        self.sweep_when_due(now);
        let names = self.common_names(name);
        let Some((name, left_out)) = names.split_last() else {
            return 0.0;
        };
        let tenant = split_name(name).map_or("", |(_, tenant)| tenant).to_owned();
        let slot_end = self.slot_end(name);
        let known_tenant = self.tenants.entry(tenant.clone()).or_default();
        if units > 0.0 {
            known_tenant.requested.add(units, now);
        }
        known_tenant.admitted.add(units, now);
        let count = self.counts.entry(name.clone()).or_insert_with(|| Count {
            tenant: tenant.clone(),
            first_use: now,
            slot_end,
            ..Count::default()
        });
        count.own.admitted = (count.own.admitted + units).max(0.0);
        count.own.requested += units.max(0.0);
        count.last_use = now;
        // After a step back of the common time, a name stands for a later slot once more.
        count.slot_end = count.slot_end.max(slot_end);
        self.note_nearness(&tenant, now);
        let left_out = left_out.iter().filter_map(|name| self.counts.get(name));
        let left_out: f64 = left_out.map(|count| self.total(count, now)).sum();
        let total = self.total(&self.counts[name], now) + left_out;
        // The module undoes what it refuses, and gets the true total with that.
        total + self.refusal(&tenant, units, now)
    }

    fn sweep_when_due(&mut self, now: Duration) {
        if now >= self.last_sweep + SWEEP_INTERVAL {
            self.last_sweep = now;
            self.counts
                .retain(|_, count| now < count.last_use + RETENTION);
        }
    }

    /// Notes whether a tenant is near its quota.
    fn note_nearness(&mut self, tenant: &str, now: Duration) {
        let Some(tenant) = self
            .tenants
            .get_mut(tenant)
            .filter(|tenant| tenant.rate > 0.0)
        else {
            return;
        };
        let others = tenant.others.rate(now);
        let requested = tenant.requested.rate(now);
        let if_even = EVENNESS * requested * self.proxies;
        if (others + requested).max(if_even) > NEAR_QUOTA * tenant.rate {
            tenant.near_quota_until = now + NEAR_QUOTA_TIME;
        }
    }

    /// Whether a request is refused at random. Of many proxies each is asked for a small tenant too seldom to recognise a
    /// surge by what it admits itself, and all at once would admit whatever comes until they hear of each other: so each
    /// admits the part that the quota is of what all are asked for.
    fn is_refused_at_random(&mut self, tenant: &str, now: Duration) -> bool {
        let is_out_of_contact = self.is_coordinator_unresponsive(now);
        let Some(tenant) = self.tenants.get(tenant) else {
            return false;
        };
        let is_near_quota = tenant.rate > 0.0 && now < tenant.near_quota_until;
        if !is_near_quota || is_out_of_contact {
            return false;
        }
        let is_seldom = tenant.rate * REPORT_AGE.as_secs_f64() * 2.0 < SELDOM_UNITS * self.proxies;
        let heard_until = self.heard_until(now);
        let demand = tenant.others_requested.rate(heard_until) + tenant.requested.rate(now);
        is_seldom
            && demand > tenant.rate
            && self.random.random::<f64>() * demand > RANDOM_ADMISSION * tenant.rate
    }

    fn total(&self, count: &Count, now: Duration) -> f64 {
        let others = self.proxies.max(1.0) - 1.0;
        let known = count.own.admitted + count.others.admitted;
        let tenant = self.tenants.get(&count.tenant);
        if self.is_coordinator_unresponsive(now) {
            let has_quota = tenant.is_some_and(|tenant| tenant.rate > 0.0);
            return if has_quota {
                known
            } else {
                count.own.admitted + count.others.admitted.max(count.own.admitted * others)
            };
        }
        let scale = 1.0 / self.present_part(&count.tenant);
        let Some(tenant) = tenant else {
            return known * scale;
        };
        let shares = if now < tenant.near_quota_until {
            tenant.rate * others / self.proxies
        } else {
            0.0
        };
        // A slot that is over gains nothing any more.
        let reported = count.last_totals.map(|at| at.saturating_sub(REPORT_AGE));
        let from = reported.map_or(count.first_use, |at| at.max(count.first_use));
        let until = now.min(count.slot_end.max(count.first_use));
        let unknown_s = until.saturating_sub(from).as_secs_f64();
        // Each other proxy may do what this one does: a surge that all admit at once is seen by none in time.
        let alike = (tenant.admitted.since(from) - SPARE_UNITS).max(0.0) * others;
        let alike = if unknown_s > 0.0 { alike } else { 0.0 };
        let expected = tenant.others.rate(self.heard_until(now)).max(shares) * unknown_s;
        (known + expected.max(alike)) * scale
    }
}
