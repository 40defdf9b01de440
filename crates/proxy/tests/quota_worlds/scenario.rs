//! What a world is made of: its proxies, its coordinators and its faults, drawn by a seed or given.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A span of time in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub start: u64,
    pub end: u64,
}

impl Span {
    pub fn new(start: u64, end: u64) -> Self {
        Span { start, end }
    }

    pub fn contains(self, ms: u64) -> bool {
        (self.start..self.end).contains(&ms)
    }
}

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub rate: f64,
    /// The tenant sends this many times its quota from the surge on.
    pub load: f64,
    pub length_ms: u64,
    /// By proxy: the way to the coordinators, and its clock ahead of the common one, both in milliseconds.
    pub ways_ms: Vec<u64>,
    pub clocks_ms: Vec<u64>,
    /// When each coordinator acts; terms count from 1.
    pub coordinators: Vec<Span>,
    /// The common time of each coordinator less that of the first.
    pub steps_ms: Vec<i64>,
    /// Which proxy has no way to the coordinators, and when.
    pub cuts: Vec<(usize, Span)>,
    /// Which proxy is killed, when, and when it is back with a new incarnation.
    pub restarts: Vec<(usize, Span)>,
    /// The part of reports that come twice, the second time late.
    pub doubled: f64,
}

impl Scenario {
    /// A world without faults.
    pub fn calm(proxies: usize, rate: f64, load: f64) -> Self {
        let length_ms = 14_000;
        Scenario {
            seed: 3,
            rate,
            load,
            length_ms,
            ways_ms: vec![55; proxies],
            clocks_ms: vec![0; proxies],
            coordinators: vec![Span::new(0, length_ms)],
            steps_ms: vec![0],
            cuts: vec![],
            restarts: vec![],
            doubled: 0.0,
        }
    }

    /// A world with faults of all kinds, by its seed.
    pub fn drawn(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let proxies = random.random_range(2..=12);
        let rate = [30.0, 100.0, 300.0, 490.0][random.random_range(0..4)];
        let load = random.random_range(1.2..8.0);
        let mut world = Scenario::calm(proxies, rate, load);
        world.seed = seed;
        let spread = [0, 400, 3000][random.random_range(0..3)];
        world.ways_ms = (0..proxies).map(|_| random.random_range(1..=58)).collect();
        world.clocks_ms = (0..proxies)
            .map(|_| random.random_range(0..=spread))
            .collect();
        let first_ends = random.random_range(3500..8000);
        let second_begins = first_ends + random.random_range(300..3500);
        let second_ends = second_begins + random.random_range(200..6000);
        let third_begins = second_ends + random.random_range(300..2000);
        world.coordinators = vec![
            Span::new(0, first_ends),
            Span::new(second_begins, second_ends),
            Span::new(third_begins, world.length_ms),
        ];
        let most_ms = [60, 250, 5000][random.random_range(0..3)];
        let steps = (0..3).map(|_| random.random_range(-most_ms..=most_ms));
        world.steps_ms = steps.collect();
        if random.random_bool(0.5) {
            let begins = random.random_range(3000..9000);
            let ends = begins + random.random_range(300..4000);
            world.cuts = vec![(random.random_range(0..proxies), Span::new(begins, ends))];
        }
        if random.random_bool(0.5) {
            let begins = random.random_range(3000..9000);
            let ends = begins + random.random_range(200..3000);
            world.restarts = vec![(random.random_range(0..proxies), Span::new(begins, ends))];
        }
        world.doubled = [0.0, 0.2][random.random_range(0..2)];
        world
    }
}

/// A fault of a small world.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// No coordinator acts for a time; then another one does, whose common time has stepped.
    CoordinatorLost { for_ms: u64, step_ms: i64 },
    /// The first proxy has no way to the coordinators for a time.
    Cut { for_ms: u64 },
    /// The first proxy is killed, and is back after a time.
    Killed { for_ms: u64 },
    /// All reports come twice from the beginning, the second time late.
    Doubled,
}

impl Fault {
    /// All faults of small worlds.
    pub fn all() -> Vec<Fault> {
        let mut faults = vec![Fault::Doubled];
        for for_ms in [400, 1900] {
            faults.push(Fault::Cut { for_ms });
            faults.push(Fault::Killed { for_ms });
            for step_ms in [0, 250] {
                faults.push(Fault::CoordinatorLost { for_ms, step_ms });
            }
        }
        faults
    }

    /// Adds the fault to a world; `false` where an earlier coordinator is not back yet.
    pub fn add_to(self, world: &mut Scenario, at_ms: u64) -> bool {
        match self {
            Fault::CoordinatorLost { for_ms, step_ms } => {
                let last = world.coordinators.len() - 1;
                if at_ms <= world.coordinators[last].start {
                    return false;
                }
                world.coordinators[last].end = at_ms;
                world
                    .coordinators
                    .push(Span::new(at_ms + for_ms, world.length_ms));
                world.steps_ms.push(world.steps_ms[last] + step_ms);
            }
            Fault::Cut { for_ms } => world.cuts.push((0, Span::new(at_ms, at_ms + for_ms))),
            Fault::Killed { for_ms } => world.restarts.push((0, Span::new(at_ms, at_ms + for_ms))),
            Fault::Doubled => world.doubled = 1.0,
        }
        true
    }
}
