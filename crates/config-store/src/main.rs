//! `damsonbeam-config-store`: one store. It owns the disk, and carries messages to the agreement and its acts out.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use std::rc::Rc;
use std::time::Duration;

use damsonbeam_config_store::consensus::voters::VoterSet;
use damsonbeam_config_store::consensus::{DurableWrite, Effect, Replica};
use damsonbeam_config_store::disk::{Disk, Fault, Roster};
use damsonbeam_control::items::Item;
use damsonbeam_control::link::{self, In, Out};
use damsonbeam_control::messages::{BackendSnapshot, Command, CommandReply, Ip, Message, addr, ip};
use damsonbeam_control::settings::{Port, Settings};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

const TICK: Duration = Duration::from_millis(20);
/// A disk that refused is tried again after this.
const AGAIN: Duration = Duration::from_millis(400);
/// Items named in a line of the log.
const NAMED: usize = 8;
/// A command whose registry does not say in this that it is wanted is forgotten: its caller has gone.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);
const DIAL: Duration = Duration::from_millis(800);
const REDIAL: Duration = Duration::from_millis(200);
/// Nothing need be said on a link between stores for long: the sweep comes by each peer in this time.
const QUIET: Duration = Duration::from_secs(60);
/// One that is told to end tries for so long to give up its vote, and to have settled what only it may hold.
const LEAVE: Duration = Duration::from_millis(1500);

enum Mail {
    /// From a peer's link, or the registry's, by its number.
    Heard {
        link: u64,
        note: Message,
    },
    Up {
        peer: Ip,
        out: Out,
    },
    Down {
        peer: Ip,
    },
    Came {
        link: u64,
        from: Ip,
        out: Out,
    },
    Gone {
        link: u64,
    },
}

struct StoreProcess {
    me: Ip,
    replica: Replica,
    /// None while the disk refuses.
    store: Option<Disk>,
    dir: PathBuf,
    ill: Duration,
    roster: Roster,
    backends: BackendSnapshot,
    /// The last epoch told to the registry.
    told_epoch: u64,
    /// Links this one dialled, by peer.
    peers: HashMap<Ip, Out>,
    /// Links that came, by number.
    came: HashMap<u64, (Ip, Out)>,
    /// The registry's, where orders come from.
    registry: Option<u64>,
    /// Orders by their number here: the link and its own number.
    orders: HashMap<u64, (u64, u64)>,
    next_order: u64,
    /// Commands whose registry is asked whether they are still wanted, by link and number, and since when.
    unconfirmed: HashMap<(u64, u64), (Command, Duration)>,
    start: Instant,
}

impl StoreProcess {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Carries the acts out: what must be kept is on disk before anything that follows it is sent.
    fn carry_out(&mut self, from: Option<(u64, Ip)>) {
        let acts = self.replica.take_effects();
        let keeps: Vec<DurableWrite> = acts
            .iter()
            .filter_map(|a| {
                if let Effect::Persist(k) = a {
                    Some(k.clone())
                } else {
                    None
                }
            })
            .collect();
        if !keeps.is_empty()
            && let Err(e) = self
                .store
                .as_ref()
                .ok_or("it is closed".to_string())
                .and_then(|s| s.keep(&keeps).map_err(|e| e.to_string()))
        {
            // Nothing that depends on it is said. What the agreement has in mind is no longer what is on disk: it
            // begins anew from there, once the disk takes writes again.
            log::error!("store: the disk refuses: {e}.");
            self.store = None;
            self.ill = self.now() + AGAIN;
            for (link, no) in std::mem::take(&mut self.orders).into_values() {
                if let Some((_, out)) = self.came.get(&link) {
                    let reply = CommandReply::Unsettled("the disk refuses".into());
                    out.send(&Message::Reply { no, reply });
                }
            }
            return;
        }
        for act in acts {
            match act {
                Effect::Persist(_) => {}
                Effect::Send(to, note) => {
                    // An answer goes back the way its question came.
                    let back = from
                        .filter(|(_, ip)| *ip == to)
                        .and_then(|(link, _)| self.came.get(&link));
                    if let Some(out) = back.map(|b| &b.1).or_else(|| self.peers.get(&to)) {
                        out.send(&note);
                    }
                }
                Effect::Broadcast(note) => {
                    let bytes = damsonbeam_control::messages::pack(&note);
                    for out in self.peers.values() {
                        out.bytes(bytes.clone());
                    }
                }
                Effect::Reply(no, reply) => {
                    if let Some((link, no)) = self.orders.remove(&no)
                        && let Some((_, out)) = self.came.get(&link)
                    {
                        out.send(&Message::Reply { no, reply });
                    }
                }
                Effect::News(items) => {
                    log::info!("store: decided {}.", told(&items));
                    let items: Vec<Item> = configuration(items.into_iter());
                    if !items.is_empty() {
                        self.tell_decided(items, false);
                    }
                }
            }
        }
        self.tell_voters();
    }

    fn tell_registry(&self, message: &Message) {
        if let Some((_, out)) = self.registry.and_then(|link| self.came.get(&link)) {
            out.send(message);
        }
    }

    /// The registry counts the coordinator's lease by the same voters.
    fn tell_voters(&mut self) {
        let Some(set) = self
            .replica
            .voters()
            .filter(|set| set.epoch != self.told_epoch)
        else {
            return;
        };
        let voters: Vec<Ip> = set.voters().iter().map(|v| v.ip).collect();
        self.told_epoch = set.epoch;
        log::info!(
            "store: voters of epoch {}: {}.",
            set.epoch,
            addresses(&voters)
        );
        self.tell_registry(&Message::Voters {
            epoch: self.told_epoch,
            voters,
        });
    }

    /// The registry counts on the epoch for a while after each of these answers.
    fn confirm_epoch(&self, link: u64, no: u64) {
        if let Some((_, out)) = self.came.get(&link)
            && let Some(set) = self.replica.voters()
        {
            out.send(&Message::EpochConfirmed {
                no,
                epoch: set.epoch,
            });
        }
    }

    /// Machines to hold links to: those that the registry knows, and those that have a vote.
    fn peers_wanted(&self) -> Vec<Ip> {
        let voters = self
            .replica
            .voters()
            .into_iter()
            .flat_map(VoterSet::voters)
            .map(|v| v.ip);
        let mut all: Vec<Ip> = self
            .roster
            .iter()
            .copied()
            .chain(voters)
            .filter(|ip| *ip != self.me)
            .collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Opens the store again after the disk refused, and begins from what is on it.
    fn recover(&mut self) {
        let now = self.now();
        if self.store.is_some() || now < self.ill {
            return;
        }
        self.ill = now + AGAIN;
        match Disk::open(&self.dir).and_then(|s| s.read().map(|r| (s, r))) {
            Ok((store, (kept, ..))) => {
                log::info!(
                    "store: the disk is back with {} items.",
                    kept.accepted.items().len()
                );
                self.replica = Replica::new(self.me, kept, rand::random(), now);
                self.replica.roster(&self.roster);
                self.store = Some(store);
            }
            Err(e) => log::warn!("store: the disk still refuses: {e}."),
        }
    }

    /// What is kept along: it may be lost, so a disk that refuses it is no matter.
    fn aside(&self, keep: impl FnOnce(&Disk) -> Result<(), Fault>) {
        if let Some(Err(e)) = self.store.as_ref().map(keep) {
            log::warn!("store: not kept: {e}.");
        }
    }

    /// An evacuation has no version to tell that a later order was given since: one that waited before this process
    /// while it stood still, for its disk or altogether, must not be carried out.
    fn ask_whether_wanted(&mut self, link: u64, no: u64, order: Command) {
        let now = self.now();
        self.unconfirmed
            .retain(|_, (_, asked)| now < *asked + CONFIRM_TIMEOUT);
        self.unconfirmed.insert((link, no), (order, now));
        if let Some((_, out)) = self.came.get(&link) {
            out.send(&Message::ConfirmSubmit { no });
        }
    }

    fn submit(&mut self, link: u64, no: u64, order: Command, waited: Duration) {
        self.next_order += 1;
        self.orders.insert(self.next_order, (link, no));
        let now = self.now();
        self.replica.submit_of(self.next_order, order, waited, now);
        self.carry_out(None);
    }

    /// All that a registry is told when its link comes up.
    fn greet_registry(&mut self) {
        let items = configuration(self.replica.durable().decided.items().values().cloned());
        self.tell_registry(&Message::Roster {
            ips: self.roster.clone(),
        });
        self.told_epoch = 0;
        self.tell_voters();
        self.tell_decided(items, true);
        self.tell_registry(&Message::StoreBackends(self.backends.clone()));
    }

    fn tell_decided(&self, items: Vec<Item>, whole: bool) {
        for message in Message::decided(items, whole) {
            self.tell_registry(&message);
        }
    }

    fn mail(&mut self, mail: Mail) {
        match mail {
            Mail::Up { peer, out } => drop(self.peers.insert(peer, out)),
            Mail::Down { peer } => drop(self.peers.remove(&peer)),
            Mail::Came { link, from, out } => drop(self.came.insert(link, (from, out))),
            Mail::Gone { link } => {
                self.came.remove(&link);
                self.unconfirmed.retain(|(of, _), _| *of != link);
                self.registry = self.registry.filter(|w| *w != link);
            }
            Mail::Heard {
                link,
                note: Message::Roster { ips },
            } => {
                if self.registry != Some(link) {
                    self.registry = Some(link);
                    self.greet_registry();
                }
                self.replica.roster(&ips);
                if ips != self.roster {
                    self.aside(|s| s.keep_roster(&ips));
                    self.roster = ips;
                }
            }
            Mail::Heard {
                link,
                note: Message::StoreBackends(backends),
            } => {
                if backends.is_above(&self.backends) {
                    let ours = self.registry == Some(link);
                    let note = Message::StoreBackends(backends.clone());
                    if ours {
                        self.peers.values().for_each(|out| {
                            out.send(&note);
                        });
                    } else {
                        self.tell_registry(&note);
                    }
                    self.aside(|s| s.keep_backends(&backends));
                    self.backends = backends;
                }
            }
            Mail::Heard {
                link,
                note: Message::Submit { no, order },
            } => {
                if self.store.is_none() {
                    if let Some((_, out)) = self.came.get(&link) {
                        let reply = CommandReply::Unsettled("the disk refuses".into());
                        out.send(&Message::Reply { no, reply });
                    }
                    return;
                }
                match order {
                    Command::Evacuate { .. } => self.ask_whether_wanted(link, no, order),
                    _ => self.submit(link, no, order, Duration::ZERO),
                }
            }
            Mail::Heard {
                link,
                note: Message::SubmitConfirmed { no, waited_ms },
            } => {
                if let Some((order, asked)) = self.unconfirmed.remove(&(link, no)) {
                    // The caller had waited so long when the registry said so, which was after it was asked.
                    let waited =
                        Duration::from_millis(waited_ms) + self.now().saturating_sub(asked);
                    self.submit(link, no, order, waited);
                }
            }
            Mail::Heard {
                link,
                note: Message::ConfirmEpoch { no },
            } => self.confirm_epoch(link, no),
            Mail::Heard { .. } if self.store.is_none() => {}
            Mail::Heard { link, note } => {
                let from = self.came.get(&link).map(|c| c.0).or_else(|| peer_of(link));
                if let Some(from) = from {
                    let now = self.now();
                    self.replica.receive(from, note, now);
                    self.carry_out(Some((link, from)));
                }
            }
        }
    }
}

/// Links that this one dialled are numbered by their peer's address, above all numbers of those that came.
const DIALLED: u64 = 1 << 40;

fn peer_of(link: u64) -> Option<Ip> {
    (link >= DIALLED).then(|| ((link - DIALLED) as u32).to_be_bytes())
}

/// The items that proxies are told: all but the store's own.
fn configuration(items: impl Iterator<Item = Item>) -> Vec<Item> {
    items.filter(|i| !i.key.kind.is_internal()).collect()
}

fn addresses(ips: &[Ip]) -> String {
    let all: Vec<String> = ips.iter().map(|ip| addr(*ip).to_string()).collect();
    all.join(", ")
}

/// Items by name and version, a few of many.
fn told(items: &[Item]) -> String {
    let names: Vec<String> = items
        .iter()
        .take(NAMED)
        .map(|i| format!("{} r{}", i.key.name, i.version))
        .collect();
    let more = if items.len() > NAMED {
        format!(" and {} more", items.len() - NAMED)
    } else {
        String::new()
    };
    names.join(", ") + &more
}

async fn read(mut from: In, link: u64, to: mpsc::Sender<Mail>) {
    while let Ok(note) = from.next::<Message>(QUIET).await {
        if to.send(Mail::Heard { link, note }).await.is_err() {
            return;
        }
    }
}

/// Holds a link to one peer while it is wanted.
async fn hold(
    peer: Ip,
    settings: Rc<Settings>,
    wanted: Rc<RefCell<Vec<Ip>>>,
    to: mpsc::Sender<Mail>,
) {
    while wanted.borrow().contains(&peer) {
        if let Ok(stream) =
            link::dial_from(settings.ip, settings.inner(addr(peer), Port::Store), DIAL).await
        {
            let (from, out) = link::split(stream);
            to.send(Mail::Up { peer, out }).await.ok();
            read(
                from,
                DIALLED + u64::from(u32::from_be_bytes(peer)),
                to.clone(),
            )
            .await;
            to.send(Mail::Down { peer }).await.ok();
        }
        sleep(REDIAL).await;
    }
}

async fn run(settings: Settings) -> Result<(), String> {
    // SIGHUP ends a program that has not asked for it.
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let settings = Rc::new(settings);
    let me = ip(settings.ip);
    let dir = settings
        .data
        .clone()
        .ok_or("data_directory: a store needs one")?;
    let store = Disk::open(&dir).map_err(|e| e.to_string())?;
    let (mut kept, known, backends) = store.read().map_err(|e| e.to_string())?;
    let start = Instant::now();
    log::info!("store: {} items on disk.", kept.accepted.items().len());
    let seeds: Vec<Ip> = settings.seeds.iter().map(|seed| ip(seed.ip())).collect();
    if let Some(writes) = kept.found(me, &seeds).filter(|_| settings.first_start) {
        store.keep(&writes).map_err(|e| e.to_string())?;
        writes.iter().for_each(|write| kept.keep(write));
    }
    let mut replica = Replica::new(me, kept, rand::random(), Duration::ZERO);
    replica.roster(&known);
    let wanted = Rc::new(RefCell::new(Vec::new()));
    let mut process = StoreProcess {
        me,
        replica,
        store: Some(store),
        dir,
        ill: Duration::ZERO,
        roster: known,
        backends,
        told_epoch: 0,
        peers: HashMap::new(),
        came: HashMap::new(),
        registry: None,
        orders: HashMap::new(),
        next_order: 0,
        unconfirmed: HashMap::new(),
        start,
    };
    process.carry_out(None);
    let listener = link::listen(settings.inner(settings.ip, Port::Store))?;
    let (to, mut mailbox) = mpsc::channel(1024);
    let accepted = to.clone();
    tokio::task::spawn_local(async move {
        for link in 1u64.. {
            let Ok((stream, at)) = listener.accept().await else {
                sleep(REDIAL).await;
                continue;
            };
            let IpAddr::V4(v4) = at.ip() else { continue };
            link::tend(&stream);
            let (from, out) = link::split(stream);
            let to = accepted.clone();
            tokio::task::spawn_local(async move {
                to.send(Mail::Came {
                    link,
                    from: v4.octets(),
                    out,
                })
                .await
                .ok();
                read(from, link, to.clone()).await;
                to.send(Mail::Gone { link }).await.ok();
            });
        }
    });
    let mut leaving: Option<Duration> = None;
    let mut held: HashMap<Ip, tokio::task::JoinHandle<()>> = HashMap::new();
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(mail) = mailbox.recv() => process.mail(mail),
            _ = tick.tick() => {
                let now = process.now();
                process.recover();
                if process.store.is_some() {
                    process.replica.tick(now);
                }
                process.carry_out(None);
                held.retain(|_, task| !task.is_finished());
                *wanted.borrow_mut() = process.peers_wanted();
                for peer in wanted.borrow().iter() {
                    if !held.contains_key(peer) {
                        let task = hold(*peer, settings.clone(), wanted.clone(), to.clone());
                        held.insert(*peer, tokio::task::spawn_local(task));
                    }
                }
                if leaving.is_some_and(|since| process.replica.may_end(now) || now >= since + LEAVE) {
                    log::info!("store: ends.");
                    return Ok(());
                }
            }
            _ = hangup.recv() => damsonbeam_control::reloaded("store"),
            _ = terminate.recv() => {
                process.replica.leave();
                leaving = leaving.or(Some(process.now()));
            }
        }
    }
}

fn main() -> ExitCode {
    let about = "One store: the store of the configuration. Configured by DAMSONBEAM_CONFIG.";
    damsonbeam_control::program("store", about, run)
}
