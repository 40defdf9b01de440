//! A proposer's round: one proposal number, from prepare to the last proposal that is accepted under it.

use std::collections::BTreeSet;
use std::time::Duration;

use damsonbeam_control::config::{ConfigSnapshot, Item, ProposalNumber};
use damsonbeam_control::messages::CommandReply;

use super::command::{PendingCommand, Requester};
use super::voters::{Voter, VoterSet};

/// What follows once a proposal is committed.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(super) enum AfterCommit {
    /// What others had left uncommitted is committed: the round's own work begins.
    OwnWork,
    /// Another set of voters is in force: nothing of this round counts there.
    NewEpoch,
    /// The commands are carried out.
    Reply(Vec<(Requester, CommandReply)>),
}

#[derive(Clone, Debug, PartialEq, Hash)]
pub(super) enum Phase {
    /// Promises are collected, and the items accepted by those who promise.
    Prepare {
        promises: BTreeSet<Voter>,
        gathered: Box<ConfigSnapshot>,
    },
    /// A proposal is to be accepted.
    Accept {
        accepts: BTreeSet<Voter>,
        items: Vec<Item>,
        then: AfterCommit,
    },
}

/// One proposal number of this proposer, in one epoch.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(super) struct Round {
    pub(super) proposal_number: ProposalNumber,
    pub(super) voters: VoterSet,
    /// Who had promised when there was a majority.
    pub(super) promised_by: BTreeSet<Voter>,
    /// Counts the proposals: an answer to one must not count for another.
    pub(super) step: u32,
    pub(super) commands: Vec<PendingCommand>,
    /// It has a majority, and waits for the promises that a change of the voter set needs beyond it.
    pub(super) awaits_more_promises: bool,
    /// When the present phase is given up.
    pub(super) until: Duration,
    pub(super) phase: Phase,
}
