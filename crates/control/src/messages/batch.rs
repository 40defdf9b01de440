//! Splits lists of items into messages of bounded size, so that a long list does not delay other messages on the same
//! connection.

use super::Message;
use crate::config::Item;

/// The maximum size of the items in one message, in bytes. A larger item is sent in a message of its own.
pub const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Splits a list of items into chunks of at most [`MAX_CHUNK_BYTES`] each; a larger item is a chunk of its own.
pub fn split_items(items: Vec<Item>) -> Vec<Vec<Item>> {
    let mut chunks: Vec<Vec<Item>> = Vec::new();
    let mut bytes = 0;
    for item in items {
        bytes += item.wire_bytes();
        match chunks.last_mut() {
            Some(chunk) if bytes <= MAX_CHUNK_BYTES => chunk.push(item),
            _ => {
                bytes = item.wire_bytes();
                chunks.push(vec![item]);
            }
        }
    }
    chunks
}

impl Message {
    /// Returns the `Committed` messages for a list of items. There is at least one message, and only the last one has
    /// the given value of `complete`.
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
