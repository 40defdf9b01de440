//! Many gateways at once, each an instance of the module: what one does alone adds up.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::common::*;
use damsonbeam::Rules;
use damsonbeam::interface::*;

/// Units that each backend gets from `n` gateways, each with an invocation of one unit every `every`; answers
/// take 50 ms.
fn drive(
    gateways: &mut [Rules],
    from: Duration,
    to: Duration,
    every: Duration,
) -> BTreeMap<BackendId, f64> {
    let n = gateways.len() as u32;
    let mut got = BTreeMap::new();
    let mut out: BTreeMap<(Duration, usize, u64), BackendId> = BTreeMap::new();
    let mut now = from;
    let mut next = (from.as_millis() as u64) << 20;
    while now < to {
        for (g, rules) in gateways.iter_mut().enumerate() {
            let due: Vec<_> = out.range((from, g, 0)..).map(|(k, t)| (*k, *t)).collect();
            for (key, backend_id) in due.into_iter().filter(|(k, _)| k.1 == g && k.0 <= now) {
                out.remove(&key);
                let mut ended = outcome(key.2, 0, backend_id, Outcome::Ok, true);
                if let Event::AttemptEnded { latency, .. } = &mut ended {
                    *latency = ms(50);
                }
                rules.on(now, ended);
            }
            let turn = (now - from).as_millis() as u64 / 10 % (every.as_millis() as u64 / 10);
            if turn == g as u64 % (every.as_millis() as u64 / 10) {
                next += 1;
                for backend_id in delivered(&rules.on(now, arrival(next, now, "a", 1.0))) {
                    *got.entry(backend_id).or_insert(0.0) += 1.0;
                    out.insert((now + ms(50), g, next), backend_id);
                }
            }
        }
        now += ms(10);
    }
    assert!(n > 0 && !got.is_empty());
    got
}

/// Each of many gateways has a small part of a cold backend's budget, and began by owing the largest
/// invocation there is: none was paid off before the backend was warm, while the warm ones drowned (join+vast).
#[test]
fn many_gateways_give_cold_backends_their_part_and_no_more() {
    let mut set = settings(Repeat::Idempotent);
    set.plans[0] = Plan::default();
    (set.gateways, set.max_units) = (100, 8.0);
    let begin = ms(100_000);
    let mut gateways: Vec<_> = (0..100)
        .map(|seed| Rules::new(seed, set.clone(), begin))
        .collect();
    let warm = (0..8).map(|t| entry(t, Health::Up, Duration::ZERO));
    let all: Vec<_> = warm
        .chain([entry(8, Health::Up, begin + ms(5000))])
        .collect();
    for g in &mut gateways {
        g.on(begin, list(ListForm::Restored, all[..8].to_vec()));
    }
    drive(&mut gateways, begin, begin + ms(5000), ms(200));
    for g in &mut gateways {
        g.on(begin + ms(5000), list(ListForm::Update, all[8..].to_vec()));
    }
    let got = drive(&mut gateways, begin + ms(5000), begin + ms(8000), ms(200));
    let usual = (0..8).map(|t| got[&BackendId(t)]).sum::<f64>() / 8.0;
    // Its capacity rises from a fifth to under a half in these 3 s; the rule allows twice of it.
    let cold = got.get(&BackendId(8)).copied().unwrap_or_default() / usual;
    assert!(cold > 0.05, "{cold} of a warm one's work");
    assert!(cold < 0.5, "{cold} of a warm one's work");
}

/// What is asked about is no evidence against itself: of hundreds of gateways each meets a customer seldom,
/// and took its one large invocation for a hundredth of a flood (zone+vast).
#[test]
fn a_first_invocation_is_not_taken_for_a_surge() {
    let mut set = settings(Repeat::Idempotent);
    (set.gateways, set.counter, set.max_units) = (100, None, 8.0);
    set.plans[0].burst = 16.0;
    let mut rules = ready(set, 4);
    // Late in a slot of 8 s, so that nearly the whole window is guessed.
    let mut asks = |n: u64| {
        let now = ms(15_800 + n);
        let Event::Invocation(new) = arrival(n, now, "a", 4.0) else {
            unreachable!()
        };
        throttled(&rules.on(now, Event::Invocation(Invocation { spread: 90, ..new })))
    };
    assert!(
        !asks(1),
        "a quarter of the burst, of a customer taken to use half of its rate"
    );
    // Turned away again and again, it shows a surge.
    assert!(
        (2..40).filter(|n| asks(*n)).count() >= 34,
        "a surge is held to the burst"
    );
}

/// After a release all gateways asked discovery at once and again at once: it worked on calls that were too
/// late by the time, nobody had a list, and 13,000 deliveries went to backends that were gone (herd+vast).
#[test]
fn gateways_that_begin_at_once_ask_discovery_by_turns() {
    let mut set = settings(Repeat::Idempotent);
    (set.gateways, set.discovery) = (100, Discovery::Subscribed);
    let asks = |actions: Vec<Action>| {
        actions
            .iter()
            .any(|a| matches!(a, Action::WatchBackendList { on: true }))
    };
    let mut calls = [0; 90];
    for seed in 0..100 {
        let mut rules = Rules::new(seed, set.clone(), ms(1000));
        let mut asked = asks(rules.on(
            ms(1000),
            list(ListForm::Restored, vec![entry(0, Health::Up, ms(0))]),
        ));
        for n in 0..90 {
            let now = ms(1000 + 100 * n);
            asked |= asks(rules.on(
                now,
                Event::Timer {
                    token: "due".into(),
                },
            ));
            if asked {
                calls[n as usize] += 1;
                // All calls of the first 5 s are turned away.
                let failed = list(ListForm::Unavailable, vec![]);
                asked = n < 50 && asks(rules.on(now, failed));
            }
        }
    }
    assert!(
        calls.iter().all(|n| *n <= 10),
        "at most a tenth of them in a tenth of a second: {calls:?}"
    );
    assert!(
        calls[..51].iter().sum::<i32>() >= 100,
        "each has asked within 5 s: {calls:?}"
    );
    // One with no list at all can't wait.
    let mut rules = Rules::new(1, set, ms(1000));
    assert!(asks(rules.on(ms(1000), list(ListForm::Restored, vec![]))));
}

/// A backend that answers errors at once drew work from all, and one that grew slow was known only once the
/// objective had passed: what one gateway sees of it the others are told (join+vast, a fifth of all deliveries).
#[test]
fn what_fails_or_is_long_is_told_and_passed_over_by_the_others() {
    let share = |heard: &[Vec<u8>]| {
        let mut set = settings(Repeat::Idempotent);
        (set.plans[0], set.limits.may_message_peers) = (Plan::default(), true);
        let mut rules = ready(set, 4);
        for bytes in heard {
            rules.on(
                ms(1000),
                Event::PeerMessage {
                    from: GatewayId(1),
                    bytes: bytes.clone(),
                },
            );
        }
        let sent = (0..200).filter(|n| {
            let now = ms(1000 + n);
            let to = delivered(&rules.on(now, arrival(*n, now, "a", 1.0)))[0];
            rules.on(now, outcome(*n, 0, to, Outcome::Ok, true));
            to == BackendId(0)
        });
        sent.count()
    };
    let told = |ends: &dyn Fn(&mut Rules, BackendId) -> Vec<Action>| {
        let mut set = settings(Repeat::Idempotent);
        (set.plans[0], set.limits.may_message_peers) = (Plan::default(), true);
        let mut rules = ready(set, 1);
        for n in 0..20 {
            rules.on(ms(1000), arrival(n, ms(1000), "a", 1.0));
            rules.on(ms(1010), outcome(n, 0, BackendId(0), Outcome::Ok, true));
        }
        let to = delivered(&rules.on(ms(1100), arrival(30, ms(1100), "a", 1.0)))[0];
        let tells = ends(&mut rules, to).into_iter().filter_map(|a| match a {
            Action::SendToPeers { to: None, bytes } => Some(bytes),
            _ => None,
        });
        tells.collect::<Vec<_>>()
    };
    let fails = told(&|rules, to| rules.on(ms(1101), outcome(30, 0, to, Outcome::Failed, false)));
    // Answers take 0.1 s; the objective is 1 s.
    let long = told(&|rules, _| {
        rules.on(
            ms(1700),
            Event::Timer {
                token: "due".into(),
            },
        )
    });
    let usual = share(&[]);
    for heard in [fails, long] {
        assert_eq!(heard.len(), 1, "it is told once");
        assert!(
            share(&[heard[0].clone(), heard[0].clone()]) < usual / 2,
            "of {usual} usually"
        );
    }
}

/// With the counter silent, each of many gateways guesses what the others let in from the few invocations that
/// it sees: what all of them admit together was up to 26% over the quota in the lab, and is an eighth of it
/// here. What they tell each other holds it, and leaves little of the quota unused.
#[test]
fn what_gateways_tell_each_other_holds_a_quota_while_the_counter_is_silent() {
    let mut set = settings(Repeat::Idempotent);
    (set.gateways, set.plans[0].rate, set.plans[0].burst) = (24, 10.0, 20.0);
    let begin = ms(100_000);
    let mut gateways: Vec<_> = (0..24)
        .map(|seed| Rules::new(seed, set.clone(), begin))
        .collect();
    for g in &mut gateways {
        g.on(
            begin,
            list(
                ListForm::Restored,
                vec![entry(0, Health::Up, Duration::ZERO)],
            ),
        );
    }
    let (mut admitted, mut n) = (0.0, 0);
    for step in 0..6000 {
        let now = begin + ms(10 * step);
        if step % 20 == 0 {
            let all: Vec<_> = gateways.iter().map(|g| g.admitted(now)).collect();
            for (me, g) in gateways.iter_mut().enumerate() {
                let of = |name: &str| {
                    let told = all
                        .iter()
                        .enumerate()
                        .filter(|(i, _)| *i != me)
                        .flat_map(|(_, a)| a);
                    told.filter(|a| a.name == name).map(|a| a.units).sum()
                };
                let others = all[me].iter().map(|a| PeersAdmitted {
                    customer: a.customer.clone(),
                    slot: a.slot,
                    units: of(&a.name),
                    complete_until: Some(now),
                });
                let others = others.collect();
                g.on(now, Event::PeersAdmitted(others));
            }
        }
        if step % 3 != 0 {
            continue;
        }
        // Three times its rate, dealt over all by turns.
        n += 1;
        let Event::Invocation(new) = arrival(n, now, "a", 1.0) else {
            unreachable!()
        };
        let g = &mut gateways[n as usize * 7 % 24];
        let mut actions = g.on(now, Event::Invocation(Invocation { spread: 24, ..new }));
        for (name, _) in counts(&actions) {
            actions.extend(g.on(now + ms(1), no_total(&name, Outcome::TimedOut)));
        }
        for backend_id in delivered(&actions) {
            admitted += 1.0;
            g.on(now + ms(2), outcome(n, 0, backend_id, Outcome::Ok, true));
        }
    }
    let quota = 10.0 * 60.0 + 20.0;
    assert!(
        admitted <= 1.05 * quota,
        "{admitted} units in a minute of {quota}"
    );
    assert!(
        admitted >= 0.85 * quota,
        "{admitted} units in a minute of {quota}"
    );
}
