//! Who is let in: the design, the shared count of each customer's window, and what is reckoned in doubt.
use super::*;

impl Rules {
    pub(super) fn slot_of(&self, c: &Customer) -> u64 {
        (self.now.as_secs_f64() / c.len) as u64
    }

    /// A slot's total is final some time after its end: late adds and undos are on their way till then.
    fn settled(&self, c: &Customer, slot: u64, at: Duration) -> bool {
        let timeout = self
            .set
            .counter
            .as_ref()
            .map_or(Duration::ZERO, |c| c.timeout);
        at >= Duration::from_secs_f64((slot + 1) as f64 * c.len) + timeout * FINAL_AFTER
    }

    fn metered(&self, plan: PlanId) -> bool {
        self.set
            .plans
            .get(plan.0)
            .is_some_and(|p| p.rate > 0.0 && p.burst > 0.0 || p.max_out > 0.0)
    }

    /// Whether its only quota caps deliveries out at once: in slots as long as any stays, each off at end.
    fn open(&self, plan: PlanId) -> bool {
        self.set
            .plans
            .get(plan.0)
            .is_some_and(|p| p.rate == 0.0 && p.max_out > 0.0)
    }

    /// Units that a customer may use in a window.
    fn burst(&self, plan: PlanId) -> f64 {
        let p = &self.set.plans[plan.0];
        if self.open(plan) {
            p.max_out + PART_OUT
        } else {
            p.burst
        }
    }

    pub(super) fn arrived(&mut self, told: Invocation) {
        let tries = self.set.limits.tries;
        let mut inv = Inv {
            told,
            arrived: self.now,
            from: self.now,
            tries,
            ..Inv::default()
        };
        let (id, spread) = (inv.inv, inv.told.spread);
        let n = self.set.gateways.max(1);
        let spread = if spread == 0 { n } else { spread.min(n) };
        let inside = (self.set.me.0 + n - inv.first_gateway.0 % n) % n < spread;
        self.due.insert((self.last(&inv), Due::Final(id)));
        let (customer, units, plan, again) =
            (inv.customer.clone(), inv.units, inv.plan, inv.repeat);
        if let Some(p) = self.set.plans.get(plan.0) {
            let (burst, (cut, len)) = (self.burst(plan), self.cut(plan, spread));
            inv.draws = if self.open(plan) { 1.0 } else { units };
            self.units += (units - self.units) / USUAL_OVER;
            let slot = (self.now.as_secs_f64() / len) as u64;
            let part = if inside && !self.yielded {
                1.0 / f64::from(spread)
            } else {
                0.0
            };
            let c = self
                .customers
                .entry(customer.clone())
                .or_insert_with(|| Customer {
                    plan,
                    cut,
                    len,
                    debt: burst,
                    oldest: slot.saturating_sub(2 * cut),
                    learned: slot,
                    // A restart must not hand out the ceiling's store again: a life earns its part from nothing.
                    ceiling: (p.ceiling_rate * (self.now - self.began).as_secs_f64())
                        .min(p.ceiling_burst)
                        * part,
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
        let told = c
            .slots
            .get(&self.invs[&id].slot)
            .map_or(Duration::ZERO, |s| s.told);
        let hold = if self.open(plan) {
            Duration::from_secs_f64(self.stay)
        } else {
            FULL_FOR
        };
        let full = self.sum(c, 0.0) + units > burst + EPS
            && (self.ask < ASK_READS || self.now < told + hold);
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

    /// Slots of a customer's window and their length in seconds: alike at all gateways, as names go by them.
    pub(super) fn cut(&self, plan: PlanId, spread: u32) -> (u64, f64) {
        let (p, cut) = (
            &self.set.plans[plan.0],
            if spread > CUT_SPREAD { 1 } else { 2 },
        );
        let ops = self
            .set
            .in_force
            .operations
            .iter()
            .map(|o| self.set.operations[o.0].integration_timeout);
        let longest = ops.max().unwrap_or_default().as_secs_f64();
        let (cut, window) = if self.open(plan) {
            (1, longest)
        } else {
            (cut, p.burst / p.rate.max(EPS))
        };
        (
            cut,
            (window / cut as f64).clamp(self.set.tick.as_secs_f64().max(1e-3), SLOT_MOST),
        )
    }

    /// What an invocation earns, beside the mean of those that came of late.
    fn stake(&mut self, id: InvId) -> f64 {
        let inv = &self.invs[&id];
        let worth = self.set.operations[inv.op.0].billed_value
            * self.set.plans[inv.plan.0].price
            * inv.units;
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
        let call = Call {
            customer,
            slot,
            add,
            upto,
            asks,
            read,
            at: self.now,
        };
        self.calls.entry(name.clone()).or_default().push_back(call);
        self.out.push(Action::Count { name, add, keep });
    }

    /// Learns from finished slots and ages them out of the two windows kept, into the debt they leave.
    fn roll(&mut self, customer: &CustomerId) {
        let Some(c) = self.customers.get(customer) else {
            return;
        };
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
            c.oldest = if c.slots.is_empty() {
                from
            } else {
                c.oldest + 1
            };
        }
    }

    /// The meter's word on an answer: the customer's use over all gateways of late.
    pub(super) fn learn(&mut self, id: InvId, used: f64) {
        let Some(inv) = self.invs.get(&id).filter(|i| self.metered(i.plan)) else {
            return;
        };
        let Some(c) = self.customers.get_mut(&inv.customer) else {
            return;
        };
        let part = (self.set.meter_period.as_secs_f64() / c.len).min(1.0); // It tells of no longer.
        (c.units, c.span) = (
            c.units + used * self.set.plans[inv.plan.0].rate * c.len * part,
            c.span + part,
        );
    }

    /// What a customer of the plan uses, as those show that ask: of nobody else is there anything to know.
    fn learn_usual(&mut self, id: InvId, total: f64) {
        let inv = &self.invs[&id];
        let (p, len) = (
            &self.set.plans[inv.plan.0],
            self.customers[&inv.customer].len,
        );
        let run = (self.now.as_secs_f64() / len - inv.slot as f64).min(1.0);
        let used = ((total - inv.draws) / (p.rate * len)).clamp(0.0, PACE_MOST * run);
        let over = (f64::from(total > self.burst(inv.plan)), 1.0);
        let (used, run) = if self.open(inv.plan) {
            over
        } else {
            (used, run)
        };
        let u = &mut self.usual[inv.plan.0][usize::from(inv.repeat)];
        *u = (u.0 - u.0 / USUAL_OVER + used, u.1 - u.1 / USUAL_OVER + run);
    }

    /// Units a slot that come in at all gateways, by what was seen and the usual, and by the arrival itself.
    pub(super) fn pace(&self, c: &Customer, again: bool) -> f64 {
        let (p, (seen, span)) = (
            &self.set.plans[c.plan.0],
            self.usual[c.plan.0][usize::from(again)],
        );
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

    /// Units in the window, others at this `pace` where untold; the store refills meanwhile: the lower one.
    pub(super) fn sum(&self, c: &Customer, pace: f64) -> f64 {
        let p = &self.set.plans[c.plan.0];
        let (len, at, share) = (c.len, self.now.as_secs_f64() / c.len, c.share(p.burst));
        let slot = at as u64;
        if self.open(c.plan) {
            // What was told ends as deliveries do; the usual number comes in its place.
            let left =
                |since: Duration| (-self.now.saturating_sub(since).as_secs_f64() / self.stay).exp();
            let all = c.slots.range(slot.saturating_sub(1)..);
            let known: f64 = all
                .map(|(_, s)| s.own.max(0.0) + s.others.max(0.0) * left(s.told))
                .sum();
            return known
                + pace * (1.0 - left(c.slots.get(&slot).map_or(Duration::ZERO, |s| s.told)));
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
        if len * c.cut as f64 + EPS < p.burst / p.rate {
            debt
        } else {
            window.min(debt)
        }
    }

    /// Finished slots, from `from` on, whose final total is there to be read.
    fn unread(&self, c: &Customer, from: u64) -> Vec<u64> {
        let none = Slot::default();
        let slot = |k: &u64| c.slots.get(k).unwrap_or(&none);
        let open =
            |k: &u64| !slot(k).last && (self.settled(c, *k, self.now) || slot(k).told.is_zero());
        (c.oldest.max(from)..self.slot_of(c)).filter(open).collect()
    }

    /// What was admitted here under each of the counter's names that a window still holds.
    pub fn admitted(&self, now: Duration) -> Vec<Admitted> {
        let in_use = self
            .customers
            .iter()
            .filter(|(_, c)| !c.slots.is_empty() && !self.open(c.plan));
        in_use.flat_map(|(id, c)| c.admitted(id, now)).collect()
    }

    pub(super) fn told(
        &mut self,
        name: String,
        outcome: Outcome,
        total: f64,
        others: f64,
        took: Duration,
    ) {
        let timeout = self
            .set
            .counter
            .as_ref()
            .map_or(Duration::ZERO, |c| c.timeout);
        let Some(queue) = self.calls.get_mut(&name) else {
            return;
        };
        let call = queue.pop_front().expect("kept only while calls are out");
        let ok = outcome == Outcome::Ok;
        // Less than this gateway alone has added: the counter lost it, so it is owed anew.
        let lost = if ok {
            (call.upto - total).max(0.0)
        } else {
            call.add
        };
        let lost = if ok && lost > EPS || outcome.never_ran() {
            lost
        } else {
            0.0
        };
        queue.iter_mut().for_each(|c| c.upto -= lost);
        if queue.is_empty() {
            self.calls.remove(&name);
        }
        // A crowded counter works on calls that nobody waits for: follow its line, not only failures.
        let prompt = ok && took < timeout.mul_f64(ASK_PROMPT);
        self.prompt = if prompt { self.prompt + 1.0 } else { 0.0 };
        // Calls out together that fail are one failure: a dead connection takes all. A spoilt total is none.
        let falls = !ok && call.at >= self.fell && outcome != Outcome::Failed;
        self.fell = if falls { self.now } else { self.fell };
        let late = if ok { ASK_LATE } else { 1.0 };
        let grows = if prompt {
            (1.0 + ASK_GROWS * self.prompt).min(ASK_JUMPS)
        } else {
            late
        };
        self.ask = (self.ask * if falls { ASK_FALLS } else { grows }).clamp(ASK_LEAST, 1.0);
        let Some(c) = self.customers.get(&call.customer) else {
            return;
        };
        let last = ok && call.read && self.settled(c, call.slot, call.at);
        let c = self.customers.get_mut(&call.customer).expect("seen above");
        if let Some(s) = c.slots.get_mut(&call.slot) {
            s.reading &= !call.read;
            s.put -= lost;
            if ok {
                s.others = if lost > 0.0 {
                    s.others
                } else {
                    (total - call.upto).max(others)
                };
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
            let reads = self.unread(
                c,
                if sum > burst {
                    0
                } else {
                    self.slot_of(c).saturating_sub(c.cut)
                },
            );
            if !reads.is_empty() {
                for k in reads {
                    let c = self
                        .customers
                        .get_mut(&customer)
                        .expect("has an invocation");
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
        let c = self
            .customers
            .get_mut(&customer)
            .expect("has an invocation");
        let (s, inv) = (
            c.slots.entry(slot).or_default(),
            self.invs.get_mut(&id).expect("held"),
        );
        s.own += units;
        s.asking -= if inv.added { units } else { 0.0 };
        inv.admitted = true;
        self.enqueue(id);
    }

    /// Takes back what an invocation added that was never sent on, or that is out no more.
    pub(super) fn undo(&mut self, id: InvId) {
        let open = self.invs.get(&id).is_some_and(|i| self.open(i.plan));
        let Some(inv) = self
            .invs
            .get_mut(&id)
            .filter(|i| open || i.deliveries.is_empty())
        else {
            return;
        };
        let (customer, slot, units) = (inv.customer.clone(), inv.slot, inv.draws);
        let (added, admitted) = (
            std::mem::take(&mut inv.added),
            std::mem::take(&mut inv.admitted),
        );
        let Some(s) = self
            .customers
            .get_mut(&customer)
            .and_then(|c| c.slots.get_mut(&slot))
        else {
            return;
        };
        s.own -= if admitted { units } else { 0.0 };
        s.asking -= if added && !admitted { units } else { 0.0 };
        if (added || open) && s.put > s.own + s.asking + EPS {
            let add = (s.own + s.asking - s.put).max(-units);
            self.call(customer, slot, add, None, false);
        }
    }
}

impl Customer {
    /// Part of the customer's use that comes in here, drawn towards an even spread.
    pub(super) fn share(&self, burst: f64) -> f64 {
        // Slots are told where something came in here: the more gateways, the more too large a share shows.
        let even = burst.max(1.0) * self.spread / f64::from(CUT_SPREAD);
        ((self.own_seen + even / self.spread) / (self.all_seen + even))
            .clamp(0.2 / self.spread, 1.0)
    }
}
