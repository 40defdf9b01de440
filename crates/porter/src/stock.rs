//! The platform's list as the decision module takes it: what each backend is to this proxy.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{Entry, Health, TgtId};
use damsonbeam_market::note::{Server, addr};

use crate::chart::{Chart, Homes};
use crate::thaw::Thaw;

/// How much a backend counts by where it is, beside one in this zone: the way between regions takes longer than
/// most work, and is paid for; other zones of the region cost a little.
const NEAR: f64 = 0.8;
const FAR: f64 = 0.1;
/// Places of a backend at all gateways that the module reckons with at least, and how many a slot is to have:
/// some wait in its queue, so that no slot stands idle for the way there and back.
const PLACES: f64 = 5.0;
const A_SLOT: f64 = 1.5;
/// A zone that was evacuated may have turned cold just before it was taken back: the list tells so this late.
const UNTOLD: Duration = Duration::from_millis(1500);

#[derive(Debug, Default)]
pub struct Stock {
    pub zone: String,
    pub region: String,
    pub zones: BTreeMap<String, String>,
    servers: Vec<Server>,
    ids: HashMap<String, TgtId>,
    next: u32,
    pub thaw: Thaw,
    evacuated: Vec<String>,
}

/// A backend and what the module is told of it.
pub struct Line {
    pub entry: Entry,
    pub at: SocketAddr,
    pub name: Arc<str>,
}

impl Stock {
    pub fn new(zone: &str, region: &str, zones: BTreeMap<String, String>) -> Self {
        Stock { zone: zone.into(), region: region.into(), zones, ..Stock::default() }
    }

    /// A new list: a new life is another backend, at whatever address.
    pub fn take(&mut self, servers: Vec<Server>, chart: &Chart, now: Duration, lot: &mut dyn FnMut() -> f64) {
        self.servers = servers;
        let stay: HashMap<String, TgtId> =
            self.servers.iter().filter_map(|s| Some((s.id.clone(), *self.ids.get(&s.id)?))).collect();
        self.ids = stay;
        for s in &self.servers {
            let tgt = *self.ids.entry(s.id.clone()).or_insert_with(|| {
                self.next += 1;
                TgtId(self.next)
            });
            let rate = chart.services.get(&s.service).map_or(0.0, |c| c.cold_rate);
            self.thaw.learn(tgt, Duration::from_millis(s.cold_ms), rate, lot(), now);
        }
        self.thaw.forget(now);
    }

    /// Zones that are to get nothing; one taken back is cold until the list has had time to tell.
    pub fn evacuate(&mut self, chart: &Chart, now: Duration, lot: &mut dyn FnMut() -> f64) {
        let back: Vec<String> =
            self.evacuated.iter().filter(|z| !chart.evacuated.contains(*z)).cloned().collect();
        for s in self.servers.iter().filter(|s| back.contains(&s.zone)) {
            let rate = chart.services.get(&s.service).map_or(0.0, |c| c.cold_rate);
            self.thaw.learn(self.ids[&s.id], UNTOLD, rate, lot(), now);
        }
        self.evacuated = chart.evacuated.iter().cloned().collect();
    }

    fn region_of(&self, zone: &str) -> &str {
        self.zones.get(zone).map_or("", |r| r)
    }

    /// Whether any backend of a service may serve what has these homes.
    pub fn has(&self, service: &str, homes: &Homes) -> bool {
        let may = |s: &Server| homes.as_ref().is_none_or(|h| h.contains(self.region_of(&s.zone)));
        self.servers.iter().any(|s| s.service == service && may(s))
    }

    /// The backends of a service that may serve what has these homes.
    pub fn lines(&self, service: &str, homes: &Homes, now: Duration) -> Vec<Line> {
        let may = |s: &&Server| {
            s.service == service && homes.as_ref().is_none_or(|h| h.contains(self.region_of(&s.zone)))
        };
        self.servers.iter().filter(may).map(|s| self.line(s, now)).collect()
    }

    fn line(&self, s: &Server, now: Duration) -> Line {
        let tgt = self.ids[&s.id];
        let shut = s.draining || self.evacuated.contains(&s.zone) || !self.thaw.open(tgt, now);
        let weight = match () {
            () if s.zone == self.zone => 1.0,
            () if self.region_of(&s.zone) == self.region => NEAR,
            () => FAR,
        };
        let zone = self.zones.keys().position(|z| *z == s.zone).unwrap_or(self.zones.len()) as u32;
        let health = if shut { Health::Draining } else { Health::Up };
        let entry = Entry { tgt, health, since: Duration::ZERO, kind: 0, zone, cell: 0, weight };
        Line { entry, at: SocketAddr::new(addr(s.at.0), s.at.1), name: s.id.as_str().into() }
    }

    /// How many gateways the module is to reckon with: it divides a backend's places among them. Those that
    /// matter are the ones near, for all prefer their own region's backends.
    pub fn gateways(&self, service: &str, near: u32) -> u32 {
        let slots: Vec<f64> =
            self.servers.iter().filter(|s| s.service == service).map(|s| f64::from(s.slots)).collect();
        let mean = if slots.is_empty() { 1.0 } else { slots.iter().sum::<f64>() / slots.len() as f64 };
        ((PLACES * f64::from(near.max(1)) / (mean * A_SLOT)) as u32).max(1)
    }

    /// An entry as the module holds it once a turn at a cold backend is used up.
    pub fn closed(&self, tgt: TgtId, now: Duration) -> Option<Entry> {
        let s = self.servers.iter().find(|s| self.ids.get(&s.id) == Some(&tgt))?;
        Some(Entry { health: Health::Draining, ..self.line(s, now).entry })
    }

    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
