//! Limits on a service's attempts that all proxies share: the retry budget and the slow start of
//! backends.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::{BackendId, Outcome};
use damsonbeam_gateway::dispatcher::{AttemptDecision, AttemptPolicy};
use damsonbeam_gateway::phase::CurrentPhase;

use crate::backend_pool::BackendPool;
use crate::retry_budget::RetryBudget;

/// Applies the shared limits to the attempts of one service.
pub(super) struct SharedLimits {
    pub(super) service: String,
    pub(super) backend_pool: Rc<RefCell<BackendPool>>,
    pub(super) retry_budget: Rc<RefCell<RetryBudget>>,
    pub(super) phase: CurrentPhase,
}

impl AttemptPolicy for SharedLimits {
    fn may_retry(&mut self, _: Duration) -> bool {
        self.retry_budget.borrow_mut().try_spend(&self.service)
    }

    fn before_attempt(&mut self, backend: BackendId, now: Duration) -> AttemptDecision {
        let mut pool = self.backend_pool.borrow_mut();
        let was_warming_up = pool.slow_start().is_warming_up(backend, now);
        let is_allowed = pool.slow_start().take_turn(backend, now);
        if let Some(load_reports) = pool.load_reports().filter(|_| is_allowed) {
            load_reports.attempt_sent(backend, now);
        }
        let health_change = if was_warming_up {
            pool.slow_start().record_closing(backend);
            pool.unavailable_entry(backend, now)
        } else {
            None
        };
        AttemptDecision {
            is_allowed,
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

    /// Returns whether attempts may be cancelled. During shutdown, the proxy waits for running
    /// attempts because the retry budget may not allow a second one.
    fn may_cancel(&self) -> bool {
        !self.phase.get().closes_connections()
    }
}
