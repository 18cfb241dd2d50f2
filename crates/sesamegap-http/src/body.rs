//! Reads of whole bodies.

use crate::failure::Failure;
use bytes::{Bytes, BytesMut};
use reqwest::Response;

/// Reads a complete body of at most `limit` bytes; the request's own timeout bounds the time.
///
/// A peer or upstream in trouble may send bytes without end.
///
/// # Errors
/// If the body breaks off or is longer; the message says how much of it arrived.
pub async fn read_body(mut response: Response, limit: usize) -> Result<Bytes, Failure> {
    let mut body = BytesMut::new();
    loop {
        let chunk = match response.chunk().await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => return Ok(body.freeze()),
            Err(error) => {
                let received = body.len();
                return Err(Failure::Broken(format!("{error} after {received} bytes")));
            }
        };
        if body.len() + chunk.len() > limit {
            return Err(Failure::Oversized(limit));
        }
        body.extend_from_slice(&chunk);
    }
}
