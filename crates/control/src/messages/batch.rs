//! Many items in messages of bounded size, so that none holds up the others on its connection for long.

use super::Message;
use crate::config::Item;

/// Bytes of items in one message at most; an item that is larger goes alone.
pub const CHUNK_BYTES: usize = 64 << 10;

/// Cuts a list of items into chunks of at most [`CHUNK_BYTES`] each.
pub fn split_items(items: Vec<Item>) -> Vec<Vec<Item>> {
    let mut chunks: Vec<Vec<Item>> = Vec::new();
    let mut bytes = 0;
    for item in items {
        bytes += item.wire_bytes();
        match chunks.last_mut() {
            Some(chunk) if bytes <= CHUNK_BYTES => chunk.push(item),
            _ => {
                bytes = item.wire_bytes();
                chunks.push(vec![item]);
            }
        }
    }
    chunks
}

impl Message {
    /// Committed items for a registry: at least one message, of which the last says whether these are all.
    pub fn committed(items: Vec<Item>, complete: bool) -> Vec<Message> {
        let mut chunks = split_items(items);
        let last = chunks.pop().unwrap_or_default();
        let mut messages: Vec<Message> = Vec::with_capacity(chunks.len() + 1);
        for items in chunks {
            let complete = false;
            messages.push(Message::Committed { items, complete });
        }
        messages.push(Message::Committed {
            items: last,
            complete,
        });
        messages
    }
}
