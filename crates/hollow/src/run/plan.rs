//! What a run is made of.

use std::path::PathBuf;

use serde::Serialize;

/// What a run is made of.
#[derive(Clone, Debug, Serialize)]
pub struct Plan {
    /// Core machines.
    pub machines: usize,
    /// Proxies.
    pub proxies: usize,
    /// Backends in the platform's list.
    pub backends: usize,
    /// Routes of the configuration.
    pub routes: usize,
    /// Tenants of the configuration.
    pub tenants: usize,
    /// Services of the configuration.
    pub services: usize,
    /// Items of a call that loads the configuration.
    pub batch: usize,
    /// Longest time until all of them are taken.
    pub load_s: f64,
    /// Entries of a page of the platform's list.
    pub page: usize,
    /// Calls a second that the platform takes.
    pub platform_rate: f64,
    /// Requests a second at each proxy, counted against tenants' quotas.
    pub requests: f64,
    /// Changes of the configuration a second.
    pub changes: f64,
    /// Backends replaced a second.
    pub backend_churn: f64,
    /// Proxies restarted a second.
    pub restarts: f64,
    /// Proxies started a second.
    pub ramp: f64,
    /// Longest time until all proxies know all.
    pub settle_s: f64,
    /// Time that is measured.
    pub seconds: f64,
    /// Threads that the proxies share.
    pub threads: usize,
    /// The coordinator's machine is killed in the middle.
    pub kill_coordinator: bool,
    /// The folder of the programs.
    #[serde(skip)]
    pub programs: PathBuf,
    /// The folder for disks, settings and logs.
    #[serde(skip)]
    pub folder: PathBuf,
}
