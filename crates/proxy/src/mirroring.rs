//! The carrier of copies: what `damsonbeam-mirror` chose goes to its trial service on connections of its own. A copy begins
//! when the real request is taken, from what is already here; nothing of the real path waits for it, or hears of it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::mirror_rules::Rule;
use damsonbeam_gateway::bodies::{Given, Load};
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::mail::Ask;
use damsonbeam_mirror::budget::{Budget, DropReason, MAX_BODY_BYTES};
use damsonbeam_mirror::selection::{
    ActiveRules, COPY_TIMEOUT, Caller, caller, instance, is_chosen,
};
use damsonbeam_mirror::sessions::{Answer, Sessions, digest};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::routing_table::Homes;

/// Idle connections kept to an instance.
const IDLE: usize = 4;
/// A connection that does not come up by then does not.
const CONNECT: Duration = Duration::from_millis(500);
static ID: HeaderName = HeaderName::from_static("x-request-id");
static OF: HeaderName = HeaderName::from_static("x-copy-of");
static RULE: HeaderName = HeaderName::from_static("x-copy-rule");
static INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
static DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

/// By which rule a request is copied, and whose it is.
#[derive(Clone, Debug)]
pub struct Chosen {
    rule: Rc<Rule>,
    caller: Caller,
}

/// The two answers as they come.
#[derive(Debug, Default)]
struct Pair {
    real: Option<Answer>,
    trial: Option<Answer>,
    /// Nothing more comes of the real one.
    over: bool,
}

/// Held with the real request until its answer.
pub struct Ticket {
    pair: Rc<RefCell<Pair>>,
    rule: (String, u64),
    began: Duration,
    copies: Shared,
}

impl Ticket {
    /// The real answer, as it goes to the client.
    pub fn real(&self, answer: &Response<Given>, now: Duration) {
        let body = if let Given::Whole(Some(bytes)) = answer.body() {
            Some(digest(bytes))
        } else {
            None
        };
        let took = now.saturating_sub(self.began);
        self.pair.borrow_mut().real = Some(Answer {
            status: answer.status().as_u16(),
            digest: body,
            took,
        });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.pair.borrow_mut().over = true;
        self.copies.settle(&self.rule, &self.pair);
    }
}

#[derive(Debug, Default)]
struct Inner {
    active_rules: ActiveRules,
    budget: Budget,
    sessions: Sessions,
}

pub struct Copies {
    inner: RefCell<Inner>,
    links: RefCell<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
    clock: Clock,
    /// The common time less this process's, in seconds.
    ahead: Rc<Cell<f64>>,
    pub proxies: Cell<u32>,
    on: Cell<bool>,
}

pub type Shared = Rc<Copies>;

impl Copies {
    pub fn new(clock: Clock, ahead: Rc<Cell<f64>>) -> Shared {
        Rc::new(Copies {
            inner: RefCell::default(),
            links: RefCell::default(),
            clock,
            ahead,
            proxies: Cell::new(1),
            on: Cell::new(false),
        })
    }

    fn common_ms(&self) -> u64 {
        ((self.clock.now().as_secs_f64() + self.ahead.get()) * 1000.0).max(0.0) as u64
    }

    pub fn follow(&self, rules: Vec<Rule>) {
        let rules_in_force = &mut self.inner.borrow_mut().active_rules;
        rules_in_force.update(rules, self.common_ms());
        self.on.set(!rules_in_force.is_empty());
    }

    /// A timer fired so much late.
    pub fn late(&self, by: Duration) {
        if self.on.get() {
            self.inner
                .borrow_mut()
                .budget
                .timer_fired(by, self.clock.now());
        }
    }

    pub fn show(&self) -> String {
        self.inner.borrow().sessions.show()
    }

    /// By which rules a request to a service is to be copied. The key is hashed and goes no further.
    pub fn choose(
        &self,
        service: &str,
        kind: damsonbeam_control::items::RouteKind,
        tenant: &str,
        key: &str,
    ) -> Vec<Chosen> {
        if !self.on.get() {
            return vec![];
        }
        let now = self.common_ms();
        let mut inner = self.inner.borrow_mut();
        let rules = inner
            .active_rules
            .rules_for(service, now)
            .into_iter()
            .filter(|r| r.kinds.contains(&kind));
        let chosen = rules.filter_map(|r| {
            let caller = caller(r, tenant, key);
            is_chosen(r, caller).then(|| Chosen {
                rule: Rc::new(r.clone()),
                caller,
            })
        });
        chosen.collect()
    }

    /// The real request is taken: its copies go, or are dropped, here and now.
    pub fn take(
        self: &Shared,
        chosen: Vec<Chosen>,
        ask: &Ask,
        homes: &Homes,
        is_real: &dyn Fn(SocketAddr) -> bool,
    ) -> Vec<Ticket> {
        let now = self.clock.now();
        let mut tickets = Vec::new();
        for Chosen { rule, caller } in chosen {
            let name = (rule.name.clone(), rule.version);
            let sent = || {
                let Load::Whole(body) = &ask.body else {
                    return Err(DropReason::Body);
                };
                let may = |region: &str| homes.as_ref().is_none_or(|h| h.contains(region));
                let (to, at) = instance(&rule, caller, &may, is_real).ok_or(DropReason::Nowhere)?;
                self.inner
                    .borrow_mut()
                    .budget
                    .admit(&rule, body.len(), self.proxies.get(), now)?;
                Ok((to.id.clone(), at, body.clone()))
            };
            let sent = sent();
            let sessions = &mut self.inner.borrow_mut().sessions;
            match sent {
                Err(why) => sessions.dropped((&name.0, name.1), caller, why),
                Ok((id, at, body)) => {
                    sessions.copied((&name.0, name.1), caller);
                    let pair = Rc::<RefCell<Pair>>::default();
                    let size = body.len();
                    let request = request(ask, body, &id, &name);
                    let (copies, of, rule) = (self.clone(), pair.clone(), name.clone());
                    tokio::task::spawn_local(async move {
                        copies
                            .send(at, (request, size), rule, caller, of, now)
                            .await
                    });
                    tickets.push(Ticket {
                        pair,
                        rule: name,
                        began: now,
                        copies: self.clone(),
                    });
                }
            }
        }
        tickets
    }

    async fn send(
        self: Shared,
        at: SocketAddr,
        (request, size): (Option<Request<Full<Bytes>>>, usize),
        rule: (String, u64),
        caller: Caller,
        pair: Rc<RefCell<Pair>>,
        began: Duration,
    ) {
        let answer = match request {
            Some(request) => timeout(COPY_TIMEOUT, self.ask(at, request))
                .await
                .ok()
                .flatten(),
            None => None,
        };
        {
            let mut inner = self.inner.borrow_mut();
            inner.budget.done(size);
            if answer.is_none() {
                inner
                    .sessions
                    .dropped((&rule.0, rule.1), caller, DropReason::Unanswered);
            }
        }
        let took = self.clock.now().saturating_sub(began);
        pair.borrow_mut().trial = answer.map(|(status, digest)| Answer {
            status,
            digest,
            took,
        });
        self.settle(&rule, &pair);
    }

    /// Counts a pair once both are there, or once nothing more comes of the real one.
    fn settle(&self, rule: &(String, u64), pair: &Rc<RefCell<Pair>>) {
        let mut pair = pair.borrow_mut();
        if pair.real.is_some() || pair.over {
            let real = pair.real;
            if let Some(trial) = pair.trial.take() {
                self.inner
                    .borrow_mut()
                    .sessions
                    .answered((&rule.0, rule.1), real, trial);
            }
        }
    }

    /// Status, and the digest of a body that is not too large.
    async fn ask(
        &self,
        at: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Option<(u16, Option<u64>)> {
        let known = self
            .links
            .borrow_mut()
            .get_mut(&at)
            .and_then(Vec::pop)
            .filter(|l| !l.is_closed());
        let mut link = match known {
            Some(link) => link,
            None => {
                let stream = timeout(CONNECT, TcpStream::connect(at)).await.ok()?.ok()?;
                stream.set_nodelay(true).ok();
                let (link, conn) = handshake(TokioIo::new(stream)).await.ok()?;
                tokio::task::spawn_local(async move { conn.await.ok() });
                link
            }
        };
        link.ready().await.ok()?;
        let answer = link.send_request(request).await.ok()?;
        let status = answer.status().as_u16();
        // Of an answer without end no more is read than is compared; its connection ends with it.
        let Ok(body) = Limited::new(answer.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
        else {
            return Some((status, None));
        };
        let digest = digest(&body.to_bytes());
        let mut links = self.links.borrow_mut();
        let idle = links.entry(at).or_default();
        if idle.len() < IDLE {
            idle.push(link);
        }
        Some((status, Some(digest)))
    }
}

/// The copy: the same but for its name, which is its own, and the marks by which everybody can tell it.
fn request(
    ask: &Ask,
    body: Bytes,
    instance: &str,
    rule: &(String, u64),
) -> Option<Request<Full<Bytes>>> {
    let value = |text: &str| HeaderValue::from_str(text).ok();
    let mut request = Request::new(Full::new(body));
    (*request.method_mut(), *request.uri_mut()) = (ask.method.clone(), ask.uri.clone());
    let mut headers = ask.headers.clone();
    if let Some(of) = headers.insert(
        &ID,
        value(&format!("copy-{:016x}", rand::rng().random::<u64>()))?,
    ) {
        headers.insert(&OF, of);
    }
    headers.insert(&RULE, value(&format!("{} r{}", rule.0, rule.1))?);
    headers.insert(&INSTANCE, value(instance)?);
    headers.insert(
        &DEADLINE,
        HeaderValue::from(COPY_TIMEOUT.as_millis() as u64),
    );
    *request.headers_mut() = headers;
    Some(request)
}
