//! The configuration in force as requests are read by it: routes by host and prefix, tenants by key.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use damsonbeam_control::config::{
    ConfigSnapshot, ConnectionLimits, InvalidConfig, Item, ItemKind, MirrorRule, Route, Service,
    Tenant,
};

/// Regions in which something may be served; `None`: anywhere.
pub type HomeRegions = Option<BTreeSet<String>>;

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// By host, the longest prefix first.
    routes: HashMap<String, Vec<Rc<Route>>>,
    tenants_by_key: HashMap<String, Rc<Tenant>>,
    /// All tenants.
    pub tenants: Vec<Rc<Tenant>>,
    services: HashMap<String, Service>,
    /// Zones that get no requests.
    pub evacuated: BTreeSet<String>,
    /// Timeouts of client connections, where they are configured.
    pub limits: Option<ConnectionLimits>,
    /// Mirror rules whose trial services are none of the real ones.
    pub mirror_rules: Vec<MirrorRule>,
}

/// Why a request is not routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoutingError {
    /// No route has its host and a prefix of its path.
    #[error("no route")]
    NoRoute,
    /// The route needs a tenant's key, and the request has none.
    #[error("no tenant has this key")]
    NoTenant,
}

/// A request's route, and its tenant: `None` where the route is public or there are no tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteMatch<'a> {
    /// The route.
    pub route: &'a Rc<Route>,
    /// The tenant.
    pub tenant: Option<&'a Rc<Tenant>>,
}

/// The items of a kind as their type. Items that can't be read are left out: what is committed has been validated.
fn read_all<'a, T: TryFrom<&'a Item, Error = InvalidConfig>>(
    snapshot: &'a ConfigSnapshot,
    kind: ItemKind,
) -> impl Iterator<Item = T> {
    snapshot
        .present_items(kind)
        .filter_map(|item| T::try_from(item).ok())
}

impl RoutingTable {
    /// The table of a snapshot.
    pub fn from_snapshot(snapshot: &ConfigSnapshot) -> Self {
        let mut table = RoutingTable::default();
        for route in read_all::<Route>(snapshot, ItemKind::Route) {
            table
                .routes
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route));
        }
        for routes in table.routes.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        for tenant in read_all::<Tenant>(snapshot, ItemKind::Tenant) {
            let tenant = Rc::new(tenant);
            for key in &tenant.api_keys {
                table.tenants_by_key.insert(key.clone(), tenant.clone());
            }
            table.tenants.push(tenant);
        }
        let services = read_all::<Service>(snapshot, ItemKind::Service);
        table.services = services
            .map(|service| (service.name.clone(), service))
            .collect();
        let evacuations = snapshot.present_items(ItemKind::Evacuation);
        table.evacuated = evacuations.map(|item| item.key.name.clone()).collect();
        table.limits = read_all(snapshot, ItemKind::Limits).next();
        let rules = read_all::<MirrorRule>(snapshot, ItemKind::MirrorRule);
        let is_trial = |rule: &MirrorRule| !table.services.contains_key(&rule.trial_service);
        table.mirror_rules = rules.filter(is_trial).collect();
        table
    }

    /// Whether there are no routes: no configuration is known yet.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Requests a second that a backend of a service takes while it warms up; 0: not known.
    pub fn warm_up_rate(&self, service: &str) -> f64 {
        self.services
            .get(service)
            .map_or(0.0, |service| service.warm_up_rate_per_s)
    }

    /// The route and tenant of a request.
    ///
    /// # Errors
    /// Where it has no route, or its key is no tenant's.
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
        if tenant.is_none() && !self.tenants.is_empty() {
            return Err(RoutingError::NoTenant);
        }
        Ok(RouteMatch { route, tenant })
    }

    /// Regions in which a request may be served: where route and tenant both have home regions, those of both.
    pub fn home_regions(route: &Route, tenant: Option<&Tenant>) -> HomeRegions {
        let of_tenant = tenant.map_or(&[][..], |tenant| &tenant.home_regions[..]);
        match (&route.home_regions[..], of_tenant) {
            ([], []) => None,
            (homes, []) | ([], homes) => Some(homes.iter().cloned().collect()),
            (homes, others) => {
                let common = homes.iter().filter(|home| others.contains(home));
                Some(common.cloned().collect())
            }
        }
    }

    /// The service that a request goes to: by weight, `random` from 0 to 1.
    pub fn choose_service(route: &Route, random: f64) -> &str {
        let total: f64 = route.services.iter().map(|service| service.weight).sum();
        let mut left = random * total;
        let chosen = route.services.iter().find(|service| {
            left -= service.weight;
            left < 0.0
        });
        // Rounding may leave none: the last that gets anything.
        let last = || route.services.iter().rfind(|service| service.weight > 0.0);
        &chosen.or_else(last).unwrap_or(&route.services[0]).service
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
