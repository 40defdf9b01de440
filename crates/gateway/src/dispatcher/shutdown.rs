//! The end of the program, as the module's actor takes part in it.

use damsonbeam::interface::{Event, InvocationId, RejectReason};

use super::Dispatcher;
use crate::messages::{Answer, Unanswered};
use crate::shutdown_admission::ELSEWHERE;

impl Dispatcher {
    /// Refuses what waits and has not run: its client has time left to go elsewhere.
    pub(super) fn refuse_unsent(&mut self) -> Unanswered {
        let unanswered = self.unanswered();
        let (unsent, in_progress): (Vec<InvocationId>, Vec<InvocationId>) = unanswered
            .into_iter()
            .partition(|invocation_id| self.state.requests[invocation_id].attempts.none_executed());
        for invocation_id in &unsent {
            self.answer_without_rules(*invocation_id, refusal());
        }
        Unanswered {
            refused: unsent.len(),
            in_progress: in_progress.len(),
        }
    }

    /// Answers all that is left: refused where it has not run, an error where it may have.
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

    /// Answers a request without the decision module, which hears that it is over.
    fn answer_without_rules(&mut self, invocation_id: InvocationId, answer: Answer) {
        self.answer(invocation_id, answer);
        self.handle_event(Event::ClientGone { invocation_id });
        self.forget_if_finished(invocation_id);
    }
}

fn refusal() -> Answer {
    Answer::Throttled {
        after: Some(ELSEWHERE),
        reason: RejectReason::Line,
        none_executed: true,
    }
}
