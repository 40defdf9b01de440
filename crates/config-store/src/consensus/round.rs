//! A proposer's round: one proposal number, from its prepare to the last proposal accepted under that number.

use std::collections::BTreeSet;
use std::time::Duration;

use damsonbeam_control::config::{Item, ProposalNumber};
use damsonbeam_control::messages::CommandReply;

use super::command::{PendingCommand, Requester};
use super::recovery::CollectedItems;
use super::voters::{Voter, VoterSet};

/// The next action of a round once its current proposal is committed.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(super) enum AfterCommit {
    /// Items that earlier rounds left uncommitted are now committed: apply the commands of this round.
    ContinueAfterRecovery,
    /// Another voter set is in force: end the round, whose promises don't count in the new epoch.
    NewEpoch,
    /// The commands are applied: send their replies.
    Reply {
        replies: Vec<(Requester, CommandReply)>,
        /// Commands that were not applied, because their callers may no longer wait.
        outdated: Vec<PendingCommand>,
    },
}

/// The phase of a round.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(super) enum Phase {
    /// Collecting promises, and the items accepted by the replicas that promised.
    Prepare {
        promises: BTreeSet<Voter>,
        collected_items: Box<CollectedItems>,
    },
    /// Waiting for a majority to accept a proposal.
    Accept {
        accepts: BTreeSet<Voter>,
        items: Vec<Item>,
        after_commit: AfterCommit,
    },
}

/// A round under one proposal number, in one epoch.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(super) struct Round {
    pub(super) proposal_number: ProposalNumber,
    pub(super) voters: VoterSet,
    /// The replicas that had promised when the prepare phase ended.
    pub(super) promised_by: BTreeSet<Voter>,
    /// The number of the current proposal within the round, so that an answer to an earlier proposal is not counted.
    pub(super) step: u32,
    /// The number of calls proposed in the round, whose items each have a number of their own.
    pub(super) call_count: u16,
    pub(super) commands: Vec<PendingCommand>,
    /// A majority has promised, and the round waits for the further promises that a change of the voter set needs.
    pub(super) awaits_more_promises: bool,
    /// When the current phase times out.
    pub(super) phase_deadline: Duration,
    pub(super) phase: Phase,
}

impl Round {
    /// Returns the number for the items of the next call.
    pub(super) fn next_call_number(&mut self) -> ProposalNumber {
        self.call_count = self.call_count.saturating_add(1);
        self.proposal_number.of_call(self.call_count)
    }
}
