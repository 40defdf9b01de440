//! The configuration store: replicas on the core machines that agree on the items of the configuration and keep them on
//! disk. External calls go to the registry on the same machine, which forwards them to the store.
//!
//! In reading order:
//!
//! - [`consensus`]: the replica's state machine, free of I/O
//! - [`disk`]: the durable state of a replica, in a file
//! - [`process`]: a store process, which owns the disk and the connections and executes the replica's effects
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod consensus;
pub mod disk;
pub mod process;
