//! JSON values, parsed by `simd-json`.

pub use simd_json::OwnedValue as Value;
use simd_json::prelude::*;

/// A text is not JSON; contains the parser's error.
#[derive(Debug, thiserror::Error)]
#[error("not JSON: {0}")]
pub struct JsonError(#[from] simd_json::Error);

/// Parses a text as JSON.
///
/// # Errors
/// Returns an error if the text is not JSON.
pub fn parse(mut text: Vec<u8>) -> Result<Value, JsonError> {
    Ok(simd_json::to_owned_value(&mut text)?)
}

/// Serializes a value as JSON text.
pub fn to_text(value: &Value) -> Vec<u8> {
    value.encode().into_bytes()
}
