//! A town of proxies and backends in emulated time, 10 ms a step: datagrams lost, doubled, out of order, cut; backends that fill.
//! `TOWN` prints what docs/results/load has.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use damsonbeam_load_reports::gossip::{Datagram, Gossip, pack};
use damsonbeam_load_reports::observation::{BackendKey, DeliveryEnd, Observation};
use damsonbeam_load_reports::summaries::{EXPIRY, Summary, SummaryTable};
use damsonbeam_load_reports::weight::{BackendLoad, MIN_FACTOR, WeightFactors};
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEP: u64 = 10;

/// Towns of each scene: a few, and as many as `TOWN` says.
fn seeds() -> u64 {
    std::env::var("TOWN")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(5)
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How a proxy chooses, of what it knows.
#[derive(Clone, Copy, PartialEq)]
enum By {
    /// What it has out itself, as the decision module does beside its lot.
    Own,
    /// The same over the told factor.
    Summary,
    /// The least load that it was told of: the herd.
    Least,
}

struct Proxy {
    gossip: Gossip<usize>,
    factors: WeightFactors,
    out: Vec<u16>,
    region: usize,
    up: bool,
}

struct Backend {
    work: u64,
    /// When its slots come free.
    free: Vec<u64>,
    sent: Vec<u64>,
}

struct Town {
    /// A backend that nobody is told of yet.
    hidden: Option<usize>,
    slots: usize,
    rng: SmallRng,
    now: u64,
    by: By,
    proxies: Vec<Proxy>,
    backends: Vec<Backend>,
    net: Vec<(u64, usize, usize, Vec<u8>)>,
    jobs: BTreeMap<u64, Vec<(usize, usize, u64)>>,
    cut: bool,
    bytes: usize,
}

impl Town {
    fn new(proxies: usize, backends: usize, slots: usize, by: By, seed: u64) -> Self {
        let regions = 3;
        let proxy = |n: usize| Proxy {
            gossip: Gossip::new(n as u32 + 1, seed * 1000 + n as u64),
            factors: WeightFactors::default(),
            out: vec![0; backends],
            region: n % regions,
            up: true,
        };
        let backend = |_| Backend {
            work: 100,
            free: vec![0; slots],
            sent: vec![],
        };
        Town {
            hidden: None,
            slots,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            by,
            proxies: (0..proxies).map(proxy).collect(),
            backends: (0..backends).map(backend).collect(),
            net: vec![],
            jobs: BTreeMap::new(),
            cut: false,
            bytes: 0,
        }
    }

    fn choose(&mut self, n: usize) -> usize {
        let rng = &mut self.rng;
        let p = &self.proxies[n];
        let cost = |b: usize, rng: &mut SmallRng| {
            let lot = (-rng.random::<f64>().max(1e-9).ln()).powf(0.5);
            let own = f64::from(p.out[b]) + 1.0;
            match self.by {
                By::Own => lot * own,
                By::Summary => lot * own / p.factors.factor(b as BackendKey),
                By::Least => {
                    p.gossip.table.view(b as BackendKey, at(self.now)).out + own + lot * 1e-3
                }
            }
        };
        let all: Vec<usize> = (0..self.backends.len())
            .filter(|b| Some(*b) != self.hidden)
            .collect();
        let all: Vec<_> = all.into_iter().map(|b| (cost(b, rng), b)).collect();
        all.into_iter()
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .expect("some")
            .1
    }

    fn request(&mut self) {
        let up: Vec<usize> = (0..self.proxies.len())
            .filter(|n| self.proxies[*n].up)
            .collect();
        let n = up[self.rng.random_range(0..up.len())];
        let b = self.choose(n);
        let backend = &mut self.backends[b];
        backend.sent.push(self.now);
        let slot = backend.free.iter_mut().min().expect("slots");
        *slot = (*slot).max(self.now) + backend.work;
        let done = *slot;
        self.proxies[n].out[b] += 1;
        self.proxies[n]
            .gossip
            .observer
            .begin(b as BackendKey, at(self.now));
        self.jobs.entry(done).or_default().push((n, b, self.now));
    }

    fn step(&mut self, requests: usize) {
        self.now += STEP;
        (0..requests).for_each(|_| self.request());
        while let Some(done) = self.jobs.first_entry().filter(|e| *e.key() <= self.now) {
            for (n, b, sent) in done.remove() {
                self.proxies[n].out[b] -= 1;
                let (took, now) = (at(self.now - sent), at(self.now));
                self.proxies[n].gossip.observer.end(
                    b as BackendKey,
                    DeliveryEnd::Answered,
                    took,
                    now,
                );
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = self.net.drain(..).partition(|m| m.0 <= self.now);
        self.net = rest;
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
                self.bytes += bytes.len();
                // One in five is lost, one in ten comes twice, in any order.
                if self.cut && far || self.rng.random::<f64>() < 0.2 {
                    continue;
                }
                for _ in 0..if self.rng.random::<f64>() < 0.1 { 2 } else { 1 } {
                    let way = if far { 55 } else { 1 } + self.rng.random_range(0..30);
                    self.net.push((self.now + way, n, to, bytes.clone()));
                }
            }
            self.look(n);
        }
    }

    fn look(&mut self, n: usize) {
        let (now, p) = (at(self.now), &mut self.proxies[n]);
        let slots = self.slots as f64;
        let both = |b: usize, p: &mut Proxy| BackendLoad {
            slots,
            own: p.gossip.observer.observe(b as BackendKey, now),
            told: p.gossip.table.view(b as BackendKey, now),
        };
        let all: HashMap<BackendKey, BackendLoad> = (0..self.backends.len())
            .map(|b| (b as BackendKey, both(b, p)))
            .collect();
        p.factors.update(&all, now);
    }

    fn run(&mut self, until: u64, requests: usize) {
        while self.now < until {
            self.step(requests);
        }
    }

    /// The most in any 100 ms at a backend since then, over its fair part.
    fn rush(&self, backend: usize, from: u64) -> f64 {
        let sent = &self.backends[backend].sent;
        let all: usize = self
            .backends
            .iter()
            .map(|b| b.sent.iter().filter(|s| **s >= from).count())
            .sum();
        let fair = all as f64 / self.backends.len() as f64 * 100.0 / (self.now - from) as f64;
        let most = sent.iter().filter(|s| **s >= from);
        let most = most
            .map(|s| sent.iter().filter(|t| (*s..s + 100).contains(*t)).count())
            .max()
            .unwrap_or(0);
        most as f64 / fair.max(1.0)
    }
}

/// A backend fills within a second: all steer around it together, sooner than each finds out alone.
#[test]
fn all_steer_around_a_filling_backend_together() {
    let steer = |told: bool, seed: u64| {
        let mut t = Town::new(24, 40, 4, By::Summary, seed);
        t.run(3000, 8);
        t.backends[7].work = 2500;
        while t.now < 12_000 {
            if !told {
                t.net.clear();
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
            t.bytes as f64 / 24.0 / (t.now as f64 / 1000.0),
        )
    };
    let mut told: Vec<u64> = (0..seeds()).map(|s| steer(true, s).0).collect();
    let mut alone: Vec<u64> = (0..seeds()).map(|s| steer(false, s).0).collect();
    told.sort_unstable();
    alone.sort_unstable();
    println!(
        "filling: told {told:?} ms, alone {alone:?} ms; {:.0} bytes a second a proxy",
        steer(true, 1).1
    );
    assert!(
        told[told.len() / 2] * 2 <= alone[alone.len() / 2],
        "told {told:?}, alone {alone:?}"
    );
    assert!(*told.last().expect("some") <= 3000, "{told:?}");
}

/// One quiet backend among busy ones, seen by all at once.
#[test]
fn nobody_rushes_to_the_quiet_one() {
    let most = |by: By, seed: u64| {
        let mut t = Town::new(69, 12, 32, by, seed);
        t.hidden = Some(3);
        t.run(2000, 30);
        // One is new, while the others are full.
        t.backends.iter_mut().for_each(|b| b.work = 120);
        t.run(3500, 30);
        t.hidden = None;
        let from = t.now;
        t.run(from + 1500, 30);
        t.rush(3, from)
    };
    let all = |by| (0..seeds().min(5)).map(|s| most(by, s)).fold(0.0, f64::max);
    let (told, least, own) = (all(By::Summary), all(By::Least), all(By::Own));
    println!("rush: told {told:.1}, least load {least:.1}, own alone {own:.1} times the fair part");
    assert!(told <= own.max(1.0) / MIN_FACTOR, "told {told}, own {own}");
    assert!(told * 1.5 < least, "told {told}, the herd {least}");
}

/// Any proxy may go, and a fresh one learns what it needs; a cut leaves each side with its own and heals.
#[test]
fn none_is_blind_when_any_is_lost_or_a_region_is_cut() {
    for lost in 0..12 {
        let mut t = Town::new(12, 24, 4, By::Summary, 5);
        t.run(3000, 4);
        t.proxies[lost].up = false;
        t.run(5000, 4);
        let blind = |t: &Town, n: usize| {
            (0..24)
                .filter(|b| t.proxies[n].gossip.table.view(*b, at(t.now)).origins == 0)
                .count()
        };
        assert!(
            (0..12).filter(|n| *n != lost).all(|n| blind(&t, n) <= 2),
            "without {lost}"
        );
        // Another takes its place, and knows nothing.
        t.proxies[lost] = Proxy {
            gossip: Gossip::new(99, 99),
            factors: WeightFactors::default(),
            out: vec![0; 24],
            region: lost % 3,
            up: true,
        };
        t.run(7000, 4);
        assert!(
            blind(&t, lost) <= 2,
            "{lost} is blind after 2 s: {}",
            blind(&t, lost)
        );
    }
    let mut t = Town::new(12, 24, 4, By::Summary, 6);
    t.run(3000, 4);
    t.cut = true;
    t.backends[5].work = 2000;
    t.run(13_000, 4);
    let origins = |t: &Town, n: usize| {
        t.proxies[n]
            .gossip
            .table
            .known()
            .keys()
            .map(|k| k.1)
            .collect::<HashSet<_>>()
    };
    let others =
        |t: &Town| (0..12).all(|n| origins(t, n).iter().all(|o| (*o as usize - 1) % 3 == n % 3));
    assert!(others(&t), "something of the other side is kept for ever");
    t.cut = false;
    t.backends[5].work = 100;
    t.run(23_000, 4);
    assert!(!others(&t), "the cut does not heal");
    assert!(
        t.proxies.iter().all(|p| p.factors.factor(5) > 0.7),
        "it is held against it for ever"
    );
}

fn told(origin: u32, number: u32, backend: BackendKey, age_ms: u16, out: u16) -> Summary {
    Summary {
        origin,
        number,
        backend,
        age_ms,
        observation: Observation {
            out,
            ..Observation::default()
        },
    }
}

#[test]
fn old_news_nonsense_floods_and_other_versions_are_nobodys() {
    let all = &|_: BackendKey| true;
    let mut r: Gossip<u8> = Gossip::new(1, 1);
    let datagram = |summaries: Vec<Summary>| pack(&Datagram { from: 2, summaries });
    assert!(
        !r.receive(2, &datagram(vec![told(2, 1, 7, 3500, 4)]), all, at(0)),
        "too old"
    );
    assert!(
        !r.receive(2, &datagram(vec![told(2, 1, 7, 0, 60_000)]), all, at(0)),
        "nonsense"
    );
    assert!(
        !r.receive(2, &datagram(vec![told(1, 9, 7, 0, 4)]), all, at(0)),
        "of itself"
    );
    assert!(
        !r.receive(2, &datagram(vec![told(2, 1, 8, 0, 4)]), &|m| m == 7, at(0)),
        "of a backend that is gone"
    );
    let newer: Vec<u8> = [2]
        .into_iter()
        .chain(datagram(vec![told(2, 1, 7, 0, 4)]).into_iter().skip(1))
        .collect();
    assert!(!r.receive(2, &newer, all, at(0)), "another version");
    assert!(!r.receive(2, &[1, 255, 255, 255], all, at(0)) && !r.receive(2, &[], all, at(0)));
    assert!(r.receive(2, &datagram(vec![told(2, 1, 7, 0, 4)]), all, at(0)));
    assert!(
        !r.receive(2, &datagram(vec![told(2, 1, 7, 0, 4)]), all, at(0)),
        "said twice"
    );
    let heard = (0..1000)
        .filter(|n| r.receive(2, &datagram(vec![told(2, n + 2, 7, 0, 4)]), all, at(1100)))
        .count();
    assert!(heard < 50, "a flood is taken: {heard}");
    // It fades, and goes no further when it is old.
    assert_eq!(r.table.view(7, at(1100)).origins, 1);
    assert!(r.table.take_forwards(9, at(3000)).is_empty());
    r.table.expire(at(1100) + EXPIRY);
    assert!(r.table.is_empty());
}

#[derive(Clone, Debug)]
struct Any(Summary);

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Self {
        let few = |g: &mut Gen, n: u32| u32::arbitrary(g) % n;
        Any(told(
            few(g, 4),
            few(g, 5),
            few(g, 3),
            few(g, 3500) as u16,
            few(g, 9) as u16,
        ))
    }
}

quickcheck! {
    /// Whatever comes, in whatever order, however often: the same is known. One number of one origin is one summary.
    fn boards_that_hear_the_same_know_the_same(all: Vec<Any>, turn: usize, again: usize) -> bool {
        let mut all: Vec<Summary> = all.into_iter().map(|s| s.0).collect();
        all.iter_mut().for_each(|t| t.observation.out = (t.origin * 31 + t.number * 7 + t.backend) as u16 % 100);
        let hear = |order: &[Summary]| {
            let mut b = SummaryTable::default();
            order.iter().for_each(|t| {
                b.merge(t, at(9000));
            });
            b.known()
        };
        let one = hear(&all);
        let mut other = all.clone();
        if !other.is_empty() {
            let n = other.len();
            other.rotate_left(turn % n);
            other.reverse();
            let twice = other[again % n];
            other.insert(again % n, twice);
        }
        one == hear(&other)
    }
}
