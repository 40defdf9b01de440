//! Load reports about backends, without I/O: observes this proxy's attempts, encodes and decodes the datagrams
//! exchanged with other proxies, and derives a factor for each backend's weight in the decision module.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use damsonbeam::interface::{BackendId, Outcome};
use damsonbeam_control::address::Ip;
use damsonbeam_control::messages::Backend;
use damsonbeam_load_reports::gossip::Gossip;
use damsonbeam_load_reports::observation::{AttemptEnd, BackendKey, backend_key};
use damsonbeam_load_reports::weight::{BackendLoad, WeightFactors};

/// Interval between updates of the weight factors: two gossip rounds.
const UPDATE_INTERVAL: Duration = Duration::from_millis(400);

/// A backend whose load is reported.
#[derive(Clone, Debug)]
struct ReportedBackend {
    id: String,
    /// Number of requests that the backend processes at the same time.
    slots: f64,
}

type ServiceBackends = HashMap<BackendKey, ReportedBackend>;

/// The load of backends as observed by this proxy and as reported by others, with the weight factors derived from it.
#[derive(Debug)]
pub struct LoadReports {
    gossip: Gossip<Ip>,
    keys: HashMap<BackendId, BackendKey>,
    services: BTreeMap<String, ServiceBackends>,
    factors: BTreeMap<String, WeightFactors>,
    last_update: Duration,
}

impl LoadReports {
    /// Creates the reports of a proxy that has just started. `incarnation` identifies the proxy in its reports; `seed`
    /// seeds the choice among its partners.
    pub fn new(incarnation: u64, seed: u64) -> Self {
        LoadReports {
            gossip: Gossip::new(incarnation as u32, seed),
            keys: HashMap::new(),
            services: BTreeMap::new(),
            factors: BTreeMap::new(),
            last_update: Duration::ZERO,
        }
    }

    /// Sets the proxies that reports are sent to: `near` ones of this region, `far` ones of other regions.
    pub fn set_partners(&mut self, near: Vec<Ip>, far: Vec<Ip>) {
        self.gossip.near = near;
        self.gossip.far = far;
    }

    /// Applies a new backend list, and discards reports about backends and factors of services that are not in it.
    pub fn update_backends(&mut self, backends: &[Backend], ids: &HashMap<String, BackendId>) {
        self.keys = ids
            .iter()
            .map(|(id, number)| (*number, backend_key(id)))
            .collect();
        self.services.clear();
        for backend in backends {
            let reported = ReportedBackend {
                id: backend.id.clone(),
                slots: f64::from(backend.capacity_slots),
            };
            let service = self.services.entry(backend.service.clone()).or_default();
            service.insert(backend_key(&backend.id), reported);
        }
        let services = &self.services;
        self.factors
            .retain(|service, _| services.contains_key(service));
        self.gossip.table.retain(&|key| is_known(services, key));
    }

    /// Records that an attempt was sent to a backend.
    pub fn attempt_sent(&mut self, backend: BackendId, now: Duration) {
        if let Some(key) = self.keys.get(&backend) {
            self.gossip.observer.begin(*key, now);
        }
    }

    /// Records how an attempt at a backend ended, and how long it took.
    pub fn attempt_ended(
        &mut self,
        backend: BackendId,
        outcome: Outcome,
        took: Duration,
        now: Duration,
    ) {
        let end = match outcome {
            Outcome::Ok => AttemptEnd::Answered,
            Outcome::Full => AttemptEnd::Full,
            // An attempt that this proxy cancelled or never sent says nothing about the backend's load.
            Outcome::Canceled | Outcome::Ignored => AttemptEnd::Cancelled,
            Outcome::Failed | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                AttemptEnd::Failed
            }
        };
        if let Some(key) = self.keys.get(&backend) {
            self.gossip.observer.end(*key, end, took, now);
        }
    }

    /// Merges a datagram of another proxy.
    pub fn receive(&mut self, from: Ip, bytes: &[u8], now: Duration) {
        let services = &self.services;
        self.gossip
            .receive(from, bytes, &|key| is_known(services, key), now);
    }

    /// Returns the datagrams that are due, each with its recipient.
    pub fn tick(&mut self, now: Duration) -> Vec<(Ip, Vec<u8>)> {
        self.gossip.tick(now)
    }

    /// Returns the load of a backend as observed here and as reported by other proxies.
    fn load(&mut self, key: BackendKey, slots: f64, now: Duration) -> BackendLoad {
        BackendLoad {
            slots,
            own: self.gossip.observer.observe(key, now),
            reported: self.gossip.table.view(key, now),
        }
    }

    /// Updates the weight factors once per `UPDATE_INTERVAL`; returns whether any has changed.
    pub fn update_factors(&mut self, now: Duration) -> bool {
        if now < self.last_update + UPDATE_INTERVAL {
            return false;
        }
        self.last_update = now;
        let services = std::mem::take(&mut self.services);
        let mut has_changed = false;
        for (service, backends) in &services {
            let mut loads = HashMap::with_capacity(backends.len());
            for (key, backend) in backends {
                loads.insert(*key, self.load(*key, backend.slots, now));
            }
            let factors = self.factors.entry(service.clone()).or_default();
            has_changed |= factors.update(&loads, now);
        }
        self.services = services;
        has_changed
    }

    /// Returns the factor for a backend's weight; 1 where no load is known.
    pub fn factor(&self, service: &str, id: &str) -> f64 {
        let factors = self.factors.get(service);
        factors.map_or(1.0, |factors| factors.factor(backend_key(id)))
    }

    /// Returns a report for operators as JSON: the known load of each backend, the number of proxies that reported it,
    /// and the age of the oldest report.
    pub fn to_json(&mut self, now: Duration) -> String {
        let services = std::mem::take(&mut self.services);
        let mut rows = Vec::new();
        for (service, backends) in &services {
            let mut backends: Vec<_> = backends.iter().collect();
            backends.sort_by(|(_, a), (_, b)| a.id.cmp(&b.id));
            for (key, backend) in backends {
                rows.push(self.backend_to_json(service, *key, backend, now));
            }
        }
        self.services = services;
        format!("{{\"backends\":[{}]}}\n", rows.join(","))
    }

    fn backend_to_json(
        &mut self,
        service: &str,
        key: BackendKey,
        backend: &ReportedBackend,
        now: Duration,
    ) -> String {
        let BackendLoad { own, reported, .. } = self.load(key, backend.slots, now);
        let id = &backend.id;
        format!(
            "\n{{\"id\":\"{id}\",\"service\":\"{service}\",\"own_out\":{},\"own_usual_ms\":{},\
             \"told_out\":{:.1},\"told_by\":{},\"oldest_ms\":{},\"weight_kept\":{:.2}}}",
            own.in_progress,
            own.response_ms,
            reported.in_progress,
            reported.origins,
            reported.oldest.as_millis(),
            self.factor(service, id)
        )
    }
}

/// Returns whether a backend is in the current backend list.
fn is_known(services: &BTreeMap<String, ServiceBackends>, key: BackendKey) -> bool {
    services
        .values()
        .any(|backends| backends.contains_key(&key))
}
