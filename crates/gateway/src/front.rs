//! What the clients of the deployments in service speak: tariffs and subscribers in headers, by
//! docs/configuration.md and the platform's protocol.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{
    CustomerId, GatewayId, InvId, Invocation, OpId, PlanId, Repeat, Settings,
};
use damsonbeam_admin::Figures;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use tokio::sync::mpsc;

use crate::attempts::Repeatable;
use crate::backends::{ID, TIME_LEFT, end_to_end};
use crate::clients::{About, ClientProtocol, ClientResponse, Decoded, Rejection, plain, rejection};
use crate::log::log;
use crate::mail::{Answer, ToModule};

/// A client that says it waits longer is not believed.
const WAIT: Duration = Duration::from_secs(24 * 3600);
/// Bytes of an invocation's name at most.
const NAME: usize = 64;

/// How an operation is asked for.
struct Operation {
    op: OpId,
    repeat: Repeat,
    integration_timeout: Duration,
}

/// What requests are decoded by: the settings' names and bounds.
struct Fields {
    operations: HashMap<Arc<str>, Operation>,
    plans: HashMap<Arc<str>, PlanId>,
    most_units: f64,
    gateways: u32,
}

impl Fields {
    fn new(settings: &Settings) -> Self {
        let operation = |op: &OpId| {
            let o = &settings.operations[op.0];
            let (repeat, integration_timeout) = (o.repeat, o.integration_timeout);
            (
                o.name.clone(),
                Operation {
                    op: *op,
                    repeat,
                    integration_timeout,
                },
            )
        };
        Fields {
            operations: settings.in_force.operations.iter().map(operation).collect(),
            plans: settings
                .in_force
                .plans
                .iter()
                .map(|p| (settings.plans[p.0].name.clone(), *p))
                .collect(),
            most_units: if settings.most_units > 0.0 {
                settings.most_units
            } else {
                f64::MAX
            },
            gateways: settings.gateways,
        }
    }
}

/// The protocol, by the settings in force.
pub struct PlatformRequests {
    fields: RefCell<Rc<Fields>>,
    figures: Figures,
    module: mpsc::Sender<ToModule>,
}

impl PlatformRequests {
    pub fn new(settings: &Settings, figures: &Figures, module: mpsc::Sender<ToModule>) -> Self {
        settings
            .operations
            .iter()
            .for_each(|o| figures.name(&o.name));
        PlatformRequests {
            fields: RefCell::new(Rc::new(Fields::new(settings))),
            figures: figures.clone(),
            module,
        }
    }

    /// New settings: requests are decoded by them from now on. The module must have them first.
    pub fn settle(&self, settings: &Settings) {
        settings
            .operations
            .iter()
            .for_each(|o| self.figures.name(&o.name));
        *self.fields.borrow_mut() = Rc::new(Fields::new(settings));
    }

    /// What a request says, if all of it can be used.
    fn read(
        &self,
        inv: InvId,
        method: &Method,
        uri: &hyper::Uri,
        headers: &HeaderMap,
    ) -> Option<Decoded> {
        let plain = uri.scheme().is_none() && uri.authority().is_none();
        let operation = uri
            .path()
            .strip_prefix('/')
            .filter(|_| plain)?
            .split('/')
            .next()?;
        let fields = self.fields.borrow().clone();
        let asked = fields.operations.get(operation)?;
        if (asked.repeat == Repeat::Idempotent) != (method == Method::GET)
            || matches!(*method, Method::HEAD | Method::CONNECT)
        {
            return None;
        }
        let plan = one(headers, "x-tariff")?;
        let plan = *fields.plans.get(plan)?;
        let name = one(headers, ID.as_str())?;
        let customer = one(headers, "x-subscriber")?;
        let hex = customer.len() == 16 && customer.bytes().all(|b| b.is_ascii_hexdigit());
        let known = hex && u64::from_str_radix(customer, 16).is_ok_and(|c| c < 1 << 33);
        let left = Duration::from_millis(number(one(headers, TIME_LEFT.as_str())?)?);
        let (mut units, mut spread, mut first) = (None, None, None);
        for field in one(headers, "x-weight")?.split(',') {
            let (name, value) = field.trim().split_once('=')?;
            // Said twice, another may read it the other way.
            let again = match name {
                "units" => units.replace(number::<f64>(value)?).is_some(),
                "spread" => spread.replace(number::<u32>(value)?).is_some(),
                "first" => first.replace(number::<u32>(value)?).is_some(),
                _ => false,
            };
            if again {
                return None;
            }
        }
        let (units, spread, first) = (units?, spread?, first?);
        let set = (1..=fields.gateways).contains(&spread) && first < fields.gateways;
        let named = (1..=NAME).contains(&name.len());
        if !(known && set && named && units > 0.0 && units <= fields.most_units && left <= WAIT) {
            return None;
        }
        let told = Invocation {
            inv,
            deadline: Duration::ZERO,
            op: asked.op,
            plan,
            customer: CustomerId(customer.to_ascii_lowercase().into()),
            units,
            first_gateway: GatewayId(first),
            spread,
            write: false,
            repeat: one(headers, "x-repeat") == Some("1"),
            coming: false,
        };
        // No client waits longer than its operation's time, whatever it says.
        let (name, left) = (name.to_owned(), left.min(asked.integration_timeout));
        let mut headers = headers.clone();
        end_to_end(&mut headers, &name);
        let repeatable = Repeatable::by(asked.repeat);
        Some(Decoded {
            told,
            repeatable,
            name,
            about: None,
            left,
            headers,
            to: self.module.clone(),
        })
    }
}

impl ClientProtocol for PlatformRequests {
    fn asks_up(&self, uri: &hyper::Uri) -> bool {
        uri.path() == "/up"
    }

    fn named(&self, uri: &hyper::Uri) -> Option<Arc<str>> {
        let name = uri.path().strip_prefix('/')?.split('/').next()?;
        Some(
            self.fields
                .borrow()
                .operations
                .get_key_value(name)?
                .0
                .clone(),
        )
    }

    fn decode(&self, inv: InvId, head: &Parts) -> Result<Decoded, Rejection> {
        self.read(inv, &head.method, &head.uri, &head.headers)
            .ok_or_else(|| {
                log!(warn, "invocation-malformed", "{} {}", head.method, head.uri);
                rejection(StatusCode::BAD_REQUEST)
            })
    }

    fn encode(&self, _: &str, _: About, answer: Answer) -> ClientResponse {
        match answer {
            Answer::Succeeded(reply) => {
                let mut answer = Response::new(reply.body);
                *answer.status_mut() = reply.status;
                *answer.headers_mut() = reply.headers;
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
pub fn one<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut all = headers.get_all(name).iter();
    let value = all.next()?.to_str().ok()?.trim();
    all.next().is_none().then_some(value)
}

/// Plain decimal: no sign, no exponent, no `inf`.
fn number<T: FromStr>(text: &str) -> Option<T> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|_| plain)
}
