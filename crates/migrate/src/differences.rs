//! What of the settings differs between an old file and a new one, down to single values.

use serde_json::Value;

const ROOT: &str = "settings";

/// Writes notes of differences.
pub(crate) struct Differences<'a> {
    pub(crate) notes: &'a mut Vec<String>,
}

impl Differences<'_> {
    /// Notes what the new settings lack or have otherwise, then what the old ones could not give.
    pub(crate) fn note(&mut self, old: &Value, new: &Value) {
        self.note_lost(ROOT, old, Some(new));
        self.note_gained(ROOT, new, Some(old));
    }

    fn note_lost(&mut self, path: &str, old: &Value, new: Option<&Value>) {
        match (old, new) {
            (old, Some(new)) if old == new => {}
            (Value::Object(old), Some(Value::Object(new))) => {
                for (key, value) in old {
                    self.note_lost(&format!("{path}.{key}"), value, new.get(key));
                }
            }
            (_, None) => self.notes.push(format!(
                "not carried over: {path}: the new shape has no such key"
            )),
            _ => self.notes.push(format!(
                "not carried over: {path}: the new shape says otherwise"
            )),
        }
    }

    fn note_gained(&mut self, path: &str, new: &Value, old: Option<&Value>) {
        match (new, old) {
            (Value::Object(new), Some(Value::Object(old))) => {
                for (key, value) in new {
                    self.note_gained(&format!("{path}.{key}"), value, old.get(key));
                }
            }
            (_, None) => self.notes.push(format!(
                "from the shape: {path}: the old file has no such key"
            )),
            _ => {}
        }
    }
}
