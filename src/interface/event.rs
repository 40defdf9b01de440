//! What happens to a gateway.

use std::sync::Arc;
use std::time::Duration;

use super::{
    AttemptNumber, BackendEntry, BackendId, Carry, GatewayId, Invocation, InvocationId, ListForm,
    Outcome, PeersAdmitted, Report, Settings,
};

/// What happened, as the front end tells it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A list of backends.
    BackendList {
        /// How it is to be taken.
        form: ListForm,
        /// The backends.
        entries: Arc<[BackendEntry]>,
    },
    /// A client's try came in.
    Invocation(Invocation),
    /// The first byte of an answer that is a stream went to the client.
    FirstByte {
        /// Whose answer.
        invocation_id: InvocationId,
        /// Which attempt.
        attempt: AttemptNumber,
        /// Where it went.
        backend_id: BackendId,
        /// Since it was sent.
        latency: Duration,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Whose attempt.
        invocation_id: InvocationId,
        /// Which one.
        attempt: AttemptNumber,
        /// Where it went.
        backend_id: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// Since it was sent.
        latency: Duration,
        /// The invocation is over; otherwise its final answer is still owed.
        closed: bool,
        /// The customer's use of its rate over all gateways in the last metered period.
        used: Option<f64>,
        /// Units that the invocation took, where the settings call those told before a guess.
        true_units: Option<f64>,
        /// The backend's load.
        report: Report,
    },
    /// Its client waits no more.
    ClientGone {
        /// Whose client.
        invocation_id: InvocationId,
    },
    /// The last byte of an invocation whose body was coming is here: times run from now on.
    BodyComplete {
        /// Whose body.
        invocation_id: InvocationId,
        /// When its client stops waiting.
        deadline: Duration,
    },
    /// Part of its body is gone for good: no other attempt can carry it.
    BodyConsumed {
        /// Whose body.
        invocation_id: InvocationId,
    },
    /// New settings, made by [`Settings::follow`] from those before.
    Settings(Box<Settings>),
    /// Another process takes this gateway's place: [`Action::HandOver`](super::Action::HandOver) follows.
    Yield,
    /// That process is gone again.
    Resume,
    /// The state of the process whose place this one takes; before the first invocation.
    TakeOver(Box<Carry>),
    /// The time that an action set is over.
    Timer {
        /// As the action named it.
        token: String,
    },
    /// A probe ended.
    Probed {
        /// Where it went.
        backend_id: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// Since it was sent.
        latency: Duration,
        /// The backend's load.
        report: Report,
    },
    /// Another gateway's message.
    PeerMessage {
        /// Whose.
        from: GatewayId,
        /// What it says.
        bytes: Vec<u8>,
    },
    /// The counter's answer.
    CounterTotal {
        /// The name that was counted under.
        name: String,
        /// Whether there is an answer.
        outcome: Outcome,
        /// The total after the call's units were added.
        total: f64,
        /// Of it, what the other gateways say they admitted; 0 where they say nothing.
        others: f64,
        /// Since the call.
        latency: Duration,
    },
    /// What the other gateways say they admitted under names that [`crate::Rules::admitted`] gave.
    PeersAdmitted(Vec<PeersAdmitted>),
}
