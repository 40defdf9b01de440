//! The encoding of messages: a version byte, followed by the message as encoded by `bitcode`.

use bitcode::{Decode, Encode};

/// The version of the message format, sent as the first byte of each message.
pub const MESSAGE_VERSION: u8 = 3;
/// The maximum size of a message, in bytes. A longer message closes the connection.
pub const MAX_MESSAGE_BYTES: usize = 24 << 20;

/// The reason why bytes cannot be decoded as a message.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The message is empty, without a version.
    #[error("empty message")]
    Empty,
    /// The sender uses another version of the message format.
    #[error("unsupported message version {0}")]
    Version(u8),
    /// The version matches, but the rest cannot be decoded.
    #[error("malformed message: {0}")]
    Malformed(#[from] bitcode::Error),
}

/// Encodes a message.
pub fn encode<T: Encode>(message: &T) -> Vec<u8> {
    let mut bytes = vec![MESSAGE_VERSION];
    bytes.extend_from_slice(&bitcode::encode(message));
    bytes
}

/// Decodes a message.
///
/// # Errors
/// Returns an error if the bytes have another version or cannot be decoded.
pub fn decode<'a, T: Decode<'a>>(bytes: &'a [u8]) -> Result<T, DecodeError> {
    match bytes.split_first() {
        Some((&MESSAGE_VERSION, rest)) => Ok(bitcode::decode(rest)?),
        Some((version, _)) => Err(DecodeError::Version(*version)),
        None => Err(DecodeError::Empty),
    }
}
