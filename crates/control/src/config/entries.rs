//! What routes, tenants, services and limits mean, read from their items. A removed item reads as an empty text, which
//! is an error: callers read items that are present.

use simd_json::prelude::*;

use super::fields::FieldReader;
use super::{InvalidConfig, Item};
use crate::json::Value;

/// The latency target may be above the timeout, though not by this or more: that is taken for a mistake.
const MAX_TARGET_ABOVE_TIMEOUT_MS: u64 = 60_000;

/// What the requests on a route do at their backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteKind {
    /// They change nothing, and may run more than once.
    ReadOnly,
    /// They change something, and run once at most.
    Mutating,
    /// They carry long bodies, and run once at most.
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

/// A service that a part of a route's requests goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its part of the requests is its weight over the sum of all weights.
    pub weight: f64,
}

/// A route as proxies use it.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique among routes.
    pub name: String,
    /// The operator's version.
    pub version: u64,
    /// The host of its requests, in lower case.
    pub host: String,
    /// The path prefix of its requests; begins and ends with a slash.
    pub prefix: String,
    /// What its requests do.
    pub kind: RouteKind,
    /// A request that is not answered within this, in milliseconds, has failed.
    pub timeout_ms: u64,
    /// The time in milliseconds within which a request should be answered.
    pub latency_target_ms: u64,
    /// Higher is more urgent.
    pub priority: i64,
    /// Services and their weights.
    pub services: Vec<WeightedService>,
    /// Attempts of a request at most, over all proxies.
    pub max_attempts: u32,
    /// Whether requests need no tenant's key.
    pub public_access: bool,
    /// Regions whose backends may serve the route; empty: all.
    pub home_regions: Vec<String>,
}

impl TryFrom<&Item> for Route {
    type Error = InvalidConfig;

    fn try_from(item: &Item) -> Result<Self, InvalidConfig> {
        let fields = FieldReader::new(item)?;
        let kind = fields.text("route_type")?;
        let kind = RouteKind::from_name(&kind)
            .ok_or_else(|| fields.invalid("route_type", &format!("no `{kind}`")))?;
        let services = weighted_services(&fields)?;
        let (timeout_ms, latency_target_ms) = times(&fields)?;
        let prefix = fields.text("path_prefix")?;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return Err(fields.invalid("path_prefix", "must start and end with a slash"));
        }
        let priority = fields
            .get("priority")
            .and_then(|priority| priority.as_i64());
        Ok(Route {
            name: item.key.name.clone(),
            version: item.version,
            host: fields.text("host_name")?.to_ascii_lowercase(),
            prefix,
            kind,
            timeout_ms,
            latency_target_ms,
            priority: priority.unwrap_or(0),
            services,
            max_attempts: fields.number("max_attempts")? as u32,
            public_access: fields.flag("public_access"),
            home_regions: fields.texts("serving_regions")?,
        })
    }
}

/// The services of a `traffic_split`, or the one `target_service`.
fn weighted_services(fields: &FieldReader) -> Result<Vec<WeightedService>, InvalidConfig> {
    let services = match fields.optional("traffic_split") {
        Some(split) => {
            let parts = split.as_array();
            let parts = parts.ok_or_else(|| fields.invalid("traffic_split", "not a list"))?;
            let services: Option<Vec<WeightedService>> =
                parts.iter().map(weighted_service).collect();
            services.ok_or_else(|| {
                fields.invalid("traffic_split", "a service or a weight is missing")
            })?
        }
        None => vec![WeightedService {
            service: fields.text("target_service")?,
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

/// Timeout and latency target, in milliseconds.
fn times(fields: &FieldReader) -> Result<(u64, u64), InvalidConfig> {
    let timeout_ms = fields.count("timeout_ms")?;
    let latency_target_ms = fields.count("target_latency_ms")?;
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
    /// Unique among tenants.
    pub name: String,
    /// The operator's version.
    pub version: u64,
    /// Keys by which its requests are recognised.
    pub api_keys: Vec<String>,
    /// Its quota in requests a second over all proxies; 0: no quota.
    pub rate_per_s: f64,
    /// Requests that it may send at once; 0: a second's worth.
    pub burst: f64,
    /// Regions whose backends may serve it; empty: all.
    pub home_regions: Vec<String>,
}

impl TryFrom<&Item> for Tenant {
    type Error = InvalidConfig;

    fn try_from(item: &Item) -> Result<Self, InvalidConfig> {
        let fields = FieldReader::new(item)?;
        Ok(Tenant {
            name: item.key.name.clone(),
            version: item.version,
            api_keys: fields.texts("api_keys")?,
            rate_per_s: fields.number("rate_per_s")?,
            burst: fields.number("burst")?,
            home_regions: fields.texts("serving_regions")?,
        })
    }
}

/// A service as proxies use it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique among services.
    pub name: String,
    /// Requests a second that a backend takes from all proxies while it warms up; 0: not known.
    pub warm_up_rate_per_s: f64,
    /// Connections that a backend takes from all proxies; 0: no limit.
    pub max_connections: f64,
}

impl TryFrom<&Item> for Service {
    type Error = InvalidConfig;

    fn try_from(item: &Item) -> Result<Self, InvalidConfig> {
        let fields = FieldReader::new(item)?;
        Ok(Service {
            name: item.key.name.clone(),
            warm_up_rate_per_s: fields.number("cold_rate_s")?,
            max_connections: fields.number("max_connections")?,
        })
    }
}

/// Timeouts of client connections.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionLimits {
    /// A request's head that is not complete within this, in milliseconds, is none.
    pub header_timeout_ms: u64,
    /// A connection without requests is closed after this, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl TryFrom<&Item> for ConnectionLimits {
    type Error = InvalidConfig;

    fn try_from(item: &Item) -> Result<Self, InvalidConfig> {
        let fields = FieldReader::new(item)?;
        Ok(ConnectionLimits {
            header_timeout_ms: fields.count("header_timeout_ms")?,
            idle_timeout_ms: fields.count("idle_timeout_ms")?,
        })
    }
}
