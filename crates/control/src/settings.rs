//! The settings file of a process (`DAMSONBEAM_CONFIG`), checked: each fault names its field.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use simd_json::prelude::*;

use crate::value::{Value, parse};

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum Fault {
    #[error("{file}: {why}")]
    File { file: String, why: String },
    #[error("{file}: {field}: {why}")]
    Field {
        file: String,
        field: String,
        why: String,
    },
}

/// Losses that the system must bear at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    pub machines: u64,
    pub zones: u64,
    pub regions: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub node: String,
    pub ip: IpAddr,
    pub zone: String,
    pub region: String,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    pub serves: Vec<String>,
    pub listen: BTreeMap<String, SocketAddr>,
    /// First and last of the ports between the system's own processes.
    pub ports: (u16, u16),
    pub seeds: Vec<SocketAddr>,
    pub first_start: bool,
    pub counted: bool,
    pub memory_mb: u64,
    pub descriptors: u64,
    pub data: Option<PathBuf>,
    pub cloud: Option<(SocketAddr, f64)>,
    pub tolerance: Tolerance,
    pub bounds: BTreeMap<String, f64>,
}

/// The ports between the system's processes, counted from the first of the range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Port {
    /// Registries: proxies, stores and other registries call here.
    Registry,
    /// Stores call each other here.
    Store,
    /// Datagrams among registries.
    Gossip,
    /// Datagrams among proxies: load summaries.
    LoadReports,
}

impl Settings {
    /// Reads the file that `DAMSONBEAM_CONFIG` names.
    ///
    /// # Errors
    /// Where it can't be read, or a field is missing or wrong: the first one found.
    pub fn read() -> Result<Self, Fault> {
        let file = std::env::var("DAMSONBEAM_CONFIG").unwrap_or_default();
        let text = std::fs::read(&file).map_err(|e| Fault::File {
            file: format!("DAMSONBEAM_CONFIG={file}"),
            why: e.to_string(),
        })?;
        Self::check(&file, text)
    }

    /// # Errors
    /// The first field that is missing or wrong.
    pub fn check(file: &str, text: Vec<u8>) -> Result<Self, Fault> {
        let all = parse(text).map_err(|why| Fault::File {
            file: file.into(),
            why,
        })?;
        let f = Fields { file, all: &all };
        let listen = f.object("listen_addresses")?;
        let listen = listen.iter().map(|(name, v)| {
            let at = v.as_str().and_then(|a| a.parse().ok());
            Ok((
                name.to_string(),
                at.ok_or_else(|| f.wrong("listen_addresses", "not an address"))?,
            ))
        });
        let ports: Vec<u64> = f
            .list("internal_port_range")?
            .iter()
            .filter_map(|p| p.as_u64())
            .collect();
        let &[from, to] = &ports[..] else {
            return Err(f.wrong("internal_port_range", "two ports are wanted"));
        };
        if to > 65535 || from + 3 > to {
            return Err(f.wrong("internal_port_range", "four ports are needed"));
        }
        let seeds = f.list("seed_nodes")?.iter().map(|s| {
            let at = s.as_str().and_then(|a| a.parse().ok());
            at.ok_or_else(|| f.wrong("seed_nodes", "not an address"))
        });
        let zones = f.object("zones")?.iter();
        let zones =
            zones.map(|(z, r)| Ok((z.to_string(), r.as_str().unwrap_or_default().to_string())));
        let bounds = f.list("timing_bounds")?.iter().map(|b| {
            let (name, value) = b
                .as_str()
                .and_then(|b| b.split_once('='))
                .unwrap_or_default();
            let number = match value {
                "true" => Some(1.0),
                "false" => Some(0.0),
                n => n.parse().ok(),
            };
            let number =
                number.ok_or_else(|| f.wrong("timing_bounds", &format!("`{name}`: no number")))?;
            Ok((name.to_string(), number))
        });
        let zone = f.text("zone")?;
        let limit = |name: &str| {
            all.get("limits")
                .and_then(|l| l.get(name))
                .and_then(|v| v.as_u64())
        };
        let tolerance = |name: &str| {
            all.get("fault_tolerance")
                .and_then(|t| t.get(name))
                .and_then(|v| v.as_u64())
        };
        let cloud = all.get("cloud_api").filter(|c| !c.is_null()).map(|c| {
            let at = c
                .get("address")
                .and_then(|a| a.as_str())
                .and_then(|a| a.parse().ok());
            let at = at.ok_or_else(|| f.wrong("cloud_api.address", "not an address"))?;
            let rate = c
                .get("rate_per_s")
                .and_then(|r| r.cast_f64())
                .unwrap_or(1.0);
            if rate <= 0.0 {
                return Err(f.wrong("cloud_api.rate_per_s", "must be above 0"));
            }
            Ok((at, rate))
        });
        Ok(Settings {
            node: f.text("node_name")?,
            ip: f
                .text("ip_address")?
                .parse()
                .map_err(|_| f.wrong("ip_address", "not an IP address"))?,
            region: f.text("region")?,
            zone,
            zones: zones.collect::<Result<_, Fault>>()?,
            serves: f
                .list("serves")?
                .iter()
                .filter_map(|s| Some(s.as_str()?.to_string()))
                .collect(),
            listen: listen.collect::<Result<_, Fault>>()?,
            ports: (from as u16, to as u16),
            seeds: seeds.collect::<Result<_, Fault>>()?,
            first_start: all
                .get("initial_start")
                .and_then(|v| v.as_bool())
                .unwrap_or(false),
            counted: all
                .get("loss_counted")
                .and_then(|v| v.as_bool())
                .unwrap_or(false),
            memory_mb: limit("memory_mb").unwrap_or(256),
            descriptors: limit("file_descriptors").unwrap_or(1024),
            data: all
                .get("data_directory")
                .and_then(|v| v.as_str())
                .map(PathBuf::from),
            cloud: cloud.transpose()?,
            tolerance: Tolerance {
                machines: tolerance("machines").unwrap_or(0),
                zones: tolerance("zones").unwrap_or(0),
                regions: tolerance("regions").unwrap_or(0),
            },
            bounds: bounds.collect::<Result<_, Fault>>()?,
        })
    }

    /// A figure of `timing_bounds`; `usual` where the file has none.
    pub fn bound(&self, name: &str, usual: f64) -> f64 {
        self.bounds.get(name).copied().unwrap_or(usual)
    }

    pub fn bound_ms(&self, name: &str, usual: u64) -> Duration {
        Duration::from_secs_f64(self.bound(name, usual as f64).max(0.0) / 1000.0)
    }

    pub fn bound_s(&self, name: &str, usual: f64) -> Duration {
        Duration::from_secs_f64(self.bound(name, usual).max(0.0))
    }

    /// Where a process of the machine at `ip` listens for the system's own.
    pub fn inner(&self, ip: IpAddr, port: Port) -> SocketAddr {
        let n = match port {
            Port::Registry => 0,
            Port::Store => 1,
            Port::Gossip => 2,
            Port::LoadReports => 3,
        };
        SocketAddr::new(ip, self.ports.0 + n)
    }

    /// Machines of the seeds, this one left out.
    pub fn seed_ips(&self) -> Vec<IpAddr> {
        self.seeds
            .iter()
            .map(|s| s.ip())
            .filter(|ip| *ip != self.ip)
            .collect()
    }

    /// # Errors
    /// Where the role is not served an address of that name.
    pub fn listens(&self, name: &str) -> Result<SocketAddr, String> {
        self.listen
            .get(name)
            .copied()
            .ok_or_else(|| format!("listen_addresses: no `{name}`"))
    }
}

struct Fields<'a> {
    file: &'a str,
    all: &'a Value,
}

impl<'a> Fields<'a> {
    fn wrong(&self, field: &str, why: &str) -> Fault {
        Fault::Field {
            file: self.file.into(),
            field: field.into(),
            why: why.into(),
        }
    }

    fn get(&self, field: &str) -> Result<&'a Value, Fault> {
        self.all
            .get(field)
            .ok_or_else(|| self.wrong(field, "missing"))
    }

    fn text(&self, field: &str) -> Result<String, Fault> {
        Ok(self
            .get(field)?
            .as_str()
            .ok_or_else(|| self.wrong(field, "not a text"))?
            .to_string())
    }

    fn list(&self, field: &str) -> Result<&'a Vec<Value>, Fault> {
        self.get(field)?
            .as_array()
            .ok_or_else(|| self.wrong(field, "not a list"))
    }

    fn object(&self, field: &str) -> Result<&'a simd_json::owned::Object, Fault> {
        self.get(field)?
            .as_object()
            .ok_or_else(|| self.wrong(field, "not an object"))
    }
}
