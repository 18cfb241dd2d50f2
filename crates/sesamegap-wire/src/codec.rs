//! `MessagePack` encoding of the messages between sesamegap's own processes.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::error::Error;
use std::fmt;

/// Maximum size of a message in bytes; a larger one is rejected before it is decoded.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// An error while encoding or decoding a message.
#[derive(Debug)]
pub struct CodecError {
    action: &'static str,
    cause: String,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "message not {}: {}", self.action, self.cause)
    }
}

impl Error for CodecError {}

/// Encodes a message with named fields, so that an older version can skip fields it does not know.
///
/// # Errors
/// Returns an error if the value cannot be represented, which is a bug in its type.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(value).map_err(|e| CodecError {
        action: "encoded",
        cause: e.to_string(),
    })
}

/// Decodes a message from a peer.
///
/// # Errors
/// Returns an error if the message exceeds the maximum size or is not a valid `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError {
            action: "decoded",
            cause: format!("{} bytes, allowed are {MAX_MESSAGE_BYTES}", bytes.len()),
        });
    }
    rmp_serde::from_slice(bytes).map_err(|e| CodecError {
        action: "decoded",
        cause: e.to_string(),
    })
}
