//! Configuration changes, parsed from the JSON body of an operator's call.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use simd_json::prelude::*;

use super::{InvalidConfig, Item, ItemKey, ItemKind, ProposalNumber};
use crate::json::{Value, parse, to_text};

/// The name of a list in the body of a call, and the kind of the list's items.
pub(super) type NamedList = (&'static str, ItemKind);

/// The lists in a call that changes the configuration.
pub(super) const CONFIG_LISTS: [NamedList; 3] = [
    ("route_list", ItemKind::Route),
    ("tenant_list", ItemKind::Tenant),
    ("service_list", ItemKind::Service),
];

/// The lists in a call that changes mirror rules.
pub(super) const MIRROR_LISTS: [NamedList; 1] = [("copy_list", ItemKind::MirrorRule)];

/// The key of the only object beside the lists; also the name of the item that it describes.
const LIMITS: &str = "limits";

/// Items to set and remove, in the order of the call. The type is stored and sent, and its encoding depends on the
/// order of its fields: the order must not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ConfigChange {
    /// The changed items; an item without a body is to be removed.
    pub items: Vec<Item>,
}

impl ConfigChange {
    /// Parses the body of an operator's call that changes the configuration.
    ///
    /// # Errors
    /// Returns an error for the first part of the body that cannot be parsed.
    pub fn from_json(body: Vec<u8>) -> Result<Self, InvalidConfig> {
        Self::from_lists(body, &CONFIG_LISTS)
    }

    /// Parses the body of a call that sets or removes mirror rules.
    ///
    /// # Errors
    /// Returns an error for the first part of the body that cannot be parsed.
    pub fn from_mirror_rules_json(body: Vec<u8>) -> Result<Self, InvalidConfig> {
        Self::from_lists(body, &MIRROR_LISTS)
    }

    /// Checks each item by itself. The result does not depend on the configuration in force, so it is the same at every
    /// store and at any time.
    ///
    /// # Errors
    /// Returns an error for the first item that is invalid, or that has two contents under one version.
    pub fn validate_items(&self) -> Result<(), InvalidConfig> {
        for item in self.items.iter().filter(|item| !item.is_removed()) {
            item.validate()?;
        }
        let mut contents: BTreeMap<(&ItemKey, u64), &Item> = BTreeMap::new();
        for item in &self.items {
            let first = *contents.entry((&item.key, item.version)).or_insert(item);
            if first.body != item.body {
                let reason = format!("r{} is in the call with two contents", item.version);
                return Err(InvalidConfig::item(&item.key.name, reason));
            }
        }
        Ok(())
    }

    fn from_lists(body: Vec<u8>, lists: &[NamedList]) -> Result<Self, InvalidConfig> {
        let body = parse(body).map_err(|e| InvalidConfig::malformed(e.to_string()))?;
        if !body.is_object() {
            return Err(InvalidConfig::malformed("not an object"));
        }
        let mut items = Vec::new();
        if let Some(upserts) = body.get("upserts") {
            for (name, value) in object_entries(upserts, "upserts")? {
                if name == LIMITS && lists == CONFIG_LISTS {
                    items.push(upserted_item(ItemKind::Limits, value)?);
                } else {
                    items.extend(read_list(name, value, lists, upserted_item)?);
                }
            }
        }
        if let Some(removals) = body.get("removals") {
            for (name, value) in object_entries(removals, "removals")? {
                items.extend(read_list(name, value, lists, removed_item)?);
            }
        }
        Ok(ConfigChange { items })
    }
}

fn object_entries<'a>(
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
    let list = lists.iter().find(|(list_name, _)| *list_name == name);
    let (_, kind) =
        list.ok_or_else(|| InvalidConfig::malformed(format!("{name}: unknown list")))?;
    let values = value.as_array();
    let values = values.ok_or_else(|| InvalidConfig::malformed(format!("{name}: not a list")))?;
    values.iter().map(|value| read_item(*kind, value)).collect()
}

fn upserted_item(kind: ItemKind, value: &Value) -> Result<Item, InvalidConfig> {
    let (key, version) = key_and_version(kind, value)?;
    Ok(Item {
        key,
        version,
        proposal_number: ProposalNumber::default(),
        body: Some(to_text(value)),
    })
}

fn removed_item(kind: ItemKind, value: &Value) -> Result<Item, InvalidConfig> {
    let (key, version) = key_and_version(kind, value)?;
    Ok(Item {
        key,
        version,
        proposal_number: ProposalNumber::default(),
        body: None,
    })
}

fn key_and_version(kind: ItemKind, value: &Value) -> Result<(ItemKey, u64), InvalidConfig> {
    let name = match kind {
        ItemKind::Limits => Some(LIMITS),
        _ => value.get("name").and_then(|name| name.as_str()),
    };
    let name = name.ok_or_else(|| InvalidConfig::malformed("item without a name"))?;
    let version = parse_version(value.get("config_version"))
        .ok_or_else(|| InvalidConfig::item(name, "config_version: not `r` and a number"))?;
    let name = name.into();
    Ok((ItemKey { kind, name }, version))
}

/// Parses a version as operators write it: `r` followed by a number.
fn parse_version(value: Option<&Value>) -> Option<u64> {
    value?.as_str()?.strip_prefix('r')?.parse().ok()
}
