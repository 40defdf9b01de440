//! Handover of the state of a process to its successor.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Rules;
use super::backend::BackendState;
use super::customer::{Customer, Slot};
use super::latency_histogram::LatencyHistogram;
use super::operation_latency::OperationLatency;
use super::use_estimate::PlanUsage;
use crate::interface::{Action, BackendId, CustomerId, PlanId};

/// The state that a process hands over to its successor. Times are relative to the clock that both
/// processes share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    #[serde(rename = "began")]
    started_at: Duration,
    #[serde(rename = "ask")]
    counter_probability: f64,
    #[serde(rename = "places")]
    concurrency_limit: f64,
    #[serde(rename = "stay")]
    mean_attempt_s: f64,
    /// Latencies, by operation name.
    #[serde(rename = "lat")]
    latencies: Vec<(String, LatencyHistogram)>,
    /// Observed usage, by plan name.
    #[serde(rename = "usual")]
    plan_usage: Vec<(String, [PlanUsage; 2])>,
    /// Customer name, plan name and state of each customer.
    customers: Vec<(String, String, Customer)>,
    #[serde(rename = "tgts")]
    backends: Vec<CarriedBackend>,
}

/// The part of the state that concerns one backend.
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
            since: backend.entry.started_at,
            credit: backend.credit,
            credit_at: backend.credit_at,
            latency: backend.latency.clone(),
        }
    }
}

impl Rules {
    /// Hands over the state, including the shares of ceilings and of warm-up budgets. This process
    /// then sends nothing to warming backends.
    pub(super) fn hand_over(&mut self) {
        let operations = self.settings.operations.iter();
        let histograms = self.latencies.iter().map(OperationLatency::histogram);
        let histograms: Vec<LatencyHistogram> = histograms.cloned().collect();
        let plans = self.settings.plans.iter();
        let mut carry = HandoverState {
            started_at: self.started_at,
            counter_probability: self.counter_sampling.probability,
            concurrency_limit: self.concurrency_limit,
            mean_attempt_s: self.mean_attempt_s,
            latencies: zip_with_names(operations.map(|operation| &operation.name), &histograms),
            plan_usage: zip_with_names(plans.map(|plan| &plan.name), &self.plan_usage),
            customers: Vec::new(),
            backends: self.backends.iter().map(CarriedBackend::of).collect(),
        };
        for (id, customer) in &mut self.customers {
            let plan = &self.settings.plans[customer.plan.0].name;
            let carried = (id.0.to_string(), plan.to_string(), customer.clone());
            carry.customers.push(carried);
            customer.ceiling_units = 0.0;
            customer.ceiling_at = self.now;
            customer.ceiling_share = 0.0;
        }
        self.has_yielded = true;
        self.actions.push(Action::HandOver(Box::new(carry)));
    }

    /// Takes over the state of a predecessor. The predecessor's units are treated as those of
    /// another gateway, because it continues to count for a while.
    pub(super) fn take_over(&mut self, carry: HandoverState) {
        self.started_at = carry.started_at;
        self.counter_sampling.probability = carry.counter_probability;
        self.concurrency_limit = carry.concurrency_limit;
        self.mean_attempt_s = carry.mean_attempt_s;
        let operations = self.settings.operations.iter();
        let names = operations.map(|operation| &operation.name);
        let latencies = carry.latencies.into_iter();
        let latencies =
            latencies.map(|(name, histogram)| (name, OperationLatency::from_histogram(histogram)));
        restore_by_name(names, latencies.collect(), &mut self.latencies);
        let plans = self.settings.plans.iter();
        let names = plans.map(|plan| &plan.name);
        restore_by_name(names, carry.plan_usage, &mut self.plan_usage);
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
        self.apply_slot_layout(&id);
    }

    fn take_over_backend(&mut self, carried: CarriedBackend) {
        let backend_id = BackendId(carried.backend_id);
        let known = self.backends.entry(backend_id).or_default();
        // A list received before the handover decides which process of the backend is current.
        if known.credit_at.is_zero() || known.entry.started_at == carried.since {
            known.credit = carried.credit;
            known.credit_at = carried.credit_at;
            known.latency = carried.latency;
            known.entry.started_at = carried.since;
        }
    }
}

/// Pairs values with the names at the same positions.
fn zip_with_names<'a, T: Clone>(
    names: impl Iterator<Item = &'a Arc<str>>,
    values: &[T],
) -> Vec<(String, T)> {
    let named = names.zip(values);
    named
        .map(|(name, value)| (name.to_string(), value.clone()))
        .collect()
}

/// Sets each value whose name occurs in `named`.
fn restore_by_name<'a, T: Clone>(
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
