//! The coordinator's duty at one registry: acts that only the holder of the lease may do, each checked against the lease
//! when it is done. Free of I/O.
//!
//! A registry that was frozen, slowed or cut off may be in the middle of an act when its lease ends. It asks here
//! before each act: an act under a term that is over is not done. What it sent before bears its term, by which
//! proxies, stores and other registries drop it once they know a later one.

use std::time::Duration;

use damsonbeam_control::lease::LeaseElection;
use damsonbeam_control::messages::{BackendSnapshot, NamedCount, Server};

use crate::backend_list::{self, is_news};
use crate::counts::SharedCounts;

/// What became of a reading of the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The lease has ended since the reading began: it was dropped.
    LeaseLost,
    Unchanged,
    /// Proxies and stores are to be told.
    Changed,
}

#[derive(Debug, Default)]
pub struct Duty {
    term: Option<u64>,
    /// The list has been read in the present term.
    has_listed: bool,
    pub counts: SharedCounts,
}

impl Duty {
    /// Follows the lease; tells whether the duty was taken or is over.
    pub fn follow(&mut self, held: Option<u64>) -> bool {
        let has_changed = held != self.term;
        if has_changed {
            self.term = held;
            self.has_listed = false;
            self.counts.clear();
        }
        has_changed
    }

    /// The term of the duty as of the last look at the lease; acts ask [`Duty::term_now`].
    pub fn term(&self) -> Option<u64> {
        self.term
    }

    /// The term by which this registry may act now.
    pub fn term_now(&self, lease: &LeaseElection, now: Duration) -> Option<u64> {
        self.term.filter(|term| lease.holds(now) == Some(*term))
    }

    /// Whether the list here may be given away: a holder that has not read it yet gives none.
    pub fn may_give_list(&self) -> bool {
        self.term.is_none() || self.has_listed
    }

    /// Takes a reading of the list that began under a term.
    pub fn publish(
        &mut self,
        lease: &LeaseElection,
        now: Duration,
        began_in: u64,
        mut servers: Vec<Server>,
        known: &mut BackendSnapshot,
    ) -> Reading {
        if self.term_now(lease, now) != Some(began_in) || known.term > began_in {
            return Reading::LeaseLost;
        }
        servers.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        let has_changed = !self.has_listed || is_news(&known.servers, &servers);
        self.has_listed = true;
        let reading = backend_list::reading(known, began_in, has_changed);
        *known = BackendSnapshot {
            term: began_in,
            reading,
            servers,
        };
        if has_changed {
            Reading::Changed
        } else {
            Reading::Unchanged
        }
    }

    /// What a proxy's life holds: the totals and their term, while the duty is this registry's.
    pub fn count(
        &mut self,
        lease: &LeaseElection,
        now: Duration,
        life: u64,
        held: &[NamedCount],
    ) -> Option<(u64, Vec<NamedCount>)> {
        let term = self.term_now(lease, now)?;
        Some((
            term,
            held.iter()
                .map(|count| self.counts.hold(life, count, now))
                .collect(),
        ))
    }

    /// Totals that all proxies are to be told now, and their term.
    pub fn count_news(
        &mut self,
        lease: &LeaseElection,
        now: Duration,
    ) -> Option<(u64, Vec<NamedCount>)> {
        let term = self.term_now(lease, now)?;
        Some(self.counts.news())
            .filter(|news| !news.is_empty())
            .map(|news| (term, news))
    }
}
