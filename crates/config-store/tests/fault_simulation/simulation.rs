//! A deterministic simulation of stores: machines that are added and removed, links between them, an operator's
//! commands and the checks of their results. All times are in milliseconds of simulated time.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use damsonbeam_config_store::consensus::voters::{Voter, VoterSet};
use damsonbeam_config_store::consensus::{DurableState, DurableWrite, Effect, Replica, Submission};
use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{ConfigChange, ConfigSnapshot, Item, ItemKey, ItemKind};
use damsonbeam_control::messages::{Command, CommandReply, Message};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::callers::Callers;

/// The interval between two steps of the simulation.
pub const TICK: u64 = 20;
/// How long a registry considers a machine alive after the last contact.
const SUSPECT_TIMEOUT: u64 = 2000;
/// The interval between two rounds of gossip.
const GOSSIP_INTERVAL: u64 = 100;

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn ip(n: usize) -> Ip {
    [10, 0, 0, n as u8 + 1]
}

fn machine_index(ip: Ip) -> usize {
    ip[3] as usize - 1
}

/// A scheduled event. Events at the same time are ordered by this type, so its variants keep their order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// The delivery of a message.
    Deliver {
        from: usize,
        to: usize,
        message_index: usize,
    },
    /// The start of a store.
    Start(usize),
    /// The submission of a command to a store, if the store has not been restarted since it asked for it.
    Submit {
        n: usize,
        submission_index: usize,
        starts: u64,
    },
    /// A planned shutdown: the store leaves and ends once it can stop, at the latest at `deadline`. With `permanent`
    /// its machine is then removed.
    ShutDown {
        n: usize,
        deadline: u64,
        permanent: bool,
    },
    /// The addition of a machine with these seeds.
    AddMachine(Vec<usize>),
}

/// A machine, identified by its address; a replacement has another address.
#[derive(Default)]
pub struct Machine {
    /// `None` while the store is not running.
    pub store: Option<Replica>,
    pub disk: DurableState,
    /// Whether the machine has been removed permanently.
    pub removed: bool,
    pub frozen_until: u64,
    /// How often a store was started on this machine.
    pub starts: u64,
    /// The machines that its registry has heard of, and the time of the last contact with each; 0 for none.
    known_machines: BTreeMap<usize, u64>,
}

/// The state of the simulation.
pub struct Simulation {
    pub rng: SmallRng,
    pub now: u64,
    pub machines: Vec<Machine>,
    queue: BinaryHeap<std::cmp::Reverse<(u64, Event)>>,
    messages: Vec<Message>,
    /// Commands whose callers were known to wait when the stores asked.
    pub submissions: Vec<Submission>,
    /// Blocked links, by sender and recipient.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// The end of the partition.
    pub blocked_until: u64,
    /// Commands under way, each with the versions that had been acknowledged or read when it was submitted. A read must
    /// return at least these versions.
    pub in_flight: BTreeMap<u64, (Command, BTreeMap<String, u64>)>,
    /// The number of the last command submitted.
    last_command_number: u64,
    /// The highest acknowledged version of each item.
    pub acknowledged: BTreeMap<String, u64>,
    /// The highest version read of each item.
    pub read: BTreeMap<String, u64>,
    /// The highest version of each item that was committed on any disk, also on one that was lost since.
    newest_committed: BTreeMap<ItemKey, u64>,
    /// The body of each version that was acknowledged or read.
    contents: BTreeMap<(String, u64), Option<Vec<u8>>>,
    /// The probability that a message is lost.
    pub loss_probability: f64,
    /// The probability that a message is duplicated, and the probability that it is delayed by up to 2.5 s.
    pub duplication_probability: f64,
    /// The number of acknowledged changes.
    pub acknowledged_changes: usize,
    /// The number of answered reads.
    pub answered_reads: usize,
    /// Commands whose result is unknown, to be submitted again.
    pub to_resubmit: Vec<Command>,
    /// The operators, who send calls again that have no clear answer.
    pub callers: Callers,
}

impl Simulation {
    /// Creates machines for the first start of the system; the first three are the seeds.
    pub fn new(seed: u64, size: usize) -> Self {
        let mut sim = Simulation {
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            machines: Vec::new(),
            queue: BinaryHeap::new(),
            messages: Vec::new(),
            submissions: Vec::new(),
            blocked_links: BTreeSet::new(),
            blocked_until: 0,
            in_flight: BTreeMap::new(),
            last_command_number: 0,
            acknowledged: BTreeMap::new(),
            read: BTreeMap::new(),
            newest_committed: BTreeMap::new(),
            contents: BTreeMap::new(),
            loss_probability: 0.03,
            duplication_probability: 0.0,
            acknowledged_changes: 0,
            answered_reads: 0,
            to_resubmit: vec![],
            callers: Callers::default(),
        };
        let seeds: Vec<Ip> = (0..3).map(ip).collect();
        for n in 0..size {
            sim.machines.push(Machine::default());
            sim.replace_disk(n);
            let writes = sim.machines[n]
                .disk
                .initial_writes(ip(n), &seeds)
                .expect("empty disk");
            writes
                .iter()
                .for_each(|write| sim.machines[n].disk.apply(write));
            sim.machines[n].known_machines = (0..3).map(|seed| (seed, 0)).collect();
            sim.start(n);
        }
        sim
    }

    /// Replaces a machine's disk by an empty one.
    pub fn replace_disk(&mut self, n: usize) {
        self.machines[n].disk = DurableState {
            disk_id: self.rng.random_range(1 << 32..u64::MAX),
            ..Default::default()
        };
    }

    /// Starts the store of a machine from its disk.
    pub fn start(&mut self, n: usize) {
        let replica = Replica::new(
            ip(n),
            self.machines[n].disk.clone(),
            self.rng.random(),
            millis(self.now),
        );
        self.machines[n].store = Some(replica);
        self.machines[n].starts += 1;
        self.update_roster(n);
    }

    /// Adds and starts a machine with a new address, and returns its index. Its seeds may be outdated.
    pub fn add_machine(&mut self, seeds: &[usize]) -> usize {
        let n = self.machines.len();
        self.machines.push(Machine::default());
        self.replace_disk(n);
        self.machines[n].known_machines = seeds.iter().map(|seed| (*seed, 0)).collect();
        self.start(n);
        n
    }

    /// Returns the machines that have not been removed.
    pub fn machines_in_use(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|n| !self.machines[*n].removed)
            .collect()
    }

    /// Returns whether one store can send a message to another.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_responsive = |n: usize| {
            self.machines[n].store.is_some() && self.now >= self.machines[n].frozen_until
        };
        is_responsive(from)
            && is_responsive(to)
            && !(self.now < self.blocked_until && self.blocked_links.contains(&(from, to)))
    }

    /// Runs a round of gossip between the registries, and updates the rosters of their stores.
    fn gossip(&mut self) {
        for n in self.machines_in_use() {
            // The store tells its registry the voters it knows.
            let voters = self.machines[n].store.iter().filter_map(Replica::voters);
            let voter_machines: Vec<usize> = voters
                .flat_map(VoterSet::voters)
                .map(|v| machine_index(v.ip))
                .collect();
            for other in voter_machines {
                self.machines[n].known_machines.entry(other).or_insert(0);
            }
            let known_machines: Vec<usize> =
                self.machines[n].known_machines.keys().copied().collect();
            for m in known_machines.into_iter().filter(|m| *m != n) {
                if self.reaches(n, m) && self.reaches(m, n) {
                    self.machines[n].known_machines.insert(m, self.now);
                    self.machines[m].known_machines.insert(n, self.now);
                    for other in self.alive_machines(m) {
                        self.machines[n].known_machines.entry(other).or_insert(0);
                    }
                }
            }
            if self.now >= self.machines[n].frozen_until {
                self.update_roster(n);
            }
        }
    }

    /// Returns the machines that a machine's registry considers alive.
    fn alive_machines(&self, n: usize) -> Vec<usize> {
        let is_alive = |(m, last_contact): (&usize, &u64)| {
            (*last_contact > 0 && self.now < last_contact + SUSPECT_TIMEOUT).then_some(*m)
        };
        self.machines[n]
            .known_machines
            .iter()
            .filter_map(is_alive)
            .collect()
    }

    /// Sets the roster of a store to the machines that its registry considers alive.
    fn update_roster(&mut self, n: usize) {
        let alive_machines: Vec<Ip> = self.alive_machines(n).into_iter().map(ip).collect();
        if let Some(store) = &mut self.machines[n].store {
            store.set_roster(&alive_machines);
        }
    }

    /// Schedules the delivery of a message, or drops it.
    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let is_blocked = self.now < self.blocked_until && self.blocked_links.contains(&(from, to));
        let has_no_recipient = self.machines[to].removed || from == to;
        if is_blocked || has_no_recipient || self.rng.random::<f64>() < self.loss_probability {
            return;
        }
        let is_duplicated = self.rng.random::<f64>() < self.duplication_probability;
        let is_late = self.rng.random::<f64>() < self.duplication_probability;
        for copy in 0..1 + usize::from(is_duplicated) {
            let delay_ms = self
                .rng
                .random_range(1..if is_late || copy > 0 { 2500 } else { 70 });
            self.messages.push(message.clone());
            let message_index = self.messages.len() - 1;
            self.queue.push(std::cmp::Reverse((
                self.now + delay_ms,
                Event::Deliver {
                    from,
                    to,
                    message_index,
                },
            )));
        }
    }

    /// Executes the effects of a store: writes are applied to its disk before its messages are sent.
    fn execute_effects(&mut self, n: usize) {
        let Some(effects) = self.machines[n].store.as_mut().map(Replica::take_effects) else {
            return;
        };
        for effect in &effects {
            if let Effect::Persist(write) = effect {
                self.machines[n].disk.apply(write);
                if let DurableWrite::Committed(items) = write {
                    self.callers.check_committed(items);
                    for item in items {
                        let newest = self.newest_committed.entry(item.key.clone()).or_default();
                        *newest = (*newest).max(item.version);
                    }
                }
            }
        }
        for effect in effects {
            match effect {
                Effect::Persist(_) | Effect::Committed(_) | Effect::Log(_) => {}
                Effect::Send(to, message) => self.send(n, machine_index(to), &message),
                Effect::Broadcast(message) => {
                    (0..self.machines.len()).for_each(|to| self.send(n, to, &message));
                }
                Effect::Reply(number, reply) => self.reply(number, reply),
                Effect::Reconfirm(number, command) => {
                    if self.in_flight.contains_key(&number) {
                        self.ask_registry(n, number, command);
                    }
                }
            }
        }
    }

    /// Checks and records the reply to a command.
    fn reply(&mut self, number: u64, reply: CommandReply) {
        let Some((command, minimum_versions)) = self.in_flight.remove(&number) else {
            return;
        };
        self.answer_caller(number, &reply);
        match (command, reply) {
            (Command::Change(change), CommandReply::Done) => {
                self.acknowledged_changes += 1;
                // The removal of version 0 of an item changes nothing.
                let items = change.items.into_iter().filter(|item| !item.is_unset());
                for item in items {
                    self.check_acknowledged(&item);
                    let v = self.acknowledged.entry(item.key.name).or_default();
                    *v = (*v).max(item.version);
                }
            }
            (Command::Read, CommandReply::Config(items)) => {
                self.answered_reads += 1;
                self.callers.check_read(number, &items);
                self.check_read(items, &minimum_versions);
            }
            // The caller submits the command again, to another store.
            (command, CommandReply::Unavailable(_)) => self.to_resubmit.push(command),
            _ => {}
        }
    }

    /// Invariant: at most one content per version is acknowledged. A version that was superseded before is exempt.
    fn check_acknowledged(&mut self, item: &Item) {
        let newest = self.newest_committed.get(&item.key);
        if newest.is_some_and(|newest| *newest > item.version) {
            return;
        }
        let key = (item.key.name.clone(), item.version);
        let expected_body = self.contents.entry(key).or_insert(item.body.clone());
        assert!(
            *expected_body == item.body,
            "two contents of {} r{} are acknowledged",
            item.key.name,
            item.version
        );
    }

    /// Checks the reply to a read: the configuration is valid, no item is older than its minimum version, and each
    /// version has a single content.
    fn check_read(&mut self, items: Vec<Item>, minimum_versions: &BTreeMap<String, u64>) {
        let mut snapshot = ConfigSnapshot::default();
        for i in &items {
            snapshot.insert(i.clone());
        }
        assert_eq!(
            snapshot.validate(),
            Ok(()),
            "a read returned an invalid configuration"
        );
        for (name, version) in minimum_versions {
            let item = items.iter().find(|i| i.key.name == *name);
            let item = item.unwrap_or_else(|| panic!("{name} is missing from a read"));
            assert!(
                item.version >= *version,
                "{name}: a read after version {version} returned version {}",
                item.version
            );
        }
        // The versions of evacuations are the stores' own.
        for i in items
            .into_iter()
            .filter(|i| i.key.kind != ItemKind::Evacuation)
        {
            let (name, version) = (i.key.name, i.version);
            let expected_body = self
                .contents
                .entry((name.clone(), version))
                .or_insert(i.body.clone());
            assert!(
                *expected_body == i.body,
                "{name}: two contents of version {version} were read"
            );
            let read = self.read.entry(name).or_default();
            *read = (*read).max(version);
        }
    }

    /// Returns a new number for a command.
    pub fn next_command_number(&mut self) -> u64 {
        self.last_command_number += 1;
        self.last_command_number
    }

    /// Records that the caller of a command waits for its reply from now on.
    pub fn track(&mut self, number: u64, command: Command) {
        let mut minimum_versions = self.read.clone();
        for (name, version) in &self.acknowledged {
            let minimum = minimum_versions.entry(name.clone()).or_default();
            *minimum = (*minimum).max(*version);
        }
        self.in_flight.insert(number, (command, minimum_versions));
    }

    /// Submits a command to a machine's store, unless the store is frozen or not running.
    pub fn submit(&mut self, n: usize, command: Command) {
        let number = self.next_command_number();
        let frozen = self.now < self.machines[n].frozen_until;
        let Some(store) = self.machines[n].store.as_mut().filter(|_| !frozen) else {
            return;
        };
        store.submit_at_once(self.last_command_number, command.clone(), millis(self.now));
        self.callers.read_submitted(number);
        self.track(number, command);
        self.execute_effects(n);
    }

    /// Kills a store, which restarts with its disk after the given time.
    pub fn kill(&mut self, n: usize, downtime: u64) {
        self.machines[n].store = None;
        self.schedule(downtime, Event::Start(n));
    }

    /// Removes a machine permanently.
    pub fn remove_machine(&mut self, n: usize) {
        self.machines[n].store = None;
        self.machines[n].removed = true;
    }

    /// Schedules an event after the given time.
    pub fn schedule(&mut self, after: u64, event: Event) {
        self.queue
            .push(std::cmp::Reverse((self.now + after, event)));
    }

    /// Returns the voter sets that may be in force: the latest committed one and any accepted one of the same or a
    /// later epoch.
    pub fn voter_sets(&self) -> Vec<VoterSet> {
        let all = self
            .machines
            .iter()
            .flat_map(|m| [&m.disk.committed, &m.disk.accepted]);
        let sets: Vec<VoterSet> = all.filter_map(VoterSet::from_snapshot).collect();
        let committed = self
            .machines
            .iter()
            .filter_map(|m| VoterSet::from_snapshot(&m.disk.committed));
        let latest_epoch = committed.map(|s| s.epoch).max().unwrap_or(0);
        sets.into_iter()
            .filter(|s| s.epoch >= latest_epoch)
            .collect()
    }

    /// Returns the number of voters if all sets that may be in force have the same size.
    pub fn voter_count(&self) -> Option<usize> {
        let counts: BTreeSet<usize> = self.voter_sets().iter().map(|s| s.voters().len()).collect();
        counts.first().copied().filter(|_| counts.len() == 1)
    }

    /// Returns whether a voter's machine and disk exist.
    fn has_disk(&self, voter: &Voter) -> bool {
        let m = &self.machines[machine_index(voter.ip)];
        !m.removed && m.disk.disk_id == voter.disk_id
    }

    /// Returns whether the disk of one more machine may be lost: a majority of each set that may be in force keeps its
    /// disks.
    pub fn tolerates_loss(&self, n: usize) -> bool {
        self.voter_sets().iter().all(|set| {
            let remaining_voters = set
                .voters()
                .iter()
                .filter(|v| self.has_disk(v) && machine_index(v.ip) != n)
                .count();
            remaining_voters >= set.majority_size()
        })
    }

    /// Shuts a store down if it can stop or its deadline has passed, and tries again after a tick otherwise. A machine
    /// is removed only if the voters tolerate its loss.
    fn try_shut_down(&mut self, n: usize, deadline: u64, permanent: bool) {
        let now = millis(self.now);
        let may_shut_down = !permanent || self.tolerates_loss(n);
        let Some(store) = &mut self.machines[n].store else {
            return;
        };
        store.leave();
        if !may_shut_down || !store.can_stop(now) && self.now < deadline {
            return self.schedule(
                TICK,
                Event::ShutDown {
                    n,
                    deadline,
                    permanent,
                },
            );
        }
        self.machines[n].store = None;
        self.machines[n].removed = permanent;
    }

    /// Submits a command whose caller was known to wait when the store asked.
    fn submit_confirmed(&mut self, n: usize, submission_index: usize, starts: u64) {
        let submission = self.submissions[submission_index].clone();
        let machine = &mut self.machines[n];
        if let Some(store) = machine.store.as_mut().filter(|_| machine.starts == starts) {
            store.submit(submission, millis(self.now));
            self.execute_effects(n);
        }
    }

    /// Handles a scheduled event.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver {
                from,
                to,
                message_index,
            } => {
                if self.now < self.machines[to].frozen_until {
                    let remaining = self.machines[to].frozen_until - self.now;
                    return self.schedule(
                        remaining,
                        Event::Deliver {
                            from,
                            to,
                            message_index,
                        },
                    );
                }
                if let Some(store) = &mut self.machines[to].store {
                    store.receive(
                        ip(from),
                        self.messages[message_index].clone(),
                        millis(self.now),
                    );
                    self.execute_effects(to);
                }
            }
            Event::Submit {
                n,
                submission_index,
                starts,
            } => {
                if self.now < self.machines[n].frozen_until {
                    let remaining = self.machines[n].frozen_until - self.now;
                    return self.schedule(
                        remaining,
                        Event::Submit {
                            n,
                            submission_index,
                            starts,
                        },
                    );
                }
                self.submit_confirmed(n, submission_index, starts);
            }
            Event::Start(n) => {
                if self.machines[n].store.is_none() && !self.machines[n].removed {
                    self.start(n);
                }
            }
            Event::ShutDown {
                n,
                deadline,
                permanent,
            } => self.try_shut_down(n, deadline, permanent),
            Event::AddMachine(seeds) => {
                self.add_machine(&seeds);
            }
        }
    }

    /// Advances the simulation by one tick.
    pub fn step(&mut self) {
        self.now += TICK;
        while self.queue.peek().is_some_and(|e| e.0.0 <= self.now) {
            let std::cmp::Reverse((_, event)) = self.queue.pop().expect("peeked above");
            self.handle_event(event);
        }
        if self.now.is_multiple_of(GOSSIP_INTERVAL) {
            self.gossip();
        }
        self.advance_callers();
        for n in 0..self.machines.len() {
            let frozen = self.now < self.machines[n].frozen_until;
            if let Some(store) = self.machines[n].store.as_mut().filter(|_| !frozen) {
                store.tick(millis(self.now));
                self.execute_effects(n);
            }
        }
    }

    /// Checks the state after a period without faults. Invariants: all running replicas hold the same committed items
    /// and have a vote. An odd set may include one removed machine, because it may not shrink without a successor.
    pub fn check_convergence(&self) {
        let machines_in_use = self.machines_in_use();
        let all: BTreeSet<u64> = machines_in_use
            .iter()
            .map(|n| self.machines[*n].disk.committed.digest())
            .collect();
        assert_eq!(
            all.len(),
            1,
            "replicas differ after a period without faults"
        );
        let committed = &self.machines[machines_in_use[0]].disk.committed;
        self.callers.check_final_evacuations(committed);
        let set = VoterSet::from_snapshot(committed).expect("committed voter set");
        for n in &machines_in_use {
            let voter = Voter {
                ip: ip(*n),
                disk_id: self.machines[*n].disk.disk_id,
            };
            assert!(
                set.contains(&voter),
                "{voter:?} is running without a vote in {set:?}"
            );
        }
        let not_running = set.voters().len() - machines_in_use.len();
        let is_odd = !set.voters().len().is_multiple_of(2);
        assert!(
            not_running == 0 || not_running == 1 && is_odd,
            "{not_running} voters are not running: {set:?}"
        );
    }
}

/// Submits the service that all routes refer to.
pub fn submit_service(sim: &mut Simulation) {
    let key = ItemKey {
        kind: ItemKind::Service,
        name: "s".into(),
    };
    let body = Some(br#"{"name":"s","health_path":"/health","config_version":"r1"}"#.to_vec());
    let item = Item {
        key,
        version: 1,
        proposal_number: Default::default(),
        body,
    };
    sim.submit(0, Command::Change(ConfigChange { items: vec![item] }));
}
