//! Validation of the items of a configuration together.

use std::collections::BTreeMap;

use simd_json::prelude::*;

use super::{
    ConfigSnapshot, ConnectionLimits, InvalidConfig, Item, ItemKey, ItemKind, MirrorRule, Route,
    Tenant,
};

impl Item {
    /// Checks the item by itself; it must not be removed.
    pub(super) fn validate(&self) -> Result<(), InvalidConfig> {
        match self.key.kind {
            ItemKind::Route => Route::try_from(self).map(drop),
            ItemKind::Tenant => Tenant::try_from(self).map(drop),
            ItemKind::Service => validate_service(self),
            ItemKind::Limits => ConnectionLimits::try_from(self).map(drop),
            ItemKind::MirrorRule => MirrorRule::try_from(self).map(drop),
            ItemKind::Evacuation | ItemKind::Voters => Ok(()),
        }
    }
}

fn validate_service(item: &Item) -> Result<(), InvalidConfig> {
    let value = item.json()?;
    if value.get("health_path").is_some_and(|path| !path.is_str()) {
        return Err(InvalidConfig::item(
            &item.key.name,
            "health_path: not a string",
        ));
    }
    Ok(())
}

/// A reason why the items of a snapshot are not a valid configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The item with the error.
    pub item: ItemKey,
    /// The other item, which may be missing or removed; `None` if the item is invalid by itself.
    pub other: Option<ItemKey>,
    /// The error.
    pub error: InvalidConfig,
}

impl Conflict {
    fn of_item(item: &Item, error: InvalidConfig) -> Self {
        Conflict {
            item: item.key.clone(),
            other: None,
            error,
        }
    }

    fn between(item: &Item, other: ItemKey, reason: String) -> Self {
        Conflict {
            item: item.key.clone(),
            other: Some(other),
            error: InvalidConfig::item(&item.key.name, reason),
        }
    }
}

impl ConfigSnapshot {
    /// Checks whether all items together are a valid configuration, apart from mirror rules.
    ///
    /// # Errors
    /// Returns an error for the first item that is invalid or conflicts with another.
    pub fn validate(&self) -> Result<(), InvalidConfig> {
        let first = self.conflicts().into_iter().next();
        first.map_or(Ok(()), |conflict| Err(conflict.error))
    }

    /// Returns all reasons why the items together are not a valid configuration, apart from mirror rules.
    pub fn conflicts(&self) -> Vec<Conflict> {
        let mut conflicts = Vec::new();
        for kind in [ItemKind::Service, ItemKind::Limits] {
            for item in self.present_items(kind) {
                let error = item.validate().err();
                conflicts.extend(error.map(|error| Conflict::of_item(item, error)));
            }
        }
        self.find_route_conflicts(&mut conflicts);
        self.find_tenant_conflicts(&mut conflicts);
        conflicts
    }

    /// Checks that the services of each route exist and that no two routes have the same host and prefix.
    fn find_route_conflicts(&self, conflicts: &mut Vec<Conflict>) {
        let mut keys_by_prefix: BTreeMap<(String, String), &ItemKey> = BTreeMap::new();
        for item in self.present_items(ItemKind::Route) {
            let route = match Route::try_from(item) {
                Ok(route) => route,
                Err(error) => {
                    conflicts.push(Conflict::of_item(item, error));
                    continue;
                }
            };
            for target in &route.services {
                let service = ItemKey {
                    kind: ItemKind::Service,
                    name: target.service.clone(),
                };
                if self.get(&service).is_none_or(Item::is_removed) {
                    let reason = format!("target_service: unknown service `{}`", target.service);
                    conflicts.push(Conflict::between(item, service, reason));
                }
            }
            if let Some(other) = keys_by_prefix.insert((route.host, route.prefix), &item.key) {
                let reason = format!(
                    "host_name and path_prefix are the same as those of `{}`",
                    other.name
                );
                conflicts.push(Conflict::between(item, other.clone(), reason));
            }
        }
    }

    /// Checks that no API key belongs to two tenants.
    fn find_tenant_conflicts(&self, conflicts: &mut Vec<Conflict>) {
        let mut owners: BTreeMap<String, &ItemKey> = BTreeMap::new();
        for item in self.present_items(ItemKind::Tenant) {
            let tenant = match Tenant::try_from(item) {
                Ok(tenant) => tenant,
                Err(error) => {
                    conflicts.push(Conflict::of_item(item, error));
                    continue;
                }
            };
            for api_key in tenant.api_keys {
                let other = owners.insert(api_key, &item.key);
                if let Some(other) = other.filter(|other| **other != item.key) {
                    let reason = format!("api_keys: `{}` has the same key", other.name);
                    conflicts.push(Conflict::between(item, other.clone(), reason));
                }
            }
        }
    }

    /// Checks whether the mirror rules conflict with each other or with the configuration. This check applies only to
    /// calls that set mirror rules: a configuration change is never rejected because of a mirror rule.
    ///
    /// # Errors
    /// Returns an error for the first rule that is invalid or has a conflict.
    pub fn validate_mirror_rules(&self) -> Result<(), InvalidConfig> {
        let rules = self
            .present_items(ItemKind::MirrorRule)
            .map(MirrorRule::try_from);
        let rules = rules.collect::<Result<Vec<_>, _>>()?;
        for rule in &rules {
            if let Some(reason) = self.mirror_conflict(rule, &rules) {
                let reason = format!("trial_service: {reason}");
                return Err(InvalidConfig::item(&rule.name, reason));
            }
        }
        Ok(())
    }

    /// Returns the reason why requests must not be mirrored to the rule's trial service, or `None` if they may be.
    fn mirror_conflict(&self, rule: &MirrorRule, rules: &[MirrorRule]) -> Option<String> {
        let is_trial = |service: &&Item| service.key.name == rule.trial_service;
        if self
            .present_items(ItemKind::Service)
            .any(|service| is_trial(&service))
        {
            return Some(format!("`{}` is a real service", rule.trial_service));
        }
        if rule.service == rule.trial_service {
            return Some("is the same as `service`".into());
        }
        let chained = rules
            .iter()
            .find(|other| other.service == rule.trial_service)?;
        Some(format!(
            "rule `{}` mirrors its requests again",
            chained.name
        ))
    }
}
