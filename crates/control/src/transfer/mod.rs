//! Catching up with a snapshot of items in messages of bounded size, free of I/O.
//!
//! The receiver drives. It sends the sums of its groups of parts ([`TransferMessage::Compare`]); the provider answers
//! with the sums below those that differ ([`TransferMessage::Differences`]). The receiver then asks for the parts that
//! differ, telling marks of the items that it has ([`TransferMessage::Request`]), and the provider answers each
//! request with one chunk of the items missing there ([`TransferMessage::Chunk`]), at most [`CHUNK_BYTES`] of them.
//!
//! - Pacing: at most [`CHUNKS_IN_FLIGHT`] requests are unanswered; a chunk received is the permission for another.
//! - Resuming: what was received stays in the receiver's snapshot, and the next comparison, with the same provider or
//!   another, leaves it out. The provider keeps no state between messages.
//! - A chunk that comes twice, late, or in another order than its request changes nothing: requests are numbered
//!   within a round, rounds within a receiver.
//! - Changes at the provider during a round are in the chunks sent afterwards, or found by the next comparison.

mod provider;
mod receiver;

pub use provider::{answer, split_items};
pub use receiver::{Received, Receiver};

use bitcode::{Decode, Encode};

use crate::items::{Item, Key};
use crate::part_index::PartId;

/// Bytes of items in a chunk at most; an item that is larger goes alone.
pub const CHUNK_BYTES: usize = 64 << 10;
/// Chunks asked for and not received at most: what other messages on the connection may have to wait for.
pub const CHUNKS_IN_FLIGHT: usize = 4;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum TransferMessage {
    /// From the receiver: begins a round.
    Compare { round: u32, group_sums: Vec<u32> },
    /// From the provider: the digest of its snapshot, and the sums of the parts of each group that differs.
    Differences {
        round: u32,
        digest: u64,
        groups: Vec<GroupSums>,
    },
    /// From the receiver: what is missing of these parts.
    Request {
        round: u32,
        chunk: u32,
        parts: Vec<PartRequest>,
    },
    /// From the provider: the items missing, up to `stopped`, or all where it is none.
    Chunk {
        round: u32,
        chunk: u32,
        items: Vec<Item>,
        stopped: Option<Position>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct GroupSums {
    pub group: u8,
    pub part_sums: Vec<u32>,
}

/// A place within a part: behind a key, or its beginning.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Position {
    pub part: PartId,
    pub after: Option<Key>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct PartRequest {
    pub from: Position,
    /// Marks of the items that the receiver has from there on.
    pub marks: Vec<u32>,
}

/// 32 bits of a sum or a mark. Each round has others, so that two which are alike by chance differ in the next.
fn shorten(sum: u64, round: u32) -> u32 {
    let spread = (sum ^ u64::from(round)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (spread >> 32) as u32
}
