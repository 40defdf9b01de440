//! The shared count as seen from one proxy: what it added itself, what the coordinator told of the others, and what
//! the others may have added since.
//!
//! The decision module adds to a count and gets a total at once: waiting for the coordinator would take the way to
//! another region and back, more than a refusal may take. What this proxy holds under a name goes to the coordinator every few
//! milliseconds, as a whole and not as a difference: said twice it changes nothing, and a coordinator that has just
//! taken the duty knows all that counts as soon as each proxy has said it once.
//!
//! Between two words of the coordinator the others are taken to go on as they did of late; near the quota, to use at least
//! their parts of it. Proxies out of touch with the coordinator keep their parts: totals are scaled up by them. Where the
//! coordinator says nothing, every other proxy is taken to use as much as this one, so each keeps to its part.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use damsonbeam_control::messages::{Heartbeat, NamedCount};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The coordinator is silent once what was said to it is unanswered for so long: several ways there and back.
const SILENT: Duration = Duration::from_millis(600);
/// What the coordinator tells of the others is this old when it comes: their words' wait and way, and its own way here.
const STALE: Duration = Duration::from_millis(150);
/// The others' pace is taken over this: long against words' coming and going, short against a surge.
const SPAN: Duration = Duration::from_millis(600);
/// A tenant whose pace is above this part of its rate is near its quota: by what is known of the others, or by what
/// is asked for here if all others are asked as much, for a surge shows here before anybody tells of it.
const NEAR: f64 = 0.75;
/// Of this part of what is asked for here: a small tenant's few requests come unevenly.
const EVEN: f64 = 0.7;
/// It stays so for this long: what the module refuses without a call is asked for unseen here.
const STAYS: Duration = Duration::from_millis(2000);
/// A tenant of whose quota a proxy's part is fewer units than this in the time until others hear of it is asked for
/// seldom here: what is let in here tells nothing of what all let in.
const FEW: f64 = 3.0;
/// Part of the quota that is let in by lot then: chance lets in more now and then.
const LET: f64 = 0.95;
/// A total that no quota admits.
const NEVER: f64 = 1e9;
/// Units let in here since the others were heard of from which it is taken that each of them does the same.
const SPARE: f64 = 1.0;
/// The common time is known this well, in seconds: two ways between regions differ by less.
const JITTER: f64 = 0.06;
/// So many proxies are reckoned with before anybody told: a fresh one among others must not use the quota alone.
pub const UNTOLD: u32 = 24;
/// The most proxies told count for so long.
const MOST: Duration = Duration::from_secs(20);
/// Tenants that are not near their quotas are told of so often.
const CALM: Duration = Duration::from_millis(150);
/// Names are kept longer than any window.
const KEEP: Duration = Duration::from_secs(16);

#[derive(Debug, Default)]
struct Name {
    tenant: String,
    own: f64,
    asked: f64,
    /// What the coordinator was told last of both.
    sent: Option<(f64, f64)>,
    others: f64,
    others_asked: f64,
    first: Duration,
    last: Duration,
    /// When the coordinator told of it last.
    told: Option<Duration>,
    /// When its slot ends, by the module's time; zero where it has none.
    ends: Duration,
    /// Its total was asked for once more after that: it is final.
    last_asked: bool,
}

/// Sums over time, and the pace of late.
#[derive(Debug, Default)]
struct Pace {
    sum: f64,
    seen: VecDeque<(Duration, f64)>,
}

impl Pace {
    fn add(&mut self, units: f64, now: Duration) {
        self.sum += units;
        self.seen.push_back((now, self.sum));
        while self.seen.len() > 2 && self.seen[1].0 + SPAN <= now {
            self.seen.pop_front();
        }
    }

    /// Units since then.
    fn since(&self, from: Duration) -> f64 {
        let before = self
            .seen
            .iter()
            .rev()
            .find(|s| s.0 <= from)
            .or(self.seen.front());
        before.map_or(0.0, |b| self.sum - b.1)
    }

    /// Units a second.
    fn of(&self, now: Duration) -> f64 {
        self.since(now.saturating_sub(SPAN)) / SPAN.as_secs_f64()
    }
}

#[derive(Debug, Default)]
struct Tenant {
    rate: f64,
    /// Length of a slot in seconds, where it has a limit.
    slot: f64,
    asked: Pace,
    /// What it holds here.
    own: Pace,
    others: Pace,
    /// What the others are asked for.
    demand: Pace,
    near_until: Duration,
}

#[derive(Debug)]
pub struct QuotaCounter {
    proxies: f64,
    attached: f64,
    /// The most proxies told of late, and when.
    most: (u32, Duration),
    linked: bool,
    /// The highest term of a coordinator's that is known.
    term: u64,
    /// The term of the coordinator that was linked last.
    linked_term: u64,
    /// What was said and is not answered, since when.
    unanswered: Option<Duration>,
    names: BTreeMap<String, Name>,
    tenants: HashMap<String, Tenant>,
    /// The common time less the module's, in seconds.
    ahead: f64,
    swept: Duration,
    /// When all was said last.
    told_calm: Option<Duration>,
    rng: SmallRng,
}

impl Default for QuotaCounter {
    fn default() -> Self {
        QuotaCounter::new(0)
    }
}

impl QuotaCounter {
    /// `seed`: what is left out by lot differs by it, and by nothing else.
    pub fn new(seed: u64) -> Self {
        QuotaCounter {
            proxies: f64::from(UNTOLD),
            attached: f64::from(UNTOLD),
            most: (0, Duration::ZERO),
            linked: false,
            term: 0,
            linked_term: 0,
            unanswered: None,
            names: BTreeMap::new(),
            tenants: HashMap::new(),
            ahead: 0.0,
            swept: Duration::ZERO,
            told_calm: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }
}

/// Whether the number of proxies that a registry tells counts where no coordinator has told one. A registry that is cut
/// off has met few, and there may be many: its number counts only above the one that is reckoned with anyway.
pub fn is_share_told(heartbeat: &Heartbeat) -> bool {
    heartbeat.proxies > if heartbeat.in_contact { 0 } else { UNTOLD }
}

/// A slot of the module's and its tenant.
fn parts(name: &str) -> Option<(u64, &str)> {
    let (slot, tenant) = name.split_once('/')?;
    Some((slot.parse().ok()?, tenant))
}

impl QuotaCounter {
    /// What the coordinator says of the proxies. A coordinator that has just begun has not met all: the most told of late counts.
    /// Tells how many are reckoned with.
    pub fn share(&mut self, proxies: u32, attached: u32, now: Duration) -> u32 {
        if proxies >= self.most.0 || self.most.0 == 0 || now >= self.most.1 + MOST {
            self.most = (proxies, now);
        }
        let proxies = self.most.0;
        self.proxies = f64::from(proxies.max(1));
        self.attached = f64::from(attached.clamp(1, proxies.max(1)));
        proxies
    }

    /// The coordinator of that term is linked to this proxy. A new one must hear all that counts.
    pub fn link_coordinator(&mut self, term: u64, linked: bool) {
        let is_new = term != self.linked_term;
        self.linked_term = term;
        self.term = self.term.max(term);
        self.set_linked(linked, is_new);
    }

    /// The link to the coordinator is lost.
    pub fn unlink(&mut self) {
        self.set_linked(false, false);
    }

    fn set_linked(&mut self, linked: bool, is_new: bool) {
        if is_new || linked != self.linked {
            self.names.values_mut().for_each(|n| n.sent = None);
            (self.unanswered, self.told_calm) = (None, None);
        }
        self.linked = linked;
    }

    /// The common time is so far ahead of the module's: slots are named by the common one.
    /// Small differences are the ways' of messages: slots must not be renamed for them.
    pub fn clock(&mut self, ahead: f64) {
        if (ahead - self.ahead).abs() >= JITTER {
            self.ahead = ahead;
        }
    }

    pub fn limit(&mut self, tenant: &str, rate: f64, slot: f64) {
        let t = self.tenants.entry(tenant.to_owned()).or_default();
        (t.rate, t.slot) = (rate, slot);
    }

    /// The name by which all proxies know what the module here calls so.
    fn common(&self, name: &str) -> String {
        let Some((slot, tenant)) = parts(name) else {
            return name.to_owned();
        };
        let len = self.tenants.get(tenant).map_or(0.0, |t| t.slot);
        let shift = if len > 0.0 {
            (self.ahead / len).round() as i64
        } else {
            0
        };
        format!("{}/{tenant}", slot.saturating_add_signed(shift))
    }

    /// When a name's slot ends, by the module's time.
    fn ends(&self, name: &str) -> Duration {
        let Some((slot, tenant)) = parts(name) else {
            return Duration::ZERO;
        };
        let len = self.tenants.get(tenant).map_or(0.0, |t| t.slot);
        Duration::from_secs_f64(((slot + 1) as f64 * len - self.ahead).max(0.0))
    }

    fn silent(&self, now: Duration) -> bool {
        !self.linked || self.unanswered.is_some_and(|u| now >= u + SILENT)
    }

    /// Adds, and tells the total as far as it can be known.
    pub fn count(&mut self, name: &str, add: f64, now: Duration) -> f64 {
        if now >= self.swept + KEEP / 4 {
            self.swept = now;
            self.names.retain(|_, n| now < n.last + KEEP);
        }
        let name = self.common(name);
        let tenant = parts(&name).map_or("", |p| p.1).to_owned();
        if add > 0.0 {
            self.tenants
                .entry(tenant.clone())
                .or_default()
                .asked
                .add(add, now);
        }
        let ends = self.ends(&name);
        let whose = tenant.clone();
        let fresh = || Name {
            tenant: whose,
            first: now,
            ends,
            ..Name::default()
        };
        self.tenants
            .entry(tenant.clone())
            .or_default()
            .own
            .add(add, now);
        let n = self.names.entry(name.clone()).or_insert_with(fresh);
        (n.own, n.asked, n.last) = ((n.own + add).max(0.0), n.asked + add.max(0.0), now);
        let proxies = self.proxies;
        if let Some(t) = self
            .tenants
            .get_mut(&self.names[&name].tenant)
            .filter(|t| t.rate > 0.0)
        {
            let (pace, asked) = (t.others.of(now), t.asked.of(now));
            if (pace + asked).max(EVEN * asked * proxies) > NEAR * t.rate {
                t.near_until = now + STAYS;
            }
        }
        let total = self.total(&self.names[&name], now);
        // The module undoes what it refuses, and gets the true total with that.
        let tenant = self.names[&name].tenant.clone();
        if add > 0.0 && self.is_left_out(&tenant, now) {
            total + NEVER
        } else {
            total
        }
    }

    /// Whether a request is left out by lot. Of many proxies each is asked for a small tenant too seldom to tell a surge by
    /// what it lets in itself, and all at once would let in whatever comes until they hear of each other: so
    /// each lets in the part that the quota is of what all are asked for.
    fn is_left_out(&mut self, tenant: &str, now: Duration) -> bool {
        let (proxies, silent) = (self.proxies, self.silent(now));
        let Some(t) = self
            .tenants
            .get(tenant)
            .filter(|t| t.rate > 0.0 && now < t.near_until && !silent)
        else {
            return false;
        };
        let seldom = t.rate * STALE.as_secs_f64() * 2.0 < FEW * proxies;
        let demand = t.demand.of(now) + t.asked.of(now);
        seldom && demand > t.rate && self.rng.random::<f64>() * demand > LET * t.rate
    }

    fn total(&self, n: &Name, now: Duration) -> f64 {
        let others = self.proxies.max(1.0) - 1.0;
        if self.silent(now) {
            return n.own + n.others.max(n.own * others);
        }
        let absent = (self.proxies / self.attached.max(1.0)).max(1.0);
        let Some(t) = self.tenants.get(&n.tenant) else {
            return (n.own + n.others) * absent;
        };
        let pace = t.others.of(now);
        let parts = if now < t.near_until {
            t.rate * others / self.proxies
        } else {
            0.0
        };
        // A slot that is over gains nothing any more.
        let from = n
            .told
            .map_or(n.first, |told| told.saturating_sub(STALE).max(n.first));
        let since = now
            .min(n.ends.max(n.first))
            .saturating_sub(from)
            .as_secs_f64();
        // Each other one may do what this one does: a surge that all let in at once is seen by none in time.
        let alike = (t.own.since(from) - SPARE).max(0.0) * others;
        let alike = if since > 0.0 { alike } else { 0.0 };
        (n.own + n.others + (pace.max(parts) * since).max(alike)) * absent
    }

    /// What the coordinator has not heard yet: names and all that this proxy holds under each.
    pub fn fresh(&mut self, now: Duration) -> Vec<NamedCount> {
        if !self.linked {
            return vec![];
        }
        let calm = self.told_calm.is_some_and(|t| now < t + CALM);
        let tenants = &self.tenants;
        // Far from its quota a tenant's counts can wait for company; the others reckon with its pace meanwhile.
        let waits = |n: &Name| calm && tenants.get(&n.tenant).is_none_or(|t| now >= t.near_until);
        let over =
            |n: &Name| !n.last_asked && n.own > 0.0 && !n.ends.is_zero() && now >= n.ends + STALE;
        let changed = self.names.iter_mut().filter(|(_, n)| {
            (n.sent.unwrap_or_default() != (n.own, n.asked) || over(n)) && !waits(n)
        });
        let out: Vec<NamedCount> = changed
            .map(|(name, n)| {
                n.sent = Some((n.own, n.asked));
                n.last_asked |= over(n);
                NamedCount {
                    name: name.clone(),
                    held: n.own,
                    asked: n.asked,
                }
            })
            .collect();
        if !calm {
            self.told_calm = Some(now);
        }
        if !out.is_empty() {
            self.unanswered.get_or_insert(now);
        }
        out
    }

    /// The totals of the coordinator of that term; of a name not used here yet, it tells because its tenant is near its
    /// quota. Totals of an earlier term come from a registry that has lost the duty: they change nothing.
    pub fn receive_totals(&mut self, term: u64, totals: &[NamedCount], now: Duration) {
        if term < self.term {
            return;
        }
        self.term = term;
        self.unanswered = None;
        for NamedCount { name, held, asked } in totals {
            if !self.names.contains_key(name) {
                let Some((_, tenant)) = parts(name) else {
                    continue;
                };
                let (tenant, ends) = (tenant.to_owned(), self.ends(name));
                self.tenants.entry(tenant.clone()).or_default().near_until = now + STAYS;
                let sent = Some((0.0, 0.0));
                let new = Name {
                    tenant,
                    first: now,
                    last: now,
                    ends,
                    sent,
                    ..Name::default()
                };
                self.names.insert(name.clone(), new);
            }
            let Some(n) = self.names.get_mut(name) else {
                continue;
            };
            // What was told of the others stays true, whoever is the coordinator.
            let sent = n.sent.unwrap_or_default();
            let (others, asked) = (
                (held - sent.0).max(n.others),
                (asked - sent.1).max(n.others_asked),
            );
            let (more, demand) = (others - n.others, asked - n.others_asked);
            (n.others, n.others_asked, n.told) = (others, asked, Some(now));
            let t = self.tenants.entry(n.tenant.clone()).or_default();
            t.others.add(more, now);
            t.demand.add(demand, now);
        }
    }
}
