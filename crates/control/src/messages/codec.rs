//! The bytes of messages: a version, then the message in `bitcode`'s form.

use bitcode::{Decode, Encode};

/// The version of all messages, the first byte of each.
pub const VERSION: u8 = 3;
/// The size of a message at most; a longer one ends its connection.
pub const MAX_MESSAGE_BYTES: usize = 24 << 20;

/// Bytes that are no message of this version.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// There is not even a version.
    #[error("an empty message")]
    Empty,
    /// The sender speaks another version.
    #[error("message of version {0}")]
    Version(u8),
    /// The version is right and the rest is not.
    #[error("no message: {0}")]
    Malformed(#[from] bitcode::Error),
}

/// The bytes of a message.
pub fn encode<T: Encode>(message: &T) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    bytes.extend_from_slice(&bitcode::encode(message));
    bytes
}

/// The message of these bytes.
///
/// # Errors
/// Where the bytes are of another version, or no message.
pub fn decode<'a, T: Decode<'a>>(bytes: &'a [u8]) -> Result<T, DecodeError> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => Ok(bitcode::decode(rest)?),
        Some((version, _)) => Err(DecodeError::Version(*version)),
        None => Err(DecodeError::Empty),
    }
}
