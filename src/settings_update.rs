//! New settings follow those in force without changing what positions given out before mean.

use crate::interface::{InForce, Operation, OperationId, Plan, PlanId, Settings};

impl Settings {
    /// `new` in force after these. Positions given out before keep their meaning, for what is under way uses
    /// them: an operation that is new, or that changed in anything, gets a row of its own; a plan keeps its
    /// row by its name, with the new figures, for a quota is what holds now. Both go by name, not by position.
    pub fn follow(&self, mut new: Settings) -> Settings {
        let mut operations = self.operations.clone();
        let mut plans = self.plans.clone();
        let operations_in_force = new.operations.iter();
        let operations_in_force = operations_in_force
            .map(|operation| operation_row(&mut operations, operation))
            .collect();
        let plans_in_force = new.plans.iter();
        let plans_in_force = plans_in_force
            .map(|plan| plan_row(&mut plans, plan))
            .collect();
        new.in_force = InForce {
            operations: operations_in_force,
            plans: plans_in_force,
        };
        new.operations = operations;
        new.plans = plans;
        new
    }

    /// An operation's number in the settings in force, the same at all gateways that have them.
    pub(crate) fn position_in_force(&self, operation: OperationId) -> Option<u16> {
        let in_force = &self.in_force.operations;
        let position = in_force.iter().position(|known| *known == operation)?;
        u16::try_from(position).ok()
    }
}

/// The row that is the same in everything; a new one where there is none.
fn operation_row(rows: &mut Vec<Operation>, operation: &Operation) -> OperationId {
    let known = rows.iter().position(|row| row == operation);
    OperationId(known.unwrap_or_else(|| {
        rows.push(operation.clone());
        rows.len() - 1
    }))
}

/// The row of that name, with the new figures; a new one where there is none.
fn plan_row(rows: &mut Vec<Plan>, plan: &Plan) -> PlanId {
    match rows.iter().position(|row| row.name == plan.name) {
        Some(known) => {
            rows[known] = plan.clone();
            PlanId(known)
        }
        None => {
            rows.push(plan.clone());
            PlanId(rows.len() - 1)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::Repeat;

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
            [OperationId(2), OperationId(3)],
            "changed, it is another"
        );
        assert_eq!(
            (second.in_force.plans.as_slice(), second.plans[1].rate),
            (&[PlanId(2), PlanId(1)][..], 9.0)
        );
        let third = second.follow(first.clone());
        assert_eq!(
            third.in_force.operations,
            [OperationId(0), OperationId(1)],
            "back as they were, in their old rows"
        );
        assert_eq!(
            (
                third.operations.len(),
                third.position_in_force(OperationId(1)),
                third.position_in_force(OperationId(2))
            ),
            (4, Some(1), None)
        );
    }
}
