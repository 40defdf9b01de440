//! Whether a proxy that has just started may serve with what the registries have sent it. Free of I/O.
//!
//! A registry that is out of contact with a majority of the voters may send an old configuration and an old list of
//! backends. A proxy that has served goes on with what it has, merged by version. A fresh one waits for a registry in
//! contact that has nothing beyond what it was sent; only where none is found in [`FALLBACK_AFTER`] it serves with what
//! there is.
//!
//! How the rules hold then: each route, key and home region that it follows was in force once (ROUTE, HOME); the quotas
//! are shared among [`crate::quota::ASSUMED_PROXIES`] proxies at least, whatever the registry has met (QUOTA); requests
//! name the backend's start, so an address used again runs nothing; and a machine whose only registries are cut off from
//! most of the core is not in touch (CONFIG, EVAC, DRAIN). Once a registry in contact is met, its newer items prevail, and
//! nothing goes back.

use std::time::Duration;

/// A proxy that could serve looks for a registry in contact for this long.
pub const FALLBACK_AFTER: Duration = Duration::from_millis(2500);

/// What a proxy begins to serve with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// What a registry in contact had.
    Current,
    /// What registries out of contact had.
    PossiblyOld,
}

/// What is known of the registries' state.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    has_current_items: bool,
    has_current_list: bool,
    /// Since when there has been something to serve.
    complete_since: Option<Duration>,
}

impl Freshness {
    /// Takes a registry's heartbeat: whether it is in contact, and whether the proxy has all of its items and its list.
    pub fn observe(&mut self, in_contact: bool, has_its_items: bool, has_its_list: bool) {
        self.has_current_items |= in_contact && has_its_items;
        self.has_current_list |= in_contact && has_its_list;
    }

    /// Whether a registry in contact had nothing beyond what the proxy was sent.
    pub fn is_current(&self) -> bool {
        self.has_current_items && self.has_current_list
    }

    /// Whether to begin to serve, and with what; `is_complete`: there are routes and backends.
    pub fn may_serve(&mut self, is_complete: bool, now: Duration) -> Option<Basis> {
        if !is_complete {
            return None;
        }
        if self.is_current() {
            return Some(Basis::Current);
        }
        let since = *self.complete_since.get_or_insert(now);
        (now >= since + FALLBACK_AFTER).then_some(Basis::PossiblyOld)
    }
}
