//! Rules by which a share of live requests is copied to trial services: items like the rest, set by staff through the system's
//! own interface, for the operators' form has no field for them.

use std::net::{SocketAddr, SocketAddrV4};

use simd_json::prelude::*;

use crate::items::{ConfigSnapshot, Invalid, Item, Kind, RouteKind};
use crate::value::Value;

/// A trial service's instance. Its address is of a type of its own: no delivery of a real request is made from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    pub id: String,
    pub region: String,
    at: SocketAddrV4,
}

impl Trial {
    /// Where copies go; none where a real backend has that address now.
    pub fn address(&self, is_real: impl Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        let at = SocketAddr::V4(self.at);
        (!is_real(at)).then_some(at)
    }
}

/// Who is copied or not as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    Tenant,
    /// The key that a request carries.
    Caller,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    pub name: String,
    pub version: u64,
    pub service: String,
    pub trial: String,
    pub share: f64,
    pub by: By,
    /// In force from then until then, by the system's common time in milliseconds; 0: at once, for good.
    pub from_ms: u64,
    pub until_ms: u64,
    /// Over all proxies together.
    pub requests_per_s: f64,
    pub bytes_per_s: f64,
    pub kinds: Vec<RouteKind>,
    pub instances: Vec<Trial>,
}

impl Rule {
    /// # Errors
    /// The first field that is missing or wrong.
    pub fn read(item: &Item) -> Result<Self, Invalid> {
        let v = item.value()?;
        let wrong = |field: &str, why: &str| {
            Invalid::Item(item.key.name.clone(), format!("{field}: {why}"))
        };
        let text = |field: &str| {
            let t = v
                .get(field)
                .and_then(|t| t.as_str())
                .filter(|t| !t.is_empty());
            Ok::<_, Invalid>(
                t.ok_or_else(|| wrong(field, "missing, or not a text"))?
                    .to_string(),
            )
        };
        let number = |field: &str, usual: f64| match v.get(field) {
            None => Ok(usual),
            Some(n) => n
                .cast_f64()
                .filter(|n| *n >= 0.0)
                .ok_or_else(|| wrong(field, "not a number from 0 on")),
        };
        let share = number("share", -1.0)?;
        if !(0.0..=1.0).contains(&share) {
            return Err(wrong("share", "not from 0 to 1"));
        }
        let by = match v.get("by").and_then(|b| b.as_str()) {
            None | Some("tenant") => By::Tenant,
            Some("caller") => By::Caller,
            Some(other) => return Err(wrong("by", &format!("no `{other}`: `tenant` or `caller`"))),
        };
        let kinds = match v.get("kinds") {
            None => vec![RouteKind::ReadOnly],
            Some(all) => {
                let kind = |k: &Value| match k.as_str() {
                    Some("read_only") => Ok(RouteKind::ReadOnly),
                    Some("mutating") => Ok(RouteKind::Mutating),
                    Some("upload") => Ok(RouteKind::Upload),
                    _ => Err(wrong("kinds", "`read_only`, `mutating`, `upload`")),
                };
                let all = all.as_array().ok_or_else(|| wrong("kinds", "not a list"))?;
                all.iter().map(kind).collect::<Result<_, _>>()?
            }
        };
        let apart = v
            .get("trial_keeps_records_apart")
            .and_then(|a| a.as_bool())
            .unwrap_or(false);
        if !apart && kinds.iter().any(|k| *k != RouteKind::ReadOnly) {
            let why = "kinds that change records need it to be true: a copy must register nothing a second time";
            return Err(wrong("trial_keeps_records_apart", why));
        }
        let instance = |i: &Value| {
            let part = |f: &str| i.get(f).and_then(|t| t.as_str()).map(str::to_string);
            let at = part("address").and_then(|a| a.parse().ok());
            match (part("id"), at, part("region")) {
                (Some(id), Some(at), Some(region)) => Ok(Trial { id, region, at }),
                _ => Err(wrong(
                    "instances",
                    "`id`, `address` and `region` are wanted of each",
                )),
            }
        };
        let instances = v.get("instances").and_then(|i| i.as_array());
        let instances = instances
            .filter(|i| !i.is_empty())
            .ok_or_else(|| wrong("instances", "none"))?;
        let (from_ms, until_ms) = (
            number("from_ms", 0.0)? as u64,
            number("until_ms", 0.0)? as u64,
        );
        if until_ms > 0 && until_ms <= from_ms {
            return Err(wrong("until_ms", "not after from_ms"));
        }
        Ok(Rule {
            name: item.key.name.clone(),
            version: item.version,
            service: text("service")?,
            trial: text("trial_service")?,
            share,
            by,
            from_ms,
            until_ms,
            requests_per_s: number("requests_per_s", 0.0)?,
            bytes_per_s: number("bytes_per_s", 0.0)?,
            kinds,
            instances: instances.iter().map(instance).collect::<Result<_, _>>()?,
        })
    }
}

impl ConfigSnapshot {
    /// Whether the rules for copies may stand beside each other and the configuration. Asked only of calls that set such
    /// rules: an operator's configuration is never refused for them.
    ///
    /// # Errors
    /// The first rule that may not.
    pub fn check_copies(&self) -> Result<(), Invalid> {
        let rules = self
            .standing(Kind::Copy)
            .map(Rule::read)
            .collect::<Result<Vec<_>, _>>()?;
        for rule in &rules {
            let wrong = |why: String| {
                Err(Invalid::Item(
                    rule.name.clone(),
                    format!("trial_service: {why}"),
                ))
            };
            if self
                .standing(Kind::Service)
                .any(|s| s.key.name == rule.trial)
            {
                return wrong(format!("`{}` is a real service", rule.trial));
            }
            if rule.service == rule.trial {
                return wrong("is the service itself".into());
            }
            if let Some(other) = rules.iter().find(|r| r.service == rule.trial) {
                return wrong(format!("`{}` copies it on", other.name));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::items::Change;

    fn told(more: &str) -> String {
        let rule = format!(
            r#"{{{more}"name":"m","service":"s","trial_service":"t","share":0.5,"config_version":"r1",
            "instances":[{{"id":"x-1","address":"10.0.0.9:80","region":"p"}}]}}"#
        );
        let text = format!(r#"{{"upserts":{{"copy_list":[{rule}]}}}}"#);
        let mut snapshot = ConfigSnapshot::default();
        let service =
            br#"{"upserts":{"service_list":[{"name":"s","health_path":"/h","config_version":"r1"}]}}"#;
        let changes = [
            Change::read(service.to_vec()),
            Change::read_copies(text.into_bytes()),
        ];
        for change in changes {
            for item in change.expect("reads").items {
                snapshot.merge(item);
            }
        }
        snapshot
            .check_copies()
            .map_or_else(|e| e.to_string(), |()| "valid".into())
    }

    #[test]
    fn rules_that_could_do_harm_are_refused_by_field() {
        let refused = [
            ("", "valid"),
            (r#""share":1.5,"#, "m: share: not from 0 to 1"),
            (
                r#""trial_service":"s","#,
                "m: trial_service: `s` is a real service",
            ),
            (r#""by":"day","#, "m: by: no `day`: `tenant` or `caller`"),
            (
                r#""from_ms":9,"until_ms":8,"#,
                "m: until_ms: not after from_ms",
            ),
            (
                r#""kinds":["mutating"],"trial_keeps_records_apart":true,"#,
                "valid",
            ),
            (r#""instances":[],"#, "m: instances: none"),
        ];
        for (more, says) in refused {
            // The first of two fields of one name counts.
            assert_eq!(told(more), says, "{more}");
        }
        assert!(told(r#""kinds":["mutating"],"#).contains("must register nothing a second time"));
        assert!(
            Change::read(br#"{"upserts":{"copy_list":[]}}"#.to_vec()).is_err(),
            "operators have no such list"
        );
    }
}
