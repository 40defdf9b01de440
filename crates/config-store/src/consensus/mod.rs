//! Agreement among the replicas of the configuration store, free of I/O.
//!
//! Any voter takes a write. It prepares a ballot at a majority, which tells it all items accepted so far; it
//! merges them item by item (of two proposals for one, the later ballot's), applies the command to the whole, checks
//! the result, and has a majority accept what is new. There is no log and no leader: each item stands for itself, by
//! version and, of one version, by ballot. What a majority has accepted is decided; only that is acknowledged and
//! told to the proxies.
//!
//! # Membership
//!
//! Who has a vote is itself an item ([`voters`]): its version is the epoch, its body the voters, each by its address
//! and the id of its disk. A replica whose disk was lost has another id and is nobody's voter: it has forgotten what it
//! promised, and does not have to remember. All others only learn. A change adds or removes one voter
//! ([`membership`]), and is proposed by any voter that sees it due.
//!
//! Why no decided item is lost, and no two contents of one version are decided, across epochs `e` and `e + 1`:
//!
//! 1. A round belongs to one epoch. Prepare and accept name the voter set, and an acceptor answers only if that is
//!    the set decided as far as it knows; it learns a later one from them, and refuses an earlier one with the later
//!    along. Answers name the ballot, which no two rounds share: its writer is the id of a disk. So none counts across
//!    epochs.
//! 2. Set `e + 1` is decided by a ballot `b` only with majorities of both sets, after all that the round of `b` found
//!    left over was decided. A round of `e` with a lower ballot that decided something was found by `b`'s prepare,
//!    or can decide nothing after it; a round of `e` with a higher ballot finds set `e + 1` among what the majority of
//!    `e` accepted, and has to decide it before anything of its own, or learns of it. So all that `e` decides is decided
//!    before `b`'s last proposal, or is the new set itself.
//! 3. An acceptor agrees to a new set only if it holds exactly what the proposer holds as decided (`level`).
//!    So a majority of `e + 1` holds everything decided in `e`, and has promised `b`; any majority that prepares in
//!    `e + 1` shares a member with it, and so finds all of that, by a ballot above `b`.
//! 4. A replica that adopts set `e + 1` because somebody decided it may itself lack items of `e`: nothing depends on
//!    that, for (3) counts on those that agreed only. What is decided may be adopted at any time.
//!
//! A voter that restarts with its disk votes at once: it keeps its promises and what it accepted, and what
//! it missed is known to a majority, of which every round asks a member. It proposes after its prepare has brought it what
//! any majority holds.

mod acceptor;
mod apply;
mod forwarding;
pub mod membership;
mod proposer;
mod repair;
pub mod voters;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use acceptor::Proposal;
use damsonbeam_control::items::{Ballot, ConfigSnapshot, Item};
use damsonbeam_control::messages::{Command, CommandReply, Ip, Message, pack};
use membership::{Presence, next_voters};
use proposer::{Promise, Round};
use voters::{FOUNDING_DISK, Voter, VoterSet};

/// A phase of a write that gets no majority is given up: several ways there and back, and a slow sync.
const PHASE_TIMEOUT: Duration = Duration::from_millis(1200);
/// An order waits and is tried again for so long at most; its caller tries elsewhere then.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(3500);
/// An evacuation waits no longer than its caller, who goes elsewhere after a second: one that is carried out later could
/// undo what was ordered since. A configuration's items have versions, which see to that.
const EVACUATION_TIMEOUT: Duration = Duration::from_millis(900);
/// What was passed on and is not answered in this is carried out here: several ways there and back.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
/// That it has come is told at once; not told in this, it is carried out here while its caller still waits, and nothing is
/// passed on for a while: the first may be frozen, slow or cut off, and not known to be yet.
const FORWARD_ACK_TIMEOUT: Duration = Duration::from_millis(350);
const FORWARD_PAUSE: Duration = Duration::from_millis(1200);
/// After a clash of ballots each waits a time by lot, up to this times the clashes: two ways there and back.
const MAX_BACKOFF: Duration = Duration::from_millis(240);
/// Between two comparisons with another store.
const COMPARE_INTERVAL: Duration = Duration::from_millis(1000);
/// One without a vote asks this often, one voter so many times in a row.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);
const JOIN_ASKS: usize = 4;
/// Whoever last asked for a vote longer ago than this has gone, or asks elsewhere.
const CANDIDATE_TIME: Duration = Duration::from_millis(700);
/// So long a change of the voter set waits for promises beyond a majority, and then for its next try.
const LINGER: Duration = Duration::from_millis(150);
const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Whoever did not run for so long can't say since when others are missing.
const STALLED: Duration = Duration::from_millis(1500);
/// What is accepted and not known to be decided for so long is settled by a round of its own.
const SETTLE_AFTER: Duration = Duration::from_millis(1500);
/// What must be on disk, synced, before what follows it is sent.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub struct DurableState {
    /// Chosen by chance when the store is made; that of a founder is `FOUNDING_DISK`.
    pub disk: u64,
    pub promised: Ballot,
    pub accepted: ConfigSnapshot,
    pub decided: ConfigSnapshot,
}

impl DurableState {
    /// What a disk holds once it has kept that.
    pub fn keep(&mut self, keep: &DurableWrite) {
        match keep {
            DurableWrite::Disk(id) => self.disk = *id,
            DurableWrite::Promised(b) => self.promised = *b,
            DurableWrite::Accepted(items) => items.iter().for_each(|i| {
                self.accepted.replace(i.clone());
            }),
            DurableWrite::Decided(items) => items.iter().for_each(|i| {
                self.decided.replace(i.clone());
            }),
        }
    }

    /// Whether this disk's id is among the voters that it knows.
    pub fn has_vote(&self) -> bool {
        let set = VoterSet::decided(&self.decided);
        set.is_some_and(|set| set.voters().iter().any(|v| v.disk == self.disk))
    }

    /// What an empty disk is given at the very first start of the system: the seeds, which are the same everywhere, are
    /// the first voters. None where the disk is not empty.
    pub fn found(&self, me: Ip, seeds: &[Ip]) -> Option<Vec<DurableWrite>> {
        let empty = self.accepted.items().is_empty() && self.promised == Ballot::default();
        if !empty || seeds.is_empty() {
            return None;
        }
        let first = vec![VoterSet::founding(seeds).to_item(Ballot::default())];
        let mut writes = vec![
            DurableWrite::Accepted(first.clone()),
            DurableWrite::Decided(first),
        ];
        if seeds.contains(&me) {
            writes.push(DurableWrite::Disk(FOUNDING_DISK));
        }
        Some(writes)
    }
}

#[derive(Clone, Debug, PartialEq, Hash)]
pub enum DurableWrite {
    Disk(u64),
    Promised(Ballot),
    Accepted(Vec<Item>),
    Decided(Vec<Item>),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Persist(DurableWrite),
    Send(Ip, Message),
    Broadcast(Message),
    Reply(u64, CommandReply),
    /// Decided items that were not known before, for the registry.
    News(Vec<Item>),
}

impl Hash for Effect {
    /// Notes hold figures, which have no hash: they go by their bytes.
    fn hash<H: Hasher>(&self, h: &mut H) {
        match self {
            Effect::Persist(keep) => keep.hash(h),
            Effect::Send(to, note) => (to, pack(note)).hash(h),
            Effect::Broadcast(note) => pack(note).hash(h),
            Effect::Reply(no, reply) => (no, reply).hash(h),
            Effect::News(items) => items.hash(h),
        }
    }
}

/// Who is to be told what came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Hash)]
enum Requester {
    /// The registry here, by its number.
    Here(u64),
    /// Another store, which passed it on, by its life and its number there.
    There(Ip, u64, u64),
}

/// An order, and until when it may be carried out.
#[derive(Clone, Debug, PartialEq, Hash)]
struct PendingCommand {
    requester: Requester,
    order: Command,
    until: Duration,
    /// Another replica may carry it out, too.
    passed_on: bool,
}

#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Replica {
    me: Ip,
    /// Chosen by chance at the start: names the commands passed on.
    life: u64,
    durable: DurableState,
    /// The set in force, as in what is decided.
    voters: Option<VoterSet>,
    /// A change of the voter set that the round has found left over.
    left_voters: Option<VoterSet>,
    /// Chance, by the number of lots drawn.
    random_draws: u64,
    /// Machines held for alive by the registry here, this one left out.
    peers: Vec<Ip>,
    /// When each voter's machine was last among them, or heard.
    last_seen: BTreeMap<Ip, Duration>,
    last_tick: Duration,
    /// Replicas without a vote that are level, and when they last asked.
    candidates: BTreeMap<Voter, Duration>,
    /// Told to end.
    leaving: bool,
    highest: u64,
    round: Option<Round>,
    waiting: VecDeque<PendingCommand>,
    /// Passed on, by the registry's number, and when it is carried out here instead.
    forwarded: BTreeMap<u64, (PendingCommand, Duration)>,
    /// The latest commands that each replica passed on, by its life and their numbers.
    forwards_seen: BTreeMap<Ip, (u64, BTreeSet<u64>)>,
    /// Nothing is passed on until then.
    no_forward_until: Duration,
    clashes: u32,
    next_round_at: Duration,
    next_change_at: Duration,
    next_compare_at: Duration,
    compare_turn: usize,
    undecided_since: Option<Duration>,
    /// Taken after each call.
    effects: Vec<Effect>,
}

impl Replica {
    /// `seed` is chosen by chance, and names this life.
    pub fn new(me: Ip, durable: DurableState, seed: u64, now: Duration) -> Self {
        Replica {
            me,
            life: seed,
            highest: durable.promised.round,
            voters: VoterSet::decided(&durable.decided),
            left_voters: None,
            durable,
            random_draws: seed,
            peers: Vec::new(),
            last_seen: BTreeMap::new(),
            last_tick: now,
            candidates: BTreeMap::new(),
            leaving: false,
            round: None,
            waiting: VecDeque::new(),
            forwarded: BTreeMap::new(),
            forwards_seen: BTreeMap::new(),
            no_forward_until: now,
            clashes: 0,
            next_round_at: now,
            next_change_at: now,
            next_compare_at: now,
            compare_turn: 0,
            undecided_since: None,
            effects: Vec::new(),
        }
    }

    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The machines that the registry here holds for alive.
    pub fn roster(&mut self, ips: &[Ip]) {
        self.peers = ips.iter().copied().filter(|ip| *ip != self.me).collect();
    }

    /// The voter set in force, as far as it is known here.
    pub fn voters(&self) -> Option<&VoterSet> {
        self.voters.as_ref()
    }

    /// Told to end: no command is taken any more, and where the set can do without, this replica gives up its vote.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether it may end: it has no vote, or none to give up, and nothing that it accepted waits for its settling.
    pub fn may_end(&self, now: Duration) -> bool {
        let settled = self.durable.accepted.digest() == self.durable.decided.digest();
        !self.is_voter() || settled && self.round.is_none() && self.due_change(now).is_none()
    }

    fn identity(&self) -> Voter {
        Voter {
            ip: self.me,
            disk: self.durable.disk,
        }
    }

    fn is_voter(&self) -> bool {
        self.voters
            .as_ref()
            .is_some_and(|set| set.contains(&self.identity()))
    }

    fn epoch(&self) -> u64 {
        self.voters.as_ref().map_or(0, |set| set.epoch)
    }

    fn voters_item(&self) -> Option<Item> {
        let set = self.voters.as_ref()?;
        let key = set.to_item(Ballot::default()).key;
        self.durable.decided.get(&key).cloned()
    }

    /// Of ballots: a disk's id is nobody else's, founders go by their addresses.
    fn writer(&self) -> u64 {
        match self.durable.disk {
            FOUNDING_DISK => u64::from(u32::from_be_bytes(self.me)),
            disk => disk,
        }
    }

    /// Voters on other machines that are held for alive, by address.
    fn other_voters(&self) -> Vec<Ip> {
        let voters = self.voters.iter().flat_map(VoterSet::voters);
        voters
            .map(|v| v.ip)
            .filter(|ip| self.peers.contains(ip))
            .collect()
    }

    fn presence(&self, voter: &Voter, now: Duration) -> Presence {
        if *voter == self.identity() {
            return if self.leaving {
                Presence::Leaving
            } else {
                Presence::Present
            };
        }
        if self.peers.contains(&voter.ip) {
            return Presence::Present;
        }
        let seen = self.last_seen.get(&voter.ip).copied().unwrap_or(now);
        Presence::Missing(now.saturating_sub(seen))
    }

    /// The change of the voter set that is due, if any.
    fn due_change(&self, now: Duration) -> Option<VoterSet> {
        let set = self
            .voters
            .as_ref()
            .filter(|_| now >= self.next_change_at)?;
        let candidates: Vec<Voter> = self.candidates.keys().copied().collect();
        next_voters(set, |voter| self.presence(voter, now), &candidates)
    }

    fn look_for_voters(&mut self, now: Duration) {
        let stalled = now.saturating_sub(self.last_tick) > STALLED;
        self.last_tick = now;
        self.candidates
            .retain(|_, asked| now < *asked + CANDIDATE_TIME);
        let ips: Vec<Ip> = self
            .voters
            .iter()
            .flat_map(VoterSet::voters)
            .map(|v| v.ip)
            .collect();
        self.last_seen.retain(|ip, _| ips.contains(ip));
        for ip in ips {
            if stalled || self.peers.contains(&ip) || !self.last_seen.contains_key(&ip) {
                self.last_seen.insert(ip, now);
            }
        }
    }

    fn answer(&mut self, requester: Requester, reply: CommandReply) {
        self.effects.push(match requester {
            Requester::Here(no) => Effect::Reply(no, reply),
            Requester::There(ip, life, no) => Effect::Send(
                ip,
                Message::Forwarded {
                    life,
                    no,
                    reply: Some(reply),
                },
            ),
        });
    }

    fn give_up_late_commands(&mut self, now: Duration) {
        let (late, waiting): (VecDeque<_>, _) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|a| now >= a.until);
        self.waiting = waiting;
        for asked in late {
            self.answer(
                asked.requester,
                CommandReply::Unsettled("no majority in time".into()),
            );
        }
    }

    pub fn tick(&mut self, now: Duration) {
        self.look_for_voters(now);
        self.take_back_forwarded(now);
        self.give_up_late_commands(now);
        if self.round.as_ref().is_some_and(|r| now >= r.until) {
            self.abandon_round(now);
        }
        self.compare_when_due(now);
        let left = self.durable.accepted.digest() != self.durable.decided.digest();
        self.undecided_since = if left {
            self.undecided_since.or(Some(now))
        } else {
            None
        };
        let settle = self
            .undecided_since
            .is_some_and(|s| self.leaving || now >= s + SETTLE_AFTER);
        let ready = self.round.is_none() && self.is_voter() && now >= self.next_round_at;
        if ready && (settle || !self.waiting.is_empty() || self.due_change(now).is_some()) {
            let orders = self.waiting.drain(..).collect();
            self.prepare(orders, now);
        }
    }

    /// A message of another replica.
    pub fn receive(&mut self, from: Ip, message: Message, now: Duration) {
        self.last_seen
            .get_mut(&from)
            .into_iter()
            .for_each(|seen| *seen = now);
        match message {
            Message::Forward { life, no, order } => {
                self.receive_forward(from, life, no, order, now)
            }
            Message::ForwardAck { life, no } => self.receive_forward_ack(life, no, now),
            Message::Forwarded { life, no, reply } => self.receive_forwarded(life, no, reply, now),
            Message::Prepare {
                ballot,
                voters,
                digest,
            } => self.receive_prepare(from, ballot, voters, digest),
            Message::Promise {
                ballot,
                promised,
                disk,
                items,
            } => {
                self.receive_promise(
                    from,
                    Promise {
                        ballot,
                        promised,
                        disk,
                        items,
                    },
                    now,
                );
            }
            Message::Accept {
                ballot,
                step,
                voters,
                items,
                decided,
                level,
            } => {
                self.receive_accept(
                    from,
                    Proposal {
                        ballot,
                        step,
                        voters,
                        items,
                        decided,
                        level,
                    },
                );
            }
            Message::Accepted {
                ballot,
                step,
                disk,
                answer,
            } => {
                self.receive_accepted(Voter { ip: from, disk }, (ballot, step), answer, now);
            }
            Message::NewerVoters { ballot, voters } => self.receive_newer_voters(ballot, voters),
            Message::Commit { items } => self.learn(items),
            Message::CompareDigests { digests, learner } => {
                self.receive_compare(from, digests, learner, now)
            }
            Message::RepairItems {
                items,
                decided,
                ballot,
            } => self.receive_repair(items, decided, ballot),
            _ => {}
        }
        self.drop_round_of_earlier_epoch();
    }
}
