//! Which request may be sent to a backend again, decided by types.
//!
//! Writing an attempt to a backend takes a [`SendPermit`], and [`Attempts::permit`] alone makes one: for a request's
//! first attempt, for a request whose route says that it may run more than once ([`Repeatable`]), or where each earlier
//! attempt has ended with a [`NotExecuted`]. None of the three types has a public constructor, and no permit can be
//! copied: a repeat that is not allowed has nothing to be sent with.
//!
//! ```compile_fail
//! use damsonbeam_gateway::attempts::SendPermit;
//! let made_up = SendPermit(());
//! ```
//!
//! ```compile_fail
//! use damsonbeam_gateway::attempts::{Attempts, SendPermit};
//! fn sent_and_kept(permit: SendPermit, meter: std::rc::Rc<damsonbeam_gateway::meter::Meter>) {
//!     let sent = permit.sent_over(meter);
//!     let proof = permit.unused();
//! }
//! ```

use std::rc::Rc;

use damsonbeam::interface::{AttemptNumber, Outcome, Repeat};

use crate::write_meter::WriteMeter;

/// A request that may run more than once.
#[derive(Clone, Copy, Debug)]
pub struct Repeatable(());

impl Repeatable {
    /// What the configuration says of the request's operation; none where it may run once at most.
    pub fn by(repeat: Repeat) -> Option<Self> {
        match repeat {
            Repeat::Idempotent | Repeat::Tokened { .. } => Some(Repeatable(())),
            Repeat::NonIdempotent => None,
        }
    }
}

/// Proof that an attempt was not executed and never will be.
#[derive(Debug)]
pub struct NotExecuted(Evidence);

#[derive(Debug)]
enum Evidence {
    /// Nothing of it was handed to a connection.
    NotSent,
    /// Its last byte was never handed to the system.
    Incomplete,
    /// The backend said so, in the answer to this very request.
    Declined(Refusal),
}

/// How a backend says that it has not executed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has no room.
    Full,
    /// The request named another backend.
    WrongBackend,
}

/// What an answer says, by the protocol that backends speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request was executed.
    Succeeded,
    /// The request may have been executed, and failed.
    Failed,
    /// The request was not executed.
    Declined(Refusal),
    /// It is the answer to another request.
    Misplaced,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum Ending {
    /// It was answered.
    Succeeded,
    /// It was answered with a failure.
    Failed,
    /// Nothing tells whether it was executed.
    Unknown,
    /// It was not executed and never will be.
    NotExecuted(NotExecuted),
}

impl Ending {
    /// The same as the decision module takes it.
    pub fn outcome(&self) -> Outcome {
        match self {
            Ending::Succeeded => Outcome::Ok,
            Ending::Failed => Outcome::Failed,
            Ending::Unknown => Outcome::Reset,
            Ending::NotExecuted(NotExecuted(Evidence::Declined(Refusal::Full))) => Outcome::Full,
            Ending::NotExecuted(_) => Outcome::ConnectFailed,
        }
    }
}

/// Leave to write one attempt of a request to one backend.
#[derive(Debug)]
#[must_use]
pub struct SendPermit(());

impl SendPermit {
    /// The attempt is given up before anything of it was handed to a connection.
    pub fn unused(self) -> NotExecuted {
        NotExecuted(Evidence::NotSent)
    }

    /// The attempt is about to be written to a connection, which counts its bytes.
    pub fn sent_over(self, meter: Rc<WriteMeter>) -> SentAttempt {
        SentAttempt { meter }
    }
}

/// An attempt that was handed to a connection.
pub struct SentAttempt {
    meter: Rc<WriteMeter>,
}

impl SentAttempt {
    /// It was answered.
    pub fn answered(self, verdict: Verdict) -> Ending {
        match verdict {
            Verdict::Succeeded => Ending::Succeeded,
            Verdict::Failed => Ending::Failed,
            Verdict::Declined(refusal) => {
                Ending::NotExecuted(NotExecuted(Evidence::Declined(refusal)))
            }
            Verdict::Misplaced => Ending::Unknown,
        }
    }

    /// No answer came that can be read. `body_ended`: the last byte of a body that was still coming was on its way.
    pub fn broken(self, body_ended: bool) -> Ending {
        if self.meter.is_complete() || body_ended {
            Ending::Unknown
        } else {
            Ending::NotExecuted(NotExecuted(Evidence::Incomplete))
        }
    }
}

/// The attempts of one request.
#[derive(Debug, Default)]
pub struct Attempts {
    repeatable: Option<Repeatable>,
    all: Vec<AttemptState>,
}

#[derive(Debug)]
enum AttemptState {
    /// Out, or ended without proof.
    MayRun,
    NotExecuted,
}

impl Attempts {
    /// No attempt yet.
    pub fn new(repeatable: Option<Repeatable>) -> Self {
        Attempts {
            repeatable,
            all: Vec::new(),
        }
    }

    /// The number of the next attempt.
    pub fn next(&self) -> AttemptNumber {
        AttemptNumber(self.all.len() as u32)
    }

    /// Counts an attempt, and gives the permit to send it where it may be sent at all.
    pub fn permit(&mut self) -> Option<SendPermit> {
        let allowed = self.repeatable.is_some() || self.none_executed();
        self.all.push(if allowed {
            AttemptState::MayRun
        } else {
            AttemptState::NotExecuted
        });
        allowed.then_some(SendPermit(()))
    }

    /// That attempt is over, and was not executed.
    pub fn not_executed(&mut self, number: AttemptNumber, _proof: NotExecuted) {
        self.all[number.0 as usize] = AttemptState::NotExecuted;
    }

    /// No attempt was executed, and none will be.
    pub fn none_executed(&self) -> bool {
        self.all
            .iter()
            .all(|state| matches!(state, AttemptState::NotExecuted))
    }

    /// Whether no attempt was made.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}
