//! Shared code of the upstream clients.

use crate::error::{Fault, Ran, UpstreamError};
use reqwest::{RequestBuilder, Response};
use serde::de::DeserializeOwned;
use sesamegap_http::{Failure, Pool};
use std::time::Duration;

impl From<Failure> for UpstreamError {
    /// Reports [`Ran::No`] only if nothing was sent.
    fn from(failure: Failure) -> Self {
        let (fault, ran) = match failure {
            Failure::Unreached(_) => (Fault::Unreached, Ran::No),
            Failure::Broken(_) | Failure::Oversized(_) => (Fault::Broken, Ran::Unknown),
        };
        Self::new(fault, ran, failure.to_string())
    }
}

/// An error for a response that cannot be decoded.
pub(crate) fn invalid_response(detail: impl Into<String>) -> UpstreamError {
    UpstreamError::new(Fault::Broken, Ran::Unknown, detail)
}

/// Sends a request and decodes one JSON value.
pub(crate) async fn fetch_json<T: DeserializeOwned>(
    pool: &Pool,
    request: RequestBuilder,
    wait: Duration,
) -> Result<T, UpstreamError> {
    let response = pool.send(request, wait).await?;
    let body = pool.read_body(check_status(response)?).await?;
    serde_json::from_slice(&body).map_err(|e| invalid_response(e.to_string()))
}

/// Rejects a response without a success status, which leaves unknown whether the request ran.
pub(crate) fn check_status(response: Response) -> Result<Response, UpstreamError> {
    let status = response.status();
    if status.is_success() {
        Ok(response)
    } else {
        let detail = format!("status {status}");
        Err(UpstreamError::new(Fault::Refused, Ran::Unknown, detail))
    }
}
