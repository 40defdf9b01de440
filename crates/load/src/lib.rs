//! Load generator and experiment runner: load profiles, runs against gateways, reports, and experiments that combine
//! the emulator, gateways, a load profile and a fault script.

pub mod clients;
pub mod experiment;
pub mod panels;
pub mod profile;
pub mod report;
pub mod run;
pub mod scale;
