//! Handling of backend lists.

use std::time::Duration;

use rand::Rng;

use super::Rules;
use super::backend::BackendState;
use super::timers::Timer;
use crate::interface::{BackendEntry, Discovery, Health, ListUpdate};

/// Gateways spread their subscription calls over about this time multiplied by their number. If all
/// call at once, discovery serves none of them.
const WATCH_DELAY_PER_GATEWAY: Duration = Duration::from_millis(50);

impl Rules {
    /// Applies a list of backends.
    pub(super) fn update_backends(&mut self, form: ListUpdate, entries: &[BackendEntry]) {
        let has_failed = form == ListUpdate::Unavailable;
        let is_subscribed = self.settings.discovery == Discovery::Subscribed;
        if has_failed || form == ListUpdate::Restored && is_subscribed {
            self.schedule_list_request(has_failed, !entries.is_empty());
        }
        if form != ListUpdate::Update && !has_failed {
            // A backend that is missing from a full list is gone.
            for backend in self.backends.values_mut() {
                backend.entry.health = Health::Removed;
            }
        }
        for entry in entries {
            self.update_backend(entry);
        }
        let span = self.settings.overload_span;
        let is_used =
            |backend: &BackendState| backend.in_flight > 0 || backend.credit_at + span > self.now;
        self.backends
            .retain(|_, backend| backend.entry.health != Health::Removed || is_used(backend));
    }

    /// Schedules a request for the list after a random delay, or at once if the restored list
    /// is empty.
    fn schedule_list_request(&mut self, has_failed: bool, has_backends: bool) {
        let waits = has_failed || has_backends;
        let max_delay = WATCH_DELAY_PER_GATEWAY * self.settings.gateways * u32::from(waits);
        let fraction = self.rng.random::<f64>() + f64::from(has_failed) / 2.0;
        let at = self.now + max_delay.mul_f64(fraction);
        self.timers.insert((at, Timer::WatchBackendList));
    }

    fn update_backend(&mut self, entry: &BackendEntry) {
        let backend = self.backends.entry(entry.backend_id).or_default();
        if entry.health != Health::Up {
            // The backend may return as the same process. Its statistics and its warm-up credit are
            // kept.
            backend.entry.health = entry.health;
            return;
        }
        if backend.credit_at.is_zero() || backend.entry.started_at != entry.started_at {
            // A new process: measurements of the previous one do not apply.
            *backend = BackendState {
                in_flight: backend.in_flight,
                credit: -self.mean_units * self.rng.random::<f64>(),
                credit_at: self.now,
                ..BackendState::default()
            };
        }
        backend.entry = entry.clone();
    }

    /// Returns the number of listed backends, and how many of them are draining or blocked.
    pub fn backend_counts(&self) -> (usize, usize) {
        let all = self.backends.values();
        let listed = all.filter(|backend| backend.entry.health != Health::Removed);
        let is_avoided = |backend: &&BackendState| {
            backend.entry.health == Health::Draining || self.now < backend.blocked_until
        };
        (listed.clone().count(), listed.filter(is_avoided).count())
    }
}
