//! The end of the program, as the module's actor takes part in it.

use damsonbeam::interface::{Event, InvId, Why};

use super::Module;
use crate::last_call::ELSEWHERE;
use crate::mail::{Answer, Unanswered};

impl Module {
    /// Refuses what waits and has not run: its client has time left to go elsewhere.
    pub(super) fn refuse_unsent(&mut self) -> Unanswered {
        let unanswered = self.unanswered();
        let (unsent, at_work): (Vec<InvId>, Vec<InvId>) = unanswered
            .into_iter()
            .partition(|inv| self.state.held[inv].attempts.none_executed());
        for inv in &unsent {
            self.drop_with(*inv, refusal());
        }
        Unanswered {
            refused: unsent.len(),
            at_work: at_work.len(),
        }
    }

    /// Answers all that is left: refused where it has not run, an error where it may have.
    pub(super) fn answer_all(&mut self) -> Unanswered {
        let counts = self.refuse_unsent();
        for inv in self.unanswered() {
            self.drop_with(inv, Answer::Errored);
        }
        counts
    }

    fn unanswered(&self) -> Vec<InvId> {
        let waiting = self
            .state
            .held
            .iter()
            .filter(|(_, held)| held.answer.is_some());
        waiting.map(|(inv, _)| *inv).collect()
    }

    /// Answers a request without the decision module, which hears that it is over.
    fn drop_with(&mut self, inv: InvId, answer: Answer) {
        self.answer(inv, answer);
        self.feed(Event::Left { inv });
        self.tidy(inv);
    }
}

fn refusal() -> Answer {
    Answer::Throttled {
        after: Some(ELSEWHERE),
        why: Why::Line,
        clean: true,
    }
}
