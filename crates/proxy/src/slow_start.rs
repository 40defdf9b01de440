//! Slow start of backends that warm up: what all proxies together may send one in a second, and this proxy's share of it.
//!
//! A backend that warms up is shown to the decision module while a turn for it is due, and hidden once the turn is used.
//! Turns come at the backend's own rate over the number of proxies, the first at a random time: in no second do all
//! proxies together send more than the rate and one each, and they hardly ever do that.

use std::collections::HashMap;
use std::time::Duration;

use damsonbeam::interface::BackendId;

use crate::quota::ASSUMED_PROXIES;

/// The list reports the warm-up this late.
const LIST_DELAY: Duration = Duration::from_millis(400);
/// Requests a second from all proxies, where nothing says what a backend takes while it warms up.
const LEAST_RATE_PER_S: f64 = 1.0;

/// How long a backend warms up, and what it takes meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// The time that is left.
    pub left: Duration,
    /// Requests a second from all proxies together.
    pub rate_per_s: f64,
}

#[derive(Debug)]
struct WarmingBackend {
    until: Duration,
    rate_per_s: f64,
    next_turn: Duration,
}

/// The backends that warm up.
#[derive(Debug)]
pub struct SlowStart {
    proxies: f64,
    warming: HashMap<BackendId, WarmingBackend>,
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart {
            proxies: f64::from(ASSUMED_PROXIES),
            warming: HashMap::new(),
        }
    }
}

impl SlowStart {
    /// Sets the number of proxies that share the backends' rates.
    pub fn set_proxies(&mut self, proxies: u32) {
        self.proxies = f64::from(proxies.max(1));
    }

    /// Between two turns of this proxy.
    fn turn_interval(&self, rate_per_s: f64) -> Duration {
        Duration::from_secs_f64(self.proxies / rate_per_s.max(LEAST_RATE_PER_S))
    }

    /// A backend is reported to warm up; `random`, from 0 to 1, sets its first turn.
    pub fn learn(&mut self, backend: BackendId, warm_up: WarmUp, random: f64, now: Duration) {
        let WarmUp { left, rate_per_s } = warm_up;
        if left.is_zero() {
            return;
        }
        let until = now + left + LIST_DELAY;
        let first_turn = now + self.turn_interval(rate_per_s).mul_f64(random);
        let warming = self.warming.entry(backend).or_insert(WarmingBackend {
            until,
            rate_per_s,
            next_turn: first_turn,
        });
        warming.until = warming.until.max(until);
        warming.rate_per_s = rate_per_s;
    }

    /// Forgets the backends that are warm.
    pub fn forget_warm(&mut self, now: Duration) {
        self.warming.retain(|_, backend| now < backend.until);
    }

    /// Whether a backend warms up.
    pub fn is_warming(&self, backend: BackendId, now: Duration) -> bool {
        self.warming
            .get(&backend)
            .is_some_and(|backend| now < backend.until)
    }

    /// Whether a request may go to a backend now.
    pub fn is_open(&self, backend: BackendId, now: Duration) -> bool {
        let backend = self.warming.get(&backend);
        backend.is_none_or(|backend| now >= backend.until || now >= backend.next_turn)
    }

    /// A request is to go to a backend; returns whether it may.
    pub fn take_turn(&mut self, backend: BackendId, now: Duration) -> bool {
        if !self.is_warming(backend, now) {
            return true;
        }
        if !self.is_open(backend, now) {
            return false;
        }
        let rate_per_s = self.warming[&backend].rate_per_s;
        let next_turn = now + self.turn_interval(rate_per_s);
        if let Some(backend) = self.warming.get_mut(&backend) {
            backend.next_turn = next_turn;
        }
        true
    }

    /// The backends that warm up, and whether a request may go to each.
    pub fn all(&self, now: Duration) -> impl Iterator<Item = (BackendId, bool)> + '_ {
        let backends = self.warming.keys();
        backends.map(move |backend| (*backend, self.is_open(*backend, now)))
    }
}
