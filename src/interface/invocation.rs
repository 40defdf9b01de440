//! Invocations, the outcomes of their attempts, and admitted units.

use std::time::Duration;

use super::{CustomerId, GatewayId, InvocationId, OperationId, PlanId};

/// An invocation by a client. A retry by the client is another invocation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Invocation {
    /// Identifier of the invocation.
    pub id: InvocationId,
    /// Time at which the client stops waiting for this invocation.
    pub deadline: Duration,
    /// The invoked operation.
    pub operation: OperationId,
    /// The plan of the customer.
    pub plan: PlanId,
    /// The customer.
    pub customer: CustomerId,
    /// Units of the quota that the invocation uses.
    pub units: f64,
    /// The first of the gateways that receive the customer's invocations.
    pub first_gateway: GatewayId,
    /// Number of gateways that receive the customer's invocations; 0 for all.
    pub gateway_count: u32,
    /// Whether the invocation changes data.
    pub is_mutating: bool,
    /// Whether the client has tried before.
    pub is_retry: bool,
    /// Whether the request body is still arriving. The client's deadline applies only after the
    /// event `BodyComplete`.
    pub body_pending: bool,
}

/// Outcome of an attempt or call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call succeeded.
    Ok,
    /// The call was answered with an error and may have run.
    Failed,
    /// The call was refused for lack of capacity and has not run.
    Full,
    /// No answer arrived in time.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection was reset.
    Reset,
    /// The call was canceled by an action.
    Canceled,
    /// The call was not sent.
    Ignored,
}

impl Outcome {
    /// Returns whether the outcome proves that nothing was executed.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Ignored)
    }
}

/// Values of a load report, in the order configured at the front end. Empty if there is none.
pub type LoadReport = Vec<f64>;

/// Units that this gateway has admitted under one counter name.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmittedUnits {
    /// The customer that used the units.
    pub customer: CustomerId,
    /// The slot in which the units were admitted.
    pub slot: u64,
    /// The counter name for the customer and the slot.
    pub name: String,
    /// The admitted units.
    pub units: f64,
}

/// Units that all other gateways have admitted under one counter name.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerUnits {
    /// The customer that used the units.
    pub customer: CustomerId,
    /// The slot in which the units were admitted.
    pub slot: u64,
    /// The admitted units.
    pub units: f64,
    /// Time up to which all other gateways have reported; `None` if one of them has not reported.
    pub complete_until: Option<Duration>,
}
