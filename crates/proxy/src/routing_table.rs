//! Index of the configuration in force for routing requests: routes by host and path prefix,
//! tenants by API key.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use damsonbeam_control::config::{
    ConfigSnapshot, ConnectionLimits, InvalidConfig, Item, ItemKind, MirrorRule, Route, Service,
    Tenant,
};

/// Regions that may serve a request; `None` if there is no restriction.
pub type HomeRegions = Option<BTreeSet<String>>;

/// The configuration in force, indexed for routing.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// Routes by host, longest prefix first.
    routes: HashMap<String, Vec<Rc<Route>>>,
    /// Whether a route was ever configured, even if all routes were removed since.
    is_configured: bool,
    tenants_by_key: HashMap<String, Rc<Tenant>>,
    /// Whether a tenant was ever configured, even if all tenants were removed since.
    requires_api_key: bool,
    /// All tenants.
    pub tenants: Vec<Rc<Tenant>>,
    services: HashMap<String, Service>,
    /// Zones that receive no requests.
    pub evacuated_zones: BTreeSet<String>,
    /// Limits and timeouts of client connections, if configured.
    pub connection_limits: Option<ConnectionLimits>,
    /// Mirror rules whose trial service is not a real service.
    pub mirror_rules: Vec<MirrorRule>,
}

/// Reason why a request is not routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoutingError {
    /// No route has the request's host and a prefix of its path.
    #[error("no route")]
    NoRoute,
    /// The route requires a tenant's API key, and the request has no valid one.
    #[error("no tenant has this key")]
    InvalidApiKey,
}

/// The route and tenant of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteMatch<'a> {
    /// The route of the request.
    pub route: &'a Rc<Route>,
    /// The tenant; `None` if the route is public or no tenants were ever configured.
    pub tenant: Option<&'a Rc<Tenant>>,
}

/// Returns the items of a kind converted to their type. Unreadable items are skipped, since
/// committed items have been validated.
fn read_items<'a, T: TryFrom<&'a Item, Error = InvalidConfig>>(
    snapshot: &'a ConfigSnapshot,
    kind: ItemKind,
) -> impl Iterator<Item = T> {
    snapshot
        .present_items(kind)
        .filter_map(|item| T::try_from(item).ok())
}

/// Returns whether an item of a kind was ever configured. Removed items stay in the snapshot as
/// tombstones.
fn was_configured(snapshot: &ConfigSnapshot, kind: ItemKind) -> bool {
    snapshot.items().keys().any(|key| key.kind == kind)
}

impl RoutingTable {
    /// Builds the table from a configuration snapshot.
    pub fn from_snapshot(snapshot: &ConfigSnapshot) -> Self {
        let mut table = RoutingTable {
            is_configured: was_configured(snapshot, ItemKind::Route),
            requires_api_key: was_configured(snapshot, ItemKind::Tenant),
            ..RoutingTable::default()
        };
        for route in read_items::<Route>(snapshot, ItemKind::Route) {
            table
                .routes
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route));
        }
        for routes in table.routes.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        for tenant in read_items::<Tenant>(snapshot, ItemKind::Tenant) {
            let tenant = Rc::new(tenant);
            for key in &tenant.api_keys {
                table.tenants_by_key.insert(key.clone(), tenant.clone());
            }
            table.tenants.push(tenant);
        }
        let services = read_items::<Service>(snapshot, ItemKind::Service);
        table.services = services
            .map(|service| (service.name.clone(), service))
            .collect();
        let evacuations = snapshot.present_items(ItemKind::Evacuation);
        table.evacuated_zones = evacuations.map(|item| item.key.name.clone()).collect();
        table.connection_limits = read_items(snapshot, ItemKind::Limits).next();
        let rules = read_items::<MirrorRule>(snapshot, ItemKind::MirrorRule);
        let is_trial_separate =
            |rule: &MirrorRule| !table.services.contains_key(&rule.trial_service);
        table.mirror_rules = rules.filter(is_trial_separate).collect();
        table
    }

    /// Returns whether a configuration with routes is known. It may have no routes any more.
    pub fn is_configured(&self) -> bool {
        self.is_configured
    }

    /// Returns the requests per second that a backend of a service accepts while it warms up; 0 if
    /// unknown.
    pub fn warm_up_rate(&self, service: &str) -> f64 {
        self.services
            .get(service)
            .map_or(0.0, |service| service.warm_up_rate_per_s)
    }

    /// Returns the route and tenant of a request.
    ///
    /// # Errors
    /// Returns an error if no route matches or the key does not belong to any tenant.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch<'_>, RoutingError> {
        let host = without_port(host).to_ascii_lowercase();
        let routes = self.routes.get(&host).ok_or(RoutingError::NoRoute)?;
        let route = routes.iter().find(|route| path.starts_with(&route.prefix));
        let route = route.ok_or(RoutingError::NoRoute)?;
        if route.public_access {
            return Ok(RouteMatch {
                route,
                tenant: None,
            });
        }
        let tenant = key.and_then(|key| self.tenants_by_key.get(key));
        if tenant.is_none() && self.requires_api_key {
            return Err(RoutingError::InvalidApiKey);
        }
        Ok(RouteMatch { route, tenant })
    }

    /// Returns the regions that may serve a request. If both route and tenant have home regions,
    /// these are the regions they have in common.
    pub fn home_regions(route: &Route, tenant: Option<&Tenant>) -> HomeRegions {
        let tenant_homes = tenant.map_or(&[][..], |tenant| &tenant.serving_regions[..]);
        match (&route.serving_regions[..], tenant_homes) {
            ([], []) => None,
            (homes, []) | ([], homes) => Some(homes.iter().cloned().collect()),
            (homes, others) => {
                let common = homes.iter().filter(|home| others.contains(home));
                Some(common.cloned().collect())
            }
        }
    }

    /// Chooses the service of a request by weight; `random` is in the range from 0 to 1.
    pub fn choose_service(route: &Route, random: f64) -> &str {
        let total: f64 = route.services.iter().map(|service| service.weight).sum();
        let mut remaining = random * total;
        let chosen = route.services.iter().find(|service| {
            remaining -= service.weight;
            remaining < 0.0
        });
        // Rounding may leave no service chosen; the last one with a positive weight is used then.
        let fallback = || route.services.iter().rfind(|service| service.weight > 0.0);
        &chosen
            .or_else(fallback)
            .unwrap_or(&route.services[0])
            .service
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
