//! The settings file of a process, which `DAMSONBEAM_CONFIG` names. Each error names the file and the field.

mod fields;
mod parse;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// Holds the path of the settings file.
const SETTINGS_FILE_VARIABLE: &str = "DAMSONBEAM_CONFIG";

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum SettingsError {
    /// The file can't be read, or is not JSON.
    #[error("{file}: {reason}")]
    File {
        /// The path of the file.
        file: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A field is missing or wrong.
    #[error("{file}: {field}: {reason}")]
    Field {
        /// The path of the file.
        file: String,
        /// The field's name.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The role needs an address that the file does not give it.
    #[error("listen_addresses: no `{0}`")]
    NoListenAddress(String),
}

/// What may be lost at once while the system still works.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultTolerance {
    /// Machines.
    pub machines: u64,
    /// Zones.
    pub zones: u64,
    /// Regions.
    pub regions: u64,
}

/// The platform's interface, which lists the backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CloudApi {
    /// Its address.
    pub address: SocketAddr,
    /// Calls a second that it takes from the whole system.
    pub rate_per_s: f64,
}

/// The settings of one process. Fields are named as in the file, but for `regions`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The machine's name.
    pub node_name: String,
    /// The machine's address.
    pub ip_address: IpAddr,
    /// The machine's zone.
    pub zone: String,
    /// The machine's region.
    pub region: String,
    /// The region of each zone (`zones` in the file).
    pub regions: BTreeMap<String, String>,
    /// What the process serves to others than the system's own processes.
    pub serves: Vec<String>,
    /// Where it serves that, by name.
    pub listen_addresses: BTreeMap<String, SocketAddr>,
    /// First and last of the ports between the system's own processes.
    pub internal_port_range: (u16, u16),
    /// Registries that a process asks at its first start.
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether this is the very first start of the whole system.
    pub initial_start: bool,
    /// Whether the machine's loss counts against the fault tolerance.
    pub loss_counted: bool,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// File descriptors that the process may use.
    pub file_descriptors: u64,
    /// Where the process may keep files; `None`: nowhere.
    pub data_directory: Option<PathBuf>,
    /// The platform's interface; `None` where there is none.
    pub cloud_api: Option<CloudApi>,
    /// What may be lost at once.
    pub fault_tolerance: FaultTolerance,
    /// Figures of the deployment, by name; their units are part of the names.
    pub timing_bounds: BTreeMap<String, f64>,
}

/// The ports between the system's processes, counted from the first of the range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InternalPort {
    /// Registries: proxies, stores and other registries connect here.
    Registry,
    /// Stores connect to each other here, and registries to the store on their machine.
    Store,
    /// Datagrams among registries.
    Gossip,
    /// Datagrams among proxies: load reports.
    LoadReports,
}

impl InternalPort {
    fn offset(self) -> u16 {
        match self {
            InternalPort::Registry => 0,
            InternalPort::Store => 1,
            InternalPort::Gossip => 2,
            InternalPort::LoadReports => 3,
        }
    }
}

impl Settings {
    /// Reads the file that `DAMSONBEAM_CONFIG` names.
    ///
    /// # Errors
    /// Where it can't be read, or a field is missing or wrong: the first one found.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let file = std::env::var(SETTINGS_FILE_VARIABLE).unwrap_or_default();
        let text = std::fs::read(&file).map_err(|e| SettingsError::File {
            file: format!("{SETTINGS_FILE_VARIABLE}={file}"),
            reason: e.to_string(),
        })?;
        Self::parse(&file, text)
    }

    /// A figure of `timing_bounds`, or the default.
    pub fn bound(&self, name: &str, default: f64) -> f64 {
        self.timing_bounds.get(name).copied().unwrap_or(default)
    }

    /// A figure of `timing_bounds` that is in milliseconds.
    pub fn bound_ms(&self, name: &str, default: u64) -> Duration {
        Duration::from_secs_f64(self.bound(name, default as f64).max(0.0) / 1000.0)
    }

    /// A figure of `timing_bounds` that is in seconds.
    pub fn bound_s(&self, name: &str, default: f64) -> Duration {
        Duration::from_secs_f64(self.bound(name, default).max(0.0))
    }

    /// Where a process of the machine at `ip` listens for the system's own processes.
    pub fn internal_address(&self, ip: IpAddr, port: InternalPort) -> SocketAddr {
        SocketAddr::new(ip, self.internal_port_range.0 + port.offset())
    }

    /// The machines of the seeds, this one left out.
    pub fn seed_ips(&self) -> Vec<IpAddr> {
        let ips = self.seed_nodes.iter().map(SocketAddr::ip);
        ips.filter(|ip| *ip != self.ip_address).collect()
    }

    /// Where the process serves something.
    ///
    /// # Errors
    /// Where the file gives no such address.
    pub fn listen_address(&self, name: &str) -> Result<SocketAddr, SettingsError> {
        let address = self.listen_addresses.get(name).copied();
        address.ok_or_else(|| SettingsError::NoListenAddress(name.into()))
    }
}
