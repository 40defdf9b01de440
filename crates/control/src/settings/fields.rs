//! Access to the fields of a settings file, with errors that name file and field.

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

    pub(super) fn text(&self, field: &str) -> Result<String, SettingsError> {
        let text = self.get(field)?.as_str();
        let text = text.ok_or_else(|| self.invalid(field, "not a text"))?;
        Ok(text.to_string())
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

    /// Whether a field is there and true.
    pub(super) fn flag(&self, field: &str) -> bool {
        self.value
            .get(field)
            .and_then(|value| value.as_bool())
            .unwrap_or(false)
    }

    /// A count within an object, where both are there.
    pub(super) fn count_in(&self, object: &str, field: &str) -> Option<u64> {
        self.value.get(object)?.get(field)?.as_u64()
    }
}
