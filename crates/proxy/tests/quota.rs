//! The shared count as one proxy sees it, and ten or more proxies with the decision module against their coordinator.

use std::collections::VecDeque;
use std::time::Duration;

use damsonbeam::Rules;
use damsonbeam::interface::*;
use damsonbeam_control::messages::{Heartbeat, NamedCount};
use damsonbeam_proxy::quota::{ASSUMED_PROXIES, QuotaCounter, is_proxy_count_usable};
use damsonbeam_registry::counts::SharedCounts;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn named(name: &str, admitted: f64, requested: f64) -> NamedCount {
    NamedCount {
        name: name.into(),
        admitted,
        requested,
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn without_a_coordinator_each_proxy_keeps_to_its_part() {
    let mut counter = QuotaCounter::default();
    counter.set_proxies(10, 10, at(0));
    // A new coordinator has met few of them yet.
    assert_eq!(counter.set_proxies(2, 2, at(0)), 10);
    assert_eq!(counter.add("1/x", 1.0, at(0)), 10.0);
    assert_eq!(counter.add("1/x", 1.0, at(1)), 20.0);
    // One that was refused and undone is not held against it.
    assert_eq!(counter.add("1/x", -1.0, at(2)), 10.0);
}

#[test]
fn a_coordinator_that_falls_silent_is_not_believed_for_long() {
    let mut counter = QuotaCounter::default();
    counter.set_proxies(4, 4, at(0));
    counter.set_coordinator(1, true);
    counter.set_rate("x", 100.0, 0.5);
    counter.add("1/x", 1.0, at(0));
    assert_eq!(counter.take_reports(at(0)), vec![named("1/x", 1.0, 1.0)]);
    assert!(counter.take_reports(at(1)).is_empty(), "said once");
    counter.receive_totals(1, &[named("1/x", 5.0, 5.0)], at(110));
    assert_eq!(counter.add("1/x", 0.0, at(110)), 5.0);
    counter.add("2/x", 1.0, at(500));
    assert_eq!(counter.take_reports(at(500)).len(), 1);
    assert_eq!(counter.add("2/x", 0.0, at(1100)), 4.0);
    counter.receive_totals(1, &[named("2/x", 1.0, 1.0)], at(1200));
    assert!(counter.add("2/x", 0.0, at(1200)) < 3.0);
    // A new coordinator hears all of it again, and what the last one told stays.
    counter.set_coordinator(2, true);
    assert_eq!(
        counter.take_reports(at(1300)),
        vec![named("1/x", 1.0, 1.0), named("2/x", 1.0, 1.0)]
    );
    counter.receive_totals(2, &[named("1/x", 1.0, 1.0)], at(1400));
    assert!(
        counter.add("1/x", 0.0, at(1400)) >= 5.0,
        "zeroed sums let a second burst through"
    );
}

#[test]
fn a_fresh_proxy_takes_a_small_part_and_small_steps_of_the_common_time_rename_no_slot() {
    let mut counter = QuotaCounter::default();
    counter.set_rate("x", 100.0, 0.5);
    assert_eq!(counter.add("4/x", 1.0, at(0)), f64::from(ASSUMED_PROXIES));
    counter.set_proxies(3, 3, at(0));
    counter.set_coordinator(1, true);
    counter.set_time_offset(0.249);
    counter.add("4/x", 1.0, at(1));
    counter.set_time_offset(0.251);
    assert_eq!(
        counter.take_reports(at(2)).len(),
        1,
        "one slot has two names"
    );
}

#[test]
fn absent_proxies_keep_their_parts_and_slots_go_by_the_common_time() {
    let mut counter = QuotaCounter::default();
    counter.set_proxies(10, 8, at(0));
    counter.set_coordinator(1, true);
    counter.set_rate("x", 100.0, 0.5);
    counter.set_time_offset(5.1);
    counter.add("7/x", 4.0, at(0));
    assert_eq!(counter.take_reports(at(0)), vec![named("17/x", 4.0, 4.0)]);
    counter.receive_totals(1, &[named("17/x", 8.0, 8.0)], at(0));
    assert_eq!(counter.add("7/x", 0.0, at(0)), 10.0);
}

/// The decision module of one proxy, with a backend that answers at once.
struct Proxy {
    quota: QuotaCounter,
    rules: Rules,
    next: u64,
}

impl Proxy {
    fn new(proxies: u32, rate: f64, seed: u64) -> Self {
        let mut quota = QuotaCounter::new(seed);
        quota.set_proxies(proxies, proxies, at(0));
        quota.set_coordinator(1, true);
        quota.set_rate("x", rate, 0.5);
        let plan = Plan {
            rate,
            burst: rate,
            price: 1.0,
            excess_cost: 1.0,
            ..Plan::default()
        };
        let (latency_objective, integration_timeout) = (at(500), at(3000));
        let op = Operation {
            latency_objective,
            integration_timeout,
            billed_value: 1.0,
            ..Operation::default()
        };
        let limits = Limits {
            max_attempts: 1,
            open: usize::MAX,
            ..Limits::default()
        };
        let set = Settings {
            gateways: 1,
            tick: at(1),
            operations: vec![op],
            plans: vec![plan],
            in_force: InForce {
                operations: vec![OperationId(0)],
                plans: vec![PlanId(0)],
            },
            limits,
            counter: Some(Counter {
                timeout: at(100),
                price: 0.0,
            }),
            max_units: 1.0,
            warm_up_share: 1.0,
            overload_factor: 1.0,
            overload_span: at(1000),
            ..Settings::default()
        };
        let mut rules = Rules::new(seed, set, at(0));
        let entry = |n| BackendEntry {
            backend_id: BackendId(n),
            health: Health::Up,
            weight: 1.0,
            ..BackendEntry::default()
        };
        rules.on(
            at(0),
            Event::BackendList {
                form: ListForm::Replace,
                entries: (0..9).map(entry).collect(),
            },
        );
        Proxy {
            quota,
            rules,
            next: 0,
        }
    }

    /// Whether a request of the tenant's is let in.
    fn ask(&mut self, now: Duration) -> bool {
        self.next += 1;
        let (invocation_id, deadline, customer) = (
            InvocationId(self.next),
            now + at(3000),
            CustomerId("x".into()),
        );
        let told = Invocation {
            id: invocation_id,
            deadline,
            customer,
            units: 1.0,
            spread: 1,
            ..Invocation::default()
        };
        let (mut events, mut passed) = (VecDeque::from([Event::Invocation(told)]), false);
        while let Some(event) = events.pop_front() {
            for action in self.rules.on(now, event) {
                match action {
                    Action::AddToCounter { name, add, .. } => {
                        let (total, outcome, latency) =
                            (self.quota.add(&name, add, now), Outcome::Ok, at(0));
                        events.push_back(Event::CounterTotal {
                            name,
                            outcome,
                            total,
                            others: 0.0,
                            latency,
                        });
                    }
                    Action::SendAttempt {
                        invocation_id,
                        backend_id,
                        ..
                    } => {
                        passed = true;
                        events.push_back(Event::AttemptEnded {
                            invocation_id,
                            attempt: AttemptNumber(0),
                            backend_id,
                            outcome: Outcome::Ok,
                            latency: at(1),
                            closed: true,
                            used: None,
                            true_units: None,
                            report: vec![],
                        });
                    }
                    _ => {}
                }
            }
        }
        passed
    }
}

/// A message on its way: when it comes, whose it is, what it says, and whether it is the coordinator's.
type Mail = (u64, usize, Vec<NamedCount>, bool);

/// Ten proxies with the decision module, their coordinator a region away, and a tenant of rate and burst 300 that sends
/// `load` a second: what is admitted in the worst five seconds, and a second once it lasts.
fn admitted(proxies: u32, rate: f64, load: f64, coordinator: &dyn Fn(u64) -> bool) -> (f64, f64) {
    let mut all: Vec<Proxy> = (0..proxies)
        .map(|n| Proxy::new(proxies, rate, n.into()))
        .collect();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut totals = SharedCounts::default();
    totals.set_rate("x", rate);
    let mut mail: Vec<Mail> = Vec::new();
    let (mut passed, mut due) = (Vec::new(), 0.0);
    for ms in 0..14_000u64 {
        let (now_due, rest): (Vec<_>, Vec<_>) = mail.drain(..).partition(|m| m.0 <= ms);
        mail = rest;
        for (_, p, names, back) in now_due {
            if back {
                all[p].quota.receive_totals(1, &names, at(ms));
            } else if coordinator(ms) {
                let answers = names
                    .iter()
                    .map(|count| totals.record(p as u64, count, at(ms)));
                mail.push((ms + 58, p, answers.collect(), true));
            }
        }
        due += if ms < 3000 { rate * 0.6 } else { load } / 1000.0;
        while due >= 1.0 {
            due -= 1.0;
            if all[rng.random_range(0..proxies as usize)].ask(at(ms)) {
                passed.push(ms);
            }
        }
        if ms % 50 == 0 && coordinator(ms) {
            let news = totals.take_updates();
            if !news.is_empty() {
                (0..all.len()).for_each(|p| mail.push((ms + 58, p, news.clone(), true)));
            }
        }
        if ms % 25 == 0 {
            for (p, proxy) in all.iter_mut().enumerate() {
                let fresh = proxy.quota.take_reports(at(ms));
                if !fresh.is_empty() {
                    mail.push((ms + 58, p, fresh, false));
                }
            }
        }
    }
    let worst = (0..9000)
        .step_by(50)
        .map(|f| passed.iter().filter(|m| (f..f + 5000).contains(*m)).count());
    let lasting = passed
        .iter()
        .filter(|m| (6000..14_000).contains(*m))
        .count() as f64
        / 8.0;
    (worst.max().unwrap_or(0) as f64, lasting)
}

#[test]
fn a_surge_is_held_to_the_quota_by_ten_proxies_a_region_apart_coordinator_or_no_coordinator() {
    for (rate, load) in [(30.0, 5.0), (100.0, 1.3), (100.0, 8.0), (300.0, 5.0)] {
        let bound = (rate * 5.0 + rate) * 1.1 + 20.0;
        let (worst, lasting) = admitted(10, rate, load * rate, &|_| true);
        assert!(worst <= bound, "{worst} of {bound} at {load} times {rate}");
        assert!(
            lasting >= 0.9 * rate,
            "{lasting} a second at {load} times {rate}: too few"
        );
        let (worst, lasting) = admitted(10, rate, load * rate, &|ms| !(5000..9000).contains(&ms));
        assert!(
            worst <= bound,
            "{worst} of {bound} at {load} times {rate}, the coordinator gone"
        );
        assert!(
            lasting >= 0.85 * rate,
            "{lasting} a second at {load} times {rate}, the coordinator gone"
        );
    }
    // Of 69 proxies each is asked for a small tenant once in a while.
    // At 5 a second 8 s are 40 requests: chance takes a third of them, of 240 a tenth.
    for (rate, load, part) in [(5.0, 8.0, 0.5), (30.0, 3.0, 0.75)] {
        let bound = (rate * 5.0 + rate) * 1.1 + 20.0;
        let (worst, lasting) = admitted(69, rate, load * rate, &|_| true);
        assert!(
            worst <= bound,
            "{worst} of {bound} at {load} times {rate}, 69 proxies"
        );
        assert!(
            lasting >= part * rate,
            "{lasting} a second at {load} times {rate}, 69 proxies"
        );
    }
    // One that keeps to its quota is not refused.
    let (_, usual) = admitted(10, 100.0, 83.0, &|_| true);
    assert!(usual >= 82.0, "{usual} of 83 within the quota");
}

#[test]
fn totals_of_a_coordinator_that_has_lost_the_duty_change_nothing() {
    let mut counter = QuotaCounter::default();
    counter.set_proxies(4, 4, at(0));
    counter.set_coordinator(7, true);
    counter.set_rate("x", 100.0, 0.5);
    counter.add("1/x", 1.0, at(0));
    assert_eq!(counter.take_reports(at(0)).len(), 1);
    counter.receive_totals(6, &[named("1/x", 90.0, 90.0)], at(50));
    // It is no answer either: the coordinator of the term that is known is silent.
    assert_eq!(counter.add("1/x", 0.0, at(700)), 4.0);
    counter.receive_totals(7, &[named("1/x", 5.0, 5.0)], at(710));
    assert_eq!(counter.add("1/x", 0.0, at(710)), 5.0);
}

#[test]
fn the_number_of_proxies_told_by_a_registry_out_of_contact_counts_only_where_it_is_large() {
    let told = |in_contact, proxies| {
        is_proxy_count_usable(&Heartbeat {
            in_contact,
            known_proxies: proxies,
            ..Heartbeat::default()
        })
    };
    assert!(told(true, 1) && told(true, 10) && !told(true, 0));
    // One proxy, or ten, that a cut-off registry has met: the quota is not shared among so few, and the number reckoned
    // with is not taken for told, which would hold for long after a registry in contact tells a smaller one.
    assert!(!told(false, 1) && !told(false, 10) && !told(false, ASSUMED_PROXIES));
    assert!(told(false, ASSUMED_PROXIES + 1));
}
