//! What operators command, and what came of it.

use bitcode::{Decode, Encode};

use crate::config::{ConfigChange, InvalidConfig, Item};

/// An operator's command to the configuration store.
#[derive(Clone, Debug, PartialEq, Hash, Encode, Decode)]
pub enum Command {
    /// Set and remove items.
    Change(ConfigChange),
    /// Take a zone out of service, or back in.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether it is to be out of service.
        evacuated: bool,
    },
    /// Read all items.
    Read,
}

/// The store's reply to a command.
#[derive(Clone, Debug, PartialEq, Hash, Encode, Decode)]
pub enum CommandReply {
    /// A majority has committed it.
    Done,
    /// The items that were asked for.
    Config(Vec<Item>),
    /// It is rejected, with the reason.
    Invalid(String),
    /// Too few replicas can be reached, or it took too long: the caller may try again, here or elsewhere.
    Unavailable(String),
}

impl From<InvalidConfig> for CommandReply {
    fn from(error: InvalidConfig) -> Self {
        CommandReply::Invalid(error.to_string())
    }
}
