//! The body type of all responses, and the responses for refusals.

use crate::refusal::Refusal;
use bytes::Bytes;
use http::Response;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// Body of a response to a caller; an error in it aborts the connection.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A body from bytes that are all in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// The response for a refusal, with `Retry-After` if a retry can help.
pub fn refusal_response(refusal: Refusal) -> Response<Body> {
    let mut response = Response::new(full_body(format!("{refusal}\n")));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(delay) = refusal.retry_after() {
        let text = format!("{:.2}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
