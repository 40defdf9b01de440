//! Checks whether a new configuration may replace the one in force.

use serde_json::Value;

use super::{Config, ConfigError};

impl Config {
    /// Checks that this configuration may replace `old`. A settings key that `old` has and this configuration lacks is
    /// taken as a sign of a truncated or malformed file, not as a setting that was turned off.
    ///
    /// # Errors
    /// Returns the first key that is missing.
    pub fn ensure_may_replace(&self, old: &Value) -> Result<(), ConfigError> {
        match missing_key(&old["settings"], &self.source["settings"], "settings") {
            Some(key) => {
                let problem = "missing, although the configuration in force has it";
                Err(ConfigError::invalid(key, problem))
            }
            None => Ok(()),
        }
    }
}

/// Returns the first key that `old` has and `new` lacks. A list element must have the keys that all elements of the old
/// list have.
fn missing_key(old: &Value, new: &Value, path: &str) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old)| {
            let path = format!("{path}.{key}");
            match new.get(key) {
                Some(new) => missing_key(old, new, &path),
                None => Some(path),
            }
        }),
        (Value::Array(old), Value::Array(new)) => {
            let old_rows: Vec<_> = old.iter().filter_map(Value::as_object).collect();
            let is_common = |key: &&String| old_rows.iter().all(|row| row.contains_key(*key));
            let common: Vec<_> = old_rows.first()?.keys().filter(is_common).collect();
            new.iter().enumerate().find_map(|(number, row)| {
                let missing = common.iter().find(|key| row.get(**key).is_none())?;
                Some(format!("{path}[{number}].{missing}"))
            })
        }
        _ => None,
    }
}
