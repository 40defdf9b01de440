//! A gateway's admin interface for operators: readiness, metrics, evacuation and rejoin.
//!
//! This crate doesn't depend on clients, backends or the decision module. It shares with the serving thread only the
//! [`Metrics`], the readiness of the process and a mailbox for [`Order`]s. It runs on its own thread, so that callers
//! get a response within their timeout of 1 s however busy the serving thread is, and so that calls cost the serving
//! thread only the processor time that the scheduler gives to the admin thread.
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod calls;
pub mod metrics;

pub use calls::{Admin, Order, OrderRequest};
pub use metrics::Metrics;
pub use prometheus::IntCounter;
