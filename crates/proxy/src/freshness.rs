//! Decides whether a proxy that has just started may serve with the state it received from
//! registries. Free of I/O.
//!
//! A registry that is out of contact with the majority of the voters may send an old configuration
//! and an old list of backends. A proxy that is already serving continues with its own state,
//! merged by version. A new proxy waits for a registry in contact whose state it has received
//! completely. If it finds none within [`FALLBACK_AFTER`], it serves with the state it has.
//!
//! The guarantees hold in this case as well. Each route, key and home region in use was in force at
//! some time (ROUTE, HOME). Quotas are shared among at least [`crate::quota::ASSUMED_PROXIES`]
//! proxies, however many the registry knows (QUOTA). Requests name the start of the target backend,
//! so a reused address executes nothing. A machine whose registries are all cut off from most of
//! the core counts as out of contact for CONFIG, EVAC and DRAIN. Once a registry in contact is
//! found, its newer items take precedence, and no item returns to an older version.

use std::time::Duration;

/// How long a proxy that could serve waits for a registry in contact.
pub const FALLBACK_AFTER: Duration = Duration::from_millis(2500);

/// The state with which a proxy begins to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// State confirmed by a registry in contact.
    Current,
    /// State from registries out of contact only.
    PossiblyStale,
}

/// What is known about the state of the registries.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    has_current_items: bool,
    has_current_list: bool,
    /// When a servable state was first complete.
    complete_since: Option<Duration>,
}

impl Freshness {
    /// Records a registry's heartbeat: whether the registry is in contact, and whether the proxy
    /// has all its items and its list of backends.
    pub fn observe(&mut self, in_contact: bool, has_its_items: bool, has_its_list: bool) {
        self.has_current_items |= in_contact && has_its_items;
        self.has_current_list |= in_contact && has_its_list;
    }

    /// Returns whether the proxy has the complete state of a registry in contact.
    pub fn is_current(&self) -> bool {
        self.has_current_items && self.has_current_list
    }

    /// Returns whether to begin to serve, and with which state. `is_complete` says whether a
    /// configuration and backends are known.
    pub fn serving_state(&mut self, is_complete: bool, now: Duration) -> Option<ServingState> {
        if !is_complete {
            return None;
        }
        if self.is_current() {
            return Some(ServingState::Current);
        }
        let since = *self.complete_since.get_or_insert(now);
        (now >= since + FALLBACK_AFTER).then_some(ServingState::PossiblyStale)
    }
}
