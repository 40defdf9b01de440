//! Limit on concurrent attempts at the backends, adapted to their latencies.

use std::time::Duration;

use super::Rules;
use super::backend::BackendState;
use crate::interface::{Health, OperationId};

/// Initial, minimum and maximum number of attempts that a backend takes at once from all gateways
/// together. The minimum is a few cores' worth of work.
pub(super) const INITIAL_LIMIT: f64 = 12.0;
const MIN_LIMIT: f64 = 5.0;
const MAX_LIMIT: f64 = 60.0;
/// Slow answers multiply the limit by this factor within about one latency; fast answers raise it
/// by 1 in the same time.
const DECREASE_FACTOR: f64 = 0.8;
/// The limit grows while answers take less than this fraction of the objective, which leaves time
/// for another attempt, and falls otherwise.
const GROWTH_LATENCY_FRACTION: f64 = 0.1;

impl Rules {
    /// Returns the number of this gateway's attempts in flight.
    pub(super) fn in_flight(&self) -> f64 {
        let attempts = self.backends.values().map(|backend| backend.in_flight);
        f64::from(attempts.sum::<u32>())
    }

    /// Returns this gateway's share of the limit of a warm backend.
    pub(super) fn local_limit_per_backend(&self) -> f64 {
        self.concurrency_limit / self.gateway_count()
    }

    /// Returns this gateway's share of the limit of all backends. The share may be below one
    /// attempt per backend: hundreds of gateways with one attempt each would overload a backend.
    pub(super) fn local_concurrency_limit(&self) -> f64 {
        let is_usable = |backend: &&BackendState| {
            backend.entry.health == Health::Up && self.now >= backend.blocked_until
        };
        let local_limit = self.local_limit_per_backend();
        let usable = self.backends.values().filter(is_usable);
        let limits = usable.map(|backend| self.warm_up_fraction(&backend.entry) * local_limit);
        limits.sum::<f64>().max(1.0)
    }

    /// Adapts the limit to the latency of an answer.
    pub(super) fn adjust_concurrency_limit(&mut self, operation: OperationId, latency: Duration) {
        let objective = self.settings.operations[operation.0].latency_objective;
        let step = if latency > objective.mul_f64(GROWTH_LATENCY_FRACTION) {
            (DECREASE_FACTOR - 1.0) * self.concurrency_limit
        } else {
            1.0
        };
        let limit = self.concurrency_limit + step / self.local_concurrency_limit();
        self.concurrency_limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }
}
