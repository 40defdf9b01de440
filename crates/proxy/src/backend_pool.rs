//! The platform's list as the decision module takes it: what each backend is to this proxy.

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

/// A backend's weight by where it is: a round trip between regions takes longer than most work and is paid for; another
/// zone costs a little; of many in the region this proxy keeps to its subset, so that its connections are used.
const SAME_ZONE_WEIGHT: f64 = 10.0;
const SAME_REGION_WEIGHT: f64 = 8.0;
const OUTSIDE_SUBSET_WEIGHT: f64 = 1.0;
const OTHER_REGION_WEIGHT: f64 = 0.1;
/// A proxy's subset of its region's backends has so many times the slots that are its share by number, and at least so
/// many backends: enough for its surges and for the loss of some.
const SUBSET_HEADROOM: f64 = 1.5;
const LEAST_SUBSET: usize = 8;
/// Requests that the module reckons with at a backend at least, from all gateways, and how many a slot is to have: some
/// wait in the backend's queue, so that no slot is idle for a round trip.
const LEAST_REQUESTS: f64 = 5.0;
const REQUESTS_PER_SLOT: f64 = 1.5;
/// A zone that was evacuated may have begun to warm up just before it was taken back: the list reports it this late.
const EVACUATION_WARM_UP: Duration = Duration::from_millis(2200);

/// This proxy's position among the ready ones of its region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegionPosition {
    /// From 0, in the order of their names.
    pub position: u32,
    /// How many they are.
    pub proxies: u32,
}

/// The backends that this proxy knows.
#[derive(Debug, Default)]
pub struct BackendPool {
    zone: String,
    region: String,
    regions: BTreeMap<String, String>,
    backends: Vec<Backend>,
    /// The module's numbers for the backends.
    ids: HashMap<String, BackendId>,
    last_id: u32,
    slow_start: SlowStart,
    evacuated_zones: Vec<String>,
    region_position: RegionPosition,
    /// What all proxies report to each other of the backends, where they do.
    load_reports: Option<LoadReports>,
}

/// A backend, and what the module is told of it.
pub struct PooledBackend {
    /// What the module is told.
    pub entry: BackendEntry,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its id in the platform's list.
    pub name: Arc<str>,
}

impl BackendPool {
    /// An empty pool of a proxy in that zone and region; `regions`: the region of each zone.
    pub fn new(zone: &str, region: &str, regions: BTreeMap<String, String>) -> Self {
        BackendPool {
            zone: zone.into(),
            region: region.into(),
            regions,
            ..BackendPool::default()
        }
    }

    /// Takes a new list: a backend that was restarted is another one, at whatever address. `random` gives numbers from 0
    /// to 1.
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
                left: Duration::from_millis(backend.warm_up_left_ms),
                rate_per_s: routing_table.warm_up_rate(&backend.service),
            };
            self.slow_start.learn(id, warm_up, random(), now);
        }
        self.slow_start.forget_warm(now);
        if let Some(load_reports) = &mut self.load_reports {
            load_reports.update_backends(&self.backends, &self.ids);
        }
    }

    /// Takes the zones that are evacuated; one that is taken back warms up until the list has had time to report it.
    pub fn evacuate(
        &mut self,
        routing_table: &RoutingTable,
        now: Duration,
        random: &mut dyn FnMut() -> f64,
    ) {
        let before = std::mem::take(&mut self.evacuated_zones);
        let is_taken_back =
            |zone: &String| before.contains(zone) && !routing_table.evacuated.contains(zone);
        for backend in self
            .backends
            .iter()
            .filter(|backend| is_taken_back(&backend.zone))
        {
            let warm_up = WarmUp {
                left: EVACUATION_WARM_UP,
                rate_per_s: routing_table.warm_up_rate(&backend.service),
            };
            self.slow_start
                .learn(self.ids[&backend.id], warm_up, random(), now);
        }
        self.evacuated_zones = routing_table.evacuated.iter().cloned().collect();
    }

    /// Backends that warm up share their rates among so many proxies.
    pub fn set_proxies(&mut self, proxies: u32) {
        self.slow_start.set_proxies(proxies);
    }

    /// The backends that warm up, by the rules of the slow start.
    pub fn slow_start(&mut self) -> &mut SlowStart {
        &mut self.slow_start
    }

    /// What proxies report to each other of the backends; `None` where they do not.
    pub fn load_reports(&mut self) -> Option<&mut LoadReports> {
        self.load_reports.as_mut()
    }

    /// Has load reports change the weights from now on.
    pub fn enable_load_reports(&mut self, load_reports: LoadReports) {
        self.load_reports = Some(load_reports);
    }

    /// Sets this proxy's position in its region, by which it has its subset of the backends.
    pub fn set_region_position(&mut self, region_position: RegionPosition) {
        self.region_position = region_position;
    }

    /// Whether a real backend has that address now.
    pub fn is_real(&self, address: SocketAddr) -> bool {
        self.backends
            .iter()
            .any(|backend| SocketAddr::from(backend.address) == address)
    }

    fn region_of(&self, zone: &str) -> &str {
        self.regions.get(zone).map_or("", |region| region)
    }

    /// Whether a backend may serve what has these home regions.
    fn is_allowed(&self, backend: &Backend, homes: &HomeRegions) -> bool {
        let homes = homes.as_ref();
        homes.is_none_or(|homes| homes.contains(self.region_of(&backend.zone)))
    }

    /// Whether any backend of a service may serve what has these home regions.
    pub fn has(&self, service: &str, homes: &HomeRegions) -> bool {
        let mut backends = self.backends.iter();
        backends.any(|backend| backend.service == service && self.is_allowed(backend, homes))
    }

    /// The backends of a service that may serve what has these home regions.
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

    /// This proxy's subset of a service's backends in its region: in an order by hash, so that zones and speeds mix, each
    /// proxy takes its backends from where the one before it ended. All are covered as evenly as can be.
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
            .map(|(_, backend)| f64::from(backend.slots))
            .sum();
        let RegionPosition { position, proxies } = self.region_position;
        let share = SUBSET_HEADROOM * slots / f64::from(proxies.max(1));
        let size = (share.ceil() as usize).max(LEAST_SUBSET).min(ring.len());
        let first = position as usize * size;
        let indices = (first..first + size).map(|index| index % ring.len());
        indices.map(|index| ring[index].1.id.as_str()).collect()
    }

    fn pooled(&self, backend: &Backend, subset: &HashSet<&str>, now: Duration) -> PooledBackend {
        let id = self.ids[&backend.id];
        let is_evacuated = self.evacuated_zones.contains(&backend.zone);
        let is_closed = backend.draining || is_evacuated || !self.slow_start.is_open(id, now);
        let zone = self.regions.keys().position(|zone| *zone == backend.zone);
        let entry = BackendEntry {
            backend_id: id,
            health: if is_closed {
                Health::Draining
            } else {
                Health::Up
            },
            since: Duration::ZERO,
            kind: 0,
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
        let by_place = if self.region_of(&backend.zone) != self.region {
            OTHER_REGION_WEIGHT
        } else if !subset.contains(backend.id.as_str()) {
            OUTSIDE_SUBSET_WEIGHT
        } else if backend.zone == self.zone {
            SAME_ZONE_WEIGHT
        } else {
            SAME_REGION_WEIGHT
        };
        let load_reports = self.load_reports.as_ref();
        let by_load =
            load_reports.map_or(1.0, |reports| reports.factor(&backend.service, &backend.id));
        by_place * by_load
    }

    /// How many gateways the module is to reckon with: it divides a backend's requests among them. Those that matter are
    /// the `nearby` ones, for all prefer their own region's backends.
    pub fn gateways(&self, service: &str, nearby: u32) -> u32 {
        let backends = self
            .backends
            .iter()
            .filter(|backend| backend.service == service);
        let slots: Vec<f64> = backends.map(|backend| f64::from(backend.slots)).collect();
        let mean = if slots.is_empty() {
            1.0
        } else {
            slots.iter().sum::<f64>() / slots.len() as f64
        };
        let gateways = LEAST_REQUESTS * f64::from(nearby.max(1)) / (mean * REQUESTS_PER_SLOT);
        (gateways as u32).max(1)
    }

    /// A backend's entry once its turn is used while it warms up.
    pub fn closed_entry(&self, id: BackendId, now: Duration) -> Option<BackendEntry> {
        let mut backends = self.backends.iter();
        let backend = backends.find(|backend| self.ids.get(&backend.id) == Some(&id))?;
        let subset = self.subset(&backend.service);
        Some(BackendEntry {
            health: Health::Draining,
            ..self.pooled(backend, &subset, now).entry
        })
    }

    /// Whether no backend is known.
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }
}
