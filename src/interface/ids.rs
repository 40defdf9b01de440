//! Names of things.

use std::sync::Arc;

/// An invocation, as named by the front end; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InvocationId(pub u64);

/// A backend; the same at every gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u32);

/// A customer's name.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub Arc<str>);

/// Position of an operation in [`Settings::operations`](super::Settings::operations).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationId(pub usize);

/// Position of a plan in [`Settings::plans`](super::Settings::plans).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanId(pub usize);

/// Number of an attempt within its invocation, from 0 in the order sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);

/// A gateway's number among its siblings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatewayId(pub u32);
