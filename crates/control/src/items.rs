//! The items of a configuration: read from operators' calls, merged item by item, checked as a whole.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use bitcode::{Decode, Encode};
use fnv::FnvHasher;
use simd_json::prelude::*;

use crate::part_index::{PartId, PartIndex};
use crate::value::{Value, parse, text};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Kind {
    Route,
    Tenant,
    Service,
    Limits,
    /// A zone that is to get nothing: dropped while it may.
    Evacuation,
    /// A rule for copies of live requests to a trial service (`mirror_rules.rs`).
    Copy,
    /// The one item that names the replicas of the configuration store which have a vote: never told to proxies.
    Voters,
}

impl Kind {
    /// Whether items of this kind are the store's own, and no part of the configuration.
    pub fn is_internal(self) -> bool {
        self == Kind::Voters
    }
}

/// Lists of a call, and the kind of their items.
const LISTS: [(&str, Kind); 3] = [
    ("route_list", Kind::Route),
    ("tenant_list", Kind::Tenant),
    ("service_list", Kind::Service),
];

/// Lists of a call of staff's.
const COPIES: [(&str, Kind); 1] = [("copy_list", Kind::Copy)];

/// By what an item is told from all others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Key {
    pub kind: Kind,
    pub name: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Item {
    pub key: Key,
    pub version: u64,
    /// The ballot by which it was last proposed: of two of one version, that of the higher ballot stands.
    pub ballot: Ballot,
    /// Its JSON text; none where it was dropped: the version stays behind, so that an old call can't bring it back.
    pub body: Option<Vec<u8>>,
}

/// Rounds of agreement, in order; no two writers have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Ballot {
    pub round: u64,
    pub writer: u64,
}

/// Why a call is turned down as a whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    #[error("{0}")]
    Unreadable(String),
    #[error("{0}: {1}")]
    Item(String, String),
}

/// What a call wants set and dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Change {
    pub items: Vec<Item>,
}

pub fn version(value: Option<&Value>) -> Option<u64> {
    value?.as_str()?.strip_prefix('r')?.parse().ok()
}

impl Change {
    /// Reads the body of an operator's call.
    ///
    /// # Errors
    /// Where any part of it can't be read.
    pub fn read(body: Vec<u8>) -> Result<Self, Invalid> {
        Self::read_lists(body, &LISTS)
    }

    /// Reads the body of a call that sets or drops rules for copies.
    ///
    /// # Errors
    /// Where any part of it can't be read.
    pub fn read_copies(body: Vec<u8>) -> Result<Self, Invalid> {
        Self::read_lists(body, &COPIES)
    }

    fn read_lists(body: Vec<u8>, lists: &[(&str, Kind)]) -> Result<Self, Invalid> {
        let all = parse(body).map_err(Invalid::Unreadable)?;
        if !all.is_object() {
            return Err(Invalid::Unreadable("not an object".into()));
        }
        let mut items = Vec::new();
        if let Some(set) = all.get("upserts") {
            let set = set
                .as_object()
                .ok_or_else(|| Invalid::Unreadable("upserts: not an object".into()))?;
            for (list, v) in set.iter() {
                if list == "limits" && lists == LISTS {
                    items.push(Self::item(Kind::Limits, v, false)?);
                    continue;
                }
                let (kind, all) = Self::list(list, v, lists)?;
                for v in all {
                    items.push(Self::item(kind, v, false)?);
                }
            }
        }
        if let Some(drop) = all.get("removals") {
            let drop = drop
                .as_object()
                .ok_or_else(|| Invalid::Unreadable("removals: not an object".into()))?;
            for (list, v) in drop.iter() {
                let (kind, all) = Self::list(list, v, lists)?;
                for v in all {
                    items.push(Self::item(kind, v, true)?);
                }
            }
        }
        Ok(Change { items })
    }

    fn list<'a>(
        name: &str,
        v: &'a Value,
        lists: &[(&str, Kind)],
    ) -> Result<(Kind, &'a Vec<Value>), Invalid> {
        let kind = lists.iter().find(|l| l.0 == name).map(|l| l.1);
        let kind = kind.ok_or_else(|| Invalid::Unreadable(format!("{name}: no such list")))?;
        Ok((
            kind,
            v.as_array()
                .ok_or_else(|| Invalid::Unreadable(format!("{name}: not a list")))?,
        ))
    }

    fn item(kind: Kind, v: &Value, drop: bool) -> Result<Item, Invalid> {
        let name = if kind == Kind::Limits {
            Some("limits")
        } else {
            v.get("name").and_then(|n| n.as_str())
        };
        let name = name.ok_or_else(|| Invalid::Unreadable("an item has no name".into()))?;
        let version = version(v.get("config_version")).ok_or_else(|| {
            Invalid::Item(name.into(), "config_version: not `r` and a number".into())
        })?;
        let key = Key {
            kind,
            name: name.into(),
        };
        let body = (!drop).then(|| text(v));
        Ok(Item {
            key,
            version,
            ballot: Ballot::default(),
            body,
        })
    }
}

/// All items known, dropped ones too.
#[derive(Clone, Debug, Default)]
pub struct ConfigSnapshot {
    items: BTreeMap<Key, Item>,
    /// Follows from the items: kept along, for its sums are asked for many times a second.
    index: PartIndex,
}

impl PartialEq for ConfigSnapshot {
    fn eq(&self, other: &Self) -> bool {
        self.items == other.items
    }
}

impl Eq for ConfigSnapshot {}

impl Hash for ConfigSnapshot {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.items.hash(state);
    }
}

impl ConfigSnapshot {
    pub fn items(&self) -> &BTreeMap<Key, Item> {
        &self.items
    }

    pub fn index(&self) -> &PartIndex {
        &self.index
    }

    pub fn get(&self, key: &Key) -> Option<&Item> {
        self.items.get(key)
    }

    /// Puts an item in, whatever is known of it.
    pub fn set(&mut self, item: Item) {
        self.remove(&item.key);
        self.index.insert(&item);
        self.items.insert(item.key.clone(), item);
    }

    pub fn remove(&mut self, key: &Key) {
        if let Some(old) = self.items.remove(key) {
            self.index.remove(&old);
        }
    }

    /// Takes an item in if it stands above the one known; says whether it did.
    pub fn merge(&mut self, item: Item) -> bool {
        let above = |old: &Item| (old.version, old.ballot) < (item.version, item.ballot);
        let news = self.items.get(&item.key).is_none_or(above);
        if news {
            self.set(item);
        }
        news
    }

    /// Takes an item in if its ballot is the higher: a proposal takes the place of any before it. Of one proposer's round
    /// the later version: what was left before it is decided first.
    pub fn replace(&mut self, item: Item) -> bool {
        let above = |old: &Item| (old.ballot, old.version) < (item.ballot, item.version);
        let news = self.items.get(&item.key).is_none_or(above);
        if news {
            self.set(item);
        }
        news
    }

    /// Those of a change that would have an effect here: an equal or lower version has none.
    pub fn news(&self, change: &Change) -> Vec<Item> {
        let mut out = ConfigSnapshot::default();
        for item in &change.items {
            if self
                .items
                .get(&item.key)
                .is_none_or(|known| known.version < item.version)
            {
                out.merge(item.clone());
            }
        }
        out.items.into_values().collect()
    }

    /// One number for all keys, versions and ballots.
    pub fn digest(&self) -> u64 {
        self.index.total()
    }

    /// The same by group of parts.
    pub fn digests(&self) -> Vec<u32> {
        self.index
            .group_sums()
            .iter()
            .map(|sum| (sum ^ sum >> 32) as u32)
            .collect()
    }

    /// Items of the groups of parts whose digests are not these.
    pub fn beside(&self, digests: &[u32]) -> Vec<Item> {
        let ours = self.digests();
        let group = |key: &Key| PartId::of(key).group();
        let differs = |i: &&Item| digests.get(group(&i.key)) != Some(&ours[group(&i.key)]);
        self.items.values().filter(differs).cloned().collect()
    }

    pub fn standing(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.items
            .values()
            .filter(move |i| i.key.kind == kind && i.body.is_some())
    }

    /// Whether the whole is one that may be in force.
    ///
    /// # Errors
    /// The first item that clashes.
    pub fn check(&self) -> Result<(), Invalid> {
        let mut places = BTreeMap::new();
        let mut keys = BTreeMap::new();
        for item in self.standing(Kind::Service) {
            let v = item.value()?;
            if v.get("health_path").is_some_and(|p| !p.is_str()) {
                return Err(Invalid::Item(
                    item.key.name.clone(),
                    "health_path: not a text".into(),
                ));
            }
        }
        for item in self.standing(Kind::Route) {
            let (route, name) = (Route::read(item)?, &item.key.name);
            for (service, _) in &route.to {
                let known = self.items.get(&Key {
                    kind: Kind::Service,
                    name: service.clone(),
                });
                if known.is_none_or(|s| s.body.is_none()) {
                    return Err(Invalid::Item(
                        name.clone(),
                        format!("target_service: no `{service}`"),
                    ));
                }
            }
            if let Some(other) = places.insert((route.host, route.prefix), name) {
                return Err(Invalid::Item(
                    name.clone(),
                    format!("host and prefix are those of `{other}`"),
                ));
            }
        }
        for item in self.standing(Kind::Tenant) {
            let tenant = Tenant::read(item)?;
            for key in tenant.keys {
                if let Some(other) = keys.insert(key, &item.key.name)
                    && other != &item.key.name
                {
                    return Err(Invalid::Item(
                        item.key.name.clone(),
                        format!("a key is that of `{other}`"),
                    ));
                }
            }
        }
        for item in self.standing(Kind::Limits) {
            Limits::read(item)?;
        }
        Ok(())
    }

    /// All rules for copies, laid out as in a call that sets them.
    pub fn show_copies(&self) -> Vec<u8> {
        self.show_lists(&COPIES)
    }

    /// All items of the operators' configuration that stand, laid out as in the first call's set.
    pub fn show(&self) -> Vec<u8> {
        self.show_lists(&LISTS)
    }

    fn show_lists(&self, lists: &[(&str, Kind)]) -> Vec<u8> {
        let mut out = Vec::from(b"{");
        for (n, (list, kind)) in lists.iter().copied().enumerate() {
            let bodies: Vec<&[u8]> = self
                .standing(kind)
                .filter_map(|i| i.body.as_deref())
                .collect();
            out.extend_from_slice(if n > 0 { b",\"" } else { b"\"" });
            out.extend_from_slice(list.as_bytes());
            out.extend_from_slice(b"\":[");
            out.extend_from_slice(&bodies.join(&b","[..]));
            out.push(b']');
        }
        let limits = self.standing(Kind::Limits).find_map(|i| i.body.as_deref());
        if let Some(limits) = limits.filter(|_| lists == LISTS) {
            out.extend_from_slice(b",\"limits\":");
            out.extend_from_slice(limits);
        }
        out.push(b'}');
        out
    }
}

/// A name's number, the same at every process.
pub fn hashed(name: &str) -> u64 {
    let mut hash = FnvHasher::default();
    hash.write(name.as_bytes());
    let hash = hash.finish();
    hash ^ hash >> 29
}

/// One number for an item's key, version and ballot.
pub fn mark(i: &Item) -> u64 {
    let mut hash = FnvHasher::default();
    hash.write(i.key.name.as_bytes());
    hash.write(&[i.key.kind as u8]);
    for number in [i.version, i.ballot.round, i.ballot.writer] {
        hash.write(&number.to_be_bytes());
    }
    // Spread out, so that a sum of marks tells sets apart.
    let hash = hash.finish();
    let hash = (hash ^ hash >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ hash >> 29
}

impl Item {
    /// About how many bytes of a message it takes.
    pub fn wire_bytes(&self) -> usize {
        const VERSION_AND_BALLOT: usize = 32;
        self.key.name.len() + self.body.as_ref().map_or(0, Vec::len) + VERSION_AND_BALLOT
    }

    /// # Errors
    /// Where its text is no JSON.
    pub fn value(&self) -> Result<Value, Invalid> {
        parse(self.body.clone().unwrap_or_default())
            .map_err(|e| Invalid::Item(self.key.name.clone(), e))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteKind {
    ReadOnly,
    Mutating,
    Upload,
}

/// A route as the proxies read it.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub version: u64,
    pub host: String,
    pub prefix: String,
    pub kind: RouteKind,
    pub timeout_ms: u64,
    pub aim_ms: u64,
    pub priority: i64,
    /// Services and their weights.
    pub to: Vec<(String, f64)>,
    pub attempts: u32,
    pub open: bool,
    pub homes: Vec<String>,
}

/// A tenant as the proxies read it; 0: no limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub name: String,
    pub version: u64,
    pub keys: Vec<String>,
    pub rate: f64,
    pub burst: f64,
    pub homes: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    pub cold_rate: f64,
    pub connections: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub header_ms: u64,
    pub idle_ms: u64,
}

struct Of<'a>(&'a Item, Value);

impl Of<'_> {
    fn wrong(&self, field: &str, why: &str) -> Invalid {
        Invalid::Item(self.0.key.name.clone(), format!("{field}: {why}"))
    }

    fn text(&self, field: &str) -> Result<String, Invalid> {
        let v = self.1.get(field).and_then(|v| v.as_str());
        Ok(v.ok_or_else(|| self.wrong(field, "not a text"))?
            .to_string())
    }

    fn count(&self, field: &str) -> Result<u64, Invalid> {
        let v = self.1.get(field).and_then(|v| {
            v.as_u64()
                .or_else(|| v.as_f64().filter(|f| *f >= 0.0).map(|f| f as u64))
        });
        v.ok_or_else(|| self.wrong(field, "not a whole number"))
    }

    /// A number that may be missing.
    fn number(&self, field: &str) -> Result<f64, Invalid> {
        match self.1.get(field) {
            None => Ok(0.0),
            Some(v) if v.is_null() => Ok(0.0),
            Some(v) => v
                .cast_f64()
                .filter(|n| *n >= 0.0)
                .ok_or_else(|| self.wrong(field, "not a number from 0 on")),
        }
    }

    fn texts(&self, field: &str) -> Result<Vec<String>, Invalid> {
        match self.1.get(field) {
            None => Ok(Vec::new()),
            Some(v) if v.is_null() => Ok(Vec::new()),
            Some(v) => {
                let all = v
                    .as_array()
                    .ok_or_else(|| self.wrong(field, "not a list"))?
                    .iter();
                let all: Option<_> = all.map(|t| Some(t.as_str()?.to_string())).collect();
                all.ok_or_else(|| self.wrong(field, "not a list of texts"))
            }
        }
    }
}

impl Route {
    /// # Errors
    /// The first field that is missing or wrong.
    pub fn read(item: &Item) -> Result<Self, Invalid> {
        let of = Of(item, item.value()?);
        let kind = match of.text("route_type")?.as_str() {
            "read_only" => RouteKind::ReadOnly,
            "mutating" => RouteKind::Mutating,
            "upload" => RouteKind::Upload,
            other => return Err(of.wrong("route_type", &format!("no `{other}`"))),
        };
        let to = match of.1.get("traffic_split").filter(|s| !s.is_null()) {
            Some(split) => {
                let all = split
                    .as_array()
                    .ok_or_else(|| of.wrong("traffic_split", "not a list"))?;
                let part = |p: &Value| {
                    let weight = p.get("weight")?.cast_f64().filter(|w| *w >= 0.0)?;
                    Some((p.get("target_service")?.as_str()?.to_string(), weight))
                };
                let all: Option<Vec<_>> = all.iter().map(part).collect();
                all.ok_or_else(|| of.wrong("traffic_split", "a service or a weight is missing"))?
            }
            None => vec![(of.text("target_service")?, 1.0)],
        };
        if to.iter().map(|t| t.1).sum::<f64>() <= 0.0 {
            return Err(of.wrong("traffic_split", "all weights are 0"));
        }
        let (timeout_ms, aim_ms) = (of.count("timeout_ms")?, of.count("target_latency_ms")?);
        if timeout_ms == 0 {
            return Err(of.wrong("timeout_ms", "is 0"));
        }
        if aim_ms >= timeout_ms + 60_000 {
            return Err(of.wrong("target_latency_ms", "is a minute or more above timeout_ms"));
        }
        let prefix = of.text("path_prefix")?;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return Err(of.wrong("path_prefix", "must start and end with a slash"));
        }
        Ok(Route {
            name: item.key.name.clone(),
            version: item.version,
            host: of.text("host_name")?.to_ascii_lowercase(),
            prefix,
            kind,
            timeout_ms,
            aim_ms,
            priority: of.1.get("priority").and_then(|p| p.as_i64()).unwrap_or(0),
            to,
            attempts: of.number("max_attempts")? as u32,
            open: of
                .1
                .get("public_access")
                .and_then(|p| p.as_bool())
                .unwrap_or(false),
            homes: of.texts("serving_regions")?,
        })
    }
}

impl Tenant {
    /// # Errors
    /// The first field that is wrong.
    pub fn read(item: &Item) -> Result<Self, Invalid> {
        let of = Of(item, item.value()?);
        Ok(Tenant {
            name: item.key.name.clone(),
            version: item.version,
            keys: of.texts("api_keys")?,
            rate: of.number("rate_per_s")?,
            burst: of.number("burst")?,
            homes: of.texts("serving_regions")?,
        })
    }
}

impl Service {
    /// # Errors
    /// Where its text is no JSON or a number is none.
    pub fn read(item: &Item) -> Result<Self, Invalid> {
        let of = Of(item, item.value()?);
        let (cold_rate, connections) = (of.number("cold_rate_s")?, of.number("max_connections")?);
        Ok(Service {
            name: item.key.name.clone(),
            cold_rate,
            connections,
        })
    }
}

impl Limits {
    /// # Errors
    /// The first field that is missing or wrong.
    pub fn read(item: &Item) -> Result<Self, Invalid> {
        let of = Of(item, item.value()?);
        Ok(Limits {
            header_ms: of.count("header_timeout_ms")?,
            idle_ms: of.count("idle_timeout_ms")?,
        })
    }
}
