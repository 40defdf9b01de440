//! Backends that leave operations unanswered, as gateways report them to each other.

use std::time::Duration;

use rand::Rng;

use super::Rules;
use super::backend::{BackendState, UnansweredRate};
use crate::interface::{Action, BackendId, OperationId};

/// Weight of a slow or failed attempt in the operation's unanswered rate.
const UNANSWERED_WEIGHT: f64 = 0.5;
/// Half-life of an unanswered rate in seconds. The rate decays with time, since a backend that is
/// avoided yields no new samples.
const HALF_LIFE_S: f64 = 5.0;
/// Mean number of gateways that report a backend if all of them observe it. Each report goes to all
/// gateways, and each gateway should receive some tens a second at most.
const REPORTING_GATEWAYS: f64 = 50.0;

impl Rules {
    /// Records an error or a slow attempt of an operation, and reports it. In a large fleet other
    /// gateways rarely meet the same backend.
    pub(super) fn record_unanswered(&mut self, backend_id: BackendId, operation: OperationId) {
        let backend = self.backends.get(&backend_id);
        let known_rate =
            backend.map_or(1.0, |backend| backend.unanswered_rate(operation, self.now));
        let Some(position) = self.settings.position_in_force(operation) else {
            return;
        };
        let bytes = [&backend_id.0.to_be_bytes()[..], &position.to_be_bytes()].concat();
        self.apply_unanswered_report(&bytes);
        let gateways = f64::from(self.settings.gateways);
        let is_reporter = self.rng.random::<f64>() * gateways < REPORTING_GATEWAYS;
        if self.settings.limits.may_message_peers && known_rate < UNANSWERED_WEIGHT && is_reporter {
            self.actions.push(Action::SendToPeers { to: None, bytes });
        }
    }

    /// Applies a report: four bytes with the backend's number, two bytes with the operation's
    /// position, both big-endian.
    pub(super) fn apply_unanswered_report(&mut self, report: &[u8]) {
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
            rate: known_rate + UNANSWERED_WEIGHT * (1.0 - known_rate),
            computed_at: self.now,
        };
        backend.unanswered_rates.insert(operation, rate);
    }
}

impl BackendState {
    /// Returns the fraction of an operation's attempts that the backend is likely to leave
    /// unanswered.
    pub(super) fn unanswered_rate(&self, operation: OperationId, now: Duration) -> f64 {
        let Some(known) = self.unanswered_rates.get(&operation) else {
            return 0.0;
        };
        let age_s = (now - known.computed_at).as_secs_f64();
        known.rate * (-age_s / HALF_LIFE_S).exp2()
    }
}
