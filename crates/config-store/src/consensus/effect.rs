//! What the caller of the replica has to do for it.

use std::hash::{Hash, Hasher};

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::Item;
use damsonbeam_control::messages::{CommandReply, Message, encode};

use super::DurableWrite;

/// An effect of a call to the replica. All writes of a call must be on disk before any of its messages is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write to disk, and sync.
    Persist(DurableWrite),
    /// Send a message to the store of one machine.
    Send(Ip, Message),
    /// Send a message to all other stores.
    Broadcast(Message),
    /// Answer the command that the caller submitted under this number.
    Reply(u64, CommandReply),
    /// Items have become known to be committed: tell the registry.
    Committed(Vec<Item>),
}

impl Hash for Effect {
    /// Messages hold floating-point numbers, which have no hash: they go by their bytes.
    fn hash<H: Hasher>(&self, state: &mut H) {
        match self {
            Effect::Persist(write) => write.hash(state),
            Effect::Send(to, message) => (to, encode(message)).hash(state),
            Effect::Broadcast(message) => encode(message).hash(state),
            Effect::Reply(number, reply) => (number, reply).hash(state),
            Effect::Committed(items) => items.hash(state),
        }
    }
}
