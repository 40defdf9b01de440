//! An attempt goes out: the permit, what all gateways share, and the backend's actor.

use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::{Event, InvId, ListForm, Outcome, TgtId};

use super::{Due, Module, Out, Overdue, Sent};
use crate::log::log;
use crate::mail::*;

impl Module {
    pub(super) fn deliver(&mut self, inv: InvId, tgt: TgtId, timeout: Option<Duration>) {
        let now = self.clock.now();
        let Some(held) = self.state.held.get_mut(&inv) else {
            return;
        };
        let no = held.attempts.next();
        let line = Rc::<Line>::default();
        let left = held.deadline.saturating_sub(now);
        let wait = timeout.map_or(left, |t| t.min(left));
        let out = Out {
            tgt,
            sent: now,
            until: now + wait,
            line: line.clone(),
        };
        held.deliveries.push(None);
        let Some(permit) = held.attempts.permit() else {
            log!(
                error,
                "repeat-refused",
                "an attempt that may run twice is not sent"
            );
            return self.tell_next(inv, no, &out, Outcome::Ignored);
        };
        if held.answer.is_none() || left.is_zero() {
            held.attempts.not_executed(no, permit.unused());
            return self.tell_next(inv, no, &out, Outcome::Ignored);
        }
        if let Some(guard) = &mut self.guard {
            if no.0 > 0 && !guard.again(now) {
                held.attempts.not_executed(no, permit.unused());
                self.state.next.push_back(Event::Spent { inv });
                return self.tell_next(inv, no, &out, Outcome::Ignored);
            }
            let Sent { go, entry } = guard.sent(tgt, now);
            if let Some(entry) = entry {
                let (form, entries) = (ListForm::Update, [entry].into());
                self.state.next.push_back(Event::Targets { form, entries });
            }
            if !go {
                held.attempts.not_executed(no, permit.unused());
                return self.tell_next(inv, no, &out, Outcome::ConnectFailed);
            }
        }
        // While its body comes no client's time runs; the backend is told what will.
        let told = held.coming.unwrap_or(wait);
        let replaces = held.overdue.as_ref().map(Overdue::line);
        let job = Job {
            inv,
            no,
            permit,
            ask: held.ask.clone(),
            wait: told,
            line,
            replaces,
            to: self.me.clone(),
        };
        let Some(job) = self.post(tgt, job) else {
            self.state.due.insert((out.until, Due::Delivery(inv, no)));
            let held = self.state.held.get_mut(&inv).expect("seen above");
            held.deliveries[no.0 as usize] = Some(out);
            return;
        };
        log!(warn, "backend-crowded", "a delivery not sent");
        let held = self.state.held.get_mut(&inv).expect("seen above");
        held.attempts.not_executed(no, job.permit.unused());
        self.over(&out, Outcome::Ignored);
        self.tell_next(inv, no, &out, Outcome::ConnectFailed);
    }

    /// Hands a delivery to its backend's actor; it comes back where there is no room or no actor.
    fn post(&self, tgt: TgtId, job: Job) -> Option<Job> {
        let Some(backend) = self.state.backends.get(&tgt) else {
            return Some(job);
        };
        match backend.mailbox.try_send(ToBackend::Deliver(job)) {
            Ok(()) => None,
            Err(refused) => match refused.into_inner() {
                ToBackend::Deliver(job) => Some(job),
                ToBackend::CloseIdle => None,
            },
        }
    }
}
