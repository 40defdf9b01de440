//! Where operators call a gateway: whether it is ready, its figures, drain and rejoin.
//!
//! It knows nothing of clients, backends or the module. What it shares with them are the [`Figures`], counted
//! where each thing happens, whether the process is ready, and a mailbox for [`Order`]s. It runs on a thread
//! of its own, so that callers are answered within their second however busy the serving thread is, and cost
//! that thread nothing but the processor time that the system gives them.
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod calls;
pub mod figures;

pub use calls::{Admin, Asked, Order};
pub use figures::Figures;
pub use prometheus::IntCounter;
