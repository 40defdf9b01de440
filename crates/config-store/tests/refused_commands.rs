//! A command that was refused, or contradicted by a later answer, never takes effect: neither by a copy that waited at a
//! stalled replica nor by items that a minority had accepted. Replicas without sockets and disks; the test decides which
//! replicas run, and which of them receive messages.

use std::collections::BTreeSet;
use std::time::Duration;

use damsonbeam_config_store::consensus::{DurableState, Effect, Replica};
use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{ConfigChange, ConfigSnapshot, Item, ItemKey, ItemKind};
use damsonbeam_control::messages::{Command, CommandReply, Message};

/// The interval between two ticks of the replicas.
const TICK: Duration = Duration::from_millis(20);
/// Longer than all timeouts of forwarding and of the recovery of uncommitted items.
const SETTLING_TIME: Duration = Duration::from_secs(8);

fn ip(n: usize) -> Ip {
    [10, 0, 0, n as u8 + 1]
}

struct Node {
    /// `None` while the process is not running.
    replica: Option<Replica>,
    disk: DurableState,
    /// Messages to a stalled replica, with their senders.
    inbox: Vec<(usize, Message)>,
}

/// Three founders. Messages arrive at once, unless the recipient is stalled.
struct Cluster {
    nodes: Vec<Node>,
    now: Duration,
    stalled: BTreeSet<usize>,
    /// Whether proposals are lost.
    loses_proposals: bool,
    last_number: u64,
    replies: Vec<(u64, CommandReply)>,
    /// Commands that the replicas ask their callers about: the numbers of all of them.
    reconfirmed: Vec<u64>,
}

impl Cluster {
    fn start() -> Self {
        let seeds: Vec<Ip> = (0..3).map(ip).collect();
        let node = |n: usize| {
            let mut disk = DurableState::default();
            let writes = disk.initial_writes(ip(n), &seeds).expect("empty disk");
            writes.iter().for_each(|write| disk.apply(write));
            Node {
                replica: None,
                disk,
                inbox: Vec::new(),
            }
        };
        let mut cluster = Cluster {
            nodes: (0..3).map(node).collect(),
            now: Duration::ZERO,
            stalled: BTreeSet::new(),
            loses_proposals: false,
            last_number: 0,
            replies: Vec::new(),
            reconfirmed: Vec::new(),
        };
        (0..3).for_each(|n| cluster.restart(n));
        cluster
    }

    fn kill(&mut self, n: usize) {
        self.nodes[n].replica = None;
        self.nodes[n].inbox.clear();
    }

    fn restart(&mut self, n: usize) {
        let disk = self.nodes[n].disk.clone();
        let seed = self.now.as_millis() as u64 + n as u64;
        let mut replica = Replica::new(ip(n), disk, seed, self.now);
        replica.set_roster(&[ip(0), ip(1), ip(2)]);
        self.nodes[n].replica = Some(replica);
    }

    fn stall(&mut self, n: usize) {
        self.stalled.insert(n);
    }

    fn resume(&mut self, n: usize) {
        self.stalled.remove(&n);
        for (from, message) in std::mem::take(&mut self.nodes[n].inbox) {
            self.deliver(from, n, message);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        if self.loses_proposals && matches!(message, Message::Accept { .. }) {
            return;
        }
        if self.stalled.contains(&to) {
            self.nodes[to].inbox.push((from, message));
        } else if let Some(replica) = &mut self.nodes[to].replica {
            replica.receive(ip(from), message, self.now);
            self.execute_effects(to);
        }
    }

    fn execute_effects(&mut self, n: usize) {
        let effects = self.nodes[n].replica.as_mut().map(Replica::take_effects);
        let effects = effects.unwrap_or_default();
        for effect in &effects {
            if let Effect::Persist(write) = effect {
                self.nodes[n].disk.apply(write);
            }
        }
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.deliver(n, usize::from(to[3]) - 1, message),
                Effect::Broadcast(message) => {
                    for to in (0..3).filter(|to| *to != n) {
                        self.deliver(n, to, message.clone());
                    }
                }
                Effect::Reply(number, reply) => self.replies.push((number, reply)),
                Effect::Reconfirm(number, _) => self.reconfirmed.push(number),
                Effect::Persist(_) | Effect::Committed(_) | Effect::Log(_) => {}
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for n in (0..3)
                .filter(|n| !self.stalled.contains(n))
                .collect::<Vec<_>>()
            {
                if let Some(replica) = &mut self.nodes[n].replica {
                    replica.tick(self.now);
                    self.execute_effects(n);
                }
            }
        }
    }

    /// Submits a command whose caller waits now, and returns its number.
    fn submit(&mut self, n: usize, command: Command) -> u64 {
        self.last_number += 1;
        let replica = self.nodes[n].replica.as_mut().expect("running");
        replica.submit_at_once(self.last_number, command, self.now);
        self.execute_effects(n);
        self.last_number
    }

    /// Submits a command and returns its reply.
    fn call(&mut self, n: usize, command: Command) -> CommandReply {
        let number = self.submit(n, command);
        for _ in 0..500 {
            if let Some((_, reply)) = self.replies.iter().find(|(other, _)| *other == number) {
                return reply.clone();
            }
            self.run_for(TICK);
        }
        panic!("no reply");
    }

    fn committed(&self, n: usize) -> &ConfigSnapshot {
        &self.nodes[n].disk.committed
    }

    /// Returns the version of an item that a replica knows to be committed.
    fn version(&self, n: usize, kind: ItemKind, name: &str) -> Option<u64> {
        let key = ItemKey {
            kind,
            name: name.into(),
        };
        let item = self.committed(n).get(&key);
        item.filter(|item| !item.is_unset())
            .map(|item| item.version)
    }

    fn has_accepted(&self, n: usize, route: &str) -> bool {
        let items = self.nodes[n].disk.accepted.items();
        items.keys().any(|key| key.name == route)
    }

    fn route_version(&self, n: usize, name: &str) -> Option<u64> {
        self.version(n, ItemKind::Route, name)
    }
}

fn item(kind: ItemKind, name: &str, version: u64, body: Option<String>) -> Item {
    Item {
        key: ItemKey {
            kind,
            name: name.into(),
        },
        version,
        proposal_number: Default::default(),
        body: body.map(String::into_bytes),
    }
}

fn service(name: &str) -> Item {
    let body = format!(r#"{{"name":"{name}"}}"#);
    item(ItemKind::Service, name, 1, Some(body))
}

fn route(name: &str, prefix: &str, version: u64) -> Item {
    let body = format!(
        r#"{{"name":"{name}","host_name":"h","path_prefix":"/{prefix}/","route_type":"read_only","timeout_ms":900,"target_latency_ms":500,"target_service":"s","config_version":"r{version}"}}"#
    );
    item(ItemKind::Route, name, version, Some(body))
}

fn change(items: &[Item]) -> Command {
    Command::Change(ConfigChange {
        items: items.to_vec(),
    })
}

fn evacuation(evacuated: bool) -> Command {
    Command::Evacuate {
        zone: "z".into(),
        evacuated,
    }
}

fn is_rejected(reply: &CommandReply) -> bool {
    matches!(reply, CommandReply::Invalid(_))
}

/// Starts a cluster in which a service and a route are in force.
fn start_configured() -> Cluster {
    let mut cluster = Cluster::start();
    let reply = cluster.call(0, change(&[service("s"), route("old", "place", 1)]));
    assert_eq!(reply, CommandReply::Done);
    cluster.run_for(SETTLING_TIME);
    cluster
}

/// Replica 2 proposes commands in one round, which it alone accepts: all replicas are killed before another receives the
/// proposal. The commands have no reply.
fn propose_and_kill_all(cluster: &mut Cluster, commands: &[Command]) {
    let replica = cluster.nodes[2].replica.as_mut().expect("running");
    // It knows no other replica to forward the commands to.
    replica.set_roster(&[]);
    cluster.loses_proposals = true;
    if commands.len() > 1 {
        // A first round without promises has the first command alone; the next one has all.
        cluster.stalled = [0, 1].into();
    }
    for command in commands {
        cluster.submit(2, command.clone());
    }
    cluster.stalled.clear();
    for _ in 0..500 {
        let disk = &cluster.nodes[2].disk;
        if disk.accepted != disk.committed {
            break;
        }
        cluster.run_for(TICK);
    }
    cluster.loses_proposals = false;
    (0..3).for_each(|n| cluster.kill(n));
    let disk = &cluster.nodes[2].disk;
    assert!(disk.accepted != disk.committed, "nothing was accepted");
}

/// Guards against CONFIG (`review/4`): a store forwarded a change to a stalled store, reclaimed it and refused it. The
/// stalled store carried its copy out when it went on.
#[test]
fn forwarded_copy_of_a_refused_change_is_not_applied() {
    let mut cluster = start_configured();
    let refused = change(&[route("new", "place", 1)]);
    cluster.stall(0);
    let reply = cluster.call(1, refused.clone());
    assert!(is_rejected(&reply), "{reply:?}");
    let reply = cluster.call(2, change(&[route("old", "elsewhere", 2)]));
    assert_eq!(reply, CommandReply::Done);
    cluster.resume(0);
    cluster.run_for(SETTLING_TIME);
    let versions = [0, 1, 2].map(|n| cluster.route_version(n, "new"));
    assert_eq!(versions, [None; 3], "the refused route is in force");
    let reply = cluster.call(1, refused);
    assert_eq!(reply, CommandReply::Done, "the change is valid now");
}

/// Guards against CONFIG: the same with the removal of a service that a route needs. The service was acknowledged.
#[test]
fn forwarded_copy_of_a_refused_removal_is_not_applied() {
    let mut cluster = start_configured();
    cluster.stall(0);
    let removal = item(ItemKind::Service, "s", 2, None);
    let reply = cluster.call(1, change(&[removal]));
    assert!(is_rejected(&reply), "{reply:?}");
    let reply = cluster.call(2, change(&[item(ItemKind::Route, "old", 2, None)]));
    assert_eq!(reply, CommandReply::Done);
    cluster.resume(0);
    cluster.run_for(SETTLING_TIME);
    let versions = [0, 1, 2].map(|n| cluster.version(n, ItemKind::Service, "s"));
    assert_eq!(versions, [Some(1); 3], "the service is gone");
}

/// A command that is not applied because its items were written since is not lost: its store asks whether the caller
/// still waits, and has the newer items when it submits the command again.
#[test]
fn outdated_command_is_applied_once_its_caller_is_known_to_wait() {
    let mut cluster = start_configured();
    cluster.stall(1);
    let reply = cluster.call(0, change(&[route("old", "second", 2)]));
    assert_eq!(reply, CommandReply::Done);
    // Replica 1 goes on without what it was sent, and forwards a command before it hears of the second version.
    cluster.nodes[1].inbox.clear();
    cluster.resume(1);
    let third = change(&[route("old", "third", 3)]);
    let number = cluster.submit(1, third.clone());
    cluster.run_for(TICK);
    assert_eq!(cluster.reconfirmed, [number]);
    assert_eq!(cluster.route_version(0, "old"), Some(2));
    assert_eq!(cluster.call(1, third), CommandReply::Done);
}

/// Guards against CONFIG (`review/5`): one store had accepted a change of three items when all were killed. The others
/// refused it, as one of the items had lost its place; the next round with that store committed the other two.
#[test]
fn no_part_of_a_refused_change_is_recovered() {
    for is_recovered_before_the_refusal in [false, true] {
        let mut cluster = start_configured();
        let refused = change(&[
            route("a", "x", 1),
            route("b", "y", 1),
            route("old", "taken", 2),
        ]);
        propose_and_kill_all(&mut cluster, std::slice::from_ref(&refused));
        cluster.restart(0);
        cluster.restart(1);
        let reply = cluster.call(0, change(&[route("other", "taken", 1)]));
        assert_eq!(reply, CommandReply::Done);
        if is_recovered_before_the_refusal {
            cluster.restart(2);
            cluster.run_for(SETTLING_TIME);
        }
        let reply = cluster.call(1, refused);
        assert!(is_rejected(&reply), "{reply:?}");
        if !is_recovered_before_the_refusal {
            cluster.restart(2);
        }
        // What the change clashed with goes.
        let reply = cluster.call(0, change(&[item(ItemKind::Route, "other", 2, None)]));
        assert_eq!(reply, CommandReply::Done);
        cluster.run_for(SETTLING_TIME);
        for n in 0..3 {
            let versions = ["a", "b", "old"].map(|name| cluster.route_version(n, name));
            assert_eq!(versions, [None, None, Some(1)], "at replica {n}");
            let disk = &cluster.nodes[n].disk;
            assert_eq!(
                disk.accepted, disk.committed,
                "items are left at replica {n}"
            );
        }
    }
}

/// Guards against a loss that the log of `review/5` showed: where two calls had a conflict, recovery reverted the oldest
/// item, whichever it was. Here the oldest is of a call that conflicts with nothing.
#[test]
fn recovery_reverts_only_calls_with_a_conflict() {
    let mut cluster = start_configured();
    let commands = [("a", "x"), ("first", "taken-1"), ("second", "taken-2")];
    let commands = commands.map(|(name, prefix)| change(&[route(name, prefix, 1)]));
    propose_and_kill_all(&mut cluster, &commands);
    assert!(cluster.has_accepted(2, "a") && cluster.has_accepted(2, "second"));
    cluster.restart(0);
    cluster.restart(1);
    for prefix in ["taken-1", "taken-2"] {
        let reply = cluster.call(0, change(&[route(prefix, prefix, 1)]));
        assert_eq!(reply, CommandReply::Done);
    }
    cluster.restart(2);
    cluster.run_for(SETTLING_TIME);
    let versions = ["a", "first", "second"].map(|name| cluster.route_version(0, name));
    assert_eq!(versions, [Some(1), None, None]);
}

/// Guards against EVAC (`review/more-2/evacuation-undone`): one store had accepted a withdrawal when all were killed. The
/// zone was ordered out again, which was acknowledged without a write; then the withdrawal was recovered.
#[test]
fn acknowledged_evacuation_is_not_undone_by_an_unanswered_withdrawal() {
    for evacuated in [true, false] {
        let mut cluster = start_configured();
        let reply = cluster.call(0, evacuation(true));
        assert_eq!(reply, CommandReply::Done);
        if !evacuated {
            let reply = cluster.call(0, evacuation(false));
            assert_eq!(reply, CommandReply::Done);
        }
        cluster.run_for(SETTLING_TIME);
        propose_and_kill_all(&mut cluster, &[evacuation(!evacuated)]);
        cluster.restart(0);
        cluster.restart(1);
        let reply = cluster.call(0, evacuation(evacuated));
        assert_eq!(reply, CommandReply::Done);
        cluster.restart(2);
        cluster.run_for(SETTLING_TIME);
        for n in 0..3 {
            let zones = cluster.committed(n).present_items(ItemKind::Evacuation);
            assert_eq!(zones.count(), usize::from(evacuated), "at replica {n}");
        }
    }
}
