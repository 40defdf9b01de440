//! The HTTP protocol spoken with clients and backends, as specified in `PROTOCOL.md` of the system.

use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{CustomerId, GatewayId, Invocation, InvocationId, RejectReason};
use damsonbeam_control::config::{Route, Tenant};
use damsonbeam_gateway::attempts::{ExecutionStart, NoneExecuted, Refusal, Repeatable, Verdict};
use damsonbeam_gateway::backends::{BackendProtocol, keep_end_to_end};
use damsonbeam_gateway::bodies::ResponseBody;
use damsonbeam_gateway::clients::{
    ClientProtocol, ClientResponse, DecodedRequest, Rejection, RequestContext, empty_rejection,
    empty_response,
};
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::messages::{Answer, ForwardedRequest};
use damsonbeam_gateway::platform_protocol::single_header;
use hyper::header::{AUTHORIZATION, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode, Uri};
use rand::Rng;

use crate::dispatch::{DispatchTarget, Dispatchers, NO_PLAN, repeatability};
use crate::mirroring::{RealAnswerRecorder, SelectedRule, SharedMirror};
use crate::routing_table::{RouteMatch, RoutingError, RoutingTable};
use crate::unserved::{Cause, RouteAndTenant, UnservedLog};

static REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
static DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
static RESPONSE_SEAL: HeaderName = HeaderName::from_static("x-response-seal");
static TENANT_NAME: HeaderName = HeaderName::from_static("x-tenant-name");
static TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
static NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
static KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Maximum length of a request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Deadline of a request whose client states none, in milliseconds: one day, as no client is expected to wait longer.
const DEFAULT_DEADLINE_MS: u64 = 24 * 3_600_000;
/// The `Retry-After` of responses while no configuration is known yet.
const RETRY_AFTER_UNCONFIGURED: Duration = Duration::from_millis(500);
/// The `Retry-After` of responses to requests that no backend may serve.
const RETRY_AFTER_NO_BACKEND: Duration = Duration::from_secs(1);

/// The protocol spoken with clients.
pub struct ProxyClientProtocol {
    /// The decision modules.
    pub dispatchers: Rc<RefCell<Dispatchers>>,
    /// The current routing table.
    pub routing_table: Rc<RefCell<Rc<RoutingTable>>>,
    /// The idle timeout that clients are told, in seconds; 0 where they are told none.
    pub advertised_idle_s: Rc<Cell<u64>>,
    /// The log of requests that are not served.
    pub unserved: Rc<RefCell<UnservedLog>>,
    /// Mirrors requests to trial services.
    pub mirror: SharedMirror,
    /// The clock that the decision modules use, too.
    pub clock: Clock,
}

/// The data that is kept with a request until its answer.
#[derive(Default)]
struct DecodedContext {
    route_and_tenant: RouteAndTenant,
    /// The rules by which the request is to be mirrored; emptied when the request is accepted.
    mirror_rules: Vec<SelectedRule>,
    /// The recorders of the copies that were sent.
    answer_recorders: Vec<RealAnswerRecorder>,
}

/// The fields of a request's head that the proxy evaluates.
struct RequestHead<'a> {
    id: &'a str,
    host: &'a str,
    api_key: Option<&'a str>,
    deadline_ms: u64,
}

impl<'a> RequestHead<'a> {
    /// Parses a request's head; returns `None` if the head violates the protocol.
    fn parse(head: &'a Parts) -> Option<Self> {
        let headers = &head.headers;
        if head.uri.scheme().is_some() || head.uri.authority().is_some() {
            return None;
        }
        let id = single_header(headers, REQUEST_ID.as_str())?;
        if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES {
            return None;
        }
        let host = single_header(headers, HOST.as_str())?;
        let authorization = single_header(headers, AUTHORIZATION.as_str());
        let deadline_ms = match headers.get(&DEADLINE_MS) {
            Some(_) => single_header(headers, DEADLINE_MS.as_str())?.parse().ok()?,
            None => DEFAULT_DEADLINE_MS,
        };
        Some(RequestHead {
            id,
            host,
            api_key: authorization.and_then(|value| value.strip_prefix("Bearer ")),
            deadline_ms,
        })
    }
}

impl ProxyClientProtocol {
    /// Records a request that is not served.
    fn record_unserved(
        &self,
        id: &str,
        cause: Cause,
        none_executed: Option<&NoneExecuted>,
        route_and_tenant: &RouteAndTenant,
    ) {
        let now = self.clock.now();
        let may_have_run = none_executed.is_none();
        self.unserved
            .borrow_mut()
            .add(id, cause, may_have_run, route_and_tenant, now);
        match none_executed {
            Some(proof) => log::debug!(
                "request: {id} is not served ({}), it has not run: {proof}.",
                cause.name()
            ),
            None => log::debug!(
                "request: {id} is not served ({}), it may have run.",
                cause.name()
            ),
        }
    }

    /// Records a request without a route or tenant, and returns its rejection.
    fn reject_unrouted(&self, id: &str, error: RoutingError) -> Rejection {
        let (cause, status) = match error {
            RoutingError::NoRoute => (Cause::NoRoute, StatusCode::NOT_FOUND),
            RoutingError::InvalidApiKey => (Cause::UnknownKey, StatusCode::UNAUTHORIZED),
        };
        self.record_unserved(
            id,
            cause,
            Some(&NoneExecuted::without_attempts()),
            &RouteAndTenant::default(),
        );
        empty_rejection(status)
    }

    /// Chooses the service and the decision module for a request whose route is known, and returns the request in the
    /// form that the module takes. Returns a rejection where no backend may serve the request.
    fn decode_routed(
        &self,
        invocation_id: InvocationId,
        head: &RequestHead,
        headers: &HeaderMap,
        route: &Rc<Route>,
        tenant: Option<&Rc<Tenant>>,
    ) -> Result<DecodedRequest, Rejection> {
        let service = RoutingTable::choose_service(route, rand::rng().random()).to_owned();
        let route_and_tenant = RouteAndTenant {
            route: Some(route.clone()),
            split_service: (route.services.len() > 1).then(|| service.as_str().into()),
            tenant: tenant.cloned(),
        };
        let tenant_name = tenant.map_or("", |tenant| &tenant.name);
        let home_regions = RoutingTable::home_regions(route, tenant.map(|tenant| &**tenant));
        let key = head.api_key.unwrap_or_default();
        let mirror_rules = self.mirror.select(&service, route.kind, tenant_name, key);
        let mut dispatchers = self.dispatchers.borrow_mut();
        let Some(target) = dispatchers.dispatch(route, service, &home_regions) else {
            // The home regions of route and tenant have no region in common, or the service has no backends.
            let unsent = NoneExecuted::without_attempts();
            self.record_unserved(head.id, Cause::NoBackend, Some(&unsent), &route_and_tenant);
            return Err(retry_later(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(RETRY_AFTER_NO_BACKEND),
            )
            .into());
        };
        let DispatchTarget { events, operation } = target;
        let invocation = Invocation {
            id: invocation_id,
            operation,
            plan: tenant.map_or(NO_PLAN, |tenant| dispatchers.plan(&tenant.name)),
            customer: CustomerId(tenant_name.into()),
            units: 1.0,
            first_gateway: GatewayId(0),
            gateway_count: 1,
            ..Invocation::default()
        };
        let context = DecodedContext {
            route_and_tenant,
            mirror_rules,
            answer_recorders: vec![],
        };
        let time_left = Duration::from_millis(head.deadline_ms.min(route.timeout_ms));
        Ok(DecodedRequest {
            invocation,
            repeatable: Repeatable::from_repeat_mode(repeatability(route.kind)),
            name: head.id.to_owned(),
            context: Some(Box::new(context) as Box<dyn Any>),
            time_left,
            answer_limit: Some(time_left),
            headers: forwarded_headers(headers, tenant.map(|tenant| &**tenant)),
            dispatcher: events,
        })
    }
}

/// Returns the headers of a request that are forwarded to a backend. The tenant header is always set by the proxy, and
/// any that a client sent is removed.
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

/// Returns the data that [`ProxyClientProtocol`] keeps with a request.
fn decoded_context(context: &mut RequestContext) -> Option<&mut DecodedContext> {
    context.as_mut()?.downcast_mut()
}

impl ClientProtocol for ProxyClientProtocol {
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
        let request =
            RequestHead::parse(head).ok_or_else(|| empty_rejection(StatusCode::BAD_REQUEST))?;
        if !table.is_configured() {
            // Without a configuration, 503 makes the client retry; 404 would state that the route does not exist.
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(retry_later(status, Some(RETRY_AFTER_UNCONFIGURED)).into());
        }
        let key = request.api_key.map(str::trim);
        let RouteMatch { route, tenant } = table
            .find(request.host, head.uri.path(), key)
            .map_err(|error| self.reject_unrouted(request.id, error))?;
        self.decode_routed(invocation_id, &request, &head.headers, route, tenant)
    }

    fn request_accepted(&self, request: &ForwardedRequest, context: &mut RequestContext) {
        let Some(context) = decoded_context(context) else {
            return;
        };
        let route = context
            .route_and_tenant
            .route
            .as_ref()
            .filter(|_| !context.mirror_rules.is_empty());
        if let Some(route) = route {
            let home_regions =
                RoutingTable::home_regions(route, context.route_and_tenant.tenant.as_deref());
            let dispatchers = self.dispatchers.borrow();
            let is_real = |address| dispatchers.is_backend_address(address);
            let mirror_rules = std::mem::take(&mut context.mirror_rules);
            context.answer_recorders =
                self.mirror
                    .mirror_request(mirror_rules, request, &home_regions, &is_real);
        }
    }

    fn encode(&self, name: &str, context: RequestContext, answer: Answer) -> ClientResponse {
        let context = context.and_then(|context| context.downcast::<DecodedContext>().ok());
        let DecodedContext {
            route_and_tenant,
            answer_recorders,
            ..
        } = context.map(|context| *context).unwrap_or_default();
        match &answer {
            Answer::Throttled {
                reason,
                none_executed,
                ..
            } => {
                self.record_unserved(
                    name,
                    Cause::rejected(*reason),
                    none_executed.as_ref(),
                    &route_and_tenant,
                );
            }
            Answer::Errored => self.record_unserved(name, Cause::Failed, None, &route_and_tenant),
            Answer::Succeeded(response) if !response.status.is_success() => {
                log::debug!(
                    "request: {name} gets its backend's own status {}.",
                    response.status
                );
            }
            Answer::Succeeded(_) => {}
        }
        let mut response = response(answer);
        let now = self.clock.now();
        answer_recorders
            .iter()
            .for_each(|recorder| recorder.record(&response, now));
        let advertised_idle_s = self.advertised_idle_s.get();
        if advertised_idle_s > 0
            && let Ok(value) = HeaderValue::from_str(&format!("timeout={advertised_idle_s}"))
        {
            response.headers_mut().insert(&KEEP_ALIVE, value);
        }
        response
    }
}

/// Returns the response to a client. A status of 429 or 503 guarantees that the request has not run and never will.
fn response(answer: Answer) -> ClientResponse {
    match answer {
        Answer::Succeeded(backend_response) => {
            let mut response = Response::new(backend_response.body);
            *response.status_mut() = backend_response.status;
            *response.headers_mut() = backend_response.headers;
            response
        }
        Answer::Throttled {
            retry_after,
            reason: RejectReason::Quota | RejectReason::WindowFull,
            none_executed: Some(_),
        } => retry_later(StatusCode::TOO_MANY_REQUESTS, retry_after),
        Answer::Throttled {
            retry_after,
            none_executed: Some(_),
            ..
        } => retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_after),
        Answer::Throttled {
            none_executed: None,
            reason: RejectReason::DeadlineReached,
            ..
        } => empty_response(StatusCode::GATEWAY_TIMEOUT),
        Answer::Throttled { .. } | Answer::Errored => empty_response(StatusCode::BAD_GATEWAY),
    }
}

/// Returns whether a status promises clients that the request has not run and never will. Only the proxy can promise
/// that, as it takes the proof for all attempts.
fn promises_non_execution(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns an empty response with a `Retry-After` header, in seconds with three decimals, where a delay is given.
fn retry_later(status: StatusCode, after: Option<Duration>) -> Response<ResponseBody> {
    let mut response = empty_response(status);
    let seconds = after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::from_str(&seconds).ok()) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The protocol spoken with backends.
pub struct ProxyBackendProtocol;

impl BackendProtocol for ProxyBackendProtocol {
    fn execution_start(&self) -> ExecutionStart {
        ExecutionStart::Head
    }

    fn add_request_headers(&self, headers: &mut HeaderMap, wait: Duration, backend: &str) {
        headers.insert(&DEADLINE_MS, HeaderValue::from(wait.as_millis() as u64));
        if let Ok(id) = HeaderValue::from_str(backend) {
            headers.insert(&TARGET_INSTANCE, id);
        }
    }

    fn verdict(
        &self,
        request_headers: &HeaderMap,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Verdict {
        match headers.get(&REQUEST_ID) {
            // The answer belongs to another request.
            Some(id) if Some(id) != request_headers.get(&REQUEST_ID) => Verdict::OtherRequest,
            // An answer without an id may be the rest of an earlier answer, and proves nothing about this request.
            None => Verdict::Failed,
            Some(_) if status == StatusCode::MISDIRECTED_REQUEST => {
                Verdict::Declined(Refusal::WrongBackend)
            }
            Some(_) if headers.contains_key(&NOT_EXECUTED) => {
                Verdict::Declined(Refusal::NoCapacity)
            }
            Some(_) if status.is_success() && headers.contains_key(&RESPONSE_SEAL) => {
                Verdict::Succeeded
            }
            Some(_) => Verdict::Failed,
        }
    }

    fn may_forward(&self, verdict: Verdict, status: StatusCode, headers: &HeaderMap) -> bool {
        match verdict {
            Verdict::Succeeded => true,
            // An error status that the backend itself sent in answer to this request. An interim one answers nothing: 101
            // would make the client take the proxy's next bytes for another protocol.
            Verdict::Failed => {
                !status.is_success()
                    && !status.is_informational()
                    && !promises_non_execution(status)
                    && headers.contains_key(&REQUEST_ID)
            }
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
