//! The links to the registries: what they tell is merged here, item by item and list by list, so that nothing goes
//! back within a life, whichever of them tells it first.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::items::{ConfigSnapshot, Item};
use damsonbeam_control::link::{self, Out};
use damsonbeam_control::messages::{
    Heartbeat, Ip, Message, NamedCount, ProxyStatus, Server, addr, ip,
};
use damsonbeam_control::settings::{Port, Settings};
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, sleep};

use crate::config_transfer::{BackendPages, ConfigTransfer};
use crate::coordinator::Coordinator;
use crate::freshness::Freshness;

const DIAL: Duration = Duration::from_millis(800);
const REDIAL: Duration = Duration::from_millis(200);
/// Between two words to each registry.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);
/// Every so many of them goes to registries of other regions too: the directory there may be that much behind.
const FAR_STATUSES: u32 = 2;
/// A registry whose connection comes up within this is near: a fraction of the way between regions.
const NEAR: Duration = Duration::from_millis(15);
/// A registry whose items differ for so long is asked for all of them; they may be on their way.
const DIFFERS: Duration = Duration::from_millis(700);
const PULL: Duration = Duration::from_millis(2000);
/// A registry that none has named for so long is not called any more.
const NAMED: Duration = Duration::from_secs(20);

/// For whoever runs the proxy.
pub enum ControlEvent {
    Items,
    List(Vec<Server>),
    Heartbeat(Heartbeat),
    /// A registry that is not the coordinator told of itself.
    OtherHeartbeat(Heartbeat),
    Totals {
        term: u64,
        totals: Vec<NamedCount>,
    },
    /// The link to the coordinator is lost.
    CoordinatorLost,
    /// Others to exchange load summaries with: of this region, and of others.
    Few(Vec<Ip>, Vec<Ip>),
}

/// What is known from the registries.
pub struct ControlState {
    pub snapshot: ConfigSnapshot,
    start: Instant,
    config_transfer: ConfigTransfer,
    backend_pages: BackendPages,
    /// By which term and reading the list came.
    list: (u64, u64),
    pub status: ProxyStatus,
    registries: BTreeMap<Ip, Instant>,
    seeds: BTreeSet<Ip>,
    links: BTreeMap<Ip, Out>,
    /// Registries that are near: their connections came up quickly.
    home: BTreeSet<Ip>,
    pub coordinator: Coordinator,
    pub freshness: Freshness,
    /// Whether partners for load summaries are wanted.
    summaries: bool,
}

impl ControlState {
    pub fn new(settings: &Settings, status: ProxyStatus, summaries: bool) -> Self {
        let seeds: BTreeSet<Ip> = settings.seed_ips().into_iter().map(ip).collect();
        let now = Instant::now();
        ControlState {
            snapshot: ConfigSnapshot::default(),
            start: now,
            config_transfer: ConfigTransfer::default(),
            backend_pages: BackendPages::default(),
            list: (0, 0),
            status,
            registries: seeds.iter().map(|s| (*s, now)).collect(),
            seeds,
            links: BTreeMap::new(),
            home: BTreeSet::new(),
            coordinator: Coordinator::default(),
            freshness: Freshness::default(),
            summaries,
        }
    }

    /// Term and reading of the list.
    pub fn list(&self) -> (u64, u64) {
        self.list
    }

    /// The link to the coordinator.
    pub fn coordinator_link(&self) -> Option<&Out> {
        self.links.get(&self.coordinator.ip()?)
    }

    /// To all registries, or to those of this region and the coordinator alone.
    pub fn tell(&self, all: bool) {
        let time_ms = self.coordinator.time().map(|t| t.now_ms());
        let note = Message::Status {
            status: self.status.clone(),
            time_ms,
        };
        let bytes = damsonbeam_control::messages::pack(&note);
        for (ip, out) in &self.links {
            if all || self.home.contains(ip) || self.coordinator.ip() == Some(*ip) {
                out.bytes(bytes.clone());
            }
        }
    }

    fn merge(&mut self, items: Vec<Item>) -> bool {
        let mut new = false;
        for item in items {
            new |= self.snapshot.merge(item);
        }
        new
    }
}

pub type Shared = Rc<RefCell<ControlState>>;

/// Holds a link to each registry that is known.
pub async fn run(settings: Rc<Settings>, known: Shared, to: mpsc::Sender<ControlEvent>) {
    let mut held: BTreeMap<Ip, tokio::task::JoinHandle<()>> = BTreeMap::new();
    let mut tick = interval(STATUS_INTERVAL);
    let mut turn = 0u32;
    loop {
        tick.tick().await;
        turn += 1;
        held.retain(|_, t| !t.is_finished());
        let registries: Vec<Ip> = {
            let mut k = known.borrow_mut();
            let seeds = k.seeds.clone();
            k.registries
                .retain(|w, at| seeds.contains(w) || at.elapsed() < NAMED);
            k.tell(turn.is_multiple_of(FAR_STATUSES));
            k.registries.keys().copied().collect()
        };
        for w in registries {
            held.entry(w).or_insert_with(|| {
                let at = settings.inner(addr(w), Port::Registry);
                tokio::task::spawn_local(hold(w, at.ip(), at.port(), known.clone(), to.clone()))
            });
        }
    }
}

async fn hold(registry: Ip, at: IpAddr, port: u16, known: Shared, to: mpsc::Sender<ControlEvent>) {
    while known.borrow().registries.contains_key(&registry) {
        let began = Instant::now();
        if let Ok(stream) = link::dial((at, port).into(), DIAL).await {
            let near = began.elapsed() < NEAR;
            let (mut from, out) = link::split(stream);
            {
                let mut k = known.borrow_mut();
                let time_ms = k.coordinator.time().map(|t| t.now_ms());
                out.send(&Message::Status {
                    status: k.status.clone(),
                    time_ms,
                });
                if k.summaries {
                    out.send(&Message::PullPartners);
                }
                k.links.insert(registry, out.clone());
                if near {
                    k.home.insert(registry);
                } else {
                    k.home.remove(&registry);
                }
            }
            let mut here = Here {
                registry,
                out,
                differs: None,
                pulled: None,
                compared: false,
            };
            while let Ok(note) = from.next::<Message>(link::SILENT).await {
                if let Some(word) = here.heard(&known, note)
                    && to.send(word).await.is_err()
                {
                    return;
                }
            }
            let lost = {
                let mut k = known.borrow_mut();
                k.links.remove(&registry);
                k.config_transfer.lost(registry);
                k.coordinator.ip() == Some(registry)
            };
            if lost {
                log::info!("news: the way to the coordinator is lost.");
                to.send(ControlEvent::CoordinatorLost).await.ok();
            }
        }
        sleep(REDIAL).await;
    }
}

struct Here {
    registry: Ip,
    out: Out,
    differs: Option<Instant>,
    pulled: Option<Instant>,
    /// A heartbeat of this connection was compared.
    compared: bool,
}

impl Here {
    fn heard(&mut self, known: &Shared, note: Message) -> Option<ControlEvent> {
        let mut k = known.borrow_mut();
        match note {
            Message::Heartbeat(heartbeat) => {
                let now = Instant::now();
                for w in &heartbeat.registries {
                    k.registries.insert(*w, now);
                }
                let before = k.coordinator.ip();
                let is_coordinators = k.coordinator.observe(self.registry, &heartbeat, now);
                k.status.term = k.coordinator.term();
                if k.coordinator.ip() != before {
                    log::info!(
                        "news: the coordinator is {:?}.",
                        k.coordinator.ip().map(addr)
                    );
                }
                // What was pushed may be a part: only a round shows that it is all.
                let unsure = !k.config_transfer.has_first_snapshot();
                let has_other_items = heartbeat.items != k.snapshot.digest();
                let differs = heartbeat.items != 0 && (unsure || has_other_items);
                let behind = heartbeat.list > k.list;
                let has_items = !unsure && !has_other_items && !k.snapshot.items().is_empty();
                let has_list = !behind && k.list.0 > 0;
                k.freshness
                    .observe(heartbeat.in_contact, has_items, has_list);
                self.compare(&mut k, differs, behind, now);
                Some(if is_coordinators {
                    ControlEvent::Heartbeat(heartbeat)
                } else {
                    ControlEvent::OtherHeartbeat(heartbeat)
                })
            }
            Message::ConfigUpdate { no, items } => {
                self.out.send(&Message::Ack { no });
                let changed = k.merge(items) && k.config_transfer.has_first_snapshot();
                changed.then_some(ControlEvent::Items)
            }
            Message::ConfigChanged => {
                self.catch_up(&mut k);
                None
            }
            Message::Transfer(message) => {
                let ControlState {
                    config_transfer,
                    snapshot,
                    start,
                    ..
                } = &mut *k;
                let progress =
                    config_transfer.receive(self.registry, snapshot, message, start.elapsed());
                for request in progress.requests {
                    self.out.send(&Message::Transfer(request));
                }
                progress.changed.then_some(ControlEvent::Items)
            }
            Message::BackendUpdate {
                no,
                list,
                page,
                pages,
            } => {
                self.out.send(&Message::Ack { no });
                let at = (list.term, list.reading);
                if at <= k.list {
                    return None;
                }
                let servers = k.backend_pages.add(list, page as usize, pages as usize)?;
                k.list = at;
                Some(ControlEvent::List(servers))
            }
            Message::CountTotals { term, totals } => Some(ControlEvent::Totals { term, totals }),
            Message::Partners { near, far } => Some(ControlEvent::Few(near, far)),
            _ => None,
        }
    }

    /// Begins to catch up with this registry, unless that goes on with another.
    fn catch_up(&self, k: &mut ControlState) {
        let ControlState {
            config_transfer,
            snapshot,
            start,
            ..
        } = k;
        if let Some(message) = config_transfer.begin(self.registry, snapshot, start.elapsed()) {
            self.out.send(&Message::Transfer(message));
        }
    }

    /// News come by themselves; what still differs after a while is asked for. What differs when the connection comes up, or
    /// before there is a first snapshot, is asked for at once.
    fn compare(&mut self, k: &mut ControlState, differs: bool, behind: bool, now: Instant) {
        let is_first = !std::mem::replace(&mut self.compared, true);
        if !differs && !behind {
            self.differs = None;
            return;
        }
        let since = *self.differs.get_or_insert(now);
        let due = now - since >= DIFFERS && self.pulled.is_none_or(|p| now - p >= PULL);
        if differs && (due || is_first || !k.config_transfer.has_first_snapshot()) {
            self.catch_up(k);
        }
        if due {
            self.pulled = Some(now);
            if behind {
                self.out.send(&Message::PullBackends);
            }
        }
    }
}
