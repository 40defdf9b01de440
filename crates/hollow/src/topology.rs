//! Where machines stand: zones, regions and addresses on loopback.

use std::net::Ipv4Addr;

/// First port of the system's own processes: registries; stores have the next.
pub const FIRST_PORT: u16 = 7740;
pub const STORE_PORT: u16 = FIRST_PORT + 1;
pub const CONTROL_PORT: u16 = 8688;
pub const DIRECTORY_PORT: u16 = 8689;
pub const FRONT_PORT: u16 = 8686;

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
    pub fn of_this_process() -> Self {
        Topology {
            street: (std::process::id() % 250) as u8,
        }
    }

    pub fn zone(n: usize) -> String {
        format!("zone-{:02}", n % ZONES)
    }

    pub fn region(n: usize) -> String {
        format!("region-{}", n % ZONES % REGIONS)
    }

    pub fn core(&self, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, NETWORK, self.street, 1 + n as u8)
    }

    /// Whether an address as `ss` prints it is one of a core machine of this run.
    pub fn is_core(&self, address: &str) -> bool {
        address.starts_with(&format!("127.{NETWORK}.{}.", self.street))
    }

    /// The `zones` field of a settings file.
    pub fn zones_field() -> String {
        let zones = (0..ZONES).map(|n| format!("\"{}\":\"{}\"", Self::zone(n), Self::region(n)));
        zones.collect::<Vec<_>>().join(",")
    }
}
