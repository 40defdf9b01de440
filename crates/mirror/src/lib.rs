//! Copies of a chosen share of live requests, free of I/O: which callers are copied, the same at every proxy; within which
//! budget; what became of each caller's session; how trial and real answers differ. `docs/copies.md` has the design.
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod budget;
pub mod selection;
pub mod sessions;
