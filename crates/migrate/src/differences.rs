//! Finds the differences between the settings of the old and the new configuration, down to single values.

use serde_json::Value;

const ROOT: &str = "settings";

/// Collects notes about differences.
pub(crate) struct Differences<'a> {
    pub(crate) notes: &'a mut Vec<String>,
}

impl Differences<'_> {
    /// Notes the old settings that are missing or different in the new ones, then the new settings without an old
    /// value.
    pub(crate) fn add_notes(&mut self, old: &Value, new: &Value) {
        self.note_missing_or_changed(ROOT, old, Some(new));
        self.note_added(ROOT, new, Some(old));
    }

    fn note_missing_or_changed(&mut self, path: &str, old: &Value, new: Option<&Value>) {
        match (old, new) {
            (old, Some(new)) if old == new => {}
            (Value::Object(old), Some(Value::Object(new))) => {
                for (key, value) in old {
                    self.note_missing_or_changed(&format!("{path}.{key}"), value, new.get(key));
                }
            }
            (_, None) => self.notes.push(format!(
                "not carried over: {path}: the new shape has no such key"
            )),
            _ => self.notes.push(format!(
                "not carried over: {path}: the new shape has a different value"
            )),
        }
    }

    fn note_added(&mut self, path: &str, new: &Value, old: Option<&Value>) {
        match (new, old) {
            (Value::Object(new), Some(Value::Object(old))) => {
                for (key, value) in new {
                    self.note_added(&format!("{path}.{key}"), value, old.get(key));
                }
            }
            (_, None) => self.notes.push(format!(
                "from the shape: {path}: the old file has no such key"
            )),
            _ => {}
        }
    }
}
