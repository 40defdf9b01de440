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

use damsonbeam::interface::{InvId, Invocation};
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

use self::connection::{Awaits, Conn, ObservedSocket, unread};
use self::services::{Invoke, PhaseService};
use crate::admission::{Admission, Idle, Next, TURN};
use crate::attempts::Repeatable;
use crate::bodies::Given;
use crate::clock::Clock;
use crate::last_call::LastCall;
use crate::log::log;
use crate::mail::*;
use crate::room::Rooms;
use crate::sizes::HEAD;
use crate::stage::Now;

/// Pause after a failed accept: descriptors do not come free any sooner by asking.
const PAUSE: Duration = Duration::from_millis(20);
/// In this time a head comes whole: from the connection's start, later from its own first byte. Usual
/// clients need a fraction, some 2 s; one that says nothing, or never ends, is owed a close within 3 s.
const WHOLE: Duration = Duration::from_millis(2600);
/// A usual client's request follows in the packet after the one that opened its connection: what has said nothing
/// is not closed for another before, whatever its and our schedulers do in between.
const GREET: Duration = Duration::from_millis(20);
/// A connection without a request is closed after this: some clients ask once and hold it for good, and the
/// platform allows it from 2 s on.
const QUIET: Duration = TURN;

pub type ClientResponse = Response<Given>;
/// An answer to what is no invocation.
pub type Rejection = Box<ClientResponse>;

/// What clients speak, by the deployment's protocol: how a request is read and an answer written.
pub trait ClientProtocol {
    /// Whether a request asks if the gateway is up.
    fn asks_up(&self, uri: &hyper::Uri) -> bool;
    /// The name by which the figures count a request.
    fn named(&self, uri: &hyper::Uri) -> Option<Arc<str>>;
    /// What a request says, if all of it can be used; else the answer it gets.
    ///
    /// # Errors
    /// The answer.
    fn decode(&self, inv: InvId, head: &Parts) -> Result<Decoded, Rejection>;
    /// A request that was read is whole, or comes, and goes to its module now.
    fn taken(&self, _: &Ask, _: &mut About) {}
    /// The answer to the request of that name, and what was said of it when it was read.
    fn encode(&self, name: &str, about: About, answer: Answer) -> ClientResponse;
}

/// What whoever reads a request wants to know of it again with its answer.
pub type About = Option<Box<dyn Any>>;

/// A request that can be used: what the module is told, whether it may run more than once, its name, how long its client waits
/// from its last byte on, the headers that go on, and the module that decides on it.
pub struct Decoded {
    pub told: Invocation,
    pub repeatable: Option<Repeatable>,
    pub name: String,
    pub about: About,
    pub left: Duration,
    pub headers: HeaderMap,
    pub to: mpsc::Sender<ToModule>,
}

/// In these times a head comes whole, and a connection without a request stays open.
#[derive(Clone, Copy)]
pub struct Patience {
    pub whole: Duration,
    pub quiet: Duration,
}

impl Default for Patience {
    fn default() -> Self {
        Patience {
            whole: WHOLE,
            quiet: QUIET,
        }
    }
}

pub struct Clients {
    clock: Clock,
    now: Now,
    figures: Figures,
    front: Rc<dyn ClientProtocol>,
    patience: Rc<Cell<Patience>>,
    /// Connections at most, now and alone.
    most: Cell<usize>,
    all: usize,
    /// Room for the bodies that are held or on their way.
    bodies: Rooms,
    last_call: LastCall,
    door: RefCell<Admission>,
    conns: RefCell<BTreeMap<u64, Rc<Conn>>>,
    next: Cell<u64>,
    /// Names of the invocations that the module holds.
    open: RefCell<HashSet<String>>,
    /// Connections whose tasks still run, and the word that one ended.
    served: Cell<usize>,
    gone: Notify,
}

impl Clients {
    pub fn new(
        front: Rc<dyn ClientProtocol>,
        most: usize,
        bodies: usize,
        clock: Clock,
        now: Now,
        figures: &Figures,
    ) -> Self {
        Clients {
            clock,
            now,
            figures: figures.clone(),
            front,
            patience: Rc::default(),
            most: Cell::new(most),
            all: most,
            bodies: Rooms::new(bodies),
            last_call: LastCall::default(),
            door: RefCell::new(Admission::new(clock.now())),
            conns: RefCell::default(),
            next: Cell::new(0),
            open: RefCell::default(),
            served: Cell::new(0),
            gone: Notify::new(),
        }
    }

    /// How long clients may take from now on.
    pub fn wait(&self, patience: Patience) {
        self.patience.set(patience);
    }

    /// The program is told to end: what comes and cannot be answered by then is refused at once.
    pub fn end_by(&self, end: Duration) {
        self.last_call.end_by(end);
    }

    /// Connections with an answer still owed.
    pub fn owed(&self) -> usize {
        self.conns
            .borrow()
            .values()
            .filter(|c| !c.is_free())
            .count()
    }

    /// Two processes are one gateway: until the other has ended, half of the connections are its.
    pub fn beside(&self) {
        self.most.set(self.all / 2);
    }

    pub fn alone(&self) {
        self.most.set(self.all);
    }

    /// Takes in connections until dropped.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            let (open, most) = (self.open(), self.most.get());
            let (idle, id) = if open >= most {
                self.idle()
            } else {
                (Idle::None, None)
            };
            let next = self
                .door
                .borrow_mut()
                .next(open, most, idle, self.clock.now());
            match next {
                Next::Take | Next::TurnAway => {}
                Next::Evict => {
                    self.evict(id);
                    // The one that had to go gives its descriptor back, and those just taken are heard, first.
                    tokio::task::yield_now().await;
                    tokio::task::yield_now().await;
                }
                Next::Leave(wait) => {
                    if idle == Idle::None {
                        // Closing one would lose what it has sent.
                        log!(
                            warn,
                            "clients-full",
                            "{open} connections, all with invocations"
                        );
                    }
                    timeout(wait, self.gone.notified()).await.ok();
                    continue;
                }
            }
            match listener.accept().await {
                Ok((socket, _)) => self.clone().take(socket),
                Err(e) => {
                    // Out of descriptors: asking again at once would spin, leaving would end the gateway.
                    log!(warn, "accept-failed", "{e}");
                    self.evict(self.idle().1);
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    fn take(self: Rc<Self>, socket: TcpStream) {
        let full = self.open() >= self.most.get();
        if full {
            self.door.borrow_mut().came_in_vain(self.clock.now());
        }
        socket.set_nodelay(true).ok();
        let id = self.next.replace(self.next.get() + 1);
        let conn = Rc::new(Conn {
            socket: Rc::new(RefCell::new(socket)),
            stand: Cell::new(Awaits::New),
            since: Cell::new(self.clock.now()),
            began: Cell::default(),
            came: Cell::default(),
            proven: Cell::new(false),
            heads: RefCell::default(),
            close: Notify::new(),
            at_once: Cell::new(false),
            given: Cell::new(false),
            unread: Cell::new(false),
            patience: self.patience.clone(),
        });
        self.conns.borrow_mut().insert(id, conn.clone());
        self.served.set(self.served.get() + 1);
        self.figures.clients.inc();
        tokio::task::spawn_local(async move {
            self.clone().serve(conn.clone(), full).await;
            self.conns.borrow_mut().remove(&id);
            self.served.set(self.served.get() - 1);
            self.figures.clients.dec();
            self.gone.notify_one();
        });
    }

    /// A connection, until it ends or its client's time is over.
    async fn serve(self: Rc<Self>, conn: Rc<Conn>, full: bool) {
        let (clock, now) = (self.clock, self.now.clone());
        let invoke = Invoke {
            conn: conn.clone(),
            clients: self,
        };
        let service = TowerToHyperService::new(PhaseService {
            full,
            inner: invoke,
        });
        let ear = ObservedSocket {
            socket: conn.socket.clone(),
            conn: conn.clone(),
            clock,
        };
        let serving = http1::Builder::new()
            .auto_date_header(false)
            .max_buf_size(HEAD)
            .serve_connection(TokioIo::new(ear), service);
        let (mut serving, mut armed) = (pin!(serving), conn.due());
        let mut alarm = pin!(sleep_until(clock.instant(armed.unwrap_or_default())));
        let mut close = pin!(conn.close.notified());
        let mut told = false;
        let done = poll_fn(|cx| {
            if let Poll::Ready(done) = serving.as_mut().poll(cx) {
                return Poll::Ready(done);
            }
            if !told && close.as_mut().poll(cx).is_ready() {
                told = true;
                // A request that is here already is answered first, and its answer ends the connection.
                if !unread(&conn.socket) || !now.stage().sends_away() {
                    serving.as_mut().graceful_shutdown();
                    cx.waker().wake_by_ref();
                }
            }
            let due = conn.due();
            if due.is_some() && due != armed {
                alarm.as_mut().reset(clock.instant(due.unwrap_or_default()));
                armed = due;
            }
            // Dropped with what it holds: a head that never ends would keep its place for good.
            let over = due.is_some() && alarm.as_mut().poll(cx).is_ready();
            if over || conn.at_once.get() {
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
    fn idle(&self) -> (Idle, Option<u64>) {
        let (conns, now) = (self.conns.borrow(), self.clock.now());
        let free = conns.iter().filter(|(_, c)| c.is_free());
        let mut free: Vec<_> = free
            .map(|(id, c)| ((c.proven.get(), c.since.get()), *id))
            .collect();
        free.sort_unstable();
        match free.into_iter().find(|(_, id)| !unread(&conns[id].socket)) {
            Some(((false, since), _)) if now < since + GREET => {
                (Idle::Soon(since + GREET - now), None)
            }
            Some((_, id)) => (Idle::Now, Some(id)),
            None => (Idle::None, None),
        }
    }

    fn evict(&self, id: Option<u64>) {
        let gone = id.and_then(|id| self.conns.borrow_mut().remove(&id));
        gone.inspect(|c| (c.at_once.set(true), c.close.notify_one()).1);
    }

    /// Ends all connections, each after the answer that it owes.
    pub fn close(&self) {
        self.conns
            .borrow()
            .values()
            .for_each(|c| c.close.notify_one());
    }

    fn open(&self) -> usize {
        self.conns.borrow().len()
    }

    /// Once no connection is served any more, those let go at the cap included.
    pub async fn all_gone(&self) {
        while self.served.get() > 0 {
            self.gone.notified().await;
        }
    }
}

/// The same, for what is no invocation.
pub fn rejection(status: StatusCode) -> Rejection {
    Box::new(plain(status))
}

/// An answer of the gateway's own.
pub fn plain(status: StatusCode) -> ClientResponse {
    let mut answer = Response::new(Given::Whole(None));
    *answer.status_mut() = status;
    answer
}
