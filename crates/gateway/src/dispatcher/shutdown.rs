//! The end of the program, as the module's actor takes part in it.

use damsonbeam::interface::{Event, InvId, Why};

use super::Dispatcher;
use crate::messages::{Answer, Unanswered};
use crate::shutdown_admission::ELSEWHERE;

impl Dispatcher {
    /// Refuses what waits and has not run: its client has time left to go elsewhere.
    pub(super) fn refuse_unsent(&mut self) -> Unanswered {
        let unanswered = self.unanswered();
        let (unsent, in_progress): (Vec<InvId>, Vec<InvId>) = unanswered
            .into_iter()
            .partition(|inv| self.state.requests[inv].attempts.none_executed());
        for inv in &unsent {
            self.answer_without_rules(*inv, refusal());
        }
        Unanswered {
            refused: unsent.len(),
            in_progress: in_progress.len(),
        }
    }

    /// Answers all that is left: refused where it has not run, an error where it may have.
    pub(super) fn answer_all(&mut self) -> Unanswered {
        let counts = self.refuse_unsent();
        for inv in self.unanswered() {
            self.answer_without_rules(inv, Answer::Errored);
        }
        counts
    }

    fn unanswered(&self) -> Vec<InvId> {
        let waiting = self
            .state
            .requests
            .iter()
            .filter(|(_, request)| request.answer.is_some());
        waiting.map(|(inv, _)| *inv).collect()
    }

    /// Answers a request without the decision module, which hears that it is over.
    fn answer_without_rules(&mut self, inv: InvId, answer: Answer) {
        self.answer(inv, answer);
        self.handle_event(Event::Left { inv });
        self.forget_if_finished(inv);
    }
}

fn refusal() -> Answer {
    Answer::Throttled {
        after: Some(ELSEWHERE),
        why: Why::Line,
        none_executed: true,
    }
}
