//! The decision module alone: examples, found failures, and the plain model of the rules.

mod common;
mod decisions;
mod fleet;
mod model;
