//! The replica: its state, and what happens to it as time passes and messages come.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::Item;
use damsonbeam_control::messages::{CommandReply, Message};

use super::acceptor::Proposal;
use super::command::{PendingCommand, Requester};
use super::proposer::Promise;
use super::round::Round;
use super::timing::COMMIT_LEFTOVERS_AFTER;
use super::voters::{FOUNDING_DISK, Voter, VoterSet};
use super::{DurableState, Effect};

/// A forwarded command, and when it is carried out here instead.
pub(super) type Forwarded = (PendingCommand, Duration);

/// The latest commands that another replica forwarded, by their numbers in its present incarnation.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub(super) struct ForwardsSeen {
    pub(super) incarnation: u64,
    pub(super) numbers: BTreeSet<u64>,
}

/// One replica of the configuration. Its fields are private to the consensus; each module says which it changes.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Replica {
    pub(super) own_ip: Ip,
    /// Chosen at random at the start: names the commands forwarded.
    pub(super) incarnation: u64,
    pub(super) durable: DurableState,
    /// The set in force, as in what is committed.
    pub(super) voters: Option<VoterSet>,
    /// A change of the voter set that the round has found left over.
    pub(super) leftover_voters: Option<VoterSet>,
    /// The state of the random backoffs: the seed, raised by one at each draw.
    pub(super) random_state: u64,
    /// Machines that the registry here takes to be alive, this one left out.
    pub(super) peers: Vec<Ip>,
    /// When each voter's machine was last among them, or heard from.
    pub(super) last_seen: BTreeMap<Ip, Duration>,
    pub(super) last_tick: Duration,
    /// Replicas without a vote that have everything committed, and when they last asked for one.
    pub(super) candidates: BTreeMap<Voter, Duration>,
    /// Told to end.
    pub(super) is_leaving: bool,
    /// The highest round of any proposal number seen.
    pub(super) highest_round: u64,
    pub(super) round: Option<Round>,
    /// Commands for the next round.
    pub(super) pending: VecDeque<PendingCommand>,
    /// Commands that were forwarded, by the registry's numbers.
    pub(super) forwarded: BTreeMap<u64, Forwarded>,
    pub(super) forwards_seen: BTreeMap<Ip, ForwardsSeen>,
    /// Nothing is forwarded until then.
    pub(super) no_forward_until: Duration,
    /// Conflicts of proposal numbers in a row.
    pub(super) conflicts: u32,
    pub(super) next_round_at: Duration,
    pub(super) next_change_at: Duration,
    pub(super) next_compare_at: Duration,
    pub(super) compare_turn: usize,
    /// Since when there has been something accepted and not committed.
    pub(super) uncommitted_since: Option<Duration>,
    /// Taken after each call.
    pub(super) effects: Vec<Effect>,
}

impl Replica {
    /// A replica as it starts with what is on its disk; `seed` is chosen at random.
    pub fn new(own_ip: Ip, durable: DurableState, seed: u64, now: Duration) -> Self {
        Replica {
            own_ip,
            incarnation: seed,
            highest_round: durable.promised.round,
            voters: VoterSet::committed(&durable.committed),
            leftover_voters: None,
            durable,
            random_state: seed,
            peers: Vec::new(),
            last_seen: BTreeMap::new(),
            last_tick: now,
            candidates: BTreeMap::new(),
            is_leaving: false,
            round: None,
            pending: VecDeque::new(),
            forwarded: BTreeMap::new(),
            forwards_seen: BTreeMap::new(),
            no_forward_until: now,
            conflicts: 0,
            next_round_at: now,
            next_change_at: now,
            next_compare_at: now,
            compare_turn: 0,
            uncommitted_since: None,
            effects: Vec::new(),
        }
    }

    /// What is on disk once all effects are carried out.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// The effects of the calls since these were last taken.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Sets the machines that the registry here takes to be alive.
    pub fn set_roster(&mut self, ips: &[Ip]) {
        self.peers = ips
            .iter()
            .copied()
            .filter(|ip| *ip != self.own_ip)
            .collect();
    }

    /// The voter set in force, as far as it is known here.
    pub fn voters(&self) -> Option<&VoterSet> {
        self.voters.as_ref()
    }

    /// Tells the replica to end: it takes no command any more, and where the set can do without it, it gives up its vote.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Whether it may end: it has no vote, or none to give up, and nothing that it accepted waits to be committed.
    pub fn may_end(&self, now: Duration) -> bool {
        let is_level = self.durable.accepted.digest() == self.durable.committed.digest();
        let is_idle = self.round.is_none() && self.due_change(now).is_none();
        !self.is_voter() || (is_level && is_idle)
    }

    pub(super) fn identity(&self) -> Voter {
        Voter {
            ip: self.own_ip,
            disk_id: self.durable.disk_id,
        }
    }

    pub(super) fn is_voter(&self) -> bool {
        let voters = self.voters.as_ref();
        voters.is_some_and(|set| set.contains(&self.identity()))
    }

    pub(super) fn epoch(&self) -> u64 {
        self.voters.as_ref().map_or(0, |set| set.epoch)
    }

    /// The voter set in force as it was committed.
    pub(super) fn voters_item(&self) -> Option<Item> {
        let set = self.voters.as_ref()?;
        let key = set.to_item(Default::default()).key;
        self.durable.committed.get(&key).cloned()
    }

    /// Names this replica in proposal numbers. A disk's id is nobody else's; founders, whose ids are alike, go by their
    /// addresses.
    pub(super) fn proposer_id(&self) -> u64 {
        match self.durable.disk_id {
            FOUNDING_DISK => u64::from(u32::from_be_bytes(self.own_ip)),
            id => id,
        }
    }

    /// Voters on other machines that are taken to be alive, by address.
    pub(super) fn other_voters(&self) -> Vec<Ip> {
        let voters = self.voters.iter().flat_map(VoterSet::voters);
        let ips = voters.map(|voter| voter.ip);
        ips.filter(|ip| self.peers.contains(ip)).collect()
    }

    pub(super) fn answer(&mut self, requester: Requester, reply: CommandReply) {
        let effect = match requester {
            Requester::Local { number } => Effect::Reply(number, reply),
            Requester::Remote {
                ip,
                incarnation,
                number,
            } => {
                let reply = Some(reply);
                let message = Message::Forwarded {
                    incarnation,
                    number,
                    reply,
                };
                Effect::Send(ip, message)
            }
        };
        self.effects.push(effect);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration) {
        self.track_voters(now);
        self.take_back_forwarded(now);
        self.expire_commands(now);
        if self.round.as_ref().is_some_and(|round| now >= round.until) {
            self.abandon_round(now);
        }
        self.compare_when_due(now);
        let has_leftovers = self.durable.accepted.digest() != self.durable.committed.digest();
        let since = self.uncommitted_since.unwrap_or(now);
        self.uncommitted_since = has_leftovers.then_some(since);
        let commits_leftovers =
            has_leftovers && (self.is_leaving || now >= since + COMMIT_LEFTOVERS_AFTER);
        let may_propose = self.round.is_none() && self.is_voter() && now >= self.next_round_at;
        let has_work = || !self.pending.is_empty() || self.due_change(now).is_some();
        if may_propose && (commits_leftovers || has_work()) {
            let commands = self.pending.drain(..).collect();
            self.start_round(commands, now);
        }
    }

    fn expire_commands(&mut self, now: Duration) {
        let pending = std::mem::take(&mut self.pending).into_iter();
        let (expired, pending) = pending.partition(|command| now >= command.expires_at);
        self.pending = pending;
        let expired: VecDeque<PendingCommand> = expired;
        for command in expired {
            let reply = CommandReply::Unavailable("no majority in time".into());
            self.answer(command.requester, reply);
        }
    }

    /// Takes a message of another replica. It is long for it has an arm for each message, which only takes it apart.
    #[expect(clippy::too_many_lines, reason = "an arm for each message")]
    pub fn receive(&mut self, from: Ip, message: Message, now: Duration) {
        if let Some(last_seen) = self.last_seen.get_mut(&from) {
            *last_seen = now;
        }
        match message {
            Message::Forward { .. } | Message::ForwardAck { .. } | Message::Forwarded { .. } => {
                self.receive_forwarding(from, message, now);
            }
            Message::Prepare {
                proposal_number,
                voters,
                digest,
            } => self.receive_prepare(from, proposal_number, voters, digest),
            Message::Promise {
                proposal_number,
                promised,
                disk_id,
                items,
            } => {
                let promise = Promise {
                    proposal_number,
                    promised,
                    disk_id,
                    items,
                };
                self.receive_promise(from, promise, now);
            }
            Message::Accept {
                proposal_number,
                step,
                voters,
                items,
                committed,
                required_digest,
            } => {
                let proposal = Proposal {
                    proposal_number,
                    step,
                    voters,
                    items,
                    committed,
                    required_digest,
                };
                self.receive_accept(from, proposal);
            }
            Message::Accepted {
                proposal_number,
                step,
                disk_id,
                answer,
            } => {
                let voter = Voter { ip: from, disk_id };
                self.receive_accepted(voter, proposal_number, step, answer, now);
            }
            Message::NewerVoters {
                proposal_number,
                voters,
            } => self.receive_newer_voters(proposal_number, voters),
            Message::Commit { items } => self.learn(items),
            Message::CompareDigests { digests, learner } => {
                self.receive_compare(from, digests, learner, now);
            }
            Message::RepairItems {
                items,
                committed,
                promised,
            } => self.receive_repair(items, committed, promised),
            _ => {}
        }
        self.drop_round_of_earlier_epoch();
    }
}
