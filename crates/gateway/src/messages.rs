//! What the actors say to each other: types only. Whoever sends or receives imports this file, not the other.

use std::cell::{Cell, RefCell};
use std::net::{Shutdown, SocketAddr};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::*;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

use crate::attempts::{Ending, Repeatable, SendPermit};
use crate::bodies::{RequestBody, ResponseBody};

/// To the module.
pub enum ToDispatcher {
    BackendList(BackendListUpdate),
    /// `time_left`: how long its client waits from its last byte on.
    Invocation {
        invocation: Invocation,
        time_left: Duration,
        repeatable: Option<Repeatable>,
        request: Rc<ForwardedRequest>,
        answer: oneshot::Sender<Answer>,
    },
    /// The last byte of a body that was still coming is here; its client waits until then.
    BodyComplete {
        invocation_id: InvocationId,
        deadline: Duration,
    },
    /// Part of its body is gone for good: no other delivery can carry it.
    BodyConsumed {
        invocation_id: InvocationId,
    },
    Settings(Box<Settings>),
    /// Another process takes this one's place; what it needs goes back.
    Yield(oneshot::Sender<Box<Carry>>),
    Resume,
    /// The program ends: what waits and has not run is refused now; how much is at backends goes back.
    RefuseUnsent(oneshot::Sender<Unanswered>),
    /// Its time to end is over: each request that is left gets an error.
    AnswerAll(oneshot::Sender<Unanswered>),
    TakeOver(Box<Carry>),
    ClientGone {
        invocation_id: InvocationId,
    },
    AttemptEnded(AttemptEnded),
    CounterTotal {
        name: String,
        outcome: Outcome,
        total: f64,
        latency: Duration,
    },
    PeerMessage {
        from: GatewayId,
        bytes: Vec<u8>,
    },
}

/// What a module had unanswered when it was told that the program ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unanswered {
    /// Refused: no attempt was executed, and none is out.
    pub refused: usize,
    /// Sent to a backend.
    pub in_progress: usize,
}

/// The one final answer of an invocation.
pub enum Answer {
    Succeeded(BackendResponse),
    /// When to come back; whether none of its deliveries has run or will.
    Throttled {
        after: Option<Duration>,
        reason: RejectReason,
        none_executed: bool,
    },
    Errored,
}

/// What of a client's request goes on to a backend.
pub struct ForwardedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: RequestBody,
}

/// A backend's answer that goes to the client.
pub struct BackendResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: ResponseBody,
}

/// To a backend.
pub enum ToBackend {
    Send(OutgoingAttempt),
    CloseIdle,
}

pub struct OutgoingAttempt {
    pub invocation_id: InvocationId,
    pub number: AttemptNumber,
    pub permit: SendPermit,
    pub request: Rc<ForwardedRequest>,
    /// How long the gateway will wait.
    pub time_left: Duration,
    pub cancel_handle: Rc<CancelHandle>,
    /// An overdue attempt, given up once this one is written.
    pub replaces: Option<Rc<CancelHandle>>,
    pub to: mpsc::Sender<ToDispatcher>,
}

/// How a delivery ended; the reply with a succeeded one, or with one that failed and may go to the client.
pub struct AttemptEnded {
    pub invocation_id: InvocationId,
    pub number: AttemptNumber,
    pub ending: Ending,
    pub response: Option<BackendResponse>,
    pub report: Report,
}

pub type Socket = RefCell<TcpStream>;

/// A delivery's hold on its connection, by which it is given up.
#[derive(Default)]
pub struct CancelHandle {
    pub cancelled: Cell<bool>,
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

/// A backend's actor, as the module reaches it.
pub struct BackendHandle {
    pub at: SocketAddr,
    pub mailbox: mpsc::Sender<ToBackend>,
    /// It drains or is gone: what is not written to it yet is not written any more.
    pub closed: Rc<Cell<bool>>,
}

impl Drop for BackendHandle {
    fn drop(&mut self) {
        self.closed.set(true);
    }
}

/// A list as the module takes it, with where each backend is reached.
pub struct BackendListUpdate {
    pub form: ListForm,
    pub entries: Arc<[BackendEntry]>,
    pub addresses: Vec<SocketAddr>,
    /// By which each backend is told from others that had its address, where the list says.
    pub names: Vec<Arc<str>>,
}

/// To the list.
pub enum ToListWatcher {
    Watch {
        on: bool,
    },
    Fetch,
    /// It is at another address from now on.
    Move(SocketAddr),
}

pub struct CounterCall {
    pub name: String,
    pub add: f64,
    pub keep: Duration,
    pub at: Duration,
}

/// To the counter.
pub enum ToCounter {
    Call(CounterCall),
    /// It is at another address from now on.
    Move(SocketAddr),
}

/// To the other gateways; to all where none is named.
pub struct ToPeers {
    pub to: Option<GatewayId>,
    pub bytes: Vec<u8>,
}
