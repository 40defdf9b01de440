//! The platform's list of backends: its pages, whether a new reading differs from the last, and the pages that proxies
//! are sent.

use std::net::SocketAddrV4;

use damsonbeam_control::json::{JsonError, Value, parse};
use damsonbeam_control::messages::{Backend, BackendList, BackendListVersion};
use simd_json::prelude::*;

/// Backends in one message at most: their entries take about 100 bytes each.
const BACKENDS_PER_PAGE: usize = 512;
/// The state of a backend that takes requests.
const READY: &str = "ready";

/// Why a page of the list can't be read.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// It is not JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// It holds no list.
    #[error("no `instances`")]
    NoInstances,
    /// An entry of the list is incomplete, or a field of it is wrong.
    #[error("an entry lacks a field")]
    IncompleteEntry,
}

/// A page of the list.
#[derive(Debug, PartialEq)]
pub struct Page {
    /// Its backends.
    pub backends: Vec<Backend>,
    /// Names the next page; `None`: this is the last.
    pub next_token: Option<String>,
}

/// Reads the body of a page.
///
/// # Errors
/// Where it is no page of the list.
pub fn read_page(body: Vec<u8>) -> Result<Page, PageError> {
    let page = parse(body)?;
    let entries = page.get("instances").and_then(|list| list.as_array());
    let entries = entries.ok_or(PageError::NoInstances)?.iter();
    let backends: Option<Vec<Backend>> = entries.map(read_backend).collect();
    let next_token = page.get("next_page_token").and_then(|token| token.as_str());
    Ok(Page {
        backends: backends.ok_or(PageError::IncompleteEntry)?,
        next_token: next_token.map(str::to_string),
    })
}

fn read_backend(entry: &Value) -> Option<Backend> {
    let text = |field: &str| Some(entry.get(field)?.as_str()?.to_string());
    let address: SocketAddrV4 = text("address")?.parse().ok()?;
    let warm_up_left_ms = entry.get("cold_remaining_ms").and_then(|ms| ms.cast_f64());
    Some(Backend {
        id: text("id")?,
        service: text("target_service")?,
        address: std::net::SocketAddr::V4(address).into(),
        zone: text("zone")?,
        slots: entry.get("capacity_slots")?.as_u64()? as u32,
        draining: text("state")? != READY,
        warm_up_left_ms: warm_up_left_ms.unwrap_or(0.0).max(0.0) as u64,
    })
}

/// Whether proxies need the new list: that less is left of a warm-up they know by themselves, but not that it starts
/// again.
pub fn has_changed(old: &[Backend], new: &[Backend]) -> bool {
    old.len() != new.len() || old.iter().zip(new).any(|(old, new)| !is_same(old, new))
}

fn is_same(old: &Backend, new: &Backend) -> bool {
    let without_warm_up = |backend: &Backend| Backend {
        warm_up_left_ms: 0,
        ..backend.clone()
    };
    without_warm_up(old) == without_warm_up(new) && new.warm_up_left_ms <= old.warm_up_left_ms
}

/// The revision of a reading of the list. Only changes raise it: proxies fetch the list from a registry whose version is
/// above theirs.
pub fn next_revision(known: BackendListVersion, term: u64, has_changed: bool) -> u64 {
    if known.term == term {
        known.revision + u64::from(has_changed)
    } else {
        1
    }
}

/// The list in pages of the same version for proxies; one at least.
pub fn split_pages(list: &BackendList) -> Vec<BackendList> {
    let page = |backends: &[_]| BackendList {
        version: list.version,
        backends: backends.to_vec(),
    };
    if list.backends.is_empty() {
        return vec![page(&[])];
    }
    list.backends.chunks(BACKENDS_PER_PAGE).map(page).collect()
}
