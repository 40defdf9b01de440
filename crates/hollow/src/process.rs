//! Processor time and memory of processes, and bytes of TCP connections, as the system tells them.

use std::time::Duration;

use crate::Error;
use crate::topology::{STORE_PORT, Topology};

/// Clock ticks a second of `/proc/PID/stat`: fixed by Linux's interface to programs.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `/proc/PID/stat` after the name in parentheses: user and system time.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time since it began.
    pub processor: Duration,
    /// Memory.
    pub memory_kb: u64,
}

/// What a process uses.
///
/// # Errors
/// Where the process is gone.
pub fn usage(pid: u32) -> Result<Usage, Error> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .map_or("", |after| after.1)
        .split_ascii_whitespace()
        .collect();
    let ticks = |n: usize| {
        fields
            .get(n)
            .and_then(|t| t.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let processor = (ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) as f64 / TICKS_PER_SECOND;
    Ok(Usage {
        processor: Duration::from_secs_f64(processor),
        memory_kb: memory_kb(pid)?,
    })
}

fn memory_kb(pid: u32) -> Result<u64, Error> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    Ok(line
        .and_then(|l| l.split_ascii_whitespace().next()?.parse().ok())
        .unwrap_or(0))
}

/// The most memory that the process ever had.
pub fn peak_memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.split_ascii_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Bytes on connections to stores since they came up, both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreBytes {
    /// Between stores.
    pub between_stores: u64,
    /// Between stores and registries.
    pub with_registries: u64,
}

/// Bytes on connections to stores, as `ss` lists them.
///
/// # Errors
/// Where `ss` can't be run.
pub fn store_bytes(topology: &Topology) -> Result<StoreBytes, Error> {
    let listing = std::process::Command::new("ss")
        .args(["-tniOH", "state", "established"])
        .output()?;
    Ok(read_listing(
        &String::from_utf8_lossy(&listing.stdout),
        topology,
    ))
}

/// Each connection is listed once for each of its ends: what each end has sent makes the sum.
pub fn read_listing(listing: &str, topology: &Topology) -> StoreBytes {
    let mut all = StoreBytes::default();
    for line in listing.lines() {
        let ends: Vec<&str> = line
            .split_ascii_whitespace()
            .filter(|w| w.contains(':'))
            .take(2)
            .collect();
        let &[here, there] = &ends[..] else { continue };
        let of_store =
            |end: &str| topology.is_core(end) && end.ends_with(&format!(":{STORE_PORT}"));
        if !of_store(here) && !of_store(there) {
            continue;
        }
        let sent = line
            .split_ascii_whitespace()
            .find_map(|w| w.strip_prefix("bytes_sent:")?.parse().ok());
        let sent: u64 = sent.unwrap_or(0);
        if topology.is_core(here) && topology.is_core(there) {
            all.between_stores += sent;
        } else {
            all.with_registries += sent;
        }
    }
    all
}
