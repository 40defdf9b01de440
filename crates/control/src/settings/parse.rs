//! Parses the text of a settings file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use simd_json::prelude::*;

use super::fields::Fields;
use super::{CloudApi, FaultTolerance, InternalPort, Settings, SettingsError};
use crate::json::{Value, parse};

const DEFAULT_MEMORY_MB: u64 = 256;
const DEFAULT_FILE_DESCRIPTORS: u64 = 1024;
/// The rate limit of the platform's API if the file does not contain one, in calls per second.
const DEFAULT_CLOUD_RATE_PER_S: f64 = 1.0;

impl Settings {
    /// Parses the text of a settings file; `file` is the path for error messages.
    ///
    /// # Errors
    /// Returns an error if the text is not JSON, or for the first field that is missing or invalid.
    pub fn parse(file: &str, text: Vec<u8>) -> Result<Self, SettingsError> {
        let value = parse(text).map_err(|e| SettingsError::File {
            file: file.into(),
            reason: e.to_string(),
        })?;
        let fields = Fields {
            file,
            value: &value,
        };
        let listen_addresses = parse_listen_addresses(&fields)?;
        let internal_port_range = parse_port_range(&fields)?;
        let seed_nodes = parse_seed_nodes(&fields)?;
        let regions = parse_regions(&fields)?;
        let timing_bounds = parse_timing_bounds(&fields)?;
        let zone = fields.string("zone")?;
        let node_name = fields.string("node_name")?;
        let ip_address = fields.string("ip_address")?.parse();
        let limit = |name: &str| fields.unsigned_in("limits", name);
        let data_directory = value.get("data_directory").and_then(|path| path.as_str());
        Ok(Settings {
            node_name,
            ip_address: ip_address
                .map_err(|_| fields.invalid("ip_address", "not an IP address"))?,
            zone,
            region: fields.string("region")?,
            regions_by_zone: regions,
            serves: strings(fields.list("serves")?),
            listen_addresses,
            internal_port_range,
            seed_nodes,
            initial_start: fields.is_true("initial_start"),
            loss_counted: fields.is_true("loss_counted"),
            memory_mb: limit("memory_mb").unwrap_or(DEFAULT_MEMORY_MB),
            file_descriptors: limit("file_descriptors").unwrap_or(DEFAULT_FILE_DESCRIPTORS),
            data_directory: data_directory.map(PathBuf::from),
            cloud_api: parse_cloud_api(&fields)?,
            fault_tolerance: parse_fault_tolerance(&fields),
            timing_bounds,
        })
    }
}

fn strings(values: &[Value]) -> Vec<String> {
    let strings = values.iter().filter_map(|value| value.as_str());
    strings.map(str::to_string).collect()
}

fn parse_socket_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Returns the first and last port of the range, which must contain a port for each [`InternalPort`].
fn parse_port_range(fields: &Fields) -> Result<(u16, u16), SettingsError> {
    const FIELD: &str = "internal_port_range";
    let ports = fields.list(FIELD)?.iter();
    let ports: Vec<u64> = ports.filter_map(|port| port.as_u64()).collect();
    let &[first, last] = &ports[..] else {
        return Err(fields.invalid(FIELD, "not a list of two ports"));
    };
    let highest_offset = u64::from(InternalPort::LoadReports.offset());
    if last > u64::from(u16::MAX) || first + highest_offset > last {
        return Err(fields.invalid(FIELD, "at least four ports are needed"));
    }
    Ok((first as u16, last as u16))
}

fn parse_listen_addresses(fields: &Fields) -> Result<BTreeMap<String, SocketAddr>, SettingsError> {
    const FIELD: &str = "listen_addresses";
    let addresses = fields.object(FIELD)?.iter();
    let addresses = addresses.map(|(name, value)| {
        let address = parse_socket_address(value);
        let address = address.ok_or_else(|| fields.invalid(FIELD, "not an address"))?;
        Ok((name.clone(), address))
    });
    addresses.collect()
}

fn parse_seed_nodes(fields: &Fields) -> Result<Vec<SocketAddr>, SettingsError> {
    const FIELD: &str = "seed_nodes";
    let seeds = fields.list(FIELD)?.iter().map(parse_socket_address);
    let seeds: Option<Vec<SocketAddr>> = seeds.collect();
    seeds.ok_or_else(|| fields.invalid(FIELD, "not an address"))
}

fn parse_regions(fields: &Fields) -> Result<BTreeMap<String, String>, SettingsError> {
    let zones = fields.object("zones")?.iter();
    let region = |value: &Value| value.as_str().unwrap_or_default().to_string();
    Ok(zones
        .map(|(zone, value)| (zone.clone(), region(value)))
        .collect())
}

/// Parses strings of the form `name=value`, where the value is a number, `true` (1) or `false` (0).
fn parse_timing_bounds(fields: &Fields) -> Result<BTreeMap<String, f64>, SettingsError> {
    const FIELD: &str = "timing_bounds";
    let bounds = fields.list(FIELD)?.iter().map(|bound| {
        let bound = bound.as_str().and_then(|bound| bound.split_once('='));
        let (name, value) = bound.unwrap_or_default();
        let number = match value {
            "true" => Some(1.0),
            "false" => Some(0.0),
            number => number.parse().ok(),
        };
        let number =
            number.ok_or_else(|| fields.invalid(FIELD, &format!("`{name}`: not a number")))?;
        Ok((name.to_string(), number))
    });
    bounds.collect()
}

fn parse_cloud_api(fields: &Fields) -> Result<Option<CloudApi>, SettingsError> {
    let Some(api) = fields.value.get("cloud_api").filter(|api| !api.is_null()) else {
        return Ok(None);
    };
    let address = api.get("address").and_then(parse_socket_address);
    let address = address.ok_or_else(|| fields.invalid("cloud_api.address", "not an address"))?;
    let rate_per_s = api.get("rate_per_s").and_then(|rate| rate.cast_f64());
    let rate_per_s = rate_per_s.unwrap_or(DEFAULT_CLOUD_RATE_PER_S);
    if rate_per_s <= 0.0 {
        return Err(fields.invalid("cloud_api.rate_per_s", "must be above 0"));
    }
    Ok(Some(CloudApi {
        address,
        rate_per_s,
    }))
}

fn parse_fault_tolerance(fields: &Fields) -> FaultTolerance {
    let count = |name: &str| fields.unsigned_in("fault_tolerance", name).unwrap_or(0);
    FaultTolerance {
        machines: count("machines"),
        zones: count("zones"),
        regions: count("regions"),
    }
}
