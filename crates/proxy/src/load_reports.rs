//! Load reports at this proxy, free of I/O: attempts are observed here, datagrams come and go, and what is known of each
//! backend becomes a factor on the weight by which the decision module knows it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use damsonbeam::interface::{BackendId, Outcome};
use damsonbeam_control::address::Ip;
use damsonbeam_control::messages::Backend;
use damsonbeam_load_reports::gossip::Gossip;
use damsonbeam_load_reports::observation::{BackendKey, DeliveryEnd, backend_key};
use damsonbeam_load_reports::weight::{BackendLoad, WeightFactors};

/// Between two updates of the factors: two rounds of gossip.
const UPDATE_INTERVAL: Duration = Duration::from_millis(400);

/// A backend of a service.
#[derive(Clone, Debug)]
struct ReportedBackend {
    id: String,
    slots: f64,
}

type ServiceBackends = HashMap<BackendKey, ReportedBackend>;

/// What proxies report to each other of the backends.
#[derive(Debug)]
pub struct LoadReports {
    gossip: Gossip<Ip>,
    keys: HashMap<BackendId, BackendKey>,
    services: BTreeMap<String, ServiceBackends>,
    factors: BTreeMap<String, WeightFactors>,
    last_update: Duration,
}

impl LoadReports {
    /// Reports of a proxy that has just started; its incarnation names it, `seed` chooses among its partners.
    pub fn new(incarnation: u64, seed: u64) -> Self {
        LoadReports {
            gossip: Gossip::new(incarnation as u32, seed),
            keys: HashMap::new(),
            services: BTreeMap::new(),
            factors: BTreeMap::new(),
            last_update: Duration::ZERO,
        }
    }

    /// Sets the proxies that reports go to: some of this region, some of others.
    pub fn set_partners(&mut self, near: Vec<Ip>, far: Vec<Ip>) {
        self.gossip.near = near;
        self.gossip.far = far;
    }

    /// Takes a new list of backends: what is known of others is forgotten.
    pub fn update_backends(&mut self, backends: &[Backend], ids: &HashMap<String, BackendId>) {
        self.keys = ids
            .iter()
            .map(|(id, number)| (*number, backend_key(id)))
            .collect();
        self.services.clear();
        for backend in backends {
            let reported = ReportedBackend {
                id: backend.id.clone(),
                slots: f64::from(backend.slots),
            };
            let service = self.services.entry(backend.service.clone()).or_default();
            service.insert(backend_key(&backend.id), reported);
        }
        let services = &self.services;
        self.factors
            .retain(|service, _| services.contains_key(service));
        self.gossip.table.retain(&|key| is_known(services, key));
    }

    /// An attempt was sent to a backend.
    pub fn attempt_sent(&mut self, backend: BackendId, now: Duration) {
        if let Some(key) = self.keys.get(&backend) {
            self.gossip.observer.begin(*key, now);
        }
    }

    /// An attempt at a backend has ended.
    pub fn attempt_ended(
        &mut self,
        backend: BackendId,
        outcome: Outcome,
        took: Duration,
        now: Duration,
    ) {
        let end = match outcome {
            Outcome::Ok => DeliveryEnd::Answered,
            Outcome::Full => DeliveryEnd::Full,
            // What was cancelled here, or never sent, shows nothing.
            Outcome::Canceled | Outcome::Ignored => DeliveryEnd::Cancelled,
            Outcome::Failed | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                DeliveryEnd::Failed
            }
        };
        if let Some(key) = self.keys.get(&backend) {
            self.gossip.observer.end(*key, end, took, now);
        }
    }

    /// Takes a datagram of another proxy.
    pub fn receive(&mut self, from: Ip, bytes: &[u8], now: Duration) {
        let services = &self.services;
        self.gossip
            .receive(from, bytes, &|key| is_known(services, key), now);
    }

    /// Datagrams to be sent now, and to whom.
    pub fn tick(&mut self, now: Duration) -> Vec<(Ip, Vec<u8>)> {
        self.gossip.tick(now)
    }

    fn load(&mut self, key: BackendKey, slots: f64, now: Duration) -> BackendLoad {
        BackendLoad {
            slots,
            own: self.gossip.observer.observe(key, now),
            told: self.gossip.table.view(key, now),
        }
    }

    /// Updates the factors when it is time to; returns whether they have changed.
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

    /// The factor on a backend's weight.
    pub fn factor(&self, service: &str, id: &str) -> f64 {
        let factors = self.factors.get(service);
        factors.map_or(1.0, |factors| factors.factor(backend_key(id)))
    }

    /// As JSON, for operators: what is known of each backend, from how many proxies, how old.
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
        let BackendLoad { own, told, .. } = self.load(key, backend.slots, now);
        let id = &backend.id;
        format!(
            "\n{{\"id\":\"{id}\",\"service\":\"{service}\",\"own_out\":{},\"own_usual_ms\":{},\
             \"told_out\":{:.1},\"told_by\":{},\"oldest_ms\":{},\"weight_kept\":{:.2}}}",
            own.out,
            own.usual_ms,
            told.out,
            told.origins,
            told.oldest.as_millis(),
            self.factor(service, id)
        )
    }
}

fn is_known(services: &BTreeMap<String, ServiceBackends>, key: BackendKey) -> bool {
    services
        .values()
        .any(|backends| backends.contains_key(&key))
}
