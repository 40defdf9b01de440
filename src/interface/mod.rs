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
pub use self::backend::{BackendEntry, Health, ListUpdate};
pub use self::event::Event;
pub use self::ids::{
    AttemptNumber, BackendId, CustomerId, GatewayId, InvocationId, OperationId, PlanId,
};
pub use self::invocation::{AdmittedUnits, Invocation, LoadReport, Outcome, PeerUnits};
pub use self::settings::{
    CounterSettings, DeduplicationGroup, Discovery, InForce, InvocationLimits, Operation, Plan,
    RepeatMode, Settings,
};
pub use crate::rules::handover::HandoverState;
