//! How many attempts the backends take at once: the limit follows their answers.

use std::time::Duration;

use super::Rules;
use super::backend::BackendState;
use crate::interface::{Health, OperationId};

/// Attempts that a backend takes at once from all gateways together: at first, at least (a few cores' worth), at most.
pub(super) const INITIAL_LIMIT: f64 = 12.0;
const MIN_LIMIT: f64 = 5.0;
const MAX_LIMIT: f64 = 60.0;
/// The limit falls by this in about an answer's time while answers are slow, and grows by one at ease.
const DECREASE_FACTOR: f64 = 0.8;
/// It grows while answers take less than this part of the objective, and falls beyond: time for another attempt.
const EASY_PART_OF_OBJECTIVE: f64 = 0.1;

impl Rules {
    /// Attempts from here that are out.
    pub(super) fn in_flight(&self) -> f64 {
        let attempts = self.backends.values().map(|backend| backend.in_flight);
        f64::from(attempts.sum::<u32>())
    }

    /// This gateway's part of a warm backend's limit.
    pub(super) fn own_limit_per_backend(&self) -> f64 {
        self.concurrency_limit / self.gateway_count()
    }

    /// This gateway's part of the fleet's limit: hundreds that each held one place at a backend would jam it.
    pub(super) fn own_concurrency_limit(&self) -> f64 {
        let is_usable = |backend: &&BackendState| {
            backend.entry.health == Health::Up && self.now >= backend.blocked_until
        };
        let own_limit = self.own_limit_per_backend();
        let usable = self.backends.values().filter(is_usable);
        let limits = usable.map(|backend| self.warmth(&backend.entry) * own_limit);
        limits.sum::<f64>().max(1.0)
    }

    /// An attempt was answered after `took`.
    pub(super) fn adjust_concurrency_limit(&mut self, operation: OperationId, took: Duration) {
        let objective = self.settings.operations[operation.0].latency_objective;
        let step = if took > objective.mul_f64(EASY_PART_OF_OBJECTIVE) {
            (DECREASE_FACTOR - 1.0) * self.concurrency_limit
        } else {
            1.0
        };
        let limit = self.concurrency_limit + step / self.own_concurrency_limit();
        self.concurrency_limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }
}
