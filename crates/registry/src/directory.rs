//! The directory's decision: which proxies a client is named. Free of I/O.
//!
//! A client is named the ready proxies of its own region, where load evens out over the zones for a millisecond; another
//! region costs a round trip on every request. Others are named where the region has none, or where it has lost some
//! without a plan and is left with one, whose loss would leave the client without any.
//!
//! Requests on routes with home regions may reach proxies of their homes and of the client's region alone, except after
//! an unplanned loss. What a region lost by plan is no such loss: proxies that left in order widen no answer beyond the
//! homes. Where that leaves none, the client gets no answer: nothing it could be named may take its requests.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Addresses in an answer at most, by the protocol.
const MAX_ADDRESSES: usize = 64;
/// With fewer proxies than this in a region that has lost some, those of other regions are named too.
const ENOUGH_AFTER_LOSS: usize = 2;

/// What a proxy is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyPhase {
    /// It has not taken requests yet.
    Starting,
    /// It takes requests.
    Ready,
    /// It was ready and is shutting down by plan.
    Leaving,
}

/// A proxy as it reported itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyEndpoint {
    /// Where clients reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// What it is at.
    pub phase: ProxyPhase,
}

/// Where the requests for a host may be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeRegions {
    /// The configuration is not known here, or not all of it.
    Unknown,
    /// None of the host's routes has homes.
    Anywhere,
    /// The regions that all routes with homes have in common.
    Only(BTreeSet<String>),
}

impl HomeRegions {
    fn include(&self, region: &str) -> bool {
        match self {
            HomeRegions::Unknown => false,
            HomeRegions::Anywhere => true,
            HomeRegions::Only(regions) => regions.contains(region),
        }
    }
}

/// Who asks, and what is known of its region and of the host that it asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Lookup<'a> {
    /// The client's region.
    pub region: &'a str,
    /// The client's zone.
    pub zone: &'a str,
    /// Where the host's requests may be served.
    pub homes: HomeRegions,
    /// The client's region has lately lost a proxy without a plan.
    pub has_recent_loss: bool,
}

impl Lookup<'_> {
    /// The proxies that the client is named, near ones first; none where it must not be led to any.
    pub fn proxies(&self, endpoints: &[ProxyEndpoint]) -> Vec<SocketAddr> {
        let ready = |proxy: &&ProxyEndpoint| proxy.phase == ProxyPhase::Ready;
        let in_region = |proxy: &&ProxyEndpoint| proxy.region == self.region;
        let local: Vec<&ProxyEndpoint> = endpoints.iter().filter(ready).filter(in_region).collect();
        let enough = if self.has_recent_loss {
            ENOUGH_AFTER_LOSS
        } else {
            1
        };
        if local.len() >= enough {
            return self.near_first(local);
        }
        let allowed: Vec<&ProxyEndpoint> = endpoints
            .iter()
            .filter(|proxy| self.may_lead_to(&proxy.region))
            .collect();
        let reachable: Vec<&ProxyEndpoint> = allowed.iter().copied().filter(ready).collect();
        if reachable.is_empty() {
            // Nobody is ready: whoever is there may still answer, or soon.
            return self.near_first(allowed);
        }
        self.near_first(reachable)
    }

    /// Whether the client may be led to proxies of a region.
    fn may_lead_to(&self, region: &str) -> bool {
        region == self.region || self.has_recent_loss || self.homes.include(region)
    }

    fn near_first(&self, mut proxies: Vec<&ProxyEndpoint>) -> Vec<SocketAddr> {
        proxies.sort_by_key(|proxy| {
            let is_far = proxy.region != self.region;
            let is_other_zone = proxy.zone != self.zone;
            (is_far, is_other_zone, proxy.address)
        });
        proxies.truncate(MAX_ADDRESSES);
        proxies.into_iter().map(|proxy| proxy.address).collect()
    }
}
