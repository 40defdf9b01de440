//! What staff do besides running the three programs: check files before anything starts, ask a live system how it
//! stands, read a store's disk, and join the logs of all machines into the account of one thing.
#![warn(clippy::too_many_lines, unreachable_pub)]

mod account;
mod error;
pub mod explain;
mod files;
mod live;
pub mod mirror;
mod stores;

pub use account::account;
pub use error::CtlError;
pub use files::{check_calls, check_settings};
pub use live::{loads, state};
pub use stores::{export_store, show_store, verify_store};
