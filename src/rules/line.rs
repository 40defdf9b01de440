//! Where work goes: the line, the backends, whether another go is made.
use super::*;

impl Rules {
    /// Seconds that an answer takes by this quantile of late; a part of the objective before any came.
    pub(super) fn expect(&self, q: f64, op: OpId) -> f64 {
        self.lat[op.0]
            .quantile(q)
            .unwrap_or(self.set.operations[op.0].latency_objective.as_secs_f64() / 8.0)
    }

    fn mean(&self, op: OpId) -> f64 {
        self.lat[op.0].mean(self.expect(0.5, op), USUAL_WEIGHT)
    }

    fn objective(&self, inv: &Inv) -> Duration {
        (inv.from + self.set.operations[inv.op.0].latency_objective).min(inv.deadline)
    }

    /// What stands in line before it would use up too much of its time.
    pub(super) fn pressed(&self, id: InvId) -> bool {
        let inv = &self.invs[&id];
        let left = self.objective(inv).saturating_sub(self.now).as_secs_f64();
        let busy = self.busy();
        let wait = self.line.len() as f64 * self.mean(inv.op) / busy.max(self.all_places());
        // A client's next try runs on its first one's objective: while work waits, it goes last.
        let op = &self.set.operations[inv.op.0];
        let spent = op
            .integration_timeout
            .saturating_sub(inv.deadline.saturating_sub(inv.arrived));
        let first = op.latency_objective.saturating_sub(spent).as_secs_f64();
        let room = LINE_PART * if inv.repeat { first.min(left) } else { left };
        // With nothing out nothing is learned any more: one goes to find out, however slow the last were.
        busy > 0.0 && (self.expect(0.5, inv.op) > left || wait > room)
    }

    pub(super) fn enqueue(&mut self, id: InvId) {
        let until = self.objective(&self.invs[&id]);
        if self.pressed(id) {
            self.throttle(id, Why::Line)
        } else {
            self.stand(id, until)
        }
    }

    /// Stands in line until it could not be answered by `until` any more.
    fn stand(&mut self, id: InvId, until: Duration) {
        let usual = Duration::from_secs_f64(self.expect(0.5, self.invs[&id].op));
        let at = self.invs[&id].arrived;
        self.line.insert((at, id));
        self.due.insert((
            until.saturating_sub(usual).max(self.now),
            Due::Objective(id, at),
        ));
    }

    /// Present part of a backend's full capacity, at least.
    fn warmth(&self, e: &Entry) -> f64 {
        let age = self.now.saturating_sub(e.since).as_secs_f64()
            / self.set.cold_for.as_secs_f64().max(1e-9);
        let cold = self.set.cold_share + (1.0 - self.set.cold_share) * age;
        if e.since.is_zero() || age >= 1.0 {
            1.0
        } else {
            cold
        }
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
        let all: f64 = self
            .tgts
            .values()
            .map(|t| t.unanswered(inv.op, self.now))
            .sum();
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
            // Pushed over, it stays down: a part earned by time, from a start by chance, or all send at once.
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
        let plan = self
            .set
            .plans
            .get(inv.plan.0)
            .filter(|p| p.max_out > 0.0 && p.rate > 0.0);
        let Some(&Plan {
            max_out: cap,
            burst,
            ..
        }) = plan
        else {
            return false;
        };
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
        let places = self
            .tgts
            .values()
            .filter(up)
            .map(|t| self.warmth(&t.entry) * part);
        places.sum::<f64>().max(1.0)
    }

    pub(super) fn pump(&mut self) {
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
        if let Some(p) = self
            .set
            .plans
            .get(inv.plan.0)
            .filter(|p| first && p.ceiling_rate > 0.0)
        {
            let c = self
                .customers
                .get_mut(&inv.customer)
                .expect("has an invocation");
            let earned = p.ceiling_rate * c.part * (self.now - c.ceiling_at).as_secs_f64();
            (c.ceiling, c.ceiling_at) =
                ((c.ceiling + earned).min(p.ceiling_burst * c.part), self.now);
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
        inv.deliveries.push(Delivery {
            tgt,
            zone,
            cell,
            sent: self.now,
            out: true,
            idle: false,
        });
        self.line.remove(&(inv.arrived, id));
        self.customers
            .get_mut(&inv.customer)
            .into_iter()
            .for_each(|c| c.out += 1);
        self.copies = (self.copies + if first { COPIES } else { 0.0 }).min(1.0 / COPIES);
        if again && self.set.limits.parallel && !self.set.operations[op.0].streamed {
            self.due.insert((
                self.now + Duration::from_secs_f64(COPY_BY * left),
                Due::Copy(id),
            ));
        }
        let (objective, no) = (
            self.set.operations[op.0].latency_objective,
            inv.deliveries.len() - 1,
        );
        let long = Duration::from_secs_f64(LONG * self.mean(op)).min(objective);
        self.due
            .extend((!self.invs[&id].coming).then_some((self.now + long, Due::Overdue(id, no))));
        self.out.push(Action::Deliver {
            inv: id,
            tgt,
            timeout,
        });
    }

    pub(super) fn ended(
        &mut self,
        id: InvId,
        no: DeliveryNo,
        tgt: TgtId,
        outcome: Outcome,
        took: Duration,
    ) {
        let Some(inv) = self.invs.get_mut(&id) else {
            return;
        };
        self.stay += (took.as_secs_f64() - self.stay) / USUAL_OVER;
        let (op, units, plan) = (inv.op.0, inv.units, inv.plan);
        let Some(d) = inv.deliveries.get_mut(no.0 as usize).filter(|d| d.out) else {
            return;
        };
        (d.out, d.idle) = (false, outcome.never_ran());
        self.customers
            .get_mut(&inv.customer)
            .into_iter()
            .for_each(|c| c.out -= 1);
        let ready = |t: &&Tgt| t.entry.health == Health::Up && self.warmth(&t.entry) >= 1.0;
        let warm = self.tgts.get(&tgt).is_some_and(|t| ready(&t));
        let fleet = self.tgts.values().filter(ready).count().max(1) as f64;
        let aim = self.set.operations[op].latency_objective.mul_f64(ENOUGH);
        if outcome == Outcome::Ok {
            let step = if took > aim {
                (PLACES_FALL - 1.0) * self.places
            } else {
                1.0
            };
            self.places = (self.places + step / self.all_places()).clamp(PLACES_LEAST, PLACES_MOST);
        }
        if let Some(t) = self.tgts.get_mut(&tgt) {
            t.out -= 1;
            match outcome {
                Outcome::Ok => {
                    self.lat[op].note(took, FLEET_SAMPLES);
                    t.lat.note(took, TGT_SAMPLES);
                    t.fails = 0;
                    t.silent
                        .get_mut(&OpId(op))
                        .into_iter()
                        .for_each(|s| s.0 *= FULL_STEP);
                    t.full
                        .get_mut(&plan)
                        .into_iter()
                        .for_each(|f| *f *= FULL_STEP);
                    if warm {
                        self.flow.1 += units / fleet;
                    }
                }
                Outcome::TimedOut => t.lat.note(took, TGT_SAMPLES),
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
    pub(super) fn settle(&mut self, id: InvId, units: f64) {
        let counted = |i: &&Inv| i.admitted && self.set.plans[i.plan.0].rate > 0.0;
        let Some(inv) = self.invs.get(&id).filter(counted) else {
            return;
        };
        let (customer, diff) = (inv.customer.clone(), units - inv.units);
        let slot = self.slot_of(&self.customers[&customer]);
        let s = self
            .customers
            .get_mut(&customer)
            .expect("has an invocation")
            .slots
            .entry(slot)
            .or_default();
        s.own += diff;
    }

    /// No delivery is out: back into the line if a further one can still be of use, else a final answer.
    pub(super) fn again_or_end(&mut self, id: InvId) {
        let Some(inv) = self.invs.get(&id) else {
            return;
        };
        if inv.started
            || inv.deliveries.iter().any(|d| d.out)
            || self.line.contains(&(inv.arrived, id))
        {
            return;
        }
        let late = self.set.operations[inv.op.0].late_value > 0.0;
        let until = if late {
            inv.deadline
        } else {
            self.objective(inv)
        };
        let left = until.saturating_sub(self.now).as_secs_f64();
        let can =
            self.tgts.values().any(|t| self.may_deliver(inv, t)) && left > self.expect(0.5, inv.op);
        if can {
            self.stand(id, until)
        } else {
            self.throttle(id, Why::GaveUp)
        }
    }

    /// A stream that began belongs to the client: no time runs, nothing more is sent.
    pub(super) fn started(&mut self, id: InvId) {
        let Some(inv) = self.invs.get_mut(&id) else {
            return;
        };
        inv.started = true;
        self.line.remove(&(inv.arrived, id));
    }

    /// What is due, and what is over and will never be: left there, each would wake a gateway for nothing.
    pub(super) fn run_due(&mut self) {
        while let Some(&(at, due)) = self.due.first() {
            let live = match due {
                Due::Final(id) => self
                    .invs
                    .get(&id)
                    .is_some_and(|i| !i.started && at >= self.last(i)),
                Due::Objective(id, at) => self.line.contains(&(at, id)),
                Due::Copy(id) => self.invs.contains_key(&id),
                Due::Overdue(id, no) => self
                    .invs
                    .get(&id)
                    .is_some_and(|i| !i.started && i.deliveries[no].out),
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
        let Some(inv) = self.invs.get(&id) else {
            return;
        };
        let left = self.objective(inv).saturating_sub(self.now).as_secs_f64();
        let one =
            inv.deliveries.iter().filter(|d| d.out).count() == 1 && left > self.expect(0.5, inv.op);
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

    pub(super) fn listed(&mut self, form: ListForm, entries: &[Entry]) {
        let failed = form == ListForm::Unavailable;
        if failed || form == ListForm::Restored && self.set.discovery == Discovery::Subscribed {
            let wait = WATCH_EACH * self.set.gateways * u32::from(failed || !entries.is_empty());
            let part = self.rng.random::<f64>() + f64::from(failed) / 2.0;
            self.due.insert((self.now + wait.mul_f64(part), Due::Watch));
        }
        if form != ListForm::Update && !failed {
            // Absent from a whole list is gone.
            self.tgts
                .values_mut()
                .for_each(|t| t.entry.health = Health::Gone);
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
                *t = Tgt {
                    out: t.out,
                    credit,
                    credit_at: self.now,
                    ..Tgt::default()
                };
            }
            t.entry = e.clone();
        }
        let used = |t: &Tgt| t.out > 0 || t.credit_at + self.set.overload_for > self.now;
        self.tgts
            .retain(|_, t| t.entry.health != Health::Gone || used(t));
    }

    /// Backends listed, and those of them that are avoided now.
    pub fn backends(&self) -> (usize, usize) {
        let listed = || {
            self.tgts
                .values()
                .filter(|t| t.entry.health != Health::Gone)
        };
        let avoided = |t: &&Tgt| t.entry.health == Health::Draining || self.now < t.blocked;
        (listed().count(), listed().filter(avoided).count())
    }

    /// Now and then: turns the flow's span and forgets idle customers.
    pub(super) fn sweep(&mut self) {
        if self.now < self.flow.0 + FLOW_SPAN {
            return;
        }
        // With no warm backend left, what the last ones took is still the best guide.
        let spans = (self.now - self.flow.0).as_secs_f64() / FLOW_SPAN.as_secs_f64();
        self.flow = (
            self.now,
            0.0,
            if self.flow.1 > 0.0 {
                self.flow.1 / spans
            } else {
                self.flow.2
            },
        );
        self.customers.retain(|_, c| {
            let p = &self.set.plans[c.plan.0];
            let fill =
                (2.0 * p.burst / p.rate.max(EPS)).max(p.ceiling_burst / p.ceiling_rate.max(EPS));
            c.held > 0
                || self.now < c.used_at + Duration::from_secs_f64(fill).max(MEMORY) + FLOW_SPAN
        });
    }
}

impl Tgt {
    /// Part of an operation's deliveries that it is likely to leave unanswered.
    pub(super) fn unanswered(&self, op: OpId, now: Duration) -> f64 {
        let Some(&(part, at)) = self.silent.get(&op) else {
            return 0.0;
        };
        part * (-(now - at).as_secs_f64() / SILENT_HALF).exp2()
    }
}
