//! Reads the data of a configuration store from its disk. The store process must be stopped.

use std::path::Path;

use damsonbeam_config_store::consensus::voters::VoterSet;
use damsonbeam_config_store::disk::{Disk, StoredState};
use damsonbeam_control::address::ip_strings;
use damsonbeam_control::config::Item;

use crate::CtlError;

/// Name of the file in a store's folder that holds its state.
const STORE_FILE: &str = "items.redb";

/// Returns the state of a store as text: its vote, voters, known stores, backend list and items.
///
/// # Errors
/// Fails if the folder holds no store, or a record can't be read.
pub fn show_store(folder: &Path) -> Result<String, CtlError> {
    let StoredState {
        durable,
        roster,
        backends,
    } = read_store(folder)?;
    let vote_status = if durable.is_voter() {
        "has a vote"
    } else {
        "has no vote yet"
    };
    let promised = durable.promised;
    let mut lines = vec![format!(
        "{vote_status}, promised ballot {}.{}",
        promised.round, promised.proposer
    )];
    if let Some(voters) = VoterSet::from_snapshot(&durable.committed) {
        let ips = voters.voters().iter().map(|voter| voter.ip);
        let ips = ip_strings(ips).join(", ");
        lines.push(format!("voters of epoch {}: {ips}", voters.epoch));
    }
    lines.push(format!("{} stores known", roster.len()));
    lines.push(format!(
        "backend list of term {}, reading {}: {} backends",
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
    let removal_note = if item.body.is_some() { "" } else { ", removed" };
    let commit_note = if is_committed {
        ""
    } else {
        ", not known to be decided"
    };
    let number = item.proposal_number;
    format!(
        "{:?} {} r{}, ballot {}.{}{removal_note}{commit_note}",
        item.key.kind, item.key.name, item.version, number.round, number.proposer
    )
}

/// Checks that a store has a vote and that its committed configuration is valid.
///
/// # Errors
/// Fails if the store has no vote, the configuration is not valid, or the store can't be read.
pub fn verify_store(folder: &Path) -> Result<String, CtlError> {
    let durable = read_store(folder)?.durable;
    let valid = durable.committed.validate();
    valid.map_err(|error| CtlError::file(folder, error))?;
    if !durable.is_voter() {
        let reason =
            "has no vote yet: the store is new, restarted without its data or was replaced";
        return Err(CtlError::file(folder, reason));
    }
    let committed = durable.committed.items();
    let accepted = durable.accepted.items().values();
    let undecided = accepted
        .filter(|item| committed.get(&item.key) != Some(item))
        .count();
    let items = committed.len();
    Ok(format!(
        "sound: {items} items, {undecided} not known to be decided"
    ))
}

/// Returns the committed configuration of a store as a call that sets it.
///
/// # Errors
/// Fails if the store can't be read.
pub fn export_store(folder: &Path) -> Result<String, CtlError> {
    let durable = read_store(folder)?.durable;
    let body = String::from_utf8(durable.committed.to_json());
    let body = body.map_err(|error| CtlError::file(folder, error))?;
    Ok(format!("{{\"upserts\":{body}}}"))
}

fn read_store(folder: &Path) -> Result<StoredState, CtlError> {
    if !folder.join(STORE_FILE).exists() {
        let reason = format!("no store found ({STORE_FILE})");
        return Err(CtlError::file(folder, reason));
    }
    Disk::open(folder)
        .and_then(|disk| disk.read())
        .map_err(|error| CtlError::file(folder, error))
}
