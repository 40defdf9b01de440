//! The program's phases, from start to exit, as the named states of one object.

use std::rc::Rc;
use std::time::Duration;

use damsonbeam::Rules;
use damsonbeam::interface::{GatewayId, ListForm};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::net::{TcpSocket, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

use crate::backends::{Backend, Fleet};
use crate::clients::Clients;
use crate::clock::Clock;
use crate::config::{Config, Places};
use crate::counter::Counter;
use crate::list::{List, Numbers};
use crate::log::log;
use crate::mail::*;
use crate::module::{Module, State};
use crate::peers::Peers;
use crate::stage::{Now, Stage};
use crate::witness::Witness;

/// Room in the mailboxes: the module's for all that its peers can have on the way, a peer's for a burst.
const MODULE_ROOM: usize = 4096;
const PEER_ROOM: usize = 1024;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// New connections come for up to 0.4 s after SIGTERM; what comes within 0.7 s of it must be answered.
const ACCEPT_ON: Duration = Duration::from_millis(700);
/// How long the last known list has to do, where there is one, before invocations are taken with it.
const LIST: Duration = Duration::from_millis(300);
/// SIGKILL comes no sooner than the longest integration timeout, counted as this where it is shorter,
/// and the time for accepting after SIGTERM; our exit comes this much before.
const LONGEST: Duration = Duration::from_secs(3);
const BEFORE: Duration = Duration::from_millis(20);

#[derive(Default)]
pub struct Life {
    now: Rc<Now>,
}

/// What runs from one stage to the next.
struct Running {
    clients: Rc<Clients>,
    accepting: JoinHandle<()>,
    /// The actors without which nothing is served: the module, the list, the counter.
    actors: FuturesUnordered<JoinHandle<()>>,
    /// From SIGTERM to the exit at the latest.
    grace: Duration,
    terminate: Signal,
    reload: Signal,
    places: Places,
    list: mpsc::Sender<ToList>,
    counter: Option<mpsc::Sender<ToCounter>>,
}

impl Life {
    /// From start to exit.
    pub async fn run(self, config: Config) -> Result<(), String> {
        let name = config.name.clone();
        config.notes.iter().for_each(|note| log!(info, "not-on-sockets", "{note}"));
        config.unknown.iter().for_each(|key| log!(warn, "key-unknown", "{key}: not read"));
        let mut running = self.start(config).await?;
        loop {
            self.now.enter(Stage::Serving, &name);
            tokio::select! {
                _ = running.terminate.recv() => break,
                _ = running.reload.recv() => {
                    self.now.enter(Stage::Reloading, &name);
                    if let Err(why) = running.move_to(Config::read()).await {
                        log!(warn, "reload-refused", "{why}; the old configuration stays");
                    }
                }
                ended = running.actors.next() => return Err(format!("an actor ended: {ended:?}")),
            }
        }
        self.now.enter(Stage::Draining, &name);
        let end = Instant::now() + running.grace;
        tokio::select! {
            () = sleep(ACCEPT_ON) => {}
            ended = running.actors.next() => return Err(format!("an actor ended: {ended:?}")),
        }
        self.now.enter(Stage::Finishing, &name);
        running.accepting.abort();
        running.clients.close();
        // Invocations end by their clients' time; a client that never reads its answer must not hold us.
        timeout_at(end, running.clients.all_gone()).await.ok();
        self.now.enter(Stage::Ended, &name);
        Ok(())
    }

    async fn start(&self, config: Config) -> Result<Running, String> {
        // SIGHUP ends a program that has not asked for it.
        let reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
        let clock = Clock::start();
        let (to_module, mailbox) = mpsc::channel(MODULE_ROOM);
        let places = config.places;
        let fleet = Fleet::new(&config, to_module.clone());
        let clients = Rc::new(Clients::new(&config, clock, self.now.clone(), to_module.clone()));
        let (limits, facts) = (&config.settings.limits, config.facts);
        let actors = FuturesUnordered::new();
        let longest = config.settings.operations.iter().map(|o| o.integration_timeout).max();
        let grace = longest.unwrap_or_default().max(LONGEST) + ACCEPT_ON - BEFORE;
        let counter = config.settings.counter.as_ref().zip(places.counter).map(|(set, at)| {
            let (to, mailbox) = mpsc::channel(PEER_ROOM);
            let (timeout, connect_timeout) = (set.timeout, limits.connect_timeout);
            let counter = Counter { at, timeout, connect_timeout, clock, module: to_module.clone(), mailbox };
            actors.push(tokio::task::spawn_local(counter.run()));
            to
        });
        let me = config.settings.me;
        let others = (0..config.peers.len() as u32).map(GatewayId).filter(|g| *g != me).collect();
        let wants_witness = config.witness;
        let peers = match config.peer_listen.filter(|_| limits.tell) {
            None => None,
            Some(at) => {
                let (to, mailbox) = mpsc::channel(PEER_ROOM);
                let socket = UdpSocket::bind(at).await.map_err(|e| format!("peer_listen: {at}: {e}"))?;
                let (peers, all) = (config.peers, config.peers_all);
                tokio::task::spawn_local(
                    Peers { socket, peers, all, module: to_module.clone(), mailbox }.run(),
                );
                Some(to)
            }
        };
        let mut numbers = Numbers::new(facts.dcs, facts.kinds);
        let some = !config.known.members.is_empty();
        let known = numbers.listed(config.known, ListForm::Restored);
        let (to_list, list_mailbox) = mpsc::channel(PEER_ROOM);
        let (first, listed) = oneshot::channel();
        let mode = config.settings.discovery;
        let witness = (wants_witness && peers.is_some()).then(|| (Witness::default(), others));
        let module = Module {
            rules: Rules::new(config.seed, config.settings, clock.now()),
            clock,
            mailbox,
            hire: Box::new(move |at| Backend::hire(&fleet, at)),
            counter: counter.clone(),
            list: to_list.clone(),
            peers,
            witness,
            state: State::default(),
        };
        to_module.send(ToModule::Listed(known)).await.map_err(|e| e.to_string())?;
        actors.push(tokio::task::spawn_local(module.run()));
        let list = List {
            at: places.discovery,
            numbers,
            mode,
            module: to_module,
            mailbox: list_mailbox,
            first: Some(first),
        };
        actors.push(tokio::task::spawn_local(list.run()));
        let listener = (|| {
            let socket = if config.listen.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
            socket.set_reuseaddr(true)?;
            socket.bind(config.listen)?;
            socket.listen(BACKLOG)
        })();
        let listener = listener.map_err(|e| format!("listen: {}: {e}", config.listen))?;
        let accepting = tokio::task::spawn_local(clients.clone().accept(listener));
        // Up before it knows a backend, it would throttle all that comes.
        tokio::select! {
            _ = listed => {}
            _ = terminate.recv() => return Err("SIGTERM before there was a list of backends".into()),
            () = sleep(LIST), if some => log!(warn, "list-late", "serving with the list as last known"),
        }
        let list = to_list;
        Ok(Running { clients, accepting, actors, grace, terminate, reload, places, list, counter })
    }
}

impl Running {
    /// Moves the list and the counter where a new configuration has them elsewhere; all else in it waits
    /// for a restart. One that is faulty changes nothing.
    async fn move_to(&mut self, config: Result<Config, String>) -> Result<(), String> {
        let (old, new) = (self.places, config?.places);
        if new.discovery != old.discovery {
            self.list.send(ToList::Move(new.discovery)).await.map_err(|e| e.to_string())?;
        }
        if let (Some(counter), Some(at)) = (&self.counter, new.counter)
            && new.counter != old.counter
        {
            counter.send(ToCounter::Move(at)).await.map_err(|e| e.to_string())?;
        }
        self.places = new;
        Ok(())
    }
}
