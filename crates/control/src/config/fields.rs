//! Reads the fields of an item's JSON text. Each error names the item and the field.

use simd_json::prelude::*;

use super::{InvalidConfig, Item};
use crate::json::Value;

pub(super) struct FieldReader<'a> {
    item: &'a Item,
    value: Value,
}

impl<'a> FieldReader<'a> {
    pub(super) fn new(item: &'a Item) -> Result<Self, InvalidConfig> {
        let value = item.json()?;
        Ok(FieldReader { item, value })
    }

    /// Returns the error for a field.
    pub(super) fn invalid(&self, field: &str, reason: &str) -> InvalidConfig {
        InvalidConfig::item(&self.item.key.name, format!("{field}: {reason}"))
    }

    /// Returns the value of a field, or `None` if the field is missing.
    pub(super) fn get(&self, field: &str) -> Option<&Value> {
        self.value.get(field)
    }

    /// Returns the value of a field, or `None` if the field is missing or null.
    pub(super) fn optional(&self, field: &str) -> Option<&Value> {
        self.get(field).filter(|value| !value.is_null())
    }

    pub(super) fn string(&self, field: &str) -> Result<String, InvalidConfig> {
        let string = self.get(field).and_then(|value| value.as_str());
        let string = string.ok_or_else(|| self.invalid(field, "not a string"))?;
        Ok(string.to_string())
    }

    /// Returns a number of at least 0, rounded down to an integer.
    pub(super) fn whole_number(&self, field: &str) -> Result<u64, InvalidConfig> {
        let non_negative = |value: &Value| value.as_f64().filter(|number| *number >= 0.0);
        let integer = |value: &Value| {
            value
                .as_u64()
                .or(non_negative(value).map(|number| number as u64))
        };
        let number = self.get(field).and_then(integer);
        number.ok_or_else(|| self.invalid(field, "not a whole number of at least 0"))
    }

    /// Returns a number of at least 0, or 0 if the field is missing or null.
    pub(super) fn number_or_zero(&self, field: &str) -> Result<f64, InvalidConfig> {
        let Some(value) = self.optional(field) else {
            return Ok(0.0);
        };
        let number = value.cast_f64().filter(|number| *number >= 0.0);
        number.ok_or_else(|| self.invalid(field, "not a number of at least 0"))
    }

    /// Returns whether a field is `true`; `false` if the field is missing or not a boolean.
    pub(super) fn is_true(&self, field: &str) -> bool {
        self.get(field)
            .and_then(|value| value.as_bool())
            .unwrap_or(false)
    }

    /// Returns a list of strings, or an empty list if the field is missing or null.
    pub(super) fn strings(&self, field: &str) -> Result<Vec<String>, InvalidConfig> {
        let Some(value) = self.optional(field) else {
            return Ok(Vec::new());
        };
        let values = value
            .as_array()
            .ok_or_else(|| self.invalid(field, "not a list"))?;
        let strings = values.iter().map(|value| Some(value.as_str()?.to_string()));
        let strings: Option<Vec<String>> = strings.collect();
        strings.ok_or_else(|| self.invalid(field, "not a list of strings"))
    }
}
