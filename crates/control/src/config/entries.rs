//! Routes, tenants, services and limits, parsed from the JSON text of their items. A removed item has no text, so
//! parsing it is an error: callers pass only items that are not removed.

use simd_json::prelude::*;

use super::fields::FieldReader;
use super::{InvalidConfig, Item};
use crate::json::Value;

/// A latency target that exceeds the timeout by this many milliseconds or more is rejected as a mistake; a smaller
/// excess is allowed.
const MAX_TARGET_ABOVE_TIMEOUT_MS: u64 = 60_000;

/// The kind of a route: whether its requests modify data, and whether they may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteKind {
    /// Requests that modify nothing and may be executed more than once.
    ReadOnly,
    /// Requests that modify data and are executed at most once.
    Mutating,
    /// Requests with long bodies that are executed at most once.
    Upload,
}

impl RouteKind {
    pub(super) fn from_name(name: &str) -> Option<Self> {
        match name {
            "read_only" => Some(RouteKind::ReadOnly),
            "mutating" => Some(RouteKind::Mutating),
            "upload" => Some(RouteKind::Upload),
            _ => None,
        }
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The name of the service.
    pub service: String,
    /// The service's share of the requests is its weight divided by the sum of all weights.
    pub weight: f64,
}

/// A route as proxies use it.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route; unique among routes.
    pub name: String,
    /// The version that the operator gave to the item.
    pub version: u64,
    /// The host name of the route's requests, in lower case.
    pub host: String,
    /// The path prefix of the route's requests; starts and ends with a slash.
    pub prefix: String,
    /// The kind of the route.
    pub kind: RouteKind,
    /// The time in milliseconds after which a request without a response has failed.
    pub timeout_ms: u64,
    /// The time in milliseconds within which a request should get its response.
    pub latency_target_ms: u64,
    /// The priority of the route's requests; a higher number is more urgent.
    pub priority: i64,
    /// The services that the requests are split between.
    pub services: Vec<WeightedService>,
    /// The maximum number of attempts of a request, over all proxies.
    pub max_attempts: u32,
    /// Whether requests are accepted without a tenant's API key.
    pub public_access: bool,
    /// The regions whose backends may serve the route; empty means all regions.
    pub serving_regions: Vec<String>,
}

impl TryFrom<&Item> for Route {
    type Error = InvalidConfig;

    fn try_from(item: &Item) -> Result<Self, InvalidConfig> {
        let fields = FieldReader::new(item)?;
        let kind = fields.string("route_type")?;
        let kind = RouteKind::from_name(&kind)
            .ok_or_else(|| fields.invalid("route_type", &format!("unknown kind `{kind}`")))?;
        let services = weighted_services(&fields)?;
        let (timeout_ms, latency_target_ms) = timeout_and_latency_target(&fields)?;
        let prefix = fields.string("path_prefix")?;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return Err(fields.invalid("path_prefix", "must start and end with a slash"));
        }
        let priority = fields
            .get("priority")
            .and_then(|priority| priority.as_i64());
        Ok(Route {
            name: item.key.name.clone(),
            version: item.version,
            host: fields.string("host_name")?.to_ascii_lowercase(),
            prefix,
            kind,
            timeout_ms,
            latency_target_ms,
            priority: priority.unwrap_or(0),
            services,
            max_attempts: fields.number_or_zero("max_attempts")? as u32,
            public_access: fields.is_true("public_access"),
            serving_regions: fields.strings("serving_regions")?,
        })
    }
}

/// Returns the services of `traffic_split`, or the single `target_service` with weight 1.
fn weighted_services(fields: &FieldReader) -> Result<Vec<WeightedService>, InvalidConfig> {
    let services = match fields.optional("traffic_split") {
        Some(split) => {
            let parts = split.as_array();
            let parts = parts.ok_or_else(|| fields.invalid("traffic_split", "not a list"))?;
            let services: Option<Vec<WeightedService>> =
                parts.iter().map(weighted_service).collect();
            services.ok_or_else(|| {
                fields.invalid("traffic_split", "a part lacks `target_service` or `weight`")
            })?
        }
        None => vec![WeightedService {
            service: fields.string("target_service")?,
            weight: 1.0,
        }],
    };
    if services.iter().map(|target| target.weight).sum::<f64>() <= 0.0 {
        return Err(fields.invalid("traffic_split", "all weights are 0"));
    }
    Ok(services)
}

fn weighted_service(part: &Value) -> Option<WeightedService> {
    let weight = part
        .get("weight")?
        .cast_f64()
        .filter(|weight| *weight >= 0.0)?;
    let service = part.get("target_service")?.as_str()?.to_string();
    Some(WeightedService { service, weight })
}

/// Returns the timeout and the latency target, in milliseconds.
fn timeout_and_latency_target(fields: &FieldReader) -> Result<(u64, u64), InvalidConfig> {
    let timeout_ms = fields.whole_number("timeout_ms")?;
    let latency_target_ms = fields.whole_number("target_latency_ms")?;
    if timeout_ms == 0 {
        return Err(fields.invalid("timeout_ms", "is 0"));
    }
    if latency_target_ms >= timeout_ms + MAX_TARGET_ABOVE_TIMEOUT_MS {
        let reason = "is a minute or more above timeout_ms";
        return Err(fields.invalid("target_latency_ms", reason));
    }
    Ok((timeout_ms, latency_target_ms))
}

/// A tenant as proxies use it.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name of the tenant; unique among tenants.
    pub name: String,
    /// The version that the operator gave to the item.
    pub version: u64,
    /// The API keys that identify the tenant's requests.
    pub api_keys: Vec<String>,
    /// The tenant's quota in requests per second, over all proxies; 0 means no quota.
    pub rate_per_s: f64,
    /// The number of requests that the tenant may send at once; 0 means the quota of one second.
    pub burst: f64,
    /// The regions whose backends may serve the tenant; empty means all regions.
    pub serving_regions: Vec<String>,
}

impl TryFrom<&Item> for Tenant {
    type Error = InvalidConfig;

    fn try_from(item: &Item) -> Result<Self, InvalidConfig> {
        let fields = FieldReader::new(item)?;
        Ok(Tenant {
            name: item.key.name.clone(),
            version: item.version,
            api_keys: fields.strings("api_keys")?,
            rate_per_s: fields.number_or_zero("rate_per_s")?,
            burst: fields.number_or_zero("burst")?,
            serving_regions: fields.strings("serving_regions")?,
        })
    }
}

/// A service as proxies use it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name of the service; unique among services.
    pub name: String,
    /// The rate in requests per second that a backend accepts from all proxies together while it warms up; 0 means
    /// unknown.
    pub warm_up_rate_per_s: f64,
    /// The number of connections that a backend accepts from all proxies together; 0 means no limit.
    pub max_connections: f64,
}

impl TryFrom<&Item> for Service {
    type Error = InvalidConfig;

    fn try_from(item: &Item) -> Result<Self, InvalidConfig> {
        let fields = FieldReader::new(item)?;
        Ok(Service {
            name: item.key.name.clone(),
            warm_up_rate_per_s: fields.number_or_zero("cold_rate_s")?,
            max_connections: fields.number_or_zero("max_connections")?,
        })
    }
}

/// Limits on what clients may send, and timeouts of their connections.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionLimits {
    /// The largest size of a request body, in bytes; `None` if the limits state none.
    pub body_bytes: Option<u64>,
    /// The time in milliseconds within which the head of a request must be complete.
    pub header_timeout_ms: u64,
    /// The time in milliseconds after which a connection without requests is closed.
    pub idle_timeout_ms: u64,
}

impl TryFrom<&Item> for ConnectionLimits {
    type Error = InvalidConfig;

    fn try_from(item: &Item) -> Result<Self, InvalidConfig> {
        let fields = FieldReader::new(item)?;
        let body_bytes = fields.number_or_zero("body_bytes")? as u64;
        Ok(ConnectionLimits {
            body_bytes: Some(body_bytes).filter(|bytes| *bytes > 0),
            header_timeout_ms: fields.whole_number("header_timeout_ms")?,
            idle_timeout_ms: fields.whole_number("idle_timeout_ms")?,
        })
    }
}
