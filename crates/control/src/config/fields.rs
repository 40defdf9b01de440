//! Reads the fields of an item's JSON text; each error names the item and the field.

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

    /// The error of a field.
    pub(super) fn invalid(&self, field: &str, reason: &str) -> InvalidConfig {
        InvalidConfig::item(&self.item.key.name, format!("{field}: {reason}"))
    }

    /// A field as it is; `None` where it is missing.
    pub(super) fn get(&self, field: &str) -> Option<&Value> {
        self.value.get(field)
    }

    /// A field that may be missing or null.
    pub(super) fn optional(&self, field: &str) -> Option<&Value> {
        self.get(field).filter(|value| !value.is_null())
    }

    pub(super) fn text(&self, field: &str) -> Result<String, InvalidConfig> {
        let text = self.get(field).and_then(|value| value.as_str());
        let text = text.ok_or_else(|| self.invalid(field, "not a text"))?;
        Ok(text.to_string())
    }

    /// A whole number; fractions are cut off.
    pub(super) fn count(&self, field: &str) -> Result<u64, InvalidConfig> {
        let fraction = |value: &Value| value.as_f64().filter(|number| *number >= 0.0);
        let whole = |value: &Value| {
            value
                .as_u64()
                .or(fraction(value).map(|number| number as u64))
        };
        let count = self.get(field).and_then(whole);
        count.ok_or_else(|| self.invalid(field, "not a whole number"))
    }

    /// A number of at least 0; 0 where it is missing or null.
    pub(super) fn number(&self, field: &str) -> Result<f64, InvalidConfig> {
        let Some(value) = self.optional(field) else {
            return Ok(0.0);
        };
        let number = value.cast_f64().filter(|number| *number >= 0.0);
        number.ok_or_else(|| self.invalid(field, "not a number from 0 on"))
    }

    pub(super) fn flag(&self, field: &str) -> bool {
        self.get(field)
            .and_then(|value| value.as_bool())
            .unwrap_or(false)
    }

    /// A list of texts; empty where it is missing or null.
    pub(super) fn texts(&self, field: &str) -> Result<Vec<String>, InvalidConfig> {
        let Some(value) = self.optional(field) else {
            return Ok(Vec::new());
        };
        let texts = value
            .as_array()
            .ok_or_else(|| self.invalid(field, "not a list"))?;
        let texts = texts.iter().map(|text| Some(text.as_str()?.to_string()));
        let texts: Option<Vec<String>> = texts.collect();
        texts.ok_or_else(|| self.invalid(field, "not a list of texts"))
    }
}
