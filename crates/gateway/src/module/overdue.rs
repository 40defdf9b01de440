//! An attempt whose time is over while its client still waits.
//!
//! The decision module is told that it timed out, so that another attempt may follow. Its connection stays open until
//! that one is written to a connection of its own: where none can be (the retry budget is used up, no backend has a free place), the answer that is
//! still on its way is worth more than an error, and cutting off work in order to report a failure helps nobody. While
//! the program is told to end, nothing that a backend works on is given up before its client's time is over.

use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::{DeliveryNo, Event, InvId, Outcome};

use super::{Due, Held, Module, Out};
use crate::attempts::Ending;
use crate::mail::{Answer, Done, Line};

/// Where no other attempt follows, an overdue one may take this many times as long again as it has taken, and half of
/// what is left of its client's time at most: the rest is for a further try of the client itself.
const TIMES_AGAIN: u32 = 2;
const PART_OF_TIME_LEFT: u32 = 2;

/// An attempt that is overdue and still open.
pub(super) struct Overdue {
    number: DeliveryNo,
    out: Out,
    until: Duration,
    /// The answer that the client gets where this attempt brings none: the decision module has no other.
    failure: Option<Answer>,
}

impl Overdue {
    pub(super) fn line(&self) -> Rc<Line> {
        self.out.line.clone()
    }

    pub(super) fn give_up(self) {
        self.out.line.give_up();
    }
}

impl Module {
    /// The time for an attempt is over: the one that the decision module set for it, or its client's.
    pub(super) fn timed_out(&mut self, inv: InvId, number: DeliveryNo) {
        let now = self.clock.now();
        let Some(held) = self.state.held.get(&inv) else {
            return;
        };
        let deadline = held.deadline;
        let clients_time_is_over = now >= deadline || held.answer.is_none();
        if !clients_time_is_over && self.guard.as_ref().is_some_and(|g| !g.may_give_up()) {
            return self.extend(inv, number, deadline);
        }
        let Some(out) = self.end(inv, number) else {
            return;
        };
        if clients_time_is_over || self.guard.is_none() {
            out.line.give_up();
            return self.tell(inv, number, &out, Outcome::TimedOut, vec![]);
        }
        let event = self.ended(inv, number, &out, Outcome::TimedOut, vec![]);
        self.over(&out, Outcome::TimedOut);
        let again = now.saturating_sub(out.sent) * TIMES_AGAIN;
        let until = now + again.min((deadline - now) / PART_OF_TIME_LEFT);
        if let Some(held) = self.state.held.get_mut(&inv) {
            let before = held.overdue.replace(Overdue {
                number,
                out,
                until,
                failure: None,
            });
            before.into_iter().for_each(Overdue::give_up);
        }
        self.feed(event);
    }

    fn extend(&mut self, inv: InvId, number: DeliveryNo, until: Duration) {
        let Some(held) = self.state.held.get_mut(&inv) else {
            return;
        };
        if let Some(Some(out)) = held.deliveries.get_mut(number.0 as usize) {
            out.until = until;
            self.state.due.insert((until, Due::Delivery(inv, number)));
        }
    }

    /// Keeps a failure back where an overdue attempt may still bring an answer; else it comes back, to be told.
    pub(super) fn put_off(&mut self, inv: InvId, failure: Answer) -> Option<Answer> {
        let now = self.clock.now();
        let stays = self.guard.as_ref().is_some_and(|g| !g.may_give_up());
        let Some(held) = self.state.held.get_mut(&inv) else {
            return Some(failure);
        };
        let deadline = held.deadline;
        let Some(overdue) = held.overdue.as_mut() else {
            return Some(failure);
        };
        if stays {
            overdue.until = deadline;
        }
        if now >= overdue.until {
            return Some(failure);
        }
        overdue.failure = Some(failure);
        self.state.due.insert((overdue.until, Due::Overdue(inv)));
        None
    }

    /// The time for an overdue attempt is over too.
    pub(super) fn overdue_ended(&mut self, inv: InvId) {
        let now = self.clock.now();
        let stays = self.guard.as_ref().is_some_and(|g| !g.may_give_up());
        let Some(held) = self.state.held.get_mut(&inv) else {
            return;
        };
        let deadline = held.deadline;
        let Some(overdue) = held.overdue.as_mut().filter(|o| o.failure.is_some()) else {
            return;
        };
        if stays && now < deadline {
            overdue.until = deadline;
            self.state.due.insert((deadline, Due::Overdue(inv)));
            return;
        }
        let failure = overdue.failure.take();
        self.close_with(inv, failure);
    }

    /// How an attempt ended that was overdue.
    pub(super) fn overdue_done(
        &mut self,
        Done {
            inv,
            no,
            ending,
            reply,
            ..
        }: Done,
    ) {
        let Some(held) = self.state.held.get_mut(&inv) else {
            return;
        };
        let Some(mut overdue) = held.overdue.take_if(|o| o.number == no) else {
            return;
        };
        let known_failure = overdue.failure.take();
        let undecided = known_failure.is_none();
        let answer = match (ending, reply) {
            (Ending::Succeeded, Some(reply)) => Some(Answer::Succeeded(reply)),
            (Ending::NotExecuted(proof), _) => {
                held.attempts.not_executed(no, proof);
                known_failure.map(|failure| proven(failure, held))
            }
            // A failure of the backend's own says more than one of ours.
            (_, Some(reply)) if known_failure.is_some() => Some(Answer::Succeeded(reply)),
            (_, Some(reply)) => {
                held.spare = Some(reply);
                None
            }
            (_, None) => known_failure,
        };
        let succeeded = matches!(answer, Some(Answer::Succeeded(_)));
        self.close_with(inv, answer);
        if undecided && succeeded {
            // The decision module still looks for another attempt.
            self.feed(Event::Left { inv });
        }
    }

    fn close_with(&mut self, inv: InvId, answer: Option<Answer>) {
        if let Some(answer) = answer {
            self.answer(inv, answer);
            self.tidy(inv);
        }
    }
}

/// A failure by what is known of its request's attempts now.
fn proven(failure: Answer, held: &Held) -> Answer {
    match failure {
        Answer::Throttled { after, why, .. } => Answer::Throttled {
            after,
            why,
            clean: held.attempts.none_executed(),
        },
        other => other,
    }
}
