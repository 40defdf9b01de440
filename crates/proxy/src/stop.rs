//! How a proxy that was told to end goes: clients are sent away, what is taken is answered, what was not sent to a
//! backend is refused, and nothing that a backend works on is cut off before the grace is over. No I/O.

use std::time::Duration;

/// After SIGTERM new connections come until clients have asked the directory anew; each answer ends its own.
pub const ACCEPT_ON: Duration = Duration::from_millis(2500);
/// Between two sweeps for requests that wait and were not sent to a backend.
const REFUSE_EVERY: Duration = Duration::from_millis(250);
/// So long after connections were told to close, what had come on them unread has been read.
const READ_OUT: Duration = Duration::from_millis(100);
/// What is still unanswered is answered with an error this much before SIGKILL would come, and the process ends
/// this much before: in between the answers are written.
const ANSWER_ALL: Duration = Duration::from_millis(300);
const EXIT: Duration = Duration::from_millis(120);

/// What is to be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Requests that were not sent to a backend are refused.
    RefuseUnsent,
    /// No connection is accepted any more; those without a request are closed.
    StopAccepting,
    /// The grace is over: each request that is left gets an error.
    AnswerAll,
    Exit,
}

/// The course of one stop.
#[derive(Debug)]
pub struct Stop {
    grace: Duration,
    refused: Option<Duration>,
    closed: Option<Duration>,
    answered_all: bool,
}

impl Stop {
    /// After SIGTERM all answers are to be given within this.
    pub fn time_to_answer(grace: Duration) -> Duration {
        grace.saturating_sub(ANSWER_ALL)
    }

    pub fn new(grace: Duration) -> Self {
        Stop {
            grace,
            refused: None,
            closed: None,
            answered_all: false,
        }
    }

    /// The next thing to do, so long after SIGTERM, with that many answers owed to clients.
    pub fn step(&mut self, since: Duration, owed: usize) -> Option<Step> {
        if since + EXIT >= self.grace || (self.answered_all && owed == 0) {
            return Some(Step::Exit);
        }
        if since + ANSWER_ALL >= self.grace && !self.answered_all {
            self.answered_all = true;
            return Some(Step::AnswerAll);
        }
        let Some(closed) = self.closed else {
            if since >= ACCEPT_ON {
                self.closed = Some(since);
                return Some(Step::StopAccepting);
            }
            return self.refuse(since);
        };
        if owed == 0 && since >= closed + READ_OUT {
            return Some(Step::Exit);
        }
        self.refuse(since)
    }

    fn refuse(&mut self, since: Duration) -> Option<Step> {
        let due = self.refused.is_none_or(|last| since >= last + REFUSE_EVERY);
        due.then(|| {
            self.refused = Some(since);
            Step::RefuseUnsent
        })
    }
}
