//! Starts of a whole core in simulated time: the store takes in one voter after the other, so that the epoch changes while
//! the registries elect the coordinator.

use std::collections::BTreeMap;
use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::lease::LeaseElection;
use damsonbeam_control::messages::LeaseMessage;
use damsonbeam_control::voters::VoterSet;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const REGISTRIES: usize = 9;
/// Voters of the first epoch.
const REGIONS: usize = 3;
const DELAY_IN_REGION_US: u64 = 500;
const REGION_DELAYS_US: std::ops::Range<u64> = 5_000..80_000;
const MAX_JITTER_US: u64 = 2_000;
const FIRST_VOTERS: usize = 3;
const TICK_US: u64 = 50_000;
const EPOCH_QUERY_INTERVAL_US: u64 = 250_000;
/// The time after which the core counts as settled once nothing is started or lost any more (`contact_ms`).
const SETTLED_AFTER: Duration = Duration::from_secs(5);
const SIMULATED: Duration = Duration::from_secs(30);
const SEEDS: u64 = 2000;

/// Something that happens to one registry.
enum Event {
    Tick,
    /// The store on the machine enters an epoch.
    EnterEpoch(u64),
    QueryEpoch,
    EpochConfirmed {
        epoch: u64,
        asked_at: Duration,
    },
    Datagram {
        from: usize,
        sender_epoch: u64,
        message: LeaseMessage,
    },
}

/// One start of a core.
struct Start {
    rng: ChaCha8Rng,
    elections: Vec<LeaseElection>,
    /// The epochs of the stores.
    stores: Vec<u64>,
    /// Events by time in microseconds and order of creation.
    events: BTreeMap<(u64, u64), (usize, Event)>,
    created: u64,
    /// The registry that was stopped, if any.
    stopped: Option<usize>,
    /// The delay between any two regions in this start.
    region_delay_us: u64,
}

fn region(registry: usize) -> usize {
    registry % REGIONS
}

fn ip(n: usize) -> Ip {
    [10, n as u8 + 1, 0, 20]
}

fn ips() -> Vec<Ip> {
    (0..REGISTRIES).map(ip).collect()
}

fn voters(epoch: u64) -> VoterSet {
    let count = FIRST_VOTERS + epoch as usize - 1;
    VoterSet::new(epoch, (0..count).map(ip).collect())
}

impl Start {
    fn new(seed: u64) -> Self {
        let elections = ips()
            .into_iter()
            .map(|ip| LeaseElection::new(ip, Duration::ZERO));
        let mut start = Start {
            rng: ChaCha8Rng::seed_from_u64(seed),
            elections: elections.collect(),
            stores: vec![0; REGISTRIES],
            events: BTreeMap::new(),
            created: 0,
            stopped: None,
            region_delay_us: 0,
        };
        start.region_delay_us = start.rng.random_range(REGION_DELAYS_US);
        start.schedule_stores();
        for n in 0..REGISTRIES {
            let first_tick_us = start.rng.random_range(0..10_000);
            start.schedule(first_tick_us, n, Event::Tick);
            let first_query_us = 200_000 + start.rng.random_range(0..10_000);
            start.schedule(first_query_us, n, Event::QueryEpoch);
        }
        start
    }

    fn schedule(&mut self, at_us: u64, registry: usize, event: Event) {
        self.created += 1;
        self.events.insert((at_us, self.created), (registry, event));
    }

    /// Schedules the epochs: the next voter is taken in once the set before is known.
    fn schedule_stores(&mut self) {
        let mut at_us = 100_000;
        for epoch in 1..=(REGISTRIES - FIRST_VOTERS + 1) as u64 {
            for n in 0..REGISTRIES {
                let learned_us = at_us + self.rng.random_range(0..80_000);
                self.schedule(learned_us, n, Event::EnterEpoch(epoch));
            }
            at_us += self.rng.random_range(250_000..500_000);
        }
    }

    /// Returns the delay of a datagram between two machines.
    fn delay_us(&mut self, from: usize, to: usize) -> u64 {
        let jitter_us = self.rng.random_range(0..MAX_JITTER_US);
        if region(from) == region(to) {
            return DELAY_IN_REGION_US + jitter_us;
        }
        self.region_delay_us + jitter_us
    }

    /// Runs until the predicate holds after an event, and returns that time; `None` if it does not hold in
    /// [`SIMULATED`].
    fn run_until(&mut self, is_met: impl Fn(&Self, Duration) -> bool) -> Option<Duration> {
        while let Some(((at_us, _), (n, event))) = self.events.pop_first() {
            let now = Duration::from_micros(at_us);
            if now > SIMULATED {
                return None;
            }
            if self.stopped != Some(n) {
                self.handle(at_us, n, event);
            }
            let holders = (0..REGISTRIES).filter(|n| self.holds(*n, now)).count();
            assert!(holders <= 1, "two holders at {now:?}");
            if is_met(self, now) {
                return Some(now);
            }
        }
        None
    }

    fn holds(&self, registry: usize, now: Duration) -> bool {
        self.stopped != Some(registry) && self.elections[registry].held_term(now).is_some()
    }

    fn holder(&self, now: Duration) -> Option<usize> {
        (0..REGISTRIES).find(|n| self.holds(*n, now))
    }

    /// Returns the time from the last change of epoch until a registry holds the lease.
    fn time_to_first_holder(&mut self) -> Duration {
        let last_epoch = (REGISTRIES - FIRST_VOTERS + 1) as u64;
        let is_settled = |start: &Start, _| start.stores.iter().all(|epoch| *epoch == last_epoch);
        let settled_at = self.run_until(is_settled).expect("epochs end");
        let held_at = self.run_until(|start, now| start.holder(now).is_some());
        held_at.unwrap_or(SIMULATED) - settled_at
    }

    /// Stops the holder some time after the first one was elected; returns the time until another holds the lease.
    fn time_to_replacement(&mut self) -> Duration {
        self.time_to_first_holder();
        let first_at = self.run_until(|start, now| start.holder(now).is_some());
        let stop_at = first_at.expect("a holder") + self.holding_time();
        let stopped_at = self.run_until(|start, now| now >= stop_at && start.holder(now).is_some());
        let stopped_at = stopped_at.expect("a holder");
        self.stopped = self.holder(stopped_at);
        let held_at = self.run_until(|start, now| start.holder(now).is_some());
        held_at.unwrap_or(SIMULATED) - stopped_at
    }

    fn holding_time(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(1_000_000..3_000_000))
    }

    fn handle(&mut self, at_us: u64, n: usize, event: Event) {
        let now = Duration::from_micros(at_us);
        match event {
            Event::Tick => {
                if self.elections[n].knows_newer_epoch() {
                    self.elections[n].defer_claims(now);
                }
                if let Some(message) = self.elections[n].tick(now, &ips()) {
                    for to in (0..REGISTRIES).filter(|to| *to != n) {
                        self.send(at_us, n, to, message.clone());
                    }
                }
                self.schedule(at_us + TICK_US, n, Event::Tick);
            }
            Event::EnterEpoch(epoch) => {
                self.stores[n] = epoch;
                self.elections[n].set_voters(voters(epoch));
            }
            Event::QueryEpoch => {
                let confirmed = Event::EpochConfirmed {
                    epoch: self.stores[n],
                    asked_at: now,
                };
                self.schedule(at_us + 1_000, n, confirmed);
                self.schedule(at_us + EPOCH_QUERY_INTERVAL_US, n, Event::QueryEpoch);
            }
            Event::EpochConfirmed { epoch, asked_at } => {
                self.elections[n].confirm_epoch(epoch, asked_at);
            }
            Event::Datagram {
                from,
                sender_epoch,
                message,
            } => {
                self.elections[n].observe_epoch(sender_epoch);
                if let Some(answer) = self.elections[n].receive(ip(from), &message, now) {
                    self.send(at_us, n, from, answer);
                }
            }
        }
    }

    fn send(&mut self, at_us: u64, from: usize, to: usize, message: LeaseMessage) {
        let datagram = Event::Datagram {
            from,
            sender_epoch: self.elections[from].epoch(),
            message,
        };
        let delay_us = self.delay_us(from, to);
        self.schedule(at_us + delay_us, to, datagram);
    }
}

/// Plays all seeds; fails if the core took longer than [`SETTLED_AFTER`] in one.
fn check(time: impl Fn(&mut Start) -> Duration) {
    let mut times: Vec<(Duration, u64)> = (0..SEEDS)
        .map(|seed| (time(&mut Start::new(seed)), seed))
        .collect();
    times.sort_unstable();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "median {:?}, 0.9 {:?}, 0.99 {:?}, longest {:?}",
        at(0.5).0,
        at(0.9).0,
        at(0.99).0,
        at(1.0).0
    );
    let (longest, seed) = at(1.0);
    assert!(longest <= SETTLED_AFTER, "seed {seed}: {longest:?}");
}

/// Guards against a start without a coordinator: candidates that split the votes again and again, in step.
#[test]
fn core_that_has_taken_in_its_voters_elects_a_coordinator_before_it_is_settled() {
    check(Start::time_to_first_holder);
}

/// Guards against a loss without a successor, for the same cause.
#[test]
fn core_that_lost_its_coordinator_elects_another_before_it_is_settled() {
    check(Start::time_to_replacement);
}
