//! What the clients of the deployments in service speak: tariffs and subscribers in headers, by
//! docs/configuration.md and the platform's protocol.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{
    CustomerId, GatewayId, Invocation, InvocationId, OperationId, PlanId, Repeat, Settings,
};
use damsonbeam_admin::Figures;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use tokio::sync::mpsc;

use crate::attempts::Repeatable;
use crate::backends::{CORRELATION_ID, TIME_LEFT, keep_end_to_end};
use crate::clients::{
    ClientProtocol, ClientResponse, DecodedRequest, Rejection, RequestContext, plain, rejection,
};
use crate::log::log;
use crate::messages::{Answer, ToDispatcher};

/// A client that says it waits longer is not believed.
const MAX_WAIT: Duration = Duration::from_secs(24 * 3600);
/// Bytes of an invocation's name at most.
const MAX_NAME_BYTES: usize = 64;

/// How an operation is asked for.
struct Operation {
    operation: OperationId,
    repeat: Repeat,
    integration_timeout: Duration,
}

/// What requests are decoded by: the settings' names and bounds.
struct DecodingTables {
    operations: HashMap<Arc<str>, Operation>,
    plans: HashMap<Arc<str>, PlanId>,
    max_units: f64,
    gateways: u32,
}

impl DecodingTables {
    fn new(settings: &Settings) -> Self {
        let operation = |id: &OperationId| {
            let o = &settings.operations[id.0];
            let (repeat, integration_timeout) = (o.repeat, o.integration_timeout);
            (
                o.name.clone(),
                Operation {
                    operation: *id,
                    repeat,
                    integration_timeout,
                },
            )
        };
        DecodingTables {
            operations: settings.in_force.operations.iter().map(operation).collect(),
            plans: settings
                .in_force
                .plans
                .iter()
                .map(|p| (settings.plans[p.0].name.clone(), *p))
                .collect(),
            max_units: if settings.max_units > 0.0 {
                settings.max_units
            } else {
                f64::MAX
            },
            gateways: settings.gateways,
        }
    }
}

/// The protocol, by the settings in force.
pub struct PlatformRequests {
    tables: RefCell<Rc<DecodingTables>>,
    figures: Figures,
    dispatcher: mpsc::Sender<ToDispatcher>,
}

impl PlatformRequests {
    /// The protocol by these settings; requests go to that dispatcher.
    pub fn new(
        settings: &Settings,
        figures: &Figures,
        dispatcher: mpsc::Sender<ToDispatcher>,
    ) -> Self {
        settings
            .operations
            .iter()
            .for_each(|o| figures.name(&o.name));
        PlatformRequests {
            tables: RefCell::new(Rc::new(DecodingTables::new(settings))),
            figures: figures.clone(),
            dispatcher,
        }
    }

    /// New settings: requests are decoded by them from now on. The module must have them first.
    pub fn set_settings(&self, settings: &Settings) {
        settings
            .operations
            .iter()
            .for_each(|o| self.figures.name(&o.name));
        *self.tables.borrow_mut() = Rc::new(DecodingTables::new(settings));
    }

    /// What a request says, if all of it can be used.
    fn read(
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
        let has_name = (1..=MAX_NAME_BYTES).contains(&name.len());
        if !has_name || !tables.allows(&weight) || time_left > MAX_WAIT {
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
            spread: weight.spread,
            write: false,
            repeat: single_header(headers, "x-repeat") == Some("1"),
            body_pending: false,
        };
        let mut forwarded = headers.clone();
        keep_end_to_end(&mut forwarded, name);
        Some(DecodedRequest {
            invocation,
            repeatable: Repeatable::by(operation.repeat),
            name: name.to_owned(),
            context: None,
            // No client waits longer than its operation's time, whatever it says.
            time_left: time_left.min(operation.integration_timeout),
            headers: forwarded,
            dispatcher: self.dispatcher.clone(),
        })
    }
}

impl DecodingTables {
    /// The operation that a request asks for, where its method suits.
    fn operation(&self, method: &Method, uri: &hyper::Uri) -> Option<&Operation> {
        if uri.scheme().is_some() || uri.authority().is_some() {
            return None;
        }
        let name = uri.path().strip_prefix('/')?.split('/').next()?;
        let operation = self.operations.get(name)?;
        let is_read = operation.repeat == Repeat::Idempotent;
        let is_allowed = !matches!(*method, Method::HEAD | Method::CONNECT);
        (is_allowed && is_read == (method == Method::GET)).then_some(operation)
    }

    /// Whether a weight keeps to the settings' bounds.
    fn allows(&self, weight: &Weight) -> bool {
        let has_gateways =
            (1..=self.gateways).contains(&weight.spread) && weight.first < self.gateways;
        has_gateways && weight.units > 0.0 && weight.units <= self.max_units
    }
}

/// What `x-weight` says.
struct Weight {
    units: f64,
    /// Gateways at which the customer's invocations come in, and the first of them.
    spread: u32,
    first: u32,
}

impl Weight {
    fn parse(text: &str) -> Option<Self> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for field in text.split(',') {
            let (name, value) = field.trim().split_once('=')?;
            // Said twice, another may read it the other way.
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

/// Sixteen hexadecimal digits below 2^33.
fn customer_id(text: &str) -> Option<CustomerId> {
    const DIGITS: usize = 16;
    const LIMIT: u64 = 1 << 33;
    let is_hex = text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok()?;
    let is_known = is_hex && number < LIMIT;
    is_known.then(|| CustomerId(text.to_ascii_lowercase().into()))
}

impl ClientProtocol for PlatformRequests {
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
        self.read(invocation_id, &head.method, &head.uri, &head.headers)
            .ok_or_else(|| {
                log!(warn, "invocation-malformed", "{} {}", head.method, head.uri);
                rejection(StatusCode::BAD_REQUEST)
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
            Answer::Throttled { after, .. } => {
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
}

/// A header that is there once: of two, another on the way may take the other.
pub fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut all = headers.get_all(name).iter();
    let value = all.next()?.to_str().ok()?.trim();
    all.next().is_none().then_some(value)
}

/// Plain decimal: no sign, no exponent, no `inf`.
fn parse_plain_number<T: FromStr>(text: &str) -> Option<T> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|_| plain)
}
