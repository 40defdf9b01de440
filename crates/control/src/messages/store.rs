//! Parts of the messages between stores.

use bitcode::{Decode, Encode};

use crate::config::{Item, ProposalNumber};

/// An acceptor's answer to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub enum AcceptAnswer {
    /// The proposal is accepted and written to the acceptor's disk.
    Accepted,
    /// The proposal is rejected, because the acceptor has promised this higher number.
    RejectedByPromise(ProposalNumber),
    /// The change of the voter set is rejected, because the acceptor lacks items that were committed before it.
    MissingItems,
}

/// The digests of a replica's accepted items and of its committed items.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct StateDigest {
    /// The digest of the accepted items.
    pub accepted: u64,
    /// The digest of the committed items.
    pub committed: u64,
}

/// The digests of a replica's accepted and committed items, for each group of shards.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct StateGroupDigests {
    /// The group digests of the accepted items.
    pub accepted: Vec<u32>,
    /// The group digests of the committed items.
    pub committed: Vec<u32>,
}

/// All items of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ReplicaItems {
    /// The accepted items.
    pub accepted: Vec<Item>,
    /// The committed items.
    pub committed: Vec<Item>,
}
