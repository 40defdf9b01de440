//! Scenarios of the quota simulation: proxies, coordinators and faults, generated from a seed or
//! built explicitly.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A half-open span of time in milliseconds.
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

/// A scenario of the simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub rate: f64,
    /// Demand from the surge on, as a multiple of the quota.
    pub load: f64,
    pub duration_ms: u64,
    /// By proxy: the one-way latency to the coordinators, and by how much its clock is ahead of the
    /// simulated time, both in milliseconds.
    pub latencies_ms: Vec<u64>,
    pub clock_offsets_ms: Vec<u64>,
    /// When each coordinator is active; the first has term 1.
    pub coordinators: Vec<Span>,
    /// Offset that each coordinator adds to the coordinator time, in milliseconds.
    pub coordinator_offsets_ms: Vec<i64>,
    /// Proxies that are disconnected from the coordinators, and when.
    pub disconnections: Vec<(usize, Span)>,
    /// Proxies that are killed, when, and when they are back as a new incarnation.
    pub restarts: Vec<(usize, Span)>,
    /// Probability that a report is duplicated; the duplicate arrives late.
    pub duplicate_probability: f64,
}

impl Scenario {
    /// Returns a scenario without faults.
    pub fn without_faults(proxies: usize, rate: f64, load: f64) -> Self {
        let duration_ms = 14_000;
        Scenario {
            seed: 3,
            rate,
            load,
            duration_ms,
            latencies_ms: vec![55; proxies],
            clock_offsets_ms: vec![0; proxies],
            coordinators: vec![Span::new(0, duration_ms)],
            coordinator_offsets_ms: vec![0],
            disconnections: vec![],
            restarts: vec![],
            duplicate_probability: 0.0,
        }
    }

    /// Returns a scenario with random faults, determined by the seed.
    pub fn random(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let proxies = rng.random_range(2..=12);
        let rate = [30.0, 100.0, 300.0, 490.0][rng.random_range(0..4)];
        let load = rng.random_range(1.2..8.0);
        let mut scenario = Scenario::without_faults(proxies, rate, load);
        scenario.seed = seed;
        let max_clock_offset_ms = [0, 400, 3000][rng.random_range(0..3)];
        scenario.latencies_ms = (0..proxies).map(|_| rng.random_range(1..=58)).collect();
        scenario.clock_offsets_ms = (0..proxies)
            .map(|_| rng.random_range(0..=max_clock_offset_ms))
            .collect();
        let first_end = rng.random_range(3500..8000);
        let second_start = first_end + rng.random_range(300..3500);
        let second_end = second_start + rng.random_range(200..6000);
        let third_start = second_end + rng.random_range(300..2000);
        scenario.coordinators = vec![
            Span::new(0, first_end),
            Span::new(second_start, second_end),
            Span::new(third_start, scenario.duration_ms),
        ];
        let max_offset_ms = [60, 250, 5000][rng.random_range(0..3)];
        let offsets = (0..3).map(|_| rng.random_range(-max_offset_ms..=max_offset_ms));
        scenario.coordinator_offsets_ms = offsets.collect();
        if rng.random_bool(0.5) {
            let start = rng.random_range(3000..9000);
            let end = start + rng.random_range(300..4000);
            scenario.disconnections = vec![(rng.random_range(0..proxies), Span::new(start, end))];
        }
        if rng.random_bool(0.5) {
            let start = rng.random_range(3000..9000);
            let end = start + rng.random_range(200..3000);
            scenario.restarts = vec![(rng.random_range(0..proxies), Span::new(start, end))];
        }
        scenario.duplicate_probability = [0.0, 0.2][rng.random_range(0..2)];
        scenario
    }
}

/// A fault of a small scenario.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// No coordinator is active for a time; then another one is, whose clock differs by `step_ms`.
    CoordinatorLost { duration_ms: u64, step_ms: i64 },
    /// The first proxy is disconnected from the coordinators for a time.
    Disconnected { duration_ms: u64 },
    /// The first proxy is killed and restarts after a time.
    Killed { duration_ms: u64 },
    /// All reports are duplicated from the beginning, and the duplicates arrive late.
    ReportsDuplicated,
}

impl Fault {
    /// Returns all faults of small scenarios.
    pub fn all() -> Vec<Fault> {
        let mut faults = vec![Fault::ReportsDuplicated];
        for duration_ms in [400, 1900] {
            faults.push(Fault::Disconnected { duration_ms });
            faults.push(Fault::Killed { duration_ms });
            for step_ms in [0, 250] {
                faults.push(Fault::CoordinatorLost {
                    duration_ms,
                    step_ms,
                });
            }
        }
        faults
    }

    /// Adds the fault to a scenario; returns `false` if an earlier coordinator has not started yet.
    pub fn add_to(self, scenario: &mut Scenario, at_ms: u64) -> bool {
        match self {
            Fault::CoordinatorLost {
                duration_ms,
                step_ms,
            } => {
                let last = scenario.coordinators.len() - 1;
                if at_ms <= scenario.coordinators[last].start {
                    return false;
                }
                scenario.coordinators[last].end = at_ms;
                scenario
                    .coordinators
                    .push(Span::new(at_ms + duration_ms, scenario.duration_ms));
                scenario
                    .coordinator_offsets_ms
                    .push(scenario.coordinator_offsets_ms[last] + step_ms);
            }
            Fault::Disconnected { duration_ms } => scenario
                .disconnections
                .push((0, Span::new(at_ms, at_ms + duration_ms))),
            Fault::Killed { duration_ms } => scenario
                .restarts
                .push((0, Span::new(at_ms, at_ms + duration_ms))),
            Fault::ReportsDuplicated => scenario.duplicate_probability = 1.0,
        }
        true
    }
}
