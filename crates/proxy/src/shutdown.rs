//! The steps of a proxy's graceful shutdown, without I/O. Clients are sent to other proxies, requests that were not
//! sent to a backend are refused, and requests in progress at a backend are answered; no request in progress is cut off
//! before the grace period is over.

use std::time::Duration;

/// Time after SIGTERM for which connections are still accepted: clients connect to this proxy until they have queried
/// the directory again. Each such connection is closed after its answer.
pub const ACCEPT_DURATION: Duration = Duration::from_millis(2500);
/// Interval between refusals of waiting requests that were not sent to a backend.
const REFUSE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after connections were told to close within which data already received on them is read.
const DRAIN_READ_DURATION: Duration = Duration::from_millis(100);
/// Time before SIGKILL at which all requests that are still unanswered are answered with an error.
const ANSWER_ALL_MARGIN: Duration = Duration::from_millis(300);
/// Time before SIGKILL at which the process exits. The error answers are written between
/// [`ANSWER_ALL_MARGIN`] and this time.
const EXIT_MARGIN: Duration = Duration::from_millis(120);

/// Time between the departure message to the registries and the exit of the process, in which the message is written.
const DEPARTURE_LEAD_TIME: Duration = Duration::from_millis(40);

/// An action that the proxy is to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Refuse requests that were not sent to a backend.
    RefuseUnsent,
    /// Stop accepting connections, and close those that have no request in progress.
    StopAccepting,
    /// The grace period is over: answer each remaining request with an error.
    AnswerAll,
    /// Tell the registries that this proxy admits no more requests.
    AnnounceDeparture,
    /// Exit the process.
    Exit,
}

/// The state of a shutdown in progress. All times count from SIGTERM.
#[derive(Debug)]
pub struct Shutdown {
    /// Time until the platform would send SIGKILL.
    grace_period: Duration,
    last_refusal: Option<Duration>,
    closed_at: Option<Duration>,
    has_answered_all: bool,
    departed_at: Option<Duration>,
}

impl Shutdown {
    /// Creates a shutdown that starts now.
    pub fn new(grace_period: Duration) -> Self {
        Shutdown {
            grace_period,
            last_refusal: None,
            closed_at: None,
            has_answered_all: false,
            departed_at: None,
        }
    }

    /// Returns the time after SIGTERM within which all requests are to be answered.
    pub fn time_to_answer(grace_period: Duration) -> Duration {
        grace_period.saturating_sub(ANSWER_ALL_MARGIN)
    }

    /// Returns the action that is due, or `None`. `elapsed` is the time since SIGTERM, `unanswered` the number of
    /// requests that clients have no answer to yet.
    pub fn step(&mut self, elapsed: Duration, unanswered: usize) -> Option<ShutdownStep> {
        let is_done = self.has_answered_all && unanswered == 0;
        if elapsed + EXIT_MARGIN + DEPARTURE_LEAD_TIME >= self.grace_period || is_done {
            return self.depart_and_exit(elapsed);
        }
        if elapsed + ANSWER_ALL_MARGIN >= self.grace_period && !self.has_answered_all {
            self.has_answered_all = true;
            return Some(ShutdownStep::AnswerAll);
        }
        let Some(closed_at) = self.closed_at else {
            if elapsed >= ACCEPT_DURATION {
                self.closed_at = Some(elapsed);
                return Some(ShutdownStep::StopAccepting);
            }
            return self.refuse_when_due(elapsed);
        };
        if unanswered == 0 && elapsed >= closed_at + DRAIN_READ_DURATION {
            return self.depart_and_exit(elapsed);
        }
        self.refuse_when_due(elapsed)
    }

    /// Announces the departure, then exits after [`DEPARTURE_LEAD_TIME`].
    fn depart_and_exit(&mut self, elapsed: Duration) -> Option<ShutdownStep> {
        let Some(departed_at) = self.departed_at else {
            self.departed_at = Some(elapsed);
            return Some(ShutdownStep::AnnounceDeparture);
        };
        (elapsed >= departed_at + DEPARTURE_LEAD_TIME).then_some(ShutdownStep::Exit)
    }

    /// Returns a refusal once per [`REFUSE_INTERVAL`].
    fn refuse_when_due(&mut self, elapsed: Duration) -> Option<ShutdownStep> {
        let is_due = self
            .last_refusal
            .is_none_or(|last| elapsed >= last + REFUSE_INTERVAL);
        is_due.then(|| {
            self.last_refusal = Some(elapsed);
            ShutdownStep::RefuseUnsent
        })
    }
}
