//! A gateway's configuration, carried over to a deployment of another shape. No I/O.
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod command;
mod differences;

use std::fmt;

use damsonbeam_gateway::config::{Config, ConfigError};
use serde_json::{Map, Value};

use self::differences::Differences;

/// The process's own keys, in whatever shape its deployment is.
const OWN_KEYS: [&str; 9] = [
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

/// The new configuration and what an operator has to know of it.
#[derive(Debug, PartialEq)]
pub struct Migrated {
    /// The new configuration.
    pub text: String,
    /// What an operator has to know of it, a line each.
    pub notes: Vec<String>,
}

/// Which of the files something is wrong with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum File {
    /// The gateway's present file.
    Old,
    /// The file of the new shape.
    Shape,
    /// The file that would come out.
    New,
}

impl fmt::Display for File {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            File::Old => "OLD",
            File::Shape => "SHAPE",
            File::New => "NEW",
        })
    }
}

/// Why a configuration can't be carried over.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{file}: {problem}")]
pub struct MigrateError {
    /// The file.
    pub file: File,
    /// What is wrong with it.
    pub problem: String,
}

impl MigrateError {
    fn new(file: File, problem: impl fmt::Display) -> Self {
        MigrateError {
            file,
            problem: problem.to_string(),
        }
    }
}

type Object = Map<String, Value>;

fn object(file: File, text: &str) -> Result<Object, MigrateError> {
    match serde_json::from_str(text) {
        Ok(Value::Object(object)) => Ok(object),
        Ok(_) => Err(MigrateError::new(file, "not an object")),
        Err(error) => Err(MigrateError::new(file, error)),
    }
}

fn settings(file: File, object: &Object) -> Result<Object, MigrateError> {
    let found = object.get("settings").and_then(Value::as_object).cloned();
    found.ok_or_else(|| MigrateError::new(file, "settings: missing, or not an object"))
}

/// The gateway's own check. What a file leaves to the environment is checked where it starts.
fn check(file: File, text: &str) -> Result<Config, MigrateError> {
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

/// Carries a configuration over: `old` is a gateway's present file, `shape` one of the same form with the new site's
/// settings.
///
/// # Errors
/// Where one of the files can't be used, or what would come out.
pub fn migrate(old: &str, shape: &str) -> Result<Migrated, MigrateError> {
    let old_object = object(File::Old, old)?;
    let shape_object = object(File::Shape, shape)?;
    let old_config = check(File::Old, old)?;
    let old_settings = settings(File::Old, &old_object)?;
    let mut new_settings = settings(File::Shape, &shape_object)?;
    let mut notes = Vec::new();
    carry_own_place(&old_config, &mut new_settings, &mut notes);
    let mut new_object = own_keys(&old_object, &shape_object, &mut notes);
    let is_same_shape = old_settings == new_settings;
    carry_other_keys(&old_object, is_same_shape, &mut new_object, &mut notes);
    let old_settings = Value::Object(old_settings);
    let new_settings = Value::Object(new_settings);
    Differences { notes: &mut notes }.note(&old_settings, &new_settings);
    new_object.insert("settings".into(), new_settings);
    let text = if new_object == old_object {
        old.to_string()
    } else {
        let text = serde_json::to_string_pretty(&new_object);
        text.map_err(|error| MigrateError::new(File::New, error))? + "\n"
    };
    let config = check(File::New, &text)?;
    notes.extend(config.notes.iter().map(|note| format!("mind: {note}")));
    Ok(Migrated { text, notes })
}

/// Which of the gateways it is, and where it stands, no shape can tell.
fn carry_own_place(old: &Config, settings: &mut Object, notes: &mut Vec<String>) {
    let own = old.facts.self_index;
    let siblings = settings
        .get("siblings")
        .and_then(Value::as_u64)
        .unwrap_or(0);
    if u64::from(own) < siblings {
        settings.insert("self-index".into(), own.into());
    } else {
        notes.push(format!(
            "not carried over: settings.self-index: {own} of {siblings}; give each gateway its own"
        ));
    }
    let zone = old.facts.dcs.get(old.facts.locality as usize);
    let zone = zone.map(String::as_str);
    let zones = settings.get("dcs").and_then(Value::as_array);
    match zones.and_then(|zones| zones.iter().position(|name| name.as_str() == zone)) {
        Some(position) => {
            settings.insert("locality".into(), position.into());
        }
        None => notes
            .push("not carried over: settings.locality: no zone of that name; see to it".into()),
    }
}

/// The process's own keys are the old file's; only a counter may come from the shape.
fn own_keys(old: &Object, shape: &Object, notes: &mut Vec<String>) -> Object {
    let mut new = Object::new();
    for key in OWN_KEYS {
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

/// All other keys stay where the shape does.
fn carry_other_keys(old: &Object, is_same_shape: bool, new: &mut Object, notes: &mut Vec<String>) {
    for (key, value) in old.iter().filter(|(key, _)| *key != "settings") {
        if new.contains_key(key) {
            continue;
        }
        if is_same_shape {
            new.insert(key.clone(), value.clone());
        } else if key == "known" {
            notes.push("not carried over: known: its backends are the old deployment's".into());
        } else {
            notes.push(format!(
                "not carried over: {key}: the gateway has no such key"
            ));
        }
    }
}
