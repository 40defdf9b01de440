//! Actions that the decision module returns.

use std::time::Duration;

use super::{AttemptNumber, BackendId, GatewayId, HandoverState, InvocationId};

/// An action that the front end carries out at once.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt of an invocation to a backend.
    SendAttempt {
        /// The invocation.
        invocation_id: InvocationId,
        /// The backend that gets the attempt.
        backend_id: BackendId,
        /// Time after which the attempt times out; `None` if only the deadline of the invocation
        /// applies.
        timeout: Option<Duration>,
    },
    /// Cancels an attempt.
    CancelAttempt {
        /// The invocation of the attempt.
        invocation_id: InvocationId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// Sends the final answer that the invocation was throttled: it had no effect and may be
    /// retried.
    Throttle {
        /// The invocation that is answered.
        invocation_id: InvocationId,
        /// The delay after which the client should retry; `None` for no such advice.
        retry_after: Option<Duration>,
        /// The reason, for logs and metrics.
        reason: RejectReason,
    },
    /// Sends an error as the final answer.
    Fail {
        /// The invocation that is answered.
        invocation_id: InvocationId,
    },
    /// Requests a timer event.
    SetTimer {
        /// The delay until the event.
        after: Duration,
        /// Returned with the event.
        token: String,
    },
    /// Adds units on the shared counter and reads the total.
    AddToCounter {
        /// The counter name.
        name: String,
        /// Units to add; 0 only reads the total.
        units: f64,
        /// Retention of the name by the counter.
        retention: Duration,
    },
    /// Probes a backend.
    Probe {
        /// The backend.
        backend_id: BackendId,
    },
    /// Closes the idle connections to a backend.
    CloseIdleConnections {
        /// The backend.
        backend_id: BackendId,
    },
    /// Sends a message to other gateways.
    SendToPeers {
        /// The receiver; `None` for all other gateways.
        to: Option<GatewayId>,
        /// The content of the message.
        bytes: Vec<u8>,
    },
    /// Starts or stops watching the list of backends.
    WatchBackendList {
        /// Whether to watch the list.
        on: bool,
    },
    /// Requests the full list of backends.
    FetchBackendList,
    /// Logs a line.
    Log {
        /// The text of the line.
        text: String,
    },
    /// Hands the state over to the successor process.
    HandOver(Box<HandoverState>),
}

/// Reason for rejecting an invocation, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The units in the window exceed the quota.
    Quota,
    /// The window is known to be full, so that the counter was not called.
    WindowFull,
    /// The queue is too long, or answers take too long.
    QueueTooLong,
    /// The invocation was queued until an answer in time was no longer likely.
    QueueTimeout,
    /// The client's deadline has been reached.
    DeadlineReached,
    /// The budget of the plan's ceiling is used up.
    Ceiling,
    /// The attempts failed and no further one can succeed.
    AttemptsExhausted,
}

impl RejectReason {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Quota => "quota",
            Self::WindowFull => "full",
            Self::QueueTooLong => "line",
            Self::QueueTimeout => "waited",
            Self::DeadlineReached => "time",
            Self::Ceiling => "ceiling",
            Self::AttemptsExhausted => "gave_up",
        }
    }
}
