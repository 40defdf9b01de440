//! Where machines stand: zones, regions and addresses on loopback.

use std::net::Ipv4Addr;

/// First port of the system's own processes: registries; stores have the next.
pub const FIRST_PORT: u16 = 7740;
/// Port of the stores.
pub const STORE_PORT: u16 = FIRST_PORT + 1;
/// Port of the operators' calls.
pub const CONTROL_PORT: u16 = 8688;
/// Port of the directory.
pub const DIRECTORY_PORT: u16 = 8689;
/// Port of the clients.
pub const CLIENT_PORT: u16 = 8686;

/// The second byte of all addresses of core machines.
const NETWORK: u8 = 60;
const REGIONS: usize = 8;
const ZONES: usize = 22;

/// Zones, each with its region: 22 in 8, as the fleet will have.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Tells runs of several processes apart.
    pub street: u8,
}

impl Topology {
    /// The topology of a run in this process.
    pub fn of_this_process() -> Self {
        Topology {
            street: (std::process::id() % 250) as u8,
        }
    }

    /// The zone of the machine of that number.
    pub fn zone(number: usize) -> String {
        format!("zone-{:02}", number % ZONES)
    }

    /// The region of that zone.
    pub fn region(number: usize) -> String {
        format!("region-{}", number % ZONES % REGIONS)
    }

    /// The address of the core machine of that number.
    pub fn core(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, NETWORK, self.street, 1 + number as u8)
    }

    /// Whether an address as `ss` prints it is one of a core machine of this run.
    pub fn is_core(&self, address: &str) -> bool {
        address.starts_with(&format!("127.{NETWORK}.{}.", self.street))
    }

    /// The `zones` field of a settings file.
    pub fn zones_field() -> String {
        let zones =
            (0..ZONES).map(|zone| format!("\"{}\":\"{}\"", Self::zone(zone), Self::region(zone)));
        zones.collect::<Vec<_>>().join(",")
    }
}
