//! Types shared by front ends and the decision module: events, actions and their parts.
//!
//! All times are durations since the start of the clock of the events, which all gateways share.

mod action;
mod backend;
mod event;
mod ids;
mod invocation;
mod settings;

pub use self::action::{Action, RejectReason};
pub use self::backend::{BackendEntry, Health, ListForm};
pub use self::event::Event;
pub use self::ids::{
    AttemptNumber, BackendId, CustomerId, GatewayId, InvocationId, OperationId, PlanId,
};
pub use self::invocation::{Admitted, Invocation, Outcome, PeersAdmitted, Report};
pub use self::settings::{
    Counter, Discovery, Group, InForce, Limits, Operation, Plan, Repeat, Settings,
};
pub use crate::rules::handover::Carry;
