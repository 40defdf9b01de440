//! Events for the log: where the items that a replica proposes come from, and which commands it rejects.

use std::fmt;
use std::time::Duration;

use damsonbeam_control::address::{Ip, ip_addr};
use damsonbeam_control::config::Item;

use super::command::Requester;

/// The maximum number of items named in one line.
const MAX_ITEMS_NAMED: usize = 8;

/// The process that a command came from.
#[derive(Clone, Copy, Debug, PartialEq, Hash)]
pub enum CommandOrigin {
    /// The registry on this machine.
    LocalRegistry,
    /// Another replica, which forwarded the command.
    Replica(Ip),
}

impl From<Requester> for CommandOrigin {
    fn from(requester: Requester) -> Self {
        match requester {
            Requester::Local { .. } => CommandOrigin::LocalRegistry,
            Requester::Remote { ip, .. } => CommandOrigin::Replica(ip),
        }
    }
}

impl fmt::Display for CommandOrigin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandOrigin::LocalRegistry => formatter.write_str("the local registry"),
            CommandOrigin::Replica(ip) => write!(formatter, "{}", ip_addr(*ip)),
        }
    }
}

/// An event of a round at its proposer.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Event {
    /// The items of a command are proposed.
    CommandApplied {
        /// Where the command came from.
        origin: CommandOrigin,
        /// The time since this replica received the command.
        age: Duration,
        /// The changed items.
        items: Vec<Item>,
    },
    /// A command is not applied, because an item of it was written after its caller was last known to wait.
    CommandOutdated {
        /// Where the command came from.
        origin: CommandOrigin,
        /// The items as they are now.
        items: Vec<Item>,
    },
    /// A command is rejected.
    CommandRejected {
        /// Where the command came from.
        origin: CommandOrigin,
        /// The reason.
        reason: String,
    },
    /// Items that an earlier round left uncommitted are proposed again.
    ItemsRecovered(Vec<Item>),
    /// Items that an earlier round left uncommitted conflict with others and are not proposed again.
    ItemsReverted(Vec<Item>),
}

impl fmt::Display for Event {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::CommandApplied { origin, age, items } => {
                let age_ms = age.as_millis();
                let items = describe_items(items);
                write!(
                    formatter,
                    "applied a command of {origin}, received {age_ms} ms ago: {items}"
                )
            }
            Event::CommandOutdated { origin, items } => {
                let items = describe_items(items);
                write!(
                    formatter,
                    "did not apply a command of {origin}, because others wrote its items since: {items}"
                )
            }
            Event::CommandRejected { origin, reason } => {
                write!(formatter, "rejected a command of {origin}: {reason}")
            }
            Event::ItemsRecovered(items) => {
                let items = describe_items(items);
                write!(formatter, "recovered uncommitted items: {items}")
            }
            Event::ItemsReverted(items) => {
                let items = describe_items(items);
                write!(formatter, "reverted uncommitted items: {items}")
            }
        }
    }
}

/// Formats items by name and version, at most eight of them.
pub fn describe_items(items: &[Item]) -> String {
    let describe = |item: &Item| format!("{} r{}", item.key.name, item.version);
    let named: Vec<String> = items.iter().take(MAX_ITEMS_NAMED).map(describe).collect();
    let mut text = named.join(", ");
    if items.len() > MAX_ITEMS_NAMED {
        text += &format!(" and {} more", items.len() - MAX_ITEMS_NAMED);
    }
    text
}
