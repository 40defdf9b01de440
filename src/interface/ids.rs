//! Identifiers.

use std::sync::Arc;

/// Identifier of an invocation, assigned by the front end and never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InvocationId(pub u64);

/// Identifier of a backend, equal at all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u32);

/// Name of a customer.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub Arc<str>);

/// Position of an operation in [`Settings::operations`](super::Settings::operations).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationId(pub usize);

/// Position of a plan in [`Settings::plans`](super::Settings::plans).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanId(pub usize);

/// Number of an attempt within its invocation, counted from 0 in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);

/// Number of a gateway within the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatewayId(pub u32);
