//! Where clients go: proxies that are ready, near ones first, enough of them that the loss of one is borne.

use std::net::SocketAddr;

/// Addresses in an answer at most, by the protocol.
const MOST: usize = 64;
/// Fewer ready proxies in the client's region than this, and those of other regions are named too.
const FEW: usize = 2;

/// A proxy as it said it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Post {
    pub front: SocketAddr,
    pub zone: String,
    pub region: String,
    pub ready: bool,
}

/// The proxies for a client of that place: all of its region, where load evens out over its zones for a
/// millisecond; another region costs its way there and back on every request.
pub fn near(posts: &[Post], region: &str, zone: &str) -> Vec<SocketAddr> {
    let ready: Vec<&Post> = posts.iter().filter(|p| p.ready).collect();
    // Nobody ready: whoever is there may still answer, and an empty answer counts as a failure.
    let mut all: Vec<&Post> = if ready.is_empty() { posts.iter().collect() } else { ready };
    all.sort_by_key(|p| (p.region != region, p.zone != zone, p.front));
    let home = all.iter().filter(|p| p.region == region).count();
    if home >= FEW {
        all.truncate(home);
    }
    all.truncate(MOST);
    all.into_iter().map(|p| p.front).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn post(n: u8, region: &str, ready: bool) -> Post {
        let front = SocketAddr::from(([10, 0, 0, n], 80));
        Post { front, zone: format!("{region}-a"), region: region.into(), ready }
    }

    #[test]
    fn the_region_first_and_others_where_it_is_nearly_gone() {
        let all = [post(1, "x", true), post(2, "x", true), post(3, "y", true), post(4, "x", false)];
        assert_eq!(near(&all, "x", "x-a").len(), 2);
        assert_eq!(near(&all, "y", "y-a").len(), 3);
        assert_eq!(near(&all, "y", "y-a")[0], all[2].front);
        assert_eq!(near(&[post(4, "x", false)], "x", "x-a").len(), 1, "no answer at all is worse");
    }
}
