//! Load summaries among proxies, free of I/O: what each sees of a backend becomes a bounded summary, summaries go by
//! update to a few others at a time, merge item by item, fade, and are not passed on for ever. There is no collector:
//! whoever is lost takes along only what it alone knew. `docs/load.md` weighs the options.
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod gossip;
pub mod observation;
pub mod summaries;
pub mod weight;
