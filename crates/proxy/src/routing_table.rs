//! The configuration in force as requests are read by it: routes by host and prefix, tenants by key.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use damsonbeam_control::items::{ConfigSnapshot, Kind, Limits, Route, Service, Tenant};
use damsonbeam_control::mirror_rules::Rule;

#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// Of each host, the longest prefix first.
    pub(crate) routes: HashMap<String, Vec<Rc<Route>>>,
    pub(crate) keys: HashMap<String, Rc<Tenant>>,
    pub tenants: Vec<Rc<Tenant>>,
    pub services: HashMap<String, Service>,
    pub evacuated: BTreeSet<String>,
    pub limits: Option<Limits>,
    /// Rules for copies whose trial services are none of the real ones.
    pub copies: Vec<Rule>,
}

/// Why a request gets no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    NoRoute,
    NoKey,
}

impl RoutingTable {
    /// Items that can't be read are left out: what was decided has been checked.
    pub fn read(snapshot: &ConfigSnapshot) -> Self {
        let mut routing_table = RoutingTable::default();
        for route in snapshot
            .standing(Kind::Route)
            .filter_map(|i| Route::read(i).ok())
        {
            routing_table
                .routes
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route));
        }
        for all in routing_table.routes.values_mut() {
            all.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        for tenant in snapshot
            .standing(Kind::Tenant)
            .filter_map(|i| Tenant::read(i).ok())
        {
            let tenant = Rc::new(tenant);
            routing_table
                .keys
                .extend(tenant.keys.iter().map(|k| (k.clone(), tenant.clone())));
            routing_table.tenants.push(tenant);
        }
        let services = snapshot
            .standing(Kind::Service)
            .filter_map(|i| Service::read(i).ok());
        routing_table.services = services.map(|s| (s.name.clone(), s)).collect();
        routing_table.evacuated = snapshot
            .standing(Kind::Evacuation)
            .map(|i| i.key.name.clone())
            .collect();
        routing_table.limits = snapshot
            .standing(Kind::Limits)
            .find_map(|i| Limits::read(i).ok());
        let copies = snapshot
            .standing(Kind::Copy)
            .filter_map(|i| Rule::read(i).ok());
        routing_table.copies = copies
            .filter(|c| !routing_table.services.contains_key(&c.trial))
            .collect();
        routing_table
    }

    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// The route and tenant of a request; none where the route is open or no tenants are held.
    ///
    /// # Errors
    /// Where it has no route, or its key is nobody's.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Rc<Route>, Option<&Rc<Tenant>>), Stop> {
        let host = host
            .rsplit_once(':')
            .filter(|(_, p)| p.bytes().all(|b| b.is_ascii_digit()))
            .map_or(host, |h| h.0);
        let all = self
            .routes
            .get(&host.to_ascii_lowercase())
            .ok_or(Stop::NoRoute)?;
        let route = all
            .iter()
            .find(|r| path.starts_with(&r.prefix))
            .ok_or(Stop::NoRoute)?;
        let tenant = key.and_then(|k| self.keys.get(k));
        if route.open || self.tenants.is_empty() {
            return Ok((route, tenant.filter(|_| !route.open)));
        }
        Ok((route, Some(tenant.ok_or(Stop::NoKey)?)))
    }

    /// Regions in which a request may be served: where both have homes, those of both.
    pub fn homes(route: &Route, tenant: Option<&Tenant>) -> Homes {
        let theirs = tenant.map_or(&[][..], |t| &t.homes[..]);
        match (&route.homes[..], theirs) {
            ([], []) => None,
            (one, []) | ([], one) => Some(one.iter().cloned().collect()),
            (one, other) => Some(one.iter().filter(|h| other.contains(h)).cloned().collect()),
        }
    }

    /// The service that a request goes to: by weight, `lot` from 0 to 1.
    pub fn service(route: &Route, lot: f64) -> &str {
        let all: f64 = route.to.iter().map(|t| t.1).sum();
        let mut left = lot * all;
        let drawn = route.to.iter().find(|t| {
            left -= t.1;
            left < 0.0
        });
        &drawn
            .or(route.to.iter().rfind(|t| t.1 > 0.0))
            .unwrap_or(&route.to[0])
            .0
    }
}

/// Regions in which something may be served; none: anywhere.
pub type Homes = Option<BTreeSet<String>>;

#[cfg(test)]
mod tests {
    use super::*;
    use damsonbeam_control::items::Change;

    fn routing_table(text: &str) -> RoutingTable {
        let mut snapshot = ConfigSnapshot::default();
        let change = Change::read(text.as_bytes().to_vec()).expect("reads");
        for item in snapshot.news(&change) {
            snapshot.merge(item);
        }
        RoutingTable::read(&snapshot)
    }

    #[test]
    fn the_longest_prefix_wins_keys_are_asked_for_and_homes_are_met_by_both() {
        let route = |name: &str, prefix: &str, more: &str| {
            format!(
                r#"{{"name":"{name}","host_name":"a.example","path_prefix":"{prefix}","route_type":"read_only","timeout_ms":3000,"target_latency_ms":500,"target_service":"s","max_attempts":2,"config_version":"r1"{more}}}"#
            )
        };
        let (one, two) = (
            route("one", "/x/", ""),
            route(
                "two",
                "/x/y/",
                r#","public_access":true,"serving_regions":["p","q"]"#,
            ),
        );
        let c = routing_table(&format!(
            r#"{{"upserts":{{"route_list":[{one},{two}],"tenant_list":[{{"name":"t","api_keys":["k"],"rate_per_s":5,"burst":5,"serving_regions":["q"],"config_version":"r1"}}]}}}}"#
        ));
        let name = |path, key| {
            c.find("A.example:80", path, key)
                .map(|f| (f.0.name.clone(), f.1.map(|t| t.name.clone())))
        };
        assert_eq!(
            name("/x/z", Some("k")),
            Ok(("one".into(), Some("t".into())))
        );
        assert_eq!(name("/x/y/z", None), Ok(("two".into(), None)));
        assert_eq!(name("/x/z", Some("other")), Err(Stop::NoKey));
        assert_eq!(name("/xy", Some("k")), Err(Stop::NoRoute));
        let two = c.find("a.example", "/x/y/", None).expect("there").0.clone();
        assert_eq!(
            RoutingTable::homes(&two, Some(&c.tenants[0])),
            Some(["q".to_string()].into())
        );
    }

    #[test]
    fn a_split_follows_its_weights_and_gives_nothing_to_a_weight_of_0() {
        let mut r = Route::read(
            &Change::read(br#"{"upserts":{"route_list":[{"name":"r","host_name":"h","path_prefix":"/","route_type":"upload","timeout_ms":1,"target_latency_ms":1,"traffic_split":[{"target_service":"a","weight":90},{"target_service":"b","weight":10},{"target_service":"c","weight":0}],"config_version":"r1"}]}}"#.to_vec())
                .expect("reads")
                .items[0],
        )
        .expect("a route");
        assert_eq!(RoutingTable::service(&r, 0.89), "a");
        assert_eq!(RoutingTable::service(&r, 0.91), "b");
        assert_eq!(RoutingTable::service(&r, 1.0), "b");
        r.to.rotate_right(1);
        assert_eq!(RoutingTable::service(&r, 0.0), "a");
    }
}
