//! JSON values as simd-json reads them.

pub use simd_json::OwnedValue as Value;
use simd_json::prelude::*;

/// A text that is not JSON, with what the parser says of it.
#[derive(Debug, thiserror::Error)]
#[error("not JSON: {0}")]
pub struct JsonError(#[from] simd_json::Error);

/// Parses a text.
///
/// # Errors
/// Where the text is not JSON.
pub fn parse(mut text: Vec<u8>) -> Result<Value, JsonError> {
    Ok(simd_json::to_owned_value(&mut text)?)
}

/// The text of a value.
pub fn to_text(value: &Value) -> Vec<u8> {
    value.encode().into_bytes()
}
