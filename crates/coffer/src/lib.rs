//! The store of the configuration: the agreement, free of I/O, and the disk.

pub mod agree;
pub mod store;
