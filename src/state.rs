//! What the module remembers: one type for each thing, no decisions, no tuned values.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::time::Duration;

use fnv::FnvHasher;
use serde::{Deserialize, Serialize};

use crate::histogram::Histogram;
use crate::types::*;

/// One slot of a customer's window, as far as known here.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Slot {
    /// Units admitted here, and those whose add is not answered yet.
    pub(crate) own: f64,
    pub(crate) asking: f64,
    /// Units asked for here and refused: they show a surge that what is admitted does not.
    pub(crate) came: f64,
    /// Own units that the counter is believed to hold.
    pub(crate) put: f64,
    /// Units of the other gateways, by the last answer, and when that came.
    pub(crate) others: f64,
    pub(crate) told: Duration,
    pub(crate) last: bool,
    pub(crate) reading: bool,
}

impl Slot {
    /// The part of this slot, of the `run` that has passed of it, in which the others' units are told.
    pub(crate) fn part(&self, k: u64, len: f64, run: f64) -> f64 {
        if self.last {
            run
        } else {
            (self.told.as_secs_f64() / len - k as f64).clamp(0.0, run)
        }
    }

    /// What was counted here was counted by another process.
    pub(crate) fn elsewhere(&mut self) {
        let others = self.others + self.own;
        *self = Slot {
            others,
            came: self.came,
            told: self.told,
            last: self.last,
            ..Slot::default()
        };
    }

    /// Takes in what another slot, of another cut, has told.
    pub(crate) fn join(&mut self, s: &Slot) {
        (self.own, self.asking, self.came) =
            (self.own + s.own, self.asking + s.asking, self.came + s.came);
        (self.others, self.told) = (self.others + s.others, self.told.max(s.told));
    }
}

impl CustomerId {
    /// The counter's name for a slot of this customer's: short, however long the customer's own is.
    pub(crate) fn counted(&self, slot: u64) -> String {
        if self.0.len() <= 40 {
            return format!("{slot}/{}", self.0);
        }
        let mut hash = FnvHasher::default();
        hash.write(self.0.as_bytes());
        format!("{slot}/{:x}", hash.finish())
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Customer {
    #[serde(skip)]
    pub(crate) plan: PlanId,
    pub(crate) spread: f64,
    /// Slots that its window is cut into, and their length in seconds.
    pub(crate) cut: u64,
    pub(crate) len: f64,
    /// Part of a ceiling that is this gateway's.
    pub(crate) part: f64,
    pub(crate) slots: BTreeMap<u64, Slot>,
    /// Units over the refill at the start of the oldest slot kept (an upper bound).
    pub(crate) debt: f64,
    pub(crate) oldest: u64,
    pub(crate) learned: u64,
    /// Units seen of late, and the slots they were seen in: a told one whole, else this gateway's share.
    pub(crate) units: f64,
    pub(crate) span: f64,
    pub(crate) own_seen: f64,
    pub(crate) all_seen: f64,
    /// Invocations whose add is answered and that wait for reads.
    #[serde(skip)]
    pub(crate) waiting: BTreeSet<InvId>,
    #[serde(skip)]
    pub(crate) held: u32,
    #[serde(skip)]
    pub(crate) out: u32,
    pub(crate) ceiling: f64,
    pub(crate) ceiling_at: Duration,
    pub(crate) used_at: Duration,
}

impl Customer {
    /// Takes in what the other gateways say they admitted: all of it, up to a time, where all have told.
    pub(crate) fn hear(&mut self, o: &Others) {
        if o.slot >= self.oldest {
            let s = self.slots.entry(o.slot).or_default();
            (s.others, s.told) = (s.others.max(o.units), s.told.max(o.at.unwrap_or_default()));
        }
    }

    pub(crate) fn admitted(
        &self,
        id: &CustomerId,
        now: Duration,
    ) -> impl Iterator<Item = Admitted> {
        let running = (now.as_secs_f64() / self.len) as u64;
        (self.oldest.max(running.saturating_sub(2 * self.cut))..=running).map(|slot| Admitted {
            name: id.counted(slot),
            customer: id.clone(),
            slot,
            units: self.slots.get(&slot).map_or(0.0, |s| s.own),
        })
    }
}

pub(crate) struct Delivery {
    pub(crate) tgt: TgtId,
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) sent: Duration,
    pub(crate) out: bool,
    /// Known not to have run.
    pub(crate) idle: bool,
}

#[derive(Default)]
pub(crate) struct Inv {
    pub(crate) told: Invocation,
    pub(crate) arrived: Duration,
    /// From where its time runs: its arrival, or the last byte of a body that came later.
    pub(crate) from: Duration,
    /// Deliveries at most.
    pub(crate) tries: u32,
    pub(crate) slot: u64,
    /// Units that it draws from its customer's quota.
    pub(crate) draws: f64,
    /// Its units are in the slot's `asking`, then in `own` once admitted.
    pub(crate) added: bool,
    pub(crate) admitted: bool,
    pub(crate) started: bool,
    pub(crate) deliveries: Vec<Delivery>,
}

impl std::ops::Deref for Inv {
    type Target = Invocation;
    fn deref(&self) -> &Invocation {
        &self.told
    }
}

#[derive(Default)]
pub(crate) struct Tgt {
    pub(crate) entry: Entry,
    pub(crate) out: u32,
    pub(crate) lat: Histogram,
    pub(crate) blocked: Duration,
    pub(crate) fails: u32,
    /// Part of each plan's deliveries that it turned away of late.
    pub(crate) full: BTreeMap<PlanId, f64>,
    /// Part of each operation's deliveries that went unanswered of late, and when that was reckoned.
    pub(crate) silent: BTreeMap<OpId, (f64, Duration)>,
    /// Units that this gateway may send while it is cold, earned up to `credit_at`; a delivery needs 0.
    pub(crate) credit: f64,
    pub(crate) credit_at: Duration,
}

pub(crate) struct Call {
    pub(crate) customer: CustomerId,
    pub(crate) slot: u64,
    pub(crate) add: f64,
    /// All that this gateway has put there, with this call.
    pub(crate) upto: f64,
    pub(crate) asks: Option<InvId>,
    pub(crate) read: bool,
    pub(crate) at: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    Final(InvId),
    Objective(InvId, Duration),
    Copy(InvId),
    Overdue(InvId, usize),
    Look,
    Watch,
}
