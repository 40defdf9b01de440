//! Slow start of backends: limits what all proxies together send per second to a backend that warms
//! up, and computes this proxy's share.
//!
//! A backend that warms up is available to the decision module while a turn for it is due, and
//! unavailable once the turn is used. Each proxy has turns at the backend's rate divided by the
//! number of proxies, the first at a random time. In any second, all proxies together send at most
//! the rate plus one request per proxy, and rarely that many.

use std::collections::HashMap;
use std::time::Duration;

use damsonbeam::interface::BackendId;

use crate::quota::ASSUMED_PROXIES;

/// Delay until the platform's list reports a warm-up.
const LIST_DELAY: Duration = Duration::from_millis(400);
/// Minimum requests per second from all proxies, also used if a backend's rate during warm-up is
/// unknown.
const MIN_RATE_PER_S: f64 = 1.0;

/// Remaining warm-up time of a backend and its request rate meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Remaining warm-up time.
    pub remaining: Duration,
    /// Requests per second from all proxies together.
    pub rate_per_s: f64,
}

#[derive(Debug)]
struct WarmingBackend {
    until: Duration,
    rate_per_s: f64,
    next_turn: Duration,
    /// Whether the decision modules were told that the backend is available.
    is_announced: bool,
}

/// The backends that warm up, and this proxy's turns.
#[derive(Debug)]
pub struct SlowStart {
    proxies: f64,
    warming_backends: HashMap<BackendId, WarmingBackend>,
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart {
            proxies: f64::from(ASSUMED_PROXIES),
            warming_backends: HashMap::new(),
        }
    }
}

impl SlowStart {
    /// Sets the number of proxies that share the backends' rates.
    pub fn set_proxy_count(&mut self, proxies: u32) {
        self.proxies = f64::from(proxies.max(1));
    }

    /// Returns the interval between two turns of this proxy.
    fn turn_interval(&self, rate_per_s: f64) -> Duration {
        Duration::from_secs_f64(self.proxies / rate_per_s.max(MIN_RATE_PER_S))
    }

    /// Records that a backend is reported to warm up. `random`, from 0 to 1, determines the time of
    /// its first turn.
    pub fn record_warm_up(
        &mut self,
        backend: BackendId,
        warm_up: WarmUp,
        random: f64,
        now: Duration,
    ) {
        let WarmUp {
            remaining,
            rate_per_s,
        } = warm_up;
        if remaining.is_zero() {
            return;
        }
        let until = now + remaining + LIST_DELAY;
        let first_turn = now + self.turn_interval(rate_per_s).mul_f64(random);
        let warming = self
            .warming_backends
            .entry(backend)
            .or_insert(WarmingBackend {
                until,
                rate_per_s,
                next_turn: first_turn,
                is_announced: false,
            });
        warming.until = warming.until.max(until);
        warming.rate_per_s = rate_per_s;
    }

    /// Removes backends that have warmed up.
    pub fn remove_warm(&mut self, now: Duration) {
        self.warming_backends
            .retain(|_, backend| now < backend.until);
    }

    /// Returns whether a backend is warming up.
    pub fn is_warming_up(&self, backend: BackendId, now: Duration) -> bool {
        self.warming_backends
            .get(&backend)
            .is_some_and(|backend| now < backend.until)
    }

    /// Returns whether a request may go to a backend now.
    pub fn is_open(&self, backend: BackendId, now: Duration) -> bool {
        let backend = self.warming_backends.get(&backend);
        backend.is_none_or(|backend| backend.is_open(now))
    }

    /// Uses the turn for a backend; returns whether a request may go to it.
    pub fn take_turn(&mut self, backend: BackendId, now: Duration) -> bool {
        if !self.is_warming_up(backend, now) {
            return true;
        }
        if !self.is_open(backend, now) {
            return false;
        }
        let rate_per_s = self.warming_backends[&backend].rate_per_s;
        let next_turn = now + self.turn_interval(rate_per_s);
        if let Some(backend) = self.warming_backends.get_mut(&backend) {
            backend.next_turn = next_turn;
        }
        true
    }

    /// Records that all decision modules have been told which backends are open.
    pub fn record_announcement(&mut self, now: Duration) {
        for warming in self.warming_backends.values_mut() {
            warming.is_announced = warming.is_open(now);
        }
    }

    /// Records that a decision module has been told that a backend is unavailable.
    pub fn record_closing(&mut self, backend: BackendId) {
        if let Some(warming) = self.warming_backends.get_mut(&backend) {
            warming.is_announced = false;
        }
    }

    /// Returns whether a backend is open that some decision module holds to be unavailable.
    pub fn needs_announcement(&self, now: Duration) -> bool {
        let mut backends = self.warming_backends.values();
        backends.any(|warming| !warming.is_announced && warming.is_open(now))
    }
}

impl WarmingBackend {
    fn is_open(&self, now: Duration) -> bool {
        now >= self.until || now >= self.next_turn
    }
}
