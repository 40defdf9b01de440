//! Where clients go: proxies that are ready, near ones first, enough of them that the loss of one is borne.

use std::net::SocketAddr;

/// Addresses in an answer at most, by the protocol.
const MOST: usize = 64;
/// Fewer ready proxies in the client's region than this, and those of other regions are named too.
const FEW: usize = 2;

/// Partners for load summaries named at a time: more than a round has, so that a lost one is not missed.
const PARTNERS: usize = 5;
const FAR_PARTNERS: usize = 2;

/// A proxy as it said it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyEndpoint {
    pub front: SocketAddr,
    pub zone: String,
    pub region: String,
    pub ready: bool,
}

/// The proxies for a client of that place: all of its region, where load evens out over its zones for a
/// millisecond; another region costs its way there and back on every request.
pub fn near(endpoints: &[ProxyEndpoint], region: &str, zone: &str) -> Vec<SocketAddr> {
    let ready: Vec<&ProxyEndpoint> = endpoints.iter().filter(|p| p.ready).collect();
    // Nobody ready: whoever is there may still answer, and an empty answer counts as a failure.
    let mut all: Vec<&ProxyEndpoint> = if ready.is_empty() {
        endpoints.iter().collect()
    } else {
        ready
    };
    all.sort_by_key(|p| (p.region != region, p.zone != zone, p.front));
    let home = all.iter().filter(|p| p.region == region).count();
    if home >= FEW {
        all.truncate(home);
    }
    all.truncate(MOST);
    all.into_iter().map(|p| p.front).collect()
}

/// With whom a proxy exchanges load summaries: a few of its region and of others, other ones by turns.
pub fn partners(
    endpoints: &[ProxyEndpoint],
    me: SocketAddr,
    region: &str,
    turn: u32,
) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let some = |same: bool, few: usize| {
        let fit = endpoints
            .iter()
            .filter(|p| p.ready && p.front != me && (p.region == region) == same);
        let mut all: Vec<SocketAddr> = fit.map(|p| p.front).collect();
        // Each begins elsewhere: were all told of the same few, those alone would hear.
        let from = u32::from(me.port())
            ^ if let std::net::IpAddr::V4(v4) = me.ip() {
                v4.to_bits()
            } else {
                0
            };
        let turn = from
            .wrapping_mul(0x9e37_79b9)
            .wrapping_add(turn.wrapping_mul(few as u32)) as usize;
        let len = all.len().max(1);
        all.rotate_left(turn % len);
        all.truncate(few);
        all
    };
    (some(true, PARTNERS), some(false, FAR_PARTNERS))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn post(n: u8, region: &str, ready: bool) -> ProxyEndpoint {
        let front = SocketAddr::from(([10, 0, 0, n], 80));
        ProxyEndpoint {
            front,
            zone: format!("{region}-a"),
            region: region.into(),
            ready,
        }
    }

    #[test]
    fn partners_are_few_and_by_turns_all() {
        let all: Vec<ProxyEndpoint> = (1..30)
            .map(|n| post(n, if n < 20 { "x" } else { "y" }, n != 7))
            .collect();
        let met = |n: u8| {
            let (mut near, mut far) = (
                std::collections::BTreeSet::new(),
                std::collections::BTreeSet::new(),
            );
            for turn in 0..20 {
                let (a, b) = partners(&all, all[n as usize - 1].front, "x", turn);
                assert!(a.len() <= PARTNERS && b.len() <= FAR_PARTNERS);
                near.extend(a);
                far.extend(b);
            }
            (near.len(), far.len())
        };
        assert_eq!(
            (met(1), met(2)),
            ((17, 10), (17, 10)),
            "all ready ones but itself"
        );
        let first = |n: usize| partners(&all, all[n].front, "x", 0).0;
        assert!(
            (0..6).any(|n| first(n) != first(0)),
            "all are told of the same few"
        );
    }

    #[test]
    fn the_region_first_and_others_where_it_is_nearly_gone() {
        let all = [
            post(1, "x", true),
            post(2, "x", true),
            post(3, "y", true),
            post(4, "x", false),
        ];
        assert_eq!(near(&all, "x", "x-a").len(), 2);
        assert_eq!(near(&all, "y", "y-a").len(), 3);
        assert_eq!(near(&all, "y", "y-a")[0], all[2].front);
        assert_eq!(
            near(&[post(4, "x", false)], "x", "x-a").len(),
            1,
            "no answer at all is worse"
        );
    }
}
