//! Files checked before anything starts: settings, operators' calls.

use std::path::{Path, PathBuf};

use damsonbeam_control::config::{ConfigChange, ConfigSnapshot, ItemKind};
use damsonbeam_control::settings::Settings;

use crate::CtlError;

/// Checks a settings file as a program would at its start; returns what is in it, in a line.
///
/// # Errors
/// The first field that is missing or wrong.
pub fn check_settings(path: &Path) -> Result<String, CtlError> {
    let text = std::fs::read(path).map_err(|error| CtlError::file(path, error))?;
    let name = path.display().to_string();
    // The error names the file itself.
    let settings =
        Settings::parse(&name, text).map_err(|error| CtlError::Request(error.to_string()))?;
    let seeds = settings.seed_nodes.len();
    let Settings {
        node_name, zone, ..
    } = settings;
    Ok(format!("{name}: {node_name} in {zone}, {seeds} seeds"))
}

/// Checks operators' calls in the order in which they are to be sent, each on the whole as the store would.
///
/// # Errors
/// The first call that is no valid one, and why.
pub fn check_calls(paths: &[PathBuf]) -> Result<String, CtlError> {
    let mut snapshot = ConfigSnapshot::default();
    for path in paths {
        let text = std::fs::read(path).map_err(|error| CtlError::file(path, error))?;
        let change = ConfigChange::from_json(text).map_err(|error| CtlError::file(path, error))?;
        let mut next = snapshot.clone();
        for item in snapshot.effective_items(&change) {
            next.merge(item);
        }
        next.validate()
            .map_err(|error| CtlError::file(path, error))?;
        snapshot = next;
    }
    let count = |kind| snapshot.present_items(kind).count();
    Ok(format!(
        "valid: {} routes, {} tenants, {} services",
        count(ItemKind::Route),
        count(ItemKind::Tenant),
        count(ItemKind::Service)
    ))
}
