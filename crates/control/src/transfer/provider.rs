//! The provider's side: answers each message from the current snapshot.

use std::collections::HashSet;

use super::shorten;
use crate::config::{ConfigSnapshot, GROUP_COUNT, Item};
use crate::messages::{MAX_CHUNK_BYTES, Position, ShardDigests, ShardRequest, TransferMessage};

/// Returns the answer to a receiver's message, or `None` if the message is one that a provider sends.
pub fn answer_message(
    snapshot: &ConfigSnapshot,
    message: &TransferMessage,
) -> Option<TransferMessage> {
    match message {
        TransferMessage::Compare {
            round,
            group_digests,
        } => Some(differences(snapshot, *round, group_digests)),
        TransferMessage::Request {
            round,
            chunk,
            shards,
        } => {
            let (items, resume_at) = missing_items(snapshot, *round, shards);
            Some(TransferMessage::Chunk {
                round: *round,
                chunk: *chunk,
                items,
                resume_at,
            })
        }
        TransferMessage::Differences { .. } | TransferMessage::Chunk { .. } => None,
    }
}

fn differences(snapshot: &ConfigSnapshot, round: u32, receiver_digests: &[u32]) -> TransferMessage {
    let index = snapshot.index();
    let own = index.group_digests();
    let differs =
        |group: &usize| receiver_digests.get(*group) != Some(&shorten(own[*group], round));
    let digests = |group: usize| ShardDigests {
        group: group as u8,
        digests: index
            .shard_digests(group)
            .map(|digest| shorten(digest, round))
            .collect(),
    };
    TransferMessage::Differences {
        round,
        digest: snapshot.digest(),
        groups: (0..GROUP_COUNT).filter(differs).map(digests).collect(),
    }
}

/// Returns as many of the missing items as fit into one chunk, and the position where they stop if some are left. The first
/// item is included even if it exceeds [`MAX_CHUNK_BYTES`] by itself.
fn missing_items(
    snapshot: &ConfigSnapshot,
    round: u32,
    shards: &[ShardRequest],
) -> (Vec<Item>, Option<Position>) {
    let mut items = Vec::new();
    let mut bytes = 0;
    for ShardRequest { from, fingerprints } in shards {
        let known: HashSet<u32> = fingerprints.iter().copied().collect();
        let is_missing = |item: &&Item| !known.contains(&shorten(item.fingerprint(), round));
        let mut after = from.after.as_ref();
        for key in snapshot.index().keys(from.shard, from.after.as_ref()) {
            if let Some(item) = snapshot.get(key).filter(is_missing) {
                bytes += item.wire_bytes();
                if bytes > MAX_CHUNK_BYTES && !items.is_empty() {
                    let resume_at = Position {
                        shard: from.shard,
                        after: after.cloned(),
                    };
                    return (items, Some(resume_at));
                }
                items.push(item.clone());
            }
            after = Some(key);
        }
    }
    (items, None)
}
