//! A process's state for the process that takes its place.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Rules;
use super::backend::BackendState;
use super::customer::{Customer, Slot};
use super::latency_histogram::LatencyHistogram;
use super::use_estimate::PlanUse;
use crate::interface::{Action, BackendId, CustomerId, PlanId};

/// A process's state for its successor. Times are on the clock that both share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Carry {
    #[serde(rename = "began")]
    started_at: Duration,
    #[serde(rename = "ask")]
    counter_probability: f64,
    #[serde(rename = "places")]
    concurrency_limit: f64,
    #[serde(rename = "stay")]
    mean_attempt_s: f64,
    /// Answer times, by the operation's name.
    #[serde(rename = "lat")]
    latencies: Vec<(String, LatencyHistogram)>,
    /// The usual use, by the plan's name.
    #[serde(rename = "usual")]
    plan_use: Vec<(String, [PlanUse; 2])>,
    /// Customers by name, each with its plan's name.
    customers: Vec<(String, String, Customer)>,
    #[serde(rename = "tgts")]
    backends: Vec<CarriedBackend>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct CarriedBackend {
    #[serde(rename = "tgt")]
    backend_id: u32,
    since: Duration,
    credit: f64,
    credit_at: Duration,
    #[serde(rename = "lat")]
    latency: LatencyHistogram,
}

impl CarriedBackend {
    fn of((backend_id, backend): (&BackendId, &BackendState)) -> Self {
        CarriedBackend {
            backend_id: backend_id.0,
            since: backend.entry.since,
            credit: backend.credit,
            credit_at: backend.credit_at,
            latency: backend.latency.clone(),
        }
    }
}

impl Rules {
    /// Its successor gets what is known, and its parts of what all share: none go to fresh backends from here.
    pub(super) fn hand_over(&mut self) {
        let operations = self.settings.operations.iter();
        let plans = self.settings.plans.iter();
        let mut carry = Carry {
            started_at: self.started_at,
            counter_probability: self.counter_sampling.probability,
            concurrency_limit: self.concurrency_limit,
            mean_attempt_s: self.mean_attempt_s,
            latencies: with_names(operations.map(|operation| &operation.name), &self.latencies),
            plan_use: with_names(plans.map(|plan| &plan.name), &self.plan_use),
            customers: Vec::new(),
            backends: self.backends.iter().map(CarriedBackend::of).collect(),
        };
        for (id, customer) in &mut self.customers {
            let plan = &self.settings.plans[customer.plan.0].name;
            let carried = (id.0.to_string(), plan.to_string(), customer.clone());
            carry.customers.push(carried);
            customer.ceiling_units = 0.0;
            customer.ceiling_at = self.now;
            customer.ceiling_part = 0.0;
        }
        self.has_yielded = true;
        self.actions.push(Action::HandOver(Box::new(carry)));
    }

    /// Takes over a predecessor's state; that process counts on for a while as another gateway would.
    pub(super) fn take_over(&mut self, carry: Carry) {
        self.started_at = carry.started_at;
        self.counter_sampling.probability = carry.counter_probability;
        self.concurrency_limit = carry.concurrency_limit;
        self.mean_attempt_s = carry.mean_attempt_s;
        let operations = self.settings.operations.iter();
        let names = operations.map(|operation| &operation.name);
        set_by_name(names, carry.latencies, &mut self.latencies);
        let plans = self.settings.plans.iter();
        let names = plans.map(|plan| &plan.name);
        set_by_name(names, carry.plan_use, &mut self.plan_use);
        for (name, plan, customer) in carry.customers {
            self.take_over_customer(CustomerId(name.into()), &plan, customer);
        }
        for backend in carry.backends {
            self.take_over_backend(backend);
        }
    }

    fn take_over_customer(&mut self, id: CustomerId, plan: &str, mut customer: Customer) {
        let mut plans = self.settings.plans.iter();
        let Some(row) = plans.position(|known| *known.name == *plan) else {
            return;
        };
        customer.plan = PlanId(row);
        customer.slots.values_mut().for_each(Slot::count_as_others);
        self.customers.insert(id.clone(), customer);
        self.recut(&id);
    }

    fn take_over_backend(&mut self, carried: CarriedBackend) {
        let backend_id = BackendId(carried.backend_id);
        let known = self.backends.entry(backend_id).or_default();
        // A list that came first has the last word on which process it is.
        if known.credit_at.is_zero() || known.entry.since == carried.since {
            known.credit = carried.credit;
            known.credit_at = carried.credit_at;
            known.latency = carried.latency;
            known.entry.since = carried.since;
        }
    }
}

/// Values with their names, where both stand in the same order.
fn with_names<'a, T: Clone>(
    names: impl Iterator<Item = &'a Arc<str>>,
    values: &[T],
) -> Vec<(String, T)> {
    let named = names.zip(values);
    named
        .map(|(name, value)| (name.to_string(), value.clone()))
        .collect()
}

/// Those of the named that stand here get their value.
fn set_by_name<'a, T: Clone>(
    names: impl Iterator<Item = &'a Arc<str>>,
    named: Vec<(String, T)>,
    values: &mut [T],
) {
    for (name, value) in names.zip(values) {
        for (_, carried) in named.iter().filter(|(carried, _)| **carried == **name) {
            *value = carried.clone();
        }
    }
}
