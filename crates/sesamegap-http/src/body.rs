//! Reads of whole bodies, and what shows that they are whole.

use crate::failure::Failure;
use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::TRANSFER_ENCODING;
use reqwest::Response;
use std::fmt;
use std::time::Duration;
use tokio::time::timeout;

/// Reads a complete body of at most `limit` bytes. It may take any time, as long as no pause in it is longer than `silence`.
///
/// A peer or upstream in trouble may send bytes without end.
///
/// # Errors
/// If the body breaks off or is longer; the message says how much of it arrived.
pub async fn read_body(
    mut response: Response,
    limit: usize,
    silence: Duration,
) -> Result<Bytes, Failure> {
    let mut body = BytesMut::new();
    loop {
        let broken = |why: &dyn fmt::Display| {
            let received = body.len();
            Failure::Broken(format!("{why} after {received} bytes"))
        };
        let chunk = match timeout(silence, response.chunk()).await {
            Ok(Ok(Some(chunk))) => chunk,
            Ok(Ok(None)) => return Ok(body.freeze()),
            Ok(Err(error)) => return Err(broken(&error)),
            Err(_) => return Err(broken(&"the connection went silent")),
        };
        if body.len() + chunk.len() > limit {
            return Err(Failure::Oversized(limit));
        }
        body.extend_from_slice(&chunk);
    }
}

/// Whether its last chunk ends a body; `None` without a transfer coding, which would override a length.
///
/// A body with other transfer codings than `chunked` at the end is delimited by its connection.
pub fn is_chunked(headers: &HeaderMap) -> Option<bool> {
    let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back()?;
    let last = codings.to_str().ok().and_then(|all| all.rsplit(',').next());
    Some(last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked")))
}
