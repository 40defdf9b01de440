//! The one place where configuration is read, checked and given defaults.
//!
//! `facts_check` is what the settings must be; `reload` what may follow a configuration in force; `unknown_keys` what
//! nothing reads.

mod facts_check;
mod reload;
mod unknown_keys;

use std::io;
use std::net::SocketAddr;

use damsonbeam::interface::Settings;
use damsonbeam_settings::Facts;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

pub use self::unknown_keys::{check_file, unknown_keys};

use crate::backend_list::DiscoveryPage;
use crate::sizes::{BODY, CONNECTION};

/// Descriptors kept for all but clients and backends: listener, counter, list, peers, the runtime's own, and
/// those of connections that were let go and close within a turn.
const RESERVED_SOCKETS: usize = 48;
/// Where the file does not say.
const DEFAULT_SOCKETS: usize = 1024;
const DEFAULT_MEMORY_MB: usize = 192;
/// Sockets that a gateway needs at least.
const MIN_SOCKETS: usize = 4 * RESERVED_SOCKETS;
/// Connections of a kind, at least.
const MIN_CONNECTIONS: usize = 16;

/// What a reload can change: where others are reached.
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
    /// Where clients call.
    pub listen: SocketAddr,
    /// Where others are reached.
    pub addresses: ServiceAddresses,
    /// Where operators call, if anywhere.
    pub admin: Option<SocketAddr>,
    /// Where the other gateways call, if they do.
    pub peer_listen: Option<SocketAddr>,
    /// The other gateways, this one among them, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// Where all other gateways are reached at once.
    pub peers_all: Option<SocketAddr>,
    /// Gateways tell each other what they added to the counter (docs/counter-failure.md); needs `peers`.
    pub witness: bool,
    /// Where chance comes from.
    pub seed: u64,
    /// The list of backends as it was last known.
    pub known: DiscoveryPage,
    /// The settings as they stand in the file.
    pub facts: Facts,
    /// The file as it was read.
    pub source: Value,
    /// The settings as decisions go by them.
    pub settings: Settings,
    /// Client connections at most.
    pub clients: usize,
    /// Connections to backends at most.
    pub backends: usize,
    /// Bytes of requests' bodies at most, and of answers larger than a body, for each of both.
    pub bodies: usize,
    /// What the settings rely on and no page of the socket protocol brings, a line each.
    pub notes: Vec<String>,
    /// The gateway's own keys that nothing reads; `config check` refuses them, `serve` logs them.
    pub unknown: Vec<String>,
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
    /// The environment names no file.
    #[error("NODE_CONFIG is not set")]
    NotSet,
    /// The file can't be read.
    #[error("NODE_CONFIG: {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why not.
        source: io::Error,
    },
    /// The file is not of the form that is expected.
    #[error("NODE_CONFIG: {0}")]
    Malformed(String),
    /// A key's value can't be used, or is missing.
    #[error("{key}: {problem}")]
    Invalid {
        /// The key, with its path.
        key: String,
        /// What is wrong.
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

/// What the machine's sockets and memory allow.
struct Capacity {
    clients: usize,
    backends: usize,
    body_bytes: usize,
}

impl Capacity {
    /// Clients get three fifths of the sockets. With every connection at its largest, clients, backends and bodies take
    /// a quarter of the memory each at most.
    fn of(limits: &Limits) -> Result<Self, ConfigError> {
        let sockets = limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        if sockets < MIN_SOCKETS {
            let problem = format!("{sockets} is too few, {MIN_SOCKETS} at least");
            return Err(ConfigError::invalid("limits.sockets", problem));
        }
        let memory_mb = limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let quarter = (memory_mb << 20) / 4;
        let usable = sockets - RESERVED_SOCKETS;
        let capacity = Capacity {
            clients: (usable * 3 / 5).min(quarter / CONNECTION),
            backends: (usable * 2 / 5).min(quarter / (CONNECTION + BODY)),
            body_bytes: quarter,
        };
        if capacity.backends.min(capacity.clients) < MIN_CONNECTIONS {
            let problem = format!("{memory_mb} MB hold too few connections");
            return Err(ConfigError::invalid("limits.memory_mb", problem));
        }
        Ok(capacity)
    }
}

impl Config {
    /// From the environment and the file that it names.
    ///
    /// # Errors
    /// The first thing that can't be used.
    pub fn read() -> Result<Self, ConfigError> {
        let path = std::env::var("NODE_CONFIG").map_err(|_| ConfigError::NotSet)?;
        let text = std::fs::read_to_string(&path)
            .map_err(|source| ConfigError::Unreadable { path, source })?;
        Self::parse(&text, |key| std::env::var(key).ok())
    }

    /// From a file's text and the environment.
    ///
    /// # Errors
    /// The first thing that can't be used.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: ConfigFile = decode(&mut json).map_err(ConfigError::Malformed)?;
        let seed = file
            .seed
            .ok_or_else(|| ConfigError::invalid("seed", "missing"))?;
        let facts: Facts = decode(file.settings).map_err(|error| prefixed("settings", &error))?;
        facts_check::check(&facts)?;
        let settings = damsonbeam_settings::settings(&facts)
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
            witness: file.witness,
            seed: parse_seed(&seed)?,
            known: file.known,
            notes: facts_check::notes(&facts),
            facts,
            source: serde_json::from_str(text).unwrap_or_default(),
            settings,
            clients: capacity.clients,
            backends: capacity.backends,
            bodies: capacity.body_bytes,
            unknown: unknown_keys(text).0,
        })
    }
}

fn address(key: &str, value: &str) -> Result<SocketAddr, ConfigError> {
    value
        .parse()
        .map_err(|error| ConfigError::invalid(key, format!("`{value}` is no address: {error}")))
}

fn optional_address(key: &str, value: Option<&String>) -> Result<Option<SocketAddr>, ConfigError> {
    value.map(|value| address(key, value)).transpose()
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16)
        .map_err(|error| ConfigError::invalid("seed", format!("`{text}` is not hex: {error}")))
}

/// An error that begins with a key, below another key.
fn prefixed(parent: &str, error: &str) -> ConfigError {
    let (key, problem) = error.split_once(": ").unwrap_or((error, ""));
    ConfigError::invalid(format!("{parent}.{key}"), problem)
}

/// Decodes; an error begins with the key at which it failed.
fn decode<'a, T: Deserialize<'a>>(from: impl Deserializer<'a>) -> Result<T, String> {
    serde_path_to_error::deserialize(from)
        .map_err(|error| format!("{}: {}", error.path(), error.inner()))
}
