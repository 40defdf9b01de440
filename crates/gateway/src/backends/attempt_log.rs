//! Log lines, at level debug, that tell for each attempt how its request body and its answer ended.

use std::error::Error;
use std::fmt;
use std::rc::Rc;

use damsonbeam::interface::AttemptNumber;
use hyper::StatusCode;

use super::response::{ReceivedResponse, ResponseError};
use crate::attempts::{ConnectionId, Verdict};
use crate::bodies::{StreamEnd, UploadProgress};
use crate::write_meter::WriteProgress;

/// Writes the log lines of one attempt.
pub(super) struct AttemptLog {
    pub(super) request: Rc<str>,
    pub(super) number: AttemptNumber,
    pub(super) connection: ConnectionId,
}

impl fmt::Display for AttemptLog {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "request: {}, attempt {} on connection {}",
            self.request, self.number.0, self.connection.0
        )
    }
}

/// An error with the errors that caused it.
struct ErrorChain<'a>(&'a dyn Error);

impl fmt::Display for ErrorChain<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.0)?;
        let mut source = self.0.source();
        while let Some(error) = source {
            write!(f, ": {error}")?;
            source = error.source();
        }
        Ok(())
    }
}

/// The side that ended a connection.
#[derive(Clone, Copy)]
pub(super) enum EndedBy {
    /// This process, before the backend's answer was whole.
    ThisSide,
    /// The backend or the network.
    OtherSide,
}

impl EndedBy {
    /// Returns who ended a connection that was or was not cut off by this process.
    pub(super) fn of(is_cut: bool) -> Self {
        if is_cut {
            EndedBy::ThisSide
        } else {
            EndedBy::OtherSide
        }
    }
}

impl fmt::Display for EndedBy {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            EndedBy::ThisSide => "cut off on this side",
            EndedBy::OtherSide => "ended on the other side",
        })
    }
}

impl AttemptLog {
    /// Logs that the attempt was not sent, as it could not have sent the whole body.
    pub(super) fn body_unavailable(&self) {
        tracing::debug!(
            code = "attempt-unsent",
            "{self}: not sent, as another attempt has the body or has sent a part of it."
        );
    }

    /// Logs that no usable answer came.
    pub(super) fn no_answer(
        &self,
        error: &ResponseError,
        ended_by: EndedBy,
        body: UploadProgress,
        written: WriteProgress,
    ) {
        let error = ErrorChain(error);
        tracing::debug!(
            code = "attempt-unanswered",
            "{self}: no whole answer, {ended_by} ({error}); body {body}; {written}."
        );
    }

    /// Logs an answer that was read whole, or whose body is passed on as it arrives.
    pub(super) fn answer(
        &self,
        response: &ReceivedResponse,
        verdict: Verdict,
        body: UploadProgress,
    ) {
        let ReceivedResponse {
            status, framing, ..
        } = response;
        let extent = match response.stream_end {
            Some(_) => "passed on as it arrives",
            None => "whole",
        };
        let status = StatusCode::as_u16(status);
        tracing::debug!(
            code = "attempt-answered",
            "{self}: answer {status} ({verdict:?}) {extent}, its end stated by {framing}; body {body}."
        );
    }

    /// Logs how an answer ended that was passed on as it arrived.
    pub(super) fn stream_end(&self, end: StreamEnd, ended_by: EndedBy) {
        match end {
            StreamEnd::Complete => {
                tracing::debug!(code = "answer-ended", "{self}: the answer is whole.");
            }
            StreamEnd::Broken => {
                tracing::debug!(
                    code = "answer-ended",
                    "{self}: the answer broke off, {ended_by}."
                );
            }
            StreamEnd::TimedOut => {
                tracing::debug!(
                    code = "answer-ended",
                    "{self}: the answer was cut off at the time limit of its request."
                );
            }
            StreamEnd::Abandoned => {
                tracing::debug!(
                    code = "answer-ended",
                    "{self}: the answer was not passed on to its end."
                );
            }
        }
    }
}
