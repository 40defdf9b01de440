//! The coordinator's role at one registry: the actions reserved for the lease holder, each checked against the lease
//! at the time of the action. Free of I/O.
//!
//! The lease of a registry that was suspended, slowed down or partitioned may end in the middle of an action. Each step
//! therefore checks the lease again, and a step under an expired term is not done. Messages carry the sender's term, so
//! that proxies, stores and other registries discard those of an earlier term once they know a later one.

use std::time::Duration;

use damsonbeam_control::allotment::{AllotmentChange, AllotmentLedger};
use damsonbeam_control::lease::LeaseElection;
use damsonbeam_control::messages::{Backend, BackendList, BackendListVersion, NamedCount};

use crate::backend_list;
use crate::counts::SharedCounts;

/// Interval between two divisions of the quotas among the proxies.
const DIVISION_INTERVAL: Duration = Duration::from_millis(1000);
/// The first term of the whole system: no coordinator precedes it.
const FIRST_TERM: u64 = 1;

/// The outcome of publishing a list read from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOutcome {
    /// The lease has ended since the reading began: the list was discarded.
    LeaseLost,
    /// The list equals the one that proxies have.
    Unchanged,
    /// The list differs and is to be sent to proxies and to the store.
    Changed,
}

/// Totals of the shared counts to send, and the term under which they were kept.
#[derive(Clone, Debug, PartialEq)]
pub struct CountTotals {
    /// The coordinator's term.
    pub term: u64,
    /// The totals by name.
    pub totals: Vec<NamedCount>,
}

/// The coordinator's role, whether this registry holds it or not.
#[derive(Debug, Default)]
pub struct CoordinatorRole {
    /// The term of the role when the lease was last checked; `None` if the role is not held.
    term: Option<u64>,
    /// Whether the platform's list has been read in the current term.
    has_read_list: bool,
    counts: SharedCounts,
    allotments: AllotmentLedger,
    last_division: Duration,
}

impl CoordinatorRole {
    /// Sets the role's term to the term of the held lease; returns whether the role was taken, lost or changed its term.
    /// `is_initial_start` says that this process takes part in the very first start of the whole system.
    pub fn sync_with_lease(
        &mut self,
        held_term: Option<u64>,
        is_initial_start: bool,
        now: Duration,
    ) -> bool {
        let has_changed = held_term != self.term;
        if has_changed {
            self.term = held_term;
            self.has_read_list = false;
            self.counts.clear();
            let is_first = is_initial_start && held_term == Some(FIRST_TERM);
            self.allotments.begin_term(is_first, now);
        }
        has_changed
    }

    /// Returns the term of the role when the lease was last checked. Actions must use [`CoordinatorRole::acting_term`].
    pub fn term(&self) -> Option<u64> {
        self.term
    }

    /// Returns the term under which this registry may act now; `None` if the lease is not held in the role's term.
    pub fn acting_term(&self, lease: &LeaseElection, now: Duration) -> Option<u64> {
        self.term.filter(|term| lease.held_term(now) == Some(*term))
    }

    /// Returns whether the known list may be sent: a coordinator sends none before it has read the list in its term.
    pub fn may_send_list(&self) -> bool {
        self.term.is_none() || self.has_read_list
    }

    /// Replaces `known` by a list whose reading began in the term `began_in`, unless that term is over or `known` is of
    /// a later term.
    pub fn publish_list(
        &mut self,
        lease: &LeaseElection,
        now: Duration,
        began_in: u64,
        mut backends: Vec<Backend>,
        known: &mut BackendList,
    ) -> ListOutcome {
        let is_current = self.acting_term(lease, now) == Some(began_in);
        if !is_current || known.version.term > began_in {
            return ListOutcome::LeaseLost;
        }
        backends.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        let has_changed =
            !self.has_read_list || backend_list::has_changed(&known.backends, &backends);
        self.has_read_list = true;
        let version = BackendListVersion {
            term: began_in,
            revision: backend_list::next_revision(known.version, began_in, has_changed),
        };
        *known = BackendList { version, backends };
        if has_changed {
            ListOutcome::Changed
        } else {
            ListOutcome::Unchanged
        }
    }

    /// Returns the counts that this registry keeps as the coordinator.
    pub fn counts_mut(&mut self) -> &mut SharedCounts {
        &mut self.counts
    }

    /// Returns the ledger of the quota allotments of all proxies.
    pub fn allotments_mut(&mut self) -> &mut AllotmentLedger {
        &mut self.allotments
    }

    /// Returns the ledger of the quota allotments of all proxies.
    pub fn allotments(&self) -> &AllotmentLedger {
        &self.allotments
    }

    /// Divides the quotas again if due; returns the changes to send and their term.
    pub fn divide_quotas(
        &mut self,
        lease: &LeaseElection,
        now: Duration,
    ) -> Option<(u64, Vec<AllotmentChange>)> {
        let term = self.acting_term(lease, now)?;
        if now < self.last_division + DIVISION_INTERVAL {
            return None;
        }
        self.last_division = now;
        let demands = self.counts.decay_and_read_demands();
        Some((term, self.allotments.rebalance(&demands, now)))
    }

    /// Records the counts reported by an incarnation of a proxy; returns the totals under the same names, or `None` if
    /// this registry is not the coordinator.
    pub fn record_counts(
        &mut self,
        lease: &LeaseElection,
        now: Duration,
        incarnation: u64,
        counts: &[NamedCount],
    ) -> Option<CountTotals> {
        let term = self.acting_term(lease, now)?;
        let totals = counts
            .iter()
            .map(|count| self.counts.record(incarnation, count, now));
        let totals = totals.collect();
        Some(CountTotals { term, totals })
    }

    /// Returns the totals that are due to be sent to all proxies; `None` if there are none.
    pub fn take_count_updates(
        &mut self,
        lease: &LeaseElection,
        now: Duration,
    ) -> Option<CountTotals> {
        let term = self.acting_term(lease, now)?;
        let totals = self.counts.take_due_totals();
        (!totals.is_empty()).then_some(CountTotals { term, totals })
    }
}
