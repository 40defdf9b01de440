//! The platform's list of backends: its pages, and what of a new list is news.

use damsonbeam_control::messages::{BackendSnapshot, Ip, Server};
use damsonbeam_control::value::parse;
use simd_json::prelude::*;

/// A page, and the token of the next.
///
/// # Errors
/// Where it is no page of the list.
pub fn page(body: Vec<u8>) -> Result<(Vec<Server>, Option<String>), String> {
    let all = parse(body)?;
    let list = all
        .get("instances")
        .and_then(|l| l.as_array())
        .ok_or("no `instances`")?;
    let servers: Option<Vec<Server>> = list.iter().map(server).collect();
    let next = all
        .get("next_page_token")
        .and_then(|t| t.as_str())
        .map(str::to_string);
    Ok((servers.ok_or("an entry lacks a field")?, next))
}

fn server(v: &simd_json::OwnedValue) -> Option<Server> {
    let text = |name: &str| Some(v.get(name)?.as_str()?.to_string());
    let at: std::net::SocketAddrV4 = text("address")?.parse().ok()?;
    let ip: Ip = at.ip().octets();
    Some(Server {
        id: text("id")?,
        service: text("target_service")?,
        at: (ip, at.port()),
        zone: text("zone")?,
        slots: v.get("capacity_slots")?.as_u64()? as u32,
        draining: text("state")? != "ready",
        cold_ms: v
            .get("cold_remaining_ms")
            .and_then(|c| c.cast_f64())
            .unwrap_or(0.0)
            .max(0.0) as u64,
    })
}

/// Whether proxies must hear of it: the time that a cold one stays so runs by itself, unless it grows.
pub fn is_news(old: &[Server], new: &[Server]) -> bool {
    let same = |a: &Server, b: &Server| {
        let plain = |s: &Server| Server {
            cold_ms: 0,
            ..s.clone()
        };
        plain(a) == plain(b) && b.cold_ms <= a.cold_ms
    };
    old.len() != new.len() || old.iter().zip(new).any(|(a, b)| !same(a, b))
}

/// Number of a reading of the list. It goes up with news alone: proxies fetch the list of a registry whose number is above
/// theirs.
pub fn reading(known: &BackendSnapshot, term: u64, news: bool) -> u64 {
    if known.term == term {
        known.reading + u64::from(news)
    } else {
        1
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_page_is_read_whole_and_only_changes_are_news() {
        let body = br#"{"instances":[{"target_service":"s","address":"10.128.0.9:8080","zone":"z","config_version":"v1","capacity_slots":6,"state":"draining","cold_remaining_ms":1500.5,"id":"i-1"}],"next_page_token":"p-50"}"#;
        let (servers, next) = page(body.to_vec()).expect("a page");
        assert_eq!(next.as_deref(), Some("p-50"));
        assert!(servers[0].draining && servers[0].cold_ms == 1500);
        let cooler = vec![Server {
            cold_ms: 900,
            ..servers[0].clone()
        }];
        assert!(
            !is_news(&servers, &cooler),
            "time that runs by itself is no news"
        );
        assert!(is_news(&cooler, &servers), "it turned cold again");
        assert!(page(b"{\"instances\":[{}]}".to_vec()).is_err());
        let known = BackendSnapshot {
            term: 2,
            reading: 5,
            servers,
        };
        assert_eq!(reading(&known, 2, false), 5, "proxies have this list");
        assert_eq!((reading(&known, 2, true), reading(&known, 3, true)), (6, 1));
    }
}
