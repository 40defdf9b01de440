//! Simulation of proxies and backends in simulated time, in steps of 10 ms, with lost, duplicated and reordered
//! datagrams, network partitions and overloaded backends. The environment variable `TOWN` sets the number of seeds per
//! scenario; the results in docs/results/load come from the printed lines.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use damsonbeam_load_reports::gossip::{Datagram, Gossip, pack};
use damsonbeam_load_reports::observation::{AttemptEnd, BackendKey, Observation};
use damsonbeam_load_reports::summaries::{EXPIRY, Summary, SummaryTable};
use damsonbeam_load_reports::weight::{BackendLoad, MIN_FACTOR, WeightFactors};
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Length of a step in milliseconds.
const STEP_MS: u64 = 10;

/// Returns the number of seeds per scenario: the value of `TOWN`, or 5.
fn seeds() -> u64 {
    std::env::var("TOWN")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(5)
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How a proxy selects a backend.
#[derive(Clone, Copy, PartialEq)]
enum Selection {
    /// By its own attempts in progress and a random number, like the decision module.
    OwnLoad,
    /// Like `OwnLoad`, with the result divided by the factor from load reports.
    ReportedFactor,
    /// The backend with the least reported load, which causes herding.
    LeastReportedLoad,
}

struct Proxy {
    gossip: Gossip<usize>,
    factors: WeightFactors,
    out: Vec<u16>,
    region: usize,
    up: bool,
}

struct Backend {
    /// Time that a request takes in a slot, in milliseconds.
    service_time_ms: u64,
    /// For each slot, the time at which it becomes free.
    free_at: Vec<u64>,
    /// Times at which requests were sent to the backend.
    sent_at: Vec<u64>,
}

struct Simulation {
    /// A backend that no proxy knows yet.
    hidden: Option<usize>,
    slots: usize,
    rng: SmallRng,
    now: u64,
    selection: Selection,
    proxies: Vec<Proxy>,
    backends: Vec<Backend>,
    /// Datagrams in flight: time of arrival, sender, receiver, contents.
    in_flight: Vec<(u64, usize, usize, Vec<u8>)>,
    /// Requests in progress by time of completion: proxy, backend, time of sending.
    requests: BTreeMap<u64, Vec<(usize, usize, u64)>>,
    /// Whether the regions are partitioned from each other.
    partitioned: bool,
    /// Bytes of all datagrams sent.
    sent_bytes: usize,
}

impl Simulation {
    fn new(proxies: usize, backends: usize, slots: usize, selection: Selection, seed: u64) -> Self {
        let regions = 3;
        let proxy = |n: usize| Proxy {
            gossip: Gossip::new(n as u32 + 1, seed * 1000 + n as u64),
            factors: WeightFactors::default(),
            out: vec![0; backends],
            region: n % regions,
            up: true,
        };
        let backend = |_| Backend {
            service_time_ms: 100,
            free_at: vec![0; slots],
            sent_at: vec![],
        };
        Simulation {
            hidden: None,
            slots,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            selection,
            proxies: (0..proxies).map(proxy).collect(),
            backends: (0..backends).map(backend).collect(),
            in_flight: vec![],
            requests: BTreeMap::new(),
            partitioned: false,
            sent_bytes: 0,
        }
    }

    /// Selects a backend for a request at proxy `n`.
    fn select_backend(&mut self, n: usize) -> usize {
        let rng = &mut self.rng;
        let p = &self.proxies[n];
        let cost = |b: usize, rng: &mut SmallRng| {
            let random = (-rng.random::<f64>().max(1e-9).ln()).powf(0.5);
            let own = f64::from(p.out[b]) + 1.0;
            match self.selection {
                Selection::OwnLoad => random * own,
                Selection::ReportedFactor => random * own / p.factors.factor(b as BackendKey),
                Selection::LeastReportedLoad => {
                    p.gossip
                        .table
                        .view(b as BackendKey, at(self.now))
                        .in_progress
                        + own
                        + random * 1e-3
                }
            }
        };
        let all: Vec<usize> = (0..self.backends.len())
            .filter(|b| Some(*b) != self.hidden)
            .collect();
        let all: Vec<_> = all.into_iter().map(|b| (cost(b, rng), b)).collect();
        all.into_iter()
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .expect("at least one backend is known")
            .1
    }

    /// Sends a request from a random running proxy.
    fn send_request(&mut self) {
        let up: Vec<usize> = (0..self.proxies.len())
            .filter(|n| self.proxies[*n].up)
            .collect();
        let n = up[self.rng.random_range(0..up.len())];
        let b = self.select_backend(n);
        let backend = &mut self.backends[b];
        backend.sent_at.push(self.now);
        let slot = backend
            .free_at
            .iter_mut()
            .min()
            .expect("a backend has slots");
        *slot = (*slot).max(self.now) + backend.service_time_ms;
        let done = *slot;
        self.proxies[n].out[b] += 1;
        self.proxies[n]
            .gossip
            .observer
            .begin(b as BackendKey, at(self.now));
        self.requests
            .entry(done)
            .or_default()
            .push((n, b, self.now));
    }

    fn step(&mut self, requests: usize) {
        self.now += STEP_MS;
        (0..requests).for_each(|_| self.send_request());
        while let Some(done) = self.requests.first_entry().filter(|e| *e.key() <= self.now) {
            for (n, b, sent) in done.remove() {
                self.proxies[n].out[b] -= 1;
                let (took, now) = (at(self.now - sent), at(self.now));
                self.proxies[n].gossip.observer.end(
                    b as BackendKey,
                    AttemptEnd::Answered,
                    took,
                    now,
                );
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = self.in_flight.drain(..).partition(|m| m.0 <= self.now);
        self.in_flight = rest;
        for (_, from, to, bytes) in due {
            let known = self.backends.len() as BackendKey;
            let p = &mut self.proxies[to];
            if p.up {
                p.gossip.receive(from, &bytes, &|m| m < known, at(self.now));
            }
        }
        for n in 0..self.proxies.len() {
            if !self.proxies[n].up {
                continue;
            }
            let region = self.proxies[n].region;
            let others = |same: bool| {
                let all = self.proxies.iter().enumerate();
                let fit = all.filter(|(m, p)| *m != n && p.up && (p.region == region) == same);
                fit.map(|(m, _)| m).collect::<Vec<_>>()
            };
            let (near, far) = (others(true), others(false));
            let p = &mut self.proxies[n];
            (p.gossip.near, p.gossip.far) = (near, far);
            let out = p.gossip.tick(at(self.now));
            if out.is_empty() {
                continue;
            }
            for (to, bytes) in out {
                let far = self.proxies[to].region != region;
                self.sent_bytes += bytes.len();
                // 20 % of the datagrams are lost and 10 % duplicated; random delays reorder them.
                if self.partitioned && far || self.rng.random::<f64>() < 0.2 {
                    continue;
                }
                for _ in 0..if self.rng.random::<f64>() < 0.1 { 2 } else { 1 } {
                    let latency_ms = if far { 55 } else { 1 } + self.rng.random_range(0..30);
                    self.in_flight
                        .push((self.now + latency_ms, n, to, bytes.clone()));
                }
            }
            self.update_factors(n);
        }
    }

    fn update_factors(&mut self, n: usize) {
        let (now, p) = (at(self.now), &mut self.proxies[n]);
        let slots = self.slots as f64;
        let load = |b: usize, p: &mut Proxy| BackendLoad {
            slots,
            own: p.gossip.observer.observe(b as BackendKey, now),
            reported: p.gossip.table.view(b as BackendKey, now),
        };
        let all: HashMap<BackendKey, BackendLoad> = (0..self.backends.len())
            .map(|b| (b as BackendKey, load(b, p)))
            .collect();
        p.factors.update(&all, now);
    }

    fn run(&mut self, until: u64, requests: usize) {
        while self.now < until {
            self.step(requests);
        }
    }

    /// Returns the largest number of requests sent to a backend in any 100 ms since `from`, divided by its fair share.
    fn peak_over_fair_share(&self, backend: usize, from: u64) -> f64 {
        let sent_at = &self.backends[backend].sent_at;
        let all: usize = self
            .backends
            .iter()
            .map(|b| b.sent_at.iter().filter(|s| **s >= from).count())
            .sum();
        let fair = all as f64 / self.backends.len() as f64 * 100.0 / (self.now - from) as f64;
        let starts = sent_at.iter().filter(|s| **s >= from);
        let peak = starts
            .map(|s| {
                sent_at
                    .iter()
                    .filter(|t| (*s..s + 100).contains(*t))
                    .count()
            })
            .max()
            .unwrap_or(0);
        peak as f64 / fair.max(1.0)
    }
}

/// With load reports, all proxies lower the weight of a backend that becomes slow within 3 s, and at least twice as
/// fast as without.
#[test]
fn reports_halve_the_time_until_all_proxies_avoid_an_overloaded_backend() {
    let run_until_avoided = |with_reports: bool, seed: u64| {
        let mut t = Simulation::new(24, 40, 4, Selection::ReportedFactor, seed);
        t.run(3000, 8);
        t.backends[7].service_time_ms = 2500;
        while t.now < 12_000 {
            if !with_reports {
                t.in_flight.clear();
                t.proxies
                    .iter_mut()
                    .for_each(|p| p.gossip.table = SummaryTable::default());
            }
            t.step(8);
            if t.proxies.iter().all(|p| p.factors.factor(7) < 0.6) {
                break;
            }
        }
        (
            t.now - 3000,
            t.sent_bytes as f64 / 24.0 / (t.now as f64 / 1000.0),
        )
    };
    let mut with_reports: Vec<u64> = (0..seeds()).map(|s| run_until_avoided(true, s).0).collect();
    let mut without_reports: Vec<u64> = (0..seeds())
        .map(|s| run_until_avoided(false, s).0)
        .collect();
    with_reports.sort_unstable();
    without_reports.sort_unstable();
    println!(
        "overload: avoided after {with_reports:?} ms with reports, {without_reports:?} ms without; \
         {:.0} bytes per second and proxy",
        run_until_avoided(true, 1).1
    );
    assert!(
        with_reports[with_reports.len() / 2] * 2 <= without_reports[without_reports.len() / 2],
        "with reports {with_reports:?}, without {without_reports:?}"
    );
    assert!(
        *with_reports.last().expect("at least one seed") <= 3000,
        "{with_reports:?}"
    );
}

/// A new idle backend among overloaded ones, discovered by all proxies at once, does not attract a herd.
#[test]
fn idle_backend_among_overloaded_ones_causes_no_herding() {
    let peak = |selection: Selection, seed: u64| {
        let mut t = Simulation::new(69, 12, 32, selection, seed);
        t.hidden = Some(3);
        t.run(2000, 30);
        // The other backends are full when the hidden one becomes known.
        t.backends.iter_mut().for_each(|b| b.service_time_ms = 120);
        t.run(3500, 30);
        t.hidden = None;
        let from = t.now;
        t.run(from + 1500, 30);
        t.peak_over_fair_share(3, from)
    };
    let max_peak = |selection| {
        (0..seeds().min(5))
            .map(|s| peak(selection, s))
            .fold(0.0, f64::max)
    };
    let (reported, least, own) = (
        max_peak(Selection::ReportedFactor),
        max_peak(Selection::LeastReportedLoad),
        max_peak(Selection::OwnLoad),
    );
    println!(
        "peak over fair share: reported factors {reported:.1}, least reported load {least:.1}, own load {own:.1}"
    );
    assert!(
        reported <= own.max(1.0) / MIN_FACTOR,
        "reported factors {reported}, own load {own}"
    );
    assert!(
        reported * 1.5 < least,
        "reported factors {reported}, least reported load {least}"
    );
}

/// Proxies keep their information when any one proxy is lost, and a new proxy obtains it within 2 s. During a partition
/// each region keeps only its own summaries; afterwards the regions exchange them again.
#[test]
fn information_survives_the_loss_of_any_proxy_and_a_partition() {
    for lost in 0..12 {
        let mut t = Simulation::new(12, 24, 4, Selection::ReportedFactor, 5);
        t.run(3000, 4);
        t.proxies[lost].up = false;
        t.run(5000, 4);
        let unknown_backends = |t: &Simulation, n: usize| {
            (0..24)
                .filter(|b| t.proxies[n].gossip.table.view(*b, at(t.now)).origins == 0)
                .count()
        };
        assert!(
            (0..12)
                .filter(|n| *n != lost)
                .all(|n| unknown_backends(&t, n) <= 2),
            "a proxy lacks information after the loss of proxy {lost}"
        );
        // A new proxy without any information replaces the lost one.
        t.proxies[lost] = Proxy {
            gossip: Gossip::new(99, 99),
            factors: WeightFactors::default(),
            out: vec![0; 24],
            region: lost % 3,
            up: true,
        };
        t.run(7000, 4);
        assert!(
            unknown_backends(&t, lost) <= 2,
            "proxy {lost} lacks {} backends after 2 s",
            unknown_backends(&t, lost)
        );
    }
    let mut t = Simulation::new(12, 24, 4, Selection::ReportedFactor, 6);
    t.run(3000, 4);
    t.partitioned = true;
    t.backends[5].service_time_ms = 2000;
    t.run(13_000, 4);
    let origins = |t: &Simulation, n: usize| {
        t.proxies[n]
            .gossip
            .table
            .known()
            .keys()
            .map(|k| k.1)
            .collect::<HashSet<_>>()
    };
    let only_own_region = |t: &Simulation| {
        (0..12).all(|n| origins(t, n).iter().all(|o| (*o as usize - 1) % 3 == n % 3))
    };
    assert!(
        only_own_region(&t),
        "a summary of another region was kept during the partition"
    );
    t.partitioned = false;
    t.backends[5].service_time_ms = 100;
    t.run(23_000, 4);
    assert!(
        !only_own_region(&t),
        "no summaries of other regions after the partition"
    );
    assert!(
        t.proxies.iter().all(|p| p.factors.factor(5) > 0.7),
        "the factor of the recovered backend has not recovered"
    );
}

fn summary(
    origin: u32,
    number: u32,
    backend: BackendKey,
    age_ms: u16,
    in_progress: u16,
) -> Summary {
    Summary {
        origin,
        number,
        backend,
        age_ms,
        observation: Observation {
            in_progress,
            ..Observation::default()
        },
    }
}

#[test]
fn expired_implausible_own_excess_and_foreign_version_summaries_are_ignored() {
    let all = &|_: BackendKey| true;
    let mut gossip: Gossip<u8> = Gossip::new(1, 1);
    let datagram = |summaries: Vec<Summary>| pack(&Datagram { from: 2, summaries });
    assert!(
        !gossip.receive(2, &datagram(vec![summary(2, 1, 7, 3500, 4)]), all, at(0)),
        "an expired summary"
    );
    assert!(
        !gossip.receive(2, &datagram(vec![summary(2, 1, 7, 0, 60_000)]), all, at(0)),
        "an implausible number of attempts"
    );
    assert!(
        !gossip.receive(2, &datagram(vec![summary(1, 9, 7, 0, 4)]), all, at(0)),
        "its own summary"
    );
    assert!(
        !gossip.receive(
            2,
            &datagram(vec![summary(2, 1, 8, 0, 4)]),
            &|m| m == 7,
            at(0)
        ),
        "an unknown backend"
    );
    let newer: Vec<u8> = [2]
        .into_iter()
        .chain(datagram(vec![summary(2, 1, 7, 0, 4)]).into_iter().skip(1))
        .collect();
    assert!(!gossip.receive(2, &newer, all, at(0)), "another version");
    assert!(
        !gossip.receive(2, &[1, 255, 255, 255], all, at(0)) && !gossip.receive(2, &[], all, at(0))
    );
    assert!(gossip.receive(2, &datagram(vec![summary(2, 1, 7, 0, 4)]), all, at(0)));
    assert!(
        !gossip.receive(2, &datagram(vec![summary(2, 1, 7, 0, 4)]), all, at(0)),
        "a repeated summary"
    );
    let accepted = (0..1000)
        .filter(|n| {
            gossip.receive(
                2,
                &datagram(vec![summary(2, n + 2, 7, 0, 4)]),
                all,
                at(1100),
            )
        })
        .count();
    assert!(
        accepted < 50,
        "{accepted} datagrams of a flood were accepted"
    );
    // Old summaries are not forwarded, and are removed when they expire.
    assert_eq!(gossip.table.view(7, at(1100)).origins, 1);
    assert!(gossip.table.take_forwards(9, at(3000)).is_empty());
    gossip.table.expire(at(1100) + EXPIRY);
    assert!(gossip.table.is_empty());
}

#[derive(Clone, Debug)]
struct ArbitrarySummary(Summary);

impl Arbitrary for ArbitrarySummary {
    fn arbitrary(g: &mut Gen) -> Self {
        let below = |g: &mut Gen, n: u32| u32::arbitrary(g) % n;
        ArbitrarySummary(summary(
            below(g, 4),
            below(g, 5),
            below(g, 3),
            below(g, 3500) as u16,
            below(g, 9) as u16,
        ))
    }
}

quickcheck! {
    /// The contents of a table do not depend on the order and repetition of the merged summaries. All summaries with
    /// the same origin and number have the same observation, as in a real system.
    fn tables_merging_the_same_summaries_are_equal(all: Vec<ArbitrarySummary>, rotation: usize, repeated: usize) -> bool {
        let mut all: Vec<Summary> = all.into_iter().map(|s| s.0).collect();
        all.iter_mut().for_each(|t| t.observation.in_progress = (t.origin * 31 + t.number * 7 + t.backend) as u16 % 100);
        let merge_all = |order: &[Summary]| {
            let mut table = SummaryTable::default();
            order.iter().for_each(|t| {
                table.merge(t, at(9000));
            });
            table.known()
        };
        let expected = merge_all(&all);
        let mut other = all.clone();
        if !other.is_empty() {
            let n = other.len();
            other.rotate_left(rotation % n);
            other.reverse();
            let twice = other[repeated % n];
            other.insert(repeated % n, twice);
        }
        expected == merge_all(&other)
    }
}
