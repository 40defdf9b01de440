//! The program's phases, from start to exit, as the named states of one object; it alone wires the actors.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::Rules;
use damsonbeam::interface::{GatewayId, ListForm, Settings};
use damsonbeam_admin::{Admin, Asked, Figures, Order};
use damsonbeam_handover::{Does, Elder, Heard, Said, VERSION, Younger};
use futures_util::future::pending;
use futures_util::stream::{FuturesUnordered, StreamExt};
use serde_json::Value;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout, timeout_at};

use crate::account::Account;
use crate::backends::{Backend, Fleet, Platform};
use crate::clients::Clients;
use crate::clock::Clock;
use crate::config::{Config, Places};
use crate::counter::Counter;
use crate::front::PlatformRequests;
use crate::handover::{self, Link, Seat};
use crate::list::{List, Numbers, Page};
use crate::log::log;
use crate::mail::*;
use crate::module::{Module, State};
use crate::peers::Peers;
use crate::stage::{Now, Stage};
use crate::witness::Witness;

/// Room in the mailboxes: the module's for all that its peers can have on the way, a peer's for a burst.
const MODULE_ROOM: usize = 4096;
const PEER_ROOM: usize = 1024;
const ORDER_ROOM: usize = 8;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// New connections come for up to 0.4 s after SIGTERM, or after a drain's `/up` says no; what comes within
/// 0.7 s of it must be answered.
const ACCEPT_ON: Duration = Duration::from_millis(700);
/// Between two looks for idle connections while clients are sent away.
const LOOK: Duration = Duration::from_millis(250);
/// How long the last known list has to do, where there is one, before invocations are taken with it.
const LIST: Duration = Duration::from_millis(300);
/// The module hands over within this, or it is not waited for.
const CARRY: Duration = Duration::from_millis(1000);
/// SIGKILL comes no sooner than the longest integration timeout, counted as this where it is shorter,
/// and the time for accepting after SIGTERM; our exit comes this much before.
const LONGEST: Duration = Duration::from_secs(3);
const BEFORE: Duration = Duration::from_millis(20);

#[derive(Default)]
pub struct Life {
    now: Now,
}

/// What runs from one stage to the next.
struct Running {
    name: String,
    clients: Rc<Clients>,
    front: Rc<PlatformRequests>,
    listener: Rc<TcpListener>,
    /// None while another process accepts in this one's place.
    accepting: Option<JoinHandle<()>>,
    module: mpsc::Sender<ToModule>,
    /// The actors without which nothing is served: the module, the list, the counter.
    actors: FuturesUnordered<JoinHandle<()>>,
    terminate: Signal,
    reload: Signal,
    /// The settings in force, with the rows of those before them, and the file that they came from.
    settings: Settings,
    source: Value,
    places: Places,
    list: mpsc::Sender<ToList>,
    counter: Option<mpsc::Sender<ToCounter>>,
    figures: Figures,
    orders: mpsc::Receiver<Asked>,
    /// The list as it stands, for whoever follows.
    last_list: Rc<RefCell<Page>>,
    /// The process before this one, until it has ended.
    elder: Option<Link>,
    succession: Succession,
}

/// The process that follows this one, if one does.
#[derive(Default)]
struct Succession {
    path: Option<PathBuf>,
    seat: Option<Seat>,
    link: Option<Link>,
    step: Elder,
}

impl Succession {
    /// Greetings, and what is said after one; never, where nobody can follow.
    async fn heard(&mut self, name: &str) -> Heard {
        if self.link.is_none() {
            let Some(seat) = &self.seat else {
                return pending().await;
            };
            self.link = seat.came().await;
        }
        let Some(link) = &mut self.link else {
            return Heard::Lost;
        };
        // One that came and says nothing must not keep out the next.
        let said = if self.step == Elder::Alone {
            link.hear_soon().await
        } else {
            link.hear().await
        };
        match said {
            Some(Said::Hello {
                version,
                name: whose,
            }) => Heard::Hello {
                ours: version == VERSION && whose == name,
            },
            Some(Said::Prepared) => Heard::Prepared,
            Some(Said::Taken) => Heard::Taken,
            _ => Heard::Lost,
        }
    }
}

impl Life {
    /// From start to exit.
    pub async fn run(self, config: Config) -> Result<(), String> {
        let name = config.name.clone();
        config
            .notes
            .iter()
            .for_each(|note| log!(info, "not-on-sockets", "{note}"));
        config
            .unknown
            .iter()
            .for_each(|key| log!(warn, "key-unknown", "{key}: not read"));
        let mut running = self.start(config).await?;
        running.serves().await;
        self.now.enter(Stage::Serving, &name);
        self.serve(&mut running).await?;
        self.now.enter(Stage::Draining, &name);
        let end = Instant::now() + running.grace();
        if running.accepting.is_some() {
            tokio::select! {
                () = sleep(ACCEPT_ON) => {}
                ended = running.actors.next() => return Err(format!("an actor ended: {ended:?}")),
            }
        }
        self.now.enter(Stage::Finishing, &name);
        running.stop_accepting();
        // Invocations end by their clients' time; a client that never reads its answer must not hold us.
        let gone = async {
            let mut look = interval(LOOK);
            loop {
                tokio::select! {
                    () = running.clients.all_gone() => return,
                    _ = look.tick() => running.clients.close(),
                }
            }
        };
        timeout_at(end, gone).await.ok();
        self.now.enter(Stage::Ended, &name);
        Ok(())
    }

    /// Until SIGTERM.
    async fn serve(&self, running: &mut Running) -> Result<(), String> {
        let name = running.name.clone();
        let mut look = interval(LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // From when on idle connections are closed while clients are sent away.
        let mut closes = Instant::now();
        loop {
            tokio::select! {
                _ = running.terminate.recv() => {
                    running.succession.step.on(Heard::Terminate);
                    return Ok(());
                }
                _ = running.reload.recv() => {
                    match Config::read().and_then(|new| new.follows(&running.source).map(|()| new)) {
                        Ok(new) => running.move_to(new).await?,
                        Err(why) => {
                            running.figures.conf_invalid.inc();
                            log!(warn, "reload-refused", "{why}; the old configuration stays");
                        }
                    }
                }
                Some((order, done)) = running.orders.recv() => {
                    // Once another process serves in this one's place, neither is this one's to do.
                    let ours = !running.succession.step.is_followed();
                    match order {
                        Order::Evacuate if ours && self.now.stage() == Stage::Serving => {
                            closes = Instant::now() + ACCEPT_ON;
                            self.now.enter(Stage::Evacuated, &name);
                        }
                        Order::Rejoin if ours => self.now.enter(Stage::Serving, &name),
                        _ => {}
                    }
                    done.send(ours).ok();
                }
                // The front still brings new connections for a while; what they carry is answered.
                _ = look.tick(), if self.now.stage().sends_away() && Instant::now() >= closes => {
                    running.clients.close();
                }
                heard = running.succession.heard(&name) => {
                    for does in running.succession.step.on(heard) {
                        if *does == Does::SendClientsAway {
                            closes = Instant::now();
                        }
                        self.hand_over(running, *does).await?;
                    }
                }
                () = gone(&mut running.elder) => {
                    running.elder = None;
                    running.clients.alone();
                }
                ended = running.actors.next() => return Err(format!("an actor ended: {ended:?}")),
            }
        }
    }

    /// One thing that the elder does for the younger.
    async fn hand_over(&self, running: &mut Running, does: Does) -> Result<(), String> {
        let name = running.name.clone();
        log!(info, "handover", "{name}: {does:?}");
        running
            .figures
            .handovers
            .with_label_values(&[&format!("{does:?}")])
            .inc();
        let mut link = running.succession.link.take();
        let mut say = async |said: Said| {
            let there = match &mut link {
                Some(link) => link.say(&said).await,
                None => false,
            };
            if !there {
                link = None;
            }
        };
        match does {
            Does::TellKnown => {
                let known = serde_json::to_value(&*running.last_list.borrow());
                say(Said::Known(known.unwrap_or_default())).await;
            }
            Does::StopAccepting => {
                running.stop_accepting();
                // Before the other one can say that it is ready: never both do.
                if self.now.stage() == Stage::Serving {
                    self.now.enter(Stage::Yielding, &name);
                }
            }
            Does::SendCarry => {
                let (to, carry) = oneshot::channel();
                running
                    .module
                    .send(ToModule::Yield(to))
                    .await
                    .map_err(|e| e.to_string())?;
                if let Ok(Ok(carry)) = timeout(CARRY, carry).await {
                    say(Said::Carry(carry)).await;
                }
            }
            Does::SendClientsAway => self.now.enter(Stage::Yielded, &name),
            Does::Resume => {
                running
                    .module
                    .send(ToModule::Resume)
                    .await
                    .map_err(|e| e.to_string())?;
                running.accept();
                if let Some(path) = &running.succession.path {
                    running.succession.seat = Seat::take(path);
                }
                if matches!(self.now.stage(), Stage::Yielding | Stage::Yielded) {
                    self.now.enter(Stage::Serving, &name);
                }
            }
            Does::HangUp => link = None,
        }
        running.succession.link = link;
        Ok(())
    }

    async fn start(&self, config: Config) -> Result<Running, String> {
        // SIGHUP ends a program that has not asked for it.
        let reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
        let terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
        let clock = Clock::start();
        let figures = Figures::new().map_err(|e| format!("figures: {e}"))?;
        let (to_life, orders) = mpsc::channel(ORDER_ROOM);
        if let Some(at) = config.admin {
            let now = self.now.clone();
            let ready = Arc::new(move || now.stage().serves());
            Admin {
                figures: figures.clone(),
                ready,
                orders: to_life,
            }
            .start(at)?;
        }
        let path = handover::path(&config.name);
        let mut younger = Younger::Greeted;
        let mut elder = match &path {
            Some(path) => Link::greet(path, &config.name).await,
            None => None,
        };
        let mut known = config.known;
        if let Some(link) = &mut elder {
            let said = link.hear_soon().await;
            younger.on(said.as_ref());
            if let Some(Said::Known(page)) = said
                && let Ok(page) = serde_json::from_value::<Page>(page)
                && page.revision >= known.revision
            {
                known = page;
            }
        }
        let (to_module, mailbox) = mpsc::channel(MODULE_ROOM);
        let places = config.places;
        let fleet = Fleet::new(
            config.settings.limits.connect_timeout,
            Duration::from_nanos(config.facts.ceilings.conn_idle_ns),
            config.facts.report.names.clone(),
            Box::new(Platform),
            config.backends,
            config.bodies,
            &figures,
        );
        let now = self.now.clone();
        let front = Rc::new(PlatformRequests::new(
            &config.settings,
            &figures,
            to_module.clone(),
        ));
        let clients = Clients::new(
            front.clone(),
            config.clients,
            config.bodies,
            clock,
            now,
            &figures,
        );
        let clients = Rc::new(clients);
        let (limits, facts) = (&config.settings.limits, config.facts);
        let actors = FuturesUnordered::new();
        let counter = config
            .settings
            .counter
            .as_ref()
            .zip(places.counter)
            .map(|(set, at)| {
                let (to, mailbox) = mpsc::channel(PEER_ROOM);
                let (timeout, connect_timeout) = (set.timeout, limits.connect_timeout);
                let counter = Counter {
                    at,
                    timeout,
                    connect_timeout,
                    clock,
                    module: to_module.clone(),
                    mailbox,
                };
                actors.push(tokio::task::spawn_local(counter.run()));
                to
            });
        let me = config.settings.me;
        let others = (0..config.peers.len() as u32)
            .map(GatewayId)
            .filter(|g| *g != me)
            .collect();
        let wants_witness = config.witness;
        let peers = match config.peer_listen.filter(|_| limits.tell) {
            None => None,
            Some(at) => {
                let (to, mailbox) = mpsc::channel(PEER_ROOM);
                let socket = Peers::bind(at).map_err(|e| format!("peer_listen: {at}: {e}"))?;
                let (peers, all) = (config.peers, config.peers_all);
                tokio::task::spawn_local(
                    Peers {
                        socket,
                        peers,
                        all,
                        module: to_module.clone(),
                        mailbox,
                    }
                    .run(),
                );
                Some(to)
            }
        };
        let mut numbers = Numbers::new(facts.dcs, facts.kinds);
        let some = !known.members.is_empty();
        let last_list = Rc::new(RefCell::new(known.clone()));
        let revision = known.revision;
        let known = numbers.listed(known, ListForm::Restored);
        let (to_list, list_mailbox) = mpsc::channel(PEER_ROOM);
        let (first, listed) = oneshot::channel();
        let mode = config.settings.discovery;
        let witness = (wants_witness && peers.is_some()).then(|| (Witness::default(), others));
        let settings = config.settings.clone();
        let module = Module {
            rules: Rules::new(config.seed, config.settings, clock.now()),
            clock,
            mailbox,
            hire: Box::new(move |at, name| Backend::hire(&fleet, at, name)),
            me: to_module.clone(),
            guard: None,
            counter: counter.clone(),
            list: to_list.clone(),
            peers,
            witness,
            state: State::default(),
            figures: figures.clone(),
            account: Account::new(settings.cold_for),
            shown: config.admin.is_some(),
            carry: None,
        };
        to_module
            .send(ToModule::Listed(known))
            .await
            .map_err(|e| e.to_string())?;
        actors.push(tokio::task::spawn_local(module.run()));
        let list = List {
            at: places.discovery,
            numbers,
            mode,
            known: revision,
            last_list: last_list.clone(),
            module: to_module.clone(),
            mailbox: list_mailbox,
            first: Some(first),
        };
        actors.push(tokio::task::spawn_local(list.run()));
        let listener =
            listen(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
        let succession = Succession {
            path,
            ..Succession::default()
        };
        let mut running = Running {
            name: config.name,
            clients,
            front,
            listener: Rc::new(listener),
            accepting: None,
            module: to_module,
            actors,
            terminate,
            reload,
            settings,
            source: config.source,
            places,
            list: to_list,
            counter,
            figures,
            orders,
            last_list,
            elder: None,
            succession,
        };
        if elder.is_none() {
            running.accept();
        }
        // Up before it knows a backend, it would throttle all that comes.
        tokio::select! {
            _ = listed => {}
            _ = running.terminate.recv() => return Err("SIGTERM before there was a list of backends".into()),
            () = sleep(LIST), if some => log!(warn, "list-late", "serving with the list as last known"),
        }
        if let Some(mut link) = elder {
            if younger.prepared() {
                let said = if link.say(&Said::Prepared).await {
                    link.hear_soon().await
                } else {
                    None
                };
                younger.on(said.as_ref());
                if let Some(Said::Carry(carry)) = said {
                    running
                        .module
                        .send(ToModule::Carried(carry))
                        .await
                        .map_err(|e| e.to_string())?;
                }
            }
            log!(info, "handover", "{}: younger: {younger:?}", running.name);
            running
                .figures
                .handovers
                .with_label_values(&[&format!("{younger:?}")])
                .inc();
            if younger == Younger::Follows {
                running.clients.beside();
                running.elder = Some(link);
            }
            running.accept();
        }
        Ok(running)
    }
}

/// Once the process before this one has ended; never, where there is none.
async fn gone(elder: &mut Option<Link>) {
    match elder {
        Some(link) => while link.hear().await.is_some() {},
        None => pending().await,
    }
}

/// The clients' socket: the one that the platform hands over in `NODE_LISTEN_FD`, else one of our own.
fn listen(at: SocketAddr) -> Result<TcpListener, String> {
    if let Some(fd) = std::env::var_os("NODE_LISTEN_FD") {
        let fd = fd
            .to_str()
            .and_then(|fd| fd.parse().ok())
            .filter(|fd: &i32| *fd > 2);
        let fd = fd.ok_or("NODE_LISTEN_FD: no number of a descriptor")?;
        return inherited(fd).map_err(|e| format!("NODE_LISTEN_FD: {fd}: {e}"));
    }
    let own = || {
        let socket = if at.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        }?;
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        socket.listen(BACKLOG)
    };
    own().map_err(|e: std::io::Error| e.to_string())
}

fn inherited(fd: i32) -> Result<TcpListener, String> {
    use std::os::fd::{BorrowedFd, FromRawFd};
    // SAFETY: looked at only; a number that is no descriptor fails there.
    let listens = socket2::SockRef::from(&unsafe { BorrowedFd::borrow_raw(fd) }).is_listener();
    if !listens.map_err(|e| e.to_string())? {
        return Err("does not listen".into());
    }
    // SAFETY: the platform hands it to this process, and nothing else here uses it.
    let listener = unsafe { std::net::TcpListener::from_raw_fd(fd) };
    listener.set_nonblocking(true).map_err(|e| e.to_string())?;
    TcpListener::from_std(listener).map_err(|e| e.to_string())
}

impl Running {
    fn accept(&mut self) {
        self.stop_accepting();
        let accepting = self.clients.clone().accept(self.listener.clone());
        self.accepting = Some(tokio::task::spawn_local(accepting));
    }

    fn stop_accepting(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
        }
    }

    /// From now on clients come here: the process before hears so, and one to follow may come.
    async fn serves(&mut self) {
        if let Some(link) = &mut self.elder {
            link.say(&Said::Taken).await;
        }
        if let Some(path) = &self.succession.path {
            self.succession.seat = Seat::take(path);
        }
    }

    /// From SIGTERM to the exit at the latest.
    fn grace(&self) -> Duration {
        let longest = self
            .settings
            .operations
            .iter()
            .map(|o| o.integration_timeout)
            .max();
        longest.unwrap_or_default().max(LONGEST) + ACCEPT_ON - BEFORE
    }

    /// Takes a new configuration: its settings, and where the list and the counter are; all else in it waits
    /// for a restart.
    async fn move_to(&mut self, config: Config) -> Result<(), String> {
        let (old, new) = (self.places, config.places);
        self.settings = self.settings.follow(config.settings);
        // The module first: what is decoded by the new names is told in their positions.
        let settings = Box::new(self.settings.clone());
        self.module
            .send(ToModule::Settings(settings))
            .await
            .map_err(|e| e.to_string())?;
        self.front.settle(&self.settings);
        if new.discovery != old.discovery {
            self.list
                .send(ToList::Move(new.discovery))
                .await
                .map_err(|e| e.to_string())?;
        }
        if let (Some(counter), Some(at)) = (&self.counter, new.counter)
            && new.counter != old.counter
        {
            counter
                .send(ToCounter::Move(at))
                .await
                .map_err(|e| e.to_string())?;
        }
        (self.places, self.source) = (new, config.source);
        self.figures.conf_loaded.inc();
        log!(info, "reload", "{}: new configuration in force", self.name);
        Ok(())
    }
}
