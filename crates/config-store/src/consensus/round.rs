//! A proposer's round: one proposal number, from its prepare to the last proposal accepted under that number.

use std::collections::BTreeSet;
use std::time::Duration;

use damsonbeam_control::config::{ConfigSnapshot, Item, ProposalNumber};
use damsonbeam_control::messages::CommandReply;

use super::command::{PendingCommand, Requester};
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
        collected_items: Box<ConfigSnapshot>,
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
    pub(super) commands: Vec<PendingCommand>,
    /// A majority has promised, and the round waits for the further promises that a change of the voter set needs.
    pub(super) awaits_more_promises: bool,
    /// When the current phase times out.
    pub(super) phase_deadline: Duration,
    pub(super) phase: Phase,
}
