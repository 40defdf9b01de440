//! What the actors send each other: types only. Whoever sends or receives imports this file, not the other.

use std::cell::{Cell, RefCell};
use std::net::{Shutdown, SocketAddr};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{
    AttemptNumber, BackendEntry, Carry, GatewayId, Invocation, InvocationId, ListForm, Outcome,
    RejectReason, Report, Settings,
};
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

use crate::attempts::{Ending, Repeatable, SendPermit};
use crate::bodies::{RequestBody, ResponseBody};

/// To the dispatcher.
pub enum ToDispatcher {
    /// A list of backends.
    BackendList(BackendListUpdate),
    /// A request that can be used.
    Invocation {
        /// What the rules are told of it.
        invocation: Invocation,
        /// How long its client waits from its last byte on.
        time_left: Duration,
        /// Proof that it may run more than once, where it may.
        repeatable: Option<Repeatable>,
        /// What of it goes on to a backend.
        request: Rc<ForwardedRequest>,
        /// Where its final answer goes.
        answer: oneshot::Sender<Answer>,
    },
    /// The last byte of a body that was still coming is here; its client waits until then.
    BodyComplete {
        /// Whose body.
        invocation_id: InvocationId,
        /// When its client stops waiting.
        deadline: Duration,
    },
    /// Part of its body is gone for good: no other attempt can carry it.
    BodyConsumed {
        /// Whose body.
        invocation_id: InvocationId,
    },
    /// New settings.
    Settings(Box<Settings>),
    /// Another process takes this one's place; what it needs goes back.
    Yield(oneshot::Sender<Box<Carry>>),
    /// That process is gone again.
    Resume,
    /// The program ends: what waits and has not run is refused now; how much is at backends goes back.
    RefuseUnsent(oneshot::Sender<Unanswered>),
    /// Its time to end is over: each request that is left gets an error.
    AnswerAll(oneshot::Sender<Unanswered>),
    /// The state of the process whose place this one takes.
    TakeOver(Box<Carry>),
    /// A client waits no more.
    ClientGone {
        /// Whose client.
        invocation_id: InvocationId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The counter's answer, or why there is none.
    CounterTotal {
        /// The name that was counted under.
        name: String,
        /// Whether there is an answer.
        outcome: Outcome,
        /// The total with this call's units.
        total: f64,
        /// Since the call.
        latency: Duration,
    },
    /// Another gateway's datagram.
    PeerMessage {
        /// Whose.
        from: GatewayId,
        /// What it says.
        bytes: Vec<u8>,
    },
}

/// What a dispatcher had unanswered when it was told that the program ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unanswered {
    /// Refused: no attempt was executed, and none is out.
    pub refused: usize,
    /// Sent to a backend.
    pub in_progress: usize,
}

/// The one final answer of an invocation.
pub enum Answer {
    /// A backend's response.
    Succeeded(BackendResponse),
    /// It was not done, and may be tried again.
    Throttled {
        /// When to come back.
        after: Option<Duration>,
        /// For operators and their figures.
        reason: RejectReason,
        /// None of its attempts has run or will.
        none_executed: bool,
    },
    /// It failed.
    Errored,
}

/// What of a client's request goes on to a backend.
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, but for those between the client and this gateway.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestBody,
}

/// A backend's response that goes to the client.
pub struct BackendResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, but for those between the backend and this gateway.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ResponseBody,
}

/// To a backend.
pub enum ToBackend {
    /// Sends an attempt.
    Send(OutgoingAttempt),
    /// Closes the idle connections.
    CloseIdle,
}

/// An attempt that is to be sent to a backend.
pub struct OutgoingAttempt {
    /// Whose attempt.
    pub invocation_id: InvocationId,
    /// Which one.
    pub number: AttemptNumber,
    /// Leave to write it.
    pub permit: SendPermit,
    /// What is written.
    pub request: Rc<ForwardedRequest>,
    /// How long the gateway will wait.
    pub time_left: Duration,
    /// By which it is cancelled.
    pub cancel_handle: Rc<CancelHandle>,
    /// An overdue attempt, cancelled once this one is written.
    pub replaces: Option<Rc<CancelHandle>>,
    /// Who is told how it ended.
    pub to: mpsc::Sender<ToDispatcher>,
}

/// How an attempt ended.
pub struct AttemptEnded {
    /// Whose attempt.
    pub invocation_id: InvocationId,
    /// Which one.
    pub number: AttemptNumber,
    /// How it ended.
    pub ending: Ending,
    /// The response of one that succeeded, or of one that failed and may go to the client.
    pub response: Option<BackendResponse>,
    /// The backend's load.
    pub report: Report,
}

/// The socket of a connection to a backend.
pub type Socket = RefCell<TcpStream>;

/// An attempt's hold on its connection, by which it is cancelled.
#[derive(Default)]
pub struct CancelHandle {
    /// It was cancelled.
    pub cancelled: Cell<bool>,
    /// The connection that carries it, once one does.
    pub socket: RefCell<Weak<Socket>>,
}

impl CancelHandle {
    /// Ends the connection at once: whatever is sent after this leaves later.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        if let Some(socket) = self.socket.borrow().upgrade() {
            SockRef::from(&*socket.borrow())
                .shutdown(Shutdown::Both)
                .ok();
        }
    }
}

/// A backend's actor, as the dispatcher reaches it.
pub struct BackendHandle {
    /// Where the backend is.
    pub at: SocketAddr,
    /// The actor's mailbox.
    pub mailbox: mpsc::Sender<ToBackend>,
    /// It drains or is gone: what is not written to it yet is not written any more.
    pub closed: Rc<Cell<bool>>,
}

impl Drop for BackendHandle {
    fn drop(&mut self) {
        self.closed.set(true);
    }
}

/// A list as the dispatcher takes it, with where each backend is reached.
pub struct BackendListUpdate {
    /// How it is to be taken.
    pub form: ListForm,
    /// The backends.
    pub entries: Arc<[BackendEntry]>,
    /// Where each is reached, in the same order.
    pub addresses: Vec<SocketAddr>,
    /// By which each backend is told from others that had its address, where the list says.
    pub names: Vec<Arc<str>>,
}

/// To the watcher of the list of backends.
pub enum ToListWatcher {
    /// Watches the list, or no longer.
    Watch {
        /// Whether it is to be watched.
        on: bool,
    },
    /// Asks for the whole list.
    Fetch,
    /// Discovery is at another address from now on.
    Move(SocketAddr),
}

/// A call to the counter.
pub struct CounterCall {
    /// The name to count under.
    pub name: String,
    /// Units; 0 only reads.
    pub add: f64,
    /// The counter forgets the name after this.
    pub keep: Duration,
    /// When it was made.
    pub at: Duration,
}

/// To the counter's client.
pub enum ToCounter {
    /// A call to make.
    Call(CounterCall),
    /// The counter is at another address from now on.
    Move(SocketAddr),
}

/// To the other gateways.
pub struct ToPeers {
    /// Which one; all where none is named.
    pub to: Option<GatewayId>,
    /// What it says.
    pub bytes: Vec<u8>,
}
