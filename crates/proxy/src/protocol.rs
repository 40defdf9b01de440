//! The protocol towards clients and backends: `PROTOCOL.md` of the system.

use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{CustomerId, GatewayId, Invocation, InvocationId, RejectReason};
use damsonbeam_control::config::{Route, Tenant};
use damsonbeam_gateway::attempts::{Refusal, Repeatable, Verdict};
use damsonbeam_gateway::backends::{BackendProtocol, keep_end_to_end};
use damsonbeam_gateway::bodies::ResponseBody;
use damsonbeam_gateway::clients::{
    ClientProtocol, ClientResponse, DecodedRequest, Rejection, RequestContext, plain, rejection,
};
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::messages::{Answer, ForwardedRequest};
use damsonbeam_gateway::platform_protocol::single_header;
use hyper::header::{AUTHORIZATION, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode, Uri};
use rand::Rng;

use crate::dispatch::{DispatchTarget, Dispatchers, NO_PLAN, repeat};
use crate::mirroring::{MirrorTicket, Selected, SharedMirror};
use crate::routing_table::{RouteMatch, RoutingError, RoutingTable};
use crate::unserved::{Cause, Subject, UnservedLog};

static REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
static DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
static RESPONSE_SEAL: HeaderName = HeaderName::from_static("x-response-seal");
static TENANT_NAME: HeaderName = HeaderName::from_static("x-tenant-name");
static TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
static NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
static KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Bytes of a request's id at most.
const MAX_ID_BYTES: usize = 128;
/// A client that says it waits longer than a day is not believed.
const MAX_DEADLINE_MS: u64 = 24 * 3_600_000;
/// When to come back, where no configuration is known yet.
const RETRY_UNCONFIGURED: Duration = Duration::from_millis(500);
/// When to come back, where no backend may serve the request.
const RETRY_NOWHERE: Duration = Duration::from_secs(1);

/// The protocol towards clients.
pub struct Requests {
    /// The decision modules.
    pub dispatchers: Rc<RefCell<Dispatchers>>,
    /// The configuration in force.
    pub routing_table: Rc<RefCell<Rc<RoutingTable>>>,
    /// Seconds for which an idle connection is kept, told to clients; 0: not told.
    pub idle_s: Rc<Cell<u64>>,
    /// The account of requests that are not served.
    pub unserved: Rc<RefCell<UnservedLog>>,
    /// Mirrored requests.
    pub mirror: SharedMirror,
    /// The modules' clock.
    pub clock: Clock,
}

/// What is kept of a request until its answer.
#[derive(Default)]
struct DecodedContext {
    subject: Subject,
    /// The rules by which it is to be mirrored, until it is taken.
    selected: Vec<Selected>,
    /// The mirrored requests, from then on.
    tickets: Vec<MirrorTicket>,
}

/// What a request's head says.
struct RequestHead<'a> {
    id: &'a str,
    host: &'a str,
    key: Option<&'a str>,
    deadline_ms: u64,
}

impl<'a> RequestHead<'a> {
    /// `None` where the head breaks the protocol.
    fn read(head: &'a Parts) -> Option<Self> {
        let headers = &head.headers;
        if head.uri.scheme().is_some() || head.uri.authority().is_some() {
            return None;
        }
        let id = single_header(headers, REQUEST_ID.as_str())?;
        if id.is_empty() || id.len() > MAX_ID_BYTES {
            return None;
        }
        let host = single_header(headers, HOST.as_str())?;
        let authorization = single_header(headers, AUTHORIZATION.as_str());
        let deadline_ms = match headers.get(&DEADLINE_MS) {
            Some(_) => single_header(headers, DEADLINE_MS.as_str())?.parse().ok()?,
            None => MAX_DEADLINE_MS,
        };
        Some(RequestHead {
            id,
            host,
            key: authorization.and_then(|value| value.strip_prefix("Bearer ")),
            deadline_ms,
        })
    }
}

impl Requests {
    fn note_unserved(&self, id: &str, cause: Cause, may_have_run: bool, subject: &Subject) {
        let now = self.clock.now();
        self.unserved
            .borrow_mut()
            .add(id, cause, may_have_run, subject, now);
        let ran = if may_have_run {
            "it may have run"
        } else {
            "it has not run"
        };
        log::debug!("request: {id} is not served ({}), {ran}.", cause.name());
    }

    fn reject_unrouted(&self, id: &str, error: RoutingError) -> Rejection {
        let (cause, status) = match error {
            RoutingError::NoRoute => (Cause::NoRoute, StatusCode::NOT_FOUND),
            RoutingError::NoTenant => (Cause::NoKey, StatusCode::UNAUTHORIZED),
        };
        self.note_unserved(id, cause, false, &Subject::default());
        rejection(status)
    }

    /// Hands a request that was read and routed to its module.
    fn decode_routed(
        &self,
        invocation_id: InvocationId,
        head: &RequestHead,
        headers: &HeaderMap,
        route: &Rc<Route>,
        tenant: Option<&Rc<Tenant>>,
    ) -> Result<DecodedRequest, Rejection> {
        let subject = Subject {
            route: Some(route.clone()),
            tenant: tenant.cloned(),
        };
        let tenant_name = tenant.map_or("", |tenant| &tenant.name);
        let homes = RoutingTable::home_regions(route, tenant.map(|tenant| &**tenant));
        let service = RoutingTable::choose_service(route, rand::rng().random()).to_owned();
        let key = head.key.unwrap_or_default();
        let selected = self.mirror.select(&service, route.kind, tenant_name, key);
        let mut dispatchers = self.dispatchers.borrow_mut();
        let Some(target) = dispatchers.dispatch(route, service, &homes) else {
            // Home regions that have nothing in common, or a service without backends.
            self.note_unserved(head.id, Cause::Nowhere, false, &subject);
            return Err(retry_later(StatusCode::SERVICE_UNAVAILABLE, Some(RETRY_NOWHERE)).into());
        };
        let DispatchTarget { events, operation } = target;
        let invocation = Invocation {
            id: invocation_id,
            operation,
            plan: tenant.map_or(NO_PLAN, |tenant| dispatchers.plan(&tenant.name)),
            customer: CustomerId(tenant_name.into()),
            units: 1.0,
            first_gateway: GatewayId(0),
            spread: 1,
            ..Invocation::default()
        };
        let context = DecodedContext {
            subject,
            selected,
            tickets: vec![],
        };
        Ok(DecodedRequest {
            invocation,
            repeatable: Repeatable::by(repeat(route.kind)),
            name: head.id.to_owned(),
            context: Some(Box::new(context) as Box<dyn Any>),
            time_left: Duration::from_millis(head.deadline_ms.min(route.timeout_ms)),
            headers: forwarded_headers(headers, tenant.map(|tenant| &**tenant)),
            dispatcher: events,
        })
    }
}

/// The headers of a request that go on to its backend. The tenant is named by the proxy alone.
fn forwarded_headers(headers: &HeaderMap, tenant: Option<&Tenant>) -> HeaderMap {
    let mut forwarded = headers.clone();
    keep_end_to_end(&mut forwarded, "");
    for name in [
        &AUTHORIZATION,
        &TENANT_NAME,
        &TARGET_INSTANCE,
        &NOT_EXECUTED,
    ] {
        forwarded.remove(name);
    }
    let tenant_name = tenant.and_then(|tenant| HeaderValue::from_str(&tenant.name).ok());
    if let Some(tenant_name) = tenant_name {
        forwarded.insert(&TENANT_NAME, tenant_name);
    }
    forwarded
}

fn context_of(context: &mut RequestContext) -> Option<&mut DecodedContext> {
    context.as_mut()?.downcast_mut()
}

impl ClientProtocol for Requests {
    fn is_readiness_check(&self, _: &Uri) -> bool {
        false
    }

    fn operation_name(&self, _: &Uri) -> Option<Arc<str>> {
        None
    }

    fn decode(
        &self,
        invocation_id: InvocationId,
        head: &Parts,
    ) -> Result<DecodedRequest, Rejection> {
        let table = self.routing_table.borrow().clone();
        let request = RequestHead::read(head).ok_or_else(|| rejection(StatusCode::BAD_REQUEST))?;
        if table.is_empty() {
            // No configuration yet: the client is to come back, not to be told that there is no such route.
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(retry_later(status, Some(RETRY_UNCONFIGURED)).into());
        }
        let key = request.key.map(str::trim);
        let RouteMatch { route, tenant } = table
            .find(request.host, head.uri.path(), key)
            .map_err(|error| self.reject_unrouted(request.id, error))?;
        self.decode_routed(invocation_id, &request, &head.headers, route, tenant)
    }

    fn request_accepted(&self, request: &ForwardedRequest, context: &mut RequestContext) {
        let Some(context) = context_of(context) else {
            return;
        };
        let route = context
            .subject
            .route
            .as_ref()
            .filter(|_| !context.selected.is_empty());
        if let Some(route) = route {
            let homes = RoutingTable::home_regions(route, context.subject.tenant.as_deref());
            let dispatchers = self.dispatchers.borrow();
            let is_real = |address| dispatchers.is_real(address);
            let selected = std::mem::take(&mut context.selected);
            context.tickets = self.mirror.send_all(selected, request, &homes, &is_real);
        }
    }

    fn encode(&self, name: &str, context: RequestContext, answer: Answer) -> ClientResponse {
        let context = context.and_then(|context| context.downcast::<DecodedContext>().ok());
        let DecodedContext {
            subject, tickets, ..
        } = context.map(|context| *context).unwrap_or_default();
        match &answer {
            Answer::Throttled {
                reason,
                none_executed,
                ..
            } => {
                self.note_unserved(name, Cause::rejected(*reason), !none_executed, &subject);
            }
            Answer::Errored => self.note_unserved(name, Cause::Failed, true, &subject),
            Answer::Succeeded(_) => {}
        }
        let mut response = response(answer);
        let now = self.clock.now();
        tickets
            .iter()
            .for_each(|ticket| ticket.answered(&response, now));
        let idle_s = self.idle_s.get();
        if idle_s > 0
            && let Ok(value) = HeaderValue::from_str(&format!("timeout={idle_s}"))
        {
            response.headers_mut().insert(&KEEP_ALIVE, value);
        }
        response
    }
}

/// The response to a client. A status of 429 or 503 promises that the request has not run and never will.
fn response(answer: Answer) -> ClientResponse {
    match answer {
        Answer::Succeeded(backend_response) => {
            let mut response = Response::new(backend_response.body);
            *response.status_mut() = backend_response.status;
            *response.headers_mut() = backend_response.headers;
            response
        }
        Answer::Throttled {
            after,
            reason: RejectReason::Quota | RejectReason::Full,
            none_executed: true,
        } => retry_later(StatusCode::TOO_MANY_REQUESTS, after),
        Answer::Throttled {
            after,
            none_executed: true,
            ..
        } => retry_later(StatusCode::SERVICE_UNAVAILABLE, after),
        Answer::Throttled {
            none_executed: false,
            reason: RejectReason::Time,
            ..
        } => plain(StatusCode::GATEWAY_TIMEOUT),
        Answer::Throttled { .. } | Answer::Errored => plain(StatusCode::BAD_GATEWAY),
    }
}

fn retry_later(status: StatusCode, after: Option<Duration>) -> Response<ResponseBody> {
    let mut response = plain(status);
    let seconds = after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::from_str(&seconds).ok()) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The protocol towards backends.
pub struct Backends;

impl BackendProtocol for Backends {
    fn add_request_headers(&self, headers: &mut HeaderMap, wait: Duration, backend: &str) {
        headers.insert(&DEADLINE_MS, HeaderValue::from(wait.as_millis() as u64));
        if let Ok(id) = HeaderValue::from_str(backend) {
            headers.insert(&TARGET_INSTANCE, id);
        }
    }

    fn verdict(&self, asked: &HeaderMap, status: StatusCode, headers: &HeaderMap) -> Verdict {
        match headers.get(&REQUEST_ID) {
            // An answer to another request, in the place where this one's is due.
            Some(id) if Some(id) != asked.get(&REQUEST_ID) => Verdict::Misplaced,
            // Without an id it may be what is left of an earlier answer: it proves nothing.
            None => Verdict::Failed,
            Some(_) if status == StatusCode::MISDIRECTED_REQUEST => {
                Verdict::Declined(Refusal::WrongBackend)
            }
            Some(_) if headers.contains_key(&NOT_EXECUTED) => Verdict::Declined(Refusal::Full),
            Some(_) if status.is_success() && headers.contains_key(&RESPONSE_SEAL) => {
                Verdict::Succeeded
            }
            Some(_) => Verdict::Failed,
        }
    }

    fn may_forward(&self, verdict: Verdict, status: StatusCode, headers: &HeaderMap) -> bool {
        match verdict {
            Verdict::Succeeded => true,
            // A failure of the backend's own, in answer to this request.
            Verdict::Failed => !status.is_success() && headers.contains_key(&REQUEST_ID),
            _ => false,
        }
    }

    fn strip_response_headers(&self, headers: &mut HeaderMap) {
        keep_end_to_end(headers, "");
        headers.remove(&NOT_EXECUTED);
    }

    fn idle_timeout(&self, headers: &HeaderMap) -> Option<Duration> {
        let value = headers.get(&KEEP_ALIVE)?.to_str().ok()?;
        let fields = value
            .split(',')
            .filter_map(|field| field.trim().split_once('='));
        let fields: BTreeMap<&str, &str> = fields.collect();
        fields.get("timeout")?.parse().ok().map(Duration::from_secs)
    }
}
