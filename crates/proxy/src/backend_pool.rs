//! The backends known to this proxy, and how each is presented to the decision module.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{BackendEntry, BackendId, Health};
use damsonbeam_control::config::stable_hash;
use damsonbeam_control::messages::Backend;

use crate::load_reports::LoadReports;
use crate::routing_table::{HomeRegions, RoutingTable};
use crate::slow_start::{SlowStart, WarmUp};

/// Weight of a backend by its location. A round trip between regions takes longer than most
/// requests and costs money; one between zones costs little. Within the region, the proxy prefers
/// its subset of the backends so that its connections are reused.
const SAME_ZONE_WEIGHT: f64 = 10.0;
const SAME_REGION_WEIGHT: f64 = 8.0;
const OUTSIDE_SUBSET_WEIGHT: f64 = 1.0;
const OTHER_REGION_WEIGHT: f64 = 0.1;
/// A proxy's subset of the backends in its region has at least `SUBSET_HEADROOM` times the slots of
/// an equal share and at least `MIN_SUBSET_BACKENDS` backends: enough for its surges and for the
/// loss of some backends.
const SUBSET_HEADROOM: f64 = 1.5;
const MIN_SUBSET_BACKENDS: usize = 8;
/// The module assumes at least `MIN_REQUESTS_PER_BACKEND` requests at a backend from all gateways.
/// `REQUESTS_PER_SLOT` is the targeted number of requests per slot; some requests wait in the
/// backend's queue so that no slot is idle for a round trip.
const MIN_REQUESTS_PER_BACKEND: f64 = 5.0;
const REQUESTS_PER_SLOT: f64 = 1.5;
/// Delay until the platform's list reports the warm-up of backends in a zone that was returned to
/// service. They may have begun to warm up just before.
const REJOIN_WARM_UP: Duration = Duration::from_millis(2200);

/// Position of this proxy among the ready proxies of its region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegionPosition {
    /// Zero-based position in the order of the proxies' names.
    pub position: u32,
    /// Number of ready proxies in the region.
    pub proxy_count: u32,
}

/// The backends known to this proxy.
#[derive(Debug, Default)]
pub struct BackendPool {
    zone: String,
    region: String,
    regions: BTreeMap<String, String>,
    backends: Vec<Backend>,
    /// The module's ids of the backends, by platform id.
    ids: HashMap<String, BackendId>,
    last_id: u32,
    slow_start: SlowStart,
    evacuated_zones: Vec<String>,
    region_position: RegionPosition,
    /// Load reports exchanged among the proxies; `None` if disabled.
    load_reports: Option<LoadReports>,
}

/// A backend and its entry in the module's backend list.
pub struct PooledBackend {
    /// Entry in the module's backend list.
    pub entry: BackendEntry,
    /// Address on which the backend receives requests.
    pub address: SocketAddr,
    /// Id in the platform's list.
    pub name: Arc<str>,
}

impl BackendPool {
    /// Creates an empty pool for a proxy in the given zone and region. `regions` maps each zone to
    /// its region.
    pub fn new(zone: &str, region: &str, regions: BTreeMap<String, String>) -> Self {
        BackendPool {
            zone: zone.into(),
            region: region.into(),
            regions,
            ..BackendPool::default()
        }
    }

    /// Replaces the list of backends. A restarted backend is a different backend, whatever its
    /// address. `random` returns numbers from 0 to 1.
    pub fn update(
        &mut self,
        backends: Vec<Backend>,
        routing_table: &RoutingTable,
        now: Duration,
        random: &mut dyn FnMut() -> f64,
    ) {
        self.backends = backends;
        let known = |backend: &Backend| {
            let id = *self.ids.get(&backend.id)?;
            Some((backend.id.clone(), id))
        };
        self.ids = self.backends.iter().filter_map(known).collect();
        for backend in &self.backends {
            let id = *self.ids.entry(backend.id.clone()).or_insert_with(|| {
                self.last_id += 1;
                BackendId(self.last_id)
            });
            let warm_up = WarmUp {
                remaining: Duration::from_millis(backend.warm_up_left_ms),
                rate_per_s: routing_table.warm_up_rate(&backend.service),
            };
            self.slow_start.record_warm_up(id, warm_up, random(), now);
        }
        self.slow_start.remove_warm(now);
        if let Some(load_reports) = &mut self.load_reports {
            load_reports.update_backends(&self.backends, &self.ids);
        }
    }

    /// Sets the evacuated zones. Backends of a zone that is returned to service are treated as
    /// warming up until the platform's list has had time to report their warm-up.
    pub fn set_evacuated_zones(
        &mut self,
        routing_table: &RoutingTable,
        now: Duration,
        random: &mut dyn FnMut() -> f64,
    ) {
        let before = std::mem::take(&mut self.evacuated_zones);
        let is_rejoining =
            |zone: &String| before.contains(zone) && !routing_table.evacuated_zones.contains(zone);
        for backend in self
            .backends
            .iter()
            .filter(|backend| is_rejoining(&backend.zone))
        {
            let warm_up = WarmUp {
                remaining: REJOIN_WARM_UP,
                rate_per_s: routing_table.warm_up_rate(&backend.service),
            };
            self.slow_start
                .record_warm_up(self.ids[&backend.id], warm_up, random(), now);
        }
        self.evacuated_zones = routing_table.evacuated_zones.iter().cloned().collect();
    }

    /// Sets the number of proxies that share the request rates of backends that warm up.
    pub fn set_proxy_count(&mut self, proxies: u32) {
        self.slow_start.set_proxy_count(proxies);
    }

    /// Returns the slow start of backends that warm up.
    pub fn slow_start(&mut self) -> &mut SlowStart {
        &mut self.slow_start
    }

    /// Returns the load reports exchanged among the proxies, or `None` if disabled.
    pub fn load_reports(&mut self) -> Option<&mut LoadReports> {
        self.load_reports.as_mut()
    }

    /// Enables load reports, which adjust the weights from now on.
    pub fn enable_load_reports(&mut self, load_reports: LoadReports) {
        self.load_reports = Some(load_reports);
    }

    /// Sets this proxy's position in its region, which determines its subset of the backends.
    pub fn set_region_position(&mut self, region_position: RegionPosition) {
        self.region_position = region_position;
    }

    /// Returns whether a backend in the current list has this address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.backends
            .iter()
            .any(|backend| SocketAddr::from(backend.address) == address)
    }

    fn region_of(&self, zone: &str) -> &str {
        self.regions.get(zone).map_or("", |region| region)
    }

    /// Returns whether a backend may serve requests with these home regions.
    fn is_allowed(&self, backend: &Backend, homes: &HomeRegions) -> bool {
        let homes = homes.as_ref();
        homes.is_none_or(|homes| homes.contains(self.region_of(&backend.zone)))
    }

    /// Returns whether any backend of a service may serve requests with these home regions.
    pub fn has_backends(&self, service: &str, homes: &HomeRegions) -> bool {
        let mut backends = self.backends.iter();
        backends.any(|backend| backend.service == service && self.is_allowed(backend, homes))
    }

    /// Returns the backends of a service that may serve requests with these home regions.
    pub fn backends(
        &self,
        service: &str,
        homes: &HomeRegions,
        now: Duration,
    ) -> Vec<PooledBackend> {
        let subset = self.subset(service);
        let backends = self
            .backends
            .iter()
            .filter(|backend| backend.service == service);
        let backends = backends.filter(|backend| self.is_allowed(backend, homes));
        backends
            .map(|backend| self.pooled(backend, &subset, now))
            .collect()
    }

    /// Returns this proxy's subset of a service's backends in its region. Backends are ordered by
    /// hash, which mixes zones and speeds. Each proxy's subset starts where the subset of the proxy
    /// before it ends, so the backends are covered as evenly as possible.
    pub fn subset(&self, service: &str) -> HashSet<&str> {
        let is_in_region = |backend: &&Backend| {
            backend.service == service && self.region_of(&backend.zone) == self.region
        };
        let backends = self.backends.iter().filter(is_in_region);
        let mut ring: Vec<(u64, &Backend)> = backends
            .map(|backend| (stable_hash(&backend.id), backend))
            .collect();
        ring.sort_unstable_by_key(|(hash, _)| *hash);
        let slots: f64 = ring
            .iter()
            .map(|(_, backend)| f64::from(backend.capacity_slots))
            .sum();
        let RegionPosition {
            position,
            proxy_count,
        } = self.region_position;
        let share = SUBSET_HEADROOM * slots / f64::from(proxy_count.max(1));
        let size = (share.ceil() as usize)
            .max(MIN_SUBSET_BACKENDS)
            .min(ring.len());
        let first = position as usize * size;
        let indices = (first..first + size).map(|index| index % ring.len());
        indices.map(|index| ring[index].1.id.as_str()).collect()
    }

    fn pooled(&self, backend: &Backend, subset: &HashSet<&str>, now: Duration) -> PooledBackend {
        let id = self.ids[&backend.id];
        let is_evacuated = self.evacuated_zones.contains(&backend.zone);
        let is_unavailable = backend.draining || is_evacuated || !self.slow_start.is_open(id, now);
        let zone = self.regions.keys().position(|zone| *zone == backend.zone);
        let entry = BackendEntry {
            backend_id: id,
            health: if is_unavailable {
                Health::Draining
            } else {
                Health::Up
            },
            started_at: Duration::ZERO,
            machine_type: 0,
            zone: zone.unwrap_or(self.regions.len()) as u32,
            cell: 0,
            weight: self.weight(backend, subset),
        };
        PooledBackend {
            entry,
            address: backend.address.into(),
            name: backend.id.as_str().into(),
        }
    }

    fn weight(&self, backend: &Backend, subset: &HashSet<&str>) -> f64 {
        let location_weight = if self.region_of(&backend.zone) != self.region {
            OTHER_REGION_WEIGHT
        } else if !subset.contains(backend.id.as_str()) {
            OUTSIDE_SUBSET_WEIGHT
        } else if backend.zone == self.zone {
            SAME_ZONE_WEIGHT
        } else {
            SAME_REGION_WEIGHT
        };
        let load_reports = self.load_reports.as_ref();
        let load_factor =
            load_reports.map_or(1.0, |reports| reports.factor(&backend.service, &backend.id));
        location_weight * load_factor
    }

    /// Returns the number of gateways for the module's settings; the module divides a backend's
    /// requests among that many. Only the `nearby` proxies are counted, because every proxy prefers
    /// the backends of its own region.
    pub fn gateways(&self, service: &str, nearby: u32) -> u32 {
        let backends = self
            .backends
            .iter()
            .filter(|backend| backend.service == service);
        let slots: Vec<f64> = backends
            .map(|backend| f64::from(backend.capacity_slots))
            .collect();
        let mean = if slots.is_empty() {
            1.0
        } else {
            slots.iter().sum::<f64>() / slots.len() as f64
        };
        let gateways =
            MIN_REQUESTS_PER_BACKEND * f64::from(nearby.max(1)) / (mean * REQUESTS_PER_SLOT);
        (gateways as u32).max(1)
    }

    /// Returns the entry of a backend that warms up after its turn has been used.
    pub fn unavailable_entry(&self, id: BackendId, now: Duration) -> Option<BackendEntry> {
        let mut backends = self.backends.iter();
        let backend = backends.find(|backend| self.ids.get(&backend.id) == Some(&id))?;
        let subset = self.subset(&backend.service);
        Some(BackendEntry {
            health: Health::Draining,
            ..self.pooled(backend, &subset, now).entry
        })
    }

    /// Returns whether no backends are known.
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }
}
