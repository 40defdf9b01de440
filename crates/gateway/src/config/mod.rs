//! Reads and checks the configuration and sets its defaults; no other module does.
//!
//! `settings_file_check` checks the settings, `reload` checks a new configuration against the one in force, and
//! `unknown_keys` finds keys that nothing reads.

mod reload;
mod settings_file_check;
mod unknown_keys;

use std::io;
use std::net::SocketAddr;

use damsonbeam::interface::Settings;
use damsonbeam_settings::SettingsFile;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

pub use self::unknown_keys::{check_file, unknown_keys};

use crate::backend_list::DiscoveryPage;
use crate::sizes::{CONNECTION_MEMORY, MAX_BUFFERED_BODY};

/// File descriptors reserved for other uses than client and backend connections: listener, counter, discovery, peers,
/// the runtime, and dropped connections whose descriptors close within one turn of the event loop.
const RESERVED_SOCKETS: usize = 48;
/// Default of `limits.sockets`.
const DEFAULT_SOCKETS: usize = 1024;
/// Default of `limits.memory_mb`.
const DEFAULT_MEMORY_MB: usize = 192;
/// Smallest value of `limits.sockets`.
const MIN_SOCKETS: usize = 4 * RESERVED_SOCKETS;
/// Smallest capacity for client connections, and for backend connections.
const MIN_CONNECTIONS: usize = 16;

/// Addresses of the services that the gateway calls; a reload can change these.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceAddresses {
    /// The service that lists backends.
    pub discovery: SocketAddr,
    /// The shared counter.
    pub counter: Option<SocketAddr>,
}

/// A configuration that was read and checked.
pub struct Config {
    /// The gateway's name.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Addresses of discovery and of the counter.
    pub addresses: ServiceAddresses,
    /// Address of the admin interface, if there is one.
    pub admin: Option<SocketAddr>,
    /// Address on which messages of other gateways arrive, if gateways exchange any.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all gateways, including this one, indexed by their numbers.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all other gateways at once.
    pub peers_all: Option<SocketAddr>,
    /// Whether gateways report to each other the units they added to the counter (docs/counter-failure.md); needs
    /// `peers`.
    pub reports_to_peers: bool,
    /// Seed of the random number generator.
    pub seed: u64,
    /// The last known list of backends.
    pub known_backends: DiscoveryPage,
    /// The settings as decoded from the file.
    pub settings_file: SettingsFile,
    /// The whole file as JSON.
    pub source: Value,
    /// The settings in the form that the decision module uses.
    pub settings: Settings,
    /// Maximum number of client connections.
    pub max_client_connections: usize,
    /// Maximum number of backend connections.
    pub max_backend_connections: usize,
    /// Memory in bytes for request bodies, and the same amount again for responses larger than one body buffer.
    pub body_memory_bytes: usize,
    /// Notes on settings that have no effect because the protocol carries no data for them, one line each.
    pub notes: Vec<String>,
    /// Unknown keys outside `settings`; `config check` rejects them, `serve` logs them.
    pub unknown_keys: Vec<String>,
}

#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    limits: Limits,
    admin_addr: Option<String>,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    #[serde(default)]
    witness: bool,
    counter: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    known: DiscoveryPage,
    settings: Value,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// `NODE_CONFIG`, which names the file, is not set.
    #[error("NODE_CONFIG is not set")]
    NotSet,
    /// The file can't be read.
    #[error("NODE_CONFIG: {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is not JSON, or a value has the wrong type.
    #[error("NODE_CONFIG: {0}")]
    Malformed(String),
    /// A key's value can't be used, or is missing.
    #[error("{key}: {problem}")]
    Invalid {
        /// The key, with its path.
        key: String,
        /// What is wrong with the value.
        problem: String,
    },
}

impl ConfigError {
    fn invalid(key: impl Into<String>, problem: impl Into<String>) -> Self {
        ConfigError::Invalid {
            key: key.into(),
            problem: problem.into(),
        }
    }
}

/// Capacities that follow from the limits on sockets and memory.
struct Capacity {
    /// Client connections.
    clients: usize,
    /// Backend connections.
    backends: usize,
    /// Bytes of request bodies.
    body_bytes: usize,
}

impl Capacity {
    /// Derives the capacities from `limits`. Clients get three fifths of the usable sockets. Clients, backends and
    /// bodies each get a quarter of the memory, counting every connection at its maximum size.
    fn of(limits: &Limits) -> Result<Self, ConfigError> {
        let sockets = limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        if sockets < MIN_SOCKETS {
            let problem = format!("{sockets} is below the minimum of {MIN_SOCKETS}");
            return Err(ConfigError::invalid("limits.sockets", problem));
        }
        let memory_mb = limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let quarter = (memory_mb << 20) / 4;
        let usable = sockets - RESERVED_SOCKETS;
        let capacity = Capacity {
            clients: (usable * 3 / 5).min(quarter / CONNECTION_MEMORY),
            backends: (usable * 2 / 5).min(quarter / (CONNECTION_MEMORY + MAX_BUFFERED_BODY)),
            body_bytes: quarter,
        };
        if capacity.backends.min(capacity.clients) < MIN_CONNECTIONS {
            let problem = format!("{memory_mb} MB is too little memory for the connections");
            return Err(ConfigError::invalid("limits.memory_mb", problem));
        }
        Ok(capacity)
    }
}

impl Config {
    /// Reads the configuration from the file that `NODE_CONFIG` names and from the environment.
    ///
    /// # Errors
    /// Returns the first problem found.
    pub fn read() -> Result<Self, ConfigError> {
        let path = std::env::var("NODE_CONFIG").map_err(|_| ConfigError::NotSet)?;
        let text = std::fs::read_to_string(&path)
            .map_err(|source| ConfigError::Unreadable { path, source })?;
        Self::parse(&text, |key| std::env::var(key).ok())
    }

    /// Parses and checks the text of a configuration file; `env` looks up environment variables.
    ///
    /// # Errors
    /// Returns the first problem found.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: ConfigFile = decode(&mut json).map_err(ConfigError::Malformed)?;
        let seed = file
            .seed
            .ok_or_else(|| ConfigError::invalid("seed", "missing"))?;
        let settings_file: SettingsFile =
            decode(file.settings).map_err(|error| prefixed("settings", &error))?;
        settings_file_check::check(&settings_file)?;
        let settings = damsonbeam_settings::to_settings(&settings_file)
            .map_err(|error| ConfigError::invalid("settings", error))?;
        let counter = optional_address("counter", file.counter.as_ref())?;
        if settings.counter.is_some() && counter.is_none() {
            let problem = "missing, though settings.domain.has-counter is true";
            return Err(ConfigError::invalid("counter", problem));
        }
        let capacity = Capacity::of(&file.limits)?;
        let required = |key: &str, value: Option<String>, variable: &str| {
            let missing =
                || ConfigError::invalid(key, format!("missing, and {variable} is not set"));
            value.or_else(|| env(variable)).ok_or_else(missing)
        };
        let discovery = required("discovery", file.discovery, "NODE_DISCOVERY")?;
        let discovery = address("discovery", &discovery)?;
        let name = required("name", file.name, "NODE_NAME")?;
        let listen = required("listen", file.listen, "NODE_LISTEN")?;
        let admin = file.admin_addr.or_else(|| env("NODE_ADMIN_ADDR"));
        let peers = file.peers.iter().map(|peer| address("peers", peer));
        Ok(Config {
            name,
            listen: address("listen", &listen)?,
            addresses: ServiceAddresses { discovery, counter },
            admin: optional_address("admin_addr", admin.as_ref())?,
            peer_listen: optional_address("peer_listen", file.peer_listen.as_ref())?,
            peers: peers.collect::<Result<_, _>>()?,
            peers_all: optional_address("peers_all", file.peers_all.as_ref())?,
            reports_to_peers: file.witness,
            seed: parse_seed(&seed)?,
            known_backends: file.known,
            notes: settings_file_check::notes(&settings_file),
            settings_file,
            source: serde_json::from_str(text).unwrap_or_default(),
            settings,
            max_client_connections: capacity.clients,
            max_backend_connections: capacity.backends,
            body_memory_bytes: capacity.body_bytes,
            unknown_keys: unknown_keys(text).0,
        })
    }
}

fn address(key: &str, value: &str) -> Result<SocketAddr, ConfigError> {
    value
        .parse()
        .map_err(|error| ConfigError::invalid(key, format!("`{value}` is not an address: {error}")))
}

fn optional_address(key: &str, value: Option<&String>) -> Result<Option<SocketAddr>, ConfigError> {
    value.map(|value| address(key, value)).transpose()
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16)
        .map_err(|error| ConfigError::invalid("seed", format!("`{text}` is not hex: {error}")))
}

/// Converts an error text `key: problem` to an error of the key `parent.key`.
fn prefixed(parent: &str, error: &str) -> ConfigError {
    let (key, problem) = error.split_once(": ").unwrap_or((error, ""));
    ConfigError::invalid(format!("{parent}.{key}"), problem)
}

/// Decodes a value; the error text has the form `key: problem`.
fn decode<'a, T: Deserialize<'a>>(from: impl Deserializer<'a>) -> Result<T, String> {
    serde_path_to_error::deserialize(from)
        .map_err(|error| format!("{}: {}", error.path(), error.inner()))
}
