//! Sends mirrored requests: what `damsonbeam-mirror` selects goes to its trial service on connections of its own. A
//! mirrored request begins when the real one is taken, from what is already here; nothing of the real path waits for it,
//! or hears of it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::config::{MirrorRule, RouteKind};
use damsonbeam_gateway::bodies::{RequestBody, ResponseBody};
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::messages::ForwardedRequest;
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

use crate::routing_table::HomeRegions;

/// Idle connections kept to an instance.
const MAX_IDLE_CONNECTIONS: usize = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
static REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
static COPY_OF: HeaderName = HeaderName::from_static("x-copy-of");
static COPY_RULE: HeaderName = HeaderName::from_static("x-copy-rule");
static TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
static DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Name and version of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RuleVersion {
    name: String,
    version: u64,
}

impl RuleVersion {
    fn of(rule: &MirrorRule) -> Self {
        RuleVersion {
            name: rule.name.clone(),
            version: rule.version,
        }
    }

    fn key(&self) -> (&str, u64) {
        (&self.name, self.version)
    }
}

/// A rule by which a request is mirrored, and whose request it is.
#[derive(Clone, Debug)]
pub struct Selected {
    rule: Rc<MirrorRule>,
    caller: Caller,
}

/// The two answers as they come.
#[derive(Debug, Default)]
struct AnswerPair {
    real: Option<Answer>,
    trial: Option<Answer>,
    /// Nothing more comes of the real one.
    is_real_over: bool,
}

type SharedPair = Rc<RefCell<AnswerPair>>;

/// Held with the real request until its answer.
pub struct MirrorTicket {
    pair: SharedPair,
    rule: RuleVersion,
    began: Duration,
    mirror: SharedMirror,
}

impl MirrorTicket {
    /// The real answer, as it goes to the client.
    pub fn answered(&self, answer: &Response<ResponseBody>, now: Duration) {
        let body = match answer.body() {
            ResponseBody::Buffered(Some(bytes)) => Some(digest(bytes)),
            _ => None,
        };
        self.pair.borrow_mut().real = Some(Answer {
            status: answer.status().as_u16(),
            digest: body,
            took: now.saturating_sub(self.began),
        });
    }
}

impl Drop for MirrorTicket {
    fn drop(&mut self) {
        self.pair.borrow_mut().is_real_over = true;
        self.mirror.count_pair(&self.rule, &self.pair);
    }
}

/// What decides on mirrored requests, and what came of them.
#[derive(Debug, Default)]
struct MirrorState {
    active_rules: ActiveRules,
    budget: Budget,
    sessions: Sessions,
}

type Connection = SendRequest<Full<Bytes>>;

/// The mirrored requests of this proxy.
pub struct Mirror {
    state: RefCell<MirrorState>,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    clock: Clock,
    /// The common time less this process's, in seconds.
    time_offset_s: Rc<Cell<f64>>,
    proxies: Cell<u32>,
    has_rules: Cell<bool>,
}

/// The mirror as the tasks of the one thread share it.
pub type SharedMirror = Rc<Mirror>;

/// A mirrored request on its way to an instance.
struct Outgoing {
    address: SocketAddr,
    /// `None`: it can't be written as a request.
    request: Option<Request<Full<Bytes>>>,
    body_bytes: usize,
    rule: RuleVersion,
    caller: Caller,
    pair: SharedPair,
    began: Duration,
}

impl Mirror {
    /// A mirror without rules.
    pub fn new(clock: Clock, time_offset_s: Rc<Cell<f64>>) -> SharedMirror {
        Rc::new(Mirror {
            state: RefCell::default(),
            idle: RefCell::default(),
            clock,
            time_offset_s,
            proxies: Cell::new(1),
            has_rules: Cell::new(false),
        })
    }

    fn common_ms(&self) -> u64 {
        let common_s = self.clock.now().as_secs_f64() + self.time_offset_s.get();
        (common_s * 1000.0).max(0.0) as u64
    }

    /// Sets the number of proxies that share the rules' budgets.
    pub fn set_proxies(&self, proxies: u32) {
        self.proxies.set(proxies);
    }

    /// Takes the rules of a new configuration.
    pub fn update_rules(&self, rules: Vec<MirrorRule>) {
        let active_rules = &mut self.state.borrow_mut().active_rules;
        active_rules.update(rules, self.common_ms());
        self.has_rules.set(!active_rules.is_empty());
    }

    /// A timer fired this late: nothing is mirrored while the proxy itself has too much to do.
    pub fn timer_fired(&self, late_by: Duration) {
        if self.has_rules.get() {
            let now = self.clock.now();
            self.state.borrow_mut().budget.timer_fired(late_by, now);
        }
    }

    /// What came of mirrored requests, as JSON.
    pub fn to_json(&self) -> String {
        self.state.borrow().sessions.show()
    }

    /// The rules by which a request to a service is to be mirrored. The key is hashed and goes no further.
    pub fn select(&self, service: &str, kind: RouteKind, tenant: &str, key: &str) -> Vec<Selected> {
        if !self.has_rules.get() {
            return vec![];
        }
        let now = self.common_ms();
        let mut state = self.state.borrow_mut();
        let rules = state.active_rules.rules_for(service, now).into_iter();
        let rules = rules.filter(|rule| rule.route_kinds.contains(&kind));
        let selected = rules.filter_map(|rule| {
            let caller = caller(rule, tenant, key);
            let rule = is_chosen(rule, caller).then(|| Rc::new(rule.clone()))?;
            Some(Selected { rule, caller })
        });
        selected.collect()
    }

    /// The real request is taken: its mirrored ones are sent, or dropped, here and now.
    pub fn send_all(
        self: &Rc<Self>,
        selected: Vec<Selected>,
        ask: &ForwardedRequest,
        homes: &HomeRegions,
        is_real: &dyn Fn(SocketAddr) -> bool,
    ) -> Vec<MirrorTicket> {
        let mut tickets = Vec::new();
        for Selected { rule, caller } in selected {
            let version = RuleVersion::of(&rule);
            match self.admit(&rule, caller, ask, homes, is_real) {
                Ok(outgoing) => {
                    let sessions = &mut self.state.borrow_mut().sessions;
                    sessions.copied(version.key(), caller);
                    tickets.push(MirrorTicket {
                        pair: outgoing.pair.clone(),
                        rule: version,
                        began: outgoing.began,
                        mirror: self.clone(),
                    });
                    tokio::task::spawn_local(self.clone().send(outgoing));
                }
                Err(reason) => {
                    let sessions = &mut self.state.borrow_mut().sessions;
                    sessions.dropped(version.key(), caller, reason);
                }
            }
        }
        tickets
    }

    /// The mirrored request by one rule, if it may be sent.
    fn admit(
        &self,
        rule: &MirrorRule,
        caller: Caller,
        ask: &ForwardedRequest,
        homes: &HomeRegions,
        is_real: &dyn Fn(SocketAddr) -> bool,
    ) -> Result<Outgoing, DropReason> {
        let RequestBody::Buffered(body) = &ask.body else {
            return Err(DropReason::Body);
        };
        let is_home = |region: &str| homes.as_ref().is_none_or(|homes| homes.contains(region));
        let instance = instance(rule, caller, &is_home, is_real);
        let (instance, address) = instance.ok_or(DropReason::Nowhere)?;
        let now = self.clock.now();
        let budget = &mut self.state.borrow_mut().budget;
        budget.admit(rule, body.len(), self.proxies.get(), now)?;
        let version = RuleVersion::of(rule);
        Ok(Outgoing {
            address,
            request: mirrored_request(ask, body.clone(), &instance.id, &version),
            body_bytes: body.len(),
            rule: version,
            caller,
            pair: SharedPair::default(),
            began: now,
        })
    }

    async fn send(self: Rc<Self>, outgoing: Outgoing) {
        let answer = match outgoing.request {
            Some(request) => {
                let answer = timeout(COPY_TIMEOUT, self.ask(outgoing.address, request)).await;
                answer.ok().flatten()
            }
            None => None,
        };
        {
            let mut state = self.state.borrow_mut();
            state.budget.done(outgoing.body_bytes);
            if answer.is_none() {
                let rule = outgoing.rule.key();
                state
                    .sessions
                    .dropped(rule, outgoing.caller, DropReason::Unanswered);
            }
        }
        let took = self.clock.now().saturating_sub(outgoing.began);
        outgoing.pair.borrow_mut().trial = answer.map(|(status, digest)| Answer {
            status,
            digest,
            took,
        });
        self.count_pair(&outgoing.rule, &outgoing.pair);
    }

    /// Counts a pair of answers once both are there, or once nothing more comes of the real one.
    fn count_pair(&self, rule: &RuleVersion, pair: &SharedPair) {
        let mut pair = pair.borrow_mut();
        if pair.real.is_none() && !pair.is_real_over {
            return;
        }
        let real = pair.real;
        if let Some(trial) = pair.trial.take() {
            self.state
                .borrow_mut()
                .sessions
                .answered(rule.key(), real, trial);
        }
    }

    /// Status, and the digest of a body that is not too large; `None` where no answer came.
    async fn ask(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Option<(u16, Option<u64>)> {
        let mut connection = self.connection(address).await?;
        connection.ready().await.ok()?;
        let answer = connection.send_request(request).await.ok()?;
        let status = answer.status().as_u16();
        // Of an answer without end no more is read than is compared; its connection ends with it.
        let body = Limited::new(answer.into_body(), MAX_BODY_BYTES)
            .collect()
            .await;
        let Ok(body) = body else {
            return Some((status, None));
        };
        let digest = digest(&body.to_bytes());
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(address).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
        Some((status, Some(digest)))
    }

    /// An idle connection, or a new one.
    async fn connection(&self, address: SocketAddr) -> Option<Connection> {
        let idle = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
        if let Some(connection) = idle.filter(|connection| !connection.is_closed()) {
            return Some(connection);
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.ok()?.ok()?;
        stream.set_nodelay(true).ok();
        let (connection, driver) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(async move { driver.await.ok() });
        Some(connection)
    }
}

/// The mirrored request: the same but for its id, which is its own, and the headers by which everybody can recognise it.
fn mirrored_request(
    ask: &ForwardedRequest,
    body: Bytes,
    instance: &str,
    rule: &RuleVersion,
) -> Option<Request<Full<Bytes>>> {
    let value = |text: &str| HeaderValue::from_str(text).ok();
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = ask.method.clone();
    *request.uri_mut() = ask.uri.clone();
    let mut headers = ask.headers.clone();
    let id = format!("copy-{:016x}", rand::rng().random::<u64>());
    if let Some(real_id) = headers.insert(&REQUEST_ID, value(&id)?) {
        headers.insert(&COPY_OF, real_id);
    }
    let rule = format!("{} r{}", rule.name, rule.version);
    headers.insert(&COPY_RULE, value(&rule)?);
    headers.insert(&TARGET_INSTANCE, value(instance)?);
    headers.insert(
        &DEADLINE_MS,
        HeaderValue::from(COPY_TIMEOUT.as_millis() as u64),
    );
    *request.headers_mut() = headers;
    Some(request)
}
