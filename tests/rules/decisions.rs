//! The module alone: the ordinary path, and each failure found so far.

use std::time::Duration;

use crate::common::*;
use damsonbeam::Rules;
use damsonbeam::interface::*;

/// Answers every call at once from a counter that keeps numbers; reads and undos included.
fn ask(
    rules: &mut damsonbeam::Rules,
    counter: &mut std::collections::BTreeMap<String, f64>,
    now: Duration,
    event: Event,
) -> Vec<Action> {
    let mut all = rules.on(now, event);
    let mut open = counts(&all);
    while let Some((name, add)) = open.pop() {
        let sum = counter.entry(name.clone()).or_default();
        *sum += add;
        let more = rules.on(now, total(&name, *sum));
        open.extend(counts(&more));
        all.extend(more);
    }
    all
}

#[test]
fn adds_first_and_sends_on_within_the_window() {
    let mut rules = ready(settings(Repeat::Idempotent), 4);
    let actions = rules.on(ms(1000), arrival(1, ms(1000), "a", 2.0));
    let calls = counts(&actions);
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].1, 2.0);
    assert!(
        delivered(&actions).is_empty(),
        "no verdict before the total"
    );
    let mut counter = std::collections::BTreeMap::from([(calls[0].0.clone(), 2.0)]);
    let more = rules.on(ms(1002), total(&calls[0].0, 2.0));
    let mut sent = delivered(&more).len();
    for (name, add) in counts(&more) {
        *counter.entry(name.clone()).or_default() += add;
        sent += delivered(&rules.on(ms(1004), total(&name, counter[&name]))).len();
    }
    assert_eq!(sent, 1);
}

#[test]
fn refuses_over_the_burst_and_takes_its_add_back() {
    let mut rules = ready(settings(Repeat::Idempotent), 4);
    let mut counter = Default::default();
    let mut refused = 0;
    for n in 0..8 {
        refused += u32::from(throttled(&ask(
            &mut rules,
            &mut counter,
            ms(1000 + n),
            arrival(n, ms(1000 + n), "a", 2.0),
        )));
    }
    assert_eq!(refused, 4, "a burst of 8 holds four times 2 units");
    assert!(
        (counter.values().sum::<f64>() - 8.0).abs() < 1e-6,
        "only admitted units stay counted"
    );
}

#[test]
fn others_use_counts_and_a_quiet_customer_gets_its_store_back() {
    let mut rules = ready(settings(Repeat::Idempotent), 4);
    let mut counter = std::collections::BTreeMap::new();
    let name = counts(&rules.on(ms(1000), arrival(1, ms(1000), "a", 2.0)))[0]
        .0
        .clone();
    counter.insert(name.clone(), 9.0);
    let told = rules.on(ms(1002), total(&name, 9.0));
    let reads = counts(&told);
    let more = reads
        .iter()
        .flat_map(|(name, _)| rules.on(ms(1003), total(name, 0.0)));
    assert!(
        told.into_iter()
            .chain(more)
            .any(|a| matches!(a, Action::Throttle { .. }))
    );
    let later = ms(30_000);
    assert!(!throttled(&ask(
        &mut rules,
        &mut counter,
        later,
        arrival(2, later, "a", 8.0)
    )));
}

/// A flush or an empty return must not hand out a second burst: what was admitted here stays known.
#[test]
fn a_flushed_counter_does_not_hand_out_the_burst_again() {
    let mut rules = ready(settings(Repeat::Idempotent), 4);
    let mut counter: std::collections::BTreeMap<String, f64> = Default::default();
    for n in 0..4 {
        let now = ms(1000 + n);
        assert!(!throttled(&ask(
            &mut rules,
            &mut counter,
            now,
            arrival(n, now, "a", 2.0)
        )));
    }
    counter.clear();
    let now = ms(1010);
    assert!(throttled(&ask(
        &mut rules,
        &mut counter,
        now,
        arrival(9, now, "a", 2.0)
    )));
}

/// A silent counter must not be waited for by everyone, nor leave everything open.
#[test]
fn a_silent_counter_is_asked_ever_less_and_the_quota_still_holds() {
    let mut rules = ready(settings(Repeat::Idempotent), 4);
    let (mut asked, mut sent) = (0, 0.0);
    for n in 0..200u64 {
        let now = ms(1000 + 5 * n);
        let actions = rules.on(now, arrival(n, now, &format!("c{}", n % 4), 1.0));
        sent += delivered(&actions).len() as f64;
        for (name, _) in counts(&actions).into_iter().filter(|c| c.1 >= 0.0) {
            asked += u32::from(n >= 100);
            let more = rules.on(now, no_total(&name, Outcome::TimedOut));
            sent += delivered(&more).len() as f64;
            for (invocation_id, backend_id) in more.iter().filter_map(|a| match a {
                Action::SendAttempt {
                    invocation_id,
                    backend_id,
                    ..
                } => Some((invocation_id.0, *backend_id)),
                _ => None,
            }) {
                rules.on(
                    now,
                    outcome(invocation_id, 0, backend_id, Outcome::Ok, true),
                );
            }
        }
        for (invocation_id, backend_id) in actions.iter().filter_map(|a| match a {
            Action::SendAttempt {
                invocation_id,
                backend_id,
                ..
            } => Some((invocation_id.0, *backend_id)),
            _ => None,
        }) {
            rules.on(
                now,
                outcome(invocation_id, 0, backend_id, Outcome::Ok, true),
            );
        }
    }
    assert!(asked < 40, "{asked} of the last 100 asked a dead counter");
    assert!(
        sent > 0.0 && sent <= 4.0 * 10.0,
        "{sent} sent on with four bursts of 8 and a second's refill"
    );
}

/// Failure found on days of silent connections to the counter: each break took twenty calls along, and was
/// followed by a second of guesses. A total that can't be read was no better.
#[test]
fn calls_that_fail_together_slow_the_asking_once_and_a_spoilt_total_does_not() {
    for (fails, least) in [(Outcome::TimedOut, 25), (Outcome::Failed, 100)] {
        let mut rules = ready(settings(Repeat::Idempotent), 4);
        let mut ask = |n: u64, now| counts(&rules.on(now, arrival(n, now, &format!("c{n}"), 3.0)));
        let out: Vec<_> = (0..20).flat_map(|n| ask(n, ms(1000))).collect();
        assert_eq!(out.len(), 20);
        for (name, _) in out {
            rules.on(ms(1030), no_total(&name, fails));
        }
        let asks =
            |n: u64| counts(&rules.on(ms(1031), arrival(n, ms(1031), &format!("c{n}"), 3.0))).len();
        let asked: usize = (100..200).map(asks).sum();
        assert!(asked >= least, "{asked} of 100 after {fails:?}");
    }
}

/// An admitted invocation that the line can't take is shed at once, and its units come back.
#[test]
fn no_backend_means_an_answer_in_time_and_nothing_sent() {
    let mut rules = ready(settings(Repeat::Idempotent), 0);
    let mut counter = Default::default();
    let first = ask(
        &mut rules,
        &mut counter,
        ms(1000),
        arrival(1, ms(1000), "a", 1.0),
    );
    assert!(delivered(&first).is_empty());
    let late = ask(
        &mut rules,
        &mut counter,
        ms(1990),
        Event::Timer {
            token: "due".into(),
        },
    );
    assert!(
        throttled(&first) || throttled(&late),
        "given up before its objective, not held to the end"
    );
    assert!(counter.values().sum::<f64>().abs() < 1e-6);
}

/// A restarted gateway can't know that it is the first of its life: the ceiling's store is not handed out anew.
#[test]
fn a_new_life_starts_a_ceiling_from_nothing() {
    let mut set = settings(Repeat::Idempotent);
    set.counter = None;
    set.plans[0] = Plan {
        ceiling_rate: 3.0,
        ceiling_burst: 12.0,
        price: 1.0,
        ..Plan::default()
    };
    let mut rules = ready(set, 4);
    assert!(throttled(
        &rules.on(ms(1000), arrival(1, ms(1000), "a", 1.0))
    ));
    assert_eq!(
        delivered(&rules.on(ms(3000), arrival(2, ms(3000), "b", 1.0))).len(),
        1
    );
}

#[test]
fn nothing_goes_to_a_backend_that_drains_or_is_absent_from_the_list() {
    let mut set = settings(Repeat::Idempotent);
    set.plans.clear();
    let mut rules = ready(set, 2);
    rules.on(
        ms(1100),
        list(
            ListForm::Update,
            vec![entry(0, Health::Draining, Duration::ZERO)],
        ),
    );
    for n in 0..3 {
        let sent = delivered(&rules.on(ms(1200 + n), arrival(n, ms(1200 + n), "a", 1.0)));
        assert!(sent.iter().all(|t| *t == BackendId(1)));
    }
    rules.on(ms(1300), list(ListForm::Replace, vec![]));
    assert!(delivered(&rules.on(ms(1301), arrival(9, ms(1301), "a", 1.0))).is_empty());
}

/// With ten gateways one place each is ten at a small backend (incidents i935554, if55f4d): a gateway holds no
/// more than its parts of places together.
#[test]
fn many_gateways_hold_less_than_one_place_each() {
    let mut set = settings(Repeat::Idempotent);
    set.plans.clear();
    set.gateways = 20;
    let mut rules = ready(set, 10);
    let sent: usize = (0..10)
        .map(|n| delivered(&rules.on(ms(1000), arrival(n, ms(1000), "a", 1.0))).len())
        .sum();
    assert_eq!(
        sent, 6,
        "twelve places of each of ten backends, for twenty gateways"
    );
}

/// Gateways that know nothing of the backends must not all begin with the same one.
#[test]
fn gateways_begin_with_different_backends() {
    let first = |seed| {
        let mut set = settings(Repeat::Idempotent);
        set.plans.clear();
        set.gateways = 100;
        let mut rules = damsonbeam::Rules::new(seed, set, ms(1000));
        let mut up: Vec<BackendEntry> = (0..20)
            .map(|t| entry(t, Health::Up, Duration::ZERO))
            .collect();
        up.iter_mut()
            .for_each(|e| e.weight = f64::from(1 + e.backend_id.0 % 2));
        rules.on(ms(1000), list(ListForm::Restored, up));
        delivered(&rules.on(ms(1000), arrival(1, ms(1000), "a", 1.0)))[0]
    };
    let met: std::collections::BTreeSet<_> = (0..100).map(first).collect();
    assert!(
        met.len() > 15,
        "{} of 20 met, the lighter half too",
        met.len()
    );
}

/// Hundreds of gateways with less than one delivery each for a cold backend neither send one all at once nor
/// none (incidents i6c3347, i651e94, ic8f5f9).
#[test]
fn a_cold_backend_gets_a_trickle_from_many_gateways() {
    let sent_by = |seed| {
        let mut set = settings(Repeat::Idempotent);
        set.plans.clear();
        set.gateways = 200;
        let mut rules = damsonbeam::Rules::new(seed, set, ms(10_000));
        rules.on(
            ms(10_000),
            list(ListForm::Restored, vec![entry(0, Health::Up, ms(9_500))]),
        );
        let times = (0..40).map(|n| ms(10_000 + 100 * n));
        let sent = times.enumerate().map(|(n, now)| {
            let actions = rules.on(now, arrival(n as u64, now, "a", 1.0));
            for (invocation_id, _) in delivered(&actions).iter().zip(n..) {
                rules.on(now, outcome(n as u64, 0, *invocation_id, Outcome::Ok, true));
            }
            delivered(&actions).len()
        });
        sent.collect::<Vec<_>>()
    };
    let days: Vec<_> = (0..200).map(sent_by).collect();
    let total = |from: usize, to: usize| {
        days.iter()
            .map(|d| d[from..to].iter().sum::<usize>())
            .sum::<usize>()
    };
    assert!(total(0, 10) <= 4, "{} in the first second", total(0, 10));
    assert!(total(0, 40) >= 1, "it gets some work to warm by");
}

/// A backend that turns away one plan's work stays open to the others' (incident ia0f897).
#[test]
fn a_plan_turned_away_does_not_shut_the_backend_to_others() {
    let mut set = settings(Repeat::Idempotent);
    set.counter = None;
    set.plans = vec![
        Plan {
            price: 1.0,
            ..Plan::default()
        };
        2
    ];
    let mut rules = ready(set, 1);
    rules.on(ms(1000), arrival(1, ms(1000), "a", 1.0));
    rules.on(ms(1010), outcome(1, 0, BackendId(0), Outcome::Full, false));
    let Event::Invocation(other) = arrival(2, ms(1011), "b", 1.0) else {
        unreachable!()
    };
    let other = Invocation {
        plan: PlanId(1),
        ..other
    };
    rules.on(ms(1012), outcome(1, 1, BackendId(0), Outcome::Full, false));
    assert_eq!(
        delivered(&rules.on(ms(1012), Event::Invocation(other))).len(),
        1
    );
}

/// A timer that fires a rounding early must not leave the next ones unarmed (an invocation was lost so).
#[test]
fn a_timer_that_comes_early_is_armed_again() {
    let mut rules = ready(settings(Repeat::Idempotent), 0);
    let armed = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::SetTimer { after, .. } => Some(*after),
            _ => None,
        })
    };
    let after = armed(&rules.on(ms(1000), arrival(1, ms(1000), "a", 1.0))).expect("its end is due");
    let early = ms(1000) + after - Duration::from_nanos(400);
    assert!(
        armed(&rules.on(
            early,
            Event::Timer {
                token: "due".into()
            }
        ))
        .is_some()
    );
}

/// Answers slower than the objective must not end in a standstill in which nothing is learned (incident if55f4d).
#[test]
fn with_nothing_out_one_goes_however_slow_the_last_were() {
    let mut set = settings(Repeat::Idempotent);
    set.plans.clear();
    let mut rules = ready(set, 1);
    rules.on(ms(1000), arrival(1, ms(1000), "a", 1.0));
    let Event::AttemptEnded {
        invocation_id,
        attempt,
        backend_id,
        outcome,
        report,
        ..
    } = outcome(1, 0, BackendId(0), Outcome::Ok, true)
    else {
        unreachable!()
    };
    let (latency, used, true_units) = (ms(2500), None, None);
    let slow = Event::AttemptEnded {
        invocation_id,
        attempt,
        backend_id,
        outcome,
        latency,
        closed: true,
        used,
        true_units,
        report,
    };
    rules.on(ms(3500), slow);
    assert_eq!(
        delivered(&rules.on(ms(3600), arrival(2, ms(3600), "a", 1.0))).len(),
        1
    );
}

/// One at the least for each gateway held nothing (kigali-main quiet, 0.31): the cap is counted for all of them.
#[test]
fn a_cap_on_deliveries_out_holds_over_all_gateways() {
    let mut set = settings(Repeat::Idempotent);
    set.plans[0] = Plan {
        max_in_flight: 2.0,
        price: 1.0,
        excess_cost: 0.6,
        ..Plan::default()
    };
    let mut rules = ready(set, 4);
    let now = ms(1010);
    let name = counts(&rules.on(now, arrival(1, now, "a", 3.0)))[0]
        .0
        .clone();
    let sent = rules.on(ms(1012), total(&name, 2.0));
    assert_eq!(delivered(&sent).len(), 1, "one out here, one elsewhere");
    assert_eq!(
        counts(&rules.on(ms(1013), arrival(2, ms(1013), "a", 1.0))),
        [],
        "known to be full"
    );
    let over = rules.on(
        ms(1100),
        outcome(1, 0, delivered(&sent)[0], Outcome::Ok, true),
    );
    assert_eq!(
        counts(&over),
        [(name.clone(), -1.0)],
        "what is over is out no more"
    );
    rules.on(ms(1102), total(&name, 1.0));
    assert_eq!(
        counts(&rules.on(ms(1110), arrival(3, ms(1110), "a", 1.0))),
        [(name.clone(), 1.0)]
    );
    assert_eq!(delivered(&rules.on(ms(1112), total(&name, 2.0))).len(), 1);
}

/// Of a silent backend nothing was learned, least of all where it serves other operations (kigali-main rough-2).
#[test]
fn a_backend_silent_to_one_operation_is_passed_over_and_the_others_are_told() {
    let mut set = settings(Repeat::NonIdempotent);
    set.operations.push(set.operations[0].clone());
    (set.plans, set.limits.may_message_peers, set.gateways) = (vec![], true, 2);
    let (mut one, mut two) = (ready(set.clone(), 2), ready(set, 2));
    let mut told = 0;
    for n in 0..8 {
        let now = ms(1000 + 20 * n);
        let sent = delivered(&one.on(now, arrival(n, now, "a", 1.0)));
        if sent.contains(&BackendId(1)) {
            one.on(now + ms(10), outcome(n, 0, BackendId(1), Outcome::Ok, true));
        }
    }
    for action in one.on(
        ms(2200),
        Event::Timer {
            token: "due".into(),
        },
    ) {
        if let Action::SendToPeers { to: None, bytes } = action {
            told += 1;
            (0..6).for_each(|_| {
                drop(two.on(
                    ms(2200),
                    Event::PeerMessage {
                        from: GatewayId(0),
                        bytes: bytes.clone(),
                    },
                ))
            });
        }
    }
    assert!(told > 0, "the others are told");
    let mut met = |operation| {
        let chosen = (0..20).map(|n| {
            let (id, now) = (100 * (operation as u64 + 1) + n, ms(2300 + 10 * n));
            let Event::Invocation(new) = arrival(id, now, "a", 1.0) else {
                unreachable!()
            };
            let sent = delivered(&two.on(
                now,
                Event::Invocation(Invocation {
                    operation: OperationId(operation),
                    ..new
                }),
            ));
            sent.iter()
                .for_each(|t| drop(two.on(now + ms(5), outcome(id, 0, *t, Outcome::Ok, true))));
            sent.iter().filter(|t| **t == BackendId(0)).count()
        });
        chosen.sum::<usize>()
    };
    let (silent, served) = (met(0), met(1));
    assert!(silent <= 2 && served >= 4, "{silent} and {served} of 20");
}

#[test]
fn a_failed_subscription_is_asked_for_again() {
    let mut set = settings(Repeat::Idempotent);
    set.discovery = Discovery::Subscribed;
    let mut rules = damsonbeam::Rules::new(1, set, ms(0));
    let watch = |a: &[Action]| {
        a.iter()
            .any(|a| matches!(a, Action::WatchBackendList { on: true }))
    };
    assert!(watch(&rules.on(ms(0), list(ListForm::Restored, vec![]))));
    assert!(!watch(
        &rules.on(ms(10), list(ListForm::Unavailable, vec![]))
    ));
    assert!(watch(&rules.on(
        ms(600),
        Event::Timer {
            token: "due".into()
        }
    )));
}

#[test]
fn a_stream_once_begun_is_left_alone() {
    let mut set = settings(Repeat::NonIdempotent);
    set.plans.clear();
    let mut rules = ready(set, 2);
    let backend_id = delivered(&rules.on(ms(1000), arrival(1, ms(1000), "a", 1.0)))[0];
    let begun = Event::FirstByte {
        invocation_id: InvocationId(1),
        attempt: AttemptNumber(0),
        backend_id,
        latency: ms(50),
    };
    rules.on(ms(1050), begun);
    let after = rules.on(
        ms(9000),
        Event::Timer {
            token: "due".into(),
        },
    );
    assert!(!throttled(&after) && !errored(&after));
}

#[test]
fn settled_units_are_put_right_on_the_counter() {
    let mut set = settings(Repeat::Idempotent);
    set.true_units_follow = true;
    let mut rules = ready(set, 2);
    let mut counter = Default::default();
    let sent = ask(
        &mut rules,
        &mut counter,
        ms(1000),
        arrival(1, ms(1000), "a", 2.0),
    );
    let Event::AttemptEnded {
        invocation_id,
        attempt,
        backend_id,
        outcome,
        latency,
        report,
        ..
    } = outcome(1, 0, delivered(&sent)[0], Outcome::Ok, true)
    else {
        unreachable!()
    };
    let end = Event::AttemptEnded {
        invocation_id,
        attempt,
        backend_id,
        outcome,
        latency,
        closed: true,
        used: None,
        true_units: Some(5.0),
        report,
    };
    assert!(
        counts(&rules.on(ms(1100), end)).is_empty(),
        "no call of its own"
    );
    ask(
        &mut rules,
        &mut counter,
        ms(1110),
        arrival(2, ms(1110), "a", 1.0),
    );
    assert!(
        (counter.values().sum::<f64>() - 6.0).abs() < 1e-6,
        "it rides on the next add"
    );
}

/// In a surge, clients' next tries come too late for their first ones' objective and crowd out the fresh
/// (incident i5d680d): while work waits in line, they are turned away first.
#[test]
fn a_late_repeat_gives_way_while_work_waits() {
    let mut set = settings(Repeat::Idempotent);
    set.plans.clear();
    let mut rules = ready(set, 1);
    for n in 1..=8 {
        rules.on(ms(1000), arrival(n, ms(1000), "a", 1.0));
    }
    for done in 1..3 {
        rules.on(ms(1100), outcome(done, 0, BackendId(0), Outcome::Ok, true));
    }
    let Event::Invocation(first) = arrival(50, ms(1100), "a", 1.0) else {
        unreachable!()
    };
    let spent = Invocation {
        id: InvocationId(51),
        repeat: true,
        deadline: ms(1100 + 2050),
        ..first
    };
    assert!(
        !throttled(&rules.on(ms(1099), arrival(49, ms(1099), "a", 1.0))),
        "a fresh one still waits"
    );
    assert!(
        throttled(&rules.on(ms(1100), Event::Invocation(spent))),
        "its first try came 950 ms ago"
    );
}

/// Where the counter can't tell, answers do: a customer busy at other gateways is not let in as calm
/// (incident i708717).
#[test]
fn the_meter_on_answers_tells_of_use_elsewhere() {
    let second_is_refused = |used| {
        let mut set = settings(Repeat::Idempotent);
        (set.counter, set.meter_period) = (None, ms(4000));
        let mut rules = ready(set, 2);
        let backend_id = delivered(&rules.on(ms(21_000), arrival(1, ms(21_000), "a", 1.0)))[0];
        let Event::AttemptEnded {
            invocation_id,
            attempt,
            outcome,
            latency,
            report,
            ..
        } = outcome(1, 0, backend_id, Outcome::Ok, true)
        else {
            unreachable!()
        };
        let true_units = None;
        rules.on(
            ms(21_100),
            Event::AttemptEnded {
                invocation_id,
                attempt,
                backend_id,
                outcome,
                latency,
                closed: true,
                used,
                true_units,
                report,
            },
        );
        throttled(&rules.on(ms(22_000), arrival(2, ms(22_000), "a", 1.0)))
    };
    assert!(!second_is_refused(None));
    assert!(second_is_refused(Some(5.0)));
}

/// A window longer than the counter remembers must not let a burst in for each stretch that it does.
#[test]
fn a_very_long_window_still_holds_the_rate() {
    let mut set = settings(Repeat::Idempotent);
    set.plans[0] = Plan {
        rate: 0.1,
        burst: 20.0,
        price: 1.0,
        ..Plan::default()
    };
    let mut rules = ready(set, 4);
    let mut counter = Default::default();
    let mut admitted = 0;
    for n in 0..200u64 {
        let now = ms(60_000 + 500 * n);
        let actions = ask(&mut rules, &mut counter, now, arrival(n, now, "a", 1.0));
        admitted += u32::from(!throttled(&actions));
        for backend_id in delivered(&actions) {
            rules.on(now, outcome(n, 0, backend_id, Outcome::Ok, true));
        }
    }
    assert!(
        admitted <= 30,
        "{admitted} in 100 s, with 20 at once and 10 more refilled"
    );
}

/// Failure found on sockets: each invocation that was over left its timers, most of a gateway's wake-ups.
#[test]
fn what_is_over_wakes_nobody() {
    let mut rules = ready(
        Settings {
            counter: None,
            ..settings(Repeat::Idempotent)
        },
        4,
    );
    let mut timers = Vec::new();
    for n in 0..20 {
        let now = ms(1000 + 10 * n);
        let sent = rules.on(now, arrival(n, now, &n.to_string(), 1.0));
        timers.extend(sent.iter().filter_map(|a| match a {
            Action::SetTimer { after, .. } => Some(now + *after),
            _ => None,
        }));
        rules.on(
            now + ms(5),
            outcome(n, 0, delivered(&sent)[0], Outcome::Ok, true),
        );
    }
    assert!(!timers.is_empty());
    let at = *timers.iter().min().expect("seen above");
    let after = rules.on(
        at,
        Event::Timer {
            token: "due".into(),
        },
    );
    assert!(
        !after.iter().any(|a| matches!(a, Action::SetTimer { .. })),
        "{after:?}"
    );
}

/// A call's worth spans 27-fold (morandotti-ordini): a crowded counter is asked for the dearest.
#[test]
fn a_crowded_counter_is_asked_for_what_is_worth_most() {
    let mut set = settings(Repeat::Idempotent);
    set.operations.push(Operation {
        billed_value: 10.0,
        ..set.operations[0].clone()
    });
    let mut rules = ready(set, 4);
    let mut asked = [0, 0];
    for n in 0..400u64 {
        let now = ms(1000 + 40 * n);
        let operation = OperationId((n % 2) as usize);
        let Event::Invocation(new) = arrival(n, now, &format!("c{n}"), 1.0) else {
            unreachable!()
        };
        for (name, _) in counts(&rules.on(now, Event::Invocation(Invocation { operation, ..new })))
        {
            asked[operation.0] += 1;
            let fails = if n % 8 < 2 {
                Outcome::TimedOut
            } else {
                Outcome::Ok
            };
            let (outcome, latency) = (fails, ms(25));
            rules.on(
                now + latency,
                Event::CounterTotal {
                    name,
                    outcome,
                    total: 1.0,
                    others: 0.0,
                    latency,
                },
            );
        }
    }
    assert!(asked[1] > 2 * asked[0], "{asked:?}");
}

/// One in line behind one that is out is no line where places are free (kigali-main big-1: 1,525 tries refused).
#[test]
fn a_line_is_judged_by_the_places_and_not_by_what_is_out() {
    let mut set = settings(Repeat::Idempotent);
    (set.counter, set.gateways) = (None, 1);
    set.plans[0] = Plan {
        rate: 50.0,
        burst: 50.0,
        max_in_flight: 1.0,
        price: 1.0,
        excess_cost: 1.0,
        ..Plan::default()
    };
    let mut rules = ready(set, 4);
    let Event::AttemptEnded {
        invocation_id,
        attempt,
        outcome,
        report,
        ..
    } = outcome(1, 0, BackendId(0), Outcome::Ok, true)
    else {
        unreachable!()
    };
    let backend_id = delivered(&rules.on(ms(1000), arrival(1, ms(1000), "a", 1.0)))[0];
    let (latency, used, true_units) = (ms(300), None, None);
    let slow = Event::AttemptEnded {
        invocation_id,
        attempt,
        backend_id,
        outcome,
        latency,
        closed: true,
        used,
        true_units,
        report,
    };
    rules.on(ms(1300), slow);
    for n in 2..4 {
        assert!(
            !throttled(&rules.on(ms(1300), arrival(n, ms(1300), "a", 1.0))),
            "one out, one waits for its cap"
        );
    }
    assert!(
        !throttled(&rules.on(ms(1300), arrival(9, ms(1300), "b", 1.0))),
        "others find free places"
    );
}

/// Settings that follow: half the quota is at once half, and what was counted before still counts.
#[test]
fn counts_move_to_the_slots_of_another_quota() {
    let set = settings(Repeat::Idempotent);
    let mut rules = ready(set.clone(), 4);
    let mut counter = Default::default();
    let mut arrive = |rules: &mut Rules, n: u64, units: f64| {
        let now = ms(1_000_000 + n); // Far from where slots of two lengths have one number.
        throttled(&ask(rules, &mut counter, now, arrival(n, now, "a", units)))
    };
    assert!(
        !arrive(&mut rules, 0, 2.0) && !arrive(&mut rules, 1, 2.0),
        "4 of 8 units"
    );
    let mut new = set.clone();
    (new.plans[0].rate, new.plans[0].burst) = (4.0, 6.0);
    rules.on(ms(1_000_010), Event::Settings(Box::new(set.follow(new))));
    assert!(!arrive(&mut rules, 20, 1.0), "the fifth unit");
    assert!(
        arrive(&mut rules, 21, 2.0),
        "4 units of before and 1 since leave no 2 of 6"
    );
    let slots: Vec<_> = counter.values().filter(|v| **v > 0.0).collect();
    assert!(
        slots.contains(&&5.0),
        "the new slot's name holds all of it, for the others to see: {counter:?}"
    );
}

#[test]
fn an_operation_keeps_its_effect_while_under_way_and_its_learned_times_by_name() {
    let set = settings(Repeat::Idempotent);
    let mut rules = ready(
        Settings {
            counter: None,
            ..set.clone()
        },
        4,
    );
    let first = delivered(&rules.on(ms(1000), arrival(1, ms(1000), "a", 1.0)))[0];
    let mut new = Settings {
        counter: None,
        ..set.clone()
    };
    new.operations.insert(
        0,
        Operation {
            name: "b".into(),
            ..new.operations[0].clone()
        },
    );
    new.operations[1].repeat = Repeat::NonIdempotent;
    let set = set.follow(new);
    rules.on(ms(1010), Event::Settings(Box::new(set.clone())));
    let again = rules.on(ms(1100), outcome(1, 0, first, Outcome::Failed, false));
    assert_eq!(delivered(&again).len(), 1, "idempotent when it came");
    let Event::Invocation(mut told) = arrival(2, ms(1200), "a", 1.0) else {
        unreachable!()
    };
    told.operation = set.in_force.operations[1];
    let first = delivered(&rules.on(ms(1200), Event::Invocation(told)))[0];
    let ended = rules.on(ms(1300), outcome(2, 0, first, Outcome::Failed, false));
    assert!(
        delivered(&ended).is_empty()
            && ended.contains(&Action::Fail {
                invocation_id: InvocationId(2)
            }),
        "it may have run"
    );
}

/// Two processes of one gateway have one part of a ceiling, and one of what cold backends may get.
#[test]
fn a_process_that_has_yielded_uses_no_budget_and_its_successor_has_what_was_left() {
    let mut set = settings(Repeat::Idempotent);
    set.counter = None;
    set.plans[0] = Plan {
        name: "p".into(),
        ceiling_rate: 3.0,
        ceiling_burst: 12.0,
        price: 1.0,
        ..Plan::default()
    };
    let mut elder = ready(set.clone(), 4);
    assert_eq!(
        delivered(&elder.on(ms(5000), arrival(1, ms(5000), "a", 2.0))).len(),
        1
    );
    let actions = elder.on(ms(5001), Event::Yield);
    let Some(Action::HandOver(carry)) = actions
        .into_iter()
        .find(|a| matches!(a, Action::HandOver(_)))
    else {
        panic!("nothing is handed over");
    };
    assert!(
        throttled(&elder.on(ms(5002), arrival(2, ms(5002), "a", 1.0))),
        "its part is gone"
    );
    let mut younger = Rules::new(9, set, ms(5001));
    let up = (0..4)
        .map(|t| entry(t, Health::Up, Duration::ZERO))
        .collect();
    younger.on(ms(5002), list(ListForm::Restored, up));
    younger.on(ms(5003), Event::TakeOver(carry));
    assert_eq!(
        delivered(&younger.on(ms(5004), arrival(3, ms(5004), "a", 2.0))).len(),
        1,
        "4 s' part less 2"
    );
    assert!(
        throttled(&younger.on(ms(5005), arrival(4, ms(5005), "a", 1.0))),
        "no store anew"
    );
    // The younger is gone: what it used is not known, so the elder's part is earned anew.
    elder.on(ms(5010), Event::Resume);
    assert!(throttled(
        &elder.on(ms(5011), arrival(5, ms(5011), "a", 1.0))
    ));
    assert_eq!(
        delivered(&elder.on(ms(6100), arrival(6, ms(6100), "a", 1.0))).len(),
        1
    );
}

#[test]
fn no_time_runs_while_a_body_comes_and_none_that_is_spent_is_sent_again() {
    let mut set = settings(Repeat::Idempotent);
    set.plans.clear();
    let mut rules = ready(set, 4);
    let Event::Invocation(mut told) = arrival(1, ms(1000), "a", 1.0) else {
        unreachable!()
    };
    (told.body_pending, told.deadline) = (true, ms(600_000));
    let first = delivered(&rules.on(ms(1000), Event::Invocation(told)))[0];
    for at in (1100..9000).step_by(100) {
        let actions = rules.on(
            ms(at),
            Event::Timer {
                token: "due".into(),
            },
        );
        assert!(
            !throttled(&actions) && delivered(&actions).is_empty(),
            "its client still sends"
        );
    }
    rules.on(
        ms(9000),
        Event::BodyComplete {
            invocation_id: InvocationId(1),
            deadline: ms(12_000),
        },
    );
    rules.on(
        ms(9000),
        Event::BodyConsumed {
            invocation_id: InvocationId(1),
        },
    );
    let ended = rules.on(
        ms(9100),
        outcome(1, 0, first, Outcome::ConnectFailed, false),
    );
    assert!(
        delivered(&ended).is_empty() && throttled(&ended),
        "it never ran, and can't be sent"
    );
    // Its time, once whole, ends it.
    let Event::Invocation(mut told) = arrival(2, ms(20_000), "a", 1.0) else {
        unreachable!()
    };
    (told.body_pending, told.deadline) = (true, ms(600_000));
    rules.on(ms(20_000), Event::Invocation(told));
    rules.on(
        ms(25_000),
        Event::BodyComplete {
            invocation_id: InvocationId(2),
            deadline: ms(28_000),
        },
    );
    assert!(!throttled(&rules.on(
        ms(27_000),
        Event::Timer {
            token: "due".into()
        }
    )));
    assert!(throttled(&rules.on(
        ms(28_000),
        Event::Timer {
            token: "due".into()
        }
    )));
}
