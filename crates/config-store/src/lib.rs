//! The configuration store: replicas on the core machines that agree upon the items of the configuration and keep them on
//! disk. It is not for outside calls, which the registry on the same machine takes and hands on.
//!
//! In reading order:
//!
//! - [`consensus`]: the replica's state machine, free of I/O
//! - [`disk`]: what a replica keeps, in a file
//! - [`process`]: one store process, which owns the disk and the connections and carries out the replica's effects
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod consensus;
pub mod disk;
pub mod process;
