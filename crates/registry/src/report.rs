//! JSON response bodies of the HTTP API. The field names are documented for operators and must not change.

use std::net::SocketAddr;

use serde::Serialize;

/// The state of the system as one registry sees it, for `damsonbeam-ctl state`.
#[derive(Serialize)]
pub(crate) struct StateReport {
    pub(crate) registry: String,
    pub(crate) up_ms: u64,
    /// Registries not known to be dead.
    pub(crate) registries: Vec<String>,
    /// The epoch of the voters; 0 if none is known.
    pub(crate) epoch: u64,
    pub(crate) voters: Vec<String>,
    /// Whether this registry is in contact with a majority of the voters.
    pub(crate) in_contact: bool,
    /// Time since a majority last answered, in milliseconds; `None` if it never has.
    pub(crate) contact_age_ms: Option<u64>,
    pub(crate) coordinator: Option<CoordinatorReport>,
    pub(crate) store_reached: bool,
    pub(crate) items: usize,
    pub(crate) digest: String,
    pub(crate) list: ListReport,
    pub(crate) proxies: Vec<ProxyReport>,
}

#[derive(Serialize)]
pub(crate) struct CoordinatorReport {
    pub(crate) ip: String,
    pub(crate) term: u64,
}

/// The platform's list as known to this registry.
#[derive(Serialize)]
pub(crate) struct ListReport {
    pub(crate) term: u64,
    pub(crate) reading: u64,
    pub(crate) backends: usize,
}

#[derive(Serialize)]
pub(crate) struct ProxyReport {
    pub(crate) node: String,
    pub(crate) ready: bool,
    pub(crate) silent_ms: u64,
    pub(crate) news_not_acknowledged: u64,
}

/// The response to a directory lookup.
#[derive(Serialize)]
pub(crate) struct LookupReport {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) ttl_s: f64,
}

#[derive(Serialize)]
pub(crate) struct ErrorReport<'a> {
    pub(crate) error: &'a str,
}

/// Serializes a report as JSON. Serialization of these types can't fail.
pub(crate) fn to_json<T: Serialize>(report: &T) -> Vec<u8> {
    serde_json::to_vec(report).unwrap_or_default()
}
