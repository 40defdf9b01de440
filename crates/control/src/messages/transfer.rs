//! The messages by which a proxy catches up with a registry's configuration; `crate::transfer` explains their order.

use bitcode::{Decode, Encode};

use crate::config::{Item, ItemKey, ShardId};

/// A message between the receiver, which lacks items, and the provider.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum TransferMessage {
    /// From the receiver: begins a round.
    Compare {
        /// Numbers the receiver's rounds.
        round: u32,
        /// The digests of the receiver's groups of shards.
        group_digests: Vec<u32>,
    },
    /// From the provider: the digest of its snapshot, and the digests of the shards of each group that differs.
    Differences {
        /// The round that it answers.
        round: u32,
        /// Of the provider's snapshot.
        digest: u64,
        /// The groups that differ.
        groups: Vec<ShardDigests>,
    },
    /// From the receiver: what is missing of these shards.
    Request {
        /// The round.
        round: u32,
        /// Numbers the requests of the round.
        chunk: u32,
        /// What is asked for.
        shards: Vec<ShardRequest>,
    },
    /// From the provider: the items that are missing, up to `stopped`, or all where it is `None`.
    Chunk {
        /// The round.
        round: u32,
        /// The request that it answers.
        chunk: u32,
        /// The missing items.
        items: Vec<Item>,
        /// How far the chunk goes.
        stopped: Option<Position>,
    },
}

/// The digests of the shards of one group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ShardDigests {
    /// The group's number.
    pub group: u8,
    /// One digest for each of its shards.
    pub digests: Vec<u32>,
}

/// A position within a shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Position {
    /// The shard.
    pub shard: ShardId,
    /// Behind this key; at the shard's beginning where it is `None`.
    pub after: Option<ItemKey>,
}

/// What the receiver wants of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ShardRequest {
    /// From there on.
    pub from: Position,
    /// Fingerprints of the items that the receiver has from there on.
    pub fingerprints: Vec<u32>,
}
