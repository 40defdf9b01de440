//! Request mirroring: sends copies of the requests that `damsonbeam-mirror` selects to a trial service, on separate
//! connections. A copy is made from the buffered request when the real request is accepted. The real request never
//! waits for a copy, and is not affected by the outcome of the copy.

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
    ActiveRules, COPY_TIMEOUT, CallerHash, caller_hash, is_selected, select_instance,
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

/// Maximum number of idle connections kept per trial instance.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Time within which a trial instance accepts a connection; otherwise the copy is not sent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
static REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
static COPY_OF: HeaderName = HeaderName::from_static("x-copy-of");
static COPY_RULE: HeaderName = HeaderName::from_static("x-copy-rule");
static TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
static DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");

/// The name and version of a mirror rule.
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

/// A rule by which a request is to be mirrored, and the caller that sent the request.
#[derive(Clone, Debug)]
pub struct SelectedRule {
    rule: Rc<MirrorRule>,
    caller: CallerHash,
}

/// The answers to a real request and to its copy, each set when it arrives.
#[derive(Debug, Default)]
struct AnswerPair {
    real: Option<Answer>,
    trial: Option<Answer>,
    /// Whether the real request has ended, with or without an answer.
    is_real_over: bool,
}

type SharedAnswerPair = Rc<RefCell<AnswerPair>>;

/// Records the answer to a real request for the comparison with the answer to its copy. Dropped when the real request
/// has ended.
pub struct RealAnswerRecorder {
    pair: SharedAnswerPair,
    rule: RuleVersion,
    began: Duration,
    mirror: SharedMirror,
}

impl RealAnswerRecorder {
    /// Records the real answer as it is sent to the client.
    pub fn record(&self, answer: &Response<ResponseBody>, now: Duration) {
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

impl Drop for RealAnswerRecorder {
    fn drop(&mut self) {
        self.pair.borrow_mut().is_real_over = true;
        self.mirror.record_pair(&self.rule, &self.pair);
    }
}

/// The rules and budget that decide which requests are mirrored, and the results.
#[derive(Debug, Default)]
struct MirrorState {
    active_rules: ActiveRules,
    budget: Budget,
    sessions: Sessions,
}

type Connection = SendRequest<Full<Bytes>>;

/// Mirrors requests of this proxy.
pub struct Mirror {
    state: RefCell<MirrorState>,
    /// Idle connections by trial instance.
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    clock: Clock,
    /// The coordinator's time minus this process's clock, in seconds.
    time_offset_s: Rc<Cell<f64>>,
    /// Number of proxies that share the rules' budgets.
    proxies: Cell<u32>,
    has_rules: Cell<bool>,
}

/// The mirror as the tasks of the one thread share it.
pub type SharedMirror = Rc<Mirror>;

/// A copy to be sent to a trial instance.
struct RequestCopy {
    address: SocketAddr,
    /// `None` where a header value of the copy would be invalid.
    request: Option<Request<Full<Bytes>>>,
    body_bytes: usize,
    rule: RuleVersion,
    caller: CallerHash,
    pair: SharedAnswerPair,
    began: Duration,
}

impl Mirror {
    /// Creates a mirror without rules.
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

    /// Returns the coordinator's time, in milliseconds.
    fn coordinator_time_ms(&self) -> u64 {
        let coordinator_time_s = self.clock.now().as_secs_f64() + self.time_offset_s.get();
        (coordinator_time_s * 1000.0).max(0.0) as u64
    }

    /// Sets the number of proxies that share the rules' budgets.
    pub fn set_proxy_count(&self, proxies: u32) {
        self.proxies.set(proxies);
    }

    /// Applies the rules of a new configuration.
    pub fn update_rules(&self, rules: Vec<MirrorRule>) {
        let active_rules = &mut self.state.borrow_mut().active_rules;
        active_rules.update(rules, self.coordinator_time_ms());
        self.has_rules.set(!active_rules.is_empty());
    }

    /// Records by how much a timer fired late; nothing is mirrored while the delays show that the proxy is overloaded.
    pub fn record_timer_delay(&self, late_by: Duration) {
        if self.has_rules.get() {
            let now = self.clock.now();
            self.state
                .borrow_mut()
                .budget
                .record_timer_delay(late_by, now);
        }
    }

    /// Returns the results of mirroring as JSON.
    pub fn to_json(&self) -> String {
        self.state.borrow().sessions.to_json()
    }

    /// Returns the rules by which a request to a service is to be mirrored. Only a hash of the API key is kept.
    pub fn select(
        &self,
        service: &str,
        kind: RouteKind,
        tenant: &str,
        api_key: &str,
    ) -> Vec<SelectedRule> {
        if !self.has_rules.get() {
            return vec![];
        }
        let now = self.coordinator_time_ms();
        let mut state = self.state.borrow_mut();
        let rules = state.active_rules.rules_for(service, now).into_iter();
        let rules = rules.filter(|rule| rule.route_kinds.contains(&kind));
        let selected = rules.filter_map(|rule| {
            let caller = caller_hash(rule, tenant, api_key);
            let rule = is_selected(rule, caller).then(|| Rc::new(rule.clone()))?;
            Some(SelectedRule { rule, caller })
        });
        selected.collect()
    }

    /// Starts sending a copy of an accepted request for each selected rule, or drops the copy where the budget or the
    /// rule does not allow it. Returns a recorder for each copy that is sent. `is_real` tells the addresses of real
    /// backends, which receive no copies.
    pub fn mirror_request(
        self: &Rc<Self>,
        selected: Vec<SelectedRule>,
        original: &ForwardedRequest,
        home_regions: &HomeRegions,
        is_real: &dyn Fn(SocketAddr) -> bool,
    ) -> Vec<RealAnswerRecorder> {
        let mut recorders = Vec::new();
        for SelectedRule { rule, caller } in selected {
            let version = RuleVersion::of(&rule);
            match self.admit(&rule, caller, original, home_regions, is_real) {
                Ok(copy) => {
                    let sessions = &mut self.state.borrow_mut().sessions;
                    sessions.record_copied(version.key(), caller);
                    recorders.push(RealAnswerRecorder {
                        pair: copy.pair.clone(),
                        rule: version,
                        began: copy.began,
                        mirror: self.clone(),
                    });
                    tokio::task::spawn_local(self.clone().send_copy(copy));
                }
                Err(reason) => {
                    let sessions = &mut self.state.borrow_mut().sessions;
                    sessions.record_dropped(version.key(), caller, reason);
                }
            }
        }
        recorders
    }

    /// Returns the copy of a request by one rule, or the reason why it is not to be sent.
    fn admit(
        &self,
        rule: &MirrorRule,
        caller: CallerHash,
        original: &ForwardedRequest,
        home_regions: &HomeRegions,
        is_real: &dyn Fn(SocketAddr) -> bool,
    ) -> Result<RequestCopy, DropReason> {
        let RequestBody::Buffered(body) = &original.body else {
            return Err(DropReason::BodyUnavailable);
        };
        let is_home = |region: &str| home_regions.as_ref().is_none_or(|r| r.contains(region));
        let instance = select_instance(rule, caller, &is_home, is_real);
        let (instance, address) = instance.ok_or(DropReason::NoInstance)?;
        let now = self.clock.now();
        let budget = &mut self.state.borrow_mut().budget;
        budget.admit(rule, body.len(), self.proxies.get(), now)?;
        let version = RuleVersion::of(rule);
        Ok(RequestCopy {
            address,
            request: copy_request(original, body.clone(), &instance.id, &version),
            body_bytes: body.len(),
            rule: version,
            caller,
            pair: SharedAnswerPair::default(),
            began: now,
        })
    }

    /// Sends a copy, and records the answer or that there was none.
    async fn send_copy(self: Rc<Self>, copy: RequestCopy) {
        let answer = match copy.request {
            Some(request) => {
                let answer = timeout(COPY_TIMEOUT, self.exchange(copy.address, request)).await;
                answer.ok().flatten()
            }
            None => None,
        };
        {
            let mut state = self.state.borrow_mut();
            state.budget.release(copy.body_bytes);
            if answer.is_none() {
                let rule = copy.rule.key();
                state
                    .sessions
                    .record_dropped(rule, copy.caller, DropReason::Unanswered);
            }
        }
        let took = self.clock.now().saturating_sub(copy.began);
        copy.pair.borrow_mut().trial = answer.map(|(status, digest)| Answer {
            status,
            digest,
            took,
        });
        self.record_pair(&copy.rule, &copy.pair);
    }

    /// Compares the two answers once the copy has been answered and the real request has an answer or has ended.
    fn record_pair(&self, rule: &RuleVersion, pair: &SharedAnswerPair) {
        let mut pair = pair.borrow_mut();
        if pair.real.is_none() && !pair.is_real_over {
            return;
        }
        let real = pair.real;
        if let Some(trial) = pair.trial.take() {
            self.state
                .borrow_mut()
                .sessions
                .record_answered(rule.key(), real, trial);
        }
    }

    /// Sends a request, and returns the status of the answer and the digest of the body, unless the body exceeds
    /// [`MAX_BODY_BYTES`] or breaks off. Returns `None` where no answer came.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Option<(u16, Option<u64>)> {
        let id = request.headers().get(&REQUEST_ID).cloned();
        let mut connection = self.connection(address).await?;
        connection.ready().await.ok()?;
        let answer = connection.send_request(request).await.ok()?;
        let answered_id = answer.headers().get(&REQUEST_ID);
        if answered_id.is_some() && answered_id != id.as_ref() {
            // The late answer to an earlier copy; more of them may follow on this connection.
            return None;
        }
        let status = answer.status().as_u16();
        // No more of a body is read than is compared, as a body may be endless; the connection is then closed.
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

    /// Returns an idle connection to an instance, or opens one.
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

/// Returns a copy of a request with a request id of its own, and with headers that mark it as a copy for every
/// recipient.
fn copy_request(
    original: &ForwardedRequest,
    body: Bytes,
    instance: &str,
    rule: &RuleVersion,
) -> Option<Request<Full<Bytes>>> {
    let value = |text: &str| HeaderValue::from_str(text).ok();
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = original.method.clone();
    *request.uri_mut() = original.uri.clone();
    let mut headers = original.headers.clone();
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
