//! The library shared by the three programs of the system: the configuration and its items, the messages between
//! processes and their connections, and the parts of the control plane that make decisions without I/O. Code used by
//! only one of the programs does not belong here.
//!
//! In reading order:
//!
//! - [`config`]: configuration items with their versions, merging and validation
//! - [`messages`]: the types that are sent or stored
//! - [`transfer`]: synchronization of a receiver with a provider's configuration snapshot
//! - [`voters`], [`lease`]: the voter set, and the election of the coordinator by the voters
//! - [`contact`]: whether a registry is in contact with a majority of the voters
//! - [`allotment`]: the share of each quota that a proxy may admit without contact to the coordinator
//! - [`membership`]: detection of which registries are alive
//! - [`settings`]: the settings file of a process
//! - [`link`]: persistent connections; [`link`], [`program`] and the reading of the settings file are the only I/O
//! - [`address`], [`json`]: wire form of addresses, and JSON parsing
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod address;
pub mod allotment;
pub mod config;
pub mod contact;
pub mod json;
pub mod lease;
pub mod link;
pub mod membership;
pub mod messages;
pub mod program;
pub mod settings;
pub mod transfer;
pub mod voters;
