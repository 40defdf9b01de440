//! Transfers the configuration and the backend list from the registries to a proxy, without I/O. The configuration
//! comes from one registry at a time, in chunks; chunks received before a connection is lost are kept.

use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::ConfigSnapshot;
use damsonbeam_control::messages::{Backend, BackendList, BackendListVersion, TransferMessage};
use damsonbeam_control::transfer::{Received, Receiver};

/// The receiving side of configuration transfers. A transfer runs in rounds, each with one registry.
#[derive(Default)]
pub struct ConfigTransfer {
    receiver: Receiver,
    /// The registry of the current round.
    source: Option<Ip>,
    /// Whether the current round has changed the snapshot.
    has_changed: bool,
    /// Whether a round was completed.
    has_first_snapshot: bool,
}

/// The result of handling a registry's message.
#[derive(Default)]
pub struct Progress {
    /// Requests to be sent to that registry.
    pub requests: Vec<TransferMessage>,
    /// Whether the snapshot is complete and is to be applied, as it has changed or is the first one.
    pub changed: bool,
}

impl ConfigTransfer {
    /// Returns whether everything that one registry had at some time has been received. Before that, an item may exist
    /// although it is missing here.
    pub fn has_first_snapshot(&self) -> bool {
        self.has_first_snapshot
    }

    /// Starts a round with a registry, and returns its first message. Returns `None` while another round is in progress
    /// and has not stalled.
    pub fn begin(
        &mut self,
        from: Ip,
        snapshot: &ConfigSnapshot,
        now: Duration,
    ) -> Option<TransferMessage> {
        if !self.receiver.is_idle() && !self.receiver.is_stalled(now) {
            return None;
        }
        self.source = Some(from);
        Some(self.receiver.begin(snapshot, now))
    }

    /// Aborts the current round if it is with this registry, whose connection was lost.
    pub fn abort_from(&mut self, registry: Ip) {
        if self.source == Some(registry) {
            self.receiver.abort();
        }
    }

    /// Merges the items of a registry's message into the snapshot. A message of another registry than that of the
    /// current round is ignored.
    pub fn receive(
        &mut self,
        from: Ip,
        snapshot: &mut ConfigSnapshot,
        message: TransferMessage,
        now: Duration,
    ) -> Progress {
        if self.source != Some(from) {
            return Progress::default();
        }
        let Received { items, complete } = self.receiver.receive(snapshot, message, now);
        for item in items {
            self.has_changed |= snapshot.merge(item);
        }
        let is_complete = complete.is_some();
        let changed = is_complete && (self.has_changed || !self.has_first_snapshot);
        if is_complete {
            self.has_first_snapshot = true;
            self.has_changed = false;
        }
        Progress {
            requests: self.receiver.requests(snapshot),
            changed,
        }
    }
}

/// The pages received so far of a backend list that is not yet complete.
#[derive(Default)]
pub struct BackendPages {
    version: BackendListVersion,
    pages: Vec<Option<Vec<Backend>>>,
}

impl BackendPages {
    /// Adds a page, and returns the backends of the list once all its pages have been received. Pages of an older list
    /// are dropped.
    pub fn add(&mut self, page: BackendList, number: usize, count: usize) -> Option<Vec<Backend>> {
        if page.version < self.version || number >= count {
            return None;
        }
        if page.version > self.version || self.pages.len() != count {
            self.version = page.version;
            self.pages = vec![None; count];
        }
        self.pages[number] = Some(page.backends);
        if self.pages.iter().any(Option::is_none) {
            return None;
        }
        let pages = std::mem::take(&mut self.pages);
        Some(pages.into_iter().flatten().flatten().collect())
    }
}
