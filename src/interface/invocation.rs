//! Invocations, how their attempts end, and what is admitted of them.

use std::time::Duration;

use super::{CustomerId, GatewayId, InvocationId, OperationId, PlanId};

/// A client's try, as it came in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Invocation {
    /// Its name.
    pub id: InvocationId,
    /// When this try's client stops waiting.
    pub deadline: Duration,
    /// What it asks for.
    pub operation: OperationId,
    /// Its customer's plan.
    pub plan: PlanId,
    /// Whose it is.
    pub customer: CustomerId,
    /// Units of the quota that it takes.
    pub units: f64,
    /// The first of the gateways at which its customer's invocations come in.
    pub first_gateway: GatewayId,
    /// How many these are; 0: all.
    pub spread: u32,
    /// It changes something.
    pub write: bool,
    /// Its client has tried before.
    pub repeat: bool,
    /// Its body still comes: no client's time runs until its event `BodyComplete`.
    pub body_pending: bool,
}

/// How an attempt or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Ok,
    /// It was answered with an error, after it may have run.
    Failed,
    /// It was refused for want of room.
    Full,
    /// No answer came in time.
    TimedOut,
    /// No connection came up.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// It was cancelled by an action.
    Canceled,
    /// It was not sent.
    Ignored,
}

impl Outcome {
    /// The far side proves that nothing was done.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Ignored)
    }
}

/// Values of a load report, in the order that the front end was told; empty where none came.
pub type Report = Vec<f64>;

/// Units admitted by this gateway under one of the counter's names.
#[derive(Clone, Debug, PartialEq)]
pub struct Admitted {
    /// Whose they are.
    pub customer: CustomerId,
    /// The slot in which they were admitted.
    pub slot: u64,
    /// The counter's name for both.
    pub name: String,
    /// The units.
    pub units: f64,
}

/// Units admitted by all other gateways under one of the counter's names.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersAdmitted {
    /// Whose they are.
    pub customer: CustomerId,
    /// The slot in which they were admitted.
    pub slot: u64,
    /// The units.
    pub units: f64,
    /// Up to when all of them have reported; `None` where one has been silent.
    pub complete_until: Option<Duration>,
}
