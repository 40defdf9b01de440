//! Protocol of the clients in the deployments in service: tariff and subscriber are sent in headers, as described in
//! docs/configuration.md and the protocol of the platform.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{
    CustomerId, GatewayId, Invocation, InvocationId, OperationId, PlanId, RepeatMode, Settings,
};
use damsonbeam_admin::Metrics;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use tokio::sync::mpsc;

use crate::attempts::Repeatable;
use crate::backends::{CORRELATION_ID, TIME_LEFT, keep_end_to_end};
use crate::clients::{
    ClientProtocol, ClientResponse, DecodedRequest, Rejection, RequestContext, empty_rejection,
    empty_response,
};
use crate::log::log;
use crate::messages::{Answer, ToDispatcher};

/// Longest accepted time limit of a client; a request with a longer one is rejected.
const MAX_TIME_LEFT: Duration = Duration::from_secs(24 * 3600);
/// Maximum length of an invocation name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// An operation as needed to decode its requests.
struct Operation {
    operation: OperationId,
    repeat: RepeatMode,
    integration_timeout: Duration,
}

/// Names and limits from the settings, prepared for decoding requests.
struct DecodingTables {
    operations: HashMap<Arc<str>, Operation>,
    plans: HashMap<Arc<str>, PlanId>,
    max_units: f64,
    gateway_count: u32,
}

impl DecodingTables {
    fn new(settings: &Settings) -> Self {
        let entry = |id: &OperationId| {
            let operation = &settings.operations[id.0];
            let (repeat, integration_timeout) = (operation.repeat, operation.integration_timeout);
            (
                operation.name.clone(),
                Operation {
                    operation: *id,
                    repeat,
                    integration_timeout,
                },
            )
        };
        DecodingTables {
            operations: settings.in_force.operations.iter().map(entry).collect(),
            plans: settings
                .in_force
                .plans
                .iter()
                .map(|plan| (settings.plans[plan.0].name.clone(), *plan))
                .collect(),
            max_units: if settings.max_units > 0.0 {
                settings.max_units
            } else {
                f64::MAX
            },
            gateway_count: settings.gateways,
        }
    }
}

/// The client protocol with the current settings.
pub struct PlatformProtocol {
    tables: RefCell<Rc<DecodingTables>>,
    metrics: Metrics,
    dispatcher: mpsc::Sender<ToDispatcher>,
}

impl PlatformProtocol {
    /// Creates the protocol with these settings; requests are sent to `dispatcher`.
    pub fn new(
        settings: &Settings,
        metrics: &Metrics,
        dispatcher: mpsc::Sender<ToDispatcher>,
    ) -> Self {
        settings
            .operations
            .iter()
            .for_each(|operation| metrics.register_operation(&operation.name));
        PlatformProtocol {
            tables: RefCell::new(Rc::new(DecodingTables::new(settings))),
            metrics: metrics.clone(),
            dispatcher,
        }
    }

    /// Decodes requests by new settings from now on. The dispatcher must have received these settings before.
    pub fn set_settings(&self, settings: &Settings) {
        settings
            .operations
            .iter()
            .for_each(|operation| self.metrics.register_operation(&operation.name));
        *self.tables.borrow_mut() = Rc::new(DecodingTables::new(settings));
    }

    /// Decodes a request; returns `None` if any part of it is invalid.
    fn decode_request(
        &self,
        id: InvocationId,
        method: &Method,
        uri: &hyper::Uri,
        headers: &HeaderMap,
    ) -> Option<DecodedRequest> {
        let tables = self.tables.borrow().clone();
        let operation = tables.operation(method, uri)?;
        let plan = *tables.plans.get(single_header(headers, "x-tariff")?)?;
        let name = single_header(headers, CORRELATION_ID.as_str())?;
        let customer = customer_id(single_header(headers, "x-subscriber")?)?;
        let time_left_ms = single_header(headers, TIME_LEFT.as_str())?;
        let time_left = Duration::from_millis(parse_plain_number(time_left_ms)?);
        let weight = Weight::parse(single_header(headers, "x-weight")?)?;
        let is_name_valid = (1..=MAX_NAME_BYTES).contains(&name.len());
        if !is_name_valid || !tables.allows(&weight) || time_left > MAX_TIME_LEFT {
            return None;
        }
        let invocation = Invocation {
            id,
            deadline: Duration::ZERO,
            operation: operation.operation,
            plan,
            customer,
            units: weight.units,
            first_gateway: GatewayId(weight.first),
            gateway_count: weight.spread,
            is_mutating: false,
            is_retry: single_header(headers, "x-repeat") == Some("1"),
            body_pending: false,
        };
        let mut forwarded = headers.clone();
        keep_end_to_end(&mut forwarded, name);
        Some(DecodedRequest {
            invocation,
            repeatable: Repeatable::from_repeat_mode(operation.repeat),
            name: name.to_owned(),
            context: None,
            // The timeout of the operation limits the time that the client states.
            time_left: time_left.min(operation.integration_timeout),
            answer_limit: None,
            headers: forwarded,
            dispatcher: self.dispatcher.clone(),
        })
    }
}

impl DecodingTables {
    /// Returns the requested operation if the method is allowed for it.
    fn operation(&self, method: &Method, uri: &hyper::Uri) -> Option<&Operation> {
        if uri.scheme().is_some() || uri.authority().is_some() {
            return None;
        }
        let name = uri.path().strip_prefix('/')?.split('/').next()?;
        let operation = self.operations.get(name)?;
        let is_read = operation.repeat == RepeatMode::Idempotent;
        let is_allowed = !matches!(*method, Method::HEAD | Method::CONNECT);
        (is_allowed && is_read == (method == Method::GET)).then_some(operation)
    }

    /// Returns whether a weight is within the limits of the settings.
    fn allows(&self, weight: &Weight) -> bool {
        let is_range_valid =
            (1..=self.gateway_count).contains(&weight.spread) && weight.first < self.gateway_count;
        is_range_valid && weight.units > 0.0 && weight.units <= self.max_units
    }
}

/// Content of the `x-weight` header.
struct Weight {
    units: f64,
    /// Number of gateways that receive the invocations of the customer.
    spread: u32,
    /// First of these gateways.
    first: u32,
}

impl Weight {
    fn parse(text: &str) -> Option<Self> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for field in text.split(',') {
            let (name, value) = field.trim().split_once('=')?;
            // A repeated field is rejected, because another reader of the header may use the other value.
            let is_repeated = match name {
                "units" => units.replace(parse_plain_number(value)?).is_some(),
                "spread" => spread.replace(parse_plain_number(value)?).is_some(),
                "first" => first.replace(parse_plain_number(value)?).is_some(),
                _ => false,
            };
            if is_repeated {
                return None;
            }
        }
        Some(Weight {
            units: units?,
            spread: spread?,
            first: first?,
        })
    }
}

/// Parses a customer id: 16 hexadecimal digits with a value below 2^33.
fn customer_id(text: &str) -> Option<CustomerId> {
    const DIGITS: usize = 16;
    const LIMIT: u64 = 1 << 33;
    let is_hex = text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok()?;
    let is_valid = is_hex && number < LIMIT;
    is_valid.then(|| CustomerId(text.to_ascii_lowercase().into()))
}

impl ClientProtocol for PlatformProtocol {
    fn is_readiness_check(&self, uri: &hyper::Uri) -> bool {
        uri.path() == "/up"
    }

    fn operation_name(&self, uri: &hyper::Uri) -> Option<Arc<str>> {
        let name = uri.path().strip_prefix('/')?.split('/').next()?;
        Some(
            self.tables
                .borrow()
                .operations
                .get_key_value(name)?
                .0
                .clone(),
        )
    }

    fn decode(
        &self,
        invocation_id: InvocationId,
        head: &Parts,
    ) -> Result<DecodedRequest, Rejection> {
        self.decode_request(invocation_id, &head.method, &head.uri, &head.headers)
            .ok_or_else(|| {
                log!(warn, "invocation-malformed", "{} {}", head.method, head.uri);
                empty_rejection(StatusCode::BAD_REQUEST)
            })
    }

    fn encode(&self, _: &str, _: RequestContext, answer: Answer) -> ClientResponse {
        match answer {
            Answer::Succeeded(response) => {
                let mut answer = Response::new(response.body);
                *answer.status_mut() = response.status;
                *answer.headers_mut() = response.headers;
                answer
            }
            Answer::Throttled { retry_after, .. } => {
                let mut answer = empty_response(StatusCode::TOO_MANY_REQUESTS);
                if let Some(after) = retry_after
                    && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
                {
                    answer.headers_mut().insert(RETRY_AFTER, value);
                }
                answer
            }
            Answer::Errored => empty_response(StatusCode::BAD_GATEWAY),
        }
    }
}

/// Returns the value of a header that is present exactly once. A repeated header is rejected, because another reader of
/// the request may use the other value.
pub fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut all = headers.get_all(name).iter();
    let value = all.next()?.to_str().ok()?.trim();
    all.next().is_none().then_some(value)
}

/// Parses a plain decimal number: without sign, exponent or `inf`.
fn parse_plain_number<T: FromStr>(text: &str) -> Option<T> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| is_plain)
}
