//! The proposer: runs rounds of prepare and accept, and applies commands. Only this module changes the round.

use std::collections::BTreeSet;
use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{ConfigSnapshot, Item, ProposalNumber};
use damsonbeam_control::messages::{AcceptAnswer, Command, CommandReply, Message, ReplicaItems};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::command::{CommandApplier, Outcome, PendingCommand, Requester, uncommitted};
use super::recovery::{CollectedItems, Recovery};
use super::round::{AfterCommit, Phase, Round};
use super::timing::{
    BACKOFF_PER_CONFLICT, EXTRA_PROMISES_TIMEOUT, MAX_BACKOFF_CONFLICTS, PHASE_TIMEOUT,
    VOTER_SET_CHANGE_RETRY_INTERVAL,
};
use super::voters::{Voter, VoterSet};
use super::{Effect, Event, Replica};

/// An acceptor's answer to a prepare; see [`Message::Promise`].
pub(super) struct Promise {
    pub(super) proposal_number: ProposalNumber,
    pub(super) promised: ProposalNumber,
    pub(super) disk_id: u64,
    pub(super) items: Option<ReplicaItems>,
}

impl Replica {
    pub(super) fn start_round(&mut self, commands: Vec<PendingCommand>, now: Duration) {
        let (Some(set), Some(voters)) = (self.voters.clone(), self.voters_item()) else {
            return;
        };
        self.highest_round += 1;
        let proposal_number = ProposalNumber::of_round(self.highest_round, self.proposer_id());
        self.promise(proposal_number);
        self.round = Some(Round {
            proposal_number,
            voters: set,
            promised_by: BTreeSet::new(),
            step: 0,
            call_count: 0,
            commands,
            awaits_more_promises: false,
            phase_deadline: now + PHASE_TIMEOUT,
            phase: Phase::Prepare {
                promises: [self.identity()].into(),
                collected_items: Box::new(CollectedItems::new(self.durable.accepted.clone())),
            },
        });
        let message = Message::Prepare {
            proposal_number,
            voters,
            digest: self.state_digest(),
        };
        self.effects.push(Effect::Broadcast(message));
        self.check_promises(now);
    }

    /// Ends the round and makes its commands pending again. After a conflict the next round starts after a random
    /// backoff.
    pub(super) fn abandon_round(&mut self, now: Duration) {
        if self
            .round
            .as_ref()
            .is_some_and(|round| round.awaits_more_promises)
        {
            self.next_voter_set_change_at = now + VOTER_SET_CHANGE_RETRY_INTERVAL;
            return self.requeue_round();
        }
        self.conflicts = (self.conflicts + 1).min(MAX_BACKOFF_CONFLICTS);
        self.random_state = self.random_state.wrapping_add(1);
        let fraction: f64 = SmallRng::seed_from_u64(self.random_state).random();
        self.next_round_at =
            now + BACKOFF_PER_CONFLICT.mul_f64(fraction * f64::from(self.conflicts));
        self.requeue_round();
    }

    fn requeue_round(&mut self) {
        let Some(round) = self.round.take() else {
            return;
        };
        for command in round.commands.into_iter().rev() {
            self.pending.push_front(command);
        }
    }

    /// Ends a round of an earlier epoch: its promises don't count in the epoch now in force.
    pub(super) fn drop_round_of_earlier_epoch(&mut self) {
        let epoch = self.epoch();
        if self
            .round
            .as_ref()
            .is_some_and(|round| round.voters.epoch != epoch)
        {
            self.requeue_round();
        }
    }

    /// Handles an acceptor's answer to a prepare.
    pub(super) fn receive_promise(&mut self, from: Ip, promise: Promise, now: Duration) {
        let Promise {
            proposal_number,
            promised,
            disk_id,
            items,
        } = promise;
        self.highest_round = self.highest_round.max(promised.round);
        let round = self.round.as_mut();
        let Some(round) = round.filter(|round| round.proposal_number == proposal_number) else {
            return;
        };
        let Phase::Prepare {
            promises,
            collected_items,
        } = &mut round.phase
        else {
            return;
        };
        if promised != proposal_number {
            return self.abandon_round(now);
        }
        let ReplicaItems {
            accepted,
            committed,
        } = items.unwrap_or_default();
        for item in accepted.into_iter().chain(committed.iter().cloned()) {
            collected_items.merge(item);
        }
        promises.insert(Voter { ip: from, disk_id });
        self.learn(committed);
        self.drop_round_of_earlier_epoch();
        self.check_promises(now);
    }

    /// Handles an acceptor's answer to a proposal.
    pub(super) fn receive_accepted(
        &mut self,
        voter: Voter,
        proposal_number: ProposalNumber,
        step: u32,
        answer: AcceptAnswer,
        now: Duration,
    ) {
        if let AcceptAnswer::RejectedByPromise(later) = answer {
            self.highest_round = self.highest_round.max(later.round);
        }
        let Some(round) = &mut self.round else {
            return;
        };
        if (round.proposal_number, round.step) != (proposal_number, step) {
            return;
        }
        let Phase::Accept { accepts, .. } = &mut round.phase else {
            return;
        };
        match answer {
            AcceptAnswer::Accepted => {
                accepts.insert(voter);
                self.check_accepts(now);
            }
            AcceptAnswer::RejectedByPromise(_) => self.abandon_round(now),
            AcceptAnswer::MissingItems => self.propose_again(voter.ip),
        }
    }

    /// Sends the proposal again to an acceptor whose committed items differed. The acceptor sent its digests with its
    /// refusal, so the items it lacks arrive before this proposal. If the acceptor holds items that this replica lacks,
    /// it refuses again, and returns those items in answer to the digests sent here.
    fn propose_again(&mut self, to: Ip) {
        let Some(voters) = self.voters_item() else {
            return;
        };
        let Some(round) = &self.round else { return };
        let Phase::Accept { items, .. } = &round.phase else {
            return;
        };
        let proposal = Message::Accept {
            proposal_number: round.proposal_number,
            step: round.step,
            voters,
            items: items.clone(),
            committed: Vec::new(),
            required_digest: Some(self.durable.committed.digest()),
        };
        let digests = self.digests_message();
        self.effects.push(Effect::Send(to, digests));
        self.effects.push(Effect::Send(to, proposal));
    }

    /// Handles the refusal of a round of an earlier epoch.
    pub(super) fn receive_newer_voters(&mut self, refused: ProposalNumber, voters: Item) {
        self.highest_round = self.highest_round.max(refused.round);
        self.learn(vec![voters]);
        self.drop_round_of_earlier_epoch();
    }

    /// Ends the prepare phase once a majority has promised. Items that earlier rounds left uncommitted are committed
    /// first: a command may replace an item only if that item is known to be committed, because acceptors learn the
    /// committed item together with its replacement.
    fn check_promises(&mut self, now: Duration) {
        let change = self.due_voter_set_change(now);
        let Some(round) = &mut self.round else { return };
        let Phase::Prepare {
            promises,
            collected_items,
        } = &mut round.phase
        else {
            return;
        };
        if !round.voters.is_majority(promises) {
            return;
        }
        // Propose a change of the voter set only if the replicas that have promised are a majority of the next set: the
        // presence known of the others may be outdated.
        let lacks_promises = change.is_some_and(|next| !next.is_majority(promises));
        if lacks_promises && round.commands.is_empty() {
            if !round.awaits_more_promises {
                round.awaits_more_promises = true;
                round.phase_deadline = now + EXTRA_PROMISES_TIMEOUT;
            }
            return;
        }
        round.awaits_more_promises = false;
        round.promised_by = promises.clone();
        let collected_items = std::mem::take(&mut **collected_items);
        let epoch = round.voters.epoch;
        let recovery = collected_items.resolve(&self.durable.committed, epoch);
        self.recover(recovery, now);
    }

    /// Proposes the items that earlier rounds left uncommitted.
    fn recover(&mut self, recovery: Recovery, now: Duration) {
        let Some(round) = &mut self.round else { return };
        let confirmed = recovery.confirmed.into_iter().map(|item| vec![item]);
        let mut items = Vec::new();
        for call in recovery.calls.into_iter().chain(confirmed) {
            let proposal_number = round.next_call_number();
            items.extend(call.into_iter().map(|item| Item {
                proposal_number,
                ..item
            }));
        }
        let later_voters = recovery.later_voters.as_ref();
        self.recovered_voters = later_voters.and_then(VoterSet::from_item);
        if !recovery.reverted.is_empty() {
            let event = Event::ItemsReverted(recovery.reverted);
            self.effects.push(Effect::Log(event));
        }
        if items.is_empty() {
            return self.continue_after_recovery(now);
        }
        let event = Event::ItemsRecovered(items.clone());
        self.effects.push(Effect::Log(event));
        self.propose(items, AfterCommit::ContinueAfterRecovery, now);
    }

    /// Proposes a change of the voter set if one is due, or applies the commands. All items that may have been
    /// committed under lower numbers are committed here by now, and no more can be committed under a lower number.
    fn continue_after_recovery(&mut self, now: Duration) {
        let Some(round) = &self.round else { return };
        let due = self
            .due_voter_set_change(now)
            .filter(|next| next.is_majority(&round.promised_by));
        match self.recovered_voters.take().or(due) {
            Some(set) => self.propose_voters(&set, now),
            None => self.apply_commands(now),
        }
    }

    fn propose_voters(&mut self, set: &VoterSet, now: Duration) {
        let Some(round) = &self.round else { return };
        let item = set.to_item(round.proposal_number);
        self.propose(vec![item], AfterCommit::NewEpoch, now);
    }

    /// Applies the commands of the round, each to the configuration that the previous ones leave.
    fn apply_commands(&mut self, now: Duration) {
        let Some(round) = &mut self.round else { return };
        let commands = std::mem::take(&mut round.commands);
        let mut snapshot = self.durable.committed.clone();
        let mut replies = Vec::new();
        let mut outdated = Vec::new();
        for pending in &commands {
            if is_expired_evacuation(pending, now) {
                let reply =
                    CommandReply::Unavailable("the command expired before it was applied".into());
                replies.push((pending.requester, reply));
                continue;
            }
            let applier = CommandApplier {
                snapshot: &snapshot,
                proposal_number: round.next_call_number(),
            };
            let outcome = applier.apply(pending);
            if let Some(event) = describe_outcome(pending, &outcome, &snapshot, now) {
                self.effects.push(Effect::Log(event));
            }
            match outcome {
                Outcome::Applied(next) => {
                    snapshot = next;
                    replies.push((pending.requester, CommandReply::Done));
                }
                Outcome::Confirmed { next, reply } => {
                    snapshot = next;
                    replies.push((pending.requester, reply));
                }
                Outcome::Unchanged(reply) => replies.push((pending.requester, reply)),
                Outcome::Outdated => outdated.push(pending.clone()),
            }
        }
        add_items_in_force(&mut replies, &snapshot);
        let new = uncommitted(&snapshot, &self.durable.committed);
        let new: Vec<Item> = new.cloned().collect();
        // If the round is abandoned, its commands are applied again in a later one.
        round.commands = commands;
        if new.is_empty() {
            self.finish_round(replies, outdated);
        } else {
            self.propose(new, AfterCommit::Reply { replies, outdated }, now);
        }
    }

    /// Ends the round and answers its commands.
    fn finish_round(
        &mut self,
        replies: Vec<(Requester, CommandReply)>,
        outdated: Vec<PendingCommand>,
    ) {
        self.round = None;
        self.conflicts = 0;
        self.uncommitted_since = None;
        for (requester, reply) in replies {
            self.answer(requester, reply);
        }
        for pending in outdated {
            self.answer_outdated(pending);
        }
    }

    fn propose(&mut self, items: Vec<Item>, after_commit: AfterCommit, now: Duration) {
        let identity = self.identity();
        let replaced = items
            .iter()
            .filter_map(|item| self.durable.committed.get(&item.key));
        let committed: Vec<Item> = replaced.cloned().collect();
        let Some(voters) = self.voters_item() else {
            return;
        };
        let Some(round) = &mut self.round else { return };
        if self.durable.promised > round.proposal_number {
            // This replica has promised a higher number since, so its own acceptance does not count for this round.
            return self.abandon_round(now);
        }
        round.step += 1;
        round.phase_deadline = now + PHASE_TIMEOUT;
        let is_new_epoch = after_commit == AfterCommit::NewEpoch;
        let proposal = Message::Accept {
            proposal_number: round.proposal_number,
            step: round.step,
            voters,
            items: items.clone(),
            committed,
            required_digest: is_new_epoch.then(|| self.durable.committed.digest()),
        };
        round.phase = Phase::Accept {
            accepts: [identity].into(),
            items: items.clone(),
            after_commit,
        };
        self.accept(items);
        self.effects.push(Effect::Broadcast(proposal));
        self.check_accepts(now);
    }

    fn check_accepts(&mut self, now: Duration) {
        let Some(round) = &mut self.round else { return };
        let Phase::Accept {
            accepts,
            items,
            after_commit,
        } = &mut round.phase
        else {
            return;
        };
        let new_set = items.iter().find_map(VoterSet::from_item);
        let has_new_majority = new_set.is_none_or(|set| set.is_majority(accepts));
        if !round.voters.is_majority(accepts) || !has_new_majority {
            return;
        }
        let items = std::mem::take(items);
        let after_commit = after_commit.clone();
        self.learn(items.clone());
        self.effects
            .push(Effect::Broadcast(Message::Commit { items }));
        match after_commit {
            AfterCommit::ContinueAfterRecovery => self.continue_after_recovery(now),
            AfterCommit::NewEpoch => self.requeue_round(),
            AfterCommit::Reply { replies, outdated } => self.finish_round(replies, outdated),
        }
    }
}

/// Returns whether the command is an evacuation that must no longer be applied.
fn is_expired_evacuation(pending: &PendingCommand, now: Duration) -> bool {
    matches!(pending.command, Command::Evacuate { .. }) && now >= pending.expires_at
}

/// Adds the items in force to the replies to reads.
fn add_items_in_force(replies: &mut [(Requester, CommandReply)], snapshot: &ConfigSnapshot) {
    for (_, reply) in replies {
        if let CommandReply::Config(items) = reply {
            let all = snapshot.items().values();
            let all = all.filter(|item| !item.key.kind.is_internal() && !item.is_unset());
            *items = all.cloned().collect();
        }
    }
}

/// Returns the event for the outcome of a command, unless the command changes nothing and is not rejected.
fn describe_outcome(
    pending: &PendingCommand,
    outcome: &Outcome,
    before: &ConfigSnapshot,
    now: Duration,
) -> Option<Event> {
    let origin = pending.requester.into();
    match outcome {
        Outcome::Applied(next) => Some(Event::CommandApplied {
            origin,
            age: now.saturating_sub(pending.received_at),
            items: uncommitted(next, before).cloned().collect(),
        }),
        Outcome::Confirmed { reply, .. } | Outcome::Unchanged(reply) => match reply {
            CommandReply::Invalid(reason) => Some(Event::CommandRejected {
                origin,
                reason: reason.clone(),
            }),
            _ => None,
        },
        Outcome::Outdated => None,
    }
}
