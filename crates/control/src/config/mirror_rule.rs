//! Rules by which a share of live requests is mirrored to trial services. They are items like the others, set through the
//! system's own interface, because the operators' calls have no field for them.

use std::net::{SocketAddr, SocketAddrV4};

use simd_json::prelude::*;

use super::{InvalidConfig, Item, RouteKind};
use crate::json::Value;

/// An instance of a trial service. Its address is private, and only [`TrialInstance::address`] gives it: no real request
/// is sent to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialInstance {
    /// The instance's name, sent with each mirrored request.
    pub id: String,
    /// The region that it stands in.
    pub region: String,
    address: SocketAddrV4,
}

impl TrialInstance {
    /// Where mirrored requests go; `None` where a real backend has that address now.
    pub fn address(&self, is_real: impl Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        let address = SocketAddr::V4(self.address);
        (!is_real(address)).then_some(address)
    }
}

/// By what requests are selected: all of one value are mirrored, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionKey {
    /// The tenant.
    Tenant,
    /// The API key that the request carries.
    Caller,
}

/// A mirror rule as proxies use it.
#[derive(Clone, Debug, PartialEq)]
pub struct MirrorRule {
    /// Unique among rules.
    pub name: String,
    /// The version by which it was set.
    pub version: u64,
    /// The service whose requests are mirrored.
    pub service: String,
    /// The service that gets the mirrored requests.
    pub trial_service: String,
    /// The part of tenants or callers selected, from 0 to 1.
    pub share: f64,
    /// By what requests are selected.
    pub select_by: SelectionKey,
    /// In force from then on, by the system's common time in milliseconds; 0: at once.
    pub from_ms: u64,
    /// In force until then, by the system's common time in milliseconds; 0: until it is removed.
    pub until_ms: u64,
    /// Mirrored requests a second at most, over all proxies.
    pub requests_per_s: f64,
    /// Bytes of mirrored requests a second at most, over all proxies.
    pub bytes_per_s: f64,
    /// The kinds of routes whose requests are mirrored.
    pub route_kinds: Vec<RouteKind>,
    /// Where mirrored requests go.
    pub instances: Vec<TrialInstance>,
}

impl TryFrom<&Item> for MirrorRule {
    type Error = InvalidConfig;

    fn try_from(item: &Item) -> Result<Self, InvalidConfig> {
        let fields = RuleFields {
            name: &item.key.name,
            value: item.json()?,
        };
        let share = fields.number("share", -1.0)?;
        if !(0.0..=1.0).contains(&share) {
            return Err(fields.invalid("share", "not from 0 to 1"));
        }
        let select_by = fields.selection_key()?;
        let route_kinds = fields.route_kinds()?;
        let instances = fields.instances()?;
        let from_ms = fields.number("from_ms", 0.0)? as u64;
        let until_ms = fields.number("until_ms", 0.0)? as u64;
        if until_ms > 0 && until_ms <= from_ms {
            return Err(fields.invalid("until_ms", "not after from_ms"));
        }
        Ok(MirrorRule {
            name: item.key.name.clone(),
            version: item.version,
            service: fields.text("service")?,
            trial_service: fields.text("trial_service")?,
            share,
            select_by,
            from_ms,
            until_ms,
            requests_per_s: fields.number("requests_per_s", 0.0)?,
            bytes_per_s: fields.number("bytes_per_s", 0.0)?,
            route_kinds,
            instances: instances
                .iter()
                .map(|i| fields.instance(i))
                .collect::<Result<_, _>>()?,
        })
    }
}

/// The fields of a rule. Unlike those of the operators' items, a text must not be empty and null is no number.
struct RuleFields<'a> {
    name: &'a str,
    value: Value,
}

impl RuleFields<'_> {
    fn invalid(&self, field: &str, reason: &str) -> InvalidConfig {
        InvalidConfig::item(self.name, format!("{field}: {reason}"))
    }

    fn text(&self, field: &str) -> Result<String, InvalidConfig> {
        let text = self.value.get(field).and_then(|value| value.as_str());
        let text = text.filter(|text| !text.is_empty());
        let text = text.ok_or_else(|| self.invalid(field, "missing, or not a text"))?;
        Ok(text.to_string())
    }

    fn number(&self, field: &str, default: f64) -> Result<f64, InvalidConfig> {
        let Some(value) = self.value.get(field) else {
            return Ok(default);
        };
        let number = value.cast_f64().filter(|number| *number >= 0.0);
        number.ok_or_else(|| self.invalid(field, "not a number from 0 on"))
    }

    fn selection_key(&self) -> Result<SelectionKey, InvalidConfig> {
        match self.value.get("by").and_then(|by| by.as_str()) {
            None | Some("tenant") => Ok(SelectionKey::Tenant),
            Some("caller") => Ok(SelectionKey::Caller),
            Some(other) => Err(self.invalid("by", &format!("no `{other}`: `tenant` or `caller`"))),
        }
    }

    /// Read-only routes where the rule names no kinds. Others need a trial service that keeps its records apart.
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
        let keeps_apart = self.value.get("trial_keeps_records_apart");
        let keeps_apart = keeps_apart
            .and_then(|apart| apart.as_bool())
            .unwrap_or(false);
        if !keeps_apart && kinds.iter().any(|kind| *kind != RouteKind::ReadOnly) {
            let reason = "kinds that change records need it to be true: a copy must register nothing a second time";
            return Err(self.invalid("trial_keeps_records_apart", reason));
        }
        Ok(kinds)
    }

    fn route_kind(&self, kind: &Value) -> Result<RouteKind, InvalidConfig> {
        let kind = kind.as_str().and_then(RouteKind::from_name);
        kind.ok_or_else(|| self.invalid("kinds", "`read_only`, `mutating`, `upload`"))
    }

    fn instances(&self) -> Result<&Vec<Value>, InvalidConfig> {
        let instances = self
            .value
            .get("instances")
            .and_then(|instances| instances.as_array());
        let instances = instances.filter(|instances| !instances.is_empty());
        instances.ok_or_else(|| self.invalid("instances", "none"))
    }

    fn instance(&self, instance: &Value) -> Result<TrialInstance, InvalidConfig> {
        let text = |field: &str| {
            instance
                .get(field)
                .and_then(|t| t.as_str())
                .map(str::to_string)
        };
        let address = text("address").and_then(|address| address.parse().ok());
        match (text("id"), address, text("region")) {
            (Some(id), Some(address), Some(region)) => Ok(TrialInstance {
                id,
                region,
                address,
            }),
            _ => Err(self.invalid(
                "instances",
                "`id`, `address` and `region` are wanted of each",
            )),
        }
    }
}
