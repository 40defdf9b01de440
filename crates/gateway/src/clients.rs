//! Connections of clients: accepts them, serves them with hyper and keeps a registry of them.

mod answer_limit;
mod connection;
mod invocation;
mod services;
mod upload_limit;

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
use damsonbeam_admin::Metrics;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

use self::answer_limit::AnswerLimit;
use self::connection::{
    ClientConnection, ConnectionState, DeadlineTimer, DepartureCheck, ObservedSocket,
    has_unread_input,
};
use self::services::{InvocationService, PhaseService};
use crate::attempts::Repeatable;
use crate::bodies::ResponseBody;
use crate::clock::Clock;
use crate::connection_admission::{
    AdmissionDecision, ConnectionAdmission, Evictable, TURNOVER_TIME,
};
use crate::log::log;
use crate::memory_budget::MemoryBudget;
use crate::messages::{Answer, ForwardedRequest, ToDispatcher};
use crate::phase::CurrentPhase;
use crate::shutdown_admission::ShutdownAdmission;
use crate::sizes::{MAX_BODY, MAX_HEAD};

/// Pause after a failed accept; retrying at once would not free any file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Time in which a request head has to be complete, counted from the start of the connection for the first request and
/// from the first byte of the head for later ones. Most clients need a fraction of it, some need 2 s. The connection of
/// a client that sends nothing, or a head that never ends, has to be closed within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2600);
/// Time for which a new connection without a request is not closed in favor of another one. A client normally sends its
/// request in the packet after the handshake; the margin covers scheduling delays on both sides.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(20);
/// Time after which an idle connection is closed. Some clients send one request and keep the connection open for ever;
/// the platform allows idle connections to be closed after 2 s.
const IDLE_TIMEOUT: Duration = TURNOVER_TIME;

/// A response to a client.
pub type ClientResponse = Response<ResponseBody>;
/// A response to a request that does not become an invocation.
pub type Rejection = Box<ClientResponse>;

/// Protocol between clients and the gateway in a deployment: decodes requests and encodes responses.
pub trait ClientProtocol {
    /// Returns whether a request is a readiness check.
    fn is_readiness_check(&self, uri: &hyper::Uri) -> bool;
    /// Returns the operation name under which the metrics count a request.
    fn operation_name(&self, uri: &hyper::Uri) -> Option<Arc<str>>;
    /// Decodes a request.
    ///
    /// # Errors
    /// Returns the response to the client if the request is invalid.
    fn decode(
        &self,
        invocation_id: InvocationId,
        head: &Parts,
    ) -> Result<DecodedRequest, Rejection>;
    /// Called when a decoded request is about to be sent to its dispatcher. Its body is complete or still arriving.
    fn request_accepted(&self, _: &ForwardedRequest, _: &mut RequestContext) {}
    /// Encodes the answer to the request named `name`; `context` is what was stored when the request was decoded.
    fn encode(&self, name: &str, context: RequestContext, answer: Answer) -> ClientResponse;
}

/// Data that the protocol stores when it decodes a request and gets back to encode the response.
pub type RequestContext = Option<Box<dyn Any>>;

/// A valid request.
pub struct DecodedRequest {
    /// The invocation as the dispatcher receives it.
    pub invocation: Invocation,
    /// Proof that the request may be executed more than once, if it may.
    pub repeatable: Option<Repeatable>,
    /// Name of the invocation.
    pub name: String,
    /// Data of the protocol for encoding the response.
    pub context: RequestContext,
    /// How long the client waits for the response after the last byte of the request.
    pub time_left: Duration,
    /// The longest time from the last byte of the request to the last byte of its answer, however much of the answer is
    /// under way by then; `None` if only the answer's first byte has a limit.
    pub answer_limit: Option<Duration>,
    /// Headers that are forwarded to the backend.
    pub headers: HeaderMap,
    /// Dispatcher that handles the invocation.
    pub dispatcher: mpsc::Sender<ToDispatcher>,
}

/// Timeouts of client connections.
#[derive(Clone, Copy)]
pub struct ClientTimeouts {
    /// Time in which a request head has to be complete.
    pub request_head: Duration,
    /// Time after which an idle connection is closed.
    pub idle_connection: Duration,
}

impl Default for ClientTimeouts {
    fn default() -> Self {
        ClientTimeouts {
            request_head: HEAD_TIMEOUT,
            idle_connection: IDLE_TIMEOUT,
        }
    }
}

/// The connections of clients.
pub struct Clients {
    clock: Clock,
    phase: CurrentPhase,
    metrics: Metrics,
    protocol: Rc<dyn ClientProtocol>,
    timeouts: Rc<Cell<ClientTimeouts>>,
    /// Current maximum number of connections.
    max_connections: Cell<usize>,
    /// Maximum number of connections when no other process of this gateway is running.
    max_connections_alone: usize,
    /// Maximum size of a request body, in bytes.
    max_body: Cell<u64>,
    /// Memory limit for buffered parts of request bodies.
    body_memory: MemoryBudget,
    shutdown_admission: ShutdownAdmission,
    admission: RefCell<ConnectionAdmission>,
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// Id of the next connection or invocation.
    next_id: Cell<u64>,
    /// Names of the invocations that are at a dispatcher.
    open_invocations: RefCell<HashSet<Rc<str>>>,
    /// Number of connection tasks that are still running.
    running_tasks: Cell<usize>,
    /// Notified when a connection task has ended.
    connection_ended: Notify,
}

impl Clients {
    /// Creates an empty registry. `max_connections` is the maximum number of connections, `body_bytes` the memory limit
    /// for request bodies.
    pub fn new(
        protocol: Rc<dyn ClientProtocol>,
        max_connections: usize,
        body_bytes: usize,
        clock: Clock,
        phase: CurrentPhase,
        metrics: &Metrics,
    ) -> Self {
        Clients {
            clock,
            phase,
            metrics: metrics.clone(),
            protocol,
            timeouts: Rc::default(),
            max_connections: Cell::new(max_connections),
            max_connections_alone: max_connections,
            max_body: Cell::new(MAX_BODY as u64),
            body_memory: MemoryBudget::new(body_bytes),
            shutdown_admission: ShutdownAdmission::default(),
            admission: RefCell::new(ConnectionAdmission::new(clock.now())),
            connections: RefCell::default(),
            next_id: Cell::new(0),
            open_invocations: RefCell::default(),
            running_tasks: Cell::new(0),
            connection_ended: Notify::new(),
        }
    }

    /// Sets the timeouts of all client connections.
    pub fn set_timeouts(&self, timeouts: ClientTimeouts) {
        self.timeouts.set(timeouts);
    }

    /// Sets the maximum size of a request body, in bytes; `None` stands for [`MAX_BODY`].
    pub fn set_max_body(&self, bytes: Option<u64>) {
        self.max_body.set(bytes.unwrap_or(MAX_BODY as u64));
    }

    /// Sets the time at which the process ends. Requests that cannot be answered by `end` are rejected immediately.
    pub fn set_shutdown_deadline(&self, end: Duration) {
        self.shutdown_admission.start_shutdown(end);
    }

    /// Returns the number of connections on which a request or its response is still in progress.
    pub fn pending_requests(&self) -> usize {
        self.connections
            .borrow()
            .values()
            .filter(|connection| !connection.has_no_request())
            .count()
    }

    /// Halves the maximum number of connections while the previous process of this gateway is still running.
    pub fn halve_connection_limit(&self) {
        self.max_connections.set(self.max_connections_alone / 2);
    }

    /// Restores the full maximum number of connections once the previous process has ended.
    pub fn restore_connection_limit(&self) {
        self.max_connections.set(self.max_connections_alone);
    }

    /// Accepts connections until the future is dropped.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            let open = self.open_connections();
            let max_connections = self.max_connections.get();
            let (evictable, id) = if open >= max_connections {
                self.evictable()
            } else {
                (Evictable::None, None)
            };
            let decision = self.admission.borrow_mut().decide(
                open,
                max_connections,
                evictable,
                self.clock.now(),
            );
            match decision {
                AdmissionDecision::Accept | AdmissionDecision::Refuse => {}
                AdmissionDecision::Evict => {
                    self.evict(id);
                    // Lets the evicted connection release its file descriptor first, and lets new connections read
                    // their input.
                    tokio::task::yield_now().await;
                    tokio::task::yield_now().await;
                }
                AdmissionDecision::Wait(wait) => {
                    if evictable == Evictable::None {
                        // No connection can be closed without losing an invocation.
                        log!(
                            warn,
                            "clients-full",
                            "all {open} connections are serving invocations"
                        );
                    }
                    timeout(wait, self.connection_ended.notified()).await.ok();
                    continue;
                }
            }
            match listener.accept().await {
                Ok((socket, _)) => self.clone().spawn_connection(socket),
                Err(e) => {
                    // Out of file descriptors: an immediate retry would spin, and returning would stop the gateway.
                    log!(warn, "accept-failed", "{e}");
                    self.evict(self.evictable().1);
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    fn spawn_connection(self: Rc<Self>, socket: TcpStream) {
        let over_limit = self.open_connections() >= self.max_connections.get();
        if over_limit {
            self.admission.borrow_mut().record_refused(self.clock.now());
        }
        socket.set_nodelay(true).ok();
        let id = self.next_id.replace(self.next_id.get() + 1);
        let connection = Rc::new(ClientConnection {
            socket: Rc::new(RefCell::new(socket)),
            state: Cell::new(ConnectionState::New),
            state_since: Cell::new(self.clock.now()),
            body_started: Cell::default(),
            body_bytes_received: Cell::default(),
            has_sent_request: Cell::new(false),
            heads: RefCell::default(),
            close: Notify::new(),
            close_now: Cell::new(false),
            response_complete: Cell::new(false),
            request_body_unread: Cell::new(false),
            answer_limit: AnswerLimit::default(),
            upload: RefCell::default(),
            timeouts: self.timeouts.clone(),
        });
        self.connections.borrow_mut().insert(id, connection.clone());
        self.running_tasks.set(self.running_tasks.get() + 1);
        self.metrics.clients.inc();
        tokio::task::spawn_local(async move {
            self.clone().serve(connection.clone(), over_limit).await;
            self.connections.borrow_mut().remove(&id);
            self.running_tasks.set(self.running_tasks.get() - 1);
            self.metrics.clients.dec();
            self.connection_ended.notify_one();
        });
    }

    /// Serves a connection until it ends or its client exceeds a timeout.
    async fn serve(self: Rc<Self>, connection: Rc<ClientConnection>, over_limit: bool) {
        let clock = self.clock;
        let phase = self.phase.clone();
        let invoke = InvocationService {
            connection: connection.clone(),
            clients: self,
        };
        let service = TowerToHyperService::new(PhaseService {
            over_limit,
            inner: invoke,
        });
        let observed = ObservedSocket {
            socket: connection.socket.clone(),
            connection: connection.clone(),
            clock,
        };
        let serving = http1::Builder::new()
            .auto_date_header(false)
            .max_buf_size(MAX_HEAD)
            .serve_connection(TokioIo::new(observed), service);
        let mut serving = pin!(serving);
        let mut timer = DeadlineTimer::new(&connection, clock);
        let mut departure = DepartureCheck::default();
        let mut close = pin!(connection.close.notified());
        let mut limit_changed = pin!(connection.answer_limit.changed.notified());
        let mut is_closing = false;
        let done = poll_fn(|cx| {
            if let Poll::Ready(done) = serving.as_mut().poll(cx) {
                return Poll::Ready(Some(done));
            }
            if !is_closing && close.as_mut().poll(cx).is_ready() {
                is_closing = true;
                // A request that has already arrived is answered first; its response then closes the connection.
                if !has_unread_input(&connection.socket) || !phase.get().closes_connections() {
                    serving.as_mut().graceful_shutdown();
                    // At once, before a request can arrive that would go unanswered.
                    if let Poll::Ready(done) = serving.as_mut().poll(cx) {
                        return Poll::Ready(Some(done));
                    }
                }
            }
            while limit_changed.as_mut().poll(cx).is_ready() {
                limit_changed.set(connection.answer_limit.changed.notified());
            }
            // The connection is dropped with its unfinished request; a head that never ends would otherwise keep the
            // connection open for ever.
            let timed_out = timer.poll(&connection, cx).is_ready();
            let has_left = departure.poll(&connection, cx).is_ready();
            if timed_out || has_left || connection.close_now.get() {
                Poll::Ready(None)
            } else {
                Poll::Pending
            }
        });
        connection.finish(done.await);
    }

    /// Returns whether a connection may be closed in favor of another one, and which one.
    ///
    /// Only a connection without an invocation and without unread input is chosen. Connections that never sent a request
    /// come first, and among equals the one quiet for longest; otherwise hundreds of silent connections would displace
    /// active clients. A connection younger than [`FIRST_REQUEST_GRACE`] is not closed yet.
    fn evictable(&self) -> (Evictable, Option<u64>) {
        let connections = self.connections.borrow();
        let now = self.clock.now();
        let free = connections
            .iter()
            .filter(|(_, connection)| connection.has_no_request());
        let mut free: Vec<_> = free
            .map(|(id, connection)| {
                let rank = (
                    connection.has_sent_request.get(),
                    connection.state_since.get(),
                );
                (rank, *id)
            })
            .collect();
        free.sort_unstable();
        match free
            .into_iter()
            .find(|(_, id)| !has_unread_input(&connections[id].socket))
        {
            Some(((false, since), _)) if now < since + FIRST_REQUEST_GRACE => {
                (Evictable::Soon(since + FIRST_REQUEST_GRACE - now), None)
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

    /// Closes all connections, each after its pending response.
    pub fn close_connections(&self) {
        self.connections
            .borrow()
            .values()
            .for_each(|connection| connection.close.notify_one());
    }

    fn open_connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Waits until all connection tasks have ended, including those of evicted connections.
    pub async fn wait_until_closed(&self) {
        while self.running_tasks.get() > 0 {
            self.connection_ended.notified().await;
        }
    }
}

/// Returns an empty response with this status as a [`Rejection`].
pub fn empty_rejection(status: StatusCode) -> Rejection {
    Box::new(empty_response(status))
}

/// Returns an empty response with this status.
pub fn empty_response(status: StatusCode) -> ClientResponse {
    let mut response = Response::new(ResponseBody::Buffered(None));
    *response.status_mut() = status;
    response
}
