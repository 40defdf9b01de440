//! Deterministic simulations of a cluster of stores, each with its own seed. The faults are delayed, duplicated and
//! lost messages, one-way and two-way partitions, frozen and killed stores, a restart of the whole cluster, lost disks
//! and replaced machines, within the number of losses that the voters tolerate. Operators submit conflicting writes.
//!
//! Invariants: acknowledged items persist, reads are monotonic, nothing that was refused is ever committed, an
//! acknowledged evacuation stays until another one is ordered, and after a period without faults all running replicas
//! have a vote and hold the same items.
//!
//! `WORLDS` sets the number of seeds, `FIRST` the first one; `WORLD` runs a single seed.

mod callers;
mod simulation;

use damsonbeam_config_store::consensus::voters::{Voter, VoterSet};
use damsonbeam_config_store::consensus::{DurableState, DurableWrite, Effect, Replica};
use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{ConfigChange, Item, ItemKey, ItemKind, ProposalNumber};
use damsonbeam_control::messages::{Command, CommandReply, Message, encode};
use rand::Rng;
use simulation::{Event, Simulation, ip, millis, submit_service};

/// When faults and writes end, in ms.
const FAULT_PERIOD_END: u64 = 25_000;
/// When the simulation ends, in ms.
const SIMULATION_END: u64 = 55_000;
/// How long a planned shutdown may take, in ms.
const SHUTDOWN_TIMEOUT: u64 = 1500;

/// Submits a write by an operator, with few names, so that versions and path prefixes conflict.
fn submit_random_write(sim: &mut Simulation) {
    let mut items = Vec::new();
    for _ in 0..sim.rng.random_range(1..3) {
        let name = format!("r{}", sim.rng.random_range(0..4));
        let version =
            sim.acknowledged.get(&name).copied().unwrap_or(0) + sim.rng.random_range(0..3);
        let prefix = sim.rng.random_range(0..6);
        let timeout = sim.rng.random_range(1000..9000);
        let body = (sim.rng.random::<f64>() > 0.15).then(|| {
            format!(
                r#"{{"name":"{name}","host_name":"h","path_prefix":"/{prefix}/","route_type":"read_only","timeout_ms":{timeout},"target_latency_ms":500,"target_service":"s","config_version":"r{version}"}}"#
            )
            .into_bytes()
        });
        let key = ItemKey {
            kind: ItemKind::Route,
            name,
        };
        items.push(Item {
            key,
            version,
            proposal_number: Default::default(),
            body,
        });
    }
    items.dedup_by(|a, b| a.key == b.key);
    let n = random_machine(sim);
    sim.start_call(n, Command::Change(ConfigChange { items }));
}

/// Orders a random zone out of service or back, unless its operator still waits for an answer.
fn order_random_evacuation(sim: &mut Simulation) {
    let zone = format!("z{}", sim.rng.random_range(0..2));
    let evacuated = sim.rng.random();
    let n = random_machine(sim);
    if !sim.callers.has_open_order(&zone) {
        sim.start_call(n, Command::Evacuate { zone, evacuated });
    }
}

/// Returns a random machine.
fn random_machine(sim: &mut Simulation) -> usize {
    let machines_in_use = sim.machines_in_use();
    machines_in_use[sim.rng.random_range(0..machines_in_use.len())]
}

/// Returns the seeds of an added machine: one machine that exists, and two that may have been removed.
fn stale_seeds(sim: &mut Simulation) -> Vec<usize> {
    let machine_count = sim.machines.len();
    vec![
        random_machine(sim),
        sim.rng.random_range(0..machine_count),
        sim.rng.random_range(0..machine_count),
    ]
}

/// Injects a random fault that the cluster must tolerate. A disk is lost only if a majority of the voters keep theirs.
fn inject_fault(sim: &mut Simulation) {
    let machines_in_use = sim.machines_in_use();
    let size = machines_in_use.len();
    let position = sim.rng.random_range(0..size);
    let n = machines_in_use[position];
    let downtime = sim.rng.random_range(100..3000);
    let next = machines_in_use[(position + 1) % size];
    match sim.rng.random_range(0..12) {
        0 => sim.kill(n, downtime),
        1 | 2 if sim.tolerates_loss(n) => {
            sim.replace_disk(n);
            sim.kill(n, downtime);
        }
        // All stores at once, without loss of a disk.
        3 => machines_in_use.iter().for_each(|n| sim.kill(*n, downtime)),
        4 | 5 => {
            let side_size = sim.rng.random_range(1..size / 2 + 1);
            let side: Vec<usize> = (0..side_size)
                .map(|_| machines_in_use[sim.rng.random_range(0..size)])
                .collect();
            let one_way = sim.rng.random::<f64>() < 0.3;
            let crosses_partition =
                |from: &usize, to: &usize| side.contains(from) != side.contains(to);
            let links = machines_in_use
                .iter()
                .flat_map(|from| machines_in_use.iter().map(move |to| (*from, *to)));
            let links = links.filter(|(from, to)| {
                crosses_partition(from, to) && (!one_way || side.contains(from))
            });
            sim.blocked_links = links.collect();
            sim.blocked_until = sim.now + downtime * 4;
        }
        // A region: two neighbouring stores.
        6 => [n, next].into_iter().for_each(|n| sim.kill(n, downtime)),
        7 => sim.machines[n].frozen_until = sim.now + downtime,
        // A planned replacement: the successor is added first, and the old machine is shut down later.
        8 if sim.tolerates_loss(n) => {
            let seeds = stale_seeds(sim);
            sim.add_machine(&seeds);
            sim.schedule(
                downtime,
                Event::ShutDown {
                    n,
                    deadline: sim.now + downtime + SHUTDOWN_TIMEOUT,
                    permanent: true,
                },
            );
        }
        // An unplanned replacement: the machine is removed at once, and its successor is added later.
        9 if sim.tolerates_loss(n) => {
            sim.remove_machine(n);
            let seeds = stale_seeds(sim);
            sim.schedule(downtime, Event::AddMachine(seeds));
        }
        // A rolling restart.
        10 => {
            for (position, n) in machines_in_use.iter().enumerate() {
                let delay_ms = position as u64 * 1000;
                sim.schedule(
                    delay_ms,
                    Event::ShutDown {
                        n: *n,
                        deadline: sim.now + delay_ms + SHUTDOWN_TIMEOUT,
                        permanent: false,
                    },
                );
                sim.schedule(delay_ms + SHUTDOWN_TIMEOUT + downtime / 4, Event::Start(*n));
            }
        }
        _ => {}
    }
}

/// What happened in a simulation, as numbers of commands.
#[derive(Debug, Default)]
struct Outcome {
    acknowledged: usize,
    refused: usize,
    evacuations: usize,
    reads: usize,
}

/// Runs a simulation to its end.
fn run_to_end(mut sim: Simulation) -> Outcome {
    let (mut next_write, mut next_fault) = (2000, 4000);
    sim.duplication_probability = 0.02;
    while sim.now < SIMULATION_END {
        sim.step();
        if sim.now >= FAULT_PERIOD_END {
            (
                sim.loss_probability,
                sim.duplication_probability,
                sim.blocked_until,
            ) = (0.0, 0.0, 0);
        }
        if sim.now < FAULT_PERIOD_END && sim.now >= next_write {
            next_write = sim.now + sim.rng.random_range(50..900);
            submit_random_write(&mut sim);
            if sim.rng.random::<f64>() < 0.3 {
                order_random_evacuation(&mut sim);
            }
            if sim.rng.random::<f64>() < 0.3 {
                let n = random_machine(&mut sim);
                sim.submit(n, Command::Read);
            }
        }
        if sim.now < FAULT_PERIOD_END && sim.now >= next_fault {
            next_fault = sim.now + sim.rng.random_range(1000..6000);
            inject_fault(&mut sim);
        }
        if sim.now > FAULT_PERIOD_END + 8000 && sim.now.is_multiple_of(2000) {
            let n = random_machine(&mut sim);
            sim.submit(n, Command::Read);
        }
    }
    for (name, version) in &sim.acknowledged {
        let read = sim.read.get(name).copied();
        assert!(
            read.is_some_and(|r| r >= *version),
            "{name}: version {version} was acknowledged, version {read:?} was read last"
        );
    }
    sim.check_convergence();
    Outcome {
        acknowledged: sim.acknowledged_changes,
        refused: sim.callers.refused,
        evacuations: sim.callers.evacuations,
        reads: sim.answered_reads,
    }
}

#[test]
fn acknowledged_writes_persist_and_reads_are_monotonic_for_all_seeds() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let first = number("FIRST").unwrap_or(0);
    let seeds: Vec<u64> = match number("WORLD") {
        Some(seed) => vec![seed],
        None => (first..first + number("WORLDS").unwrap_or(60)).collect(),
    };
    let mut total = Outcome::default();
    for seed in seeds {
        let size = [6, 9, 5][seed as usize % 3];
        let outcome = std::panic::catch_unwind(|| {
            let mut sim = Simulation::new(seed, size);
            submit_service(&mut sim);
            run_to_end(sim)
        });
        let outcome = outcome
            .unwrap_or_else(|_| panic!("seed {seed} failed; run it again with WORLD={seed}"));
        total.acknowledged += outcome.acknowledged;
        total.refused += outcome.refused;
        total.evacuations += outcome.evacuations;
        total.reads += outcome.reads;
    }
    println!("{total:?}");
    assert!(
        total.acknowledged > 0 && total.refused > 0 && total.evacuations > 0 && total.reads > 0,
        "a kind of command was never answered: {total:?}"
    );
}

/// Returns the initial disk of machine `n`, where the first three machines are the seeds.
fn founder(n: usize) -> DurableState {
    let mut disk = DurableState::default();
    let seeds: Vec<Ip> = (0..3).map(ip).collect();
    disk.initial_writes(ip(n), &seeds)
        .expect("empty disk")
        .iter()
        .for_each(|write| disk.apply(write));
    disk
}

/// Returns the proposal number and voter set of the prepare among the effects.
fn find_prepare(effects: &[Effect]) -> Option<(ProposalNumber, Item)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Broadcast(Message::Prepare {
            proposal_number,
            voters,
            ..
        }) => Some((*proposal_number, voters.clone())),
        _ => None,
    })
}

/// Returns a promise without items.
fn promise(proposal_number: ProposalNumber, disk: u64) -> Message {
    Message::Promise {
        proposal_number,
        promised: proposal_number,
        disk_id: disk,
        items: None,
    }
}

/// Returns whether the replica has answered a read.
fn has_answered_read(replica: &mut Replica) -> bool {
    replica
        .take_effects()
        .iter()
        .any(|e| matches!(e, Effect::Reply(_, CommandReply::Config(_))))
}

/// Invariant: at the first start only the founders have a vote, whichever machines are known. Stores that knew two of
/// six machines in their first 1.5 s used to commit with a majority of those two.
#[test]
fn at_the_first_start_only_founders_count_towards_a_majority() {
    let mut replica = Replica::new(ip(0), founder(0), 1, millis(0));
    replica.set_roster(&[ip(0), ip(3)]);
    replica.submit_at_once(1, Command::Read, millis(100));
    let (proposal_number, _) = find_prepare(&replica.take_effects()).expect("a prepare");
    for n in 3..6 {
        replica.receive(ip(n), promise(proposal_number, 9), millis(110));
        replica.receive(ip(n), promise(proposal_number, 0), millis(110));
    }
    assert!(
        !has_answered_read(&mut replica),
        "promises of replicas without a vote are counted"
    );
    replica.receive(ip(1), promise(proposal_number, 9), millis(110));
    assert!(
        !has_answered_read(&mut replica),
        "a promise from a founder's address with another disk is counted"
    );
    replica.receive(ip(1), promise(proposal_number, 0), millis(120));
    assert!(
        has_answered_read(&mut replica),
        "promises of two of three founders are not counted as a majority"
    );
}

/// Guards against a fault that a simulation reproduced: a replica with an empty disk that knew only one stale voter of
/// six considered itself complete, and acknowledged a change with that voter alone.
#[test]
fn an_empty_replica_and_one_stale_voter_of_six_acknowledge_nothing() {
    let service = Item {
        key: ItemKey {
            kind: ItemKind::Service,
            name: "s".into(),
        },
        version: 1,
        proposal_number: ProposalNumber::default(),
        body: Some(br#"{"name":"s"}"#.to_vec()),
    };
    let mut stale = founder(0);
    let six_voters = (3..6).fold(VoterSet::initial(&[ip(0), ip(1), ip(2)]), |set, n| {
        set.with(Voter {
            ip: ip(n),
            disk_id: 100 + n as u64,
        })
    });
    stale.apply(&DurableWrite::Accepted(vec![six_voters.to_item(
        ProposalNumber {
            round: 5,
            proposer: 1,
        },
    )]));
    stale.apply(&DurableWrite::Committed(vec![six_voters.to_item(
        ProposalNumber {
            round: 5,
            proposer: 1,
        },
    )]));
    let empty = DurableState {
        disk_id: 77,
        ..DurableState::default()
    };
    let mut replicas = [
        Replica::new(ip(0), stale, 1, millis(0)),
        Replica::new(ip(4), empty, 2, millis(0)),
    ];
    for replica in &mut replicas {
        replica.set_roster(&[ip(0), ip(4)]);
    }
    replicas[1].submit_at_once(
        1,
        Command::Change(ConfigChange {
            items: vec![service],
        }),
        millis(0),
    );
    replicas[0].submit_at_once(2, Command::Read, millis(0));
    for ms in (20..20_000).step_by(20) {
        for (n, other) in [(0, 1), (1, 0)] {
            replicas[n].tick(millis(ms));
            for effect in replicas[n].take_effects() {
                let from = ip([0, 4][n]);
                match effect {
                    Effect::Send(to, message) if to == ip([0, 4][other]) => {
                        replicas[other].receive(from, message, millis(ms));
                    }
                    Effect::Broadcast(message) => {
                        replicas[other].receive(from, message, millis(ms))
                    }
                    Effect::Reply(_, reply) => {
                        assert!(
                            matches!(reply, CommandReply::Unavailable(_)),
                            "two of six replicas replied {reply:?}"
                        );
                    }
                    _ => {}
                }
            }
        }
    }
    assert!(
        replicas
            .iter()
            .all(|replica| replica.voters() == Some(&six_voters)),
        "two of six replicas changed the voter set"
    );
}

/// Guards against repair messages with all items when one item differs: for 10,000 routes that was 2 MB per second.
#[test]
fn a_comparison_transfers_only_the_shards_that_differ() {
    for count in [100, 1000, 10_000] {
        let mut older = founder(0);
        for n in 0..count {
            let name = format!("route-{n}");
            let body = format!(
                r#"{{"name":"{name}","host_name":"h","path_prefix":"/{n}/","route_type":"read_only"}}"#
            );
            let key = ItemKey {
                kind: ItemKind::Route,
                name,
            };
            let item = Item {
                key,
                version: 1,
                proposal_number: Default::default(),
                body: Some(body.into_bytes()),
            };
            older.accepted.insert(item.clone());
            older.committed.insert(item);
        }
        let mut newer = older.clone();
        let key = ItemKey {
            kind: ItemKind::Route,
            name: "route-7".into(),
        };
        let item = Item {
            version: 2,
            proposal_number: ProposalNumber {
                round: 1,
                proposer: 1,
            },
            ..older.committed.get(&key).expect("item exists").clone()
        };
        newer.accepted.insert(item.clone());
        newer.committed.insert(item);
        let new = |n: usize, older: &DurableState| {
            let mut replica = Replica::new(ip(n), older.clone(), 1, millis(0));
            replica.set_roster(&[ip(0), ip(1)]);
            replica
        };
        let (mut ahead, mut behind) = (new(0, &newer), new(1, &older));
        behind.tick(millis(2000));
        let sent_message = |effects: Vec<Effect>| {
            effects.into_iter().find_map(|effect| {
                if let Effect::Send(_, message) = effect {
                    Some(message)
                } else {
                    None
                }
            })
        };
        let comparison = sent_message(behind.take_effects()).expect("a comparison");
        ahead.receive(ip(1), comparison.clone(), millis(2010));
        let repair = sent_message(ahead.take_effects()).expect("a repair message");
        let Message::RepairItems { committed, .. } = &repair else {
            panic!("{repair:?}")
        };
        assert!(
            committed.len() < count / 8,
            "{} of {count} items are sent for one that differs",
            committed.len()
        );
        println!(
            "{count} items: comparison {} bytes, repair {} bytes",
            encode(&comparison).len(),
            encode(&repair).len()
        );
        behind.receive(ip(0), repair, millis(2020));
        assert_eq!(
            behind
                .durable()
                .committed
                .get(&key)
                .expect("item exists")
                .version,
            2
        );
        ahead.tick(millis(4000));
        behind.receive(
            ip(0),
            sent_message(ahead.take_effects()).expect("a comparison"),
            millis(4010),
        );
        assert_eq!(
            sent_message(behind.take_effects()),
            None,
            "equal replicas exchange items"
        );
    }
}

/// Without faults, and with message loss, eight commands submitted at once to six stores are all acknowledged within a
/// time limit.
#[test]
fn eight_concurrent_commands_are_acknowledged_within_the_time_limit() {
    for (loss_probability, limit_ms) in [(0.0, 1200), (0.03, 5000)] {
        check_burst_latency(loss_probability, limit_ms);
    }
}

/// Submits bursts of eight commands under 20 seeds, and checks that the slowest burst takes at most `limit_ms`.
fn check_burst_latency(loss_probability: f64, limit_ms: u64) {
    let (mut durations, mut growth_times) = (Vec::new(), Vec::new());
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 6);
        sim.loss_probability = loss_probability;
        submit_service(&mut sim);
        while sim.acknowledged_changes == 0 || sim.voter_count() != Some(6) {
            sim.step();
        }
        assert!(
            sim.now < 4000,
            "seed {seed}: the set has six voters after {} ms",
            sim.now
        );
        growth_times.push(sim.now);
        for burst in 0..6u64 {
            let (started_at, done) = (sim.now, sim.acknowledged_changes);
            for k in 0..8u64 {
                let name = format!("b{burst}-{k}");
                let body = format!(
                    r#"{{"name":"{name}","host_name":"h","path_prefix":"/{burst}-{k}/","route_type":"read_only","timeout_ms":900,"target_latency_ms":500,"target_service":"s","config_version":"r1"}}"#
                );
                let key = ItemKey {
                    kind: ItemKind::Route,
                    name,
                };
                let item = Item {
                    key,
                    version: 1,
                    proposal_number: Default::default(),
                    body: Some(body.into_bytes()),
                };
                sim.submit(
                    k as usize % 6,
                    Command::Change(ConfigChange { items: vec![item] }),
                );
            }
            while sim.acknowledged_changes < done + 8 && sim.now < started_at + 10_000 {
                sim.step();
                for command in std::mem::take(&mut sim.to_resubmit) {
                    let n = sim.rng.random_range(0..6);
                    sim.submit(n, command);
                }
            }
            assert_eq!(
                sim.acknowledged_changes,
                done + 8,
                "seed {seed}: {} of 8 commands acknowledged after {} ms",
                sim.acknowledged_changes - done,
                sim.now - started_at
            );
            durations.push(sim.now - started_at);
        }
    }
    durations.sort_unstable();
    let (median, maximum) = (
        durations[durations.len() / 2],
        durations[durations.len() - 1],
    );
    println!(
        "eight commands at once, message loss {loss_probability}: median {median} ms, maximum {maximum} ms; six voters after {growth_times:?} ms"
    );
    assert!(maximum <= limit_ms, "{durations:?}");
}

/// The first voter may stop responding before other stores notice. The first command is still answered within its
/// caller's timeout, and later commands are answered faster, because forwarding is suspended.
#[test]
fn commands_are_answered_in_time_when_the_first_voter_does_not_respond() {
    let mut sim = Simulation::new(3, 6);
    submit_service(&mut sim);
    while sim.acknowledged_changes == 0 {
        sim.step();
    }
    sim.machines[0].store = None;
    let mut durations = Vec::new();
    for n in 1..6 {
        let (started_at, reads) = (sim.now, sim.answered_reads);
        sim.submit(2, Command::Read);
        while sim.answered_reads == reads && sim.now < started_at + 5000 {
            sim.step();
        }
        durations.push(sim.now - started_at);
        assert!(sim.answered_reads > reads, "command {n} is not answered");
    }
    assert!(
        durations[0] < 900 && durations[1..].iter().all(|t| *t < 600),
        "{durations:?}"
    );
}

/// Guards against applying an expired evacuation: one that was pending at a partitioned store was applied seconds
/// later, after the caller had submitted it, and then its reversal, to another store.
#[test]
fn an_expired_evacuation_is_not_applied() {
    let start = || {
        let mut replica = Replica::new(ip(0), founder(0), 1, millis(0));
        replica.set_roster(&[ip(0), ip(1), ip(2)]);
        replica.tick(millis(2000));
        replica.take_effects();
        replica.submit_at_once(
            1,
            Command::Evacuate {
                zone: "z".into(),
                evacuated: true,
            },
            millis(2000),
        );
        let (proposal_number, _) =
            find_prepare(&replica.take_effects()).expect("a prepare for the evacuation");
        (replica, proposal_number)
    };
    let proposes = |ms: u64| {
        let (mut replica, proposal_number) = start();
        replica.tick(millis(ms));
        replica.take_effects();
        replica.receive(ip(1), promise(proposal_number, 0), millis(ms));
        let effects = replica.take_effects();
        let is_unavailable = effects
            .iter()
            .any(|effect| matches!(effect, Effect::Reply(1, CommandReply::Unavailable(_))));
        (
            effects
                .iter()
                .any(|effect| matches!(effect, Effect::Broadcast(Message::Accept { .. }))),
            is_unavailable,
        )
    };
    assert_eq!(proposes(2200), (true, false));
    assert_eq!(
        proposes(2950),
        (false, true),
        "an expired evacuation is applied"
    );
}
