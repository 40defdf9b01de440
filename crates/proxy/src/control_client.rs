//! The connections to the registries: what they send is merged here, item by item and list by list, so that nothing goes
//! back while the process runs, whichever of them sends it first.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::address::{Ip, ip_addr, octets};
use damsonbeam_control::config::{ConfigSnapshot, Item};
use damsonbeam_control::link::{self, MessageSender};
use damsonbeam_control::messages::{
    Backend, BackendList, BackendListVersion, Heartbeat, Message, NamedCount, ProxyStatus,
    TransferMessage, encode,
};
use damsonbeam_control::settings::{InternalPort, Settings};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval, sleep};

use crate::config_transfer::{BackendPages, ConfigTransfer};
use crate::coordinator::{CommonTime, Coordinator};
use crate::freshness::Freshness;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Between two reports of the status to each registry.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);
/// One in so many reports goes to registries of other regions, too: the directory there may be that much behind.
const FAR_STATUS_EVERY: u32 = 2;
/// A registry whose connection comes up within this is near: a fraction of a round trip between regions.
const NEAR_CONNECT_TIME: Duration = Duration::from_millis(15);
/// A registry whose items differ for this long is asked for them; before that, they may be on their way.
const DIFFERS_TIMEOUT: Duration = Duration::from_millis(700);
/// Between two such requests.
const PULL_INTERVAL: Duration = Duration::from_millis(2000);
/// A registry that no other has named for this long is not connected to any more.
const REGISTRY_TIMEOUT: Duration = Duration::from_secs(20);

/// What the registries bring about, for whoever runs the proxy.
pub enum ControlEvent {
    /// The configuration has changed.
    Config,
    /// The list of backends has changed.
    Backends(Vec<Backend>),
    /// The coordinator's heartbeat.
    CoordinatorHeartbeat(Heartbeat),
    /// The heartbeat of a registry that is not the coordinator.
    OtherHeartbeat(Heartbeat),
    /// Totals of shared counts.
    CountTotals {
        /// The term of the coordinator that sent them.
        term: u64,
        /// The totals by name.
        totals: Vec<NamedCount>,
    },
    /// The connection to the coordinator is lost.
    CoordinatorLost,
    /// Other proxies to exchange load reports with.
    Partners {
        /// Of this region.
        near: Vec<Ip>,
        /// Of other regions.
        far: Vec<Ip>,
    },
}

/// What is known from the registries, shared by the tasks of the one thread. No task holds the borrow over an `await`.
pub type SharedControlState = Rc<RefCell<ControlState>>;

/// What is known from the registries.
pub struct ControlState {
    started: Instant,
    snapshot: ConfigSnapshot,
    config_transfer: ConfigTransfer,
    backend_pages: BackendPages,
    backend_list: BackendListVersion,
    status: ProxyStatus,
    /// When each registry was last named.
    registries: BTreeMap<Ip, Instant>,
    seeds: BTreeSet<Ip>,
    links: BTreeMap<Ip, MessageSender>,
    /// Registries whose connections came up quickly.
    near_registries: BTreeSet<Ip>,
    coordinator: Coordinator,
    freshness: Freshness,
    wants_partners: bool,
}

impl ControlState {
    /// Nothing is known but the seeds. `wants_partners`: whether load reports are exchanged.
    pub fn new(settings: &Settings, status: ProxyStatus, wants_partners: bool) -> Self {
        let seeds: BTreeSet<Ip> = settings.seed_ips().into_iter().map(octets).collect();
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
            links: BTreeMap::new(),
            near_registries: BTreeSet::new(),
            coordinator: Coordinator::default(),
            freshness: Freshness::default(),
            wants_partners,
        }
    }

    /// All items known.
    pub fn snapshot(&self) -> &ConfigSnapshot {
        &self.snapshot
    }

    /// The version of the list of backends.
    pub fn backend_list(&self) -> BackendListVersion {
        self.backend_list
    }

    /// What is reported of this proxy.
    pub fn status(&self) -> &ProxyStatus {
        &self.status
    }

    /// The common time, once a coordinator has reported it.
    pub fn common_time(&self) -> Option<CommonTime> {
        self.coordinator.time()
    }

    /// Whether what is known may be served with.
    pub fn freshness(&mut self) -> &mut Freshness {
        &mut self.freshness
    }

    /// The connection to the coordinator.
    pub fn coordinator_link(&self) -> Option<&MessageSender> {
        self.links.get(&self.coordinator.ip()?)
    }

    /// Sets whether this proxy takes requests, and reports it to all registries at once.
    pub fn set_ready(&mut self, ready: bool) {
        self.status.ready = ready;
        self.report_status(true);
    }

    fn status_message(&self) -> Message {
        Message::Status {
            status: self.status.clone(),
            time_ms: self.common_time().map(|time| time.now_ms()),
        }
    }

    /// Reports the status to all registries, or to those of this region and the coordinator alone.
    fn report_status(&self, to_all: bool) {
        let bytes = encode(&self.status_message());
        for (ip, link) in &self.links {
            let is_coordinator = self.coordinator.ip() == Some(*ip);
            if to_all || is_coordinator || self.near_registries.contains(ip) {
                link.send_encoded(bytes.clone());
            }
        }
    }

    fn merge(&mut self, items: Vec<Item>) -> bool {
        let mut has_changed = false;
        for item in items {
            has_changed |= self.snapshot.merge(item);
        }
        has_changed
    }

    /// The registries to be connected with.
    fn current_registries(&mut self) -> Vec<Ip> {
        let seeds = &self.seeds;
        self.registries
            .retain(|ip, last_named| seeds.contains(ip) || last_named.elapsed() < REGISTRY_TIMEOUT);
        self.registries.keys().copied().collect()
    }

    fn connected(&mut self, registry: Ip, link: MessageSender, is_near: bool) {
        link.send(&self.status_message());
        if self.wants_partners {
            link.send(&Message::PullPartners);
        }
        self.links.insert(registry, link);
        if is_near {
            self.near_registries.insert(registry);
        } else {
            self.near_registries.remove(&registry);
        }
    }

    /// A connection has ended; returns whether it was the coordinator's.
    fn disconnected(&mut self, registry: Ip) -> bool {
        self.links.remove(&registry);
        self.config_transfer.source_lost(registry);
        self.coordinator.ip() == Some(registry)
    }
}

/// Keeps a connection to each registry that is known.
pub async fn run(
    settings: Rc<Settings>,
    state: SharedControlState,
    events: mpsc::Sender<ControlEvent>,
) {
    let mut tasks: BTreeMap<Ip, JoinHandle<()>> = BTreeMap::new();
    let mut tick = interval(STATUS_INTERVAL);
    let mut round = 0u32;
    loop {
        tick.tick().await;
        round += 1;
        tasks.retain(|_, task| !task.is_finished());
        let registries = state.borrow_mut().current_registries();
        state
            .borrow()
            .report_status(round.is_multiple_of(FAR_STATUS_EVERY));
        for registry in registries {
            let start = || {
                let address = settings.internal_address(ip_addr(registry), InternalPort::Registry);
                let task = keep_connected(registry, address, state.clone(), events.clone());
                tokio::task::spawn_local(task)
            };
            tasks.entry(registry).or_insert_with(start);
        }
    }
}

/// Connects to one registry, again and again while it is known.
async fn keep_connected(
    registry: Ip,
    address: SocketAddr,
    state: SharedControlState,
    events: mpsc::Sender<ControlEvent>,
) {
    while state.borrow().registries.contains_key(&registry) {
        let began = Instant::now();
        if let Ok(stream) = link::connect(address, CONNECT_TIMEOUT).await {
            let is_near = began.elapsed() < NEAR_CONNECT_TIME;
            if serve_connection(registry, stream, is_near, &state, &events)
                .await
                .is_err()
            {
                return;
            }
            let was_coordinator = state.borrow_mut().disconnected(registry);
            if was_coordinator {
                log::info!("control: the connection to the coordinator is lost.");
                events.send(ControlEvent::CoordinatorLost).await.ok();
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Takes all messages of a connection until it ends; an error where nobody takes the events any more.
async fn serve_connection(
    registry: Ip,
    stream: TcpStream,
    is_near: bool,
    state: &SharedControlState,
    events: &mpsc::Sender<ControlEvent>,
) -> Result<(), mpsc::error::SendError<ControlEvent>> {
    let (mut reader, sender) = link::split(stream);
    state
        .borrow_mut()
        .connected(registry, sender.clone(), is_near);
    let mut session = RegistrySession::new(registry, sender);
    while let Ok(message) = reader.next::<Message>(link::SILENCE_TIMEOUT).await {
        let event = session.receive(&mut state.borrow_mut(), message);
        if let Some(event) = event {
            events.send(event).await?;
        }
    }
    Ok(())
}

/// One connection to a registry.
struct RegistrySession {
    registry: Ip,
    sender: MessageSender,
    /// Since when the registry has had something that this proxy lacks.
    differs_since: Option<Instant>,
    last_pull: Option<Instant>,
    /// A heartbeat of this connection was compared.
    has_compared: bool,
}

impl RegistrySession {
    fn new(registry: Ip, sender: MessageSender) -> Self {
        RegistrySession {
            registry,
            sender,
            differs_since: None,
            last_pull: None,
            has_compared: false,
        }
    }

    fn receive(&mut self, state: &mut ControlState, message: Message) -> Option<ControlEvent> {
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
