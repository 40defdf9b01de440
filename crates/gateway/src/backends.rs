//! The backends: an actor each, with its own pool of connections; a connection carries one delivery at a time.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use damsonbeam::interface::Report;
use damsonbeam_admin::{Figures, IntCounter};
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::body::Body;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};

use crate::attempts::{Ending, Refusal, Verdict};
use crate::bodies::{self, End, Given, Through, Upload};
use crate::log::log;
use crate::mail::*;
use crate::meter::Meter;
use crate::room::Rooms;
use crate::sizes::{BODY, HEAD, LARGE};

/// Part of the time after which the platform closes an idle connection, by which ours are closed.
const IDLE_PART: (u32, u32) = (3, 4);
/// Room in a backend's mailbox: more deliveries than a backend's places at any time.
const JOBS: usize = 256;
/// An answer that does not say its length is held back for so long from its head on: whole, it can be
/// told from a broken one; a long one that comes slowly must begin before its client's time is up.
const HELD: Duration = Duration::from_millis(100);
/// Turns given to a connection that was let go, to close.
const TURNS: usize = 8;
pub static ID: HeaderName = HeaderName::from_static("x-correlation-id");
pub static TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
static UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
static LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// A connection as hyper drives it. Deliveries only borrow the socket, so it closes when hyper lets it go.
struct Wire {
    socket: Rc<Socket>,
    meter: Rc<Meter>,
    sends: IntCounter,
    _open: Open,
}

/// Counts open connections.
struct Open(Rc<Cell<usize>>);

impl Open {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Open(open.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_read(cx, buf)
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, bytes))?;
        let before = self.meter.whole();
        self.meter.wrote(&bytes[..n]);
        if !before && self.meter.whole() {
            self.sends.inc();
        }
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_shutdown(cx)
    }
}

struct Conn {
    send: SendRequest<Upload>,
    socket: Weak<Socket>,
    meter: Rc<Meter>,
}

impl Conn {
    /// Whether it can carry a delivery: open, and with nothing on it that came since the last. What came
    /// since would be taken for the next one's answer; hyper sees it only once the poller has told of it.
    fn clean(&self) -> bool {
        let silent = |socket: Rc<Socket>| {
            let peeked = SockRef::from(&*socket.borrow()).peek(&mut [MaybeUninit::uninit()]);
            peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
        };
        !self.send.is_closed() && self.socket.upgrade().is_some_and(silent)
    }
}

/// Idle connections to one backend: the one used last goes out first; the oldest stand in front.
type Pool = RefCell<Vec<(Conn, Instant)>>;

/// What backends speak, by the deployment's protocol.
pub trait BackendProtocol {
    /// What a request to a backend says besides what its client said.
    fn address(&self, headers: &mut HeaderMap, wait: Duration, backend: &str);
    /// What an answer says of the request that it came for.
    fn verdict(&self, asked: &HeaderMap, status: StatusCode, headers: &HeaderMap) -> Verdict;
    /// Whether an answer may go to the client where no better one comes.
    fn passes(&self, verdict: Verdict, status: StatusCode, headers: &HeaderMap) -> bool;
    /// Leaves of an answer's headers what is the client's.
    fn strip(&self, headers: &mut HeaderMap);
    /// How long an idle connection may be kept, where an answer says.
    fn keep(&self, headers: &HeaderMap) -> Option<Duration>;
}

/// What the backends of the deployments in service speak.
pub struct Platform;

impl BackendProtocol for Platform {
    fn address(&self, headers: &mut HeaderMap, wait: Duration, _: &str) {
        headers.insert(&TIME_LEFT, HeaderValue::from(wait.as_millis() as u64));
    }

    fn verdict(&self, _: &HeaderMap, status: StatusCode, headers: &HeaderMap) -> Verdict {
        let unprocessed = headers.get(&UNPROCESSED).is_some_and(|v| v == "1");
        match status {
            StatusCode::OK => Verdict::Succeeded,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => {
                Verdict::Declined(Refusal::Full)
            }
            // Any other answer leaves open whether it ran.
            _ => Verdict::Failed,
        }
    }

    fn passes(&self, verdict: Verdict, _: StatusCode, _: &HeaderMap) -> bool {
        verdict == Verdict::Succeeded
    }

    fn strip(&self, headers: &mut HeaderMap) {
        end_to_end(headers, "");
        headers.remove(&LOAD);
    }

    fn keep(&self, _: &HeaderMap) -> Option<Duration> {
        None
    }
}

/// What all backends' actors share.
pub struct Fleet {
    pub connect_timeout: Duration,
    /// Idle connections are closed after this.
    pub keep: Cell<Duration>,
    pub reports: Vec<String>,
    back: Box<dyn BackendProtocol>,
    /// Connections at most, and those open.
    pub most: usize,
    pub open: Rc<Cell<usize>>,
    /// The pools of all backends.
    pools: RefCell<Vec<(String, Weak<Pool>)>>,
    figures: Figures,
    rooms: Rooms,
}

impl Fleet {
    pub fn new(
        connect_timeout: Duration,
        idle: Duration,
        reports: Vec<String>,
        back: Box<dyn BackendProtocol>,
        most: usize,
        bodies: usize,
        figures: &Figures,
    ) -> Rc<Self> {
        Rc::new(Fleet {
            connect_timeout,
            keep: Cell::new(idle * IDLE_PART.0 / IDLE_PART.1),
            reports,
            back,
            most,
            open: Rc::default(),
            pools: RefCell::default(),
            figures: figures.clone(),
            rooms: Rooms::new(bodies),
        })
    }

    /// The pool of a backend: actors of one name share one.
    fn pool(&self, name: &str) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|p| p.1.strong_count() > 0);
        let known = pools
            .iter()
            .find(|p| !name.is_empty() && p.0 == name)
            .and_then(|p| p.1.upgrade());
        known.unwrap_or_else(|| {
            let pool = Rc::<Pool>::default();
            pools.push((name.to_owned(), Rc::downgrade(&pool)));
            pool
        })
    }

    /// Room for a connection more: at the cap, the one idle longest is let go, whichever backend's it is.
    /// A pool must not hold the descriptors that another backend's work needs.
    async fn room(&self) -> bool {
        let oldest = |p: &Rc<Pool>| p.borrow().first().map(|(_, at)| *at);
        if self.open.get() >= self.most {
            let pools: Vec<_> = self
                .pools
                .borrow()
                .iter()
                .filter_map(|p| p.1.upgrade())
                .collect();
            let idle = pools
                .iter()
                .filter(|p| oldest(p).is_some())
                .min_by_key(|p| oldest(p));
            idle.into_iter()
                .for_each(|p| drop(p.borrow_mut().remove(0)));
            for _ in 0..TURNS {
                if self.open.get() < self.most {
                    break;
                }
                tokio::task::yield_now().await;
            }
        }
        self.open.get() < self.most
    }
}

pub struct Backend {
    pub at: SocketAddr,
    pub name: Arc<str>,
    pub fleet: Rc<Fleet>,
    /// It drains or is gone: what is not written yet is not written any more.
    pub shut: Rc<Cell<bool>>,
    pub mailbox: mpsc::Receiver<ToBackend>,
}

impl Backend {
    /// Starts a backend's actor; the module reaches it by what comes back.
    pub fn hire(fleet: &Rc<Fleet>, at: SocketAddr, name: &Arc<str>) -> Peer {
        let (to, mailbox) = mpsc::channel(JOBS);
        let shut = Rc::<Cell<bool>>::default();
        let backend = Backend {
            at,
            name: name.clone(),
            fleet: fleet.clone(),
            shut: shut.clone(),
            mailbox,
        };
        tokio::task::spawn_local(backend.run());
        Peer {
            at,
            mailbox: to,
            shut,
        }
    }

    /// Until the mailbox is closed and all deliveries have ended.
    pub async fn run(mut self) {
        let pool = self.fleet.pool(&self.name);
        let mut running = FuturesUnordered::new();
        let expiry = sleep_until(Instant::now());
        tokio::pin!(expiry);
        let (mut armed, mut open) = (false, true);
        while open || !running.is_empty() {
            tokio::select! {
                biased;
                Some(back) = running.next(), if !running.is_empty() => {
                    if let Some(conn) = back {
                        pool.borrow_mut().push((conn, Instant::now()));
                        if !armed {
                            armed = true;
                            expiry.as_mut().reset(Instant::now() + self.fleet.keep.get());
                        }
                    }
                }
                mail = self.mailbox.recv(), if open => match mail {
                    Some(ToBackend::Deliver(job)) => {
                        let keep = self.fleet.keep.get();
                        let conn = std::iter::from_fn(|| pool.borrow_mut().pop())
                            .find_map(|(conn, at)| (at.elapsed() < keep && conn.clean()).then_some(conn));
                        let shut = self.shut.clone();
                        running.push(deliver(self.fleet.clone(), (self.at, self.name.clone()), shut, conn, job));
                    }
                    Some(ToBackend::CloseIdle) => pool.borrow_mut().clear(),
                    None => {
                        open = false;
                        pool.borrow_mut().clear();
                    }
                },
                () = &mut expiry, if armed => {
                    let (keep, mut idle) = (self.fleet.keep.get(), pool.borrow_mut());
                    idle.retain(|(conn, at)| !conn.send.is_closed() && at.elapsed() < keep);
                    armed = !idle.is_empty();
                    if let Some((_, at)) = idle.first() {
                        expiry.as_mut().reset(*at + keep);
                    }
                }
            }
        }
    }
}

async fn connect(fleet: &Fleet, at: SocketAddr) -> Result<Conn, String> {
    if !fleet.room().await {
        return Err(format!("{} connections are open", fleet.most));
    }
    let open = Open::new(&fleet.open);
    let socket = match timeout(fleet.connect_timeout, TcpStream::connect(at)).await {
        Ok(socket) => socket.map_err(|e| e.to_string())?,
        Err(_) => return Err("no connection in time".into()),
    };
    socket.set_nodelay(true).map_err(|e| e.to_string())?;
    let (socket, meter) = (Rc::new(RefCell::new(socket)), Rc::<Meter>::default());
    let sends = fleet.figures.sends.clone();
    let wire = Wire {
        socket: socket.clone(),
        meter: meter.clone(),
        sends,
        _open: open,
    };
    let handshake = Builder::new()
        .max_buf_size(HEAD)
        .handshake(TokioIo::new(wire))
        .await;
    let (send, conn) = handshake.map_err(|e| e.to_string())?;
    tokio::task::spawn_local(async move { conn.await.ok() });
    Ok(Conn {
        send,
        socket: Rc::downgrade(&socket),
        meter,
    })
}

/// One delivery; its connection comes back if it can carry another.
async fn deliver(
    fleet: Rc<Fleet>,
    (at, name): (SocketAddr, Arc<str>),
    shut: Rc<Cell<bool>>,
    conn: Option<Conn>,
    job: Job,
) -> Option<Conn> {
    let Job {
        inv,
        no,
        permit,
        ask,
        wait,
        line,
        replaces,
        to,
    } = job;
    let tell = |ending, reply, report| {
        let module = to.clone();
        async move {
            module
                .send(ToModule::Done(Done {
                    inv,
                    no,
                    ending,
                    reply,
                    report,
                }))
                .await
                .ok()
        }
    };
    let conn = match conn {
        Some(conn) => Ok(conn),
        None => connect(&fleet, at).await,
    };
    let mut conn = match conn {
        Ok(conn) => conn,
        Err(why) => {
            log!(warn, "backend-unreachable", "{at}: {why}");
            tell(Ending::NotExecuted(permit.unused()), None, vec![]).await;
            return None;
        }
    };
    // Given up before anything was written: the new connection serves the next.
    if line.over.get() {
        return Some(conn);
    }
    // While it connected, its backend began to drain.
    if shut.get() {
        tell(Ending::NotExecuted(permit.unused()), None, vec![]).await;
        return None;
    }
    replaces.into_iter().for_each(|overdue| overdue.give_up());
    *line.socket.borrow_mut() = conn.socket.clone();
    // Of a body whose length is not known, none can be told to be the last byte but by its end.
    conn.meter
        .begin(ask.body.length().map_or(usize::MAX, |n| n as usize));
    let attempt = permit.sent_over(conn.meter.clone());
    let coming = ask.body.coming();
    let answer = match conn
        .send
        .send_request(request(&ask, wait, &*fleet.back, &name))
        .await
    {
        Ok(answer) => read(&fleet.rooms, answer).await,
        Err(e) => Err(e.to_string()),
    };
    let ended = coming.is_some_and(|c| c.ended());
    if ended && !conn.meter.whole() {
        fleet.figures.sends.inc();
    }
    // What has gone to a backend and is not held goes to no other.
    if coming.is_some_and(|c| c.spent()) {
        to.send(ToModule::Spent { inv }).await.ok();
    }
    let (status, mut headers, body, end) = match answer {
        Ok(answer) => answer,
        Err(why) => {
            if !line.over.get() {
                log!(warn, "delivery-broken", "{at}: {why}");
            }
            // What still comes belongs to nothing any more.
            line.give_up();
            tell(attempt.broken(ended), None, vec![]).await;
            return None;
        }
    };
    let verdict = fleet.back.verdict(&ask.headers, status, &headers);
    if verdict == Verdict::Misplaced {
        // It belongs to another request, and so may whatever follows it.
        line.give_up();
        tell(attempt.answered(verdict), None, vec![]).await;
        return None;
    }
    *line.socket.borrow_mut() = Weak::new();
    let report = report(&headers, &fleet.reports);
    fleet
        .back
        .keep(&headers)
        .into_iter()
        .for_each(|k| fleet.keep.set(k * IDLE_PART.0 / IDLE_PART.1));
    let close = headers
        .get(CONNECTION)
        .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    let reply = fleet.back.passes(verdict, status, &headers).then(|| {
        fleet.back.strip(&mut headers);
        Reply {
            status,
            headers,
            body,
        }
    });
    tell(attempt.answered(verdict), reply, report).await;
    if let Some(end) = end
        && end.await != Ok(End::Whole)
    {
        return None;
    }
    (!close && !line.over.get() && conn.send.ready().await.is_ok()).then_some(conn)
}

fn request(ask: &Ask, wait: Duration, back: &dyn BackendProtocol, name: &str) -> Request<Upload> {
    let mut request = Request::new(Upload::new(&ask.body));
    *request.method_mut() = ask.method.clone();
    *request.uri_mut() = ask.uri.clone();
    *request.headers_mut() = ask.headers.clone();
    back.address(request.headers_mut(), wait, name);
    request
}

/// An answer: its head, its body, and, where that is passed on as it comes, the word of how it ended.
type Read = (StatusCode, HeaderMap, Given, Option<oneshot::Receiver<End>>);

async fn read(rooms: &Rooms, answer: Response<hyper::body::Incoming>) -> Result<Read, String> {
    let (head, mut body) = answer.into_parts();
    let (length, chunks) = (
        head.headers.get(CONTENT_LENGTH),
        head.headers.get(TRANSFER_ENCODING),
    );
    // A length given in both ways is given in none. With neither, the close of the connection ends it: a
    // machine that dies resets its connections, and a reset is no end.
    let chunked = chunks.map(|c| c.as_bytes().eq_ignore_ascii_case(b"chunked"));
    if chunked == Some(false) || chunked.is_some() && length.is_some() {
        return Err("an answer of no known length".into());
    }
    let said = body.size_hint().exact();
    if said.is_some_and(|n| n > LARGE as u64) {
        return Err(format!("an answer of {} bytes", said.unwrap_or_default()));
    }
    let (first, whole) = if said.is_some_and(|n| n > BODY as u64) {
        (Bytes::new(), false)
    } else {
        // What may be this large and does not say so has its room from what all answers share.
        let room = if said.is_none() {
            Some(rooms.take(BODY).ok_or("no room for an answer")?)
        } else {
            None
        };
        let within = said.is_none().then_some(HELD);
        let (first, whole) = bodies::begin(&mut body, within)
            .await
            .map_err(|e| e.to_string())?;
        (
            room.into_iter().fold(first, |first, room| room.keep(first)),
            whole,
        )
    };
    if whole {
        let body = Some(first).filter(|b| !b.is_empty());
        return Ok((head.status, head.headers, Given::Whole(body), None));
    }
    // Its time is its first bytes': a head alone is no answer yet.
    let (through, end) = Through::new(first, body, said);
    Ok((
        head.status,
        head.headers,
        Given::Through(Box::new(through)),
        Some(end),
    ))
}

/// The values of a load report in the settings' order; none if it isn't whole.
fn report(headers: &HeaderMap, names: &[String]) -> Report {
    let Some(text) = headers.get(&LOAD).filter(|_| !names.is_empty()) else {
        return vec![];
    };
    let fields: Vec<(&str, &str)> = text
        .to_str()
        .unwrap_or("")
        .split(',')
        .filter_map(|f| f.trim().split_once('='))
        .collect();
    let value = |name: &String| fields.iter().find(|f| f.0 == name)?.1.parse().ok();
    names
        .iter()
        .map(value)
        .collect::<Option<_>>()
        .unwrap_or_default()
}

/// Leaves the headers that are meant for the far end, and the name of an invocation in any case: a client
/// that lists it as meant for the next hop only must not have it go on without.
pub fn end_to_end(headers: &mut HeaderMap, name: &str) {
    if let Some(named) = headers.remove(CONNECTION) {
        for name in named.to_str().unwrap_or("").split(',') {
            headers.remove(name.trim());
        }
    }
    for name in [
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
        "expect",
    ] {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    if let Some(name) = HeaderValue::from_str(name).ok().filter(|n| !n.is_empty()) {
        headers.insert(&ID, name);
    }
}
