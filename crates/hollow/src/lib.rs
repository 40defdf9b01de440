//! Measures the control side at size on one machine: registries and stores as real processes, a stand-in for the
//! platform's list, and proxies without a data plane that share one process and speak through the proxy's own code.

pub mod cluster;
pub mod meter;
pub mod operator;
pub mod platform;
pub mod process;
pub mod proxies;
pub mod report;
pub mod run;
pub mod topology;

/// What keeps a run from its figures.
pub type Error = Box<dyn std::error::Error + Send + Sync>;
