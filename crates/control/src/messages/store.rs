//! Parts of the messages among stores.

use bitcode::{Decode, Encode};

use crate::config::{Item, ProposalNumber};

/// An acceptor's answer to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub enum AcceptAnswer {
    /// The proposal is accepted, and on the acceptor's disk.
    Accepted,
    /// The acceptor has promised a later number.
    Promised(ProposalNumber),
    /// The acceptor lacks something that was committed before a change of the voter set.
    Behind,
}

/// The digest of a replica's accepted items, and that of its committed ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct StateDigest {
    /// Of the items accepted.
    pub accepted: u64,
    /// Of the items committed.
    pub committed: u64,
}

/// The same by group of shards.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct StateGroupDigests {
    /// Of the items accepted.
    pub accepted: Vec<u32>,
    /// Of the items committed.
    pub committed: Vec<u32>,
}

/// All items of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ReplicaItems {
    /// The items accepted.
    pub accepted: Vec<Item>,
    /// The items committed.
    pub committed: Vec<Item>,
}
