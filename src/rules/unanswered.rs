//! Which backends leave operations unanswered, as gateways tell each other.

use std::time::Duration;

use rand::Rng;

use super::Rules;
use super::backend::{BackendState, UnansweredRate};
use crate::interface::{Action, BackendId, OperationId};

/// An attempt that takes too long moves its operation's part unanswered this far to all.
const STEP: f64 = 0.5;
/// That part is halved in this, for nothing else tells of it.
const HALF_LIFE_S: f64 = 5.0;
/// Of hundreds of gateways so many tell: each message goes to all, and all hear some tens a second at most.
const TELLING_GATEWAYS: f64 = 50.0;

impl Rules {
    /// An error, or no answer for long, to one operation: others meet the backend too seldom, and are told.
    pub(super) fn note_unanswered(&mut self, backend_id: BackendId, operation: OperationId) {
        let backend = self.backends.get(&backend_id);
        let known_rate =
            backend.map_or(1.0, |backend| backend.unanswered_rate(operation, self.now));
        let Some(position) = self.settings.position_in_force(operation) else {
            return;
        };
        let bytes = [&backend_id.0.to_be_bytes()[..], &position.to_be_bytes()].concat();
        self.take_unanswered_report(&bytes);
        let gateways = f64::from(self.settings.gateways);
        let tells = self.rng.random::<f64>() * gateways < TELLING_GATEWAYS;
        if self.settings.limits.may_message_peers && known_rate < STEP && tells {
            self.actions.push(Action::SendToPeers { to: None, bytes });
        }
    }

    /// Takes a report: the backend's number in four bytes, the operation's position in two.
    pub(super) fn take_unanswered_report(&mut self, report: &[u8]) {
        let &[b0, b1, b2, b3, p0, p1] = report else {
            return;
        };
        let backend_id = BackendId(u32::from_be_bytes([b0, b1, b2, b3]));
        let position = usize::from(u16::from_be_bytes([p0, p1]));
        let in_force = &self.settings.in_force.operations;
        let Some(operation) = in_force.get(position).copied() else {
            return;
        };
        let Some(backend) = self.backends.get_mut(&backend_id) else {
            return;
        };
        let known_rate = backend.unanswered_rate(operation, self.now);
        let rate = UnansweredRate {
            rate: known_rate + STEP * (1.0 - known_rate),
            at: self.now,
        };
        backend.unanswered_rates.insert(operation, rate);
    }
}

impl BackendState {
    /// Part of an operation's attempts that it is likely to leave unanswered.
    pub(super) fn unanswered_rate(&self, operation: OperationId, now: Duration) -> f64 {
        let Some(known) = self.unanswered_rates.get(&operation) else {
            return 0.0;
        };
        let age_s = (now - known.at).as_secs_f64();
        known.rate * (-age_s / HALF_LIFE_S).exp2()
    }
}
