//! New lists of backends.

use std::time::Duration;

use rand::Rng;

use super::Rules;
use super::backend::BackendState;
use super::timers::Timer;
use crate::interface::{BackendEntry, Discovery, Health, ListForm};

/// A subscription is asked for within about this times the gateways: all at once, and discovery serves none.
const WATCH_DELAY_PER_GATEWAY: Duration = Duration::from_millis(50);

impl Rules {
    /// Takes a list of backends.
    pub(super) fn update_backends(&mut self, form: ListForm, entries: &[BackendEntry]) {
        let has_failed = form == ListForm::Unavailable;
        let is_subscribed = self.settings.discovery == Discovery::Subscribed;
        if has_failed || form == ListForm::Restored && is_subscribed {
            self.ask_for_list(has_failed, !entries.is_empty());
        }
        if form != ListForm::Update && !has_failed {
            // Absent from a whole list is gone.
            for backend in self.backends.values_mut() {
                backend.entry.health = Health::Gone;
            }
        }
        for entry in entries {
            self.update_backend(entry);
        }
        let span = self.settings.overload_span;
        let is_used =
            |backend: &BackendState| backend.in_flight > 0 || backend.credit_at + span > self.now;
        self.backends
            .retain(|_, backend| backend.entry.health != Health::Gone || is_used(backend));
    }

    /// Asks for the list after a while; at once where nothing is known yet.
    fn ask_for_list(&mut self, has_failed: bool, has_backends: bool) {
        let waits = has_failed || has_backends;
        let longest = WATCH_DELAY_PER_GATEWAY * self.settings.gateways * u32::from(waits);
        let part = self.rng.random::<f64>() + f64::from(has_failed) / 2.0;
        let at = self.now + longest.mul_f64(part);
        self.timers.insert((at, Timer::WatchBackendList));
    }

    fn update_backend(&mut self, entry: &BackendEntry) {
        let backend = self.backends.entry(entry.backend_id).or_default();
        if entry.health != Health::Up {
            // It may come back as it was, with what it was sent while it warmed up.
            backend.entry.health = entry.health;
            return;
        }
        if backend.credit_at.is_zero() || backend.entry.since != entry.since {
            // A new process: nothing measured of the last one holds.
            *backend = BackendState {
                in_flight: backend.in_flight,
                credit: -self.mean_units * self.rng.random::<f64>(),
                credit_at: self.now,
                ..BackendState::default()
            };
        }
        backend.entry = entry.clone();
    }

    /// Backends listed, and those of them that are avoided now.
    pub fn backends(&self) -> (usize, usize) {
        let all = self.backends.values();
        let listed = all.filter(|backend| backend.entry.health != Health::Gone);
        let is_avoided = |backend: &&BackendState| {
            backend.entry.health == Health::Draining || self.now < backend.blocked_until
        };
        (listed.clone().count(), listed.filter(is_avoided).count())
    }
}
