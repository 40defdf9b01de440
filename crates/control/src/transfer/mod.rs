//! Synchronization of a receiver with a provider's snapshot of items, in messages of bounded size. This module does no I/O.
//!
//! The receiver controls the exchange. It sends the digests of its groups of shards ([`TransferMessage::Compare`]). The
//! provider answers with the shard digests of the groups that differ ([`TransferMessage::Differences`]). The receiver then
//! requests the shards that differ, with fingerprints of the items that it has ([`TransferMessage::Request`]). The provider
//! answers each request with one chunk of the items that the receiver lacks ([`TransferMessage::Chunk`]), which has
//! [`MAX_CHUNK_BYTES`] at most.
//!
//! - Flow control: at most [`CHUNKS_IN_FLIGHT`] requests are unanswered; each chunk received permits one more request.
//! - Resumption: received items stay in the receiver's snapshot, so the next comparison, with the same provider or another
//!   one, excludes them. The provider keeps no state between messages.
//! - Duplicate, late or reordered chunks do no harm: requests are numbered within a round, and rounds within a receiver.
//! - Changes at the provider during a round are contained in the chunks sent afterwards, or found by the next comparison.
//!
//! [`TransferMessage::Compare`]: crate::messages::TransferMessage::Compare
//! [`TransferMessage::Differences`]: crate::messages::TransferMessage::Differences
//! [`TransferMessage::Request`]: crate::messages::TransferMessage::Request
//! [`TransferMessage::Chunk`]: crate::messages::TransferMessage::Chunk
//! [`MAX_CHUNK_BYTES`]: crate::messages::MAX_CHUNK_BYTES

mod provider;
mod receiver;

pub use provider::answer_message;
pub use receiver::{Received, Receiver};

/// Maximum number of chunks requested and not yet received. It bounds how long other messages on the connection wait behind
/// chunks.
pub const CHUNKS_IN_FLIGHT: usize = 4;

/// Returns 32 bits of a digest or fingerprint. The bits depend on the round, so that two hashes that collide in one round
/// differ in the next.
fn shorten(hash: u64, round: u32) -> u32 {
    const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (hash ^ u64::from(round)).wrapping_mul(GOLDEN_RATIO);
    (mixed >> 32) as u32
}
