//! One connection to a registry: what its messages change, and what this proxy asks for.

use std::time::Duration;

use damsonbeam_control::address::{Ip, ip_addr};
use damsonbeam_control::allotment::AbsentAllotments;
use damsonbeam_control::link::MessageSender;
use damsonbeam_control::messages::{BackendList, Heartbeat, Message, TransferMessage};
use tokio::time::Instant;

use super::{ControlEvent, ControlState};

/// A registry whose items differ for this long is asked for them; before that, they may be on their way.
const DIFFERS_TIMEOUT: Duration = Duration::from_millis(700);
/// Between two such requests.
const PULL_INTERVAL: Duration = Duration::from_millis(2000);

/// One connection to a registry.
pub(super) struct RegistrySession {
    registry: Ip,
    sender: MessageSender,
    /// Since when the registry has had something that this proxy lacks.
    differs_since: Option<Instant>,
    last_pull: Option<Instant>,
    /// A heartbeat of this connection was compared.
    has_compared: bool,
}

impl RegistrySession {
    pub(super) fn new(registry: Ip, sender: MessageSender) -> Self {
        RegistrySession {
            registry,
            sender,
            differs_since: None,
            last_pull: None,
            has_compared: false,
        }
    }

    pub(super) fn receive(
        &mut self,
        state: &mut ControlState,
        message: Message,
    ) -> Option<ControlEvent> {
        match message {
            Message::Heartbeat(heartbeat) => Some(self.receive_heartbeat(state, heartbeat)),
            Message::ConfigUpdate { number, items } => {
                self.sender.send(&Message::Ack { number });
                let has_changed = state.merge(items);
                let may_use = state.config_transfer.has_first_snapshot();
                (has_changed && may_use).then_some(ControlEvent::Config)
            }
            Message::ConfigChanged => {
                self.catch_up(state);
                None
            }
            Message::Transfer(message) => self.receive_transfer(state, message),
            Message::BackendUpdate {
                number,
                list,
                page,
                pages,
            } => {
                self.sender.send(&Message::Ack { number });
                receive_page(state, list, page as usize, pages as usize)
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
                absent_of_unlisted,
            } => Some(ControlEvent::AllotmentStatus {
                term,
                departed_proxies,
                absent: AbsentAllotments {
                    by_tenant: absent,
                    of_unlisted: absent_of_unlisted,
                },
            }),
            Message::Partners { near, far } => Some(ControlEvent::Partners { near, far }),
            _ => None,
        }
    }

    fn receive_heartbeat(
        &mut self,
        state: &mut ControlState,
        heartbeat: Heartbeat,
    ) -> ControlEvent {
        let now = Instant::now();
        for registry in &heartbeat.registries {
            state.registries.insert(*registry, now);
        }
        let coordinator_before = state.coordinator.ip();
        let is_coordinator = state.coordinator.observe(self.registry, &heartbeat, now);
        state.status.term = state.coordinator.term();
        let coordinator = state.coordinator.ip();
        if coordinator != coordinator_before {
            log::info!(
                "control: the coordinator is {:?}.",
                coordinator.map(ip_addr)
            );
        }
        self.compare(state, &heartbeat, now);
        if is_coordinator {
            ControlEvent::CoordinatorHeartbeat(heartbeat)
        } else {
            ControlEvent::OtherHeartbeat(heartbeat)
        }
    }

    /// Finds what this proxy lacks of what the registry has. Updates are pushed; what still differs after a while is asked
    /// for. What differs when the connection comes up, or before there is a first snapshot, is asked for at once.
    fn compare(&mut self, state: &mut ControlState, heartbeat: &Heartbeat, now: Instant) {
        // What was pushed may be a part: only a round of the transfer shows that it is all.
        let has_first_snapshot = state.config_transfer.has_first_snapshot();
        let has_its_digest = heartbeat.config_digest == state.snapshot.digest();
        let has_items = has_first_snapshot && has_its_digest && !state.snapshot.items().is_empty();
        let lacks_items = heartbeat.config_digest != 0 && (!has_first_snapshot || !has_its_digest);
        let lacks_list = heartbeat.backend_list > state.backend_list;
        let has_list = !lacks_list && state.backend_list.term > 0;
        state
            .freshness
            .observe(heartbeat.in_contact, has_items, has_list);

        let is_first = !std::mem::replace(&mut self.has_compared, true);
        if !lacks_items && !lacks_list {
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        let may_pull = self
            .last_pull
            .is_none_or(|last| now - last >= PULL_INTERVAL);
        let is_due = now - since >= DIFFERS_TIMEOUT && may_pull;
        if lacks_items && (is_due || is_first || !has_first_snapshot) {
            self.catch_up(state);
        }
        if is_due {
            self.last_pull = Some(now);
            if lacks_list {
                self.sender.send(&Message::PullBackends);
            }
        }
    }

    /// Begins to catch up with this registry, unless that goes on with another.
    fn catch_up(&self, state: &mut ControlState) {
        let now = state.started.elapsed();
        let message = state
            .config_transfer
            .begin(self.registry, &state.snapshot, now);
        if let Some(message) = message {
            self.sender.send(&Message::Transfer(message));
        }
    }

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
        progress.changed.then_some(ControlEvent::Config)
    }
}

fn receive_page(
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
    Some(ControlEvent::Backends(backends))
}
