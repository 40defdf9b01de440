//! A change of the configuration, as an operator's call carries it.

use bitcode::{Decode, Encode};
use simd_json::prelude::*;

use super::{InvalidConfig, Item, ItemKey, ItemKind, ProposalNumber};
use crate::json::{Value, parse, to_text};

/// A list in the body of a call, and the kind of its items.
pub(super) type NamedList = (&'static str, ItemKind);

/// The lists of an operator's call.
pub(super) const CONFIG_LISTS: [NamedList; 3] = [
    ("route_list", ItemKind::Route),
    ("tenant_list", ItemKind::Tenant),
    ("service_list", ItemKind::Service),
];

/// The lists of a call that sets mirror rules.
pub(super) const MIRROR_LISTS: [NamedList; 1] = [("copy_list", ItemKind::MirrorRule)];

/// The one object beside the lists, and the name of its item.
const LIMITS: &str = "limits";

/// Items to be set and removed, in the order of the call. It is stored and sent: its fields keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ConfigChange {
    /// Items set, and removed ones without a body.
    pub items: Vec<Item>,
}

impl ConfigChange {
    /// Reads the body of an operator's call.
    ///
    /// # Errors
    /// The first part that can't be read.
    pub fn from_json(body: Vec<u8>) -> Result<Self, InvalidConfig> {
        Self::from_lists(body, &CONFIG_LISTS)
    }

    /// Reads the body of a call that sets or removes mirror rules.
    ///
    /// # Errors
    /// The first part that can't be read.
    pub fn from_mirror_rules_json(body: Vec<u8>) -> Result<Self, InvalidConfig> {
        Self::from_lists(body, &MIRROR_LISTS)
    }

    fn from_lists(body: Vec<u8>, lists: &[NamedList]) -> Result<Self, InvalidConfig> {
        let body = parse(body).map_err(|e| InvalidConfig::malformed(e.to_string()))?;
        if !body.is_object() {
            return Err(InvalidConfig::malformed("not an object"));
        }
        let mut items = Vec::new();
        if let Some(upserts) = body.get("upserts") {
            for (name, value) in object(upserts, "upserts")? {
                if name == LIMITS && lists == CONFIG_LISTS {
                    items.push(upserted(ItemKind::Limits, value)?);
                } else {
                    items.extend(read_list(name, value, lists, upserted)?);
                }
            }
        }
        if let Some(removals) = body.get("removals") {
            for (name, value) in object(removals, "removals")? {
                items.extend(read_list(name, value, lists, removed)?);
            }
        }
        Ok(ConfigChange { items })
    }
}

fn object<'a>(
    value: &'a Value,
    name: &str,
) -> Result<impl Iterator<Item = (&'a String, &'a Value)>, InvalidConfig> {
    let object = value.as_object();
    let object =
        object.ok_or_else(|| InvalidConfig::malformed(format!("{name}: not an object")))?;
    Ok(object.iter())
}

fn read_list(
    name: &str,
    value: &Value,
    lists: &[NamedList],
    read_item: fn(ItemKind, &Value) -> Result<Item, InvalidConfig>,
) -> Result<Vec<Item>, InvalidConfig> {
    let known = lists.iter().find(|(list, _)| *list == name);
    let (_, kind) =
        known.ok_or_else(|| InvalidConfig::malformed(format!("{name}: no such list")))?;
    let values = value.as_array();
    let values = values.ok_or_else(|| InvalidConfig::malformed(format!("{name}: not a list")))?;
    values.iter().map(|value| read_item(*kind, value)).collect()
}

fn upserted(kind: ItemKind, value: &Value) -> Result<Item, InvalidConfig> {
    let (key, version) = identity(kind, value)?;
    Ok(Item {
        key,
        version,
        proposal_number: ProposalNumber::default(),
        body: Some(to_text(value)),
    })
}

fn removed(kind: ItemKind, value: &Value) -> Result<Item, InvalidConfig> {
    let (key, version) = identity(kind, value)?;
    Ok(Item {
        key,
        version,
        proposal_number: ProposalNumber::default(),
        body: None,
    })
}

fn identity(kind: ItemKind, value: &Value) -> Result<(ItemKey, u64), InvalidConfig> {
    let name = match kind {
        ItemKind::Limits => Some(LIMITS),
        _ => value.get("name").and_then(|name| name.as_str()),
    };
    let name = name.ok_or_else(|| InvalidConfig::malformed("an item has no name"))?;
    let version = version(value.get("config_version"))
        .ok_or_else(|| InvalidConfig::item(name, "config_version: not `r` and a number"))?;
    let name = name.into();
    Ok((ItemKey { kind, name }, version))
}

/// A version as operators write it: `r` and a number.
fn version(value: Option<&Value>) -> Option<u64> {
    value?.as_str()?.strip_prefix('r')?.parse().ok()
}
