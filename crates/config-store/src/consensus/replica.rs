//! The replica: its state, and the entry points for ticks and messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{Item, ProposalNumber};
use damsonbeam_control::messages::{CommandReply, Message};

use super::acceptor::Proposal;
use super::command::{PendingCommand, Requester};
use super::proposer::Promise;
use super::round::Round;
use super::timing::UNCOMMITTED_ITEMS_TIMEOUT;
use super::voters::{INITIAL_DISK_ID, Voter, VoterSet};
use super::{DurableState, Effect};

/// The maximum number of commands in one round, which numbers them in 16 bits.
const MAX_COMMANDS_PER_ROUND: usize = 10_000;

/// A forwarded command, and the time at which it is applied here instead.
pub(super) type Forwarded = (PendingCommand, Duration);

/// The latest commands that another replica forwarded, by their numbers in its current incarnation.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub(super) struct ForwardsSeen {
    pub(super) incarnation: u64,
    pub(super) numbers: BTreeSet<u64>,
}

/// One replica of the configuration. Its fields are private to `consensus`; the documentation of each module says which
/// of them the module changes.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Replica {
    pub(super) own_ip: Ip,
    /// A random number chosen at the start, which tells commands forwarded by this process from those of an earlier
    /// one.
    pub(super) incarnation: u64,
    pub(super) durable: DurableState,
    /// The voter set in force, decoded from the committed items.
    pub(super) voters: Option<VoterSet>,
    /// A later voter set that the prepare of the current round found accepted but not committed.
    pub(super) recovered_voters: Option<VoterSet>,
    /// The state of the random backoff: the seed, incremented at each draw.
    pub(super) random_state: u64,
    /// Other machines that the local registry considers alive.
    pub(super) peers: Vec<Ip>,
    /// When each voter's machine was last among the peers or last sent a message.
    pub(super) last_seen: BTreeMap<Ip, Duration>,
    pub(super) last_tick: Duration,
    /// Learners that hold all committed items, and when each last requested a vote.
    pub(super) candidates: BTreeMap<Voter, Duration>,
    /// Whether the replica is shutting down.
    pub(super) is_leaving: bool,
    /// The highest proposal number of any committed item known here.
    pub(super) newest_commit: ProposalNumber,
    /// The highest round in any proposal number seen.
    pub(super) highest_round: u64,
    pub(super) round: Option<Round>,
    /// Commands for the next round.
    pub(super) pending: VecDeque<PendingCommand>,
    /// Forwarded commands without a reply, by the registry's numbers.
    pub(super) forwarded: BTreeMap<u64, Forwarded>,
    pub(super) forwards_seen: BTreeMap<Ip, ForwardsSeen>,
    /// No command is forwarded before this time.
    pub(super) forwarding_suspended_until: Duration,
    /// Consecutive conflicts of proposal numbers.
    pub(super) conflicts: u32,
    pub(super) next_round_at: Duration,
    pub(super) next_voter_set_change_at: Duration,
    pub(super) next_compare_at: Duration,
    pub(super) comparison_count: usize,
    /// Since when there have been accepted items that are not known to be committed.
    pub(super) uncommitted_since: Option<Duration>,
    /// Effects of calls, until the caller takes them.
    pub(super) effects: Vec<Effect>,
}

impl Replica {
    /// Creates a replica from its durable state; `seed` must be random.
    pub fn new(own_ip: Ip, durable: DurableState, seed: u64, now: Duration) -> Self {
        let committed = durable.committed.items().values();
        let newest_commit = committed.map(|item| item.proposal_number).max();
        Replica {
            newest_commit: newest_commit.unwrap_or_default(),
            own_ip,
            incarnation: seed,
            highest_round: durable.promised.round,
            voters: VoterSet::from_snapshot(&durable.committed),
            recovered_voters: None,
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
            forwarding_suspended_until: now,
            conflicts: 0,
            next_round_at: now,
            next_voter_set_change_at: now,
            next_compare_at: now,
            comparison_count: 0,
            uncommitted_since: None,
            effects: Vec::new(),
        }
    }

    /// Returns the durable state as it is on disk once all effects are executed.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// Returns the highest proposal number of any committed item known here. Whatever is committed by a round that starts
    /// later has a higher number.
    pub fn newest_commit(&self) -> ProposalNumber {
        self.newest_commit
    }

    /// Returns the effects of all calls since the last call of this method.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Sets the machines that the local registry considers alive.
    pub fn set_roster(&mut self, ips: &[Ip]) {
        self.peers = ips
            .iter()
            .copied()
            .filter(|ip| *ip != self.own_ip)
            .collect();
    }

    /// Returns the latest committed voter set known here.
    pub fn voters(&self) -> Option<&VoterSet> {
        self.voters.as_ref()
    }

    /// Starts the shutdown: the replica accepts no more forwarded commands, and proposes its own removal where
    /// [`membership`](super::membership) permits it.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether the replica may stop: it is not a voter, or all items it accepted are committed and neither a
    /// round nor a change of the voter set is outstanding.
    pub fn can_stop(&self, now: Duration) -> bool {
        let all_committed = self.durable.accepted.digest() == self.durable.committed.digest();
        let is_idle = self.round.is_none() && self.due_voter_set_change(now).is_none();
        !self.is_voter() || (all_committed && is_idle)
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

    /// Returns the committed item of the voter set in force.
    pub(super) fn voters_item(&self) -> Option<Item> {
        let set = self.voters.as_ref()?;
        let key = set.to_item(Default::default()).key;
        self.durable.committed.get(&key).cloned()
    }

    /// Returns the id of this replica in proposal numbers: the disk id, which is unique, or, for founders, which share
    /// one disk id, the address.
    pub(super) fn proposer_id(&self) -> u64 {
        match self.durable.disk_id {
            INITIAL_DISK_ID => u64::from(u32::from_be_bytes(self.own_ip)),
            id => id,
        }
    }

    /// Returns the voters on other machines that are considered alive, ordered by address.
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
                let message = Message::ForwardReply {
                    incarnation,
                    number,
                    reply,
                };
                Effect::Send(ip, message)
            }
        };
        self.effects.push(effect);
    }

    /// Advances the time: handles all timeouts, and starts a round if one is due.
    pub fn tick(&mut self, now: Duration) {
        self.update_presence(now);
        self.reclaim_forwarded(now);
        self.expire_commands(now);
        if self
            .round
            .as_ref()
            .is_some_and(|round| now >= round.phase_deadline)
        {
            self.abandon_round(now);
        }
        self.compare_if_due(now);
        let has_uncommitted_items =
            self.durable.accepted.digest() != self.durable.committed.digest();
        let since = self.uncommitted_since.unwrap_or(now);
        self.uncommitted_since = has_uncommitted_items.then_some(since);
        let recovery_due =
            has_uncommitted_items && (self.is_leaving || now >= since + UNCOMMITTED_ITEMS_TIMEOUT);
        let may_propose = self.round.is_none() && self.is_voter() && now >= self.next_round_at;
        let has_work = || !self.pending.is_empty() || self.due_voter_set_change(now).is_some();
        if may_propose && (recovery_due || has_work()) {
            let count = self.pending.len().min(MAX_COMMANDS_PER_ROUND);
            let commands = self.pending.drain(..count).collect();
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

    /// Handles a message of another replica. The function is long because it destructures each kind of message.
    #[expect(clippy::too_many_lines, reason = "one match arm per message")]
    pub fn receive(&mut self, from: Ip, message: Message, now: Duration) {
        if let Some(last_seen) = self.last_seen.get_mut(&from) {
            *last_seen = now;
        }
        match message {
            Message::Forward { .. }
            | Message::ForwardCommand { .. }
            | Message::ForwardOutdated { .. }
            | Message::ForwardAck { .. }
            | Message::ForwardReply { .. } => {
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
            Message::CompareDigests {
                digests,
                learner_disk_id: learner,
            } => {
                self.receive_compare(from, digests, learner, now);
            }
            Message::RepairItems {
                committed,
                promised,
                ..
            } => self.receive_repair(committed, promised),
            _ => {}
        }
        self.drop_round_of_earlier_epoch();
    }
}
