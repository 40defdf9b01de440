//! The proxies known from their status reports, whichever connection the reports came over: their phases, and which
//! proxies were lost without a planned shutdown. Free of I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use damsonbeam_control::messages::ProxyStatus;

use crate::directory::ProxyPhase;

/// Time after the last report of a proxy during which the proxy keeps its share of each quota, because it may still be
/// serving clients without contact to the registries.
const KNOWN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which an unplanned loss counts as recent.
const RECENT_LOSS: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct KnownProxy {
    incarnation: u64,
    zone: String,
    phase: ProxyPhase,
    last_seen: Duration,
    /// Time at which a ready incarnation of the proxy was last replaced without a planned shutdown.
    crashed_at: Option<Duration>,
}

impl KnownProxy {
    fn new(status: &ProxyStatus, now: Duration) -> Self {
        KnownProxy {
            incarnation: status.incarnation,
            zone: status.zone.clone(),
            phase: ProxyPhase::Starting,
            last_seen: now,
            crashed_at: None,
        }
    }

    fn observe(&mut self, status: &ProxyStatus, now: Duration) {
        if status.incarnation != self.incarnation {
            let has_crashed = self.phase == ProxyPhase::Ready;
            let crashed_at = has_crashed.then_some(now).or(self.crashed_at);
            *self = KnownProxy::new(status, now);
            self.crashed_at = crashed_at;
        }
        self.last_seen = now;
        self.phase = match (self.phase, status.ready) {
            (_, true) => ProxyPhase::Ready,
            (ProxyPhase::Starting, false) => ProxyPhase::Starting,
            // A proxy stops being ready only when its shutdown begins.
            (ProxyPhase::Ready | ProxyPhase::Leaving, false) => ProxyPhase::Leaving,
        };
    }

    /// Returns the time of the proxy's last unplanned loss. A ready proxy that is not attached counts as lost since it
    /// was last seen.
    fn lost_at(&self, is_attached: bool) -> Option<Duration> {
        if self.phase == ProxyPhase::Ready && !is_attached {
            Some(self.last_seen)
        } else {
            self.crashed_at
        }
    }
}

/// The proxies seen recently, by node.
#[derive(Debug, Default)]
pub struct KnownProxies {
    by_node: BTreeMap<String, KnownProxy>,
    /// Incarnations that have sent a departure notice, by node, until another incarnation runs on the node.
    departed: BTreeMap<String, u64>,
}

impl KnownProxies {
    /// Processes a status report; returns the incarnation that the reporting one has replaced, if any.
    pub fn observe(&mut self, status: &ProxyStatus, now: Duration) -> Option<u64> {
        if self.departed.get(&status.node) == Some(&status.incarnation) {
            // A report from before the departure notice that was delayed on another connection.
            return None;
        }
        self.departed.remove(&status.node);
        let known = self
            .by_node
            .entry(status.node.clone())
            .or_insert_with(|| KnownProxy::new(status, now));
        let before = known.incarnation;
        known.observe(status, now);
        (before != status.incarnation).then_some(before)
    }

    /// Returns whether another incarnation was last seen on the node of this one.
    pub fn is_replaced(&self, status: &ProxyStatus) -> bool {
        let known = self.by_node.get(&status.node);
        known.is_some_and(|proxy| proxy.incarnation != status.incarnation)
    }

    /// Processes a departure notice. The proxy admits no more requests, so it is no longer counted from now on.
    pub fn record_departure(&mut self, status: &ProxyStatus) {
        self.by_node.remove(&status.node);
        self.departed
            .insert(status.node.clone(), status.incarnation);
    }

    /// Returns the number of proxies that have shut down as planned and have not started again.
    pub fn departed_count(&self) -> usize {
        self.departed.len()
    }

    /// Removes proxies not seen for `KNOWN_TIMEOUT`; returns the number of the others, which may be using their shares
    /// of the quotas.
    pub fn expire_and_count(&mut self, now: Duration) -> usize {
        self.by_node
            .retain(|_, proxy| now < proxy.last_seen + KNOWN_TIMEOUT);
        self.by_node.len()
    }

    /// Returns the phase of a proxy; `Starting` if the proxy is not known.
    pub fn phase(&self, node: &str) -> ProxyPhase {
        let known = self.by_node.get(node);
        known.map_or(ProxyPhase::Starting, |proxy| proxy.phase)
    }

    /// Returns the zones of proxies lost recently without a planned shutdown. `attached` are the nodes now attached.
    pub fn zones_with_recent_loss(&self, attached: &BTreeSet<&str>, now: Duration) -> Vec<&str> {
        let is_recent = |node: &str, proxy: &KnownProxy| {
            let lost_at = proxy.lost_at(attached.contains(node));
            lost_at.is_some_and(|at| now < at + RECENT_LOSS)
        };
        let lost = self
            .by_node
            .iter()
            .filter(|(node, proxy)| is_recent(node, proxy));
        lost.map(|(_, proxy)| proxy.zone.as_str()).collect()
    }
}
