//! Load reports between proxies, free of I/O. Each proxy summarizes its observations of a backend in a record of
//! bounded size and gossips summaries with a few other proxies at a time. Receivers merge summaries item by item,
//! weight them by age and forward them a limited number of times. There is no central collector: the loss of a proxy
//! loses only what that proxy alone had observed. `docs/load.md` compares the design options.
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod gossip;
pub mod observation;
pub mod summaries;
pub mod weight;
