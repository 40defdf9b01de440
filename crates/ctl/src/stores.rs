//! What a store holds on its disk, read while no store runs on it.

use std::path::Path;

use damsonbeam_config_store::consensus::voters::VoterSet;
use damsonbeam_config_store::disk::{Disk, StoredState};
use damsonbeam_control::address::ip_texts;
use damsonbeam_control::config::Item;

use crate::CtlError;

/// The file that holds a store's state.
const STORE_FILE: &str = "items.redb";

/// Shows a store's state, item by item.
///
/// # Errors
/// Where there is none, or a record can't be read.
pub fn show_store(folder: &Path) -> Result<String, CtlError> {
    let StoredState {
        durable,
        roster,
        backends,
    } = open(folder)?;
    let vote = if durable.has_vote() {
        "has a vote"
    } else {
        "has no vote yet"
    };
    let promised = durable.promised;
    let mut lines = vec![format!(
        "{vote}, promised ballot {}.{}",
        promised.round, promised.proposer
    )];
    if let Some(voters) = VoterSet::committed(&durable.committed) {
        let ips = voters.voters().iter().map(|voter| voter.ip);
        let ips = ip_texts(ips).join(", ");
        lines.push(format!("voters of epoch {}: {ips}", voters.epoch));
    }
    lines.push(format!("{} stores known", roster.len()));
    lines.push(format!(
        "list of term {}, reading {}: {} backends",
        backends.version.term,
        backends.version.revision,
        backends.backends.len()
    ));
    let committed = durable.committed.items();
    let accepted = durable.accepted.items().values();
    lines.extend(accepted.map(|item| item_line(item, committed.get(&item.key) == Some(item))));
    Ok(lines.join("\n"))
}

fn item_line(item: &Item, is_committed: bool) -> String {
    let state = if item.body.is_some() { "" } else { ", dropped" };
    let known = if is_committed {
        ""
    } else {
        ", not known to be decided"
    };
    let number = item.proposal_number;
    format!(
        "{:?} {} r{}, ballot {}.{}{state}{known}",
        item.key.kind, item.key.name, item.version, number.round, number.proposer
    )
}

/// Checks whether a store has a vote and what it holds is a valid configuration.
///
/// # Errors
/// What is wrong with it.
pub fn verify_store(folder: &Path) -> Result<String, CtlError> {
    let durable = open(folder)?.durable;
    let valid = durable.committed.validate();
    valid.map_err(|error| CtlError::file(folder, error))?;
    if !durable.has_vote() {
        let reason = "has no vote yet: it is new, came back empty or was replaced";
        return Err(CtlError::file(folder, reason));
    }
    let committed = durable.committed.items();
    let accepted = durable.accepted.items().values();
    let unknown = accepted
        .filter(|item| committed.get(&item.key) != Some(item))
        .count();
    let items = committed.len();
    Ok(format!(
        "sound: {items} items, {unknown} not known to be decided"
    ))
}

/// The configuration that a store holds, as an operator would send it.
///
/// # Errors
/// Where it can't be read.
pub fn export_store(folder: &Path) -> Result<String, CtlError> {
    let durable = open(folder)?.durable;
    let body = String::from_utf8(durable.committed.to_json());
    let body = body.map_err(|error| CtlError::file(folder, error))?;
    Ok(format!("{{\"upserts\":{body}}}"))
}

fn open(folder: &Path) -> Result<StoredState, CtlError> {
    if !folder.join(STORE_FILE).exists() {
        let reason = format!("no store here ({STORE_FILE})");
        return Err(CtlError::file(folder, reason));
    }
    Disk::open(folder)
        .and_then(|disk| disk.read())
        .map_err(|error| CtlError::file(folder, error))
}
