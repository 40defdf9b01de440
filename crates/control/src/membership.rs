//! Which registries there are, by the SWIM protocol: each probes one other at a time, asks a few more to probe it where
//! it does not answer, and suspects it before it declares it dead. Free of I/O: time and datagrams come in, datagrams go
//! out.
//!
//! A registry is known by its machine's address. Every update on it bears an incarnation, which only the registry itself
//! raises: one that hears that it is suspected or dead refutes it with the next incarnation, and so does one that comes
//! back after a restart.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::address::Ip;
use crate::messages::{GossipBody, MemberState, MemberUpdate};

/// Between two probes of one registry.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Others are asked to probe a member that has not answered by then: twice the round trip between regions.
const INDIRECT_PROBE_AFTER: Duration = Duration::from_millis(250);
/// A member that has not answered by then, to nobody, is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(700);
/// A suspected member may refute it for this long before it is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Members that are asked to probe another.
const INDIRECT_PROBES: usize = 2;
/// An update is sent along with this many datagrams.
const TRANSMISSIONS: u32 = 8;
/// Updates in one datagram, which stays below a packet's size.
const MAX_UPDATES: usize = 16;
/// Dead members are probed once in this many probes: partitions heal, machines come back.
const PROBES_PER_REVISIT: u32 = 4;
/// A member that has been dead for this long is forgotten.
const DEAD_RETENTION: Duration = Duration::from_secs(60);

/// A member whose state changed, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipChange {
    /// The member.
    pub ip: Ip,
    /// Its new state.
    pub state: MemberState,
}

/// What a call to the membership brought about.
#[derive(Debug, Default)]
pub struct MembershipOutput {
    /// Datagrams to send, and to whom.
    pub datagrams: Vec<(Ip, GossipBody)>,
    /// Members whose state changed.
    pub changes: Vec<MembershipChange>,
}

impl MembershipOutput {
    fn send(&mut self, to: Ip, body: GossipBody) {
        self.datagrams.push((to, body));
    }
}

#[derive(Debug)]
struct Member {
    incarnation: u64,
    state: MemberState,
    since: Duration,
    /// How many more datagrams its update goes along with.
    transmissions_left: u32,
}

impl Member {
    fn enter(&mut self, state: MemberState, now: Duration) {
        self.state = state;
        self.since = now;
        self.transmissions_left = TRANSMISSIONS;
    }
}

/// On whose behalf a probe is made, and by which number it is answered there.
#[derive(Clone, Copy, Debug)]
struct ProbeRequester {
    ip: Ip,
    number: u64,
}

#[derive(Debug)]
struct Probe {
    target: Ip,
    sent_at: Duration,
    /// Others were asked to probe the target, too.
    is_indirect: bool,
    /// `None`: the probe is this registry's own.
    requester: Option<ProbeRequester>,
}

/// The members as one registry knows them.
#[derive(Debug)]
pub struct Membership {
    own_ip: Ip,
    own_incarnation: u64,
    members: BTreeMap<Ip, Member>,
    /// Addresses to be probed like the dead as long as they are no members.
    seeds: Vec<Ip>,
    /// Probes without an answer, by number.
    probes: BTreeMap<u64, Probe>,
    last_number: u64,
    next_probe_at: Duration,
    /// Counts the members probed, which are taken in turn.
    turn: usize,
    probe_rounds: u32,
}

impl Membership {
    /// A registry that knows nobody but its seeds.
    pub fn new(own_ip: Ip, seeds: Vec<Ip>, now: Duration) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own_ip).collect();
        Membership {
            own_ip,
            own_incarnation: 0,
            members: BTreeMap::new(),
            seeds,
            probes: BTreeMap::new(),
            last_number: 0,
            next_probe_at: now,
            turn: 0,
            probe_rounds: 0,
        }
    }

    /// Those that are not dead, this one among them, in order.
    pub fn alive(&self) -> Vec<Ip> {
        let members = self.members.iter();
        let alive = members.filter(|(_, member)| member.state != MemberState::Dead);
        let mut alive: Vec<Ip> = alive.map(|(ip, _)| *ip).collect();
        alive.push(self.own_ip);
        alive.sort_unstable();
        alive
    }

    /// Adds addresses known from elsewhere, to be probed like the dead.
    pub fn add_seeds(&mut self, ips: impl IntoIterator<Item = Ip>) {
        for ip in ips {
            let is_known = self.members.contains_key(&ip) || self.seeds.contains(&ip);
            if ip != self.own_ip && !is_known {
                self.seeds.push(ip);
            }
        }
    }

    /// The updates to send along with a datagram: of this registry, of its receiver where that is not taken to be alive,
    /// for it alone can refute that, and of the members that changed last.
    pub fn updates_for(&mut self, receiver: Ip) -> Vec<MemberUpdate> {
        let mut updates = vec![MemberUpdate {
            ip: self.own_ip,
            incarnation: self.own_incarnation,
            state: MemberState::Alive,
        }];
        let update = |ip: Ip, member: &Member| MemberUpdate {
            ip,
            incarnation: member.incarnation,
            state: member.state,
        };
        let to_refute = self.members.get(&receiver);
        let to_refute = to_refute.filter(|member| member.state != MemberState::Alive);
        updates.extend(to_refute.map(|member| update(receiver, member)));
        let members = self.members.iter_mut();
        let mut recent: Vec<(&Ip, &mut Member)> = members
            .filter(|(_, member)| member.transmissions_left > 0)
            .collect();
        recent.sort_by_key(|(_, member)| std::cmp::Reverse(member.transmissions_left));
        for (ip, member) in recent.into_iter().take(MAX_UPDATES) {
            member.transmissions_left -= 1;
            updates.push(update(*ip, member));
        }
        updates
    }

    /// Takes an update in if it is later than what is known.
    fn apply(&mut self, update: &MemberUpdate, now: Duration) -> Option<MembershipChange> {
        let MemberUpdate {
            ip,
            incarnation,
            state,
        } = *update;
        if ip == self.own_ip {
            if state != MemberState::Alive && incarnation >= self.own_incarnation {
                self.own_incarnation = incarnation + 1;
            }
            return None;
        }
        let known = self.members.get(&ip);
        let known = known.map(|member| (member.incarnation, member.state));
        let is_old = known.is_some_and(|known| known >= (incarnation, state));
        if is_old || (known.is_none() && state == MemberState::Dead) {
            return None;
        }
        let member = Member {
            incarnation,
            state,
            since: now,
            transmissions_left: TRANSMISSIONS,
        };
        self.members.insert(ip, member);
        let has_changed = known.map(|(_, state)| state) != Some(state);
        has_changed.then_some(MembershipChange { ip, state })
    }

    /// Takes a datagram of another registry.
    pub fn receive(
        &mut self,
        from: Ip,
        body: &GossipBody,
        updates: &[MemberUpdate],
        now: Duration,
    ) -> MembershipOutput {
        let mut output = MembershipOutput::default();
        for update in updates {
            output.changes.extend(self.apply(update, now));
        }
        match *body {
            GossipBody::Ping { number } => output.send(from, GossipBody::Pong { number }),
            GossipBody::Pong { number } => self.receive_pong(number, now, &mut output),
            GossipBody::PingRequest { number, target } => {
                let requester = ProbeRequester { ip: from, number };
                let number = self.start_probe(target, now, Some(requester));
                output.send(target, GossipBody::Ping { number });
            }
            GossipBody::Lease(_) => {}
        }
        output
    }

    fn receive_pong(&mut self, number: u64, now: Duration, output: &mut MembershipOutput) {
        let Some(probe) = self.probes.remove(&number) else {
            return;
        };
        match probe.requester {
            Some(ProbeRequester { ip, number }) => output.send(ip, GossipBody::Pong { number }),
            None => output
                .changes
                .extend(self.clear_suspicion(probe.target, now)),
        }
    }

    /// A member that answers is alive, whatever the updates say. It will refute them with an incarnation of its own; here
    /// it counts at once.
    fn clear_suspicion(&mut self, ip: Ip, now: Duration) -> Option<MembershipChange> {
        let member = self.members.get_mut(&ip)?;
        if member.state != MemberState::Suspect {
            return None;
        }
        let state = MemberState::Alive;
        member.state = state;
        member.since = now;
        member.transmissions_left = 0;
        Some(MembershipChange { ip, state })
    }

    fn start_probe(&mut self, target: Ip, now: Duration, requester: Option<ProbeRequester>) -> u64 {
        self.last_number += 1;
        let probe = Probe {
            target,
            sent_at: now,
            is_indirect: false,
            requester,
        };
        self.probes.insert(self.last_number, probe);
        self.last_number
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration) -> MembershipOutput {
        let mut output = MembershipOutput::default();
        let alive = self.alive();
        self.check_probes(now, &alive, &mut output);
        self.declare_dead(now, &mut output);
        if now >= self.next_probe_at {
            self.next_probe_at = now + PROBE_INTERVAL;
            self.probe_rounds += 1;
            self.probe_members(now, alive, &mut output);
        }
        output
    }

    /// Probes that have had no answer for some time: others are asked to probe the target, then it is suspected.
    fn check_probes(&mut self, now: Duration, alive: &[Ip], output: &mut MembershipOutput) {
        let overdue = self
            .probes
            .iter()
            .filter(|(_, probe)| now >= probe.sent_at + INDIRECT_PROBE_AFTER);
        let overdue: Vec<u64> = overdue.map(|(number, _)| *number).collect();
        for number in overdue {
            let probe = &self.probes[&number];
            let is_own = probe.requester.is_none();
            let target = probe.target;
            if now >= probe.sent_at + SUSPECT_AFTER {
                self.probes.remove(&number);
                if is_own {
                    output.changes.extend(self.suspect(target, now));
                }
            } else if is_own && !probe.is_indirect {
                self.probes
                    .get_mut(&number)
                    .expect("seen above")
                    .is_indirect = true;
                for helper in self.probe_helpers(target, alive) {
                    output.send(helper, GossipBody::PingRequest { number, target });
                }
            }
        }
    }

    fn suspect(&mut self, ip: Ip, now: Duration) -> Option<MembershipChange> {
        let member = self.members.get_mut(&ip)?;
        if member.state != MemberState::Alive {
            return None;
        }
        let state = MemberState::Suspect;
        member.enter(state, now);
        Some(MembershipChange { ip, state })
    }

    /// A few members that are asked to probe another, taken in turn.
    fn probe_helpers(&self, target: Ip, alive: &[Ip]) -> Vec<Ip> {
        let others = alive
            .iter()
            .filter(|ip| **ip != self.own_ip && **ip != target);
        let others: Vec<Ip> = others.copied().collect();
        let count = INDIRECT_PROBES.min(others.len());
        let first = self.turn % others.len().max(1);
        others
            .iter()
            .cycle()
            .skip(first)
            .take(count)
            .copied()
            .collect()
    }

    fn declare_dead(&mut self, now: Duration, output: &mut MembershipOutput) {
        for (ip, member) in &mut self.members {
            if member.state == MemberState::Suspect && now >= member.since + SUSPICION_TIMEOUT {
                let state = MemberState::Dead;
                member.enter(state, now);
                output.changes.push(MembershipChange { ip: *ip, state });
            }
        }
        self.members.retain(|_, member| {
            member.state != MemberState::Dead || now < member.since + DEAD_RETENTION
        });
    }

    /// Probes the next living member, and now and then all that are lost.
    fn probe_members(&mut self, now: Duration, alive: Vec<Ip>, output: &mut MembershipOutput) {
        let others: Vec<Ip> = alive.into_iter().filter(|ip| *ip != self.own_ip).collect();
        if !others.is_empty() {
            self.turn += 1;
            self.probe(others[self.turn % others.len()], now, output);
        }
        let is_revisit = self.probe_rounds.is_multiple_of(PROBES_PER_REVISIT);
        if others.is_empty() || is_revisit {
            for lost in self.lost_members(&others) {
                self.probe(lost, now, output);
            }
        }
    }

    fn probe(&mut self, target: Ip, now: Duration, output: &mut MembershipOutput) {
        let number = self.start_probe(target, now, None);
        output.send(target, GossipBody::Ping { number });
    }

    /// Dead members, and seeds that are no members.
    fn lost_members(&self, alive: &[Ip]) -> Vec<Ip> {
        let members = self.members.iter();
        let dead = members.filter(|(_, member)| member.state == MemberState::Dead);
        let is_member = |ip: &Ip| alive.contains(ip) || self.members.contains_key(ip);
        let seeds = self.seeds.iter().filter(|seed| !is_member(seed));
        dead.map(|(ip, _)| *ip).chain(seeds.copied()).collect()
    }
}
