//! What a gateway is to do.

use std::time::Duration;

use super::{AttemptNumber, BackendId, Carry, GatewayId, InvocationId};

/// What the front end is to carry out at once.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an invocation to a backend.
    SendAttempt {
        /// Which invocation.
        invocation_id: InvocationId,
        /// Where to.
        backend_id: BackendId,
        /// The attempt has timed out after this, where that is before the client's time is over.
        timeout: Option<Duration>,
    },
    /// Gives an attempt up.
    CancelAttempt {
        /// Whose attempt.
        invocation_id: InvocationId,
        /// Which one.
        attempt: AttemptNumber,
    },
    /// The final answer: it was not done, and may be tried again.
    Throttle {
        /// Whose answer.
        invocation_id: InvocationId,
        /// When to come back.
        retry_after: Option<Duration>,
        /// For staff and their figures.
        reason: RejectReason,
    },
    /// The final answer: an error.
    Fail {
        /// Whose answer.
        invocation_id: InvocationId,
    },
    /// Asks for an event after some time.
    SetTimer {
        /// The time.
        after: Duration,
        /// Comes back with the event.
        token: String,
    },
    /// Adds units on the counter, and reads the total.
    AddToCounter {
        /// The name to count under.
        name: String,
        /// Units; 0 only reads.
        add: f64,
        /// The counter forgets the name after this.
        keep: Duration,
    },
    /// Probes a backend.
    Probe {
        /// Which backend.
        backend_id: BackendId,
    },
    /// Closes the idle connections to a backend.
    CloseIdle {
        /// Which backend.
        backend_id: BackendId,
    },
    /// Sends other gateways a message.
    SendToPeers {
        /// Which one; `None`: all.
        to: Option<GatewayId>,
        /// What it says.
        bytes: Vec<u8>,
    },
    /// Watches the list of backends, or no longer.
    WatchBackendList {
        /// Whether it is to be watched.
        on: bool,
    },
    /// Asks for the whole list of backends.
    FetchBackendList,
    /// Logs a line.
    Log {
        /// The line.
        text: String,
    },
    /// The state for the process that takes this one's place.
    HandOver(Box<Carry>),
}

/// Why an invocation is turned away, for staff and their figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The window's sum is over the quota.
    Quota,
    /// A window that is known to be full: no call was made.
    Full,
    /// The queue before it is too long, or answers take too long.
    Line,
    /// It stood in the queue until it could not be answered in time.
    Waited,
    /// Its client's time is up.
    Time,
    /// The hard ceiling's store is empty.
    Ceiling,
    /// Its attempts failed and no other can be of use.
    GaveUp,
}

impl RejectReason {
    /// As figures and logs name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Quota => "quota",
            Self::Full => "full",
            Self::Line => "line",
            Self::Waited => "waited",
            Self::Time => "time",
            Self::Ceiling => "ceiling",
            Self::GaveUp => "gave_up",
        }
    }
}
