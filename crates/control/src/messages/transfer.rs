//! The messages with which a proxy synchronizes its configuration with a registry's; see `crate::transfer` for their
//! order.

use bitcode::{Decode, Encode};

use crate::config::{Item, ItemKey, ShardId};

/// A message between the receiver, which lacks items, and the provider, which has them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum TransferMessage {
    /// From the receiver: starts a round by comparing digests.
    Compare {
        /// The number of the receiver's round.
        round: u32,
        /// The receiver's digest of each group of shards.
        group_digests: Vec<u32>,
    },
    /// From the provider: the digest of its snapshot, and the shard digests of each group that differs.
    Differences {
        /// The round of the `Compare` message.
        round: u32,
        /// The digest of the provider's snapshot.
        digest: u64,
        /// The shard digests of the groups that differ.
        groups: Vec<ShardDigests>,
    },
    /// From the receiver: requests the missing items of some shards.
    Request {
        /// The round.
        round: u32,
        /// The number of the request in the round.
        chunk: u32,
        /// The requested shards.
        shards: Vec<ShardRequest>,
    },
    /// From the provider: the missing items of the requested shards, up to the position `stopped`.
    Chunk {
        /// The round.
        round: u32,
        /// The number of the request.
        chunk: u32,
        /// The missing items.
        items: Vec<Item>,
        /// The position up to which the chunk is complete; `None` if it is complete for all requested shards.
        resume_at: Option<Position>,
    },
}

/// The digests of the shards of one group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ShardDigests {
    /// The number of the group.
    pub group: u8,
    /// The digest of each shard in the group.
    pub digests: Vec<u32>,
}

/// A position within a shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Position {
    /// The shard.
    pub shard: ShardId,
    /// The key after which the position is; `None` means the start of the shard.
    pub after: Option<ItemKey>,
}

/// The receiver's request for one shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ShardRequest {
    /// The position from which on items are requested.
    pub from: Position,
    /// The fingerprints of the items that the receiver has from this position on.
    pub fingerprints: Vec<u32>,
}
