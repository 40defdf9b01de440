//! Answers are bound to their question, and a call that is sent again is answered as the first time.

use std::time::Duration;

use damsonbeam_config_store::consensus::{DurableState, Effect, Replica};
use damsonbeam_control::items::{Ballot, Change, Item, Key, Kind};
use damsonbeam_control::messages::{AcceptAnswer, Command, CommandReply, Ip, Message};

const NOW: Duration = Duration::from_secs(1);

fn ip(n: usize) -> Ip {
    [10, 0, 0, n as u8 + 1]
}

/// The first of so many founders.
fn replica(founders: usize, life: u64) -> Replica {
    let seeds: Vec<Ip> = (0..founders).map(ip).collect();
    let mut disk = DurableState::default();
    disk.found(ip(0), &seeds)
        .expect("empty")
        .iter()
        .for_each(|write| disk.keep(write));
    let mut replica = Replica::new(ip(0), disk, life, NOW);
    replica.roster(&seeds);
    replica
}

fn set(kind: Kind, name: &str, version: u64, body: Option<&str>) -> Item {
    let body = body.map(|text| text.as_bytes().to_vec());
    Item {
        key: Key {
            kind,
            name: name.into(),
        },
        version,
        ballot: Ballot::default(),
        body,
    }
}

fn service(name: &str) -> Item {
    set(
        Kind::Service,
        name,
        1,
        Some(&format!(r#"{{"name":"{name}"}}"#)),
    )
}

fn route(version: u64, timeout: u64) -> Item {
    let body = format!(
        r#"{{"name":"r","host_name":"h","path_prefix":"/","route_type":"read_only","timeout_ms":{timeout},"target_latency_ms":5,"target_service":"s"}}"#
    );
    set(Kind::Route, "r", version, Some(&body))
}

/// What a replica that is a majority by itself answers at once.
fn answer(replica: &mut Replica, items: &[Item]) -> CommandReply {
    replica.submit(
        1,
        Command::Change(Change {
            items: items.to_vec(),
        }),
        NOW,
    );
    let mut replies = replica
        .take_effects()
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Reply(_, reply) => Some(reply),
            _ => None,
        });
    replies.next_back().expect("answered")
}

fn is_refused(reply: &CommandReply) -> bool {
    matches!(reply, CommandReply::Invalid(_))
}

#[test]
fn a_call_is_acknowledged_again_whatever_was_changed_since() {
    let mut alone = replica(1, 1);
    assert_eq!(
        answer(&mut alone, &[service("s"), service("t"), route(2, 900)]),
        CommandReply::Done
    );
    let copy = set(
        Kind::Copy,
        "c",
        1,
        Some(
            r#"{"name":"c","service":"s","trial_service":"u","share":0.1,"instances":[{"id":"i","address":"10.0.0.9:80","region":"here"}],"config_version":"r1"}"#,
        ),
    );
    assert_eq!(
        answer(&mut alone, std::slice::from_ref(&copy)),
        CommandReply::Done
    );
    assert_eq!(
        answer(&mut alone, &[service("u")]),
        CommandReply::Done,
        "the trial is a real service now"
    );
    assert_eq!(
        answer(&mut alone, &[copy]),
        CommandReply::Done,
        "a rule that is in force is refused when it is sent again"
    );
    assert_eq!(
        answer(&mut alone, &[service("s"), route(2, 900)]),
        CommandReply::Done
    );
    assert_eq!(
        answer(&mut alone, &[set(Kind::Route, "r", 5, None)]),
        CommandReply::Done
    );
    assert_eq!(
        answer(&mut alone, &[set(Kind::Service, "s", 2, None)]),
        CommandReply::Done
    );
    assert_eq!(
        answer(&mut alone, &[route(2, 900)]),
        CommandReply::Done,
        "overtaken, and without its service"
    );
}

/// Found by reading: an equal version had no effect and was acknowledged, whatever it stood for.
#[test]
fn two_contents_of_one_version_are_not_both_confirmed() {
    let mut alone = replica(1, 1);
    assert_eq!(
        answer(&mut alone, &[service("s"), route(2, 900)]),
        CommandReply::Done
    );
    assert!(is_refused(&answer(&mut alone, &[route(2, 800)])));
    assert!(is_refused(&answer(
        &mut alone,
        &[set(Kind::Route, "r", 2, None)]
    )));
    assert!(
        is_refused(&answer(&mut alone, &[route(3, 800), route(3, 700)])),
        "two contents in one call"
    );
    assert!(
        is_refused(&answer(&mut alone, &[service("t"), route(2, 800)])),
        "a call is taken as a whole"
    );
    assert_eq!(answer(&mut alone, &[route(2, 900)]), CommandReply::Done);
}

fn prepared(replica: &mut Replica) -> Ballot {
    let ballot = replica
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            Effect::Broadcast(Message::Prepare { ballot, .. }) => Some(ballot),
            _ => None,
        });
    ballot.expect("a prepare")
}

fn replies(replica: &mut Replica) -> usize {
    replica
        .take_effects()
        .iter()
        .filter(|e| matches!(e, Effect::Reply(..)))
        .count()
}

/// Found by reading: rounds were numbered from one in each life, so a promise or an acceptance from before a restart
/// counted for another ballot.
#[test]
fn an_answer_counts_for_its_own_ballot_and_proposal_alone() {
    let mut one = replica(3, 1);
    one.submit(
        1,
        Command::Change(Change {
            items: vec![service("s")],
        }),
        NOW,
    );
    let ballot = prepared(&mut one);
    let old = Ballot {
        round: ballot.round - 1,
        ..ballot
    };
    let promise = |b: Ballot| Message::Promise {
        ballot: b,
        promised: b,
        disk: 0,
        items: None,
    };
    let accepted = |ballot: Ballot, step: u32| Message::Accepted {
        ballot,
        step,
        disk: 0,
        answer: AcceptAnswer::Accepted,
    };
    one.receive(ip(1), promise(old), NOW);
    one.receive(ip(1), accepted(ballot, 1), NOW);
    assert!(
        one.take_effects().is_empty(),
        "a promise of an earlier ballot counts"
    );
    one.receive(ip(1), promise(ballot), NOW);
    one.receive(ip(1), accepted(old, 1), NOW);
    one.receive(ip(1), accepted(ballot, 2), NOW);
    assert_eq!(
        replies(&mut one),
        0,
        "an acceptance of something else counts"
    );
    one.receive(ip(1), accepted(ballot, 1), NOW);
    assert_eq!(replies(&mut one), 1);
}

/// Found by reading: commands passed on were numbered anew in each life, so an answer from before a restart confirmed a
/// command that never ran.
#[test]
fn an_answer_to_a_command_of_an_earlier_life_is_none() {
    let seeds: Vec<Ip> = (0..3).map(ip).collect();
    let mut disk = DurableState::default();
    disk.found(ip(2), &seeds)
        .expect("empty")
        .iter()
        .for_each(|write| disk.keep(write));
    let mut last = Replica::new(ip(2), disk, 5, NOW);
    last.roster(&seeds);
    last.submit(
        1,
        Command::Change(Change {
            items: vec![service("s")],
        }),
        NOW,
    );
    let done = |life: u64| Message::Forwarded {
        life,
        no: 1,
        reply: Some(CommandReply::Done),
    };
    last.receive(ip(0), done(4), NOW);
    assert_eq!(replies(&mut last), 0, "an answer from before the restart");
    last.receive(ip(0), done(5), NOW);
    assert_eq!(replies(&mut last), 1);
}

/// Found in worlds 6 and 94: a command that was passed on and taken back was refused here, and carried out there after
/// what it clashed with had gone; one that came twice was refused and then carried out.
#[test]
fn a_command_that_may_be_carried_out_elsewhere_is_not_refused_and_one_that_comes_twice_is_taken_once()
 {
    let mut one = replica(3, 1);
    let order = Command::Change(Change {
        items: vec![route(1, 900)],
    });
    let forward = Message::Forward {
        life: 9,
        no: 1,
        order: order.clone(),
    };
    let taken = |one: &mut Replica| {
        one.receive(ip(1), forward.clone(), NOW);
        one.take_effects()
            .iter()
            .any(|e| matches!(e, Effect::Send(_, Message::ForwardAck { .. })))
    };
    assert!(
        taken(&mut one) && !taken(&mut one),
        "the same command is taken twice"
    );

    let seeds: Vec<Ip> = (0..3).map(ip).collect();
    let mut disk = DurableState::default();
    disk.found(ip(1), &seeds)
        .expect("empty")
        .iter()
        .for_each(|write| disk.keep(write));
    let mut second = Replica::new(ip(1), disk, 5, NOW);
    second.roster(&seeds);
    second.submit(1, order, NOW);
    second.take_effects();
    second.tick(NOW + Duration::from_millis(500));
    let ballot = prepared(&mut second);
    let promise = Message::Promise {
        ballot,
        promised: ballot,
        disk: 0,
        items: None,
    };
    second.receive(ip(2), promise, NOW + Duration::from_millis(510));
    let unsettled = |e: &Effect| matches!(e, Effect::Reply(1, CommandReply::Unsettled(_)));
    assert!(
        second.take_effects().iter().any(unsettled),
        "it may be found valid there"
    );
}
