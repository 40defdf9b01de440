//! Checks settings files and configuration calls before they are used.

use std::path::{Path, PathBuf};

use damsonbeam_control::config::{ConfigChange, ConfigSnapshot, ItemKind};
use damsonbeam_control::settings::Settings;

use crate::CtlError;

/// Checks a settings file with the parser that the programs use at their start; returns a one-line summary.
///
/// # Errors
/// Names the first field that is missing or not valid.
pub fn check_settings(path: &Path) -> Result<String, CtlError> {
    let text = std::fs::read(path).map_err(|error| CtlError::file(path, error))?;
    let name = path.display().to_string();
    // The error already names the file.
    let settings =
        Settings::parse(&name, text).map_err(|error| CtlError::Request(error.to_string()))?;
    let seeds = settings.seed_nodes.len();
    let Settings {
        node_name, zone, ..
    } = settings;
    Ok(format!("{name}: {node_name} in {zone}, {seeds} seeds"))
}

/// Applies configuration calls in the order in which they are to be sent and validates the whole configuration after
/// each, as the configuration store does. Returns the number of routes, tenants and services after the last call.
///
/// # Errors
/// Names the file of the first call that is not valid, and the reason.
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
