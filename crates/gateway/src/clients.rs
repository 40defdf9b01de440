//! The clients: a listener, hyper's connections, and the registry of those connections.

mod connection;
mod invocation;
mod services;

use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use damsonbeam::interface::{Invocation, InvocationId};
use damsonbeam_admin::Figures;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep_until, timeout};

use self::connection::{ClientConnection, ConnectionState, ObservedSocket, unread};
use self::services::{InvocationService, PhaseService};
use crate::attempts::Repeatable;
use crate::bodies::ResponseBody;
use crate::clock::Clock;
use crate::connection_admission::{Admit, ConnectionAdmission, Evictable, TURNOVER_TIME};
use crate::log::log;
use crate::memory_budget::MemoryBudget;
use crate::messages::{Answer, ForwardedRequest, ToDispatcher};
use crate::phase::CurrentPhase;
use crate::shutdown_admission::ShutdownAdmission;
use crate::sizes::HEAD;

/// Pause after a failed accept: descriptors do not come free any sooner by asking.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// In this time a head comes whole: from the connection's start, later from its own first byte. Usual
/// clients need a fraction, some 2 s; one that says nothing, or never ends, is owed a close within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2600);
/// A usual client's request follows in the packet after the one that opened its connection: what has said nothing
/// is not closed for another before, whatever its and our schedulers do in between.
const GREETING_TIME: Duration = Duration::from_millis(20);
/// A connection without a request is closed after this: some clients ask once and hold it for good, and the
/// platform allows it from 2 s on.
const IDLE_TIMEOUT: Duration = TURNOVER_TIME;

/// A response to a client.
pub type ClientResponse = Response<ResponseBody>;
/// An answer to what is no invocation.
pub type Rejection = Box<ClientResponse>;

/// What clients speak, by the deployment's protocol: how a request is read and an answer written.
pub trait ClientProtocol {
    /// Whether a request asks if the gateway is up.
    fn is_readiness_check(&self, uri: &hyper::Uri) -> bool;
    /// The name by which the figures count a request.
    fn operation_name(&self, uri: &hyper::Uri) -> Option<Arc<str>>;
    /// What a request says, if all of it can be used; else the answer it gets.
    ///
    /// # Errors
    /// The answer.
    fn decode(
        &self,
        invocation_id: InvocationId,
        head: &Parts,
    ) -> Result<DecodedRequest, Rejection>;
    /// A request that was read is whole, or comes, and goes to its module now.
    fn request_accepted(&self, _: &ForwardedRequest, _: &mut RequestContext) {}
    /// The answer to the request of that name, and what was said of it when it was read.
    fn encode(&self, name: &str, context: RequestContext, answer: Answer) -> ClientResponse;
}

/// What whoever reads a request wants to know of it again with its answer.
pub type RequestContext = Option<Box<dyn Any>>;

/// A request that can be used: what the module is told, whether it may run more than once, its name, how long its client waits
/// from its last byte on, the headers that go on, and the module that decides on it.
pub struct DecodedRequest {
    /// What the dispatcher is told.
    pub invocation: Invocation,
    /// Proof that it may run more than once, where it may.
    pub repeatable: Option<Repeatable>,
    /// Its name.
    pub name: String,
    /// What the protocol wants to know of it again with its answer.
    pub context: RequestContext,
    /// How long its client waits from its last byte on.
    pub time_left: Duration,
    /// The headers that go on to a backend.
    pub headers: HeaderMap,
    /// The dispatcher that decides on it.
    pub dispatcher: mpsc::Sender<ToDispatcher>,
}

/// In these times a head comes whole, and a connection without a request stays open.
#[derive(Clone, Copy)]
pub struct ClientTimeouts {
    /// In this a head comes whole.
    pub head: Duration,
    /// A connection without a request stays open for this.
    pub idle: Duration,
}

impl Default for ClientTimeouts {
    fn default() -> Self {
        ClientTimeouts {
            head: HEAD_TIMEOUT,
            idle: IDLE_TIMEOUT,
        }
    }
}

/// The connections of clients.
pub struct Clients {
    clock: Clock,
    phase: CurrentPhase,
    figures: Figures,
    protocol: Rc<dyn ClientProtocol>,
    timeouts: Rc<Cell<ClientTimeouts>>,
    /// Connections at most now.
    max_connections: Cell<usize>,
    /// Connections at most where no other process of this gateway has some.
    max_connections_alone: usize,
    /// Room for the bodies that are held or on their way.
    bodies: MemoryBudget,
    shutdown_admission: ShutdownAdmission,
    admission: RefCell<ConnectionAdmission>,
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// Numbers connections and invocations.
    next_id: Cell<u64>,
    /// Names of the invocations that a dispatcher holds.
    open: RefCell<HashSet<String>>,
    /// Connections whose tasks still run, and the word that one ended.
    running: Cell<usize>,
    connection_ended: Notify,
}

impl Clients {
    /// No connections yet. `max_connections`: connections at most; `bodies`: bytes of requests' bodies at most.
    pub fn new(
        protocol: Rc<dyn ClientProtocol>,
        max_connections: usize,
        bodies: usize,
        clock: Clock,
        phase: CurrentPhase,
        figures: &Figures,
    ) -> Self {
        Clients {
            clock,
            phase,
            figures: figures.clone(),
            protocol,
            timeouts: Rc::default(),
            max_connections: Cell::new(max_connections),
            max_connections_alone: max_connections,
            bodies: MemoryBudget::new(bodies),
            shutdown_admission: ShutdownAdmission::default(),
            admission: RefCell::new(ConnectionAdmission::new(clock.now())),
            connections: RefCell::default(),
            next_id: Cell::new(0),
            open: RefCell::default(),
            running: Cell::new(0),
            connection_ended: Notify::new(),
        }
    }

    /// How long clients may take from now on.
    pub fn set_timeouts(&self, timeouts: ClientTimeouts) {
        self.timeouts.set(timeouts);
    }

    /// The program is told to end: what comes and cannot be answered by then is refused at once.
    pub fn end_by(&self, end: Duration) {
        self.shutdown_admission.end_by(end);
    }

    /// Connections with an answer still owed.
    pub fn unanswered(&self) -> usize {
        self.connections
            .borrow()
            .values()
            .filter(|connection| !connection.is_free())
            .count()
    }

    /// Two processes are one gateway: until the other has ended, half of the connections are its.
    pub fn share_with_predecessor(&self) {
        self.max_connections.set(self.max_connections_alone / 2);
    }

    /// The other process has ended: all connections are this one's.
    pub fn use_all_connections(&self) {
        self.max_connections.set(self.max_connections_alone);
    }

    /// Takes in connections until dropped.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            let open = self.open_connections();
            let max_connections = self.max_connections.get();
            let (idle, id) = if open >= max_connections {
                self.evictable()
            } else {
                (Evictable::None, None)
            };
            let next =
                self.admission
                    .borrow_mut()
                    .next(open, max_connections, idle, self.clock.now());
            match next {
                Admit::Accept | Admit::Refuse => {}
                Admit::Evict => {
                    self.evict(id);
                    // The one that had to go gives its descriptor back, and those just taken are heard, first.
                    tokio::task::yield_now().await;
                    tokio::task::yield_now().await;
                }
                Admit::Wait(wait) => {
                    if idle == Evictable::None {
                        // Closing one would lose what it has sent.
                        log!(
                            warn,
                            "clients-full",
                            "{open} connections, all with invocations"
                        );
                    }
                    timeout(wait, self.connection_ended.notified()).await.ok();
                    continue;
                }
            }
            match listener.accept().await {
                Ok((socket, _)) => self.clone().take(socket),
                Err(e) => {
                    // Out of descriptors: asking again at once would spin, leaving would end the gateway.
                    log!(warn, "accept-failed", "{e}");
                    self.evict(self.evictable().1);
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    fn take(self: Rc<Self>, socket: TcpStream) {
        let full = self.open_connections() >= self.max_connections.get();
        if full {
            self.admission.borrow_mut().record_refused(self.clock.now());
        }
        socket.set_nodelay(true).ok();
        let id = self.next_id.replace(self.next_id.get() + 1);
        let connection = Rc::new(ClientConnection {
            socket: Rc::new(RefCell::new(socket)),
            state: Cell::new(ConnectionState::New),
            since: Cell::new(self.clock.now()),
            started: Cell::default(),
            received: Cell::default(),
            has_sent_request: Cell::new(false),
            heads: RefCell::default(),
            close: Notify::new(),
            close_now: Cell::new(false),
            response_complete: Cell::new(false),
            unread: Cell::new(false),
            timeouts: self.timeouts.clone(),
        });
        self.connections.borrow_mut().insert(id, connection.clone());
        self.running.set(self.running.get() + 1);
        self.figures.clients.inc();
        tokio::task::spawn_local(async move {
            self.clone().serve(connection.clone(), full).await;
            self.connections.borrow_mut().remove(&id);
            self.running.set(self.running.get() - 1);
            self.figures.clients.dec();
            self.connection_ended.notify_one();
        });
    }

    /// A connection, until it ends or its client's time is over.
    async fn serve(self: Rc<Self>, connection: Rc<ClientConnection>, full: bool) {
        let clock = self.clock;
        let phase = self.phase.clone();
        let invoke = InvocationService {
            connection: connection.clone(),
            clients: self,
        };
        let service = TowerToHyperService::new(PhaseService {
            full,
            inner: invoke,
        });
        let observed = ObservedSocket {
            socket: connection.socket.clone(),
            connection: connection.clone(),
            clock,
        };
        let serving = http1::Builder::new()
            .auto_date_header(false)
            .max_buf_size(HEAD)
            .serve_connection(TokioIo::new(observed), service);
        let mut serving = pin!(serving);
        let mut armed = connection.due();
        let mut alarm = pin!(sleep_until(clock.instant(armed.unwrap_or_default())));
        let mut close = pin!(connection.close.notified());
        let mut is_closing = false;
        let done = poll_fn(|cx| {
            if let Poll::Ready(done) = serving.as_mut().poll(cx) {
                return Poll::Ready(done);
            }
            if !is_closing && close.as_mut().poll(cx).is_ready() {
                is_closing = true;
                // A request that is here already is answered first, and its answer ends the connection.
                if !unread(&connection.socket) || !phase.get().closes_connections() {
                    serving.as_mut().graceful_shutdown();
                    cx.waker().wake_by_ref();
                }
            }
            let due = connection.due();
            if due.is_some() && due != armed {
                alarm.as_mut().reset(clock.instant(due.unwrap_or_default()));
                armed = due;
            }
            // Dropped with what it holds: a head that never ends would keep its place for good.
            let over = due.is_some() && alarm.as_mut().poll(cx).is_ready();
            if over || connection.close_now.get() {
                Poll::Ready(Ok(()))
            } else {
                Poll::Pending
            }
        });
        if let Err(e) = done.await
            && e.is_parse()
        {
            log!(warn, "client-malformed", "{e}");
        }
    }

    /// A connection that holds no invocation and may be closed for another: those that never brought one first,
    /// the longest quiet of each kind before others, or hundreds that say nothing would push out the usual
    /// clients. Not one whose request is here unread; one that has hardly come is waited for.
    fn evictable(&self) -> (Evictable, Option<u64>) {
        let connections = self.connections.borrow();
        let now = self.clock.now();
        let free = connections
            .iter()
            .filter(|(_, connection)| connection.is_free());
        let mut free: Vec<_> = free
            .map(|(id, connection)| {
                let rank = (connection.has_sent_request.get(), connection.since.get());
                (rank, *id)
            })
            .collect();
        free.sort_unstable();
        match free
            .into_iter()
            .find(|(_, id)| !unread(&connections[id].socket))
        {
            Some(((false, since), _)) if now < since + GREETING_TIME => {
                (Evictable::Soon(since + GREETING_TIME - now), None)
            }
            Some((_, id)) => (Evictable::Now, Some(id)),
            None => (Evictable::None, None),
        }
    }

    fn evict(&self, id: Option<u64>) {
        let evicted = id.and_then(|id| self.connections.borrow_mut().remove(&id));
        if let Some(connection) = evicted {
            connection.close_now.set(true);
            connection.close.notify_one();
        }
    }

    /// Ends all connections, each after the answer that it owes.
    pub fn close(&self) {
        self.connections
            .borrow()
            .values()
            .for_each(|c| c.close.notify_one());
    }

    fn open_connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Once no connection is served any more, those let go at the cap included.
    pub async fn all_gone(&self) {
        while self.running.get() > 0 {
            self.connection_ended.notified().await;
        }
    }
}

/// The same, for what is no invocation.
pub fn rejection(status: StatusCode) -> Rejection {
    Box::new(plain(status))
}

/// An answer of the gateway's own.
pub fn plain(status: StatusCode) -> ClientResponse {
    let mut answer = Response::new(ResponseBody::Buffered(None));
    *answer.status_mut() = status;
    answer
}
