//! Bodies of answers to outside calls, as JSON. The fields' names are those of the operators' pages.

use std::net::SocketAddr;

use serde::Serialize;

/// The state of the system as one registry sees it, for `damsonbeam-ctl state`.
#[derive(Serialize)]
pub(crate) struct StateReport {
    pub(crate) registry: String,
    pub(crate) up_ms: u64,
    /// Registries not known to be dead.
    pub(crate) registries: Vec<String>,
    /// The epoch of the voters; 0: none is known here.
    pub(crate) epoch: u64,
    pub(crate) voters: Vec<String>,
    /// Whether a majority of the voters has answered of late.
    pub(crate) in_contact: bool,
    /// How long ago a majority answered; `None`: never.
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

/// The platform's list as it is known here.
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

/// The directory's answer.
#[derive(Serialize)]
pub(crate) struct LookupReport {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) ttl_s: f64,
}

#[derive(Serialize)]
pub(crate) struct ErrorReport<'a> {
    pub(crate) error: &'a str,
}

/// The text of a report; these types hold nothing that has none.
pub(crate) fn to_json<T: Serialize>(report: &T) -> Vec<u8> {
    serde_json::to_vec(report).unwrap_or_default()
}
