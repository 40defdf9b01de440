//! Every decision of a gateway, in one place: [`Rules::on`] takes events in order and returns actions to carry
//! out at once. Time is the events' clock, chance comes from the seed: same events, same actions. The design
//! (design.md): an invocation adds its units to its customer's count of the running slot on the counter, the
//! slots inside the window are summed, and it is throttled if the sum passes the burst, its add then undone.
//! Beside it:
//!  1. doubt: the counter is asked as it answers, near quotas and dear ones first; else the pace is a guess
//!  2. repair: own admitted units are a lower bound; what the counter lacks goes in with the next add
//!  3. places: work waits in line here; the fleet's places, each gateway's part of them, follow its answers
//!  4. early end: what can't be answered within its latency objective is given up at once
//!  5. another go: further deliveries and second copies, as rules, time and load allow; the silent are passed
//!  6. warm-up: a fresh backend is passed over by chance and holds to this gateway's part of a budget

pub(crate) mod bins;
mod line;
mod quota;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::histogram::Histogram;
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
    lat: Vec<Histogram>,
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
            lat: set
                .operations
                .iter()
                .map(|_| Histogram::default())
                .collect(),
            worth: 0.0,
            units: set.most_units.max(1.0).sqrt(),
            stay: set
                .operations
                .iter()
                .map(|o| o.latency_objective.as_secs_f64() / 8.0)
                .fold(1.0, f64::min),
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
            Event::Outcome {
                inv,
                no,
                tgt,
                outcome,
                latency,
                closed,
                used,
                true_units,
                ..
            } => {
                used.into_iter().for_each(|used| self.learn(inv, used));
                self.ended(inv, no, tgt, outcome, latency);
                true_units
                    .filter(|_| self.set.settles)
                    .into_iter()
                    .for_each(|u| self.settle(inv, u));
                if closed {
                    self.forget(inv)
                } else {
                    self.again_or_end(inv)
                }
            }
            Event::Left { inv } => self.forget(inv),
            Event::Total {
                name,
                outcome,
                total,
                others,
                latency,
            } => {
                self.told(name, outcome, total, others, latency);
            }
            Event::Others(all) => all.iter().for_each(|o| {
                self.customers
                    .get_mut(&o.customer)
                    .into_iter()
                    .for_each(|c| c.hear(o));
            }),
            // A front end may round a wait down: a timer that comes early must not leave all others unarmed.
            Event::Timer { .. } => self.armed = self.armed.filter(|a| *a > now + self.set.tick),
            Event::Peer { bytes, .. } => self.heard(&bytes),
            Event::Whole { inv, deadline } => self.whole(inv, deadline),
            Event::Spent { inv } => {
                self.invs
                    .entry(inv)
                    .and_modify(|i| i.tries = i.deliveries.len() as u32);
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
            let after = at
                .saturating_sub(now)
                .clamp(Duration::from_nanos(1), KEEP_MOST);
            self.armed = Some(now + after);
            self.out.push(Action::Timer {
                after,
                token: "due".into(),
            });
        }
        std::mem::take(&mut self.out)
    }

    /// New settings: learned times go by name; what is under way keeps its operation, and the fewer tries.
    fn follow(&mut self, new: Settings) {
        for o in &new.operations[self.lat.len()..] {
            let known = (0..self.lat.len()).rfind(|n| new.operations[*n].name == o.name);
            self.lat
                .push(known.map_or_else(Histogram::default, |n| self.lat[n].clone()));
        }
        self.usual.resize(new.plans.len(), [(USUAL_FIRST, 1.0); 2]);
        self.set = new;
        self.invs
            .values_mut()
            .for_each(|i| i.tries = i.tries.min(self.set.limits.tries));
        let all: Vec<CustomerId> = self.customers.keys().cloned().collect();
        all.iter().for_each(|id| self.recut(id));
    }

    /// Counts move to the slots of another quota; what is this gateway's own rides on its next add there.
    fn recut(&mut self, id: &CustomerId) {
        let c = &self.customers[id];
        let (cut, len) = self.cut(c.plan, c.spread as u32);
        let Some(c) = self
            .customers
            .get_mut(id)
            .filter(|c| (cut, len) != (c.cut, c.len))
        else {
            return;
        };
        let (was, slot) = (c.len, (self.now.as_secs_f64() / len) as u64);
        (c.cut, c.len, c.oldest, c.learned) = (cut, len, slot.saturating_sub(2 * cut), slot);
        let (oldest, old) = (c.oldest, std::mem::take(&mut c.slots));
        let at = |k: u64| (((k as f64 + 0.5) * was / len) as u64).clamp(oldest, slot);
        old.iter()
            .for_each(|(k, s)| c.slots.entry(at(*k)).or_default().join(s));
        c.span *= was / len;
        self.invs
            .values_mut()
            .filter(|i| i.customer == *id)
            .for_each(|i| i.slot = at(i.slot));
        // Answers still out are about names that nobody reads any more.
        self.calls
            .values_mut()
            .flatten()
            .filter(|c| c.customer == *id)
            .for_each(|c| c.slot = 0);
    }

    /// Its successor gets what is known, and its parts of what all share: none go to cold ones from here.
    fn hand_over(&mut self) {
        let (began, ask, places, stay) = (self.began, self.ask, self.places, self.stay);
        let lat = by_name(self.set.operations.iter().map(|o| &o.name), &self.lat);
        let usual = by_name(self.set.plans.iter().map(|p| &p.name), &self.usual);
        let tgts = self.tgts.iter().map(CarriedTgt::of).collect();
        let mut customers = Vec::new();
        for (id, c) in &mut self.customers {
            customers.push((
                id.0.to_string(),
                self.set.plans[c.plan.0].name.to_string(),
                c.clone(),
            ));
            (c.ceiling, c.ceiling_at, c.part) = (0.0, self.now, 0.0);
        }
        let carry = Carry {
            began,
            ask,
            places,
            stay,
            lat,
            usual,
            customers,
            tgts,
        };
        self.yielded = true;
        self.out.push(Action::HandOver(Box::new(carry)));
    }

    /// The other end: its process counts on for a while as another gateway would.
    fn take_over(&mut self, carry: Carry) {
        (self.began, self.ask, self.places, self.stay) =
            (carry.began, carry.ask, carry.places, carry.stay);
        put_by_name(
            self.set.operations.iter().map(|o| &o.name),
            carry.lat,
            &mut self.lat,
        );
        put_by_name(
            self.set.plans.iter().map(|p| &p.name),
            carry.usual,
            &mut self.usual,
        );
        for (id, plan, mut c) in carry.customers {
            let Some(row) = self.set.plans.iter().position(|p| *p.name == *plan) else {
                continue;
            };
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
        let Some(inv) = self.invs.get_mut(&id).filter(|i| i.coming) else {
            return;
        };
        (inv.told.coming, inv.told.deadline, inv.from) = (false, deadline, self.now);
        let inv = &self.invs[&id];
        let overdue = self.now + self.set.operations[inv.op.0].latency_objective;
        let out = inv.deliveries.iter().enumerate().filter(|(_, d)| d.out);
        self.due
            .extend(out.map(|(no, _)| (overdue, Due::Overdue(id, no))));
        self.due.insert((self.last(inv), Due::Final(id)));
    }

    /// When an invocation's final answer goes out at the latest: a batch later is too late.
    fn last(&self, inv: &Inv) -> Duration {
        inv.deadline
            .saturating_sub(self.set.tick.max(Duration::from_millis(1)))
    }

    fn throttle(&mut self, id: InvId, why: Why) {
        let inv = &self.invs[&id];
        if !self.may_throttle(inv) {
            self.out.push(Action::Error { inv: id });
        } else {
            let retry_after = self.set.limits.retry_after.map(|most| {
                let p = self
                    .set
                    .plans
                    .get(inv.plan.0)
                    .filter(|p| p.rate > 0.0 && !inv.admitted);
                let c = p.and_then(|p| Some((p, self.customers.get(&inv.customer)?)));
                let pace = |c| self.pace(c, inv.repeat);
                let over = c.map_or(0.0, |(p, c)| {
                    (self.sum(c, pace(c)) + inv.units - p.burst) / p.rate
                });
                Duration::from_secs_f64(over.max(self.expect(0.5, inv.op))).min(most)
            });
            self.out.push(Action::Throttle {
                inv: id,
                retry_after,
                why,
            });
        }
        self.forget(id);
    }

    fn forget(&mut self, id: InvId) {
        self.undo(id);
        let Some(inv) = self.invs.remove(&id) else {
            return;
        };
        self.line.remove(&(inv.arrived, id));
        for (no, d) in inv.deliveries.iter().enumerate().filter(|(_, d)| d.out) {
            if self.set.limits.cancel && !inv.started {
                self.out.push(Action::Cancel {
                    inv: id,
                    no: DeliveryNo(no as u32),
                });
            }
            self.tgts
                .get_mut(&d.tgt)
                .into_iter()
                .for_each(|t| t.out -= 1);
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

    /// An error, or no answer for long, to one operation: others meet the backend too seldom, and are told.
    fn silent(&mut self, tgt: TgtId, op: OpId) {
        let known = self
            .tgts
            .get(&tgt)
            .map_or(1.0, |t| t.unanswered(op, self.now));
        let Some(place) = self.set.place(op) else {
            return;
        };
        let bytes = [&tgt.0.to_be_bytes()[..], &place.to_be_bytes()].concat();
        self.heard(&bytes);
        let tells = self.rng.random::<f64>() * f64::from(self.set.gateways) < TELLERS;
        if self.set.limits.tell && known < SILENT_STEP && tells {
            self.out.push(Action::Tell { to: None, bytes });
        }
    }

    fn heard(&mut self, bytes: &[u8]) {
        let &[a, b, c, d, e, f] = bytes else { return };
        let op = self
            .set
            .in_force
            .operations
            .get(usize::from(u16::from_be_bytes([e, f])))
            .copied();
        let t = self.tgts.get_mut(&TgtId(u32::from_be_bytes([a, b, c, d])));
        if let (Some(t), Some(op)) = (t, op) {
            let known = t.unanswered(op, self.now);
            t.silent
                .insert(op, (known + SILENT_STEP * (1.0 - known), self.now));
        }
    }

    /// Rule 2: a throttling reply promises that trying again is harmless.
    fn may_throttle(&self, inv: &Inv) -> bool {
        match self.set.operations[inv.op.0].repeat {
            Repeat::Idempotent
            | Repeat::Tokened {
                group: Group::All, ..
            } => true,
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
}
