//! Exhaustive model check of `AllotmentLedger` and `AllotmentHolding` with two proxies and coordinators of several terms.
//! Messages are lost, delayed, reordered and duplicated, proxies restart, and leases expire.
//!
//! Invariant: the parts that all proxies hold of a tenant never exceed `TOTAL_PARTS`. `MODEL=all` explores more events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use damsonbeam_control::allotment::{
    AllotmentHolding, AllotmentLedger, HOLDING_LEASE, TOTAL_PARTS, TenantDemand,
};
use damsonbeam_control::messages::Allotment;
use stateright::{Checker, Model, Property};

const TENANT: &str = "x";
/// Longer than the lifetime of any message, and slightly more than half of a holder's lease.
const TIME_STEP: Duration = Duration::from_secs(HOLDING_LEASE.as_secs() / 2 + 20);

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Body {
    Report(Vec<u32>),
    Change(u64, Vec<u32>),
    Acknowledge(u64),
    Renew,
}

/// A message between a proxy's incarnation and the coordinator of a term.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Envelope {
    incarnation: u64,
    term: u64,
    body: Body,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proxy {
    incarnation: u64,
    holding: AllotmentHolding,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Duration,
    term: u64,
    ledger: AllotmentLedger,
    proxies: Vec<Proxy>,
    /// Incarnations that have ended, whose end the coordinator may still learn of.
    ended: BTreeSet<u64>,
    network: BTreeSet<Envelope>,
    budget: Budget,
}

/// How many more events of each kind may happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Budget {
    divisions: u8,
    terms: u8,
    restarts: u8,
    time_steps: u8,
    renewals: u8,
    connections: u8,
    duplicates: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    NewTerm,
    /// The proxy connects to the coordinator and reports its allotments.
    Connect(usize),
    /// The coordinator divides the quota, with all demand at this proxy.
    Divide(usize),
    /// The coordinator renews the proxy's lease.
    Renew(usize),
    Deliver(Envelope),
    /// The message is delivered, and may be delivered again.
    DeliverAndKeep(Envelope),
    /// The proxy restarts with a new incarnation.
    Restart(usize),
    /// The coordinator learns that an incarnation has ended.
    Release(u64),
    /// Time advances by `TIME_STEP`; messages in flight are lost.
    AdvanceTime,
}

struct AllotmentModel {
    budget: Budget,
}

fn parts(allotments: &[Allotment]) -> Vec<u32> {
    allotments.iter().map(|allotment| allotment.parts).collect()
}

fn allotments(parts: &[u32]) -> Vec<Allotment> {
    let allotment = |parts: &u32| Allotment {
        tenant: TENANT.into(),
        parts: *parts,
    };
    parts.iter().map(allotment).collect()
}

impl State {
    fn held(&self) -> u64 {
        let held = |proxy: &Proxy| u64::from(proxy.holding.parts(TENANT, self.now));
        self.proxies.iter().map(held).sum()
    }

    fn send(&mut self, incarnation: u64, term: u64, body: Body) {
        self.network.insert(Envelope {
            incarnation,
            term,
            body,
        });
    }

    fn receive(&mut self, envelope: &Envelope) {
        let Envelope {
            incarnation, term, ..
        } = *envelope;
        let now = self.now;
        match &envelope.body {
            Body::Report(held) if term == self.term => {
                self.ledger
                    .record_report(incarnation, &allotments(held), now);
            }
            Body::Acknowledge(revision) if term == self.term => {
                self.ledger.acknowledge(incarnation, *revision);
            }
            Body::Change(revision, set) => {
                let is_applied = self.proxy(incarnation).is_some_and(|proxy| {
                    proxy
                        .holding
                        .apply_change(term, *revision, &allotments(set), now)
                });
                if is_applied {
                    self.send(incarnation, term, Body::Acknowledge(*revision));
                }
            }
            Body::Renew => {
                if let Some(proxy) = self.proxy(incarnation) {
                    proxy.holding.renew(term, now);
                }
            }
            Body::Report(_) | Body::Acknowledge(_) => {}
        }
    }

    fn proxy(&mut self, incarnation: u64) -> Option<&mut Proxy> {
        let mut proxies = self.proxies.iter_mut();
        proxies.find(|proxy| proxy.incarnation == incarnation)
    }

    fn divide(&mut self, demanding: usize) {
        let demand = TenantDemand {
            tenant: TENANT.into(),
            by_incarnation: BTreeMap::from([(self.proxies[demanding].incarnation, 1.0)]),
        };
        let (now, term) = (self.now, self.term);
        for change in self.ledger.rebalance(&[demand], now) {
            let body = Body::Change(change.revision, parts(&change.allotments));
            self.send(change.incarnation, term, body);
        }
    }

    fn connect(&mut self, index: usize) {
        let (now, term) = (self.now, self.term);
        let proxy = &mut self.proxies[index];
        proxy.holding.observe_term(term);
        let held = parts(&proxy.holding.take_report(now));
        let incarnation = proxy.incarnation;
        self.send(incarnation, term, Body::Report(held));
    }

    fn restart(&mut self, index: usize) {
        let ended = self.proxies[index].incarnation;
        self.ended.insert(ended);
        self.proxies[index] = Proxy {
            incarnation: ended + 10,
            holding: AllotmentHolding::default(),
        };
    }
}

impl Model for AllotmentModel {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        let mut ledger = AllotmentLedger::default();
        ledger.begin_term(true, Duration::ZERO);
        let proxy = |incarnation| Proxy {
            incarnation,
            holding: AllotmentHolding::default(),
        };
        vec![State {
            now: Duration::ZERO,
            term: 1,
            ledger,
            proxies: vec![proxy(1), proxy(2)],
            ended: BTreeSet::new(),
            network: BTreeSet::new(),
            budget: self.budget.clone(),
        }]
    }

    fn actions(&self, state: &State, events: &mut Vec<Event>) {
        let budget = &state.budget;
        for index in 0..state.proxies.len() {
            if budget.connections > 0 {
                events.push(Event::Connect(index));
            }
            if budget.divisions > 0 {
                events.push(Event::Divide(index));
            }
            if budget.restarts > 0 {
                events.push(Event::Restart(index));
            }
            let incarnation = state.proxies[index].incarnation;
            let may_renew = state.ledger.may_renew(incarnation, state.now);
            if budget.renewals > 0 && may_renew {
                events.push(Event::Renew(index));
            }
        }
        if budget.terms > 0 {
            events.push(Event::NewTerm);
        }
        if budget.time_steps > 0 {
            events.push(Event::AdvanceTime);
        }
        events.extend(state.ended.iter().map(|ended| Event::Release(*ended)));
        for envelope in &state.network {
            events.push(Event::Deliver(envelope.clone()));
            if budget.duplicates > 0 {
                events.push(Event::DeliverAndKeep(envelope.clone()));
            }
        }
    }

    fn next_state(&self, before: &State, event: Event) -> Option<State> {
        let mut state = before.clone();
        match event {
            Event::NewTerm => {
                state.budget.terms -= 1;
                state.term += 1;
                let now = state.now;
                state.ledger.begin_term(false, now);
            }
            Event::Connect(index) => {
                state.budget.connections -= 1;
                state.connect(index);
            }
            Event::Divide(demanding) => {
                state.budget.divisions -= 1;
                state.divide(demanding);
            }
            Event::Renew(index) => {
                state.budget.renewals -= 1;
                let (incarnation, term) = (state.proxies[index].incarnation, state.term);
                state.send(incarnation, term, Body::Renew);
            }
            Event::Deliver(envelope) => {
                state.network.remove(&envelope);
                state.receive(&envelope);
            }
            Event::DeliverAndKeep(envelope) => {
                state.budget.duplicates -= 1;
                state.receive(&envelope);
            }
            Event::Restart(index) => {
                state.budget.restarts -= 1;
                state.restart(index);
            }
            Event::Release(ended) => {
                state.ended.remove(&ended);
                state.ledger.remove_holder(ended);
            }
            Event::AdvanceTime => {
                state.budget.time_steps -= 1;
                state.network.clear();
                state.now += TIME_STEP;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("allotments never exceed the whole", |_, state: &State| {
                state.held() <= u64::from(TOTAL_PARTS)
            }),
            Property::sometimes("one proxy holds the whole", |_, state: &State| {
                state.held() == u64::from(TOTAL_PARTS)
            }),
            Property::sometimes(
                "all parts move from the first to the second proxy",
                |_, state: &State| {
                    let held = |index: usize| state.proxies[index].holding.parts(TENANT, state.now);
                    held(0) == 0 && held(1) == TOTAL_PARTS && state.budget.divisions == 0
                },
            ),
        ]
    }
}

fn check(name: &str, budget: Budget) {
    let checker = AllotmentModel { budget }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    println!("{name}: {} states", checker.unique_state_count());
    checker.assert_no_discovery("allotments never exceed the whole");
    checker.assert_any_discovery("one proxy holds the whole");
    checker.assert_any_discovery("all parts move from the first to the second proxy");
}

/// Whether the environment asks for the extended exploration (`MODEL=all`).
fn is_extended() -> bool {
    std::env::var("MODEL").is_ok_and(|model| model == "all")
}

#[test]
fn allotments_never_exceed_the_whole_across_a_change_of_coordinator() {
    let budget = Budget {
        divisions: 3,
        terms: 1,
        restarts: 0,
        time_steps: 0,
        renewals: 0,
        connections: if is_extended() { 5 } else { 4 },
        duplicates: 1,
    };
    check("change of coordinator", budget);
}

#[test]
fn allotments_never_exceed_the_whole_across_proxy_restarts() {
    let budget = Budget {
        divisions: 3,
        terms: if is_extended() { 1 } else { 0 },
        restarts: 1,
        time_steps: 0,
        renewals: 0,
        connections: 4,
        duplicates: 0,
    };
    check("proxy restarts", budget);
}

#[test]
fn allotments_never_exceed_the_whole_when_leases_expire() {
    let budget = Budget {
        divisions: 3,
        terms: 1,
        restarts: 0,
        time_steps: 3,
        renewals: 2,
        connections: if is_extended() { 4 } else { 3 },
        duplicates: 0,
    };
    check("expired leases", budget);
}
