//! Mirroring of a share of the live requests to a trial service, free of I/O: the selection of callers, which is the
//! same at every proxy; the budget; the completeness of each caller's session; and the comparison of trial and real
//! answers. `docs/copies.md` describes the design.
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod budget;
pub mod selection;
pub mod sessions;
