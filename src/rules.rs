//! Every decision of a gateway, in one place.
//!
//! [`Rules::on`] takes events in order and returns actions to carry out at once (types in `interface.rs`).
//! Time is the events' clock, chance comes from the seed: same events, same actions. The design (design.md):
//! an invocation adds its units to its customer's count of the running slot on the counter, the slots inside
//! the window are summed, and it is throttled if the sum passes the burst, its add then undone. Beside it:
//!  1. doubt: the counter is asked as it answers, near quotas and dear ones first; else the pace is a guess
//!  2. repair: own admitted units are a lower bound; what the counter lacks goes in with the next add
//!  3. places: work waits in line here; the fleet's places, each gateway's part of them, follow its answers
//!  4. early end: what can't be answered within its latency objective is given up at once
//!  5. another go: further deliveries and second copies, as rules, time and load allow; the silent are passed
//!  6. warm-up: a fresh backend is passed over by chance and holds to this gateway's part of a budget

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::hist::Hist;
use crate::interface::*;
use crate::state::*;
use crate::succession::{CarriedTgt, by_name, put_by_name};

/// Gateways of a customer up to which its window is two slots, else one: reads would outnumber adds.
const CUT_SPREAD: u32 = 4;
/// The counter keeps a name for 60 s at most; names outlive the window by this many slots.
const KEEP: u64 = 3;
const KEEP_MOST: Duration = Duration::from_secs(60);
/// Longest slot in seconds: two windows of them are still kept.
const SLOT_MOST: f64 = 8.0;
/// A finished slot's total is final this many counter time-outs after its end: add, verdict, undo.
const FINAL_AFTER: u32 = 3;
/// Part of the burst up to which guesses stand in for unread slots: half leaves room to be wrong twofold.
const UNREAD_UP_TO: f64 = 0.5;
/// A window told full is not asked about again for this long: add and undo would be calls for nothing.
const FULL_FOR: Duration = Duration::from_millis(100);
/// What was seen of a customer's pace fades over this, in so many slots at most: spikes pass, heavy stay.
const MEMORY: Duration = Duration::from_secs(40);
const GONE: u64 = 60;
/// Part of the rate that an unknown customer is taken to use, and that guess's weight in mean invocations.
const USUAL_FIRST: f64 = 0.5;
const USUAL_UNITS: f64 = 1.5;
/// Mean invocations that an arrival tells of, times asked, times unasked squared: half where a third asks.
const ARRIVAL: f64 = 3.0;
/// Told totals, or deliveries, that usual figures are taken over: a gateway meets a few a second.
const USUAL_OVER: f64 = 50.0;
/// The others hold to the quota too: what they admit is guessed up to this part of the rate, for bursts.
const PACE_MOST: f64 = 1.5;
/// Part of guessed units by which a window may be over, times (earned inside / cost beyond - 1).
const GUESS_SLACK: f64 = 0.3;
/// Part of invocations that still ask a dead counter: a few a second find its return, none wait long.
const ASK_LEAST: f64 = 0.05;
/// Asking falls by this at a failed call: out in twenty; few are lost where a counter is too small for good.
const ASK_FALLS: f64 = 0.85;
/// It grows by this at a prompt call, times those in a row, by the latter at most: back in two dozen.
const ASK_GROWS: f64 = 0.02;
const ASK_JUMPS: f64 = 1.35;
/// It falls by this at a late answer: the line at a crowded counter is time that every verdict waits.
const ASK_LATE: f64 = 0.98;
/// A call answered later than this part of its time-out stood in line.
const ASK_PROMPT: f64 = 0.3;
/// What is at stake counts up to this far from the mean for who may ask: none is never asked for.
const STAKE_MOST: f64 = 5.0;
/// Reads are left out below this chance of asking: a crowded counter's calls are for adds.
const ASK_READS: f64 = 0.95;
/// Places of a backend at all gateways together: at first, least (a few cores' worth), most reckoned with.
const PLACES_START: f64 = 12.0;
const PLACES_LEAST: f64 = 5.0;
const PLACES_MOST: f64 = 60.0;
/// Places fall by this in about an answer's time while answers are slow, and grow by one at ease.
const PLACES_FALL: f64 = 0.8;
/// Places grow while answers take less than this part of the objective, and fall beyond: room for another go.
const ENOUGH: f64 = 0.1;
/// A refusal moves a plan's part turned away this far to all, an answer this far back.
const FULL_STEP: f64 = 0.5;
/// A backend that refuses connections is tried again after this, doubled at each failure up to the most.
const BACK_FIRST: Duration = Duration::from_millis(100);
const BACK_MOST: Duration = Duration::from_secs(2);
/// Part of an invocation's time that the line before it may take: more, and what it keeps is late.
const LINE_PART: f64 = 0.25;
/// Second copies as a part of first deliveries, saved up to ten: enough for one bad backend in ten.
const COPIES: f64 = 0.1;
/// A second copy goes when this part of the time left is gone: slow backends make slow answers usual.
const COPY_BY: f64 = 0.4;
/// Where no copies may go, a delivery is given this many times the slow answers' time before another.
const PATIENCE: f64 = 2.0;
/// Answers that the usual time weighs beside those measured.
const USUAL_WEIGHT: f64 = 3.0;
/// Part of the budget for a cold backend that this gateway's part may use: work sizes vary by chance.
const COLD_PART: f64 = 0.75;
/// Units that a cold backend gets from all gateways in a span of its budget where no warm one tells its flow.
const COLD_LEAST: f64 = 2.0;
/// Span over which the flow to warm backends is taken: long against chance, short against load's swing.
const FLOW_SPAN: Duration = Duration::from_secs(4);
/// While work waits in line, it is looked through at least this often: blocked backends come free by time.
const LOOK: Duration = Duration::from_millis(20);
/// A subscription is asked for within about this times the gateways: all at once, and discovery serves none.
const WATCH_EACH: Duration = Duration::from_millis(50);
/// Samples at which a histogram is halved: a backend's follows its last dozen answers, the fleet's hundreds.
const TGT_SAMPLES: f64 = 16.0;
const FLEET_SAMPLES: f64 = 400.0;
/// Answer times' lowest bin in seconds, and bins: each is half an octave up, the last takes the rest.
pub(crate) const BIN_FIRST: f64 = 0.004;
pub(crate) const BINS: usize = 24;
/// A delivery takes too long beyond this many times the mean: one gateway among many meets few that do.
const LONG: f64 = 4.0;
/// It moves its operation's part unanswered this far to all; halved in this, for nothing else tells of it.
const SILENT_STEP: f64 = 0.5;
const SILENT_HALF: f64 = 5.0;
/// Of hundreds of gateways so many tell: each message goes to all, and all hear some tens a second at most.
const TELLERS: f64 = 50.0;
/// Deliveries out are whole and estimates of them are not: so far above a cap is not over it.
const PART_OUT: f64 = 0.15;
/// Sums of fractions are equal within this many units.
const EPS: f64 = 1e-3;

pub struct Rules {
    set: Settings,
    rng: ChaCha8Rng,
    now: Duration,
    out: Vec<Action>,
    began: Duration,
    invs: BTreeMap<InvId, Inv>,
    customers: BTreeMap<CustomerId, Customer>,
    tgts: BTreeMap<TgtId, Tgt>,
    line: BTreeSet<(Duration, InvId)>,
    calls: BTreeMap<String, VecDeque<Call>>,
    due: BTreeSet<(Duration, Due)>,
    armed: Option<Duration>,
    ask: f64,
    fell: Duration,
    prompt: f64,
    places: f64,
    lat: Vec<Hist>,
    /// Mean worth and units of an invocation of late; at first the geometric middle, for few are large.
    worth: f64,
    units: f64,
    stay: f64,
    /// By plan and whether a client's repeat asked: part of the quota seen in use, slots it was seen in.
    usual: Vec<[(f64, f64); 2]>,
    copies: f64,
    flow: (Duration, f64, f64),
    yielded: bool,
}

impl Rules {
    pub fn new(seed: u64, set: Settings, now: Duration) -> Self {
        Rules {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            out: Vec::new(),
            began: now,
            invs: BTreeMap::new(),
            customers: BTreeMap::new(),
            tgts: BTreeMap::new(),
            line: BTreeSet::new(),
            calls: BTreeMap::new(),
            due: BTreeSet::new(),
            armed: None,
            ask: 1.0,
            fell: now,
            prompt: 0.0,
            places: PLACES_START,
            lat: set.operations.iter().map(|_| Hist::default()).collect(),
            worth: 0.0,
            units: set.most_units.max(1.0).sqrt(),
            stay: set.operations.iter().map(|o| o.latency_objective.as_secs_f64() / 8.0).fold(1.0, f64::min),
            usual: vec![[(USUAL_FIRST, 1.0); 2]; set.plans.len()],
            copies: 0.0,
            flow: (now, 0.0, 0.0),
            yielded: false,
            set,
        }
    }

    /// The one entry point: what happened in, what is to be done out.
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Targets { form, entries } => self.listed(form, &entries),
            Event::Invocation(new) => match self.set.operations.get(new.op.0) {
                Some(_) => self.arrived(new),
                None => self.out.push(Action::Error { inv: new.inv }),
            },
            Event::FirstByte { inv, .. } => self.started(inv),
            Event::Outcome { inv, no, tgt, outcome, latency, closed, used, true_units, .. } => {
                used.into_iter().for_each(|used| self.learn(inv, used));
                self.ended(inv, no, tgt, outcome, latency);
                true_units.filter(|_| self.set.settles).into_iter().for_each(|u| self.settle(inv, u));
                if closed { self.forget(inv) } else { self.again_or_end(inv) }
            }
            Event::Left { inv } => self.forget(inv),
            Event::Total { name, outcome, total, others, latency } => {
                self.told(name, outcome, total, others, latency);
            }
            Event::Others(all) => all.iter().for_each(|o| {
                self.customers.get_mut(&o.customer).into_iter().for_each(|c| c.hear(o));
            }),
            // A front end may round a wait down: a timer that comes early must not leave all others unarmed.
            Event::Timer { .. } => self.armed = self.armed.filter(|a| *a > now + self.set.tick),
            Event::Peer { bytes, .. } => self.heard(&bytes),
            Event::Whole { inv, deadline } => self.whole(inv, deadline),
            Event::Spent { inv } => {
                self.invs.entry(inv).and_modify(|i| i.tries = i.deliveries.len() as u32);
            }
            Event::Settings(new) => self.follow(*new),
            Event::Yield => self.hand_over(),
            Event::Resume => self.yielded = false,
            Event::Carried(carry) => self.take_over(*carry),
            Event::Probed { .. } => {}
        }
        self.pump();
        self.run_due();
        self.sweep();
        if !self.line.is_empty() && self.due.first().is_none_or(|d| d.0 > now + LOOK) {
            self.due.insert((now + LOOK, Due::Look));
        }
        if let Some(&(at, _)) = self.due.first()
            && self.armed.is_none_or(|a| at < a || a <= now)
        {
            let after = at.saturating_sub(now).clamp(Duration::from_nanos(1), KEEP_MOST);
            self.armed = Some(now + after);
            self.out.push(Action::Timer { after, token: "due".into() });
        }
        std::mem::take(&mut self.out)
    }

    // ---- The design: the shared count of each customer's window.

    fn slot_of(&self, c: &Customer) -> u64 {
        (self.now.as_secs_f64() / c.len) as u64
    }

    /// A slot's total is final some time after its end: late adds and undos are on their way till then.
    fn settled(&self, c: &Customer, slot: u64, at: Duration) -> bool {
        let timeout = self.set.counter.as_ref().map_or(Duration::ZERO, |c| c.timeout);
        at >= Duration::from_secs_f64((slot + 1) as f64 * c.len) + timeout * FINAL_AFTER
    }

    fn metered(&self, plan: PlanId) -> bool {
        self.set.plans.get(plan.0).is_some_and(|p| p.rate > 0.0 && p.burst > 0.0 || p.max_out > 0.0)
    }

    /// Whether a plan's only quota is a cap on deliveries out at once: counted as a rate, in slots as long as
    /// any stays out, each taking its one off at its end; a killed gateway's are forgotten with their slot.
    fn open(&self, plan: PlanId) -> bool {
        self.set.plans.get(plan.0).is_some_and(|p| p.rate == 0.0 && p.max_out > 0.0)
    }

    /// Units that a customer may use in a window.
    fn burst(&self, plan: PlanId) -> f64 {
        let p = &self.set.plans[plan.0];
        if self.open(plan) { p.max_out + PART_OUT } else { p.burst }
    }

    fn arrived(&mut self, told: Invocation) {
        let tries = self.set.limits.tries;
        let mut inv = Inv { told, arrived: self.now, from: self.now, tries, ..Inv::default() };
        let (id, spread) = (inv.inv, inv.told.spread);
        let n = self.set.gateways.max(1);
        let spread = if spread == 0 { n } else { spread.min(n) };
        let inside = (self.set.me.0 + n - inv.first_gateway.0 % n) % n < spread;
        self.due.insert((self.last(&inv), Due::Final(id)));
        let (customer, units, plan, again) = (inv.customer.clone(), inv.units, inv.plan, inv.repeat);
        if let Some(p) = self.set.plans.get(plan.0) {
            let (burst, (cut, len)) = (self.burst(plan), self.cut(plan, spread));
            inv.draws = if self.open(plan) { 1.0 } else { units };
            self.units += (units - self.units) / USUAL_OVER;
            let slot = (self.now.as_secs_f64() / len) as u64;
            let part = if inside && !self.yielded { 1.0 / f64::from(spread) } else { 0.0 };
            let c = self.customers.entry(customer.clone()).or_insert_with(|| Customer {
                plan,
                cut,
                len,
                debt: burst,
                oldest: slot.saturating_sub(2 * cut),
                learned: slot,
                // A restart must not hand out the ceiling's store again: a life earns its part from nothing.
                ceiling: (p.ceiling_rate * (self.now - self.began).as_secs_f64()).min(p.ceiling_burst) * part,
                ceiling_at: self.now,
                ..Customer::default()
            });
            (c.spread, c.part) = (f64::from(spread), part);
            c.held += 1;
            inv.slot = (self.now.as_secs_f64() / c.len) as u64;
        }
        let units = inv.draws;
        self.invs.insert(id, inv);
        if !self.metered(plan) {
            self.invs.get_mut(&id).expect("just made").admitted = true;
            return self.enqueue(id);
        }
        self.roll(&customer);
        // Known full, or no room in the line: refused early, without calls that are then undone.
        let (c, burst) = (&self.customers[&customer], self.burst(plan));
        let told = c.slots.get(&self.invs[&id].slot).map_or(Duration::ZERO, |s| s.told);
        let hold = if self.open(plan) { Duration::from_secs_f64(self.stay) } else { FULL_FOR };
        let full = self.sum(c, 0.0) + units > burst + EPS && (self.ask < ASK_READS || self.now < told + hold);
        if full || self.pressed(id) {
            return self.throttle(id, if full { Why::Full } else { Why::Line });
        }
        let near = (self.sum(c, self.pace(c, again)) + units) / burst;
        // And those first for which a wrong verdict costs most.
        let ask = self.ask.powf(near.max(1.0 / near) / self.stake(id));
        if self.set.counter.is_none() || self.rng.random::<f64>() >= ask {
            return self.verdict(id, false);
        }
        let c = self.customers.get_mut(&customer).expect("made above");
        let s = c.slots.entry(self.invs[&id].slot).or_default();
        // Repair: what the counter lacks of the units admitted here (not asked, or lost), or holds too much.
        let add = units + s.own + s.asking - s.put;
        s.asking += units;
        self.invs.get_mut(&id).expect("just made").added = true;
        self.call(customer, self.invs[&id].slot, add, Some(id), false);
    }

    /// Slots that a customer's window is cut into and their length in seconds: the same at all gateways of
    /// the customer, or they would count under different names.
    fn cut(&self, plan: PlanId, spread: u32) -> (u64, f64) {
        let (p, cut) = (&self.set.plans[plan.0], if spread > CUT_SPREAD { 1 } else { 2 });
        let ops = self.set.in_force.operations.iter().map(|o| self.set.operations[o.0].integration_timeout);
        let longest = ops.max().unwrap_or_default().as_secs_f64();
        let (cut, window) = if self.open(plan) { (1, longest) } else { (cut, p.burst / p.rate.max(EPS)) };
        (cut, (window / cut as f64).clamp(self.set.tick.as_secs_f64().max(1e-3), SLOT_MOST))
    }

    /// What an invocation earns, beside the mean of those that came of late.
    fn stake(&mut self, id: InvId) -> f64 {
        let inv = &self.invs[&id];
        let worth = self.set.operations[inv.op.0].billed_value * self.set.plans[inv.plan.0].price * inv.units;
        self.worth += (worth - self.worth) / if self.worth > 0.0 { USUAL_OVER } else { 1.0 };
        (worth / self.worth.max(EPS)).clamp(1.0 / STAKE_MOST, STAKE_MOST)
    }

    fn call(&mut self, customer: CustomerId, slot: u64, add: f64, asks: Option<InvId>, read: bool) {
        let c = self.customers.get_mut(&customer).expect("is counted for");
        let keep = Duration::from_secs_f64(c.len * (2 * c.cut + KEEP) as f64).min(KEEP_MOST);
        let s = c.slots.entry(slot).or_default();
        s.put += add;
        let upto = s.put;
        let name = customer.counted(slot);
        let call = Call { customer, slot, add, upto, asks, read, at: self.now };
        self.calls.entry(name.clone()).or_default().push_back(call);
        self.out.push(Action::Count { name, add, keep });
    }

    /// Learns from finished slots and ages them out of the two windows kept, into the debt they leave.
    fn roll(&mut self, customer: &CustomerId) {
        let Some(c) = self.customers.get(customer) else { return };
        let (slot, len, p) = (self.slot_of(c), c.len, &self.set.plans[c.plan.0]);
        let (burst, refill) = (p.burst, p.rate * len);
        if self.open(c.plan) {
            let c = self.customers.get_mut(customer).expect("seen above");
            c.slots.retain(|k, _| *k + 1 >= slot);
            (c.oldest, c.learned) = (slot.saturating_sub(1), slot);
            return;
        }
        let fade = (-len / MEMORY.as_secs_f64()).exp();
        let gone = slot.saturating_sub(c.learned).min(GONE);
        let c = self.customers.get_mut(customer).expect("seen above");
        let (share, none) = (c.share(burst), Slot::default());
        for k in slot - gone..slot {
            let s = c.slots.get(&k).unwrap_or(&none);
            let told = s.part(k, len, 1.0);
            c.units = c.units * fade + s.own + s.came + s.others;
            c.span = c.span * fade + told + share * (1.0 - told);
            if told > 0.0 {
                c.own_seen = c.own_seen * fade + s.own;
                c.all_seen = c.all_seen * fade + s.own + s.others;
            }
        }
        c.learned = slot;
        let from = slot.saturating_sub(2 * c.cut);
        while c.oldest < from {
            // What was never read may have been used up elsewhere: no credit is drawn from it.
            c.debt = match c.slots.remove(&c.oldest).filter(|s| s.last) {
                Some(s) => (c.debt - refill).max(0.0) + s.own + s.others,
                None => burst,
            };
            c.oldest = if c.slots.is_empty() { from } else { c.oldest + 1 };
        }
    }

    /// The meter's word on an answer: the customer's use over all gateways of late.
    fn learn(&mut self, id: InvId, used: f64) {
        let Some(inv) = self.invs.get(&id).filter(|i| self.metered(i.plan)) else { return };
        let Some(c) = self.customers.get_mut(&inv.customer) else { return };
        let part = (self.set.meter_period.as_secs_f64() / c.len).min(1.0); // It tells of no longer.
        (c.units, c.span) = (c.units + used * self.set.plans[inv.plan.0].rate * c.len * part, c.span + part);
    }

    /// What a customer of the plan uses, as those show that ask: of nobody else is there anything to know.
    fn learn_usual(&mut self, id: InvId, total: f64) {
        let inv = &self.invs[&id];
        let (p, len) = (&self.set.plans[inv.plan.0], self.customers[&inv.customer].len);
        let run = (self.now.as_secs_f64() / len - inv.slot as f64).min(1.0);
        let used = ((total - inv.draws) / (p.rate * len)).clamp(0.0, PACE_MOST * run);
        let over = (f64::from(total > self.burst(inv.plan)), 1.0);
        let (used, run) = if self.open(inv.plan) { over } else { (used, run) };
        let u = &mut self.usual[inv.plan.0][usize::from(inv.repeat)];
        *u = (u.0 - u.0 / USUAL_OVER + used, u.1 - u.1 / USUAL_OVER + run);
    }

    /// Units a slot that come in at all gateways, by what was seen and the usual, and by the arrival itself.
    fn pace(&self, c: &Customer, again: bool) -> f64 {
        let (p, (seen, span)) = (&self.set.plans[c.plan.0], self.usual[c.plan.0][usize::from(again)]);
        let (burst, rate) = (p.burst, p.rate * c.len);
        let usual = (seen / span).clamp(0.01, PACE_MOST);
        if self.open(c.plan) {
            // Few are out or many: the mean is neither. It is full where sending on would lose by it.
            return (self.burst(c.plan) - 1.0) * usual * (1.0 + p.over_cost - p.over_value);
        }
        let weight = USUAL_UNITS * self.units;
        let (at, none) = (self.now.as_secs_f64() / c.len, Slot::default());
        let s = c.slots.get(&(at as u64)).unwrap_or(&none);
        let told = s.part(at as u64, c.len, at.fract());
        let arrival = ARRIVAL * self.ask * (1.0 - self.ask).powi(2) * self.units;
        let units = weight + c.units + s.own + s.came + s.others + arrival;
        let slots = weight / (usual * rate) + c.span + told + c.share(burst) * (at.fract() - told);
        (units / slots).min(PACE_MOST * rate)
    }

    /// Units in the customer's window as far as known, with others at this `pace` where nothing was told.
    /// After a quiet time the store behind the quota refills as it drains: the lower of the two holds.
    fn sum(&self, c: &Customer, pace: f64) -> f64 {
        let p = &self.set.plans[c.plan.0];
        let (len, at, share) = (c.len, self.now.as_secs_f64() / c.len, c.share(p.burst));
        let slot = at as u64;
        if self.open(c.plan) {
            // What was told ends as deliveries do; the usual number comes in its place.
            let left = |since: Duration| (-self.now.saturating_sub(since).as_secs_f64() / self.stay).exp();
            let all = c.slots.range(slot.saturating_sub(1)..);
            let known: f64 = all.map(|(_, s)| s.own.max(0.0) + s.others.max(0.0) * left(s.told)).sum();
            return known + pace * (1.0 - left(c.slots.get(&slot).map_or(Duration::ZERO, |s| s.told)));
        }
        let (mut window, mut debt, none) = (0.0, c.debt, Slot::default());
        for k in c.oldest..=slot {
            let s = c.slots.get(&k).unwrap_or(&none);
            let run = (at - k as f64).min(1.0);
            let used = s.own + s.others + pace * (1.0 - share) * (run - s.part(k, len, run));
            // The oldest slot slides out as the running one fills.
            window += used * ((k + 1 + c.cut) as f64 - at).clamp(0.0, 1.0);
            debt = (debt - p.rate * len * run).max(0.0) + used;
        }
        // A window longer than the counter remembers: only the replayed store bounds it.
        if len * c.cut as f64 + EPS < p.burst / p.rate { debt } else { window.min(debt) }
    }

    /// Finished slots, from `from` on, whose final total is there to be read.
    fn unread(&self, c: &Customer, from: u64) -> Vec<u64> {
        let none = Slot::default();
        let slot = |k: &u64| c.slots.get(k).unwrap_or(&none);
        let open = |k: &u64| !slot(k).last && (self.settled(c, *k, self.now) || slot(k).told.is_zero());
        (c.oldest.max(from)..self.slot_of(c)).filter(open).collect()
    }

    /// What was admitted here under each of the counter's names that a window still holds.
    pub fn admitted(&self, now: Duration) -> Vec<Admitted> {
        let in_use = self.customers.iter().filter(|(_, c)| !c.slots.is_empty() && !self.open(c.plan));
        in_use.flat_map(|(id, c)| c.admitted(id, now)).collect()
    }

    fn told(&mut self, name: String, outcome: Outcome, total: f64, others: f64, latency: Duration) {
        let timeout = self.set.counter.as_ref().map_or(Duration::ZERO, |c| c.timeout);
        let Some(queue) = self.calls.get_mut(&name) else { return };
        let call = queue.pop_front().expect("kept only while calls are out");
        let ok = outcome == Outcome::Ok;
        // Less than this gateway alone has added: the counter lost it, so it is owed anew.
        let lost = if ok { (call.upto - total).max(0.0) } else { call.add };
        let lost = if ok && lost > EPS || outcome.never_ran() { lost } else { 0.0 };
        queue.iter_mut().for_each(|c| c.upto -= lost);
        if queue.is_empty() {
            self.calls.remove(&name);
        }
        // A crowded counter works on calls that nobody waits for: follow its line, not only failures.
        let prompt = ok && latency < timeout.mul_f64(ASK_PROMPT);
        self.prompt = if prompt { self.prompt + 1.0 } else { 0.0 };
        // Calls out together that fail are one failure: a dead connection takes all. A spoilt total is none.
        let falls = !ok && call.at >= self.fell && outcome != Outcome::Failed;
        self.fell = if falls { self.now } else { self.fell };
        let late = if ok { ASK_LATE } else { 1.0 };
        let grows = if prompt { (1.0 + ASK_GROWS * self.prompt).min(ASK_JUMPS) } else { late };
        self.ask = (self.ask * if falls { ASK_FALLS } else { grows }).clamp(ASK_LEAST, 1.0);
        let Some(c) = self.customers.get(&call.customer) else { return };
        let last = ok && call.read && self.settled(c, call.slot, call.at);
        let c = self.customers.get_mut(&call.customer).expect("seen above");
        if let Some(s) = c.slots.get_mut(&call.slot) {
            s.reading &= !call.read;
            s.put -= lost;
            if ok {
                s.others = if lost > 0.0 { s.others } else { (total - call.upto).max(others) };
                (s.told, s.last) = (self.now, s.last || last);
            }
        }
        if let Some(id) = call.asks.filter(|id| self.invs.contains_key(id)) {
            if ok {
                self.learn_usual(id, total);
            }
            self.verdict(id, ok);
        } else if call.read && !c.slots.values().any(|s| s.reading) {
            for id in std::mem::take(&mut c.waiting) {
                if self.invs.get(&id).is_some_and(|i| !i.admitted) {
                    self.verdict(id, true);
                }
            }
        }
    }

    /// Decides; with a counter that answers, finished slots are read first where they can matter.
    fn verdict(&mut self, id: InvId, answered: bool) {
        let inv = &self.invs[&id];
        let (customer, units, plan, slot) = (inv.customer.clone(), inv.draws, inv.plan, inv.slot);
        self.roll(&customer);
        let c = &self.customers[&customer];
        let (burst, known) = (self.burst(plan), self.sum(c, 0.0) + units);
        let sum = self.sum(c, self.pace(c, self.invs[&id].repeat)) + units;
        // Of the slot before, what was out at its end is over soon.
        let over = self.open(plan) && self.now.as_secs_f64() - slot as f64 * c.len > self.stay;
        if answered && !over && self.ask >= ASK_READS && sum > UNREAD_UP_TO * burst {
            let reads = self.unread(c, if sum > burst { 0 } else { self.slot_of(c).saturating_sub(c.cut) });
            if !reads.is_empty() {
                for k in reads {
                    let c = self.customers.get_mut(&customer).expect("has an invocation");
                    c.waiting.insert(id);
                    if !std::mem::replace(&mut c.slots.entry(k).or_default().reading, true) {
                        self.call(customer.clone(), k, 0.0, None, true);
                    }
                }
                return;
            }
        }
        // A guess is no proof: what is likely inside is let in, up to what beyond quota would cost it.
        let p = &self.set.plans[plan.0];
        let slack = GUESS_SLACK * (1.0 / (p.over_cost - p.over_value).max(GUESS_SLACK) - 1.0);
        if sum > burst + EPS + slack * (sum - known) {
            return self.throttle(id, Why::Quota);
        }
        let c = self.customers.get_mut(&customer).expect("has an invocation");
        let (s, inv) = (c.slots.entry(slot).or_default(), self.invs.get_mut(&id).expect("held"));
        s.own += units;
        s.asking -= if inv.added { units } else { 0.0 };
        inv.admitted = true;
        self.enqueue(id);
    }

    /// Takes back what an invocation added that was never sent on, or that is out no more.
    fn undo(&mut self, id: InvId) {
        let open = self.invs.get(&id).is_some_and(|i| self.open(i.plan));
        let Some(inv) = self.invs.get_mut(&id).filter(|i| open || i.deliveries.is_empty()) else { return };
        let (customer, slot, units) = (inv.customer.clone(), inv.slot, inv.draws);
        let (added, admitted) = (std::mem::take(&mut inv.added), std::mem::take(&mut inv.admitted));
        let Some(s) = self.customers.get_mut(&customer).and_then(|c| c.slots.get_mut(&slot)) else { return };
        s.own -= if admitted { units } else { 0.0 };
        s.asking -= if added && !admitted { units } else { 0.0 };
        if (added || open) && s.put > s.own + s.asking + EPS {
            let add = (s.own + s.asking - s.put).max(-units);
            self.call(customer, slot, add, None, false);
        }
    }

    // ---- Other settings, another process.

    /// New settings: learned times go by name; what is under way keeps its operation, and the fewer tries.
    fn follow(&mut self, new: Settings) {
        for o in &new.operations[self.lat.len()..] {
            let known = (0..self.lat.len()).rfind(|n| new.operations[*n].name == o.name);
            self.lat.push(known.map_or_else(Hist::default, |n| self.lat[n].clone()));
        }
        self.usual.resize(new.plans.len(), [(USUAL_FIRST, 1.0); 2]);
        self.set = new;
        self.invs.values_mut().for_each(|i| i.tries = i.tries.min(self.set.limits.tries));
        let all: Vec<CustomerId> = self.customers.keys().cloned().collect();
        all.iter().for_each(|id| self.recut(id));
    }

    /// Counts move to the slots of another quota; what is this gateway's own rides on its next add there.
    fn recut(&mut self, id: &CustomerId) {
        let c = &self.customers[id];
        let (cut, len) = self.cut(c.plan, c.spread as u32);
        let Some(c) = self.customers.get_mut(id).filter(|c| (cut, len) != (c.cut, c.len)) else { return };
        let (was, slot) = (c.len, (self.now.as_secs_f64() / len) as u64);
        (c.cut, c.len, c.oldest, c.learned) = (cut, len, slot.saturating_sub(2 * cut), slot);
        let (oldest, old) = (c.oldest, std::mem::take(&mut c.slots));
        let at = |k: u64| (((k as f64 + 0.5) * was / len) as u64).clamp(oldest, slot);
        old.iter().for_each(|(k, s)| c.slots.entry(at(*k)).or_default().join(s));
        c.span *= was / len;
        self.invs.values_mut().filter(|i| i.customer == *id).for_each(|i| i.slot = at(i.slot));
        // Answers still out are about names that nobody reads any more.
        self.calls.values_mut().flatten().filter(|c| c.customer == *id).for_each(|c| c.slot = 0);
    }

    /// The process that takes this one's place gets what is known here and this gateway's parts of what all
    /// share: one gateway has one part. Nothing goes to cold backends or under a ceiling from here.
    fn hand_over(&mut self) {
        let (began, ask, places, stay) = (self.began, self.ask, self.places, self.stay);
        let lat = by_name(self.set.operations.iter().map(|o| &o.name), &self.lat);
        let usual = by_name(self.set.plans.iter().map(|p| &p.name), &self.usual);
        let tgts = self.tgts.iter().map(CarriedTgt::of).collect();
        let mut customers = Vec::new();
        for (id, c) in &mut self.customers {
            customers.push((id.0.to_string(), self.set.plans[c.plan.0].name.to_string(), c.clone()));
            (c.ceiling, c.ceiling_at, c.part) = (0.0, self.now, 0.0);
        }
        let carry = Carry { began, ask, places, stay, lat, usual, customers, tgts };
        self.yielded = true;
        self.out.push(Action::HandOver(Box::new(carry)));
    }

    /// The other end: its process counts on for a while as another gateway would.
    fn take_over(&mut self, carry: Carry) {
        (self.began, self.ask, self.places, self.stay) = (carry.began, carry.ask, carry.places, carry.stay);
        put_by_name(self.set.operations.iter().map(|o| &o.name), carry.lat, &mut self.lat);
        put_by_name(self.set.plans.iter().map(|p| &p.name), carry.usual, &mut self.usual);
        for (id, plan, mut c) in carry.customers {
            let Some(row) = self.set.plans.iter().position(|p| *p.name == *plan) else { continue };
            c.plan = PlanId(row);
            c.slots.values_mut().for_each(Slot::elsewhere);
            let id = CustomerId(id.into());
            self.customers.insert(id.clone(), c);
            self.recut(&id);
        }
        for t in carry.tgts {
            let known = self.tgts.entry(TgtId(t.tgt)).or_default();
            // A list that came first has the last word on which process it is.
            if known.credit_at.is_zero() || known.entry.since == t.since {
                (known.credit, known.credit_at, known.lat) = (t.credit, t.credit_at, t.lat);
                known.entry.since = t.since;
            }
        }
    }

    /// The last byte of its body is here: its client's time, and its deliveries', run from now on.
    fn whole(&mut self, id: InvId, deadline: Duration) {
        let Some(inv) = self.invs.get_mut(&id).filter(|i| i.coming) else { return };
        (inv.told.coming, inv.told.deadline, inv.from) = (false, deadline, self.now);
        let inv = &self.invs[&id];
        let overdue = self.now + self.set.operations[inv.op.0].latency_objective;
        let out = inv.deliveries.iter().enumerate().filter(|(_, d)| d.out);
        self.due.extend(out.map(|(no, _)| (overdue, Due::Overdue(id, no))));
        self.due.insert((self.last(inv), Due::Final(id)));
    }

    // ---- Final answers.

    /// When an invocation's final answer goes out at the latest: a batch later is too late.
    fn last(&self, inv: &Inv) -> Duration {
        inv.deadline.saturating_sub(self.set.tick.max(Duration::from_millis(1)))
    }

    fn throttle(&mut self, id: InvId, why: Why) {
        let inv = &self.invs[&id];
        if !self.may_throttle(inv) {
            self.out.push(Action::Error { inv: id });
        } else {
            let retry_after = self.set.limits.retry_after.map(|most| {
                let p = self.set.plans.get(inv.plan.0).filter(|p| p.rate > 0.0 && !inv.admitted);
                let c = p.and_then(|p| Some((p, self.customers.get(&inv.customer)?)));
                let pace = |c| self.pace(c, inv.repeat);
                let over = c.map_or(0.0, |(p, c)| (self.sum(c, pace(c)) + inv.units - p.burst) / p.rate);
                Duration::from_secs_f64(over.max(self.expect(0.5, inv.op))).min(most)
            });
            self.out.push(Action::Throttle { inv: id, retry_after, why });
        }
        self.forget(id);
    }

    fn forget(&mut self, id: InvId) {
        self.undo(id);
        let Some(inv) = self.invs.remove(&id) else { return };
        self.line.remove(&(inv.arrived, id));
        for (no, d) in inv.deliveries.iter().enumerate().filter(|(_, d)| d.out) {
            if self.set.limits.cancel && !inv.started {
                self.out.push(Action::Cancel { inv: id, no: DeliveryNo(no as u32) });
            }
            self.tgts.get_mut(&d.tgt).into_iter().for_each(|t| t.out -= 1);
        }
        if let Some(c) = self.customers.get_mut(&inv.customer) {
            (c.held, c.used_at) = (c.held - 1, self.now);
            c.out -= inv.deliveries.iter().filter(|d| d.out).count() as u32;
            // Counted once decided, or it would be evidence against itself; a repeat asks for nothing more.
            if !inv.admitted && !inv.repeat && inv.slot >= c.oldest {
                c.slots.entry(inv.slot).or_default().came += inv.draws;
            }
        }
    }

    /// An error, or no answer for long. A backend may be silent to one operation and serve the others. A
    /// gateway among many meets a backend too seldom to find out alone: it tells the others what they lack.
    fn silent(&mut self, tgt: TgtId, op: OpId) {
        let known = self.tgts.get(&tgt).map_or(1.0, |t| t.unanswered(op, self.now));
        let Some(place) = self.set.place(op) else { return };
        let bytes = [&tgt.0.to_be_bytes()[..], &place.to_be_bytes()].concat();
        self.heard(&bytes);
        let tells = self.rng.random::<f64>() * f64::from(self.set.gateways) < TELLERS;
        if self.set.limits.tell && known < SILENT_STEP && tells {
            self.out.push(Action::Tell { to: None, bytes });
        }
    }

    fn heard(&mut self, bytes: &[u8]) {
        let &[a, b, c, d, e, f] = bytes else { return };
        let op = self.set.in_force.operations.get(usize::from(u16::from_be_bytes([e, f]))).copied();
        let t = self.tgts.get_mut(&TgtId(u32::from_be_bytes([a, b, c, d])));
        if let (Some(t), Some(op)) = (t, op) {
            let known = t.unanswered(op, self.now);
            t.silent.insert(op, (known + SILENT_STEP * (1.0 - known), self.now));
        }
    }

    /// Rule 2: a throttling reply promises that trying again is harmless.
    fn may_throttle(&self, inv: &Inv) -> bool {
        match self.set.operations[inv.op.0].repeat {
            Repeat::Idempotent | Repeat::Tokened { group: Group::All, .. } => true,
            _ => inv.deliveries.iter().all(|d| d.idle),
        }
    }

    /// Rules 1, 2 and 3 and the site's limits, for one delivery more.
    fn may_deliver(&self, inv: &Inv, tgt: &Tgt) -> bool {
        let out = inv.deliveries.iter().any(|d| d.out);
        let over = inv.started || self.now >= inv.deadline;
        let most = inv.deliveries.len() as u32 >= inv.tries || (out && !self.set.limits.parallel);
        if tgt.entry.health != Health::Up || over || most {
            return false;
        }
        let mut risky = inv.deliveries.iter().filter(|d| !d.idle);
        match self.set.operations[inv.op.0].repeat {
            Repeat::Idempotent => true,
            Repeat::NonIdempotent => risky.next().is_none(),
            Repeat::Tokened { group, window } => risky.all(|d| {
                let same = match group {
                    Group::All => true,
                    Group::Zone => d.zone == tgt.entry.zone,
                    Group::Cell => d.zone == tgt.entry.zone && d.cell == tgt.entry.cell,
                };
                same && self.now < d.sent + window
            }),
        }
    }

    // ---- The line and the backends.

    /// Seconds that an answer takes by this quantile of late; a part of the objective before any came.
    fn expect(&self, q: f64, op: OpId) -> f64 {
        self.lat[op.0].quantile(q).unwrap_or(self.set.operations[op.0].latency_objective.as_secs_f64() / 8.0)
    }

    fn mean(&self, op: OpId) -> f64 {
        self.lat[op.0].mean(self.expect(0.5, op), USUAL_WEIGHT)
    }

    fn objective(&self, inv: &Inv) -> Duration {
        (inv.from + self.set.operations[inv.op.0].latency_objective).min(inv.deadline)
    }

    /// What stands in line before it would use up too much of its time.
    fn pressed(&self, id: InvId) -> bool {
        let inv = &self.invs[&id];
        let left = self.objective(inv).saturating_sub(self.now).as_secs_f64();
        let busy = self.busy();
        let wait = self.line.len() as f64 * self.mean(inv.op) / busy.max(self.all_places());
        // A client's next try runs on its first one's objective: while work waits, it goes last.
        let op = &self.set.operations[inv.op.0];
        let spent = op.integration_timeout.saturating_sub(inv.deadline.saturating_sub(inv.arrived));
        let first = op.latency_objective.saturating_sub(spent).as_secs_f64();
        let room = LINE_PART * if inv.repeat { first.min(left) } else { left };
        // With nothing out nothing is learned any more: one goes to find out, however slow the last were.
        busy > 0.0 && (self.expect(0.5, inv.op) > left || wait > room)
    }

    fn enqueue(&mut self, id: InvId) {
        let until = self.objective(&self.invs[&id]);
        if self.pressed(id) { self.throttle(id, Why::Line) } else { self.stand(id, until) }
    }

    /// Stands in line until it could not be answered by `until` any more.
    fn stand(&mut self, id: InvId, until: Duration) {
        let usual = Duration::from_secs_f64(self.expect(0.5, self.invs[&id].op));
        let at = self.invs[&id].arrived;
        self.line.insert((at, id));
        self.due.insert((until.saturating_sub(usual).max(self.now), Due::Objective(id, at)));
    }

    /// Present part of a backend's full capacity, at least.
    fn warmth(&self, e: &Entry) -> f64 {
        let age = self.now.saturating_sub(e.since).as_secs_f64() / self.set.cold_for.as_secs_f64().max(1e-9);
        let cold = self.set.cold_share + (1.0 - self.set.cold_share) * age;
        if e.since.is_zero() || age >= 1.0 { 1.0 } else { cold }
    }

    /// Units that this gateway may send to a cold backend, none above 0 saved up.
    fn credit(&self, t: &Tgt, warm: f64) -> f64 {
        let span = self.set.overload_for.as_secs_f64().max(1e-3);
        let least = COLD_LEAST / f64::from(self.set.gateways.max(1)) / span;
        // What each warm backend served of late: what it turned away is most of what is sent in a jam.
        let run = FLOW_SPAN + self.now.saturating_sub(self.flow.0);
        let flow = (self.flow.1 + self.flow.2) / run.as_secs_f64();
        let earns = (COLD_PART * self.set.overload_factor * flow).max(least) * warm;
        (t.credit + earns * self.now.saturating_sub(t.credit_at).as_secs_f64()).min(0.0)
    }

    /// The best backend with a free place that this invocation may go to.
    fn choose(&mut self, id: InvId) -> Option<TgtId> {
        let inv = &self.invs[&id];
        let usual = self.mean(inv.op);
        let part = self.places / f64::from(self.set.gateways.max(1));
        // In overload all are late: only who is silent beside the others is passed over.
        let all: f64 = self.tgts.values().map(|t| t.unanswered(inv.op, self.now)).sum();
        let usually = all / self.tgts.len().max(1) as f64;
        let mut best: Option<(f64, TgtId)> = None;
        for (&t, tgt) in &self.tgts {
            if self.now < tgt.blocked || !self.may_deliver(inv, tgt) {
                continue;
            }
            let warm = self.warmth(&tgt.entry);
            if f64::from(tgt.out) + 1.0 > (part * warm).max(1.0) {
                continue;
            }
            // Pushed over, it stays down: this gateway's part is earned by time, from a start by chance, so
            // that hundreds neither send one at once nor none. What stays unanswered may be lost for good.
            let silent = ((tgt.unanswered(inv.op, self.now) - usually) / (1.0 - usually)).max(0.0);
            let sure = warm * (1.0 - silent);
            if warm < 1.0 && (self.yielded || self.credit(tgt, warm) < 0.0)
                || sure < 1.0 && self.rng.random::<f64>() >= sure
            {
                continue;
            }
            let lat = tgt.lat.mean(usual, USUAL_WEIGHT);
            let tried = inv.deliveries.iter().any(|d| d.tgt == t);
            let taken = (1.0 - tgt.full.get(&inv.plan).copied().unwrap_or(0.0)) * (1.0 - silent);
            // The less of a backend is this gateway's, the more it is by lot: hundreds that know as little.
            let lot = (-self.rng.random::<f64>().max(EPS).ln()).powf(1.0 / (1.0 + part));
            let cost = lat * lot * (f64::from(tgt.out) + 1.0) / tgt.entry.weight.max(0.1)
                * if tried { 100.0 } else { 1.0 / taken.powi(2) };
            if best.is_none_or(|(b, _)| cost < b) {
                best = Some((cost, t));
            }
        }
        best.map(|(_, t)| t)
    }

    /// A plan's cap on deliveries out at once: this gateway's part of it, one at least.
    fn capped(&self, inv: &Inv) -> bool {
        let plan = self.set.plans.get(inv.plan.0).filter(|p| p.max_out > 0.0 && p.rate > 0.0);
        let Some(&Plan { max_out: cap, burst, .. }) = plan else { return false };
        let c = &self.customers[&inv.customer];
        f64::from(c.out) >= (cap * c.share(burst)).round().max(1.0)
    }

    fn busy(&self) -> f64 {
        f64::from(self.tgts.values().map(|t| t.out).sum::<u32>())
    }

    /// This gateway's part of the fleet's places: hundreds that each held one at a backend would jam it.
    fn all_places(&self) -> f64 {
        let up = |t: &&Tgt| t.entry.health == Health::Up && self.now >= t.blocked;
        let part = self.places / f64::from(self.set.gateways.max(1));
        let places = self.tgts.values().filter(up).map(|t| self.warmth(&t.entry) * part);
        places.sum::<f64>().max(1.0)
    }

    fn pump(&mut self) {
        let (mut next, mut misses) = (self.line.first().copied(), 0);
        while let Some((at, id)) = next.filter(|_| misses < 3 && self.busy() < self.all_places()) {
            next = self.line.range((at, InvId(id.0 + 1))..).next().copied();
            if self.capped(&self.invs[&id]) {
                continue;
            }
            match self.choose(id) {
                Some(tgt) => self.deliver(id, tgt),
                None => misses += 1,
            }
        }
    }

    fn deliver(&mut self, id: InvId, tgt: TgtId) {
        let inv = &self.invs[&id];
        let (first, units, op) = (inv.deliveries.is_empty(), inv.units, inv.op);
        if let Some(p) = self.set.plans.get(inv.plan.0).filter(|p| first && p.ceiling_rate > 0.0) {
            let c = self.customers.get_mut(&inv.customer).expect("has an invocation");
            let earned = p.ceiling_rate * c.part * (self.now - c.ceiling_at).as_secs_f64();
            (c.ceiling, c.ceiling_at) = ((c.ceiling + earned).min(p.ceiling_burst * c.part), self.now);
            if c.ceiling < units {
                return self.throttle(id, Why::Ceiling);
            }
            c.ceiling -= units;
        }
        // Time-outs only where another go may follow one, and only while time is left for it.
        let left = self.objective(inv).saturating_sub(self.now).as_secs_f64();
        let (usual, slow) = (self.expect(0.75, op), self.expect(0.95, op));
        let again = self.set.operations[op.0].repeat != Repeat::NonIdempotent
            && (inv.deliveries.len() as u32) + 1 < inv.tries
            && !inv.coming;
        let patience = (PATIENCE * slow).max(left - PATIENCE * usual);
        let timeout = (again && !self.set.limits.parallel && patience + usual < left)
            .then(|| Duration::from_secs_f64(patience));
        let credit = self.credit(&self.tgts[&tgt], self.warmth(&self.tgts[&tgt].entry));
        let inv = self.invs.get_mut(&id).expect("held");
        let t = self.tgts.get_mut(&tgt).expect("chosen from it");
        (t.credit, t.credit_at) = (credit - units, self.now);
        t.out += 1;
        let Entry { zone, cell, .. } = t.entry;
        inv.deliveries.push(Delivery { tgt, zone, cell, sent: self.now, out: true, idle: false });
        self.line.remove(&(inv.arrived, id));
        self.customers.get_mut(&inv.customer).into_iter().for_each(|c| c.out += 1);
        self.copies = (self.copies + if first { COPIES } else { 0.0 }).min(1.0 / COPIES);
        if again && self.set.limits.parallel && !self.set.operations[op.0].streamed {
            self.due.insert((self.now + Duration::from_secs_f64(COPY_BY * left), Due::Copy(id)));
        }
        let (objective, no) = (self.set.operations[op.0].latency_objective, inv.deliveries.len() - 1);
        let long = Duration::from_secs_f64(LONG * self.mean(op)).min(objective);
        self.due.extend((!self.invs[&id].coming).then_some((self.now + long, Due::Overdue(id, no))));
        self.out.push(Action::Deliver { inv: id, tgt, timeout });
    }

    fn ended(&mut self, id: InvId, no: DeliveryNo, tgt: TgtId, outcome: Outcome, latency: Duration) {
        let Some(inv) = self.invs.get_mut(&id) else { return };
        self.stay += (latency.as_secs_f64() - self.stay) / USUAL_OVER;
        let (op, units, plan) = (inv.op.0, inv.units, inv.plan);
        let Some(d) = inv.deliveries.get_mut(no.0 as usize).filter(|d| d.out) else { return };
        (d.out, d.idle) = (false, outcome.never_ran());
        self.customers.get_mut(&inv.customer).into_iter().for_each(|c| c.out -= 1);
        let ready = |t: &&Tgt| t.entry.health == Health::Up && self.warmth(&t.entry) >= 1.0;
        let warm = self.tgts.get(&tgt).is_some_and(|t| ready(&t));
        let fleet = self.tgts.values().filter(ready).count().max(1) as f64;
        let aim = self.set.operations[op].latency_objective.mul_f64(ENOUGH);
        if outcome == Outcome::Ok {
            let step = if latency > aim { (PLACES_FALL - 1.0) * self.places } else { 1.0 };
            self.places = (self.places + step / self.all_places()).clamp(PLACES_LEAST, PLACES_MOST);
        }
        if let Some(t) = self.tgts.get_mut(&tgt) {
            t.out -= 1;
            match outcome {
                Outcome::Ok => {
                    self.lat[op].note(latency, FLEET_SAMPLES);
                    t.lat.note(latency, TGT_SAMPLES);
                    t.fails = 0;
                    t.silent.get_mut(&OpId(op)).into_iter().for_each(|s| s.0 *= FULL_STEP);
                    t.full.get_mut(&plan).into_iter().for_each(|f| *f *= FULL_STEP);
                    if warm {
                        self.flow.1 += units / fleet;
                    }
                }
                Outcome::TimedOut => t.lat.note(latency, TGT_SAMPLES),
                // One plan's work may be turned away where others' is not: only it then goes elsewhere.
                Outcome::Full => {
                    let full = t.full.entry(plan).or_default();
                    *full += FULL_STEP * (1.0 - *full);
                }
                Outcome::ConnectFailed => {
                    let back = BACK_FIRST * 2u32.pow(t.fails.min(6));
                    t.fails += 1;
                    t.blocked = t.blocked.max(self.now + back.min(BACK_MOST));
                }
                // A reset tells of the way there, not of the backend.
                Outcome::Reset | Outcome::Failed | Outcome::Canceled | Outcome::Ignored => {}
            }
        }
        if outcome == Outcome::Failed {
            self.silent(tgt, OpId(op));
        }
    }

    /// Settled units: the difference goes to the running slot, and rides on the next add there.
    fn settle(&mut self, id: InvId, units: f64) {
        let counted = |i: &&Inv| i.admitted && self.set.plans[i.plan.0].rate > 0.0;
        let Some(inv) = self.invs.get(&id).filter(counted) else { return };
        let (customer, diff) = (inv.customer.clone(), units - inv.units);
        let slot = self.slot_of(&self.customers[&customer]);
        let s = self.customers.get_mut(&customer).expect("has an invocation").slots.entry(slot).or_default();
        s.own += diff;
    }

    /// No delivery is out: back into the line if a further one can still be of use, else a final answer.
    fn again_or_end(&mut self, id: InvId) {
        let Some(inv) = self.invs.get(&id) else { return };
        if inv.started || inv.deliveries.iter().any(|d| d.out) || self.line.contains(&(inv.arrived, id)) {
            return;
        }
        let late = self.set.operations[inv.op.0].late_value > 0.0;
        let until = if late { inv.deadline } else { self.objective(inv) };
        let left = until.saturating_sub(self.now).as_secs_f64();
        let can = self.tgts.values().any(|t| self.may_deliver(inv, t)) && left > self.expect(0.5, inv.op);
        if can { self.stand(id, until) } else { self.throttle(id, Why::GaveUp) }
    }

    /// A stream that began belongs to the client: no time runs, nothing more is sent.
    fn started(&mut self, id: InvId) {
        let Some(inv) = self.invs.get_mut(&id) else { return };
        inv.started = true;
        self.line.remove(&(inv.arrived, id));
    }

    /// What is due, and what is over and will never be: left there, each would wake a gateway for nothing.
    fn run_due(&mut self) {
        while let Some(&(at, due)) = self.due.first() {
            let live = match due {
                Due::Final(id) => self.invs.get(&id).is_some_and(|i| !i.started && at >= self.last(i)),
                Due::Objective(id, at) => self.line.contains(&(at, id)),
                Due::Copy(id) => self.invs.contains_key(&id),
                Due::Overdue(id, no) => {
                    self.invs.get(&id).is_some_and(|i| !i.started && i.deliveries[no].out)
                }
                Due::Look => !self.line.is_empty(),
                Due::Watch => true,
            };
            if live && at > self.now {
                return;
            }
            self.due.pop_first();
            match due {
                Due::Final(id) if live => self.throttle(id, Why::Time),
                Due::Objective(id, _) if live => self.throttle(id, Why::Waited),
                Due::Copy(id) if live => self.copy(id),
                Due::Overdue(id, no) if live => {
                    self.silent(self.invs[&id].deliveries[no].tgt, self.invs[&id].op)
                }
                Due::Watch => self.out.push(Action::Watch { on: true }),
                _ => {}
            }
        }
    }

    /// A second copy for a delivery that takes too long; never while work waits in line.
    fn copy(&mut self, id: InvId) {
        let Some(inv) = self.invs.get(&id) else { return };
        let left = self.objective(inv).saturating_sub(self.now).as_secs_f64();
        let one = inv.deliveries.iter().filter(|d| d.out).count() == 1 && left > self.expect(0.5, inv.op);
        if one
            && self.line.is_empty()
            && self.copies >= 1.0
            && let Some(tgt) = self.choose(id)
            && self.invs[&id].deliveries.iter().all(|d| d.tgt != tgt)
        {
            self.copies -= 1.0;
            self.deliver(id, tgt);
        }
    }

    fn listed(&mut self, form: ListForm, entries: &[Entry]) {
        let failed = form == ListForm::Unavailable;
        if failed || form == ListForm::Restored && self.set.discovery == Discovery::Subscribed {
            let wait = WATCH_EACH * self.set.gateways * u32::from(failed || !entries.is_empty());
            let part = self.rng.random::<f64>() + f64::from(failed) / 2.0;
            self.due.insert((self.now + wait.mul_f64(part), Due::Watch));
        }
        if form != ListForm::Update && !failed {
            // Absent from a whole list is gone.
            self.tgts.values_mut().for_each(|t| t.entry.health = Health::Gone);
        }
        for e in entries {
            let t = self.tgts.entry(e.tgt).or_default();
            if e.health != Health::Up {
                t.entry.health = e.health; // It may come back as it was, with what it was sent while cold.
                continue;
            }
            if t.credit_at.is_zero() || t.entry.since != e.since {
                // A new process: nothing measured of the last one holds.
                let credit = -self.units * self.rng.random::<f64>();
                *t = Tgt { out: t.out, credit, credit_at: self.now, ..Tgt::default() };
            }
            t.entry = e.clone();
        }
        let used = |t: &Tgt| t.out > 0 || t.credit_at + self.set.overload_for > self.now;
        self.tgts.retain(|_, t| t.entry.health != Health::Gone || used(t));
    }

    /// Backends listed, and those of them that are avoided now.
    pub fn backends(&self) -> (usize, usize) {
        let listed = || self.tgts.values().filter(|t| t.entry.health != Health::Gone);
        let avoided = |t: &&Tgt| t.entry.health == Health::Draining || self.now < t.blocked;
        (listed().count(), listed().filter(avoided).count())
    }

    /// Now and then: turns the flow's span and forgets idle customers.
    fn sweep(&mut self) {
        if self.now < self.flow.0 + FLOW_SPAN {
            return;
        }
        // With no warm backend left, what the last ones took is still the best guide.
        let spans = (self.now - self.flow.0).as_secs_f64() / FLOW_SPAN.as_secs_f64();
        self.flow = (self.now, 0.0, if self.flow.1 > 0.0 { self.flow.1 / spans } else { self.flow.2 });
        self.customers.retain(|_, c| {
            let p = &self.set.plans[c.plan.0];
            let fill = (2.0 * p.burst / p.rate.max(EPS)).max(p.ceiling_burst / p.ceiling_rate.max(EPS));
            c.held > 0 || self.now < c.used_at + Duration::from_secs_f64(fill).max(MEMORY) + FLOW_SPAN
        });
    }
}

impl Tgt {
    /// Part of an operation's deliveries that it is likely to leave unanswered.
    fn unanswered(&self, op: OpId, now: Duration) -> f64 {
        let Some(&(part, at)) = self.silent.get(&op) else { return 0.0 };
        part * (-(now - at).as_secs_f64() / SILENT_HALF).exp2()
    }
}

impl Customer {
    /// Part of the customer's use that comes in here, drawn towards an even spread.
    fn share(&self, burst: f64) -> f64 {
        // Slots are told where something came in here: the more gateways, the more too large a share shows.
        let even = burst.max(1.0) * self.spread / f64::from(CUT_SPREAD);
        ((self.own_seen + even / self.spread) / (self.all_seen + even)).clamp(0.2 / self.spread, 1.0)
    }
}
