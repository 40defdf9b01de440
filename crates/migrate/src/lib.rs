//! Converts a gateway's configuration to a deployment of another shape. The conversion itself does no I/O.
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod command;
mod differences;

use std::fmt;

use damsonbeam_gateway::config::{Config, ConfigError};
use serde_json::{Map, Value};

use self::differences::Differences;

/// Keys that belong to the process and are kept from the old file, whatever the shape of the deployment.
const PROCESS_KEYS: [&str; 9] = [
    "name",
    "listen",
    "discovery",
    "counter",
    "seed",
    "limits",
    "peer_listen",
    "peers_all",
    "peers",
];

/// The result of a migration.
#[derive(Debug, PartialEq)]
pub struct Migrated {
    /// The new configuration file.
    pub text: String,
    /// Notes for the operator, one line each.
    pub notes: Vec<String>,
}

/// The file to which an error refers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFile {
    /// The gateway's current configuration.
    Old,
    /// The configuration with the settings of the new deployment.
    Shape,
    /// The resulting configuration.
    New,
}

impl fmt::Display for ConfigFile {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            ConfigFile::Old => "OLD",
            ConfigFile::Shape => "SHAPE",
            ConfigFile::New => "NEW",
        })
    }
}

/// The reason why a configuration can't be migrated.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{file}: {problem}")]
pub struct MigrateError {
    /// The file that is not valid.
    pub file: ConfigFile,
    /// Why the file was rejected.
    pub problem: String,
}

impl MigrateError {
    fn new(file: ConfigFile, problem: impl fmt::Display) -> Self {
        MigrateError {
            file,
            problem: problem.to_string(),
        }
    }
}

type Object = Map<String, Value>;

fn parse_object(file: ConfigFile, text: &str) -> Result<Object, MigrateError> {
    match serde_json::from_str(text) {
        Ok(Value::Object(object)) => Ok(object),
        Ok(_) => Err(MigrateError::new(file, "not an object")),
        Err(error) => Err(MigrateError::new(file, error)),
    }
}

fn settings_object(file: ConfigFile, object: &Object) -> Result<Object, MigrateError> {
    let found = object.get("settings").and_then(Value::as_object).cloned();
    found.ok_or_else(|| MigrateError::new(file, "settings: missing, or not an object"))
}

/// Parses a configuration as the gateway does at its start. Environment variables get placeholder values here; the
/// gateway checks the real values when it starts.
fn parse_config(file: ConfigFile, text: &str) -> Result<Config, MigrateError> {
    let environment = |key: &str| {
        let value = if key == "NODE_NAME" {
            "-"
        } else {
            "127.0.0.1:1"
        };
        Some(value.to_string())
    };
    Config::parse(text, environment).map_err(|error| match error {
        ConfigError::Malformed(problem) => MigrateError::new(file, problem),
        error => MigrateError::new(file, error),
    })
}

/// Converts `old`, a gateway's current configuration, to the settings of `shape`, a configuration of the new
/// deployment.
///
/// # Errors
/// Fails if one of the two configurations or the result is not valid.
pub fn migrate(old: &str, shape: &str) -> Result<Migrated, MigrateError> {
    let old_object = parse_object(ConfigFile::Old, old)?;
    let shape_object = parse_object(ConfigFile::Shape, shape)?;
    let old_config = parse_config(ConfigFile::Old, old)?;
    let old_settings = settings_object(ConfigFile::Old, &old_object)?;
    let mut new_settings = settings_object(ConfigFile::Shape, &shape_object)?;
    let mut notes = Vec::new();
    copy_index_and_zone(&old_config, &mut new_settings, &mut notes);
    let mut new_object = process_keys(&old_object, &shape_object, &mut notes);
    let is_same_shape = old_settings == new_settings;
    copy_other_keys(&old_object, is_same_shape, &mut new_object, &mut notes);
    let old_settings = Value::Object(old_settings);
    let new_settings = Value::Object(new_settings);
    Differences { notes: &mut notes }.add_notes(&old_settings, &new_settings);
    new_object.insert("settings".into(), new_settings);
    let text = if new_object == old_object {
        old.to_string()
    } else {
        let text = serde_json::to_string_pretty(&new_object);
        text.map_err(|error| MigrateError::new(ConfigFile::New, error))? + "\n"
    };
    let config = parse_config(ConfigFile::New, &text)?;
    notes.extend(config.notes.iter().map(|note| format!("mind: {note}")));
    Ok(Migrated { text, notes })
}

/// Copies the index and the zone of the gateway from the old configuration, since a shape is the same for all gateways.
fn copy_index_and_zone(old: &Config, settings: &mut Object, notes: &mut Vec<String>) {
    let self_index = old.settings_file.self_index;
    let siblings = settings
        .get("siblings")
        .and_then(Value::as_u64)
        .unwrap_or(0);
    if u64::from(self_index) < siblings {
        settings.insert("self-index".into(), self_index.into());
    } else {
        notes.push(format!(
            "not carried over: settings.self-index: {self_index} of {siblings}; set a different index for each gateway"
        ));
    }
    let zone = old
        .settings_file
        .dcs
        .get(old.settings_file.locality as usize);
    let zone = zone.map(String::as_str);
    let zones = settings.get("dcs").and_then(Value::as_array);
    match zones.and_then(|zones| zones.iter().position(|name| name.as_str() == zone)) {
        Some(position) => {
            settings.insert("locality".into(), position.into());
        }
        None => notes.push(
            "not carried over: settings.locality: no zone of that name; set it by hand".into(),
        ),
    }
}

/// Returns an object with the process keys of the old file; a missing `counter` is taken from the shape.
fn process_keys(old: &Object, shape: &Object, notes: &mut Vec<String>) -> Object {
    let mut new = Object::new();
    for key in PROCESS_KEYS {
        if let Some(value) = old.get(key) {
            new.insert(key.into(), value.clone());
        } else if let Some(value) = shape.get(key).filter(|_| key == "counter") {
            new.insert(key.into(), value.clone());
            notes.push(format!(
                "from the shape: {key}: the old file has no such key"
            ));
        }
    }
    new
}

/// Copies all other keys if the settings are unchanged, and notes them as not carried over otherwise.
fn copy_other_keys(old: &Object, is_same_shape: bool, new: &mut Object, notes: &mut Vec<String>) {
    for (key, value) in old.iter().filter(|(key, _)| *key != "settings") {
        if new.contains_key(key) {
            continue;
        }
        if is_same_shape {
            new.insert(key.clone(), value.clone());
        } else if key == "known" {
            notes.push("not carried over: known: its backends belong to the old deployment".into());
        } else {
            notes.push(format!(
                "not carried over: {key}: the gateway has no such key"
            ));
        }
    }
}
