//! What one life of a gateway hands to the next: settings that follow others, and a process's state for the
//! process that takes its place. Types and their joining only; the module decides what it makes of them.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::histogram::Histogram;
use crate::state::{Customer, Tgt};
use crate::types::*;

impl Settings {
    /// `new` in force after these. Positions given out before keep their meaning, for what is under way uses
    /// them: an operation that is new, or that changed in anything, gets a row of its own; a plan keeps its
    /// row by its name, with the new figures, for a quota is what holds now. Both go by name, not by position.
    pub fn follow(&self, mut new: Settings) -> Settings {
        let (mut operations, mut plans) = (self.operations.clone(), self.plans.clone());
        let row = |o: &Operation| {
            let known = operations.iter().position(|r| r == o);
            OpId(known.unwrap_or_else(|| (operations.len(), operations.push(o.clone())).0))
        };
        let ops = new.operations.iter().map(row).collect();
        let row = |p: &Plan| {
            let known = plans.iter().position(|r| r.name == p.name);
            let at = known.unwrap_or_else(|| (plans.len(), plans.push(p.clone())).0);
            plans[at] = p.clone();
            PlanId(at)
        };
        new.in_force = InForce {
            plans: new.plans.iter().map(row).collect(),
            operations: ops,
        };
        (new.operations, new.plans) = (operations, plans);
        new
    }

    /// An operation's number in the settings in force, the same at all gateways that have them.
    pub(crate) fn place(&self, op: OpId) -> Option<u16> {
        let place = self.in_force.operations.iter().position(|o| *o == op)?;
        u16::try_from(place).ok()
    }
}

/// A process's state for its successor. Times are on the clock that both share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Carry {
    pub(crate) began: Duration,
    pub(crate) ask: f64,
    pub(crate) places: f64,
    pub(crate) stay: f64,
    /// Answers' times by operation, usual use by plan, customers with their plans: all by name.
    pub(crate) lat: Vec<(String, Histogram)>,
    pub(crate) usual: Vec<(String, [(f64, f64); 2])>,
    pub(crate) customers: Vec<(String, String, Customer)>,
    pub(crate) tgts: Vec<CarriedTgt>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct CarriedTgt {
    pub(crate) tgt: u32,
    pub(crate) since: Duration,
    pub(crate) credit: f64,
    pub(crate) credit_at: Duration,
    pub(crate) lat: Histogram,
}

impl CarriedTgt {
    pub(crate) fn of((t, s): (&TgtId, &Tgt)) -> Self {
        let (since, credit, credit_at, lat) = (s.entry.since, s.credit, s.credit_at, s.lat.clone());
        CarriedTgt {
            tgt: t.0,
            since,
            credit,
            credit_at,
            lat,
        }
    }
}

/// Values with their names, where both stand in the same order.
pub(crate) fn by_name<'a, T: Clone>(
    names: impl Iterator<Item = &'a Arc<str>>,
    values: &[T],
) -> Vec<(String, T)> {
    names
        .zip(values)
        .map(|(n, v)| (n.to_string(), v.clone()))
        .collect()
}

/// Those of the named that stand here get their value.
pub(crate) fn put_by_name<'a, T: Clone>(
    names: impl Iterator<Item = &'a Arc<str>>,
    named: Vec<(String, T)>,
    values: &mut [T],
) {
    for (name, value) in names.zip(values) {
        named
            .iter()
            .filter(|(n, _)| **n == **name)
            .for_each(|(_, v)| *value = v.clone());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn named(names: &[&str]) -> Settings {
        let operation = |n: &&str| Operation {
            name: (**n).into(),
            ..Operation::default()
        };
        let plan = |n: &&str| Plan {
            name: (**n).into(),
            rate: 1.0,
            ..Plan::default()
        };
        Settings {
            operations: names.iter().map(operation).collect(),
            plans: names.iter().map(plan).collect(),
            ..Settings::default()
        }
    }

    #[test]
    fn positions_keep_their_meaning_while_operations_come_and_go() {
        let first = named(&["a", "b"]);
        let mut next = named(&["c", "b"]);
        next.operations[1].repeat = Repeat::Idempotent;
        next.plans[1].rate = 9.0;
        let second = first.follow(next);
        assert_eq!(
            second.operations[..2],
            first.operations[..],
            "what is under way keeps its rows"
        );
        assert_eq!(
            second.in_force.operations,
            [OpId(2), OpId(3)],
            "changed, it is another"
        );
        assert_eq!(
            (second.in_force.plans.as_slice(), second.plans[1].rate),
            (&[PlanId(2), PlanId(1)][..], 9.0)
        );
        let third = second.follow(first.clone());
        assert_eq!(
            third.in_force.operations,
            [OpId(0), OpId(1)],
            "back as they were, in their old rows"
        );
        assert_eq!(
            (
                third.operations.len(),
                third.place(OpId(1)),
                third.place(OpId(2))
            ),
            (4, Some(1), None)
        );
    }
}
