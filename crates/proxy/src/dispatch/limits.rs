//! What a service's attempts use up that all proxies share: the retry budget, and the turns of backends that warm up.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::{BackendId, Outcome};
use damsonbeam_gateway::dispatcher::{AttemptDecision, AttemptPolicy};
use damsonbeam_gateway::phase::CurrentPhase;

use crate::backend_pool::BackendPool;
use crate::retry_budget::RetryBudget;

/// What the attempts of one service use up that all proxies share.
pub(super) struct SharedLimits {
    pub(super) service: String,
    pub(super) backend_pool: Rc<RefCell<BackendPool>>,
    pub(super) retry_budget: Rc<RefCell<RetryBudget>>,
    pub(super) phase: CurrentPhase,
}

impl AttemptPolicy for SharedLimits {
    fn may_retry(&mut self, _: Duration) -> bool {
        self.retry_budget.borrow_mut().spend(&self.service)
    }

    fn before_attempt(&mut self, backend: BackendId, now: Duration) -> AttemptDecision {
        let mut pool = self.backend_pool.borrow_mut();
        let was_warming = pool.slow_start().is_warming(backend, now);
        let allowed = pool.slow_start().take_turn(backend, now);
        if let Some(load_reports) = pool.load_reports().filter(|_| allowed) {
            load_reports.attempt_sent(backend, now);
        }
        let health_change = if was_warming {
            pool.closed_entry(backend, now)
        } else {
            None
        };
        AttemptDecision {
            allowed,
            health_change,
        }
    }

    fn after_attempt(
        &mut self,
        backend: BackendId,
        outcome: Outcome,
        took: Duration,
        now: Duration,
    ) {
        if let Some(load_reports) = self.backend_pool.borrow_mut().load_reports() {
            load_reports.attempt_ended(backend, outcome, took, now);
        }
    }

    /// Told to end, a proxy waits for what its backends work on: the budget may allow no second attempt.
    fn may_cancel(&self) -> bool {
        !self.phase.get().closes_connections()
    }
}
