//! Tools for operators: check settings and configuration calls before use, query a running system, read the disk of a
//! stopped configuration store, and merge the log lines of all machines that mention one request or item.
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
