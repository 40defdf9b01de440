//! Selects the partners with which each proxy exchanges load reports: a few at a time, rotating through all ready
//! proxies. Free of I/O.

use std::net::{IpAddr, SocketAddr};

use crate::directory::{ProxyEndpoint, ProxyPhase};

/// Number of partners from the proxy's region. A proxy gossips with fewer in a round, so that the loss of a partner
/// does not interrupt its load reports.
const NEAR_PARTNERS: usize = 5;
/// Number of partners from other regions.
const FAR_PARTNERS: usize = 2;

/// The partners of a proxy for load reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Partners {
    /// Addresses of proxies in the same region.
    pub near: Vec<SocketAddr>,
    /// Addresses of proxies in other regions.
    pub far: Vec<SocketAddr>,
}

/// Selects a few partners of a proxy; the selection rotates with `round`.
pub fn select_partners(
    endpoints: &[ProxyEndpoint],
    own_address: SocketAddr,
    region: &str,
    round: u32,
) -> Partners {
    let is_other =
        |proxy: &&ProxyEndpoint| proxy.phase == ProxyPhase::Ready && proxy.address != own_address;
    let select = |in_region: bool, count: usize| {
        let others = endpoints.iter().filter(is_other);
        let others = others.filter(|proxy| (proxy.region == region) == in_region);
        let mut addresses: Vec<SocketAddr> = others.map(|proxy| proxy.address).collect();
        let first = first_partner(own_address, round.wrapping_mul(count as u32));
        let length = addresses.len().max(1);
        addresses.rotate_left(first % length);
        addresses.truncate(count);
        addresses
    };
    Partners {
        near: select(true, NEAR_PARTNERS),
        far: select(false, FAR_PARTNERS),
    }
}

/// Returns the rotation offset of a proxy. The offset is derived from the proxy's address, because with one offset for
/// all proxies only the same few would receive load reports.
fn first_partner(own_address: SocketAddr, offset: u32) -> usize {
    const GOLDEN_RATIO: u32 = 0x9e37_79b9;
    let ip = match own_address.ip() {
        IpAddr::V4(v4) => v4.to_bits(),
        IpAddr::V6(_) => 0,
    };
    let address_bits = u32::from(own_address.port()) ^ ip;
    address_bits.wrapping_mul(GOLDEN_RATIO).wrapping_add(offset) as usize
}
