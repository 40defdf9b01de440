//! Events that the decision module handles.

use std::sync::Arc;
use std::time::Duration;

use super::{
    AttemptNumber, BackendEntry, BackendId, GatewayId, HandoverState, Invocation, InvocationId,
    ListUpdate, LoadReport, Outcome, PeerUnits, Settings,
};

/// An event, as reported by the front end.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A list of backends.
    BackendList {
        /// How the list is applied.
        form: ListUpdate,
        /// The entries of the list.
        entries: Arc<[BackendEntry]>,
    },
    /// An invocation arrived.
    Invocation(Invocation),
    /// The first byte of a streamed answer was sent to the client.
    FirstByte {
        /// The invocation that is answered.
        invocation_id: InvocationId,
        /// The attempt that is answered.
        attempt: AttemptNumber,
        /// The backend.
        backend_id: BackendId,
        /// Time since the attempt was sent.
        latency: Duration,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The invocation of the attempt.
        invocation_id: InvocationId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The backend.
        backend_id: BackendId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time since the attempt was sent.
        latency: Duration,
        /// Whether the invocation is finished. If not, a final answer is still due.
        is_finished: bool,
        /// The customer's use over all gateways in the last metered period, as a fraction of its
        /// rate.
        metered_use: Option<f64>,
        /// Actual units of the invocation, if the settings declare the units at arrival an
        /// estimate.
        actual_units: Option<f64>,
        /// The load report of the backend.
        report: LoadReport,
    },
    /// The client has disconnected.
    ClientDisconnected {
        /// The invocation of the client.
        invocation_id: InvocationId,
    },
    /// The last byte of a request body arrived. The time limits of the invocation start now.
    BodyComplete {
        /// The invocation of the body.
        invocation_id: InvocationId,
        /// Deadline of the client.
        deadline: Duration,
    },
    /// Part of the request body is no longer available, so that no further attempt can send it.
    BodyConsumed {
        /// The invocation of the body.
        invocation_id: InvocationId,
    },
    /// New settings, derived from the previous ones by [`Settings::updated_with`].
    Settings(Box<Settings>),
    /// A successor process takes over. [`Action::HandOver`](super::Action::HandOver) follows.
    HandOver,
    /// The successor process has ended, and this process continues.
    Resume,
    /// The state of the predecessor process. This event precedes the first
    /// invocation.
    TakeOver(Box<HandoverState>),
    /// The timer that an action requested has fired.
    TimerFired {
        /// The token of the action.
        token: String,
    },
    /// A probe ended.
    ProbeEnded {
        /// The backend.
        backend_id: BackendId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time since the probe was sent.
        latency: Duration,
        /// The load report of the backend.
        report: LoadReport,
    },
    /// A message from another gateway.
    PeerMessage {
        /// The sender.
        from: GatewayId,
        /// The content of the message.
        bytes: Vec<u8>,
    },
    /// The outcome of a counter call.
    CounterTotal {
        /// The counter name of the call.
        name: String,
        /// How the call ended.
        outcome: Outcome,
        /// The total after the units of the call were added.
        total: f64,
        /// The part of `total` that other gateways report as admitted; 0 without reports.
        peer_units: f64,
        /// Time since the call was sent.
        latency: Duration,
    },
    /// Units that the other gateways report as admitted, under names returned by
    /// [`crate::Rules::admitted_units`].
    PeerUnits(Vec<PeerUnits>),
}
