//! Rules for sending a request to a backend again, enforced by types.
//!
//! Sending an attempt to a backend requires a [`SendPermit`]. Only [`Attempts::start_attempt`] creates one: for the
//! first attempt of a request, for a request that may be executed more than once ([`Repeatable`]), or if each earlier
//! attempt has ended with a [`NotExecuted`]. None of the three types has a public constructor and permits cannot be
//! copied, so code that sends an attempt without permission does not compile.
//!
//! ```compile_fail
//! use damsonbeam_gateway::attempts::SendPermit;
//! let forged = SendPermit(());
//! ```
//!
//! ```compile_fail
//! use damsonbeam_gateway::attempts::{ConnectionId, ExecutionStart, SendPermit};
//! fn use_permit_twice(permit: SendPermit, meter: std::rc::Rc<damsonbeam_gateway::write_meter::WriteMeter>) {
//!     let sent = permit.start_sending(ConnectionId(0), meter, ExecutionStart::Head);
//!     let proof = permit.give_up();
//! }
//! ```
//!
//! A refusal that promises that a request has not run and never will requires a [`NoneExecuted`]: made from the proofs of
//! all its attempts, or for a request that is rejected before any attempt.
//!
//! ```compile_fail
//! use damsonbeam_gateway::attempts::NoneExecuted;
//! let forged = NoneExecuted(Vec::new());
//! ```

use std::fmt;
use std::rc::Rc;

use damsonbeam::interface::{AttemptNumber, Outcome, RepeatMode};

use crate::write_meter::{WriteMeter, WriteProgress};

/// Proof that a request may be executed more than once.
#[derive(Clone, Copy, Debug)]
pub struct Repeatable(());

impl Repeatable {
    /// Returns the proof for an operation with this repeat mode; `None` if a request may be executed at most once.
    pub fn from_repeat_mode(repeat: RepeatMode) -> Option<Self> {
        match repeat {
            RepeatMode::Idempotent | RepeatMode::Deduplicated { .. } => Some(Repeatable(())),
            RepeatMode::NonIdempotent => None,
        }
    }
}

/// Number of a connection to a backend, unique in the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// The part of a request with which the backends of a deployment can begin to execute it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStart {
    /// The head: the body may arrive while the request is executed.
    Head,
    /// The complete request.
    CompleteRequest,
}

impl ExecutionStart {
    /// Returns whether a backend that has received all that was written of a request can have begun to execute it.
    fn is_reached(self, written: WriteProgress) -> bool {
        match self {
            ExecutionStart::Head => written != WriteProgress::HeadIncomplete,
            ExecutionStart::CompleteRequest => written == WriteProgress::Complete,
        }
    }
}

/// Proof that an attempt was not executed and never will be.
#[derive(Debug)]
pub struct NotExecuted(Evidence);

/// Evidence that an attempt was not executed and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// No part of the attempt was handed to a connection.
    NotSent,
    /// The part of the attempt with which its backend can begin to execute it was never handed to the operating system.
    Incomplete(ConnectionId, WriteProgress),
    /// The backend declined the request in its response to it.
    Declined(Refusal, ConnectionId),
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Evidence::NotSent => write!(f, "not sent"),
            Evidence::Incomplete(connection, written) => {
                write!(f, "incomplete on connection {} ({written})", connection.0)
            }
            Evidence::Declined(Refusal::NoCapacity, connection) => {
                write!(f, "declined on connection {}", connection.0)
            }
            Evidence::Declined(Refusal::WrongBackend, connection) => {
                write!(f, "misdirected on connection {}", connection.0)
            }
        }
    }
}

/// Proof that no attempt of a request was executed or ever will be.
#[derive(Clone, Debug)]
pub struct NoneExecuted(Vec<Evidence>);

impl NoneExecuted {
    /// Returns the proof for a request that is rejected before it reaches a dispatcher.
    pub fn without_attempts() -> Self {
        NoneExecuted(Vec::new())
    }
}

impl fmt::Display for NoneExecuted {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.0.is_empty() {
            return write!(f, "no attempt");
        }
        for (number, evidence) in self.0.iter().enumerate() {
            let separator = if number == 0 { "" } else { ", " };
            write!(f, "{separator}{evidence}")?;
        }
        Ok(())
    }
}

/// Reasons why a backend did not execute a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The backend has no free capacity.
    NoCapacity,
    /// The request was addressed to another backend.
    WrongBackend,
}

/// What a response says about the execution of a request, according to the protocol of the backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request was executed.
    Succeeded,
    /// The request may have been executed, and failed.
    Failed,
    /// The request was not executed.
    Declined(Refusal),
    /// The response belongs to another request.
    OtherRequest,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum Ending {
    /// The backend executed the request successfully.
    Succeeded,
    /// The backend responded with a failure.
    Failed,
    /// It is not known whether the request was executed.
    Unknown,
    /// The request was not executed and never will be.
    NotExecuted(NotExecuted),
}

impl Ending {
    /// Converts to the outcome that the decision module uses.
    pub fn outcome(&self) -> Outcome {
        match self {
            Ending::Succeeded => Outcome::Ok,
            Ending::Failed => Outcome::Failed,
            Ending::Unknown => Outcome::Reset,
            Ending::NotExecuted(NotExecuted(Evidence::Declined(Refusal::NoCapacity, _))) => {
                Outcome::Full
            }
            Ending::NotExecuted(_) => Outcome::ConnectFailed,
        }
    }
}

/// Permission to send one attempt of a request to one backend.
#[derive(Debug)]
#[must_use]
pub struct SendPermit(());

impl SendPermit {
    /// Gives up the attempt before any part of it was handed to a connection.
    pub fn give_up(self) -> NotExecuted {
        NotExecuted(Evidence::NotSent)
    }

    /// Uses the permit for an attempt that is written to a connection with this meter.
    pub fn start_sending(
        self,
        connection: ConnectionId,
        meter: Rc<WriteMeter>,
        execution_start: ExecutionStart,
    ) -> SentAttempt {
        SentAttempt {
            connection,
            meter,
            execution_start,
        }
    }
}

/// An attempt that has been handed to a connection.
pub struct SentAttempt {
    connection: ConnectionId,
    meter: Rc<WriteMeter>,
    execution_start: ExecutionStart,
}

impl SentAttempt {
    /// Ends the attempt with a response.
    pub fn end_with_response(self, verdict: Verdict) -> Ending {
        match verdict {
            Verdict::Succeeded => Ending::Succeeded,
            Verdict::Failed => Ending::Failed,
            Verdict::Declined(refusal) => {
                let evidence = Evidence::Declined(refusal, self.connection);
                Ending::NotExecuted(NotExecuted(evidence))
            }
            Verdict::OtherRequest => Ending::Unknown,
        }
    }

    /// Ends the attempt without a usable response.
    ///
    /// `body_ended` states whether a streamed body was read to its end, so that its last byte may have been sent.
    pub fn end_without_response(self, body_ended: bool) -> Ending {
        let written = self.write_progress();
        if body_ended || self.execution_start.is_reached(written) {
            Ending::Unknown
        } else {
            let evidence = Evidence::Incomplete(self.connection, written);
            Ending::NotExecuted(NotExecuted(evidence))
        }
    }

    /// Returns how much of the attempt was written.
    pub fn write_progress(&self) -> WriteProgress {
        self.meter.progress()
    }
}

/// The attempts of one request.
#[derive(Debug, Default)]
pub struct Attempts {
    repeatable: Option<Repeatable>,
    states: Vec<AttemptState>,
}

#[derive(Debug)]
enum AttemptState {
    /// In progress, or ended without proof that the request was not executed.
    MayRun,
    /// Not permitted, so nothing of it was sent.
    NotPermitted,
    NotExecuted(NotExecuted),
}

impl Attempts {
    /// Creates the state without attempts.
    pub fn new(repeatable: Option<Repeatable>) -> Self {
        Attempts {
            repeatable,
            states: Vec::new(),
        }
    }

    /// Returns the number of the next attempt.
    pub fn next_number(&self) -> AttemptNumber {
        AttemptNumber(self.states.len() as u32)
    }

    /// Counts an attempt. Returns the permit to send it, or `None` if the request may not be sent again.
    pub fn start_attempt(&mut self) -> Option<SendPermit> {
        let allowed = self.repeatable.is_some() || self.none_executed();
        self.states.push(if allowed {
            AttemptState::MayRun
        } else {
            AttemptState::NotPermitted
        });
        allowed.then_some(SendPermit(()))
    }

    /// Records that an attempt has ended without being executed.
    pub fn record_not_executed(&mut self, number: AttemptNumber, proof: NotExecuted) {
        self.states[number.0 as usize] = AttemptState::NotExecuted(proof);
    }

    /// Returns whether no attempt was executed or can still be executed.
    pub fn none_executed(&self) -> bool {
        self.states
            .iter()
            .all(|state| !matches!(state, AttemptState::MayRun))
    }

    /// Returns the proof that no attempt was executed or can still be executed; `None` if one was or can.
    pub fn proof(&self) -> Option<NoneExecuted> {
        let evidence = self.states.iter().filter_map(|state| match state {
            AttemptState::NotExecuted(NotExecuted(evidence)) => Some(*evidence),
            AttemptState::MayRun | AttemptState::NotPermitted => None,
        });
        self.none_executed()
            .then(|| NoneExecuted(evidence.collect()))
    }

    /// Returns whether no attempt was made.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
