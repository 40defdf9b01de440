//! What a front end and the decision module say to each other: events, actions and what they are made of. Types only.
//!
//! All times are spans since the start of the clock that the events carry; gateways share it.

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
