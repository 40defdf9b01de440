//! Catching up with a snapshot of items in messages of bounded size, free of I/O.
//!
//! The receiver drives. It sends the digests of its groups of shards ([`TransferMessage::Compare`]); the provider answers
//! with the digests of the shards of those that differ ([`TransferMessage::Differences`]). The receiver then asks for the
//! shards that differ, with fingerprints of the items that it has ([`TransferMessage::Request`]), and the provider answers
//! each request with one chunk of the items missing there ([`TransferMessage::Chunk`]), at most [`CHUNK_BYTES`] of them.
//!
//! - Pacing: at most [`CHUNKS_IN_FLIGHT`] requests are unanswered; a chunk received is the permission for another.
//! - Resuming: what was received stays in the receiver's snapshot, and the next comparison, with the same provider or
//!   another, leaves it out. The provider keeps no state between messages.
//! - A chunk that comes twice, late, or in another order than its request changes nothing: requests are numbered
//!   within a round, rounds within a receiver.
//! - Changes at the provider during a round are in the chunks sent afterwards, or found by the next comparison.
//!
//! [`TransferMessage::Compare`]: crate::messages::TransferMessage::Compare
//! [`TransferMessage::Differences`]: crate::messages::TransferMessage::Differences
//! [`TransferMessage::Request`]: crate::messages::TransferMessage::Request
//! [`TransferMessage::Chunk`]: crate::messages::TransferMessage::Chunk
//! [`CHUNK_BYTES`]: crate::messages::CHUNK_BYTES

mod provider;
mod receiver;

pub use provider::answer;
pub use receiver::{Received, Receiver};

/// Chunks asked for and not received at most: what other messages on the connection may have to wait for.
pub const CHUNKS_IN_FLIGHT: usize = 4;

/// 32 bits of a digest or fingerprint. Each round has others, so that two which are alike by chance differ in the next.
fn shorten(hash: u64, round: u32) -> u32 {
    const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
    let spread = (hash ^ u64::from(round)).wrapping_mul(GOLDEN_RATIO);
    (spread >> 32) as u32
}
