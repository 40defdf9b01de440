//! One connection to a registry: applies the registry's messages to the shared state and requests data that is missing.

use std::time::Duration;

use damsonbeam_control::address::{Ip, ip_addr};
use damsonbeam_control::allotment::AbsentAllotments;
use damsonbeam_control::link::MessageSender;
use damsonbeam_control::messages::{BackendList, Heartbeat, Message, TransferMessage};
use tokio::time::Instant;

use super::{ControlEvent, ControlState};

/// Data that a registry has and this proxy lacks is requested after this delay: until then, an update that the registry
/// pushed may still be in flight.
const PULL_DELAY: Duration = Duration::from_millis(700);
/// Minimum interval between such requests on one connection.
const PULL_INTERVAL: Duration = Duration::from_millis(2000);

/// The state of one connection to a registry.
pub(super) struct RegistrySession {
    registry: Ip,
    sender: MessageSender,
    /// The time since which the registry has had data that this proxy lacks.
    missing_since: Option<Instant>,
    last_pull: Option<Instant>,
    /// Whether a heartbeat of this connection was compared with the local data before.
    has_compared: bool,
}

impl RegistrySession {
    pub(super) fn new(registry: Ip, sender: MessageSender) -> Self {
        RegistrySession {
            registry,
            sender,
            missing_since: None,
            last_pull: None,
            has_compared: false,
        }
    }

    /// Applies a message to the shared state, and returns the event that follows from it.
    pub(super) fn receive(
        &mut self,
        state: &mut ControlState,
        message: Message,
    ) -> Option<ControlEvent> {
        match message {
            Message::Heartbeat(heartbeat) => Some(self.receive_heartbeat(state, heartbeat)),
            Message::ConfigUpdate { number, items } => {
                self.sender.send(&Message::UpdateAck { number });
                let has_changed = state.merge(items);
                let is_snapshot_complete = state.config_transfer.has_first_snapshot();
                (has_changed && is_snapshot_complete).then_some(ControlEvent::ConfigChanged)
            }
            Message::ConfigChanged => {
                self.begin_transfer(state);
                None
            }
            Message::Transfer(message) => self.receive_transfer(state, message),
            Message::BackendUpdate {
                number,
                list,
                page,
                pages,
            } => {
                self.sender.send(&Message::UpdateAck { number });
                receive_backend_page(state, list, page as usize, pages as usize)
            }
            Message::CountTotals { term, totals } => {
                Some(ControlEvent::CountTotals { term, totals })
            }
            Message::SetAllotments {
                term,
                revision,
                allotments,
            } => Some(ControlEvent::SetAllotments {
                term,
                revision,
                allotments,
            }),
            Message::AllotmentStatus {
                term,
                departed_proxies,
                absent,
                absent_parts_per_unlisted_tenant,
            } => Some(ControlEvent::AllotmentStatus {
                term,
                departed_proxies,
                absent: AbsentAllotments {
                    by_tenant: absent,
                    parts_per_unlisted_tenant: absent_parts_per_unlisted_tenant,
                },
            }),
            Message::Peers {
                same_region: near,
                other_regions: far,
            } => Some(ControlEvent::Partners { near, far }),
            _ => None,
        }
    }

    /// Updates the known registries and the coordinator, and requests missing data.
    fn receive_heartbeat(
        &mut self,
        state: &mut ControlState,
        heartbeat: Heartbeat,
    ) -> ControlEvent {
        let now = Instant::now();
        for registry in &heartbeat.registries {
            state.registries.insert(*registry, now);
        }
        let previous_coordinator = state.coordinator.ip();
        let is_coordinator = state.coordinator.observe(self.registry, &heartbeat, now);
        state.status.term = state.coordinator.term();
        let coordinator = state.coordinator.ip();
        if coordinator != previous_coordinator {
            log::info!(
                "control: the coordinator is {:?}.",
                coordinator.map(ip_addr)
            );
        }
        self.request_missing(state, &heartbeat, now);
        if is_coordinator {
            ControlEvent::CoordinatorHeartbeat(heartbeat)
        } else {
            ControlEvent::OtherHeartbeat(heartbeat)
        }
    }

    /// Compares the versions in a heartbeat with the local ones, and requests the configuration and the backend list
    /// where this proxy lacks data. Registries push updates, so missing data is requested only after [`PULL_DELAY`].
    /// Configuration that is missing at the connection's first heartbeat, or before the first snapshot, is requested at
    /// once.
    fn request_missing(&mut self, state: &mut ControlState, heartbeat: &Heartbeat, now: Instant) {
        // Pushed items may be only a part of the configuration: only a completed transfer shows that none is missing.
        let has_first_snapshot = state.config_transfer.has_first_snapshot();
        let is_digest_equal = heartbeat.config_digest == state.snapshot.digest();
        let has_items = has_first_snapshot && is_digest_equal && !state.snapshot.items().is_empty();
        let is_missing_items =
            heartbeat.config_digest != 0 && (!has_first_snapshot || !is_digest_equal);
        let is_missing_list = heartbeat.backend_list > state.backend_list;
        let has_list = !is_missing_list && state.backend_list.term > 0;
        state
            .freshness
            .observe(heartbeat.in_contact, has_items, has_list);

        let is_first = !std::mem::replace(&mut self.has_compared, true);
        if !is_missing_items && !is_missing_list {
            self.missing_since = None;
            return;
        }
        let since = *self.missing_since.get_or_insert(now);
        let may_pull = self
            .last_pull
            .is_none_or(|last| now - last >= PULL_INTERVAL);
        let is_due = now - since >= PULL_DELAY && may_pull;
        if is_missing_items && (is_due || is_first || !has_first_snapshot) {
            self.begin_transfer(state);
        }
        if is_due {
            self.last_pull = Some(now);
            if is_missing_list {
                self.sender.send(&Message::RequestBackends);
            }
        }
    }

    /// Starts a configuration transfer from this registry, unless another transfer is in progress.
    fn begin_transfer(&self, state: &mut ControlState) {
        let now = state.started.elapsed();
        let message = state
            .config_transfer
            .begin(self.registry, &state.snapshot, now);
        if let Some(message) = message {
            self.sender.send(&Message::Transfer(message));
        }
    }

    /// Applies a message of the configuration transfer, and sends the requests that follow.
    fn receive_transfer(
        &mut self,
        state: &mut ControlState,
        message: TransferMessage,
    ) -> Option<ControlEvent> {
        let now = state.started.elapsed();
        let snapshot = &mut state.snapshot;
        let progress = state
            .config_transfer
            .receive(self.registry, snapshot, message, now);
        for request in progress.requests {
            self.sender.send(&Message::Transfer(request));
        }
        progress.changed.then_some(ControlEvent::ConfigChanged)
    }
}

/// Adds a page of a backend list. Returns an event when the list is complete; pages of a list that is not newer than
/// the current one are ignored.
fn receive_backend_page(
    state: &mut ControlState,
    list: BackendList,
    page: usize,
    pages: usize,
) -> Option<ControlEvent> {
    let version = list.version;
    if version <= state.backend_list {
        return None;
    }
    let backends = state.backend_pages.add(list, page, pages)?;
    state.backend_list = version;
    Some(ControlEvent::BackendListReceived(backends))
}
