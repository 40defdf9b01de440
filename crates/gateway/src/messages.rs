//! The types of the messages between actors. Actors import this module and not each other.

use std::cell::{Cell, RefCell};
use std::net::{Shutdown, SocketAddr};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{
    AttemptNumber, BackendEntry, GatewayId, HandoverState, Invocation, InvocationId, ListUpdate,
    LoadReport, Outcome, RejectReason, Settings,
};
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

use crate::attempts::{Ending, NoneExecuted, Repeatable, SendPermit};
use crate::bodies::{RequestBody, ResponseBody};

/// A message to the dispatcher.
pub enum ToDispatcher {
    /// A new list of backends, or changes to it.
    BackendList(BackendListUpdate),
    /// A valid request.
    Invocation {
        /// The request as the decision module sees it.
        invocation: Invocation,
        /// How long the client waits after the last byte of the request.
        time_left: Duration,
        /// Proof that the request may be executed more than once; `None` if it may not.
        repeatable: Option<Repeatable>,
        /// The request as it is sent to a backend.
        request: Rc<ForwardedRequest>,
        /// Receives the final answer.
        reply_to: oneshot::Sender<Answer>,
    },
    /// The last byte of a body has arrived after its invocation was announced.
    BodyComplete {
        /// The invocation.
        invocation_id: InvocationId,
        /// When the client stops waiting, as Unix time.
        deadline: Duration,
    },
    /// The gateway and its backends have held a body up for as long as the request may take: it is not awaited any more.
    UploadTimedOut {
        /// The invocation.
        invocation_id: InvocationId,
    },
    /// Part of a body was sent and not kept: no further attempt can send it.
    BodyConsumed {
        /// The invocation.
        invocation_id: InvocationId,
    },
    /// New settings.
    Settings(Box<Settings>),
    /// A successor takes over; the dispatcher returns the state to hand over.
    Yield(oneshot::Sender<Box<HandoverState>>),
    /// The successor has ended; this process serves again.
    Resume,
    /// The process shuts down: the dispatcher refuses the requests that no backend has executed or may execute, and
    /// returns the counts of refused requests and of those at backends.
    RefuseUnsent(oneshot::Sender<Unanswered>),
    /// The grace period is over: the dispatcher answers every open request, with an error if it may have been executed.
    AnswerAll(oneshot::Sender<Unanswered>),
    /// The state that the predecessor handed over.
    TakeOver(Box<HandoverState>),
    /// A client no longer waits for its answer.
    ClientDisconnected {
        /// The invocation.
        invocation_id: InvocationId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The result of a call to the counter.
    CounterTotal {
        /// The counter's name.
        name: String,
        /// `Outcome::Ok` if the counter replied, else the reason why not.
        outcome: Outcome,
        /// The counter's total in units, including those that this call added.
        total: f64,
        /// Time since the call was made.
        latency: Duration,
    },
    /// A datagram of another gateway.
    PeerMessage {
        /// The sender.
        from: GatewayId,
        /// The payload.
        bytes: Vec<u8>,
    },
}

/// Counts of the requests that were unanswered when the dispatcher was told to refuse or answer them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unanswered {
    /// Requests that were refused: none of their attempts was executed or is in flight.
    pub refused: usize,
    /// Requests that were sent to a backend.
    pub in_progress: usize,
}

/// The final answer to an invocation.
pub enum Answer {
    /// A backend's response.
    Succeeded(BackendResponse),
    /// The invocation was rejected and may be tried again.
    Throttled {
        /// The retry delay for the client.
        retry_after: Option<Duration>,
        /// The reason, for metrics.
        reason: RejectReason,
        /// Proof that no attempt was executed or still can be; `None` if one may have been.
        none_executed: Option<NoneExecuted>,
    },
    /// The invocation failed.
    Errored,
}

/// A client's request as it is sent to a backend.
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers, without those between client and gateway.
    pub headers: HeaderMap,
    /// The body.
    pub body: RequestBody,
    /// The client's name for the request, which its answers bear.
    pub name: Rc<str>,
}

/// A backend's response as it is sent to the client.
pub struct BackendResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those between backend and gateway.
    pub headers: HeaderMap,
    /// The body.
    pub body: ResponseBody,
}

/// A message to a backend's actor.
pub enum ToBackend {
    /// Send an attempt.
    Send(OutgoingAttempt),
    /// Close the idle connections.
    CloseIdle,
}

/// An attempt to be sent to a backend.
pub struct OutgoingAttempt {
    /// The invocation.
    pub invocation_id: InvocationId,
    /// The attempt's number within the invocation.
    pub number: AttemptNumber,
    /// Permission to send the attempt once.
    pub permit: SendPermit,
    /// The request to send.
    pub request: Rc<ForwardedRequest>,
    /// How long the gateway will wait for the response.
    pub time_left: Duration,
    /// Cancels the attempt.
    pub cancel_handle: Rc<CancelHandle>,
    /// An overdue attempt, cancelled once this one is written.
    pub overdue_attempt: Option<Rc<CancelHandle>>,
    /// Receives the result.
    pub reply_to: mpsc::Sender<ToDispatcher>,
}

/// The result of an attempt.
pub struct AttemptEnded {
    /// The invocation.
    pub invocation_id: InvocationId,
    /// The attempt's number within the invocation.
    pub number: AttemptNumber,
    /// How the attempt ended.
    pub ending: Ending,
    /// The response of a successful attempt, or that of a failed attempt if it may be sent to the client.
    pub response: Option<BackendResponse>,
    /// The load that the backend reported.
    pub report: LoadReport,
}

/// The socket of a connection to a backend.
pub struct Socket {
    /// The stream.
    pub stream: RefCell<TcpStream>,
    is_cut: Cell<bool>,
}

impl Socket {
    /// Creates the socket of an open connection.
    pub fn new(stream: TcpStream) -> Self {
        Socket {
            stream: RefCell::new(stream),
            is_cut: Cell::new(false),
        }
    }

    /// Shuts the connection down at once, before anything that is sent afterwards.
    pub fn cut(&self) {
        self.is_cut.set(true);
        SockRef::from(&*self.stream.borrow())
            .shutdown(Shutdown::Both)
            .ok();
    }

    /// Returns whether the connection was shut down on this side. The operating system then reports the end of the
    /// input as if the backend had ended it.
    pub fn is_cut(&self) -> bool {
        self.is_cut.get()
    }
}

/// Cancels an attempt by closing its connection.
#[derive(Default)]
pub struct CancelHandle {
    /// Whether the attempt was cancelled.
    pub cancelled: Cell<bool>,
    /// The connection that carries the attempt; empty until there is one.
    pub socket: RefCell<Weak<Socket>>,
}

impl CancelHandle {
    /// Cancels the attempt and shuts its connection down at once, before anything that is sent afterwards.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        if let Some(socket) = self.socket.borrow().upgrade() {
            socket.cut();
        }
    }
}

/// The dispatcher's handle on a backend's actor.
pub struct BackendHandle {
    /// The backend's address.
    pub address: SocketAddr,
    /// The actor's mailbox.
    pub mailbox: mpsc::Sender<ToBackend>,
    /// Set once the backend drains or is gone: attempts not yet written to it are no longer written.
    pub closed: Rc<Cell<bool>>,
}

impl Drop for BackendHandle {
    fn drop(&mut self) {
        self.closed.set(true);
    }
}

/// A list of backends, or changes to it, with the backends' addresses.
pub struct BackendListUpdate {
    /// Whether the entries replace the list or update it.
    pub form: ListUpdate,
    /// The backends.
    pub entries: Arc<[BackendEntry]>,
    /// The address of each backend, in the order of `entries`.
    pub addresses: Vec<SocketAddr>,
    /// The name of each backend, in the order of `entries`, if the list has names: tells a backend from an earlier one
    /// at the same address.
    pub names: Vec<Arc<str>>,
}

/// A message to the watcher of the list of backends.
pub enum ToListWatcher {
    /// Start or stop watching the list.
    Watch {
        /// Whether the list is watched.
        is_watched: bool,
    },
    /// Fetch the whole list.
    Fetch,
    /// Use this address of discovery from now on.
    SetAddress(SocketAddr),
}

/// A call to the counter.
pub struct CounterCall {
    /// The counter's name.
    pub name: String,
    /// Units to add; 0 only reads the total.
    pub units: f64,
    /// Time after which the counter deletes the name.
    pub retention: Duration,
    /// When the call was made, as Unix time.
    pub called_at: Duration,
}

/// A message to the counter's client.
pub enum ToCounter {
    /// Call the counter.
    Call(CounterCall),
    /// Use this address of the counter from now on.
    SetAddress(SocketAddr),
}

/// A message to other gateways.
pub struct PeerDatagram {
    /// The receiver; `None` for all other gateways.
    pub to: Option<GatewayId>,
    /// The payload.
    pub bytes: Vec<u8>,
}
