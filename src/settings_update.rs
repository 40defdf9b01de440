//! Derives new settings from those in force, so that positions assigned before stay valid.

use crate::interface::{InForce, Operation, OperationId, Plan, PlanId, Settings};

impl Settings {
    /// Returns `new` as the settings that follow `self`. Positions assigned before stay valid,
    /// because open invocations use them. A new or changed operation gets its own row. A plan keeps
    /// the row of its name and gets the new values, because a quota applies as it is now. Rows are
    /// matched by name, not by position.
    pub fn updated_with(&self, mut new: Settings) -> Settings {
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

    /// Returns an operation's position in the settings in force, which is the same at all gateways
    /// with these settings.
    pub(crate) fn position_in_force(&self, operation: OperationId) -> Option<u16> {
        let in_force = &self.in_force.operations;
        let position = in_force.iter().position(|known| *known == operation)?;
        u16::try_from(position).ok()
    }
}

/// Returns the row equal to `operation`, adding one if there is none.
fn operation_row(rows: &mut Vec<Operation>, operation: &Operation) -> OperationId {
    let known = rows.iter().position(|row| row == operation);
    OperationId(known.unwrap_or_else(|| {
        rows.push(operation.clone());
        rows.len() - 1
    }))
}

/// Returns the row with the name of `plan`, updated to its values, adding one if there is none.
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
    use crate::interface::RepeatMode;

    fn settings_with_names(names: &[&str]) -> Settings {
        let operation = |name: &&str| Operation {
            name: (**name).into(),
            ..Operation::default()
        };
        let plan = |name: &&str| Plan {
            name: (**name).into(),
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
    fn positions_stay_valid_when_operations_change() {
        let first = settings_with_names(&["a", "b"]);
        let mut next = settings_with_names(&["c", "b"]);
        next.operations[1].repeat = RepeatMode::Idempotent;
        next.plans[1].rate = 9.0;
        let second = first.updated_with(next);
        assert_eq!(
            second.operations[..2],
            first.operations[..],
            "existing rows stay unchanged"
        );
        assert_eq!(
            second.in_force.operations,
            [OperationId(2), OperationId(3)],
            "new and changed operations get new rows"
        );
        assert_eq!(
            (second.in_force.plans.as_slice(), second.plans[1].rate),
            (&[PlanId(2), PlanId(1)][..], 9.0)
        );
        let third = second.updated_with(first.clone());
        assert_eq!(
            third.in_force.operations,
            [OperationId(0), OperationId(1)],
            "restored operations use their old rows"
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
