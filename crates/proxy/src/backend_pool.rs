//! The platform's list as the decision module takes it: what each backend is to this proxy.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{Entry, Health, TgtId};
use damsonbeam_control::items::hashed;
use damsonbeam_control::messages::{Server, addr};

use crate::load_reports::LoadReports;
use crate::routing_table::{Homes, RoutingTable};
use crate::slow_start::SlowStart;

/// How much a backend counts by where it is: the way between regions takes longer than most work and is paid for;
/// another zone costs a little; of many in the region this proxy keeps to its part, so that its connections are used.
const ZONE: f64 = 10.0;
const NEAR: f64 = 8.0;
const REST: f64 = 1.0;
const FAR: f64 = 0.1;
/// A proxy's part of its region's backends has so many times the slots that are its by number, and at least so many
/// backends: enough for its surges and for the loss of some.
const ROOM: f64 = 1.5;
const FEW: usize = 8;
/// Places of a backend at all gateways that the module reckons with at least, and how many a slot is to have:
/// some wait in its queue, so that no slot stands idle for the way there and back.
const PLACES: f64 = 5.0;
const A_SLOT: f64 = 1.5;
/// A zone that was evacuated may have turned cold just before it was taken back: the list tells so this late.
const UNTOLD: Duration = Duration::from_millis(2200);

#[derive(Debug, Default)]
pub struct BackendPool {
    pub zone: String,
    pub region: String,
    pub zones: BTreeMap<String, String>,
    servers: Vec<Server>,
    ids: HashMap<String, TgtId>,
    next: u32,
    pub slow_start: SlowStart,
    evacuated: Vec<String>,
    /// This proxy's place among the ready ones of its region, and their number.
    pub place: (u32, u32),
    /// What all proxies tell each other of the backends, where they do.
    pub load_reports: Option<LoadReports>,
}

/// A backend and what the module is told of it.
pub struct Line {
    pub entry: Entry,
    pub at: SocketAddr,
    pub name: Arc<str>,
}

impl BackendPool {
    pub fn new(zone: &str, region: &str, zones: BTreeMap<String, String>) -> Self {
        BackendPool {
            zone: zone.into(),
            region: region.into(),
            zones,
            ..BackendPool::default()
        }
    }

    /// A new list: a new life is another backend, at whatever address.
    pub fn take(
        &mut self,
        servers: Vec<Server>,
        routing_table: &RoutingTable,
        now: Duration,
        lot: &mut dyn FnMut() -> f64,
    ) {
        self.servers = servers;
        let stay: HashMap<String, TgtId> = self
            .servers
            .iter()
            .filter_map(|s| Some((s.id.clone(), *self.ids.get(&s.id)?)))
            .collect();
        self.ids = stay;
        for s in &self.servers {
            let tgt = *self.ids.entry(s.id.clone()).or_insert_with(|| {
                self.next += 1;
                TgtId(self.next)
            });
            let rate = routing_table
                .services
                .get(&s.service)
                .map_or(0.0, |c| c.cold_rate);
            self.slow_start
                .learn(tgt, Duration::from_millis(s.cold_ms), rate, lot(), now);
        }
        self.slow_start.forget(now);
        if let Some(load_reports) = &mut self.load_reports {
            load_reports.take(&self.servers, &self.ids);
        }
    }

    /// Zones that are to get nothing; one taken back is cold until the list has had time to tell.
    pub fn evacuate(
        &mut self,
        routing_table: &RoutingTable,
        now: Duration,
        lot: &mut dyn FnMut() -> f64,
    ) {
        let back: Vec<String> = self
            .evacuated
            .iter()
            .filter(|z| !routing_table.evacuated.contains(*z))
            .cloned()
            .collect();
        for s in self.servers.iter().filter(|s| back.contains(&s.zone)) {
            let rate = routing_table
                .services
                .get(&s.service)
                .map_or(0.0, |c| c.cold_rate);
            self.slow_start
                .learn(self.ids[&s.id], UNTOLD, rate, lot(), now);
        }
        self.evacuated = routing_table.evacuated.iter().cloned().collect();
    }

    /// Whether a real backend has that address now.
    pub fn is_real(&self, at: SocketAddr) -> bool {
        self.servers
            .iter()
            .any(|s| SocketAddr::new(addr(s.at.0), s.at.1) == at)
    }

    fn region_of(&self, zone: &str) -> &str {
        self.zones.get(zone).map_or("", |r| r)
    }

    /// Whether any backend of a service may serve what has these homes.
    pub fn has(&self, service: &str, homes: &Homes) -> bool {
        let may = |s: &Server| {
            homes
                .as_ref()
                .is_none_or(|h| h.contains(self.region_of(&s.zone)))
        };
        self.servers.iter().any(|s| s.service == service && may(s))
    }

    /// The backends of a service that may serve what has these homes.
    pub fn lines(&self, service: &str, homes: &Homes, now: Duration) -> Vec<Line> {
        let may = |s: &&Server| {
            s.service == service
                && homes
                    .as_ref()
                    .is_none_or(|h| h.contains(self.region_of(&s.zone)))
        };
        let part = self.part(service);
        self.servers
            .iter()
            .filter(may)
            .map(|s| self.line(s, &part, now))
            .collect()
    }

    /// This proxy's part of a service's backends in its region: in a row by hash, so that zones and speeds mix, each
    /// proxy takes its places from where the one before it ended. All are covered as evenly as can be.
    fn part(&self, service: &str) -> HashSet<&str> {
        let home = self
            .servers
            .iter()
            .filter(|s| s.service == service && self.region_of(&s.zone) == self.region);
        let mut row: Vec<(u64, &Server)> = home.map(|s| (hashed(&s.id), s)).collect();
        row.sort_unstable_by_key(|r| r.0);
        let slots: f64 = row.iter().map(|r| f64::from(r.1.slots)).sum();
        let (place, near) = (self.place.0 as usize, self.place.1.max(1));
        let take = ((ROOM * slots / f64::from(near)).ceil() as usize)
            .max(FEW)
            .min(row.len());
        (0..take)
            .map(|n| &*row[(place * take + n) % row.len()].1.id)
            .collect()
    }

    fn line(&self, s: &Server, part: &HashSet<&str>, now: Duration) -> Line {
        let tgt = self.ids[&s.id];
        let shut =
            s.draining || self.evacuated.contains(&s.zone) || !self.slow_start.open(tgt, now);
        let weight = match () {
            () if self.region_of(&s.zone) != self.region => FAR,
            () if !part.contains(&*s.id) => REST,
            () if s.zone == self.zone => ZONE,
            () => NEAR,
        };
        let told = self
            .load_reports
            .as_ref()
            .map_or(1.0, |c| c.factor(&s.service, &s.id));
        let weight = weight * told;
        let zone = self
            .zones
            .keys()
            .position(|z| *z == s.zone)
            .unwrap_or(self.zones.len()) as u32;
        let health = if shut { Health::Draining } else { Health::Up };
        let entry = Entry {
            tgt,
            health,
            since: Duration::ZERO,
            kind: 0,
            zone,
            cell: 0,
            weight,
        };
        Line {
            entry,
            at: SocketAddr::new(addr(s.at.0), s.at.1),
            name: s.id.as_str().into(),
        }
    }

    /// How many gateways the module is to reckon with: it divides a backend's places among them. Those that
    /// matter are the ones near, for all prefer their own region's backends.
    pub fn gateways(&self, service: &str, near: u32) -> u32 {
        let slots: Vec<f64> = self
            .servers
            .iter()
            .filter(|s| s.service == service)
            .map(|s| f64::from(s.slots))
            .collect();
        let mean = if slots.is_empty() {
            1.0
        } else {
            slots.iter().sum::<f64>() / slots.len() as f64
        };
        ((PLACES * f64::from(near.max(1)) / (mean * A_SLOT)) as u32).max(1)
    }

    /// An entry as the module holds it once a turn at a cold backend is used up.
    pub fn closed(&self, tgt: TgtId, now: Duration) -> Option<Entry> {
        let s = self
            .servers
            .iter()
            .find(|s| self.ids.get(&s.id) == Some(&tgt))?;
        Some(Entry {
            health: Health::Draining,
            ..self.line(s, &self.part(&s.service), now).entry
        })
    }

    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn server(n: u32, zone: &str) -> Server {
        let at = ([10, 128, 0, n as u8], 80);
        let (id, service) = (format!("i-{n}"), "s".to_string());
        Server {
            id,
            service,
            at,
            zone: zone.into(),
            slots: 6,
            draining: false,
            cold_ms: 0,
        }
    }

    fn backend_pool(place: u32, near: u32, servers: u32) -> BackendPool {
        let zones =
            [("a", "x"), ("b", "x"), ("c", "y")].map(|(z, r)| (z.to_string(), r.to_string()));
        let mut s = BackendPool::new("a", "x", zones.into());
        s.place = (place, near);
        let all = (0..servers)
            .map(|n| server(n, ["a", "b", "c"][n as usize % 3]))
            .collect();
        s.take(all, &RoutingTable::default(), Duration::ZERO, &mut || 0.5);
        s
    }

    #[test]
    fn proxies_take_even_parts_of_many_backends_and_all_of_few() {
        let mut taken: HashMap<String, usize> = HashMap::new();
        for place in 0..23 {
            let s = backend_pool(place, 23, 96);
            s.part("s")
                .into_iter()
                .for_each(|id| *taken.entry(id.into()).or_default() += 1);
        }
        let (least, most) = (
            taken.values().min().expect("some"),
            taken.values().max().expect("some"),
        );
        assert_eq!(taken.len(), 64, "a backend of the region is nobody's");
        assert!(most - least <= 1, "{least} to {most} proxies a backend");
        assert_eq!(backend_pool(1, 4, 18).part("s").len(), 12);
    }

    #[test]
    fn drained_evacuated_and_cold_backends_are_no_choice_and_homes_hold() {
        let mut s = backend_pool(0, 1, 3);
        let up = |s: &BackendPool, homes: &Homes, ms| {
            let lines = s.lines("s", homes, Duration::from_millis(ms));
            lines
                .iter()
                .filter(|l| l.entry.health == Health::Up)
                .map(|l| l.name.to_string())
                .collect::<Vec<_>>()
        };
        assert_eq!(up(&s, &None, 0), ["i-0", "i-1", "i-2"]);
        assert_eq!(up(&s, &Some(["y".to_string()].into()), 0), ["i-2"]);
        let routing_table = RoutingTable {
            evacuated: ["b".to_string()].into(),
            ..RoutingTable::default()
        };
        s.evacuate(&routing_table, Duration::ZERO, &mut || 0.5);
        assert_eq!(up(&s, &None, 0), ["i-0", "i-2"]);
        // Taken back, it may be cold, and nobody has told yet: a turn comes by lot.
        s.evacuate(
            &RoutingTable::default(),
            Duration::from_millis(100),
            &mut || 0.5,
        );
        assert_eq!(up(&s, &None, 100), ["i-0", "i-2"]);
        assert_eq!(up(&s, &None, 3000), ["i-0", "i-1", "i-2"]);
        // The same address, another life: another backend.
        let mut next = vec![server(0, "a"), server(1, "b")];
        next[0].id = "i-9".into();
        next[1].draining = true;
        s.take(
            next,
            &RoutingTable::default(),
            Duration::from_millis(4000),
            &mut || 0.5,
        );
        assert_eq!(up(&s, &None, 4000), ["i-9"]);
    }
}
