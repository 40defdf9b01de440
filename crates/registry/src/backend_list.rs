//! The platform's list of backends: parsing its pages, detecting changes between two readings, and splitting the list
//! into messages for proxies.

use std::net::SocketAddrV4;

use damsonbeam_control::json::{JsonError, Value, parse};
use damsonbeam_control::messages::{Backend, BackendList, BackendListVersion};
use simd_json::prelude::*;

/// Maximum number of backends in one message to a proxy; an entry takes about 100 bytes.
const BACKENDS_PER_PAGE: usize = 512;
/// The state of a backend that accepts requests; any other state means that the backend is draining.
const READY: &str = "ready";

/// An error in a page of the list.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// The page is not valid JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The page has no array `instances`.
    #[error("field `instances` is missing or not an array")]
    NoInstances,
    /// A field of an entry is missing or invalid.
    #[error("an entry has a missing or invalid field")]
    IncompleteEntry,
}

/// One page of the platform's list.
#[derive(Debug, PartialEq)]
pub struct Page {
    /// The backends on the page.
    pub backends: Vec<Backend>,
    /// The token of the next page; `None` on the last page.
    pub next_token: Option<String>,
}

/// Parses the body of a page.
///
/// # Errors
/// Fails if the body is not a valid page of the list.
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
        capacity_slots: entry.get("capacity_slots")?.as_u64()? as u32,
        draining: text("state")? != READY,
        warm_up_left_ms: warm_up_left_ms.unwrap_or(0.0).max(0.0) as u64,
    })
}

/// Returns whether proxies need the new list. Proxies count down the remaining warm-up of a backend themselves, so a
/// shorter warm-up is no change; a longer one means that the warm-up has started again.
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

/// Returns the revision of a newly read list: 1 in a new term, otherwise the known one, incremented only if the list has
/// changed, because proxies fetch the list from any registry with a version above theirs.
pub fn next_revision(known: BackendListVersion, term: u64, has_changed: bool) -> u64 {
    if known.term == term {
        known.revision + u64::from(has_changed)
    } else {
        1
    }
}

/// Splits the list into pages of the same version for proxies; an empty list gives one empty page.
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
