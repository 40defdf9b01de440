//! The dispatcher's part in the shutdown of the process.

use damsonbeam::interface::{Event, InvocationId, RejectReason};

use super::Dispatcher;
use crate::attempts::NoneExecuted;
use crate::messages::{Answer, Unanswered};
use crate::shutdown_admission::SHUTDOWN_RETRY_DELAY;

impl Dispatcher {
    /// Refuses the unanswered requests of which no attempt was executed or is in flight, while their clients still have
    /// time to try another gateway. Returns the counts.
    pub(super) fn refuse_unsent(&mut self) -> Unanswered {
        let unanswered = self.unanswered();
        let mut counts = Unanswered::default();
        for invocation_id in unanswered {
            match self.state.requests[&invocation_id].attempts.proof() {
                Some(proof) => {
                    counts.refused += 1;
                    self.answer_without_rules(invocation_id, refusal(proof));
                }
                None => counts.in_progress += 1,
            }
        }
        counts
    }

    /// Answers all open requests: refuses those that were not executed, and answers those that may have been with an
    /// error. Returns the counts.
    pub(super) fn answer_all(&mut self) -> Unanswered {
        let counts = self.refuse_unsent();
        for invocation_id in self.unanswered() {
            self.answer_without_rules(invocation_id, Answer::Errored);
        }
        counts
    }

    fn unanswered(&self) -> Vec<InvocationId> {
        let waiting = self
            .state
            .requests
            .iter()
            .filter(|(_, request)| request.answer.is_some());
        waiting.map(|(invocation_id, _)| *invocation_id).collect()
    }

    /// Answers a request without a decision of the decision module, and tells the module that the client is gone.
    fn answer_without_rules(&mut self, invocation_id: InvocationId, answer: Answer) {
        self.answer(invocation_id, answer);
        self.handle_event(Event::ClientDisconnected { invocation_id });
        self.forget_if_finished(invocation_id);
    }
}

fn refusal(proof: NoneExecuted) -> Answer {
    Answer::Throttled {
        retry_after: Some(SHUTDOWN_RETRY_DELAY),
        reason: RejectReason::QueueTooLong,
        none_executed: Some(proof),
    }
}
