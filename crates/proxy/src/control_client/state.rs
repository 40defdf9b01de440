//! The merged data of all registries.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::address::{Ip, ip_octets};
use damsonbeam_control::config::{ConfigSnapshot, Item};
use damsonbeam_control::link::MessageSender;
use damsonbeam_control::messages::{BackendListVersion, Message, ProxyStatus, encode};
use damsonbeam_control::settings::Settings;
use tokio::time::Instant;

use crate::config_transfer::{BackendPages, ConfigTransfer};
use crate::coordinator::{Coordinator, CoordinatorTime};
use crate::freshness::Freshness;

/// A registry that no heartbeat has listed for this long is dropped, unless it is a seed.
const REGISTRY_TIMEOUT: Duration = Duration::from_secs(20);

/// The control state as shared by the tasks of the one thread. No task holds a borrow across an `await`.
pub type SharedControlState = Rc<RefCell<ControlState>>;

/// The data received from all registries, and the connections to them.
pub struct ControlState {
    pub(super) started: Instant,
    pub(super) snapshot: ConfigSnapshot,
    pub(super) config_transfer: ConfigTransfer,
    pub(super) backend_pages: BackendPages,
    pub(super) backend_list: BackendListVersion,
    pub(super) status: ProxyStatus,
    /// The known registries, with the time at which a heartbeat last listed each.
    pub(super) registries: BTreeMap<Ip, Instant>,
    seeds: BTreeSet<Ip>,
    /// The senders of the open connections.
    senders: BTreeMap<Ip, MessageSender>,
    /// Registries of this region, recognized by a short connection time.
    local_registries: BTreeSet<Ip>,
    pub(super) coordinator: Coordinator,
    pub(super) freshness: Freshness,
    /// Whether this proxy exchanges load reports and needs partners for that.
    wants_partners: bool,
}

impl ControlState {
    /// Creates a state that knows only the seed registries. `wants_partners` is set where the proxy exchanges load
    /// reports and asks each registry for partners.
    pub fn new(settings: &Settings, status: ProxyStatus, wants_partners: bool) -> Self {
        let seeds: BTreeSet<Ip> = settings.seed_ips().into_iter().map(ip_octets).collect();
        let now = Instant::now();
        ControlState {
            started: now,
            snapshot: ConfigSnapshot::default(),
            config_transfer: ConfigTransfer::default(),
            backend_pages: BackendPages::default(),
            backend_list: BackendListVersion::default(),
            status,
            registries: seeds.iter().map(|seed| (*seed, now)).collect(),
            seeds,
            senders: BTreeMap::new(),
            local_registries: BTreeSet::new(),
            coordinator: Coordinator::default(),
            freshness: Freshness::default(),
            wants_partners,
        }
    }

    /// Returns all known configuration items.
    pub fn snapshot(&self) -> &ConfigSnapshot {
        &self.snapshot
    }

    /// Returns the version of the current backend list.
    pub fn backend_list(&self) -> BackendListVersion {
        self.backend_list
    }

    /// Returns the status that this proxy reports to the registries.
    pub fn status(&self) -> &ProxyStatus {
        &self.status
    }

    /// Returns the coordinator's time, once a coordinator has reported it.
    pub fn coordinator_time(&self) -> Option<CoordinatorTime> {
        self.coordinator.time()
    }

    /// Returns the tracker that decides whether the known data is recent enough to serve requests.
    pub fn freshness(&mut self) -> &mut Freshness {
        &mut self.freshness
    }

    /// Returns the sender of the connection to the coordinator, if the coordinator is connected.
    pub fn coordinator_sender(&self) -> Option<&MessageSender> {
        self.senders.get(&self.coordinator.ip()?)
    }

    /// Sets whether this proxy accepts requests, and reports the change to all registries at once.
    pub fn set_ready(&mut self, ready: bool) {
        self.status.ready = ready;
        self.report_status(true);
    }

    /// Tells all registries that this proxy admits no more requests; called last before the process exits.
    pub fn send_departed(&self) {
        let bytes = encode(&Message::ProxyShutdown);
        for sender in self.senders.values() {
            sender.send_encoded(bytes.clone());
        }
    }

    fn status_message(&self) -> Message {
        Message::Status {
            status: self.status.clone(),
            coordinator_time_ms: self.coordinator_time().map(|time| time.now_ms()),
        }
    }

    /// Sends the status to all registries, or, without `to_all`, only to those of this region and to the coordinator.
    pub(super) fn report_status(&self, to_all: bool) {
        let bytes = encode(&self.status_message());
        for (ip, sender) in &self.senders {
            let is_coordinator = self.coordinator.ip() == Some(*ip);
            if to_all || is_coordinator || self.local_registries.contains(ip) {
                sender.send_encoded(bytes.clone());
            }
        }
    }

    /// Merges items by version; returns whether any item has changed.
    pub(super) fn merge(&mut self, items: Vec<Item>) -> bool {
        let mut has_changed = false;
        for item in items {
            has_changed |= self.snapshot.merge(item);
        }
        has_changed
    }

    /// Removes registries that no heartbeat has listed for [`REGISTRY_TIMEOUT`], and returns the rest.
    pub(super) fn current_registries(&mut self) -> Vec<Ip> {
        let seeds = &self.seeds;
        self.registries
            .retain(|ip, listed_at| seeds.contains(ip) || listed_at.elapsed() < REGISTRY_TIMEOUT);
        self.registries.keys().copied().collect()
    }

    /// Registers a new connection to a registry, and sends the first messages on it.
    pub(super) fn connected(&mut self, registry: Ip, sender: MessageSender, is_local: bool) {
        sender.send(&self.status_message());
        if self.wants_partners {
            sender.send(&Message::RequestPeers);
        }
        self.senders.insert(registry, sender);
        if is_local {
            self.local_registries.insert(registry);
        } else {
            self.local_registries.remove(&registry);
        }
    }

    /// Removes an ended connection; returns whether the registry was the coordinator.
    pub(super) fn disconnected(&mut self, registry: Ip) -> bool {
        self.senders.remove(&registry);
        self.config_transfer.abort_from(registry);
        self.coordinator.ip() == Some(registry)
    }
}
