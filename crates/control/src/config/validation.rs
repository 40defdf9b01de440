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

impl ConfigSnapshot {
    /// Checks whether all items together are a valid configuration, apart from mirror rules.
    ///
    /// # Errors
    /// Returns an error for the first item that is invalid or conflicts with another.
    pub fn validate(&self) -> Result<(), InvalidConfig> {
        self.present_items(ItemKind::Service)
            .try_for_each(validate_service)?;
        self.validate_routes()?;
        self.validate_tenants()?;
        for item in self.present_items(ItemKind::Limits) {
            ConnectionLimits::try_from(item)?;
        }
        Ok(())
    }

    /// Checks that the services of each route exist and that no two routes have the same host and prefix.
    fn validate_routes(&self) -> Result<(), InvalidConfig> {
        let mut names_by_prefix: BTreeMap<(String, String), &str> = BTreeMap::new();
        for item in self.present_items(ItemKind::Route) {
            let route = Route::try_from(item)?;
            let name = &item.key.name;
            for target in &route.services {
                if !self.has_service(&target.service) {
                    let reason = format!("target_service: unknown service `{}`", target.service);
                    return Err(InvalidConfig::item(name, reason));
                }
            }
            if let Some(other) = names_by_prefix.insert((route.host, route.prefix), name) {
                let reason =
                    format!("host_name and path_prefix are the same as those of `{other}`");
                return Err(InvalidConfig::item(name, reason));
            }
        }
        Ok(())
    }

    fn has_service(&self, service: &str) -> bool {
        let key = ItemKey {
            kind: ItemKind::Service,
            name: service.into(),
        };
        self.get(&key).is_some_and(|item| !item.is_removed())
    }

    /// Checks that no API key belongs to two tenants.
    fn validate_tenants(&self) -> Result<(), InvalidConfig> {
        let mut owners: BTreeMap<String, &str> = BTreeMap::new();
        for item in self.present_items(ItemKind::Tenant) {
            let name = item.key.name.as_str();
            for key in Tenant::try_from(item)?.api_keys {
                let other = owners.insert(key, name).filter(|other| *other != name);
                if let Some(other) = other {
                    let reason = format!("api_keys: `{other}` has the same key");
                    return Err(InvalidConfig::item(name, reason));
                }
            }
        }
        Ok(())
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
