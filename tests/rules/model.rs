//! A slow, plain model of the five rules beside the module, on generated settings and events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::common::*;
use damsonbeam::Rules;
use damsonbeam::interface::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// One generated day: a choice of settings and a list of raw numbers that drive what happens.
#[derive(Clone, Debug)]
struct Day {
    choice: u64,
    steps: Vec<(u8, u16)>,
}

impl Arbitrary for Day {
    fn arbitrary(g: &mut Gen) -> Self {
        let steps = (0..600)
            .map(|_| (u8::arbitrary(g), u16::arbitrary(g)))
            .collect();
        Day {
            choice: u64::arbitrary(g),
            steps,
        }
    }
}

fn set(choice: u64) -> Settings {
    let bit = |n: u32| (choice >> n) & 1 == 0;
    let group = [Group::All, Group::Zone, Group::Cell][(choice / 4 % 3) as usize];
    let repeat = match choice % 4 {
        0 => Repeat::Idempotent,
        1 | 2 => Repeat::Tokened {
            group,
            window: ms(400),
        },
        _ => Repeat::NonIdempotent,
    };
    let mut set = settings(repeat);
    set.limits.may_hedge = bit(4);
    set.limits.may_cancel = bit(5);
    if bit(6) {
        set.counter = None;
    }
    let ceiling = if bit(7) { 12.0 } else { 0.0 };
    let open = if bit(8) { 2.0 } else { 0.0 };
    set.plans = vec![Plan {
        rate: if bit(9) { 40.0 } else { 0.0 },
        burst: 60.0,
        max_in_flight: open,
        price: 1.0,
        ceiling_rate: ceiling,
        ceiling_burst: 2.0 * ceiling,
        ..Plan::default()
    }];
    set
}

struct Sent {
    backend_id: BackendId,
    at: Duration,
    ends: Duration,
    out: bool,
    idle: bool,
}

/// What the model knows of an invocation that is not over.
struct Open {
    deadline: Duration,
    units: f64,
    sent: Vec<Sent>,
    /// What held when it came: its effect, and the fewest tries since.
    repeat: Repeat,
    max_attempts: u32,
    /// Whether the process that has yielded holds it.
    elder: bool,
}

struct World {
    set: Settings,
    now: Duration,
    rules: Rules,
    /// The process before, which has yielded and still ends what it holds.
    elder: Option<Rules>,
    open: BTreeMap<InvocationId, Open>,
    over: BTreeSet<InvocationId>,
    list: BTreeMap<BackendId, (Health, Duration, Duration)>,
    counter: BTreeMap<String, f64>,
    calls: Vec<(bool, String, f64)>,
    timers: BTreeSet<Duration>,
    ceiling: (f64, Duration),
    /// Units sent: when, where, to a backend how warm, and how many were warm then.
    flow: Vec<(Duration, BackendId, f64, f64, f64)>,
}

impl World {
    fn warmth(&self, since: Duration) -> f64 {
        let age = (self.now - since).as_secs_f64() / self.set.warm_up_time.as_secs_f64();
        if since.is_zero() || age >= 1.0 {
            1.0
        } else {
            self.set.warm_up_share + (1.0 - self.set.warm_up_share) * age
        }
    }

    /// To the process that serves, or the one before it.
    fn give_to(&mut self, elder: bool, event: Event) {
        let to = if elder {
            self.elder.as_mut()
        } else {
            Some(&mut self.rules)
        };
        for action in to.map_or(vec![], |rules| rules.on(self.now, event)) {
            self.check(action, elder);
        }
    }

    fn give(&mut self, event: Event) {
        self.give_to(false, event);
    }

    /// Another process takes the place: what the old one holds it still ends.
    fn hand_over(&mut self, seed: u64) {
        self.open.retain(|_, o| !o.elder);
        let mut carry = None;
        for action in self.rules.on(self.now, Event::Yield) {
            match action {
                Action::HandOver(handed) => carry = Some(handed),
                // What happens to be due at that time.
                other => self.check(other, false),
            }
        }
        let carry = carry.expect("nothing is handed over");
        let next = Rules::new(seed, self.set.clone(), self.now);
        self.elder = Some(std::mem::replace(&mut self.rules, next));
        self.open.values_mut().for_each(|o| o.elder = true);
        let now = self
            .list
            .iter()
            .map(|(t, l)| entry(t.0, l.0, l.1))
            .collect();
        self.give(list(ListForm::Restored, now));
        self.give(Event::TakeOver(carry));
    }

    /// Other settings: another effect, fewer or more tries, another quota.
    fn settle(&mut self, x: u64) {
        let mut new = set(x);
        new.limits.max_attempts = 1 + (x / 8 % 4) as u32;
        (new.limits.may_hedge, new.limits.may_cancel) =
            (self.set.limits.may_hedge, self.set.limits.may_cancel);
        new.plans = self.set.plans[..1].to_vec();
        new.plans[0].rate *= [0.5, 1.0, 2.0][(x % 3) as usize];
        self.set = self.set.follow(new);
        self.open
            .values_mut()
            .for_each(|o| o.max_attempts = o.max_attempts.min(self.set.limits.max_attempts));
        for elder in [false, true] {
            self.give_to(elder, Event::Settings(Box::new(self.set.clone())));
        }
    }

    fn check(&mut self, action: Action, elder: bool) {
        match action {
            Action::SetTimer { after, .. } => drop(self.timers.insert(self.now + after)),
            Action::AddToCounter { name, add, .. } => self.calls.push((elder, name, add)),
            Action::SendAttempt {
                invocation_id,
                backend_id,
                timeout,
            } => self.sent(invocation_id, backend_id, timeout),
            Action::Throttle { invocation_id, .. } => {
                let open = self
                    .open
                    .remove(&invocation_id)
                    .expect("rule 1: one final answer");
                assert_eq!(open.elder, elder, "rule 1: another process's to answer");
                let harmless = open.sent.iter().all(|s| s.idle);
                let allowed = match open.repeat {
                    Repeat::Idempotent => true,
                    Repeat::Tokened { group, .. } => harmless || group == Group::All,
                    Repeat::NonIdempotent => harmless,
                };
                assert!(allowed, "rule 2: throttled what may have run");
                self.over.insert(invocation_id);
            }
            Action::Fail { invocation_id } => {
                self.open
                    .remove(&invocation_id)
                    .expect("rule 1: one final answer");
                self.over.insert(invocation_id);
            }
            Action::CancelAttempt { .. } => assert!(self.set.limits.may_cancel),
            _ => {}
        }
    }

    fn sent(
        &mut self,
        invocation_id: InvocationId,
        backend_id: BackendId,
        timeout: Option<Duration>,
    ) {
        let now = self.now;
        let (health, since, told) = self.list[&backend_id];
        assert!(
            health == Health::Up || now <= told + self.set.drain_grace,
            "rule 3"
        );
        let warm = self.warmth(since);
        let warm_count = self
            .list
            .values()
            .filter(|l| l.0 == Health::Up && self.warmth(l.1) >= 1.0)
            .count()
            .max(1);
        let open = self
            .open
            .get_mut(&invocation_id)
            .expect("rule 1: nothing after the final answer");
        assert!(
            now <= open.deadline,
            "rule 1: nothing after the client's time"
        );
        assert!(open.sent.len() < open.max_attempts as usize);
        if !self.set.limits.may_hedge {
            assert!(open.sent.iter().all(|s| !s.out), "two deliveries out");
        }
        let (zone, cell) = (backend_id.0 % 2, backend_id.0 % 4);
        for s in open.sent.iter().filter(|s| !s.idle) {
            match open.repeat {
                Repeat::Idempotent => {}
                Repeat::NonIdempotent => panic!("rule 2: a second delivery of what may have run"),
                Repeat::Tokened { group, window } => {
                    assert!(now <= s.at + window, "rule 2: past the remembered time");
                    let same = match group {
                        Group::All => true,
                        Group::Zone => s.backend_id.0 % 2 == zone,
                        Group::Cell => s.backend_id.0 % 4 == cell,
                    };
                    assert!(same, "rule 2: outside the group");
                }
            }
        }
        let units = open.units;
        let p = &self.set.plans[0];
        if open.sent.is_empty() && p.ceiling_rate > 0.0 {
            // This gateway's third of the ceiling, kept by the model across the gateway's lives.
            let (level, at) = self.ceiling;
            let level = (level + p.ceiling_rate / 3.0 * (now - at).as_secs_f64())
                .min(p.ceiling_burst / 3.0);
            assert!(level + 1e-6 >= units, "rule 5: {level} left for {units}");
            self.ceiling = (level - units, now);
        }
        let ends = open
            .deadline
            .min(timeout.map_or(open.deadline, |t| now + t));
        open.sent.push(Sent {
            backend_id,
            at: now,
            ends,
            out: true,
            idle: false,
        });
        if warm < 1.0 {
            let span = self.set.overload_span;
            let before: f64 = self
                .flow
                .iter()
                .filter(|f| f.1 == backend_id && f.0 >= since && f.0 + span > now)
                .map(|f| f.2)
                .sum();
            let recent = self
                .flow
                .iter()
                .filter(|f| f.3 >= 1.0 && f.0 + ms(12_000) >= now);
            let flow = recent.map(|f| f.2 / f.4).sum::<f64>() / 4.0;
            let budget = self.set.overload_factor * warm * flow * span.as_secs_f64();
            assert!(
                before == 0.0 || before + units <= budget,
                "rule 4: {before} + {units} over {budget}"
            );
        }
        self.flow
            .push((now, backend_id, units, warm, warm_count as f64));
    }

    /// Lets time pass up to `until`, with the time-outs and timers that fall due.
    fn pass(&mut self, until: Duration) {
        while self.now < until {
            self.now += ms(2);
            let due: Vec<(InvocationId, usize)> = self
                .open
                .iter()
                .flat_map(|(id, o)| {
                    let ended = o
                        .sent
                        .iter()
                        .enumerate()
                        .filter(|(_, s)| s.out && s.ends <= self.now);
                    ended.map(|(n, _)| (*id, n)).collect::<Vec<_>>()
                })
                .collect();
            for (id, n) in due {
                self.end(id, n, Outcome::TimedOut);
            }
            while self.timers.first().is_some_and(|t| *t <= self.now) {
                self.timers.pop_first();
                for elder in [false, true] {
                    self.give_to(
                        elder,
                        Event::Timer {
                            token: "due".into(),
                        },
                    );
                }
            }
            for (id, o) in &self.open {
                assert!(
                    self.now <= o.deadline + self.set.answer_slack,
                    "rule 1: {id:?} not answered in time"
                );
            }
        }
    }

    fn end(&mut self, id: InvocationId, n: usize, how: Outcome) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let s = &mut open.sent[n];
        (s.out, s.idle) = (false, how.never_ran());
        let (backend_id, elder) = (s.backend_id, open.elder);
        if how == Outcome::Ok {
            self.open.remove(&id);
            self.over.insert(id);
        }
        self.give_to(
            elder,
            outcome(id.0, n as u32, backend_id, how, how == Outcome::Ok),
        );
    }
}

fn holds(day: Day) -> bool {
    let set = set(day.choice);
    let mut w = World {
        rules: Rules::new(day.choice, set.clone(), ms(1000)),
        elder: None,
        set,
        now: ms(1000),
        open: BTreeMap::new(),
        over: BTreeSet::new(),
        list: BTreeMap::new(),
        counter: BTreeMap::new(),
        calls: Vec::new(),
        timers: BTreeSet::new(),
        ceiling: (8.0, ms(1000)),
        flow: Vec::new(),
    };
    let all: Vec<BackendEntry> = (0..6)
        .map(|t| entry(t, Health::Up, Duration::ZERO))
        .collect();
    w.list = all
        .iter()
        .map(|e| (e.backend_id, (Health::Up, Duration::ZERO, w.now)))
        .collect();
    w.give(list(ListForm::Restored, all.clone()));
    for (n, (kind, x)) in day.steps.into_iter().enumerate() {
        let x = u64::from(x);
        match kind % 16 {
            0..=6 => {
                let (id, units) = (InvocationId(n as u64), (1 + x % 4) as f64);
                let now = w.now;
                let operation = w.set.in_force.operations[0];
                let (repeat, max_attempts) = (
                    w.set.operations[operation.0].repeat,
                    w.set.limits.max_attempts,
                );
                let (deadline, sent) = (now + ms(3000), Vec::new());
                w.open.insert(
                    id,
                    Open {
                        deadline,
                        units,
                        sent,
                        repeat,
                        max_attempts,
                        elder: false,
                    },
                );
                let Event::Invocation(mut told) = arrival(id.0, now, "a", units) else {
                    unreachable!()
                };
                told.operation = operation;
                w.give(Event::Invocation(told));
            }
            7..=10 => {
                let outs: Vec<(InvocationId, usize)> = w
                    .open
                    .iter()
                    .filter_map(|(id, o)| o.sent.iter().position(|s| s.out).map(|n| (*id, n)))
                    .collect();
                if let Some((id, n)) = outs.get(x as usize % outs.len().max(1)) {
                    let how = [
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Failed,
                        Outcome::Full,
                        Outcome::ConnectFailed,
                        Outcome::Reset,
                        Outcome::Ok,
                    ];
                    w.end(*id, *n, how[(x / 64) as usize % how.len()]);
                }
            }
            11 | 12 => {
                for (elder, name, add) in std::mem::take(&mut w.calls) {
                    let sum = w.counter.entry(name.clone()).or_default();
                    *sum += add;
                    let sum = *sum;
                    let event = match x % 8 {
                        0 => no_total(&name, Outcome::TimedOut),
                        1 => no_total(&name, Outcome::Full),
                        _ => total(&name, sum),
                    };
                    w.give_to(elder, event);
                }
                if x % 64 == 0 {
                    w.counter.clear();
                }
            }
            13 => {
                w.pass(w.now + ms(2));
                let (backend_id, now) = (BackendId((x % 6) as u32), w.now);
                let (health, since) = [
                    (Health::Draining, Duration::ZERO),
                    (Health::Gone, Duration::ZERO),
                    (Health::Up, now),
                    (Health::Up, Duration::ZERO),
                ][(x / 8) as usize % 4];
                w.list.insert(backend_id, (health, since, now));
                for elder in [false, true] {
                    w.give_to(
                        elder,
                        list(ListForm::Update, vec![entry(backend_id.0, health, since)]),
                    );
                }
            }
            14 if x % 16 == 0 => {
                // Killed and started again: what it held is void, the model's ceiling is not.
                (w.open, w.calls, w.timers, w.elder) = Default::default();
                w.rules = Rules::new(x, w.set.clone(), w.now);
                let now = w.list.iter().map(|(t, l)| entry(t.0, l.0, l.1)).collect();
                w.give(list(ListForm::Restored, now));
            }
            14 if x % 16 == 1 => w.hand_over(x),
            14 if x % 16 < 5 => w.settle(x),
            _ => w.pass(w.now + ms(1 + x % 150)),
        }
    }
    w.pass(w.now + ms(3100));
    w.open.is_empty()
}

#[test]
fn module_and_model_agree_on_what_is_allowed() {
    let generator = Gen::from_size_and_seed(600, 20261201);
    QuickCheck::new()
        .rng(generator)
        .tests(300)
        .quickcheck(holds as fn(Day) -> bool);
}
