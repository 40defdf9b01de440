//! Rules that mirror a share of live requests to trial services. The rules are configuration items, but are set through
//! a separate call, because the calls that change the configuration have no list for them.

use std::net::{SocketAddr, SocketAddrV4};

use simd_json::prelude::*;

use super::{InvalidConfig, Item, RouteKind};
use crate::json::Value;

/// An instance of a trial service. The address is private and only available from [`TrialInstance::address`], so that
/// ordinary requests are never sent to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialInstance {
    /// The id of the instance, sent with each mirrored request.
    pub id: String,
    /// The region of the instance.
    pub region: String,
    address: SocketAddrV4,
}

impl TrialInstance {
    /// Returns the address for mirrored requests, or `None` if a backend currently has the same address.
    pub fn address(&self, is_backend_address: impl Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        let address = SocketAddr::V4(self.address);
        (!is_backend_address(address)).then_some(address)
    }
}

/// The key by which requests are selected: either all requests with the same key are mirrored, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionKey {
    /// The tenant.
    Tenant,
    /// The API key in the request.
    ApiKey,
}

/// A mirror rule as proxies use it.
#[derive(Clone, Debug, PartialEq)]
pub struct MirrorRule {
    /// The name of the rule; unique among rules.
    pub name: String,
    /// The version that the caller gave to the rule.
    pub version: u64,
    /// The service whose requests are mirrored.
    pub service: String,
    /// The service that receives the mirrored requests.
    pub trial_service: String,
    /// The share of tenants or callers selected, from 0 to 1.
    pub share: f64,
    /// The key by which requests are selected.
    pub selection_key: SelectionKey,
    /// The time from which the rule is in force, by the coordinator's clock in milliseconds; 0 means immediately.
    pub from_ms: u64,
    /// The time until which the rule is in force, by the coordinator's clock in milliseconds; 0 means until removed.
    pub until_ms: u64,
    /// The maximum rate of mirrored requests, in requests per second over all proxies.
    pub requests_per_s: f64,
    /// The maximum rate of mirrored data, in bytes per second over all proxies.
    pub bytes_per_s: f64,
    /// The kinds of routes whose requests are mirrored.
    pub route_kinds: Vec<RouteKind>,
    /// The instances that receive mirrored requests.
    pub instances: Vec<TrialInstance>,
}

impl TryFrom<&Item> for MirrorRule {
    type Error = InvalidConfig;

    fn try_from(item: &Item) -> Result<Self, InvalidConfig> {
        let fields = RuleFields {
            name: &item.key.name,
            value: item.json()?,
        };
        let share = fields.number_or("share", -1.0)?;
        if !(0.0..=1.0).contains(&share) {
            return Err(fields.invalid("share", "not from 0 to 1"));
        }
        let selection_key = fields.selection_key()?;
        let route_kinds = fields.route_kinds()?;
        let instances = fields.instances()?;
        let from_ms = fields.number_or("from_ms", 0.0)? as u64;
        let until_ms = fields.number_or("until_ms", 0.0)? as u64;
        if until_ms > 0 && until_ms <= from_ms {
            return Err(fields.invalid("until_ms", "not after from_ms"));
        }
        Ok(MirrorRule {
            name: item.key.name.clone(),
            version: item.version,
            service: fields.string("service")?,
            trial_service: fields.string("trial_service")?,
            share,
            selection_key,
            from_ms,
            until_ms,
            requests_per_s: fields.number_or("requests_per_s", 0.0)?,
            bytes_per_s: fields.number_or("bytes_per_s", 0.0)?,
            route_kinds,
            instances: instances
                .iter()
                .map(|instance| fields.instance(instance))
                .collect::<Result<_, _>>()?,
        })
    }
}

/// Reads the fields of a rule. In contrast to `FieldReader`, a string must not be empty, and null is not accepted as a
/// missing number.
struct RuleFields<'a> {
    name: &'a str,
    value: Value,
}

impl RuleFields<'_> {
    fn invalid(&self, field: &str, reason: &str) -> InvalidConfig {
        InvalidConfig::item(self.name, format!("{field}: {reason}"))
    }

    fn string(&self, field: &str) -> Result<String, InvalidConfig> {
        let string = self.value.get(field).and_then(|value| value.as_str());
        let string = string.filter(|string| !string.is_empty());
        let string =
            string.ok_or_else(|| self.invalid(field, "missing, empty, or not a string"))?;
        Ok(string.to_string())
    }

    fn number_or(&self, field: &str, default: f64) -> Result<f64, InvalidConfig> {
        let Some(value) = self.value.get(field) else {
            return Ok(default);
        };
        let number = value.cast_f64().filter(|number| *number >= 0.0);
        number.ok_or_else(|| self.invalid(field, "not a number of at least 0"))
    }

    fn selection_key(&self) -> Result<SelectionKey, InvalidConfig> {
        match self.value.get("by").and_then(|by| by.as_str()) {
            None | Some("tenant") => Ok(SelectionKey::Tenant),
            Some("caller") => Ok(SelectionKey::ApiKey),
            Some(other) => {
                Err(self.invalid("by", &format!("`{other}` is neither `tenant` nor `caller`")))
            }
        }
    }

    /// Returns the kinds of routes, by default only read-only ones. Other kinds are allowed only if the trial service
    /// keeps its records separate from those of the service.
    fn route_kinds(&self) -> Result<Vec<RouteKind>, InvalidConfig> {
        let kinds = match self.value.get("kinds") {
            None => vec![RouteKind::ReadOnly],
            Some(kinds) => {
                let kinds = kinds
                    .as_array()
                    .ok_or_else(|| self.invalid("kinds", "not a list"))?;
                kinds
                    .iter()
                    .map(|kind| self.route_kind(kind))
                    .collect::<Result<_, _>>()?
            }
        };
        let records_separate = self.value.get("trial_keeps_records_apart");
        let records_separate = records_separate
            .and_then(|separate| separate.as_bool())
            .unwrap_or(false);
        if !records_separate && kinds.iter().any(|kind| *kind != RouteKind::ReadOnly) {
            let reason = "must be true for kinds that modify data: a mirrored request must not modify the same records a second time";
            return Err(self.invalid("trial_keeps_records_apart", reason));
        }
        Ok(kinds)
    }

    fn route_kind(&self, kind: &Value) -> Result<RouteKind, InvalidConfig> {
        let kind = kind.as_str().and_then(RouteKind::from_name);
        kind.ok_or_else(|| self.invalid("kinds", "not `read_only`, `mutating` or `upload`"))
    }

    fn instances(&self) -> Result<&Vec<Value>, InvalidConfig> {
        let instances = self
            .value
            .get("instances")
            .and_then(|instances| instances.as_array());
        let instances = instances.filter(|instances| !instances.is_empty());
        instances.ok_or_else(|| self.invalid("instances", "missing or empty"))
    }

    fn instance(&self, instance: &Value) -> Result<TrialInstance, InvalidConfig> {
        let string = |field: &str| {
            instance
                .get(field)
                .and_then(|value| value.as_str())
                .map(str::to_string)
        };
        let address = string("address").and_then(|address| address.parse().ok());
        match (string("id"), address, string("region")) {
            (Some(id), Some(address), Some(region)) => Ok(TrialInstance {
                id,
                region,
                address,
            }),
            _ => Err(self.invalid("instances", "each needs `id`, `address` and `region`")),
        }
    }
}
