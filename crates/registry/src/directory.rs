//! The directory's decision: which proxies a client is given. Free of I/O.
//!
//! A client gets the ready proxies of its own region. Within a region, load is balanced over the zones at the cost of
//! about a millisecond; another region costs a round trip on every request. Proxies of other regions are added if the
//! region has no ready proxy, or if it has lost proxies without a planned shutdown and only one is left: if that one
//! fails too, the client would have none.
//!
//! Requests on routes with home regions may only reach proxies of the home regions and of the client's region, except
//! after an unplanned loss. A planned shutdown is no such loss: it never extends an answer beyond the home regions. If
//! no proxy is left under these rules, the lookup returns none, because no proxy may take the client's requests.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of addresses in an answer, set by the protocol.
const MAX_ADDRESSES: usize = 64;
/// Number of ready proxies in a region with a recent loss below which proxies of other regions are added.
const MIN_LOCAL_AFTER_LOSS: usize = 2;

/// The lifecycle phase of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyPhase {
    /// The proxy does not accept requests yet.
    Starting,
    /// The proxy accepts requests.
    Ready,
    /// The proxy was ready and is shutting down as planned.
    Leaving,
}

/// A proxy as described by its own status reports.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyEndpoint {
    /// The address for client connections.
    pub address: SocketAddr,
    /// The proxy's zone.
    pub zone: String,
    /// The proxy's region.
    pub region: String,
    /// The proxy's phase.
    pub phase: ProxyPhase,
}

/// The home regions in which requests for a host may be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeRegions {
    /// This registry does not have the whole configuration.
    Unknown,
    /// None of the host's routes has home regions.
    Anywhere,
    /// The regions common to all of the host's routes with home regions.
    Only(BTreeSet<String>),
}

impl HomeRegions {
    fn contains(&self, region: &str) -> bool {
        match self {
            HomeRegions::Unknown => false,
            HomeRegions::Anywhere => true,
            HomeRegions::Only(regions) => regions.contains(region),
        }
    }
}

/// A directory lookup: the client's location, and what is known of its region and of the requested host.
#[derive(Clone, Debug, PartialEq)]
pub struct Lookup<'a> {
    /// The client's region.
    pub region: &'a str,
    /// The client's zone.
    pub zone: &'a str,
    /// The home regions of the requested host.
    pub homes: HomeRegions,
    /// Whether the client's region has recently lost a proxy without a planned shutdown.
    pub has_recent_loss: bool,
}

impl Lookup<'_> {
    /// Returns the proxies for the client, the nearest first; none if no proxy may take its requests.
    pub fn select_proxies(&self, endpoints: &[ProxyEndpoint]) -> Vec<SocketAddr> {
        let ready = |proxy: &&ProxyEndpoint| proxy.phase == ProxyPhase::Ready;
        let in_region = |proxy: &&ProxyEndpoint| proxy.region == self.region;
        let local: Vec<&ProxyEndpoint> = endpoints.iter().filter(ready).filter(in_region).collect();
        let min_local = if self.has_recent_loss {
            MIN_LOCAL_AFTER_LOSS
        } else {
            1
        };
        if local.len() >= min_local {
            return self.nearest_first(local);
        }
        let allowed: Vec<&ProxyEndpoint> = endpoints
            .iter()
            .filter(|proxy| self.is_region_allowed(&proxy.region))
            .collect();
        let reachable: Vec<&ProxyEndpoint> = allowed.iter().copied().filter(ready).collect();
        if reachable.is_empty() {
            // No allowed proxy is ready. Starting ones will accept requests soon, and leaving ones may still do so.
            return self.nearest_first(allowed);
        }
        self.nearest_first(reachable)
    }

    /// Returns whether the client may be given proxies of a region.
    fn is_region_allowed(&self, region: &str) -> bool {
        region == self.region || self.has_recent_loss || self.homes.contains(region)
    }

    fn nearest_first(&self, mut proxies: Vec<&ProxyEndpoint>) -> Vec<SocketAddr> {
        proxies.sort_by_key(|proxy| {
            let is_far = proxy.region != self.region;
            let is_other_zone = proxy.zone != self.zone;
            (is_far, is_other_zone, proxy.address)
        });
        proxies.truncate(MAX_ADDRESSES);
        proxies.into_iter().map(|proxy| proxy.address).collect()
    }
}
