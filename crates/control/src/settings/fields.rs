//! Access to the fields of a settings file. Each error names the file and the field.

use simd_json::owned::Object;
use simd_json::prelude::*;

use super::SettingsError;
use crate::json::Value;

pub(super) struct Fields<'a> {
    pub(super) file: &'a str,
    pub(super) value: &'a Value,
}

impl<'a> Fields<'a> {
    pub(super) fn invalid(&self, field: &str, reason: &str) -> SettingsError {
        SettingsError::Field {
            file: self.file.into(),
            field: field.into(),
            reason: reason.into(),
        }
    }

    fn get(&self, field: &str) -> Result<&'a Value, SettingsError> {
        self.value
            .get(field)
            .ok_or_else(|| self.invalid(field, "missing"))
    }

    pub(super) fn string(&self, field: &str) -> Result<String, SettingsError> {
        let string = self.get(field)?.as_str();
        let string = string.ok_or_else(|| self.invalid(field, "not a string"))?;
        Ok(string.to_string())
    }

    pub(super) fn list(&self, field: &str) -> Result<&'a Vec<Value>, SettingsError> {
        self.get(field)?
            .as_array()
            .ok_or_else(|| self.invalid(field, "not a list"))
    }

    pub(super) fn object(&self, field: &str) -> Result<&'a Object, SettingsError> {
        self.get(field)?
            .as_object()
            .ok_or_else(|| self.invalid(field, "not an object"))
    }

    /// Returns whether a field is present and `true`.
    pub(super) fn is_true(&self, field: &str) -> bool {
        self.value
            .get(field)
            .and_then(|value| value.as_bool())
            .unwrap_or(false)
    }

    /// Returns an unsigned number in an object, or `None` if the object or the number is missing.
    pub(super) fn unsigned_in(&self, object: &str, field: &str) -> Option<u64> {
        self.value.get(object)?.get(field)?.as_u64()
    }
}
