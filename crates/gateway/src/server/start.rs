//! The start of the process: creates the actors from the configuration, connects them, and takes over the state of a
//! predecessor.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::Rules;
use damsonbeam::interface::{GatewayId, ListUpdate};
use damsonbeam_admin::{Admin, Metrics, OrderRequest};
use damsonbeam_handover::{HandoverMessage, Successor};
use futures_util::stream::FuturesUnordered;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use super::listener::listen;
use super::running::{Running, send};
use super::succession::Succession;
use super::{Server, ServerError};
use crate::account::Account;
use crate::backend_list::{BackendListWatcher, DiscoveryPage, NameTable};
use crate::backends::{Backend, ConnectionPools, PlatformBackends};
use crate::clients::Clients;
use crate::clock::Clock;
use crate::config::Config;
use crate::counter_client::CounterClient;
use crate::dispatcher::{Dispatcher, DispatcherState};
use crate::handover::{self, HandoverConnection};
use crate::log::log;
use crate::messages::{PeerDatagram, ToCounter, ToDispatcher, ToListWatcher};
use crate::peer_admissions::PeerAdmissions;
use crate::peers::Peers;
use crate::platform_protocol::PlatformProtocol;

/// Holds all messages that the other actors can have in transit to the dispatcher.
const DISPATCHER_MAILBOX_CAPACITY: usize = 4096;
/// Holds a burst of messages to any other actor.
const MAILBOX_CAPACITY: usize = 1024;
const ORDER_QUEUE_CAPACITY: usize = 8;
/// How long the start waits for a list from discovery if a last known list could be used instead.
const LIST_TIMEOUT: Duration = Duration::from_millis(300);

/// The hand-over from a predecessor: its state and its connection.
struct Takeover {
    state: Successor,
    connection: Option<HandoverConnection>,
}

impl Takeover {
    /// Connects to the serving process, if there is one.
    async fn begin(path: Option<&PathBuf>, name: &str) -> Self {
        let connection = match path {
            Some(path) => HandoverConnection::connect(path, name).await,
            None => None,
        };
        Takeover {
            state: Successor::Greeted,
            connection,
        }
    }

    /// Receives the predecessor's list of backends; returns `configured` if there is none or if it is older.
    async fn receive_list(&mut self, configured: DiscoveryPage) -> DiscoveryPage {
        let Some(connection) = &mut self.connection else {
            return configured;
        };
        let message = connection.receive_reply().await;
        self.state.handle(message.as_ref());
        let Some(HandoverMessage::Known(page)) = message else {
            return configured;
        };
        serde_json::from_value::<DiscoveryPage>(page)
            .ok()
            .filter(|page| page.revision >= configured.revision)
            .unwrap_or(configured)
    }

    /// Takes over the predecessor's state and starts to accept clients.
    async fn finish(self, running: &mut Running) -> Result<(), ServerError> {
        let (mut state, Some(mut connection)) = (self.state, self.connection) else {
            return Ok(());
        };
        if state.prepared() {
            let message = if connection.send(&HandoverMessage::Prepared).await {
                connection.receive_reply().await
            } else {
                None
            };
            state.handle(message.as_ref());
            if let Some(HandoverMessage::Carry(carry)) = message {
                send(&running.dispatcher, ToDispatcher::TakeOver(carry)).await?;
            }
        }
        log!(info, "handover", "{}: successor: {state:?}", running.name);
        let counter = &running.metrics.handovers;
        counter.with_label_values(&[&format!("{state:?}")]).inc();
        if state == Successor::Follows {
            running.clients.halve_connection_limit();
            running.predecessor = Some(connection);
        }
        running.start_accepting();
        Ok(())
    }
}

/// The parts that the actors share.
struct SharedParts {
    clock: Clock,
    metrics: Metrics,
    dispatcher: mpsc::Sender<ToDispatcher>,
    actors: FuturesUnordered<JoinHandle<()>>,
}

impl SharedParts {
    /// Starts an actor that the gateway can't serve without.
    fn start(&self, actor: impl Future<Output = ()> + 'static) {
        self.actors.push(spawn_local(actor));
    }

    /// Starts the counter's client if the settings have a counter.
    fn start_counter_client(&self, config: &Config) -> Option<mpsc::Sender<ToCounter>> {
        let counter_settings = config.settings.counter.as_ref()?;
        let address = config.addresses.counter?;
        let (sender, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
        let client = CounterClient {
            address,
            timeout: counter_settings.timeout,
            connect_timeout: config.settings.limits.connect_timeout,
            clock: self.clock,
            dispatcher: self.dispatcher.clone(),
            mailbox,
        };
        self.start(client.run());
        Some(sender)
    }

    /// Starts the actor that exchanges messages with the other gateways, if the configuration allows it.
    fn start_peers(
        &self,
        config: &Config,
    ) -> Result<Option<mpsc::Sender<PeerDatagram>>, ServerError> {
        let Some(address) = config
            .peer_listen
            .filter(|_| config.settings.limits.may_message_peers)
        else {
            return Ok(None);
        };
        let (sender, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
        let socket =
            Peers::bind(address).map_err(|source| ServerError::PeerListen { address, source })?;
        let peers = Peers {
            socket,
            peers: config.peers.clone(),
            broadcast_address: config.peers_all,
            dispatcher: self.dispatcher.clone(),
            mailbox,
        };
        spawn_local(peers.run());
        Ok(Some(sender))
    }

    /// Creates the clients' actor and the decoder of their requests.
    fn clients(&self, config: &Config, server: &Server) -> (Rc<PlatformProtocol>, Rc<Clients>) {
        let protocol =
            PlatformProtocol::new(&config.settings, &self.metrics, self.dispatcher.clone());
        let protocol = Rc::new(protocol);
        let clients = Clients::new(
            protocol.clone(),
            config.max_client_connections,
            config.body_memory_bytes,
            self.clock,
            server.phase.clone(),
            &self.metrics,
        );
        (protocol, Rc::new(clients))
    }

    /// Starts the dispatcher with the last known list, and the watcher of the list; returns a receiver that completes
    /// with the watcher's first list.
    async fn start_list(
        &self,
        config: &Config,
        dispatcher: Dispatcher,
        mailbox: mpsc::Receiver<ToListWatcher>,
        last_list: &Rc<RefCell<DiscoveryPage>>,
    ) -> Result<oneshot::Receiver<()>, ServerError> {
        let known = last_list.borrow().clone();
        let revision = known.revision;
        let mut names = NameTable::new(
            config.settings_file.dcs.clone(),
            config.settings_file.kinds.clone(),
        );
        let restored = names.to_update(known, ListUpdate::Restored);
        send(&self.dispatcher, ToDispatcher::BackendList(restored)).await?;
        self.start(dispatcher.run());
        let (first_list, listed) = oneshot::channel();
        let watcher = BackendListWatcher {
            address: config.addresses.discovery,
            names,
            mode: config.settings.discovery,
            initial_revision: revision,
            last_list: last_list.clone(),
            dispatcher: self.dispatcher.clone(),
            mailbox,
            first_page_sender: Some(first_list),
        };
        self.start(watcher.run());
        Ok(listed)
    }

    /// Creates the dispatcher without starting it.
    fn dispatcher(
        &self,
        config: &Config,
        mailbox: mpsc::Receiver<ToDispatcher>,
        targets: DispatcherMailboxes,
    ) -> Dispatcher {
        let connection_pools = ConnectionPools::new(
            config.settings.limits.connect_timeout,
            Duration::from_nanos(config.settings_file.ceilings.conn_idle_ns),
            config.settings_file.report.names.clone(),
            Box::new(PlatformBackends),
            config.max_backend_connections,
            config.body_memory_bytes,
            &self.metrics,
        );
        let settings = &config.settings;
        let peer_admissions = (config.reports_to_peers && targets.peers.is_some())
            .then(|| (PeerAdmissions::default(), other_gateways(config)));
        Dispatcher {
            rules: Rules::new(config.seed, settings.clone(), self.clock.now()),
            clock: self.clock,
            mailbox,
            spawn_backend: Box::new(move |address, name| {
                Backend::spawn(&connection_pools, address, name)
            }),
            own_mailbox: self.dispatcher.clone(),
            attempt_policy: None,
            counter: targets.counter,
            list_watcher: targets.list_watcher,
            peers: targets.peers,
            peer_admissions,
            state: DispatcherState::default(),
            metrics: self.metrics.clone(),
            account: Account::new(settings.warm_up_time),
            reports_metrics: config.admin.is_some(),
            carry: None,
        }
    }
}

/// Senders to the mailboxes of the actors that the dispatcher sends messages to.
struct DispatcherMailboxes {
    counter: Option<mpsc::Sender<ToCounter>>,
    list_watcher: mpsc::Sender<ToListWatcher>,
    peers: Option<mpsc::Sender<PeerDatagram>>,
}

fn other_gateways(config: &Config) -> Vec<GatewayId> {
    let all = (0..config.peers.len() as u32).map(GatewayId);
    all.filter(|gateway| *gateway != config.settings.own_id)
        .collect()
}

impl Server {
    /// Starts all actors; returns once a list of backends is known and clients are accepted.
    #[expect(
        clippy::too_many_lines,
        reason = "one actor after the other, in the order of the start"
    )]
    pub(super) async fn start(&self, config: Config) -> Result<Running, ServerError> {
        // Installed first, since an unhandled SIGHUP ends the process.
        let reload = signal(SignalKind::hangup()).map_err(|source| ServerError::Signal {
            name: "SIGHUP",
            source,
        })?;
        let terminate = signal(SignalKind::terminate()).map_err(|source| ServerError::Signal {
            name: "SIGTERM",
            source,
        })?;
        let (dispatcher, dispatcher_mailbox) = mpsc::channel(DISPATCHER_MAILBOX_CAPACITY);
        let parts = SharedParts {
            clock: Clock::start(),
            metrics: Metrics::new().map_err(|e| ServerError::Metrics(e.to_string()))?,
            dispatcher,
            actors: FuturesUnordered::new(),
        };
        let orders = self.serve_operators(&config, &parts.metrics)?;
        let path = handover::path(&config.name);
        let mut takeover = Takeover::begin(path.as_ref(), &config.name).await;
        let known = takeover.receive_list(config.known_backends.clone()).await;

        let (protocol, clients) = parts.clients(&config, self);
        let counter = parts.start_counter_client(&config);
        let peers = parts.start_peers(&config)?;
        let (list_watcher, list_mailbox) = mpsc::channel(MAILBOX_CAPACITY);
        let dispatcher = parts.dispatcher(
            &config,
            dispatcher_mailbox,
            DispatcherMailboxes {
                counter: counter.clone(),
                list_watcher: list_watcher.clone(),
                peers,
            },
        );
        let knows_backends = !known.members.is_empty();
        let last_list = Rc::new(RefCell::new(known));
        let listed = parts
            .start_list(&config, dispatcher, list_mailbox, &last_list)
            .await?;
        let listener = listen(config.listen).map_err(|source| ServerError::Listen {
            address: config.listen,
            source,
        })?;
        let mut running = Running {
            name: config.name,
            clients,
            protocol,
            listener: Rc::new(listener),
            accepting: None,
            dispatcher: parts.dispatcher,
            actors: parts.actors,
            terminate,
            reload,
            settings: config.settings,
            source: config.source,
            addresses: config.addresses,
            list_watcher,
            counter,
            metrics: parts.metrics,
            orders,
            last_list,
            predecessor: None,
            succession: Succession {
                path,
                ..Succession::default()
            },
        };
        if takeover.connection.is_none() {
            running.start_accepting();
        }
        wait_for_list(&mut running, listed, knows_backends).await?;
        takeover.finish(&mut running).await?;
        Ok(running)
    }

    /// Starts the admin interface if the configuration has an address for it; returns the receiver of operators' orders.
    fn serve_operators(
        &self,
        config: &Config,
        metrics: &Metrics,
    ) -> Result<mpsc::Receiver<OrderRequest>, ServerError> {
        let (sender, orders) = mpsc::channel(ORDER_QUEUE_CAPACITY);
        if let Some(address) = config.admin {
            let phase = self.phase.clone();
            let admin = Admin {
                metrics: metrics.clone(),
                ready: Arc::new(move || phase.get().is_serving()),
                orders: sender,
            };
            admin.start(address).map_err(ServerError::Admin)?;
        }
        Ok(orders)
    }
}

/// Waits for the first list of backends, since a gateway that reports ready without one would throttle every request.
/// If a list is already known, waits for at most `LIST_TIMEOUT`.
async fn wait_for_list(
    running: &mut Running,
    listed: oneshot::Receiver<()>,
    knows_backends: bool,
) -> Result<(), ServerError> {
    tokio::select! {
        _ = listed => {}
        _ = running.terminate.recv() => {
            return Err(ServerError::NoList);
        }
        () = sleep(LIST_TIMEOUT), if knows_backends => {
            log!(warn, "list-late", "no list from discovery yet; serving with the last known list");
        }
    }
    Ok(())
}
