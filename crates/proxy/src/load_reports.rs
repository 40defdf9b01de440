//! Load summaries at this proxy, free of I/O: deliveries are seen here, datagrams come and go, and what is known of each
//! backend becomes a factor on the weight by which the decision module knows it.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::time::Duration;

use damsonbeam::interface::{Outcome, TgtId};
use damsonbeam_control::messages::{Ip, Server};
use damsonbeam_load_reports::gossip::Gossip;
use damsonbeam_load_reports::observation::{BackendKey, DeliveryEnd, backend_key};
use damsonbeam_load_reports::weight::{BackendLoad, WeightFactors};

/// Between two looks at what is told: two rounds of gossip.
const LOOK: Duration = Duration::from_millis(400);

#[derive(Debug)]
pub struct LoadReports {
    pub gossip: Gossip<Ip>,
    keys: HashMap<TgtId, BackendKey>,
    /// By service: the backends' keys, names and slots.
    services: BTreeMap<String, HashMap<BackendKey, (String, f64)>>,
    factors: BTreeMap<String, WeightFactors>,
    looked: Duration,
}

impl LoadReports {
    pub fn new(life: u64, seed: u64) -> Self {
        LoadReports {
            gossip: Gossip::new(life as u32, seed),
            keys: HashMap::new(),
            services: BTreeMap::new(),
            factors: BTreeMap::new(),
            looked: Duration::ZERO,
        }
    }

    /// A new list: what is known of backends that are gone goes.
    pub fn take(&mut self, servers: &[Server], ids: &HashMap<String, TgtId>) {
        self.keys = ids
            .iter()
            .map(|(id, tgt)| (*tgt, backend_key(id)))
            .collect();
        self.services.clear();
        for s in servers {
            let row = (s.id.clone(), f64::from(s.slots));
            self.services
                .entry(s.service.clone())
                .or_default()
                .insert(backend_key(&s.id), row);
        }
        self.factors
            .retain(|service, _| self.services.contains_key(service));
        let services = &self.services;
        self.gossip
            .table
            .retain(&|m| services.values().any(|s| s.contains_key(&m)));
    }

    pub fn sent(&mut self, tgt: TgtId, now: Duration) {
        if let Some(m) = self.keys.get(&tgt) {
            self.gossip.observer.begin(*m, now);
        }
    }

    pub fn ended(&mut self, tgt: TgtId, outcome: Outcome, took: Duration, now: Duration) {
        let end = match outcome {
            Outcome::Ok => DeliveryEnd::Answered,
            Outcome::Full => DeliveryEnd::Full,
            // What was called off here, or never sent, tells nothing.
            Outcome::Canceled | Outcome::Ignored => DeliveryEnd::Cancelled,
            Outcome::Failed | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                DeliveryEnd::Failed
            }
        };
        if let Some(m) = self.keys.get(&tgt) {
            self.gossip.observer.end(*m, end, took, now);
        }
    }

    pub fn heard(&mut self, from: Ip, bytes: &[u8], now: Duration) {
        let services = &self.services;
        self.gossip.receive(
            from,
            bytes,
            &|m| services.values().any(|s| s.contains_key(&m)),
            now,
        );
    }

    fn load(&mut self, m: BackendKey, slots: f64, now: Duration) -> BackendLoad {
        BackendLoad {
            slots,
            own: self.gossip.observer.observe(m, now),
            told: self.gossip.table.view(m, now),
        }
    }

    /// What is told, looked at anew now and then; whether the modules have to hear of it.
    pub fn look(&mut self, now: Duration) -> bool {
        if now < self.looked + LOOK {
            return false;
        }
        self.looked = now;
        let services = std::mem::take(&mut self.services);
        let mut changed = false;
        for (service, backends) in &services {
            let all = backends
                .iter()
                .map(|(m, (_, slots))| (*m, self.load(*m, *slots, now)))
                .collect();
            changed |= self
                .factors
                .entry(service.clone())
                .or_default()
                .update(&all, now);
        }
        self.services = services;
        changed
    }

    pub fn factor(&self, service: &str, id: &str) -> f64 {
        self.factors
            .get(service)
            .map_or(1.0, |e| e.factor(backend_key(id)))
    }

    /// As JSON, for staff: what is known of each backend, from how many, how old.
    pub fn show(&mut self, now: Duration) -> String {
        let mut out = String::from("{\"backends\":[");
        let services = std::mem::take(&mut self.services);
        let mut comma = "";
        for (service, backends) in &services {
            let mut rows: Vec<_> = backends.iter().collect();
            rows.sort_by(|a, b| a.1.0.cmp(&b.1.0));
            for (m, (id, slots)) in rows {
                let BackendLoad { own, told, .. } = self.load(*m, *slots, now);
                write!(
                    out,
                    "{comma}\n{{\"id\":\"{id}\",\"service\":\"{service}\",\"own_out\":{},\"own_usual_ms\":{},\
                     \"told_out\":{:.1},\"told_by\":{},\"oldest_ms\":{},\"weight_kept\":{:.2}}}",
                    own.out,
                    own.usual_ms,
                    told.out,
                    told.origins,
                    told.oldest.as_millis(),
                    self.factor(service, id)
                )
                .expect("written to a text");
                comma = ",";
            }
        }
        self.services = services;
        out + "]}\n"
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn server(n: u32) -> Server {
        Server {
            id: format!("i-{n}"),
            service: "s".into(),
            at: ([10, 0, 0, n as u8], 80),
            zone: "a".into(),
            slots: 2,
            draining: false,
            cold_ms: 0,
        }
    }

    #[test]
    fn what_others_see_of_a_backend_takes_weight_and_a_new_list_forgets_it() {
        let at = Duration::from_millis;
        let servers: Vec<Server> = (0..4).map(server).collect();
        let ids: HashMap<String, TgtId> = (0..4).map(|n| (format!("i-{n}"), TgtId(n))).collect();
        let load_reports = |life| {
            let mut c = LoadReports::new(life, life);
            c.take(&servers, &ids);
            c
        };
        let (mut a, mut b) = (load_reports(1), load_reports(2));
        a.gossip.near = vec![[10, 1, 0, 2]];
        // The first proxy waits for one backend and is answered by the others.
        for n in 0..4 {
            (0..3).for_each(|_| a.sent(TgtId(n), at(0)));
            if n > 0 {
                (0..3).for_each(|_| a.ended(TgtId(n), Outcome::Ok, at(50), at(50)));
            }
        }
        for t in (1000..3000).step_by(100) {
            a.gossip
                .tick(at(t))
                .into_iter()
                .for_each(|(_, bytes)| b.heard([10, 1, 0, 1], &bytes, at(t + 1)));
            b.look(at(t + 2));
        }
        assert!(
            b.factor("s", "i-0") < 0.5 && b.factor("s", "i-1") == 1.0,
            "{}",
            b.show(at(3000))
        );
        assert!(
            b.show(at(3000))
                .contains("\"id\":\"i-0\",\"service\":\"s\",\"own_out\":0"),
            "{}",
            b.show(at(3000))
        );
        b.take(&servers[1..], &ids);
        assert!(!b.show(at(3000)).contains("i-0"));
        b.look(at(4000));
        assert_eq!(b.factor("s", "i-0"), 1.0, "its name is nobody's now");
    }
}
