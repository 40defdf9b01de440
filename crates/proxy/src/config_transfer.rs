//! How a proxy catches up with the registries: with one at a time, in chunks that stay when the connection is lost. Free of
//! I/O.

use std::time::Duration;

use damsonbeam_control::items::ConfigSnapshot;
use damsonbeam_control::messages::{BackendSnapshot, Ip, Server};
use damsonbeam_control::transfer::{Received, Receiver, TransferMessage};

/// The rounds in which the configuration is caught up with.
#[derive(Default)]
pub struct ConfigTransfer {
    receiver: Receiver,
    /// The registry of the present round.
    source: Option<Ip>,
    /// The present round brought something.
    changed: bool,
    has_first_snapshot: bool,
}

/// What came of a registry's message.
#[derive(Default)]
pub struct Progress {
    /// To send to that registry.
    pub requests: Vec<TransferMessage>,
    /// The snapshot has changed, and may be put in force.
    pub changed: bool,
}

impl ConfigTransfer {
    /// Whether all that one registry had at a time has been received: before that, what is missing here may exist.
    pub fn has_first_snapshot(&self) -> bool {
        self.has_first_snapshot
    }

    /// The message by which a round with a registry begins; none while another round goes on.
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

    /// The connection to a registry is gone: a round with it will not end.
    pub fn lost(&mut self, registry: Ip) {
        if self.source == Some(registry) {
            self.receiver.abort();
        }
    }

    /// A registry's message: its items are merged into the snapshot.
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
            self.changed |= snapshot.merge(item);
        }
        let changed = complete.is_some() && (self.changed || !self.has_first_snapshot);
        if complete.is_some() {
            self.has_first_snapshot = true;
            self.changed = false;
        }
        Progress {
            requests: self.receiver.requests(snapshot),
            changed,
        }
    }
}

/// Pages of a list of backends that has not come as a whole yet.
#[derive(Default)]
pub struct BackendPages {
    list: (u64, u64),
    pages: Vec<Option<Vec<Server>>>,
}

impl BackendPages {
    /// Takes a page in; returns the servers of the list once the last is there. Pages of an older list are dropped.
    pub fn add(
        &mut self,
        page: BackendSnapshot,
        number: usize,
        count: usize,
    ) -> Option<Vec<Server>> {
        let list = (page.term, page.reading);
        if list < self.list || number >= count {
            return None;
        }
        if list > self.list || self.pages.len() != count {
            self.list = list;
            self.pages = vec![None; count];
        }
        self.pages[number] = Some(page.servers);
        if self.pages.iter().any(Option::is_none) {
            return None;
        }
        Some(
            std::mem::take(&mut self.pages)
                .into_iter()
                .flatten()
                .flatten()
                .collect(),
        )
    }
}
