//! Proxies that meter one tenant, coordinators that come and go, and messages that are lost, late or doubled.

use std::time::Duration;

use damsonbeam_control::allotment::{AbsentAllotments, AllotmentLedger};
use damsonbeam_control::messages::{Allotment, NamedCount};
use damsonbeam_registry::counts::SharedCounts;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::quota_support::{MeteredProxy, TENANT};
use crate::scenario::{Scenario, Span};

/// Between two reports of a proxy, as in service.
const REPORT_INTERVAL_MS: u64 = 25;
/// Between two broadcasts of totals, as in service.
const BROADCAST_INTERVAL_MS: u64 = 50;
/// Between two heartbeats of the coordinator, as in service.
const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// Between two divisions of the quota, as in service.
const DIVISION_INTERVAL_MS: u64 = 1000;
/// A proxy that sent nothing for this long is not attached any more, as in service.
const ATTACHED_TIMEOUT_MS: u64 = 1300;
/// A connection on which nothing comes ends, as in service.
const SILENCE_TIMEOUT_MS: u64 = 2000;
/// The tenant sends its usual before the surge begins.
const SURGE_AT_MS: u64 = 3000;
const USUAL: f64 = 0.6;

/// A message on its way.
#[derive(Clone, Debug)]
struct InFlight {
    due_ms: u64,
    proxy: usize,
    incarnation: u64,
    term: u64,
    body: Body,
}

#[derive(Clone, Debug)]
enum Body {
    /// To the coordinator.
    Report(Vec<NamedCount>),
    /// To a proxy.
    Totals(Vec<NamedCount>),
    /// To a proxy: the common time when it was sent, and how many proxies are known and attached.
    Heartbeat {
        time_ms: i64,
        known: u32,
        attached: u32,
    },
    /// To the coordinator: what a proxy holds.
    Held(Vec<Allotment>),
    /// To a proxy: what it holds from now on.
    SetAllotments(u64, Vec<Allotment>),
    /// To the coordinator: a change was taken.
    AllotmentsSet(u64),
    /// To a proxy: its report is known; what those out of contact hold.
    AllotmentStatus(AbsentAllotments),
}

struct Node {
    metered: MeteredProxy,
    incarnation: u64,
    /// The term of the coordinator that it reports to.
    term: u64,
    last_heard_ms: u64,
    /// When the coordinator last had a report or status of it.
    last_seen_ms: u64,
}

/// A world as it goes on.
pub struct World<'a> {
    scenario: &'a Scenario,
    random: SmallRng,
    nodes: Vec<Node>,
    counts: SharedCounts,
    ledger: AllotmentLedger,
    /// The term of the coordinator that keeps the counts.
    counts_term: u64,
    in_flight: Vec<InFlight>,
    next_incarnation: u64,
}

impl<'a> World<'a> {
    /// Plays a world; returns when each request was admitted, in milliseconds.
    pub fn play(scenario: &'a Scenario) -> Vec<u64> {
        let mut world = World::new(scenario);
        let mut admitted_ms = Vec::new();
        let mut due = 0.0;
        for ms in 0..scenario.length_ms {
            world.restart(ms);
            world.deliver(ms);
            world.act_as_coordinator(ms);
            world.report(ms);
            let load = if ms < SURGE_AT_MS {
                USUAL
            } else {
                scenario.load
            };
            due += scenario.rate * load / 1000.0;
            while due >= 1.0 {
                due -= 1.0;
                if world.request(ms) {
                    admitted_ms.push(ms);
                }
            }
        }
        admitted_ms
    }

    fn new(scenario: &'a Scenario) -> Self {
        let proxies = scenario.ways_ms.len();
        let mut world = World {
            scenario,
            random: SmallRng::seed_from_u64(scenario.seed),
            nodes: vec![],
            counts: SharedCounts::default(),
            ledger: AllotmentLedger::default(),
            counts_term: 0,
            in_flight: vec![],
            next_incarnation: 0,
        };
        world.nodes = (0..proxies).map(|proxy| world.start(proxy, 0)).collect();
        world
    }

    fn start(&mut self, proxy: usize, ms: u64) -> Node {
        self.next_incarnation += 1;
        let seed = self.scenario.seed ^ self.next_incarnation;
        let now = self.clock(proxy, ms);
        Node {
            metered: MeteredProxy::start(self.scenario.rate, seed, now),
            incarnation: self.next_incarnation,
            term: 0,
            last_heard_ms: ms,
            last_seen_ms: ms,
        }
    }

    /// The time by a proxy's own clock.
    fn clock(&self, proxy: usize, ms: u64) -> Duration {
        Duration::from_millis(ms + self.scenario.clocks_ms[proxy])
    }

    fn term(&self, ms: u64) -> Option<u64> {
        let acting = |span: &Span| span.contains(ms);
        let index = self.scenario.coordinators.iter().position(acting)?;
        Some(index as u64 + 1)
    }

    fn is_down(&self, proxy: usize, ms: u64) -> bool {
        let restarts = &self.scenario.restarts;
        restarts
            .iter()
            .any(|(restarted, span)| *restarted == proxy && span.contains(ms))
    }

    fn is_cut(&self, proxy: usize, ms: u64) -> bool {
        let cuts = &self.scenario.cuts;
        cuts.iter()
            .any(|(cut, span)| *cut == proxy && span.contains(ms))
    }

    fn restart(&mut self, ms: u64) {
        let scenario = self.scenario;
        for (proxy, span) in &scenario.restarts {
            if span.end == ms {
                // Its connections ended with it, and another incarnation reports.
                self.ledger.release(self.nodes[*proxy].incarnation);
                self.nodes[*proxy] = self.start(*proxy, ms);
            }
        }
    }

    fn send(&mut self, ms: u64, proxy: usize, term: u64, body: Body) {
        if self.is_cut(proxy, ms) || self.is_down(proxy, ms) {
            return;
        }
        self.in_flight.push(InFlight {
            due_ms: ms + self.scenario.ways_ms[proxy],
            proxy,
            incarnation: self.nodes[proxy].incarnation,
            term,
            body,
        });
    }

    fn deliver(&mut self, ms: u64) {
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.due_ms <= ms);
        self.in_flight = later;
        let due: Vec<InFlight> = due;
        for message in due {
            let proxy = message.proxy;
            if self.is_cut(proxy, ms) {
                continue;
            }
            let is_from_proxy = matches!(
                message.body,
                Body::Report(_) | Body::Held(_) | Body::AllotmentsSet(_)
            );
            if is_from_proxy {
                self.receive_as_coordinator(ms, &message);
            } else if self.is_for(&message, ms) {
                self.receive_as_proxy(ms, &message);
            }
        }
    }

    fn receive_as_coordinator(&mut self, ms: u64, message: &InFlight) {
        let Some(term) = self.term(ms).filter(|term| *term == message.term) else {
            return;
        };
        if term != self.counts_term {
            return;
        }
        let now = Duration::from_millis(ms);
        let incarnation = message.incarnation;
        self.ledger.see(incarnation, now);
        match &message.body {
            Body::Report(reports) => self.receive_report(ms, message, reports),
            Body::Held(held) => self.ledger.report(incarnation, held, now),
            Body::AllotmentsSet(revision) => self.ledger.acknowledge(incarnation, *revision),
            _ => {}
        }
    }

    fn receive_as_proxy(&mut self, ms: u64, message: &InFlight) {
        let proxy = message.proxy;
        let term = message.term;
        let now = self.clock(proxy, ms);
        let node = &mut self.nodes[proxy];
        node.last_heard_ms = ms;
        let quota = &mut node.metered.quota;
        match &message.body {
            Body::Totals(totals) => quota.receive_totals(term, totals, now),
            Body::Heartbeat {
                time_ms,
                known,
                attached,
            } => self.receive_heartbeat(ms, message, *time_ms, (*known, *attached)),
            Body::SetAllotments(revision, allotments) => {
                let is_taken = quota.change_allotments(term, *revision, allotments, now);
                let answer = is_taken.then_some(Body::AllotmentsSet(*revision));
                answer
                    .into_iter()
                    .for_each(|body| self.send(ms, proxy, term, body));
            }
            Body::AllotmentStatus(absent) => quota.receive_allotment_status(term, 0, absent, now),
            _ => {}
        }
    }

    /// Whether the process that a message is for still runs.
    fn is_for(&self, message: &InFlight, ms: u64) -> bool {
        let is_same = self.nodes[message.proxy].incarnation == message.incarnation;
        is_same && !self.is_down(message.proxy, ms)
    }

    fn receive_report(&mut self, ms: u64, message: &InFlight, reports: &[NamedCount]) {
        let term = message.term;
        let now = Duration::from_millis(ms);
        let totals = reports
            .iter()
            .map(|report| self.counts.record(message.incarnation, report, now));
        let totals = totals.collect();
        self.nodes[message.proxy].last_seen_ms = ms;
        self.send(ms, message.proxy, term, Body::Totals(totals));
    }

    fn receive_heartbeat(
        &mut self,
        ms: u64,
        message: &InFlight,
        time_ms: i64,
        (known, attached): (u32, u32),
    ) {
        let now = self.clock(message.proxy, ms);
        let node = &mut self.nodes[message.proxy];
        let quota = &mut node.metered.quota;
        quota.set_proxies(known, attached, now);
        // As in service: the first heartbeat of a term sets the common time.
        if message.term > node.term {
            node.term = message.term;
            let offset_s = time_ms as f64 / 1000.0 - now.as_secs_f64();
            quota.set_time_offset(offset_s, now);
        }
        quota.set_coordinator(node.term, true);
    }

    fn act_as_coordinator(&mut self, ms: u64) {
        let Some(term) = self.term(ms) else {
            return;
        };
        let is_new = term != self.counts_term;
        if is_new {
            self.counts_term = term;
            self.counts = SharedCounts::default();
            self.counts.set_rate(TENANT, self.scenario.rate);
            let now = Duration::from_millis(ms);
            self.ledger.begin_term(term == 1, now);
        }
        if ms.is_multiple_of(DIVISION_INTERVAL_MS) {
            self.divide(ms, term);
        }
        if is_new || ms.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
            self.send_heartbeats(ms, term);
        }
        if ms.is_multiple_of(BROADCAST_INTERVAL_MS) {
            let totals = self.counts.take_updates();
            if !totals.is_empty() {
                for proxy in 0..self.nodes.len() {
                    self.send(ms, proxy, term, Body::Totals(totals.clone()));
                }
            }
        }
    }

    fn divide(&mut self, ms: u64, term: u64) {
        let demands = self.counts.take_demands();
        for change in self.ledger.divide(&demands, Duration::from_millis(ms)) {
            let is_receiver = |node: &Node| node.incarnation == change.incarnation;
            let Some(proxy) = self.nodes.iter().position(is_receiver) else {
                continue;
            };
            let body = Body::SetAllotments(change.revision, change.allotments);
            self.send(ms, proxy, term, body);
        }
    }

    fn send_heartbeats(&mut self, ms: u64, term: u64) {
        let now = Duration::from_millis(ms);
        let known = self.nodes.len() as u32;
        for proxy in 0..self.nodes.len() {
            // Statuses come all the time.
            if !self.is_cut(proxy, ms) && !self.is_down(proxy, ms) {
                self.nodes[proxy].last_seen_ms = ms;
                self.ledger.see(self.nodes[proxy].incarnation, now);
            }
        }
        let is_attached = |node: &&Node| ms < node.last_seen_ms + ATTACHED_TIMEOUT_MS;
        let attached = self.nodes.iter().filter(is_attached).count() as u32;
        // Far from zero, so that a step back leaves it above the modules' times.
        const COMMON_TIME_MS: i64 = 1_000_000;
        let time_ms = COMMON_TIME_MS + ms as i64 + self.scenario.steps_ms[term as usize - 1];
        for proxy in 0..self.nodes.len() {
            let body = Body::Heartbeat {
                time_ms,
                known,
                attached,
            };
            self.send(ms, proxy, term, body);
            if self.ledger.may_renew(self.nodes[proxy].incarnation, now) {
                let missing_part = f64::from(known - attached) / f64::from(known);
                let absent = self.ledger.absent(missing_part, now);
                self.send(ms, proxy, term, Body::AllotmentStatus(absent));
            }
        }
    }

    fn report(&mut self, ms: u64) {
        for proxy in 0..self.nodes.len() {
            if self.is_down(proxy, ms) {
                continue;
            }
            let now = self.clock(proxy, ms);
            let node = &mut self.nodes[proxy];
            if ms >= node.last_heard_ms + SILENCE_TIMEOUT_MS {
                node.metered.quota.disconnect();
            }
            if !ms.is_multiple_of(REPORT_INTERVAL_MS) {
                continue;
            }
            let held = node.metered.quota.take_holding_report(now);
            let reports = node.metered.quota.take_reports(now);
            if let Some((term, held)) = held {
                self.send(ms, proxy, term, Body::Held(held));
            }
            let node = &self.nodes[proxy];
            if reports.is_empty() {
                continue;
            }
            let term = node.term;
            if self.random.random_bool(self.scenario.doubled) {
                self.send_again_late(ms, proxy, term, reports.clone());
            }
            self.send(ms, proxy, term, Body::Report(reports));
        }
    }

    fn send_again_late(&mut self, ms: u64, proxy: usize, term: u64, reports: Vec<NamedCount>) {
        let before = self.in_flight.len();
        self.send(ms, proxy, term, Body::Report(reports));
        let late_by = self.random.random_range(50..1500);
        for message in &mut self.in_flight[before..] {
            message.due_ms += late_by;
        }
    }

    fn request(&mut self, ms: u64) -> bool {
        let proxy = self.random.random_range(0..self.nodes.len());
        if self.is_down(proxy, ms) {
            return false;
        }
        let now = self.clock(proxy, ms);
        self.nodes[proxy].metered.request(now)
    }
}
