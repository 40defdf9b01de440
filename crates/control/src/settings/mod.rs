//! The settings of a process, read from the file named by `DAMSONBEAM_CONFIG`. Each error names the file and the field.

mod fields;
mod parse;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// The environment variable with the path of the settings file.
const SETTINGS_FILE_VARIABLE: &str = "DAMSONBEAM_CONFIG";

/// An error in a settings file.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum SettingsError {
    /// The file cannot be read or is not JSON.
    #[error("{file}: {reason}")]
    File {
        /// The path of the file.
        file: String,
        /// The error.
        reason: String,
    },
    /// A field is missing or invalid.
    #[error("{file}: {field}: {reason}")]
    Field {
        /// The path of the file.
        file: String,
        /// The name of the field.
        field: String,
        /// The error.
        reason: String,
    },
    /// The file lacks a listen address that the process needs.
    #[error("listen_addresses: `{0}` is missing")]
    NoListenAddress(String),
}

/// The losses that the system must tolerate at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultTolerance {
    /// The number of machines.
    pub machines: u64,
    /// The number of zones.
    pub zones: u64,
    /// The number of regions.
    pub regions: u64,
}

/// The API of the platform, which lists the backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CloudApi {
    /// The address of the API.
    pub address: SocketAddr,
    /// The rate limit of the API for the whole system, in calls per second.
    pub rate_per_s: f64,
}

/// The settings of one process. The fields have the names used in the file, except for `regions`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the machine.
    pub node_name: String,
    /// The IP address of the machine.
    pub ip_address: IpAddr,
    /// The zone of the machine.
    pub zone: String,
    /// The region of the machine.
    pub region: String,
    /// The region of each zone (`zones` in the file).
    pub regions_by_zone: BTreeMap<String, String>,
    /// The names of the interfaces that the process serves to callers outside the system.
    pub serves: Vec<String>,
    /// The listen addresses of these interfaces, by name.
    pub listen_addresses: BTreeMap<String, SocketAddr>,
    /// The first and last port for connections between the processes of the system.
    pub internal_port_range: (u16, u16),
    /// The registries that the process contacts at its first start.
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system.
    pub initial_start: bool,
    /// Whether the loss of this machine counts against the fault tolerance.
    pub loss_counted: bool,
    /// The memory limit of the process, in megabytes.
    pub memory_mb: u64,
    /// The maximum number of file descriptors of the process.
    pub file_descriptors: u64,
    /// The directory for files of the process; `None` if it must not write files.
    pub data_directory: Option<PathBuf>,
    /// The API of the platform; `None` if the platform has none.
    pub cloud_api: Option<CloudApi>,
    /// The losses that the system must tolerate at the same time.
    pub fault_tolerance: FaultTolerance,
    /// Parameters of the deployment, by name; each name contains the unit.
    pub timing_bounds: BTreeMap<String, f64>,
}

/// The ports for connections between the processes of the system, as offsets from the first port of the range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InternalPort {
    /// TCP port of a registry, for proxies, stores and other registries.
    Registry,
    /// TCP port of a store, for other stores and for the registry on the same machine.
    Store,
    /// UDP port for datagrams between registries.
    Gossip,
    /// UDP port for load reports between proxies.
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
    /// Reads the file named by `DAMSONBEAM_CONFIG`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, or for the first field that is missing or invalid.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let file = std::env::var(SETTINGS_FILE_VARIABLE).unwrap_or_default();
        let text = std::fs::read(&file).map_err(|e| SettingsError::File {
            file: format!("{SETTINGS_FILE_VARIABLE}={file}"),
            reason: e.to_string(),
        })?;
        Self::parse(&file, text)
    }

    /// Returns the value of a parameter in `timing_bounds`, or the default.
    pub fn timing_bound(&self, name: &str, default: f64) -> f64 {
        self.timing_bounds.get(name).copied().unwrap_or(default)
    }

    /// Returns a parameter in `timing_bounds` that is in milliseconds, or the default; negative values become 0.
    pub fn timing_bound_ms(&self, name: &str, default: u64) -> Duration {
        Duration::from_secs_f64(self.timing_bound(name, default as f64).max(0.0) / 1000.0)
    }

    /// Returns a parameter in `timing_bounds` that is in seconds, or the default; negative values become 0.
    pub fn timing_bound_s(&self, name: &str, default: f64) -> Duration {
        Duration::from_secs_f64(self.timing_bound(name, default).max(0.0))
    }

    /// Returns the address at which a process on the machine `ip` listens for other processes of the system.
    pub fn internal_address(&self, ip: IpAddr, port: InternalPort) -> SocketAddr {
        SocketAddr::new(ip, self.internal_port_range.0 + port.offset())
    }

    /// Returns the IP addresses of the seed nodes without this machine's own.
    pub fn seed_ips(&self) -> Vec<IpAddr> {
        let ips = self.seed_nodes.iter().map(SocketAddr::ip);
        ips.filter(|ip| *ip != self.ip_address).collect()
    }

    /// Returns the listen address with this name.
    ///
    /// # Errors
    /// Returns an error if the file has no such address.
    pub fn listen_address(&self, name: &str) -> Result<SocketAddr, SettingsError> {
        let address = self.listen_addresses.get(name).copied();
        address.ok_or_else(|| SettingsError::NoListenAddress(name.into()))
    }
}
