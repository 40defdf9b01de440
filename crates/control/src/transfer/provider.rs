//! The side that has the items: each message is answered from the snapshot as it is now.

use std::collections::HashSet;

use super::{CHUNK_BYTES, GroupSums, PartRequest, Position, TransferMessage, shorten};
use crate::items::{ConfigSnapshot, Item, mark};
use crate::part_index::GROUPS;

/// The answer to a receiver's message; none to a provider's.
pub fn answer(snapshot: &ConfigSnapshot, message: &TransferMessage) -> Option<TransferMessage> {
    match message {
        TransferMessage::Compare { round, group_sums } => {
            Some(differences(snapshot, *round, group_sums))
        }
        TransferMessage::Request {
            round,
            chunk,
            parts,
        } => {
            let (items, stopped) = missing_items(snapshot, *round, parts);
            Some(TransferMessage::Chunk {
                round: *round,
                chunk: *chunk,
                items,
                stopped,
            })
        }
        TransferMessage::Differences { .. } | TransferMessage::Chunk { .. } => None,
    }
}

/// Cuts a list of items into pieces of at most [`CHUNK_BYTES`] each.
pub fn split_items(items: Vec<Item>) -> Vec<Vec<Item>> {
    let mut pieces: Vec<Vec<Item>> = Vec::new();
    let mut bytes = 0;
    for item in items {
        bytes += item.wire_bytes();
        match pieces.last_mut() {
            Some(piece) if bytes <= CHUNK_BYTES => piece.push(item),
            _ => {
                bytes = item.wire_bytes();
                pieces.push(vec![item]);
            }
        }
    }
    pieces
}

fn differences(snapshot: &ConfigSnapshot, round: u32, theirs: &[u32]) -> TransferMessage {
    let ours = snapshot.index().group_sums();
    let differs = |group: &usize| theirs.get(*group) != Some(&shorten(ours[*group], round));
    let sums = |group: usize| GroupSums {
        group: group as u8,
        part_sums: snapshot
            .index()
            .part_sums(group)
            .map(|sum| shorten(sum, round))
            .collect(),
    };
    let groups = (0..GROUPS).filter(differs).map(sums).collect();
    TransferMessage::Differences {
        round,
        digest: snapshot.digest(),
        groups,
    }
}

fn missing_items(
    snapshot: &ConfigSnapshot,
    round: u32,
    parts: &[PartRequest],
) -> (Vec<Item>, Option<Position>) {
    let mut items = Vec::new();
    let mut bytes = 0;
    for PartRequest { from, marks } in parts {
        let held: HashSet<u32> = marks.iter().copied().collect();
        let mut after = from.after.as_ref();
        for key in snapshot.index().keys(from.part, from.after.as_ref()) {
            let missing = snapshot
                .get(key)
                .filter(|item| !held.contains(&shorten(mark(item), round)));
            if let Some(item) = missing {
                bytes += item.wire_bytes();
                if bytes > CHUNK_BYTES && !items.is_empty() {
                    return (
                        items,
                        Some(Position {
                            part: from.part,
                            after: after.cloned(),
                        }),
                    );
                }
                items.push(item.clone());
            }
            after = Some(key);
        }
    }
    (items, None)
}
