//! How a proxy catches up with the registries: with one at a time, in chunks that stay when the connection is lost. Free of
//! I/O.

use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::ConfigSnapshot;
use damsonbeam_control::messages::{Backend, BackendList, BackendListVersion, TransferMessage};
use damsonbeam_control::transfer::{Received, Receiver};

/// The rounds in which the proxy catches up with the configuration.
#[derive(Default)]
pub struct ConfigTransfer {
    receiver: Receiver,
    /// The registry of the present round.
    source: Option<Ip>,
    /// The present round brought something.
    has_changed: bool,
    has_first_snapshot: bool,
}

/// What came of a registry's message.
#[derive(Default)]
pub struct Progress {
    /// To be sent to that registry.
    pub requests: Vec<TransferMessage>,
    /// The snapshot has changed, and may be put in force.
    pub changed: bool,
}

impl ConfigTransfer {
    /// Whether everything that one registry had at a time has been received: before that, what is missing here may exist.
    pub fn has_first_snapshot(&self) -> bool {
        self.has_first_snapshot
    }

    /// The message by which a round with a registry begins; `None` while another round goes on.
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

    /// The connection to a registry is lost: a round with it will not end.
    pub fn source_lost(&mut self, registry: Ip) {
        if self.source == Some(registry) {
            self.receiver.abort();
        }
    }

    /// Takes a registry's message: its items are merged into the snapshot.
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

/// Pages of a list of backends of which not all have come yet.
#[derive(Default)]
pub struct BackendPages {
    version: BackendListVersion,
    pages: Vec<Option<Vec<Backend>>>,
}

impl BackendPages {
    /// Takes a page; returns the backends of the list once the last page has come. Pages of an older list are dropped.
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
