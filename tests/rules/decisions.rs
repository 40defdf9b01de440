//! Tests of the decisions of one gateway: the common cases, and a regression test for each failure
//! found.

use std::time::Duration;

use crate::common::*;
use damsonbeam::Rules;
use damsonbeam::interface::*;

/// Handles an event and answers every counter call that follows from it at once, including reads
/// and undos. `counter` holds the totals by name.
fn handle_with_counter(
    rules: &mut damsonbeam::Rules,
    counter: &mut std::collections::BTreeMap<String, f64>,
    now: Duration,
    event: Event,
) -> Vec<Action> {
    let mut all = rules.handle_event(now, event);
    let mut open = counter_calls(&all);
    while let Some((name, add)) = open.pop() {
        let sum = counter.entry(name.clone()).or_default();
        *sum += add;
        let more = rules.handle_event(now, counter_total(&name, *sum));
        open.extend(counter_calls(&more));
        all.extend(more);
    }
    all
}

#[test]
fn adds_to_counter_before_sending_within_quota() {
    let mut rules = rules_with_backends(settings(RepeatMode::Idempotent), 4);
    let actions = rules.handle_event(ms(1000), arrival(1, ms(1000), "a", 2.0));
    let calls = counter_calls(&actions);
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].1, 2.0);
    assert!(
        sent_to(&actions).is_empty(),
        "nothing is sent before the total is known"
    );
    let mut counter = std::collections::BTreeMap::from([(calls[0].0.clone(), 2.0)]);
    let more = rules.handle_event(ms(1002), counter_total(&calls[0].0, 2.0));
    let mut sent = sent_to(&more).len();
    for (name, add) in counter_calls(&more) {
        *counter.entry(name.clone()).or_default() += add;
        sent += sent_to(&rules.handle_event(ms(1004), counter_total(&name, counter[&name]))).len();
    }
    assert_eq!(sent, 1);
}

#[test]
fn rejects_over_burst_and_undoes_its_add() {
    let mut rules = rules_with_backends(settings(RepeatMode::Idempotent), 4);
    let mut counter = Default::default();
    let mut refused = 0;
    for n in 0..8 {
        refused += u32::from(is_throttled(&handle_with_counter(
            &mut rules,
            &mut counter,
            ms(1000 + n),
            arrival(n, ms(1000 + n), "a", 2.0),
        )));
    }
    assert_eq!(
        refused, 4,
        "a burst of 8 admits four invocations of 2 units"
    );
    assert!(
        (counter.values().sum::<f64>() - 8.0).abs() < 1e-6,
        "only admitted units stay counted"
    );
}

#[test]
fn counts_usage_at_other_gateways_and_refills_for_idle_customer() {
    let mut rules = rules_with_backends(settings(RepeatMode::Idempotent), 4);
    let mut counter = std::collections::BTreeMap::new();
    let name = counter_calls(&rules.handle_event(ms(1000), arrival(1, ms(1000), "a", 2.0)))[0]
        .0
        .clone();
    counter.insert(name.clone(), 9.0);
    let actions = rules.handle_event(ms(1002), counter_total(&name, 9.0));
    let reads = counter_calls(&actions);
    let more = reads
        .iter()
        .flat_map(|(name, _)| rules.handle_event(ms(1003), counter_total(name, 0.0)));
    assert!(
        actions
            .into_iter()
            .chain(more)
            .any(|a| matches!(a, Action::Throttle { .. }))
    );
    let later = ms(30_000);
    assert!(!is_throttled(&handle_with_counter(
        &mut rules,
        &mut counter,
        later,
        arrival(2, later, "a", 8.0)
    )));
}

/// A counter that is flushed or returns empty must not grant a second burst: the gateway remembers
/// the units that it has admitted.
#[test]
fn flushed_counter_does_not_grant_second_burst() {
    let mut rules = rules_with_backends(settings(RepeatMode::Idempotent), 4);
    let mut counter: std::collections::BTreeMap<String, f64> = Default::default();
    for n in 0..4 {
        let now = ms(1000 + n);
        assert!(!is_throttled(&handle_with_counter(
            &mut rules,
            &mut counter,
            now,
            arrival(n, now, "a", 2.0)
        )));
    }
    counter.clear();
    let now = ms(1010);
    assert!(is_throttled(&handle_with_counter(
        &mut rules,
        &mut counter,
        now,
        arrival(9, now, "a", 2.0)
    )));
}

/// A silent counter must neither delay every invocation nor disable the quota.
#[test]
fn silent_counter_is_asked_less_and_quota_still_holds() {
    let mut rules = rules_with_backends(settings(RepeatMode::Idempotent), 4);
    let (mut asked, mut sent) = (0, 0.0);
    for n in 0..200u64 {
        let now = ms(1000 + 5 * n);
        let actions = rules.handle_event(now, arrival(n, now, &format!("c{}", n % 4), 1.0));
        sent += sent_to(&actions).len() as f64;
        for (name, _) in counter_calls(&actions).into_iter().filter(|c| c.1 >= 0.0) {
            asked += u32::from(n >= 100);
            let more = rules.handle_event(now, counter_failure(&name, Outcome::TimedOut));
            sent += sent_to(&more).len() as f64;
            for (invocation_id, backend_id) in more.iter().filter_map(|a| match a {
                Action::SendAttempt {
                    invocation_id,
                    backend_id,
                    ..
                } => Some((invocation_id.0, *backend_id)),
                _ => None,
            }) {
                rules.handle_event(
                    now,
                    attempt_ended(invocation_id, 0, backend_id, Outcome::Ok, true),
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
            rules.handle_event(
                now,
                attempt_ended(invocation_id, 0, backend_id, Outcome::Ok, true),
            );
        }
    }
    assert!(
        asked < 40,
        "{asked} of the last 100 asked an unavailable counter"
    );
    assert!(
        sent > 0.0 && sent <= 4.0 * 10.0,
        "{sent} sent, with four bursts of 8 and the refill of a second"
    );
}

/// Found with silent connections to the counter: each broken connection failed twenty calls, which
/// reduced the sampling twenty times and caused a second of decisions by estimates. A total that
/// cannot be read had the same effect.
#[test]
fn concurrent_call_failures_reduce_sampling_once_and_unreadable_totals_do_not() {
    for (outcome, min_asked) in [(Outcome::TimedOut, 25), (Outcome::Failed, 100)] {
        let mut rules = rules_with_backends(settings(RepeatMode::Idempotent), 4);
        let mut calls_for = |n: u64, now| {
            counter_calls(&rules.handle_event(now, arrival(n, now, &format!("c{n}"), 3.0)))
        };
        let calls: Vec<_> = (0..20).flat_map(|n| calls_for(n, ms(1000))).collect();
        assert_eq!(calls.len(), 20);
        for (name, _) in calls {
            rules.handle_event(ms(1030), counter_failure(&name, outcome));
        }
        let asks = |n: u64| {
            counter_calls(
                &rules.handle_event(ms(1031), arrival(n, ms(1031), &format!("c{n}"), 3.0)),
            )
            .len()
        };
        let asked: usize = (100..200).map(asks).sum();
        assert!(asked >= min_asked, "{asked} of 100 asked after {outcome:?}");
    }
}

/// An admitted invocation for which there is no backend is throttled before its objective, and its
/// units are released.
#[test]
fn without_backends_throttles_in_time_and_sends_nothing() {
    let mut rules = rules_with_backends(settings(RepeatMode::Idempotent), 0);
    let mut counter = Default::default();
    let first = handle_with_counter(
        &mut rules,
        &mut counter,
        ms(1000),
        arrival(1, ms(1000), "a", 1.0),
    );
    assert!(sent_to(&first).is_empty());
    let late = handle_with_counter(
        &mut rules,
        &mut counter,
        ms(1990),
        Event::TimerFired {
            token: "due".into(),
        },
    );
    assert!(
        is_throttled(&first) || is_throttled(&late),
        "rejected before the objective, not held until the deadline"
    );
    assert!(counter.values().sum::<f64>().abs() < 1e-6);
}

/// A restarted process does not know what its predecessor has used, and must not grant the whole
/// burst of a ceiling again.
#[test]
fn restarted_process_starts_with_empty_ceiling_budget() {
    let mut settings = settings(RepeatMode::Idempotent);
    settings.counter = None;
    settings.plans[0] = Plan {
        ceiling_rate: 3.0,
        ceiling_burst: 12.0,
        unit_value: 1.0,
        ..Plan::default()
    };
    let mut rules = rules_with_backends(settings, 4);
    assert!(is_throttled(
        &rules.handle_event(ms(1000), arrival(1, ms(1000), "a", 1.0))
    ));
    assert_eq!(
        sent_to(&rules.handle_event(ms(3000), arrival(2, ms(3000), "b", 1.0))).len(),
        1
    );
}

#[test]
fn draining_or_unlisted_backend_gets_no_attempts() {
    let mut settings = settings(RepeatMode::Idempotent);
    settings.plans.clear();
    let mut rules = rules_with_backends(settings, 2);
    rules.handle_event(
        ms(1100),
        backend_list(
            ListUpdate::Update,
            vec![backend_entry(0, Health::Draining, Duration::ZERO)],
        ),
    );
    for n in 0..3 {
        let sent = sent_to(&rules.handle_event(ms(1200 + n), arrival(n, ms(1200 + n), "a", 1.0)));
        assert!(sent.iter().all(|backend_id| *backend_id == BackendId(1)));
    }
    rules.handle_event(ms(1300), backend_list(ListUpdate::Replace, vec![]));
    assert!(sent_to(&rules.handle_event(ms(1301), arrival(9, ms(1301), "a", 1.0))).is_empty());
}

/// With one attempt of each of ten gateways, a small backend gets ten at once (incidents i935554,
/// if55f4d). A gateway's attempts are therefore limited by the sum of its shares of all backends.
#[test]
fn concurrency_limit_is_shared_by_many_gateways() {
    let mut settings = settings(RepeatMode::Idempotent);
    settings.plans.clear();
    settings.gateways = 20;
    let mut rules = rules_with_backends(settings, 10);
    let sent: usize = (0..10)
        .map(|n| sent_to(&rules.handle_event(ms(1000), arrival(n, ms(1000), "a", 1.0))).len())
        .sum();
    assert_eq!(
        sent, 6,
        "ten backends with a limit of twelve, shared by twenty gateways"
    );
}

/// Gateways without any measurement of the backends must not all start with the same one.
#[test]
fn new_gateways_choose_different_backends() {
    let first = |seed| {
        let mut settings = settings(RepeatMode::Idempotent);
        settings.plans.clear();
        settings.gateways = 100;
        let mut rules = damsonbeam::Rules::new(seed, settings, ms(1000));
        let mut entries: Vec<BackendEntry> = (0..20)
            .map(|backend_id| backend_entry(backend_id, Health::Up, Duration::ZERO))
            .collect();
        entries
            .iter_mut()
            .for_each(|e| e.weight = f64::from(1 + e.backend_id.0 % 2));
        rules.handle_event(ms(1000), backend_list(ListUpdate::Restored, entries));
        sent_to(&rules.handle_event(ms(1000), arrival(1, ms(1000), "a", 1.0)))[0]
    };
    let chosen: std::collections::BTreeSet<_> = (0..100).map(first).collect();
    assert!(
        chosen.len() > 15,
        "{} of 20 chosen, including backends of lower weight",
        chosen.len()
    );
}

/// Hundreds of gateways, each with a share of less than one attempt to a cold backend, must neither
/// all send one at once nor none at all (incidents i6c3347, i651e94, ic8f5f9).
#[test]
fn cold_backend_gets_few_attempts_from_many_gateways() {
    let sent_by = |seed| {
        let mut settings = settings(RepeatMode::Idempotent);
        settings.plans.clear();
        settings.gateways = 200;
        let mut rules = damsonbeam::Rules::new(seed, settings, ms(10_000));
        rules.handle_event(
            ms(10_000),
            backend_list(
                ListUpdate::Restored,
                vec![backend_entry(0, Health::Up, ms(9_500))],
            ),
        );
        let times = (0..40).map(|n| ms(10_000 + 100 * n));
        let sent = times.enumerate().map(|(n, now)| {
            let actions = rules.handle_event(now, arrival(n as u64, now, "a", 1.0));
            for (invocation_id, _) in sent_to(&actions).iter().zip(n..) {
                rules.handle_event(
                    now,
                    attempt_ended(n as u64, 0, *invocation_id, Outcome::Ok, true),
                );
            }
            sent_to(&actions).len()
        });
        sent.collect::<Vec<_>>()
    };
    let runs: Vec<_> = (0..200).map(sent_by).collect();
    let attempts = |from: usize, to: usize| {
        runs.iter()
            .map(|run| run[from..to].iter().sum::<usize>())
            .sum::<usize>()
    };
    assert!(
        attempts(0, 10) <= 4,
        "{} in the first second",
        attempts(0, 10)
    );
    assert!(
        attempts(0, 40) >= 1,
        "the backend gets some work to warm entries"
    );
}

/// A backend that refuses the work of one plan stays available for other plans (incident ia0f897).
#[test]
fn backend_refusing_one_plan_still_gets_other_plans() {
    let mut settings = settings(RepeatMode::Idempotent);
    settings.counter = None;
    settings.plans = vec![
        Plan {
            unit_value: 1.0,
            ..Plan::default()
        };
        2
    ];
    let mut rules = rules_with_backends(settings, 1);
    rules.handle_event(ms(1000), arrival(1, ms(1000), "a", 1.0));
    rules.handle_event(
        ms(1010),
        attempt_ended(1, 0, BackendId(0), Outcome::Full, false),
    );
    let Event::Invocation(other) = arrival(2, ms(1011), "b", 1.0) else {
        unreachable!()
    };
    let other = Invocation {
        plan: PlanId(1),
        ..other
    };
    rules.handle_event(
        ms(1012),
        attempt_ended(1, 1, BackendId(0), Outcome::Full, false),
    );
    assert_eq!(
        sent_to(&rules.handle_event(ms(1012), Event::Invocation(other))).len(),
        1
    );
}

/// A timer that fires early by a rounding error must not leave the next timers unarmed. An
/// invocation was lost that way.
#[test]
fn early_timer_is_rearmed() {
    let mut rules = rules_with_backends(settings(RepeatMode::Idempotent), 0);
    let armed_after = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::SetTimer { after, .. } => Some(*after),
            _ => None,
        })
    };
    let after = armed_after(&rules.handle_event(ms(1000), arrival(1, ms(1000), "a", 1.0)))
        .expect("the final answer is due");
    let early = ms(1000) + after - Duration::from_nanos(400);
    assert!(
        armed_after(&rules.handle_event(
            early,
            Event::TimerFired {
                token: "due".into()
            }
        ))
        .is_some()
    );
}

/// Answers slower than the objective must not stop all sending, since then no new latency is
/// measured (incident if55f4d).
#[test]
fn sends_one_attempt_when_none_is_in_flight_despite_slow_answers() {
    let mut settings = settings(RepeatMode::Idempotent);
    settings.plans.clear();
    let mut rules = rules_with_backends(settings, 1);
    rules.handle_event(ms(1000), arrival(1, ms(1000), "a", 1.0));
    let Event::AttemptEnded {
        invocation_id,
        attempt,
        backend_id,
        outcome,
        report,
        ..
    } = attempt_ended(1, 0, BackendId(0), Outcome::Ok, true)
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
        is_finished: true,
        metered_use: used,
        actual_units: true_units,
        report,
    };
    rules.handle_event(ms(3500), slow);
    assert_eq!(
        sent_to(&rules.handle_event(ms(3600), arrival(2, ms(3600), "a", 1.0))).len(),
        1
    );
}

/// A cap of at least one attempt per gateway does not limit the fleet (kigali-main quiet: 0.31).
/// The cap therefore applies to the counter's total over all gateways.
#[test]
fn in_flight_cap_holds_across_gateways() {
    let mut settings = settings(RepeatMode::Idempotent);
    settings.plans[0] = Plan {
        max_in_flight: 2.0,
        unit_value: 1.0,
        excess_cost: 0.6,
        ..Plan::default()
    };
    let mut rules = rules_with_backends(settings, 4);
    let now = ms(1010);
    let name = counter_calls(&rules.handle_event(now, arrival(1, now, "a", 3.0)))[0]
        .0
        .clone();
    let sent = rules.handle_event(ms(1012), counter_total(&name, 2.0));
    assert_eq!(
        sent_to(&sent).len(),
        1,
        "one attempt here, one at another gateway"
    );
    assert_eq!(
        counter_calls(&rules.handle_event(ms(1013), arrival(2, ms(1013), "a", 1.0))),
        [],
        "the window is known to be full"
    );
    let ended = rules.handle_event(
        ms(1100),
        attempt_ended(1, 0, sent_to(&sent)[0], Outcome::Ok, true),
    );
    assert_eq!(
        counter_calls(&ended),
        [(name.clone(), -1.0)],
        "a finished attempt is no longer counted"
    );
    rules.handle_event(ms(1102), counter_total(&name, 1.0));
    assert_eq!(
        counter_calls(&rules.handle_event(ms(1110), arrival(3, ms(1110), "a", 1.0))),
        [(name.clone(), 1.0)]
    );
    assert_eq!(
        sent_to(&rules.handle_event(ms(1112), counter_total(&name, 2.0))).len(),
        1
    );
}

/// A backend that never answers yields no latency, in particular if it answers other operations
/// (kigali-main rough-2). Slow attempts therefore count as unanswered, by operation, and are
/// reported to the other gateways.
#[test]
fn backend_silent_for_one_operation_is_avoided_and_reported_to_peers() {
    let mut settings = settings(RepeatMode::NonIdempotent);
    settings.operations.push(settings.operations[0].clone());
    (
        settings.plans,
        settings.limits.may_message_peers,
        settings.gateways,
    ) = (vec![], true, 2);
    let (mut observer, mut peer) = (
        rules_with_backends(settings.clone(), 2),
        rules_with_backends(settings, 2),
    );
    let mut report_count = 0;
    for n in 0..8 {
        let now = ms(1000 + 20 * n);
        let sent = sent_to(&observer.handle_event(now, arrival(n, now, "a", 1.0)));
        if sent.contains(&BackendId(1)) {
            observer.handle_event(
                now + ms(10),
                attempt_ended(n, 0, BackendId(1), Outcome::Ok, true),
            );
        }
    }
    for action in observer.handle_event(
        ms(2200),
        Event::TimerFired {
            token: "due".into(),
        },
    ) {
        if let Action::SendToPeers { to: None, bytes } = action {
            report_count += 1;
            (0..6).for_each(|_| {
                drop(peer.handle_event(
                    ms(2200),
                    Event::PeerMessage {
                        from: GatewayId(0),
                        bytes: bytes.clone(),
                    },
                ))
            });
        }
    }
    assert!(report_count > 0, "the backend is reported to the peers");
    let mut attempts_for = |operation| {
        let chosen = (0..20).map(|n| {
            let (id, now) = (100 * (operation as u64 + 1) + n, ms(2300 + 10 * n));
            let Event::Invocation(new) = arrival(id, now, "a", 1.0) else {
                unreachable!()
            };
            let sent = sent_to(&peer.handle_event(
                now,
                Event::Invocation(Invocation {
                    operation: OperationId(operation),
                    ..new
                }),
            ));
            sent.iter().for_each(|backend_id| {
                drop(peer.handle_event(
                    now + ms(5),
                    attempt_ended(id, 0, *backend_id, Outcome::Ok, true),
                ))
            });
            sent.iter()
                .filter(|backend_id| **backend_id == BackendId(0))
                .count()
        });
        chosen.sum::<usize>()
    };
    let (silent_count, served_count) = (attempts_for(0), attempts_for(1));
    assert!(
        silent_count <= 2 && served_count >= 4,
        "{silent_count} and {served_count} of 20"
    );
}

#[test]
fn failed_subscription_is_retried() {
    let mut settings = settings(RepeatMode::Idempotent);
    settings.discovery = Discovery::Subscribed;
    let mut rules = damsonbeam::Rules::new(1, settings, ms(0));
    let subscribes = |a: &[Action]| {
        a.iter()
            .any(|a| matches!(a, Action::WatchBackendList { on: true }))
    };
    assert!(subscribes(&rules.handle_event(
        ms(0),
        backend_list(ListUpdate::Restored, vec![])
    )));
    assert!(!subscribes(&rules.handle_event(
        ms(10),
        backend_list(ListUpdate::Unavailable, vec![])
    )));
    assert!(subscribes(&rules.handle_event(
        ms(600),
        Event::TimerFired {
            token: "due".into()
        }
    )));
}

#[test]
fn started_stream_is_neither_throttled_nor_failed() {
    let mut settings = settings(RepeatMode::NonIdempotent);
    settings.plans.clear();
    let mut rules = rules_with_backends(settings, 2);
    let backend_id = sent_to(&rules.handle_event(ms(1000), arrival(1, ms(1000), "a", 1.0)))[0];
    let begun = Event::FirstByte {
        invocation_id: InvocationId(1),
        attempt: AttemptNumber(0),
        backend_id,
        latency: ms(50),
    };
    rules.handle_event(ms(1050), begun);
    let after = rules.handle_event(
        ms(9000),
        Event::TimerFired {
            token: "due".into(),
        },
    );
    assert!(!is_throttled(&after) && !is_failed(&after));
}

#[test]
fn true_units_are_corrected_with_the_next_add() {
    let mut settings = settings(RepeatMode::Idempotent);
    settings.units_are_estimates = true;
    let mut rules = rules_with_backends(settings, 2);
    let mut counter = Default::default();
    let sent = handle_with_counter(
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
    } = attempt_ended(1, 0, sent_to(&sent)[0], Outcome::Ok, true)
    else {
        unreachable!()
    };
    let end = Event::AttemptEnded {
        invocation_id,
        attempt,
        backend_id,
        outcome,
        latency,
        is_finished: true,
        metered_use: None,
        actual_units: Some(5.0),
        report,
    };
    assert!(
        counter_calls(&rules.handle_event(ms(1100), end)).is_empty(),
        "the correction causes no call"
    );
    handle_with_counter(
        &mut rules,
        &mut counter,
        ms(1110),
        arrival(2, ms(1110), "a", 1.0),
    );
    assert!(
        (counter.values().sum::<f64>() - 6.0).abs() < 1e-6,
        "the next add carries the correction"
    );
}

/// During a surge, clients' retries arrive too late for the objective of their first try and
/// displace new invocations (incident i5d680d). They are rejected first while work is queued.
#[test]
fn late_retry_is_throttled_while_work_is_queued() {
    let mut settings = settings(RepeatMode::Idempotent);
    settings.plans.clear();
    let mut rules = rules_with_backends(settings, 1);
    for n in 1..=8 {
        rules.handle_event(ms(1000), arrival(n, ms(1000), "a", 1.0));
    }
    for done in 1..3 {
        rules.handle_event(
            ms(1100),
            attempt_ended(done, 0, BackendId(0), Outcome::Ok, true),
        );
    }
    let Event::Invocation(first) = arrival(50, ms(1100), "a", 1.0) else {
        unreachable!()
    };
    let late_retry = Invocation {
        id: InvocationId(51),
        is_retry: true,
        deadline: ms(1100 + 2050),
        ..first
    };
    assert!(
        !is_throttled(&rules.handle_event(ms(1099), arrival(49, ms(1099), "a", 1.0))),
        "a first try still waits"
    );
    assert!(
        is_throttled(&rules.handle_event(ms(1100), Event::Invocation(late_retry))),
        "the first try came 950 ms ago"
    );
}

/// Without a counter, the metered use in answers shows a customer's usage at other gateways
/// (incident i708717).
#[test]
fn metered_use_in_answers_counts_usage_at_other_gateways() {
    let second_is_refused = |used| {
        let mut settings = settings(RepeatMode::Idempotent);
        (settings.counter, settings.meter_period) = (None, ms(4000));
        let mut rules = rules_with_backends(settings, 2);
        let backend_id =
            sent_to(&rules.handle_event(ms(21_000), arrival(1, ms(21_000), "a", 1.0)))[0];
        let Event::AttemptEnded {
            invocation_id,
            attempt,
            outcome,
            latency,
            report,
            ..
        } = attempt_ended(1, 0, backend_id, Outcome::Ok, true)
        else {
            unreachable!()
        };
        let true_units = None;
        rules.handle_event(
            ms(21_100),
            Event::AttemptEnded {
                invocation_id,
                attempt,
                backend_id,
                outcome,
                latency,
                is_finished: true,
                metered_use: used,
                actual_units: true_units,
                report,
            },
        );
        is_throttled(&rules.handle_event(ms(22_000), arrival(2, ms(22_000), "a", 1.0)))
    };
    assert!(!second_is_refused(None));
    assert!(second_is_refused(Some(5.0)));
}

/// A window longer than the retention of the counter must not admit a whole burst per retention
/// period.
#[test]
fn window_longer_than_counter_retention_holds_rate() {
    let mut settings = settings(RepeatMode::Idempotent);
    settings.plans[0] = Plan {
        rate: 0.1,
        burst: 20.0,
        unit_value: 1.0,
        ..Plan::default()
    };
    let mut rules = rules_with_backends(settings, 4);
    let mut counter = Default::default();
    let mut admitted = 0;
    for n in 0..200u64 {
        let now = ms(60_000 + 500 * n);
        let actions = handle_with_counter(&mut rules, &mut counter, now, arrival(n, now, "a", 1.0));
        admitted += u32::from(!is_throttled(&actions));
        for backend_id in sent_to(&actions) {
            rules.handle_event(now, attempt_ended(n, 0, backend_id, Outcome::Ok, true));
        }
    }
    assert!(
        admitted <= 30,
        "{admitted} in 100 s, with a burst of 20 and a refill of 10"
    );
}

/// Found with real sockets: the timers of finished invocations remained, and caused most of a
/// gateway's wake-ups.
#[test]
fn finished_invocations_leave_no_timers() {
    let mut rules = rules_with_backends(
        Settings {
            counter: None,
            ..settings(RepeatMode::Idempotent)
        },
        4,
    );
    let mut timers = Vec::new();
    for n in 0..20 {
        let now = ms(1000 + 10 * n);
        let sent = rules.handle_event(now, arrival(n, now, &n.to_string(), 1.0));
        timers.extend(sent.iter().filter_map(|a| match a {
            Action::SetTimer { after, .. } => Some(now + *after),
            _ => None,
        }));
        rules.handle_event(
            now + ms(5),
            attempt_ended(n, 0, sent_to(&sent)[0], Outcome::Ok, true),
        );
    }
    assert!(!timers.is_empty());
    let at = *timers.iter().min().expect("not empty");
    let after = rules.handle_event(
        at,
        Event::TimerFired {
            token: "due".into(),
        },
    );
    assert!(
        !after.iter().any(|a| matches!(a, Action::SetTimer { .. })),
        "{after:?}"
    );
}

/// The value of a counter call varies by a factor of 27 (morandotti-ordini). An overloaded counter
/// is asked about the most valuable invocations.
#[test]
fn overloaded_counter_is_asked_for_most_valuable_invocations() {
    let mut settings = settings(RepeatMode::Idempotent);
    settings.operations.push(Operation {
        billed_value: 10.0,
        ..settings.operations[0].clone()
    });
    let mut rules = rules_with_backends(settings, 4);
    let mut asked = [0, 0];
    for n in 0..400u64 {
        let now = ms(1000 + 40 * n);
        let operation = OperationId((n % 2) as usize);
        let Event::Invocation(new) = arrival(n, now, &format!("c{n}"), 1.0) else {
            unreachable!()
        };
        for (name, _) in counter_calls(
            &rules.handle_event(now, Event::Invocation(Invocation { operation, ..new })),
        ) {
            asked[operation.0] += 1;
            let outcome = if n % 8 < 2 {
                Outcome::TimedOut
            } else {
                Outcome::Ok
            };
            let (outcome, latency) = (outcome, ms(25));
            rules.handle_event(
                now + latency,
                Event::CounterTotal {
                    name,
                    outcome,
                    total: 1.0,
                    peer_units: 0.0,
                    latency,
                },
            );
        }
    }
    assert!(asked[1] > 2 * asked[0], "{asked:?}");
}

/// One queued invocation behind one attempt in flight is no long queue if backends have capacity
/// (kigali-main big-1: 1,525 tries were rejected).
#[test]
fn queue_is_judged_by_capacity_not_by_attempts_in_flight() {
    let mut settings = settings(RepeatMode::Idempotent);
    (settings.counter, settings.gateways) = (None, 1);
    settings.plans[0] = Plan {
        rate: 50.0,
        burst: 50.0,
        max_in_flight: 1.0,
        unit_value: 1.0,
        excess_cost: 1.0,
        ..Plan::default()
    };
    let mut rules = rules_with_backends(settings, 4);
    let Event::AttemptEnded {
        invocation_id,
        attempt,
        outcome,
        report,
        ..
    } = attempt_ended(1, 0, BackendId(0), Outcome::Ok, true)
    else {
        unreachable!()
    };
    let backend_id = sent_to(&rules.handle_event(ms(1000), arrival(1, ms(1000), "a", 1.0)))[0];
    let (latency, used, true_units) = (ms(300), None, None);
    let slow = Event::AttemptEnded {
        invocation_id,
        attempt,
        backend_id,
        outcome,
        latency,
        is_finished: true,
        metered_use: used,
        actual_units: true_units,
        report,
    };
    rules.handle_event(ms(1300), slow);
    for n in 2..4 {
        assert!(
            !is_throttled(&rules.handle_event(ms(1300), arrival(n, ms(1300), "a", 1.0))),
            "one in flight, the others wait for the cap"
        );
    }
    assert!(
        !is_throttled(&rules.handle_event(ms(1300), arrival(9, ms(1300), "b", 1.0))),
        "the backends have capacity for other customers"
    );
}

/// New settings with a smaller quota apply at once, and earlier units still count.
#[test]
fn counts_move_to_slots_of_changed_quota() {
    let settings = settings(RepeatMode::Idempotent);
    let mut rules = rules_with_backends(settings.clone(), 4);
    let mut counter = Default::default();
    let mut arrive = |rules: &mut Rules, n: u64, units: f64| {
        let now = ms(1_000_000 + n); // Here the two slot lengths give different numbers.
        is_throttled(&handle_with_counter(
            rules,
            &mut counter,
            now,
            arrival(n, now, "a", units),
        ))
    };
    assert!(
        !arrive(&mut rules, 0, 2.0) && !arrive(&mut rules, 1, 2.0),
        "4 of 8 units"
    );
    let mut new = settings.clone();
    (new.plans[0].rate, new.plans[0].burst) = (4.0, 6.0);
    rules.handle_event(
        ms(1_000_010),
        Event::Settings(Box::new(settings.updated_with(new))),
    );
    assert!(!arrive(&mut rules, 20, 1.0), "the fifth unit");
    assert!(
        arrive(&mut rules, 21, 2.0),
        "4 earlier units and 1 since leave less than 2 of 6"
    );
    let slots: Vec<_> = counter.values().filter(|v| **v > 0.0).collect();
    assert!(
        slots.contains(&&5.0),
        "the counter holds all units under the new slot: {counter:?}"
    );
}

#[test]
fn open_invocation_keeps_its_repeat_mode_when_settings_change() {
    let settings = settings(RepeatMode::Idempotent);
    let mut rules = rules_with_backends(
        Settings {
            counter: None,
            ..settings.clone()
        },
        4,
    );
    let first = sent_to(&rules.handle_event(ms(1000), arrival(1, ms(1000), "a", 1.0)))[0];
    let mut new = Settings {
        counter: None,
        ..settings.clone()
    };
    new.operations.insert(
        0,
        Operation {
            name: "b".into(),
            ..new.operations[0].clone()
        },
    );
    new.operations[1].repeat = RepeatMode::NonIdempotent;
    let settings = settings.updated_with(new);
    rules.handle_event(ms(1010), Event::Settings(Box::new(settings.clone())));
    let again = rules.handle_event(ms(1100), attempt_ended(1, 0, first, Outcome::Failed, false));
    assert_eq!(
        sent_to(&again).len(),
        1,
        "the operation was idempotent on arrival"
    );
    let Event::Invocation(mut request) = arrival(2, ms(1200), "a", 1.0) else {
        unreachable!()
    };
    request.operation = settings.in_force.operations[1];
    let first = sent_to(&rules.handle_event(ms(1200), Event::Invocation(request)))[0];
    let ended = rules.handle_event(ms(1300), attempt_ended(2, 0, first, Outcome::Failed, false));
    assert!(
        sent_to(&ended).is_empty()
            && ended.contains(&Action::Fail {
                invocation_id: InvocationId(2)
            }),
        "the attempt may have run"
    );
}

/// Two processes of one gateway share one part of a ceiling and of the warm-entries budgets.
#[test]
fn yielded_process_has_no_ceiling_budget_and_successor_gets_the_rest() {
    let mut settings = settings(RepeatMode::Idempotent);
    settings.counter = None;
    settings.plans[0] = Plan {
        name: "p".into(),
        ceiling_rate: 3.0,
        ceiling_burst: 12.0,
        unit_value: 1.0,
        ..Plan::default()
    };
    let mut predecessor = rules_with_backends(settings.clone(), 4);
    assert_eq!(
        sent_to(&predecessor.handle_event(ms(5000), arrival(1, ms(5000), "a", 2.0))).len(),
        1
    );
    let actions = predecessor.handle_event(ms(5001), Event::HandOver);
    let Some(Action::HandOver(carry)) = actions
        .into_iter()
        .find(|a| matches!(a, Action::HandOver(_)))
    else {
        panic!("no state was handed over");
    };
    assert!(
        is_throttled(&predecessor.handle_event(ms(5002), arrival(2, ms(5002), "a", 1.0))),
        "the share of the ceiling was handed over"
    );
    let mut successor = Rules::new(9, settings, ms(5001));
    let entries = (0..4)
        .map(|backend_id| backend_entry(backend_id, Health::Up, Duration::ZERO))
        .collect();
    successor.handle_event(ms(5002), backend_list(ListUpdate::Restored, entries));
    successor.handle_event(ms(5003), Event::TakeOver(carry));
    assert_eq!(
        sent_to(&successor.handle_event(ms(5004), arrival(3, ms(5004), "a", 2.0))).len(),
        1,
        "the share of 4 s less 2 units"
    );
    assert!(
        is_throttled(&successor.handle_event(ms(5005), arrival(4, ms(5005), "a", 1.0))),
        "the budget is not granted again"
    );
    // The successor has ended and its usage is unknown. The predecessor's share starts from an
    // empty budget.
    predecessor.handle_event(ms(5010), Event::Resume);
    assert!(is_throttled(
        &predecessor.handle_event(ms(5011), arrival(5, ms(5011), "a", 1.0))
    ));
    assert_eq!(
        sent_to(&predecessor.handle_event(ms(6100), arrival(6, ms(6100), "a", 1.0))).len(),
        1
    );
}

#[test]
fn pending_body_suspends_deadline_and_consumed_body_is_not_resent() {
    let mut settings = settings(RepeatMode::Idempotent);
    settings.plans.clear();
    let mut rules = rules_with_backends(settings, 4);
    let Event::Invocation(mut request) = arrival(1, ms(1000), "a", 1.0) else {
        unreachable!()
    };
    (request.body_pending, request.deadline) = (true, ms(600_000));
    let first = sent_to(&rules.handle_event(ms(1000), Event::Invocation(request)))[0];
    for at in (1100..9000).step_by(100) {
        let actions = rules.handle_event(
            ms(at),
            Event::TimerFired {
                token: "due".into(),
            },
        );
        assert!(
            !is_throttled(&actions) && sent_to(&actions).is_empty(),
            "the client still sends the body"
        );
    }
    rules.handle_event(
        ms(9000),
        Event::BodyComplete {
            invocation_id: InvocationId(1),
            deadline: ms(12_000),
        },
    );
    rules.handle_event(
        ms(9000),
        Event::BodyConsumed {
            invocation_id: InvocationId(1),
        },
    );
    let ended = rules.handle_event(
        ms(9100),
        attempt_ended(1, 0, first, Outcome::ConnectFailed, false),
    );
    assert!(
        sent_to(&ended).is_empty() && is_throttled(&ended),
        "the attempt never ran, but the body cannot be sent again"
    );
    // After the end of the body, its deadline applies.
    let Event::Invocation(mut request) = arrival(2, ms(20_000), "a", 1.0) else {
        unreachable!()
    };
    (request.body_pending, request.deadline) = (true, ms(600_000));
    rules.handle_event(ms(20_000), Event::Invocation(request));
    rules.handle_event(
        ms(25_000),
        Event::BodyComplete {
            invocation_id: InvocationId(2),
            deadline: ms(28_000),
        },
    );
    assert!(!is_throttled(&rules.handle_event(
        ms(27_000),
        Event::TimerFired {
            token: "due".into()
        }
    )));
    assert!(is_throttled(&rules.handle_event(
        ms(28_000),
        Event::TimerFired {
            token: "due".into()
        }
    )));
}
