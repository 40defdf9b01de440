//! Tests of the decision module alone: examples, regression tests and a model of its rules.

mod common;
mod decisions;
mod fleet;
mod model;
mod traffic_split;
