//! The clients: a listener, tower services over hyper's connections, and the registry of those connections.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use damsonbeam::interface::{CustomerId, GatewayId, InvId, Invocation, OpId, PlanId};
use damsonbeam_settings::Facts;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::sleep_until;
use tower::Service;

use crate::backends::{Ask, BODY, Reply, TIME_LEFT, end_to_end};
use crate::clock::Clock;
use crate::life::{Life, Stage};
use crate::log::log;
use crate::module;

/// Connections taken beyond the cap, only to be told so.
const BEYOND: usize = 16;
/// Pause after a failed accept: descriptors do not come free any sooner by asking.
const PAUSE: Duration = Duration::from_millis(20);
/// Bytes of a request's head at most: with a body each, all clients together stay inside the memory.
const HEAD: usize = 32 << 10;
/// A client that says it waits longer is not believed.
const WAIT: Duration = Duration::from_secs(24 * 3600);

/// The one final answer of an invocation.
pub enum Answer {
    Succeeded(Reply),
    Throttled(Option<Duration>),
    Errored,
}

type Reply200 = Response<Full<Bytes>>;
type Answering = Pin<Box<dyn Future<Output = Result<Reply200, Infallible>>>>;

/// A client's connection: whether it holds an invocation, and when it last did.
struct Conn {
    busy: Cell<bool>,
    quiet_since: Cell<Duration>,
    close: Notify,
}

pub struct Clients {
    pub clock: Clock,
    pub life: Rc<Life>,
    pub module: mpsc::Sender<module::Mail>,
    pub operations: Vec<String>,
    pub plans: Vec<String>,
    pub most: usize,
    conns: RefCell<BTreeMap<u64, Rc<Conn>>>,
    next: Cell<u64>,
    /// Connections whose tasks still run, and the word that one ended.
    served: Cell<usize>,
    gone: Notify,
}

impl Clients {
    pub fn new(
        facts: &Facts,
        most: usize,
        clock: Clock,
        life: Rc<Life>,
        to: mpsc::Sender<module::Mail>,
    ) -> Self {
        Clients {
            clock,
            life,
            module: to,
            operations: facts.request_classes.iter().map(|c| c.name.clone()).collect(),
            plans: facts.plans.iter().map(|p| p.name.clone()).collect(),
            most,
            conns: RefCell::default(),
            next: Cell::new(0),
            served: Cell::new(0),
            gone: Notify::new(),
        }
    }

    /// Takes in connections until dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let full = self.open() >= self.most;
            if full && self.evict() {
                // The one that had to go gives its descriptor back first.
                tokio::task::yield_now().await;
            }
            while self.open() >= self.most + BEYOND {
                // Those that wait are taken already: closing one would lose what it has sent.
                log!("clients-full", "{} connections, all with invocations", self.open());
                self.gone.notified().await;
            }
            match listener.accept().await {
                Ok((socket, _)) => self.clone().take(socket),
                Err(e) => {
                    // Out of descriptors: asking again at once would spin, leaving would end the gateway.
                    log!("accept-failed", "{e}");
                    self.evict();
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    fn take(self: Rc<Self>, socket: TcpStream) {
        let full = self.open() >= self.most;
        socket.set_nodelay(true).ok();
        let id = self.next.replace(self.next.get() + 1);
        let conn = Rc::new(Conn {
            busy: Cell::new(false),
            quiet_since: Cell::new(self.clock.now()),
            close: Notify::new(),
        });
        self.conns.borrow_mut().insert(id, conn.clone());
        self.served.set(self.served.get() + 1);
        tokio::task::spawn_local(async move {
            let invoke = Invoke { clients: self.clone() };
            let service = TowerToHyperService::new(Door { conn: conn.clone(), full, inner: invoke });
            let serving = http1::Builder::new()
                .auto_date_header(false)
                .max_buf_size(HEAD)
                .serve_connection(TokioIo::new(socket), service);
            tokio::pin!(serving);
            let done = tokio::select! {
                done = serving.as_mut() => done,
                () = conn.close.notified() => {
                    serving.as_mut().graceful_shutdown();
                    serving.await
                }
            };
            if let Err(e) = done.as_ref()
                && e.is_parse()
            {
                log!("client-malformed", "{e}");
            }
            self.conns.borrow_mut().remove(&id);
            self.served.set(self.served.get() - 1);
            self.gone.notify_one();
        });
    }

    /// Closes the connection that has been quiet longest, if one holds no invocation.
    fn evict(&self) -> bool {
        let mut conns = self.conns.borrow_mut();
        let quiet = conns.iter().filter(|(_, c)| !c.busy.get()).min_by_key(|(_, c)| c.quiet_since.get());
        let id = quiet.map(|(id, _)| *id);
        id.and_then(|id| conns.remove(&id)).inspect(|c| c.close.notify_one()).is_some()
    }

    /// Ends all connections, each after the answer that it owes.
    pub fn close(&self) {
        self.conns.borrow().values().for_each(|c| c.close.notify_one());
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

    fn decode(&self, uri: &hyper::Uri, headers: &HeaderMap) -> Option<Invocation> {
        let text = |name: &str| headers.get(name)?.to_str().ok().map(str::trim);
        let operation = uri.path().trim_start_matches('/').split('/').next()?;
        let op = self.operations.iter().position(|o| o == operation)?;
        let plan = text("x-tariff")?;
        let plan = self.plans.iter().position(|p| p == plan)?;
        let id = text("x-correlation-id")?;
        let customer = text("x-subscriber")?;
        let known = customer.len() == 16 && u64::from_str_radix(customer, 16).is_ok_and(|c| c < 1 << 33);
        let left = Duration::from_millis(headers.get(&TIME_LEFT)?.to_str().ok()?.trim().parse().ok()?);
        let mut weight = [None; 3];
        for field in text("x-weight")?.split(',') {
            let (name, value) = field.trim().split_once('=')?;
            let at = ["units", "spread", "first"].iter().position(|n| *n == name);
            if let Some(at) = at {
                weight[at] = Some(value.trim().parse::<f64>().ok()?);
            }
        }
        let [Some(units), Some(spread), Some(first)] = weight else { return None };
        let whole = |n: f64| n.fract() == 0.0 && (0.0..f64::from(u32::MAX)).contains(&n);
        let counted = units > 0.0 && units <= 1e9;
        if left > WAIT || id.is_empty() || !known || !counted || !whole(spread) || !whole(first) {
            return None;
        }
        Some(Invocation {
            inv: InvId(self.next.replace(self.next.get() + 1)),
            deadline: self.clock.now() + left,
            op: OpId(op),
            plan: PlanId(plan),
            customer: CustomerId(customer.to_ascii_lowercase().into()),
            units,
            first_gateway: GatewayId(first as u32),
            spread: spread as u32,
            write: false,
            repeat: text("x-repeat") == Some("1"),
        })
    }
}

/// First layer: the program's phases and the connection's, `/up`, and answers to what comes beyond the cap.
#[derive(Clone)]
struct Door {
    conn: Rc<Conn>,
    full: bool,
    inner: Invoke,
}

impl Service<Request<Incoming>> for Door {
    type Response = Reply200;
    type Error = Infallible;
    type Future = Answering;

    fn poll_ready(&mut self, cx: &mut Context) -> Poll<Result<(), Infallible>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<Incoming>) -> Answering {
        let (conn, full, clients) = (self.conn.clone(), self.full, self.inner.clients.clone());
        let up = request.uri().path() == "/up";
        let inner = (!up && !full).then(|| self.inner.call(request));
        conn.busy.set(true);
        Box::pin(async move {
            let mut answer = match inner {
                Some(inner) => inner.await?,
                None if up && clients.life.stage().serves() => plain(StatusCode::OK),
                None => plain(StatusCode::SERVICE_UNAVAILABLE),
            };
            conn.busy.set(false);
            conn.quiet_since.set(clients.clock.now());
            if full || clients.life.stage() >= Stage::Draining {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(answer)
        })
    }
}

/// Second layer: a request becomes an invocation, the module's answer becomes a response.
#[derive(Clone)]
struct Invoke {
    clients: Rc<Clients>,
}

impl Service<Request<Incoming>> for Invoke {
    type Response = Reply200;
    type Error = Infallible;
    type Future = Answering;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Answering {
        let clients = self.clients.clone();
        Box::pin(async move { Ok(clients.invoke(request).await) })
    }
}

impl Clients {
    async fn invoke(&self, request: Request<Incoming>) -> Reply200 {
        let (head, body) = request.into_parts();
        let Some(told) = self.decode(&head.uri, &head.headers) else {
            log!("invocation-malformed", "{} {}", head.method, head.uri);
            return plain(StatusCode::BAD_REQUEST);
        };
        let body = if body.is_end_stream() {
            Bytes::new()
        } else if body.size_hint().lower() > BODY as u64 {
            return plain(StatusCode::PAYLOAD_TOO_LARGE);
        } else {
            let by = sleep_until(self.clock.instant(told.deadline));
            let whole = tokio::select! {
                whole = Limited::new(body, BODY).collect() => whole,
                () = by => return plain(StatusCode::REQUEST_TIMEOUT),
            };
            match whole {
                Ok(whole) => whole.to_bytes(),
                Err(e) if e.is::<http_body_util::LengthLimitError>() => {
                    return plain(StatusCode::PAYLOAD_TOO_LARGE);
                }
                Err(_) => return plain(StatusCode::BAD_REQUEST),
            }
        };
        let mut headers = head.headers;
        end_to_end(&mut headers);
        let ask = Rc::new(Ask { method: head.method, uri: head.uri, headers, body });
        let (answer, answered) = oneshot::channel();
        let mut held = Held { inv: told.inv, module: &self.module, answered: false };
        if self.module.send(module::Mail::Invocation { told, ask, answer }).await.is_err() {
            held.answered = true;
            return plain(StatusCode::SERVICE_UNAVAILABLE);
        }
        let answer = answered.await.unwrap_or(Answer::Errored);
        held.answered = true;
        encode(answer)
    }
}

/// An invocation that the module holds; dropped unanswered, its client has hung up.
struct Held<'a> {
    inv: InvId,
    module: &'a mpsc::Sender<module::Mail>,
    answered: bool,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let left = module::Mail::Left { inv: self.inv };
        if let Err(mpsc::error::TrySendError::Full(left)) = self.module.try_send(left) {
            let module = self.module.clone();
            tokio::task::spawn_local(async move { module.send(left).await.ok() });
        }
    }
}

fn plain(status: StatusCode) -> Reply200 {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

fn encode(answer: Answer) -> Reply200 {
    match answer {
        Answer::Succeeded(reply) => {
            let mut answer = Response::new(Full::new(reply.body));
            *answer.headers_mut() = reply.headers;
            answer
        }
        Answer::Throttled(after) => {
            let mut answer = plain(StatusCode::TOO_MANY_REQUESTS);
            if let Some(after) = after
                && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
            {
                answer.headers_mut().insert(RETRY_AFTER, value);
            }
            answer
        }
        Answer::Errored => plain(StatusCode::BAD_GATEWAY),
    }
}
