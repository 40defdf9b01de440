//! What a front end and the decision module say to each other: events and actions only, no decisions.
//!
//! All times are spans since the start of the clock that the events carry; gateways share it.

use std::sync::Arc;
use std::time::Duration;

pub use crate::succession::Carry;
pub use crate::types::*;

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Targets {
        form: ListForm,
        entries: Arc<[Entry]>,
    },
    Invocation(Invocation),
    FirstByte {
        inv: InvId,
        no: DeliveryNo,
        tgt: TgtId,
        latency: Duration,
    },
    Outcome {
        inv: InvId,
        no: DeliveryNo,
        tgt: TgtId,
        outcome: Outcome,
        latency: Duration,
        /// The invocation is over; otherwise its final answer is still owed.
        closed: bool,
        /// The customer's use of its rate over all gateways in the last metered period.
        used: Option<f64>,
        true_units: Option<f64>,
        report: Report,
    },
    Left {
        inv: InvId,
    },
    /// The last byte of an invocation whose body was coming is here: times run from now on.
    Whole {
        inv: InvId,
        deadline: Duration,
    },
    /// Part of its body is gone for good: no other delivery can carry it.
    Spent {
        inv: InvId,
    },
    /// New settings, made by [`Settings::follow`] from those before.
    Settings(Box<Settings>),
    /// Another process takes this gateway's place: [`Action::HandOver`] follows.
    Yield,
    /// That process is gone again.
    Resume,
    /// The state of the process whose place this one takes; before the first invocation.
    Carried(Box<Carry>),
    Timer {
        token: String,
    },
    Probed {
        tgt: TgtId,
        outcome: Outcome,
        latency: Duration,
        report: Report,
    },
    Peer {
        from: GatewayId,
        bytes: Vec<u8>,
    },
    Total {
        name: String,
        outcome: Outcome,
        total: f64,
        /// Of it, what the other gateways say they admitted; 0 where they say nothing.
        others: f64,
        latency: Duration,
    },
    /// What the other gateways say they admitted under names that [`crate::Rules::admitted`] gave.
    Others(Vec<Others>),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Deliver {
        inv: InvId,
        tgt: TgtId,
        timeout: Option<Duration>,
    },
    Cancel {
        inv: InvId,
        no: DeliveryNo,
    },
    Throttle {
        inv: InvId,
        retry_after: Option<Duration>,
        why: Why,
    },
    Error {
        inv: InvId,
    },
    Timer {
        after: Duration,
        token: String,
    },
    Count {
        name: String,
        add: f64,
        keep: Duration,
    },
    Probe {
        tgt: TgtId,
    },
    CloseIdle {
        tgt: TgtId,
    },
    Tell {
        to: Option<GatewayId>,
        bytes: Vec<u8>,
    },
    Watch {
        on: bool,
    },
    Fetch,
    Log {
        text: String,
    },
    HandOver(Box<Carry>),
}
