//! The protocol towards clients and backends: `PROTOCOL.md` of the system.

use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{CustomerId, GatewayId, InvId, Invocation, PlanId, Why};
use damsonbeam_gateway::attempts::{Refusal, Repeatable, Verdict};
use damsonbeam_gateway::backends::{BackendProtocol, end_to_end};
use damsonbeam_gateway::bodies::Given;
use damsonbeam_gateway::clients::{
    About, ClientProtocol, ClientResponse, Decoded, Rejection, plain, rejection,
};
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::front::one;
use damsonbeam_gateway::mail::{Answer, Ask};
use hyper::header::{AUTHORIZATION, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode, Uri};
use rand::Rng;

use crate::dispatch::{Dispatchers, repeat};
use crate::mirroring::{self, Chosen, Ticket};
use crate::routing_table::{RoutingTable, Stop};
use crate::unserved::{Cause, Subject, UnservedLog};

static ID: HeaderName = HeaderName::from_static("x-request-id");
static DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
static SEAL: HeaderName = HeaderName::from_static("x-response-seal");
static TENANT: HeaderName = HeaderName::from_static("x-tenant-name");
static INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
static NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
static KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Bytes of a request's id at most.
const ID_MOST: usize = 128;
/// A client that says it waits longer is not believed.
const WAIT: u64 = 24 * 3_600_000;

/// Towards clients.
pub struct Requests {
    pub dispatchers: Rc<RefCell<Dispatchers>>,
    pub routing_table: Rc<RefCell<Rc<RoutingTable>>>,
    /// Seconds for which an idle connection is kept, told to clients.
    pub idle_s: Rc<Cell<u64>>,
    pub unserved: Rc<RefCell<UnservedLog>>,
    pub copies: mirroring::Shared,
    pub clock: Clock,
}

/// What is kept of a request until its answer.
#[derive(Default)]
struct Kept {
    subject: Subject,
    /// By which rules it is to be copied, until it is taken; the copies, from then on.
    chosen: Vec<Chosen>,
    tickets: Vec<Ticket>,
}

impl Requests {
    fn note(&self, name: &str, cause: Cause, ran: bool, subject: &Subject) {
        self.unserved
            .borrow_mut()
            .note(name, cause, ran, subject, self.clock.now());
        let ran = if ran {
            "it may have run"
        } else {
            "it has not run"
        };
        log::debug!("request: {name} is not served ({}), {ran}.", cause.name());
    }
}

impl ClientProtocol for Requests {
    fn asks_up(&self, _: &Uri) -> bool {
        false
    }

    fn named(&self, _: &Uri) -> Option<Arc<str>> {
        None
    }

    fn decode(&self, inv: InvId, head: &Parts) -> Result<Decoded, Rejection> {
        let routing_table = self.routing_table.borrow().clone();
        let headers = &head.headers;
        let bad = || rejection(StatusCode::BAD_REQUEST);
        if head.uri.scheme().is_some() || head.uri.authority().is_some() {
            return Err(bad());
        }
        let name = one(headers, ID.as_str())
            .filter(|n| !n.is_empty() && n.len() <= ID_MOST)
            .ok_or_else(bad)?;
        let host = one(headers, HOST.as_str()).ok_or_else(bad)?;
        let key = one(headers, AUTHORIZATION.as_str()).and_then(|a| a.strip_prefix("Bearer "));
        let left = match headers.get(&DEADLINE) {
            Some(_) => one(headers, DEADLINE.as_str())
                .and_then(|d| d.parse::<u64>().ok())
                .ok_or_else(bad)?,
            None => WAIT,
        };
        if routing_table.is_empty() {
            // No configuration yet: whoever asks is told to come back, not that there is no such route.
            return Err(Box::new(later(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(Duration::from_millis(500)),
            )));
        }
        let (route, tenant) = routing_table
            .find(host, head.uri.path(), key.map(str::trim))
            .map_err(|stop| {
                let (cause, status) = match stop {
                    Stop::NoRoute => (Cause::NoRoute, StatusCode::NOT_FOUND),
                    Stop::NoKey => (Cause::NoKey, StatusCode::UNAUTHORIZED),
                };
                self.note(name, cause, false, &Subject::default());
                rejection(status)
            })?;
        let subject = Subject {
            route: Some(route.clone()),
            tenant: tenant.cloned(),
        };
        let homes = RoutingTable::homes(route, tenant.map(|t| &**t));
        let service = RoutingTable::service(route, rand::rng().random()).to_owned();
        let whose = tenant.map_or("", |t| &t.name);
        let chosen = self
            .copies
            .choose(&service, route.kind, whose, key.unwrap_or_default());
        let mut dispatchers = self.dispatchers.borrow_mut();
        let Some((to, op)) = dispatchers.dispatcher(route, service, &homes) else {
            // Nowhere may it be served: homes that have nothing in common, or a service without backends.
            self.note(name, Cause::Nowhere, false, &subject);
            return Err(Box::new(later(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(Duration::from_secs(1)),
            )));
        };
        let plan = tenant.map_or(PlanId(usize::MAX), |t| dispatchers.plan(&t.name));
        let customer = CustomerId(tenant.map_or("", |t| &t.name).into());
        let told = Invocation {
            inv,
            op,
            plan,
            customer,
            units: 1.0,
            first_gateway: GatewayId(0),
            spread: 1,
            ..Invocation::default()
        };
        let mut out = headers.clone();
        end_to_end(&mut out, "");
        for name in [&AUTHORIZATION, &TENANT, &INSTANCE, &NOT_RUN] {
            out.remove(name);
        }
        if let Some(value) = tenant.and_then(|t| HeaderValue::from_str(&t.name).ok()) {
            out.insert(&TENANT, value);
        }
        let left = Duration::from_millis(left.min(route.timeout_ms));
        let kept = Kept {
            subject,
            chosen,
            tickets: vec![],
        };
        let repeatable = Repeatable::by(repeat(route.kind));
        let (name, about) = (name.to_owned(), Some(Box::new(kept) as Box<dyn Any>));
        Ok(Decoded {
            told,
            repeatable,
            name,
            about,
            left,
            headers: out,
            to,
        })
    }

    fn taken(&self, ask: &Ask, about: &mut About) {
        let Some(kept) = about.as_mut().and_then(|a| a.downcast_mut::<Kept>()) else {
            return;
        };
        if let Some(route) = kept
            .subject
            .route
            .as_ref()
            .filter(|_| !kept.chosen.is_empty())
        {
            let homes = RoutingTable::homes(route, kept.subject.tenant.as_deref());
            let backend_pool = self.dispatchers.borrow().backend_pool.clone();
            let is_real = |at| backend_pool.borrow().is_real(at);
            kept.tickets =
                self.copies
                    .take(std::mem::take(&mut kept.chosen), ask, &homes, &is_real);
        }
    }

    fn encode(&self, name: &str, about: About, answer: Answer) -> ClientResponse {
        let Kept {
            subject, tickets, ..
        } = about
            .and_then(|a| a.downcast::<Kept>().ok())
            .map(|k| *k)
            .unwrap_or_default();
        match &answer {
            Answer::Throttled { why, clean, .. } => {
                self.note(name, Cause::away(*why), !clean, &subject)
            }
            Answer::Errored => self.note(name, Cause::Failed, true, &subject),
            Answer::Succeeded(_) => {}
        }
        let mut out = match answer {
            Answer::Succeeded(reply) => {
                let mut answer = Response::new(reply.body);
                *answer.status_mut() = reply.status;
                *answer.headers_mut() = reply.headers;
                answer
            }
            // A promise that it has not run and never will.
            Answer::Throttled {
                after,
                why: Why::Quota | Why::Full,
                clean: true,
            } => later(StatusCode::TOO_MANY_REQUESTS, after),
            Answer::Throttled {
                after, clean: true, ..
            } => later(StatusCode::SERVICE_UNAVAILABLE, after),
            Answer::Throttled {
                clean: false,
                why: Why::Time,
                ..
            } => plain(StatusCode::GATEWAY_TIMEOUT),
            Answer::Throttled { .. } | Answer::Errored => plain(StatusCode::BAD_GATEWAY),
        };
        tickets.iter().for_each(|t| t.real(&out, self.clock.now()));
        let idle = self.idle_s.get();
        if idle > 0
            && let Ok(value) = HeaderValue::from_str(&format!("timeout={idle}"))
        {
            out.headers_mut().insert(&KEEP_ALIVE, value);
        }
        out
    }
}

fn later(status: StatusCode, after: Option<Duration>) -> Response<Given> {
    let mut answer = plain(status);
    if let Some(value) =
        after.and_then(|a| HeaderValue::from_str(&format!("{:.3}", a.as_secs_f64())).ok())
    {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// Towards backends.
pub struct Backends;

impl BackendProtocol for Backends {
    fn address(&self, headers: &mut HeaderMap, wait: Duration, backend: &str) {
        headers.insert(&DEADLINE, HeaderValue::from(wait.as_millis() as u64));
        if let Ok(id) = HeaderValue::from_str(backend) {
            headers.insert(&INSTANCE, id);
        }
    }

    fn verdict(&self, asked: &HeaderMap, status: StatusCode, headers: &HeaderMap) -> Verdict {
        match headers.get(&ID) {
            // An answer to another request, in the place where this one's is due.
            Some(id) if Some(id) != asked.get(&ID) => Verdict::Misplaced,
            // Without an id it may be what is left of an earlier answer: it proves nothing.
            None => Verdict::Failed,
            Some(_) if status == StatusCode::MISDIRECTED_REQUEST => {
                Verdict::Declined(Refusal::WrongBackend)
            }
            Some(_) if headers.contains_key(&NOT_RUN) => Verdict::Declined(Refusal::Full),
            Some(_) if status.is_success() && headers.contains_key(&SEAL) => Verdict::Succeeded,
            Some(_) => Verdict::Failed,
        }
    }

    fn passes(&self, verdict: Verdict, status: StatusCode, headers: &HeaderMap) -> bool {
        match verdict {
            Verdict::Succeeded => true,
            // A failure of the backend's own, in answer to this request.
            Verdict::Failed => !status.is_success() && headers.contains_key(&ID),
            _ => false,
        }
    }

    fn strip(&self, headers: &mut HeaderMap) {
        end_to_end(headers, "");
        headers.remove(&NOT_RUN);
    }

    fn keep(&self, headers: &HeaderMap) -> Option<Duration> {
        let said = headers.get(&KEEP_ALIVE)?.to_str().ok()?;
        let fields: BTreeMap<&str, &str> = said
            .split(',')
            .filter_map(|f| f.trim().split_once('='))
            .collect();
        fields.get("timeout")?.parse().ok().map(Duration::from_secs)
    }
}
