//! Simulation of proxies that enforce the quota of one tenant, with failing coordinators and
//! messages that are lost, delayed or duplicated.

use std::time::Duration;

use damsonbeam_control::allotment::{AbsentAllotments, AllotmentLedger};
use damsonbeam_control::messages::{Allotment, NamedCount};
use damsonbeam_registry::counts::SharedCounts;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::quota_support::{MeteredProxy, TENANT};
use crate::scenario::{Scenario, Span};

/// Interval between two reports of a proxy, as in production.
const REPORT_INTERVAL_MS: u64 = 25;
/// Interval between two broadcasts of totals, as in production.
const BROADCAST_INTERVAL_MS: u64 = 50;
/// Interval between two heartbeats of the coordinator, as in production.
const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// Interval between two divisions of the quota, as in production.
const DIVISION_INTERVAL_MS: u64 = 1000;
/// A proxy that has sent nothing for this long is no longer attached, as in production.
const ATTACHED_TIMEOUT_MS: u64 = 1300;
/// A connection without incoming messages is closed after this time, as in production.
const SILENCE_TIMEOUT_MS: u64 = 2000;
/// When the surge begins. Until then, demand is `DEMAND_BEFORE_SURGE` times the quota.
const SURGE_AT_MS: u64 = 3000;
const DEMAND_BEFORE_SURGE: f64 = 0.6;

/// A message in transit.
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
    /// To the coordinator: counts of a proxy.
    Report(Vec<NamedCount>),
    /// To a proxy: totals of counts.
    Totals(Vec<NamedCount>),
    /// To a proxy: the coordinator time at sending, and the numbers of known and attached proxies.
    Heartbeat {
        time_ms: i64,
        known: u32,
        attached: u32,
    },
    /// To the coordinator: the allotments a proxy holds.
    HoldingReport(Vec<Allotment>),
    /// To a proxy: a change's revision, and the allotments it holds from now on.
    SetAllotments(u64, Vec<Allotment>),
    /// To the coordinator: the revision of a change that was applied.
    AllotmentsSet(u64),
    /// To a proxy: confirmation of its report, and the allotments that out-of-contact proxies hold.
    AllotmentStatus(AbsentAllotments),
}

struct Node {
    metered_proxy: MeteredProxy,
    incarnation: u64,
    /// Term of the coordinator that the proxy reports to.
    term: u64,
    last_heard_ms: u64,
    /// When the coordinator last received a report or status of the proxy.
    last_seen_ms: u64,
}

/// State of a running simulation.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: SmallRng,
    nodes: Vec<Node>,
    counts: SharedCounts,
    ledger: AllotmentLedger,
    /// Term of the coordinator whose counts these are.
    counts_term: u64,
    in_flight: Vec<InFlight>,
    next_incarnation: u64,
}

impl<'a> Simulation<'a> {
    /// Runs a scenario; returns the time of each admission in milliseconds.
    pub fn run(scenario: &'a Scenario) -> Vec<u64> {
        let mut simulation = Simulation::new(scenario);
        let mut admitted_ms = Vec::new();
        let mut pending_requests = 0.0;
        for ms in 0..scenario.duration_ms {
            simulation.restart_proxies(ms);
            simulation.deliver(ms);
            simulation.step_coordinator(ms);
            simulation.send_reports(ms);
            let load = if ms < SURGE_AT_MS {
                DEMAND_BEFORE_SURGE
            } else {
                scenario.load
            };
            pending_requests += scenario.rate * load / 1000.0;
            while pending_requests >= 1.0 {
                pending_requests -= 1.0;
                if simulation.request(ms) {
                    admitted_ms.push(ms);
                }
            }
        }
        admitted_ms
    }

    fn new(scenario: &'a Scenario) -> Self {
        let proxies = scenario.latencies_ms.len();
        let mut simulation = Simulation {
            scenario,
            rng: SmallRng::seed_from_u64(scenario.seed),
            nodes: vec![],
            counts: SharedCounts::default(),
            ledger: AllotmentLedger::default(),
            counts_term: 0,
            in_flight: vec![],
            next_incarnation: 0,
        };
        simulation.nodes = (0..proxies)
            .map(|proxy| simulation.start_proxy(proxy, 0))
            .collect();
        simulation
    }

    fn start_proxy(&mut self, proxy: usize, ms: u64) -> Node {
        self.next_incarnation += 1;
        let seed = self.scenario.seed ^ self.next_incarnation;
        let now = self.local_time(proxy, ms);
        Node {
            metered_proxy: MeteredProxy::start(self.scenario.rate, seed, now),
            incarnation: self.next_incarnation,
            term: 0,
            last_heard_ms: ms,
            last_seen_ms: ms,
        }
    }

    /// Returns the time by a proxy's own clock.
    fn local_time(&self, proxy: usize, ms: u64) -> Duration {
        Duration::from_millis(ms + self.scenario.clock_offsets_ms[proxy])
    }

    fn term(&self, ms: u64) -> Option<u64> {
        let is_active = |span: &Span| span.contains(ms);
        let index = self.scenario.coordinators.iter().position(is_active)?;
        Some(index as u64 + 1)
    }

    fn is_down(&self, proxy: usize, ms: u64) -> bool {
        let restarts = &self.scenario.restarts;
        restarts
            .iter()
            .any(|(restarted, span)| *restarted == proxy && span.contains(ms))
    }

    fn is_disconnected(&self, proxy: usize, ms: u64) -> bool {
        let disconnections = &self.scenario.disconnections;
        disconnections
            .iter()
            .any(|(disconnected, span)| *disconnected == proxy && span.contains(ms))
    }

    fn restart_proxies(&mut self, ms: u64) {
        let scenario = self.scenario;
        for (proxy, span) in &scenario.restarts {
            if span.end == ms {
                // The connections of the old process have ended, and a new incarnation reports.
                self.ledger.remove_holder(self.nodes[*proxy].incarnation);
                self.nodes[*proxy] = self.start_proxy(*proxy, ms);
            }
        }
    }

    fn send(&mut self, ms: u64, proxy: usize, term: u64, body: Body) {
        if self.is_disconnected(proxy, ms) || self.is_down(proxy, ms) {
            return;
        }
        self.in_flight.push(InFlight {
            due_ms: ms + self.scenario.latencies_ms[proxy],
            proxy,
            incarnation: self.nodes[proxy].incarnation,
            term,
            body,
        });
    }

    fn deliver(&mut self, ms: u64) {
        let (due, remaining) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.due_ms <= ms);
        self.in_flight = remaining;
        let due: Vec<InFlight> = due;
        for message in due {
            let proxy = message.proxy;
            if self.is_disconnected(proxy, ms) {
                continue;
            }
            let is_from_proxy = matches!(
                message.body,
                Body::Report(_) | Body::HoldingReport(_) | Body::AllotmentsSet(_)
            );
            if is_from_proxy {
                self.receive_as_coordinator(ms, &message);
            } else if self.is_receiver_running(&message, ms) {
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
        self.ledger.record_contact(incarnation, now);
        match &message.body {
            Body::Report(reports) => self.receive_report(ms, message, reports),
            Body::HoldingReport(holdings) => self.ledger.record_report(incarnation, holdings, now),
            Body::AllotmentsSet(revision) => self.ledger.acknowledge(incarnation, *revision),
            _ => {}
        }
    }

    fn receive_as_proxy(&mut self, ms: u64, message: &InFlight) {
        let proxy = message.proxy;
        let term = message.term;
        let now = self.local_time(proxy, ms);
        let node = &mut self.nodes[proxy];
        node.last_heard_ms = ms;
        let quota = &mut node.metered_proxy.quota;
        match &message.body {
            Body::Totals(totals) => quota.receive_totals(term, totals, now),
            Body::Heartbeat {
                time_ms,
                known,
                attached,
            } => self.receive_heartbeat(ms, message, *time_ms, (*known, *attached)),
            Body::SetAllotments(revision, allotments) => {
                let is_applied = quota.apply_allotment_change(term, *revision, allotments, now);
                let answer = is_applied.then_some(Body::AllotmentsSet(*revision));
                answer
                    .into_iter()
                    .for_each(|body| self.send(ms, proxy, term, body));
            }
            Body::AllotmentStatus(absent) => quota.receive_allotment_status(term, 0, absent, now),
            _ => {}
        }
    }

    /// Returns whether the process that the message was sent to is still running.
    fn is_receiver_running(&self, message: &InFlight, ms: u64) -> bool {
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
        let now = self.local_time(message.proxy, ms);
        let node = &mut self.nodes[message.proxy];
        let quota = &mut node.metered_proxy.quota;
        quota.set_proxy_count(known, attached, now);
        // As in production, the first heartbeat of a term sets the coordinator time.
        if message.term > node.term {
            node.term = message.term;
            let offset_s = time_ms as f64 / 1000.0 - now.as_secs_f64();
            quota.set_time_offset(offset_s, now);
        }
        quota.set_coordinator(node.term, true);
        quota.record_coordinator_heartbeat(now);
    }

    fn step_coordinator(&mut self, ms: u64) {
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
            let totals = self.counts.take_due_totals();
            if !totals.is_empty() {
                for proxy in 0..self.nodes.len() {
                    self.send(ms, proxy, term, Body::Totals(totals.clone()));
                }
            }
        }
    }

    fn divide(&mut self, ms: u64, term: u64) {
        let demands = self.counts.decay_and_read_demands();
        for change in self.ledger.rebalance(&demands, Duration::from_millis(ms)) {
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
            // Reachable proxies send statuses continually.
            if !self.is_disconnected(proxy, ms) && !self.is_down(proxy, ms) {
                self.nodes[proxy].last_seen_ms = ms;
                self.ledger
                    .record_contact(self.nodes[proxy].incarnation, now);
            }
        }
        let is_attached = |node: &&Node| ms < node.last_seen_ms + ATTACHED_TIMEOUT_MS;
        let attached = self.nodes.iter().filter(is_attached).count() as u32;
        // The base is far from zero, so that a step back leaves the coordinator time above the modules'
        // times.
        const BASE_TIME_MS: i64 = 1_000_000;
        let time_ms =
            BASE_TIME_MS + ms as i64 + self.scenario.coordinator_offsets_ms[term as usize - 1];
        for proxy in 0..self.nodes.len() {
            let body = Body::Heartbeat {
                time_ms,
                known,
                attached,
            };
            self.send(ms, proxy, term, body);
            if self.ledger.may_renew(self.nodes[proxy].incarnation, now) {
                let missing_fraction = f64::from(known - attached) / f64::from(known);
                let absent = self.ledger.absent_allotments(missing_fraction, now);
                self.send(ms, proxy, term, Body::AllotmentStatus(absent));
            }
        }
    }

    fn send_reports(&mut self, ms: u64) {
        for proxy in 0..self.nodes.len() {
            if self.is_down(proxy, ms) {
                continue;
            }
            let now = self.local_time(proxy, ms);
            let node = &mut self.nodes[proxy];
            if ms >= node.last_heard_ms + SILENCE_TIMEOUT_MS {
                node.metered_proxy.quota.record_coordinator_disconnect();
            }
            if !ms.is_multiple_of(REPORT_INTERVAL_MS) {
                continue;
            }
            let holdings = node.metered_proxy.quota.take_held_allotments_report(now);
            let reports = node.metered_proxy.quota.take_reports(now);
            if let Some((term, holdings)) = holdings {
                self.send(ms, proxy, term, Body::HoldingReport(holdings));
            }
            let node = &self.nodes[proxy];
            if reports.is_empty() {
                continue;
            }
            let term = node.term;
            if self.rng.random_bool(self.scenario.duplicate_probability) {
                self.send_late_duplicate(ms, proxy, term, reports.clone());
            }
            self.send(ms, proxy, term, Body::Report(reports));
        }
    }

    fn send_late_duplicate(&mut self, ms: u64, proxy: usize, term: u64, reports: Vec<NamedCount>) {
        let before = self.in_flight.len();
        self.send(ms, proxy, term, Body::Report(reports));
        let delay_ms = self.rng.random_range(50..1500);
        for message in &mut self.in_flight[before..] {
            message.due_ms += delay_ms;
        }
    }

    fn request(&mut self, ms: u64) -> bool {
        let proxy = self.rng.random_range(0..self.nodes.len());
        if self.is_down(proxy, ms) {
            return false;
        }
        let now = self.local_time(proxy, ms);
        self.nodes[proxy].metered_proxy.request(now)
    }
}
