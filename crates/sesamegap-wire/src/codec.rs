//! Encoding of messages between sesamegap's own processes.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::error::Error;
use std::fmt;

/// Largest message taken from a peer, in bytes; a larger one is refused before it is decoded.
pub const MAX_MESSAGE: usize = 8 << 20;

/// A message that could not be encoded or decoded.
#[derive(Debug)]
pub struct CodecError {
    what: &'static str,
    cause: String,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "message not {}: {}", self.what, self.cause)
    }
}

impl Error for CodecError {}

/// Encodes a message with named fields, so that an older reader skips what it does not know.
///
/// # Errors
/// If the value cannot be represented, which is a bug of its type.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(value).map_err(|e| CodecError {
        what: "encoded",
        cause: e.to_string(),
    })
}

/// Decodes a message from a peer.
///
/// # Errors
/// If the bytes are too many or are no message of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > MAX_MESSAGE {
        return Err(CodecError {
            what: "decoded",
            cause: format!("{} bytes, allowed are {MAX_MESSAGE}", bytes.len()),
        });
    }
    rmp_serde::from_slice(bytes).map_err(|e| CodecError {
        what: "decoded",
        cause: e.to_string(),
    })
}
