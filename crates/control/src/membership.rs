//! Membership of the registries by the SWIM protocol. A registry probes the other members in turn. If a member does not
//! answer, the registry asks a few others to probe it, then marks it as suspect, and declares it dead only after a further
//! timeout. This module does no I/O: its input is the time and received datagrams, its output datagrams to send.
//!
//! A registry is identified by its machine's address. Every update about a registry carries an incarnation number that only
//! this registry itself increments. A registry that receives an update marking it as suspect or dead refutes the update
//! with the next incarnation. A registry that has restarted does the same.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::address::Ip;
use crate::messages::{GossipBody, MemberState, MemberUpdate};

/// Time between two probes sent by one registry.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Other members are asked to probe a member that has not answered after this time, which is twice the round trip between
/// regions.
const INDIRECT_PROBE_AFTER: Duration = Duration::from_millis(250);
/// A member that has answered neither the direct nor the indirect probes after this time becomes suspect.
const SUSPECT_AFTER: Duration = Duration::from_millis(700);
/// How long a suspect member has to refute the suspicion before it is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of members that are asked to probe a member that does not answer.
const INDIRECT_PROBES: usize = 2;
/// Number of datagrams that carry an update.
const TRANSMISSIONS: u32 = 8;
/// Maximum number of recent updates in one datagram, so that the datagram fits into one packet.
const MAX_UPDATES: usize = 16;
/// Dead members and unknown seeds are probed in one of this many probe rounds, because partitions heal and machines return.
const ROUNDS_PER_DEAD_PROBE: u32 = 4;
/// How long a dead member is remembered.
const DEAD_RETENTION: Duration = Duration::from_secs(60);

/// A member whose state changed, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipChange {
    /// The member.
    pub ip: Ip,
    /// The member's new state.
    pub state: MemberState,
}

/// The result of a call to [`Membership`].
#[derive(Debug, Default)]
pub struct MembershipOutput {
    /// Datagrams to send, each with its receiver.
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
    /// When the member entered the state.
    since: Duration,
    /// Number of further datagrams that will carry the update about this member.
    transmissions_left: u32,
}

impl Member {
    fn enter(&mut self, state: MemberState, now: Duration) {
        self.state = state;
        self.since = now;
        self.transmissions_left = TRANSMISSIONS;
    }
}

/// The registry on whose behalf a probe is made, and the probe number that this registry expects in the answer.
#[derive(Clone, Copy, Debug)]
struct ProbeRequester {
    ip: Ip,
    number: u64,
}

#[derive(Debug)]
struct Probe {
    target: Ip,
    sent_at: Duration,
    /// Whether other members were asked to probe the target as well.
    is_indirect: bool,
    /// `None` if the probe is this registry's own.
    requester: Option<ProbeRequester>,
}

/// One registry's view of the members.
#[derive(Debug)]
pub struct Membership {
    own_ip: Ip,
    own_incarnation: u64,
    members: BTreeMap<Ip, Member>,
    /// Addresses that are probed like dead members as long as they are not members.
    seeds: Vec<Ip>,
    /// Unanswered probes, by number.
    probes: BTreeMap<u64, Probe>,
    last_number: u64,
    next_probe_at: Duration,
    /// Number of regular probes so far; selects the next member in round-robin order.
    probe_count: usize,
    probe_rounds: u32,
}

impl Membership {
    /// Creates the view of a registry that knows no members but its seeds.
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
            probe_count: 0,
            probe_rounds: 0,
        }
    }

    /// Returns the members that are not dead, including this registry, in ascending order.
    pub fn alive(&self) -> Vec<Ip> {
        let members = self.members.iter();
        let alive = members.filter(|(_, member)| member.state != MemberState::Dead);
        let mut alive: Vec<Ip> = alive.map(|(ip, _)| *ip).collect();
        alive.push(self.own_ip);
        alive.sort_unstable();
        alive
    }

    /// Adds addresses known from another source; they are probed like dead members.
    pub fn add_seeds(&mut self, ips: impl IntoIterator<Item = Ip>) {
        for ip in ips {
            let is_known = self.members.contains_key(&ip) || self.seeds.contains(&ip);
            if ip != self.own_ip && !is_known {
                self.seeds.push(ip);
            }
        }
    }

    /// Returns the updates to send with a datagram to `receiver`: about this registry, about the receiver if it is not
    /// marked as alive, because only the receiver can refute this, and about the members that changed most recently.
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

    /// Applies an update if it is newer than the known state. Returns the change, if the member's state changed.
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

    /// Processes a datagram of another registry.
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
            GossipBody::IndirectPing { number, target } => {
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

    /// Marks a suspect member that answered a probe as alive. The member will refute the suspicion with its next
    /// incarnation, but this registry need not wait for that. The change is not sent to other members.
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

    /// Handles timeouts and sends the probes that are due at `now`.
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

    /// Handles unanswered probes: first asks other members to probe the target, then marks the target as suspect.
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
                    .expect("probe is pending")
                    .is_indirect = true;
                for prober in self.indirect_probers(target, alive) {
                    output.send(prober, GossipBody::IndirectPing { number, target });
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

    /// Returns up to [`INDIRECT_PROBES`] members to ask for an indirect probe of `target`, in round-robin order.
    fn indirect_probers(&self, target: Ip, alive: &[Ip]) -> Vec<Ip> {
        let others = alive
            .iter()
            .filter(|ip| **ip != self.own_ip && **ip != target);
        let others: Vec<Ip> = others.copied().collect();
        let count = INDIRECT_PROBES.min(others.len());
        let first = self.probe_count % others.len().max(1);
        others
            .iter()
            .cycle()
            .skip(first)
            .take(count)
            .copied()
            .collect()
    }

    /// Declares members dead that have been suspect for [`SUSPICION_TIMEOUT`], and forgets members dead for
    /// [`DEAD_RETENTION`].
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

    /// Probes the next living member, and in some rounds all dead members and unknown seeds.
    fn probe_members(&mut self, now: Duration, alive: Vec<Ip>, output: &mut MembershipOutput) {
        let others: Vec<Ip> = alive.into_iter().filter(|ip| *ip != self.own_ip).collect();
        if !others.is_empty() {
            self.probe_count += 1;
            self.probe(others[self.probe_count % others.len()], now, output);
        }
        let is_dead_probe_due = self.probe_rounds.is_multiple_of(ROUNDS_PER_DEAD_PROBE);
        if others.is_empty() || is_dead_probe_due {
            for ip in self.unreachable_addresses(&others) {
                self.probe(ip, now, output);
            }
        }
    }

    fn probe(&mut self, target: Ip, now: Duration, output: &mut MembershipOutput) {
        let number = self.start_probe(target, now, None);
        output.send(target, GossipBody::Ping { number });
    }

    /// Returns the dead members and the seeds that are not members.
    fn unreachable_addresses(&self, alive: &[Ip]) -> Vec<Ip> {
        let members = self.members.iter();
        let dead = members.filter(|(_, member)| member.state == MemberState::Dead);
        let is_member = |ip: &Ip| alive.contains(ip) || self.members.contains_key(ip);
        let seeds = self.seeds.iter().filter(|seed| !is_member(seed));
        dead.map(|(ip, _)| *ip).chain(seeds.copied()).collect()
    }
}
