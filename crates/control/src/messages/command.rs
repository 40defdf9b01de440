//! Operators' commands to the configuration store, and its replies.

use bitcode::{Decode, Encode};

use crate::config::{ConfigChange, InvalidConfig, Item};

/// An operator's command to the configuration store.
#[derive(Clone, Debug, PartialEq, Hash, Encode, Decode)]
pub enum Command {
    /// Sets and removes items.
    Change(ConfigChange),
    /// Takes a zone out of service, or returns the zone to service.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether the zone is to be out of service.
        evacuated: bool,
    },
    /// Reads all items.
    Read,
}

/// The store's reply to a command.
#[derive(Clone, Debug, PartialEq, Hash, Encode, Decode)]
pub enum CommandReply {
    /// The change was committed by a majority.
    Done,
    /// The requested items.
    Config(Vec<Item>),
    /// The command is invalid, for the given reason.
    Invalid(String),
    /// Too few replicas are reachable, or the command timed out. The caller may retry at this or another machine.
    Unavailable(String),
}

impl From<InvalidConfig> for CommandReply {
    fn from(error: InvalidConfig) -> Self {
        CommandReply::Invalid(error.to_string())
    }
}
