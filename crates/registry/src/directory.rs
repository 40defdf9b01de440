//! Where clients are sent: proxies that are ready, near ones first, enough of them that the loss of one is borne.

use std::net::{IpAddr, SocketAddr};

/// Addresses in an answer at most, by the protocol.
const MAX_ADDRESSES: usize = 64;
/// With fewer proxies in the client's region than this, those of other regions are named too.
const ENOUGH_IN_REGION: usize = 2;

/// Partners for load reports that a proxy gets at a time: more than a round of gossip has, so that a lost one is not
/// missed.
const NEAR_PARTNERS: usize = 5;
const FAR_PARTNERS: usize = 2;

/// A proxy as it reported itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyEndpoint {
    /// Where clients reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Whether it takes requests.
    pub ready: bool,
}

/// The proxies for a client in that region and zone: all of its region, where load evens out over its zones for a
/// millisecond; another region costs a round trip on every request.
pub fn proxies_near(endpoints: &[ProxyEndpoint], region: &str, zone: &str) -> Vec<SocketAddr> {
    let ready: Vec<&ProxyEndpoint> = endpoints.iter().filter(|proxy| proxy.ready).collect();
    // Nobody ready: whoever is there may still answer, and an empty answer counts as a failure.
    let mut proxies = if ready.is_empty() {
        endpoints.iter().collect()
    } else {
        ready
    };
    proxies.sort_by_key(|proxy| (proxy.region != region, proxy.zone != zone, proxy.address));
    let in_region = proxies
        .iter()
        .filter(|proxy| proxy.region == region)
        .count();
    if in_region >= ENOUGH_IN_REGION {
        proxies.truncate(in_region);
    }
    proxies.truncate(MAX_ADDRESSES);
    proxies.into_iter().map(|proxy| proxy.address).collect()
}

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
    let is_other = |proxy: &&ProxyEndpoint| proxy.ready && proxy.address != own_address;
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
