//! The actions that the caller has to execute for the replica.

use std::hash::{Hash, Hasher};

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::Item;
use damsonbeam_control::messages::{Command, CommandReply, Message, encode};

use super::{DurableWrite, Event};

/// An effect of a call to the replica. All writes of a call must be on disk before any of its messages is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write to disk and sync.
    Persist(DurableWrite),
    /// Send a message to the store on one machine.
    Send(Ip, Message),
    /// Send a message to all other stores.
    Broadcast(Message),
    /// Reply to the command that the caller submitted under this number.
    Reply(u64, CommandReply),
    /// Ask the registry whether the caller of this command still waits, and submit the command again if so.
    Reconfirm(u64, Command),
    /// Send newly committed items to the registry.
    Committed(Vec<Item>),
    /// Write a line to the log.
    Log(Event),
}

impl Hash for Effect {
    /// Hashes messages by their encoding, because they contain floating-point numbers, which don't implement [`Hash`].
    fn hash<H: Hasher>(&self, state: &mut H) {
        match self {
            Effect::Persist(write) => write.hash(state),
            Effect::Send(to, message) => (to, encode(message)).hash(state),
            Effect::Broadcast(message) => encode(message).hash(state),
            Effect::Reply(number, reply) => (number, reply).hash(state),
            Effect::Reconfirm(number, command) => (number, command).hash(state),
            Effect::Committed(items) => items.hash(state),
            Effect::Log(event) => event.hash(state),
        }
    }
}
