//! A simple model of the five rules, checked against the decision module with generated settings
//! and events.
//!
//! 1. Each invocation gets one final answer in time, and nothing is sent for it after the answer.
//! 2. What may have run is neither repeated nor throttled, unless the operation permits a repeat.
//! 3. An attempt goes only to a backend that is up, or that stopped being so within the drain grace.
//! 4. A warming backend gets no more work than the overload factor permits.
//! 5. A ceiling is never exceeded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::common::*;
use damsonbeam::Rules;
use damsonbeam::interface::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// A generated test case: a seed for the settings, and pairs of numbers that select the steps.
#[derive(Clone, Debug)]
struct Scenario {
    settings_seed: u64,
    steps: Vec<(u8, u16)>,
}

impl Arbitrary for Scenario {
    fn arbitrary(generator: &mut Gen) -> Self {
        let steps = (0..600)
            .map(|_| (u8::arbitrary(generator), u16::arbitrary(generator)))
            .collect();
        Scenario {
            settings_seed: u64::arbitrary(generator),
            steps,
        }
    }
}

/// Returns the settings that a seed selects.
fn settings_for(settings_seed: u64) -> Settings {
    let bit = |n: u32| (settings_seed >> n) & 1 == 0;
    let group = [
        DeduplicationGroup::All,
        DeduplicationGroup::Zone,
        DeduplicationGroup::Cell,
    ][(settings_seed / 4 % 3) as usize];
    let repeat = match settings_seed % 4 {
        0 => RepeatMode::Idempotent,
        1 | 2 => RepeatMode::Deduplicated {
            group,
            window: ms(400),
        },
        _ => RepeatMode::NonIdempotent,
    };
    let mut settings = settings(repeat);
    settings.limits.may_hedge = bit(4);
    settings.limits.may_cancel = bit(5);
    if bit(6) {
        settings.counter = None;
    }
    let ceiling = if bit(7) { 12.0 } else { 0.0 };
    let in_flight_cap = if bit(8) { 2.0 } else { 0.0 };
    settings.plans = vec![Plan {
        rate: if bit(9) { 40.0 } else { 0.0 },
        burst: 60.0,
        max_in_flight: in_flight_cap,
        unit_value: 1.0,
        ceiling_rate: ceiling,
        ceiling_burst: 2.0 * ceiling,
        ..Plan::default()
    }];
    settings
}

/// An attempt that the module has sent.
struct SentAttempt {
    backend_id: BackendId,
    sent_at: Duration,
    times_out_at: Duration,
    in_flight: bool,
    proves_not_executed: bool,
}

/// State of an open invocation in the model.
struct OpenInvocation {
    deadline: Duration,
    units: f64,
    attempts: Vec<SentAttempt>,
    /// Repeat mode at the arrival, and the lowest limit on attempts since then.
    repeat: RepeatMode,
    max_attempts: u32,
    /// Whether the predecessor holds the invocation.
    from_predecessor: bool,
}

/// The state of the model, with the module that it checks.
struct Model {
    settings: Settings,
    now: Duration,
    rules: Rules,
    /// The previous process, which has yielded and still finishes its invocations.
    predecessor: Option<Rules>,
    open: BTreeMap<InvocationId, OpenInvocation>,
    finished: BTreeSet<InvocationId>,
    /// For each listed backend its health, the start of its process and the time of the last entry.
    listed: BTreeMap<BackendId, (Health, Duration, Duration)>,
    counter: BTreeMap<String, f64>,
    /// Unanswered counter calls: whether the predecessor made them, name, units.
    calls: Vec<(bool, String, f64)>,
    timers: BTreeSet<Duration>,
    /// Units left of this gateway's share of the ceiling, and the time of that level.
    ceiling: (f64, Duration),
    /// Units sent: time, backend, units, warm-up fraction of the backend, number of warm backends
    /// at that time.
    sent_units: Vec<(Duration, BackendId, f64, f64, f64)>,
}

impl Model {
    fn warm_up_fraction(&self, since: Duration) -> f64 {
        let age = (self.now - since).as_secs_f64() / self.settings.warm_up_time.as_secs_f64();
        if since.is_zero() || age >= 1.0 {
            1.0
        } else {
            self.settings.warm_up_share + (1.0 - self.settings.warm_up_share) * age
        }
    }

    /// Passes an event to the current process or to its predecessor, and checks the actions.
    fn send_event_to(&mut self, to_predecessor: bool, event: Event) {
        let to = if to_predecessor {
            self.predecessor.as_mut()
        } else {
            Some(&mut self.rules)
        };
        for action in to.map_or(vec![], |rules| rules.handle_event(self.now, event)) {
            self.check_action(action, to_predecessor);
        }
    }

    fn send_event(&mut self, event: Event) {
        self.send_event_to(false, event);
    }

    /// Replaces the process by a successor. The old process keeps its open invocations.
    fn hand_over(&mut self, seed: u64) {
        self.open
            .retain(|_, invocation| !invocation.from_predecessor);
        let mut carry = None;
        for action in self.rules.handle_event(self.now, Event::HandOver) {
            match action {
                Action::HandOver(handed) => carry = Some(handed),
                // Actions of timers that are due at the same time.
                other => self.check_action(other, false),
            }
        }
        let carry = carry.expect("the state is handed over");
        let next = Rules::new(seed, self.settings.clone(), self.now);
        self.predecessor = Some(std::mem::replace(&mut self.rules, next));
        self.open
            .values_mut()
            .for_each(|invocation| invocation.from_predecessor = true);
        let entries = self
            .listed
            .iter()
            .map(|(id, listing)| backend_entry(id.0, listing.0, listing.1))
            .collect();
        self.send_event(backend_list(ListUpdate::Restored, entries));
        self.send_event(Event::TakeOver(carry));
    }

    /// Changes the settings: the repeat mode, the limit on attempts and the rate of the quota.
    fn change_settings(&mut self, value: u64) {
        let mut new = settings_for(value);
        new.limits.max_attempts = 1 + (value / 8 % 4) as u32;
        (new.limits.may_hedge, new.limits.may_cancel) = (
            self.settings.limits.may_hedge,
            self.settings.limits.may_cancel,
        );
        new.plans = self.settings.plans[..1].to_vec();
        new.plans[0].rate *= [0.5, 1.0, 2.0][(value % 3) as usize];
        self.settings = self.settings.updated_with(new);
        self.open.values_mut().for_each(|invocation| {
            invocation.max_attempts = invocation
                .max_attempts
                .min(self.settings.limits.max_attempts)
        });
        for from_predecessor in [false, true] {
            self.send_event_to(
                from_predecessor,
                Event::Settings(Box::new(self.settings.clone())),
            );
        }
    }

    fn check_action(&mut self, action: Action, from_predecessor: bool) {
        match action {
            Action::SetTimer { after, .. } => drop(self.timers.insert(self.now + after)),
            Action::AddToCounter {
                name, units: add, ..
            } => self.calls.push((from_predecessor, name, add)),
            Action::SendAttempt {
                invocation_id,
                backend_id,
                timeout,
            } => self.check_attempt(invocation_id, backend_id, timeout),
            Action::Throttle { invocation_id, .. } => {
                let invocation = self
                    .open
                    .remove(&invocation_id)
                    .expect("rule 1: one final answer");
                assert_eq!(
                    invocation.from_predecessor, from_predecessor,
                    "rule 1: answered by the wrong process"
                );
                let none_ran = invocation
                    .attempts
                    .iter()
                    .all(|attempt| attempt.proves_not_executed);
                let allowed = match invocation.repeat {
                    RepeatMode::Idempotent => true,
                    RepeatMode::Deduplicated { group, .. } => {
                        none_ran || group == DeduplicationGroup::All
                    }
                    RepeatMode::NonIdempotent => none_ran,
                };
                assert!(allowed, "rule 2: throttled an invocation that may have run");
                self.finished.insert(invocation_id);
            }
            Action::Fail { invocation_id } => {
                self.open
                    .remove(&invocation_id)
                    .expect("rule 1: one final answer");
                self.finished.insert(invocation_id);
            }
            Action::CancelAttempt { .. } => assert!(self.settings.limits.may_cancel),
            _ => {}
        }
    }

    fn check_attempt(
        &mut self,
        invocation_id: InvocationId,
        backend_id: BackendId,
        timeout: Option<Duration>,
    ) {
        let now = self.now;
        let (health, since, listed_at) = self.listed[&backend_id];
        assert!(
            health == Health::Up || now <= listed_at + self.settings.drain_grace,
            "rule 3: sent to a backend that is not up"
        );
        let warm_up_fraction = self.warm_up_fraction(since);
        let warm_count = self
            .listed
            .values()
            .filter(|listing| listing.0 == Health::Up && self.warm_up_fraction(listing.1) >= 1.0)
            .count()
            .max(1);
        let invocation = self
            .open
            .get_mut(&invocation_id)
            .expect("rule 1: nothing is sent after the final answer");
        assert!(
            now <= invocation.deadline,
            "rule 1: nothing is sent after the deadline"
        );
        assert!(invocation.attempts.len() < invocation.max_attempts as usize);
        if !self.settings.limits.may_hedge {
            assert!(
                invocation.attempts.iter().all(|attempt| !attempt.in_flight),
                "two attempts in flight without hedging"
            );
        }
        let (zone, cell) = (backend_id.0 % 2, backend_id.0 % 4);
        for attempt in invocation
            .attempts
            .iter()
            .filter(|attempt| !attempt.proves_not_executed)
        {
            match invocation.repeat {
                RepeatMode::Idempotent => {}
                RepeatMode::NonIdempotent => {
                    panic!("rule 2: a second attempt of what may have run")
                }
                RepeatMode::Deduplicated { group, window } => {
                    assert!(
                        now <= attempt.sent_at + window,
                        "rule 2: repeated after the deduplication window"
                    );
                    let in_group = match group {
                        DeduplicationGroup::All => true,
                        DeduplicationGroup::Zone => attempt.backend_id.0 % 2 == zone,
                        DeduplicationGroup::Cell => attempt.backend_id.0 % 4 == cell,
                    };
                    assert!(in_group, "rule 2: repeated outside the deduplication group");
                }
            }
        }
        let units = invocation.units;
        let plan = &self.settings.plans[0];
        if invocation.attempts.is_empty() && plan.ceiling_rate > 0.0 {
            // This gateway's third of the ceiling. The model keeps its level across restarts of the
            // process.
            let (level, at) = self.ceiling;
            let level = (level + plan.ceiling_rate / 3.0 * (now - at).as_secs_f64())
                .min(plan.ceiling_burst / 3.0);
            assert!(
                level + 1e-6 >= units,
                "rule 5: {level} units left of the ceiling for {units}"
            );
            self.ceiling = (level - units, now);
        }
        let times_out_at = invocation
            .deadline
            .min(timeout.map_or(invocation.deadline, |t| now + t));
        invocation.attempts.push(SentAttempt {
            backend_id,
            sent_at: now,
            times_out_at,
            in_flight: true,
            proves_not_executed: false,
        });
        if warm_up_fraction < 1.0 {
            let span = self.settings.overload_span;
            let before: f64 = self
                .sent_units
                .iter()
                .filter(|sent| sent.1 == backend_id && sent.0 >= since && sent.0 + span > now)
                .map(|sent| sent.2)
                .sum();
            let recent = self
                .sent_units
                .iter()
                .filter(|sent| sent.3 >= 1.0 && sent.0 + ms(12_000) >= now);
            let throughput = recent.map(|sent| sent.2 / sent.4).sum::<f64>() / 4.0;
            let budget =
                self.settings.overload_factor * warm_up_fraction * throughput * span.as_secs_f64();
            assert!(
                before == 0.0 || before + units <= budget,
                "rule 4: {before} + {units} units exceed the budget of {budget}"
            );
        }
        self.sent_units
            .push((now, backend_id, units, warm_up_fraction, warm_count as f64));
    }

    /// Advances the time to `until` and runs the timeouts and timers that are due.
    fn advance_to(&mut self, until: Duration) {
        while self.now < until {
            self.now += ms(2);
            let due: Vec<(InvocationId, usize)> = self
                .open
                .iter()
                .flat_map(|(id, invocation)| {
                    let timed_out =
                        invocation
                            .attempts
                            .iter()
                            .enumerate()
                            .filter(|(_, attempt)| {
                                attempt.in_flight && attempt.times_out_at <= self.now
                            });
                    timed_out.map(|(n, _)| (*id, n)).collect::<Vec<_>>()
                })
                .collect();
            for (id, n) in due {
                self.end_attempt(id, n, Outcome::TimedOut);
            }
            while self.timers.first().is_some_and(|t| *t <= self.now) {
                self.timers.pop_first();
                for from_predecessor in [false, true] {
                    self.send_event_to(
                        from_predecessor,
                        Event::TimerFired {
                            token: "due".into(),
                        },
                    );
                }
            }
            for (id, invocation) in &self.open {
                assert!(
                    self.now <= invocation.deadline + self.settings.answer_delivery_time,
                    "rule 1: {id:?} not answered in time"
                );
            }
        }
    }

    fn end_attempt(&mut self, id: InvocationId, n: usize, outcome: Outcome) {
        let Some(invocation) = self.open.get_mut(&id) else {
            return;
        };
        let attempt = &mut invocation.attempts[n];
        (attempt.in_flight, attempt.proves_not_executed) = (false, outcome.proves_not_executed());
        let (backend_id, from_predecessor) = (attempt.backend_id, invocation.from_predecessor);
        if outcome == Outcome::Ok {
            self.open.remove(&id);
            self.finished.insert(id);
        }
        self.send_event_to(
            from_predecessor,
            attempt_ended(id.0, n as u32, backend_id, outcome, outcome == Outcome::Ok),
        );
    }
}

/// Runs a scenario. Returns whether every invocation got its final answer.
fn upholds_rules(scenario: Scenario) -> bool {
    let settings = settings_for(scenario.settings_seed);
    let mut model = Model {
        rules: Rules::new(scenario.settings_seed, settings.clone(), ms(1000)),
        predecessor: None,
        settings,
        now: ms(1000),
        open: BTreeMap::new(),
        finished: BTreeSet::new(),
        listed: BTreeMap::new(),
        counter: BTreeMap::new(),
        calls: Vec::new(),
        timers: BTreeSet::new(),
        ceiling: (8.0, ms(1000)),
        sent_units: Vec::new(),
    };
    let entries: Vec<BackendEntry> = (0..6)
        .map(|backend_id| backend_entry(backend_id, Health::Up, Duration::ZERO))
        .collect();
    model.listed = entries
        .iter()
        .map(|e| (e.backend_id, (Health::Up, Duration::ZERO, model.now)))
        .collect();
    model.send_event(backend_list(ListUpdate::Restored, entries.clone()));
    for (n, (kind, value)) in scenario.steps.into_iter().enumerate() {
        let value = u64::from(value);
        match kind % 16 {
            0..=6 => {
                let (id, units) = (InvocationId(n as u64), (1 + value % 4) as f64);
                let now = model.now;
                let operation = model.settings.in_force.operations[0];
                let (repeat, max_attempts) = (
                    model.settings.operations[operation.0].repeat,
                    model.settings.limits.max_attempts,
                );
                let (deadline, attempts) = (now + ms(3000), Vec::new());
                model.open.insert(
                    id,
                    OpenInvocation {
                        deadline,
                        units,
                        attempts,
                        repeat,
                        max_attempts,
                        from_predecessor: false,
                    },
                );
                let Event::Invocation(mut request) = arrival(id.0, now, "a", units) else {
                    unreachable!()
                };
                request.operation = operation;
                model.send_event(Event::Invocation(request));
            }
            7..=10 => {
                let in_flight: Vec<(InvocationId, usize)> = model
                    .open
                    .iter()
                    .filter_map(|(id, invocation)| {
                        invocation
                            .attempts
                            .iter()
                            .position(|attempt| attempt.in_flight)
                            .map(|n| (*id, n))
                    })
                    .collect();
                if let Some((id, n)) = in_flight.get(value as usize % in_flight.len().max(1)) {
                    let outcomes = [
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Failed,
                        Outcome::Full,
                        Outcome::ConnectFailed,
                        Outcome::Reset,
                        Outcome::Ok,
                    ];
                    model.end_attempt(*id, *n, outcomes[(value / 64) as usize % outcomes.len()]);
                }
            }
            11 | 12 => {
                for (from_predecessor, name, add) in std::mem::take(&mut model.calls) {
                    let sum = model.counter.entry(name.clone()).or_default();
                    *sum += add;
                    let sum = *sum;
                    let event = match value % 8 {
                        0 => counter_failure(&name, Outcome::TimedOut),
                        1 => counter_failure(&name, Outcome::Full),
                        _ => counter_total(&name, sum),
                    };
                    model.send_event_to(from_predecessor, event);
                }
                if value % 64 == 0 {
                    model.counter.clear();
                }
            }
            13 => {
                model.advance_to(model.now + ms(2));
                let (backend_id, now) = (BackendId((value % 6) as u32), model.now);
                let (health, since) = [
                    (Health::Draining, Duration::ZERO),
                    (Health::Removed, Duration::ZERO),
                    (Health::Up, now),
                    (Health::Up, Duration::ZERO),
                ][(value / 8) as usize % 4];
                model.listed.insert(backend_id, (health, since, now));
                for from_predecessor in [false, true] {
                    model.send_event_to(
                        from_predecessor,
                        backend_list(
                            ListUpdate::Update,
                            vec![backend_entry(backend_id.0, health, since)],
                        ),
                    );
                }
            }
            14 if value % 16 == 0 => {
                // Kills and restarts the process. Its invocations are lost, but the model keeps the
                // level of the ceiling.
                (model.open, model.calls, model.timers, model.predecessor) = Default::default();
                model.rules = Rules::new(value, model.settings.clone(), model.now);
                let entries = model
                    .listed
                    .iter()
                    .map(|(id, listing)| backend_entry(id.0, listing.0, listing.1))
                    .collect();
                model.send_event(backend_list(ListUpdate::Restored, entries));
            }
            14 if value % 16 == 1 => model.hand_over(value),
            14 if value % 16 < 5 => model.change_settings(value),
            _ => model.advance_to(model.now + ms(1 + value % 150)),
        }
    }
    model.advance_to(model.now + ms(3100));
    model.open.is_empty()
}

#[test]
fn generated_scenarios_uphold_the_five_rules() {
    let generator = Gen::from_size_and_seed(600, 20261201);
    QuickCheck::new()
        .rng(generator)
        .tests(300)
        .quickcheck(upholds_rules as fn(Scenario) -> bool);
}
