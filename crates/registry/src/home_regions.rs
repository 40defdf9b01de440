//! The home regions of each host's routes, updated with each changed item of the configuration. Free of I/O.

use std::collections::{BTreeMap, BTreeSet};

use damsonbeam_control::config::{Item, ItemKind, Route};

use crate::directory::HomeRegions;

/// The home regions of routes, by host.
#[derive(Debug, Default)]
pub struct HomeRegionIndex {
    /// The host of each route with home regions, by route name.
    hosts: BTreeMap<String, String>,
    /// The home regions of each of these routes, by host and route name.
    homes: BTreeMap<String, BTreeMap<String, BTreeSet<String>>>,
}

impl HomeRegionIndex {
    /// Applies a changed item of the configuration.
    pub fn update(&mut self, item: &Item) {
        if item.key.kind != ItemKind::Route {
            return;
        }
        self.remove(&item.key.name);
        if item.is_removed() {
            return;
        }
        // No proxy applies an invalid route either.
        if let Ok(route) = Route::try_from(item) {
            self.add(route);
        }
    }

    fn remove(&mut self, route: &str) {
        let Some(host) = self.hosts.remove(route) else {
            return;
        };
        if let Some(routes) = self.homes.get_mut(&host) {
            routes.remove(route);
            if routes.is_empty() {
                self.homes.remove(&host);
            }
        }
    }

    fn add(&mut self, route: Route) {
        if route.serving_regions.is_empty() {
            return;
        }
        let homes = route.serving_regions.into_iter().collect();
        let routes = self.homes.entry(route.host.clone()).or_default();
        routes.insert(route.name.clone(), homes);
        self.hosts.insert(route.name, route.host);
    }

    /// Returns where requests for a host may be served: the regions common to all its routes with home regions.
    pub fn home_regions(&self, host: &str) -> HomeRegions {
        let host = host.to_ascii_lowercase();
        let Some(routes) = self.homes.get(&host) else {
            return HomeRegions::Anywhere;
        };
        let common = routes
            .values()
            .cloned()
            .reduce(|common, homes| common.intersection(&homes).cloned().collect());
        HomeRegions::Only(common.unwrap_or_default())
    }
}
