//! With whom proxies exchange load reports: a few others, by turns all of them. Free of I/O.

use std::net::{IpAddr, SocketAddr};

use crate::directory::{ProxyEndpoint, ProxyPhase};

/// Partners for load reports that a proxy gets at a time: more than a round of gossip has, so that a lost one is not
/// missed.
const NEAR_PARTNERS: usize = 5;
const FAR_PARTNERS: usize = 2;

/// With whom a proxy exchanges load reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Partners {
    /// Proxies of its region.
    pub near: Vec<SocketAddr>,
    /// Proxies of other regions.
    pub far: Vec<SocketAddr>,
}

/// A few partners of a proxy, other ones at each turn.
pub fn partners(
    endpoints: &[ProxyEndpoint],
    own_address: SocketAddr,
    region: &str,
    turn: u32,
) -> Partners {
    let is_other =
        |proxy: &&ProxyEndpoint| proxy.phase == ProxyPhase::Ready && proxy.address != own_address;
    let select = |in_region: bool, count: usize| {
        let others = endpoints.iter().filter(is_other);
        let others = others.filter(|proxy| (proxy.region == region) == in_region);
        let mut addresses: Vec<SocketAddr> = others.map(|proxy| proxy.address).collect();
        let first = first_partner(own_address, turn.wrapping_mul(count as u32));
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

/// Each proxy begins elsewhere: were all given the same few, those alone would get reports.
fn first_partner(own_address: SocketAddr, offset: u32) -> usize {
    const GOLDEN_RATIO: u32 = 0x9e37_79b9;
    let ip = match own_address.ip() {
        IpAddr::V4(v4) => v4.to_bits(),
        IpAddr::V6(_) => 0,
    };
    let own = u32::from(own_address.port()) ^ ip;
    own.wrapping_mul(GOLDEN_RATIO).wrapping_add(offset) as usize
}
