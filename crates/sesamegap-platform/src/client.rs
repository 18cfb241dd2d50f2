//! Shared code of the platform clients.

use crate::error::{PlatformError, Reason};
use reqwest::{Method, Response};
use serde::de::DeserializeOwned;
use sesamegap_http::{Failure, Pool};
use std::time::Duration;

impl From<Failure> for PlatformError {
    /// Distinguishes a call that was not sent from one that may have taken effect.
    fn from(failure: Failure) -> Self {
        let reason = match failure {
            Failure::Unreached(_) => Reason::Unreached,
            Failure::Broken(_) | Failure::Oversized(_) => Reason::Unknown,
        };
        Self::new(reason, failure.to_string())
    }
}

/// Maps a 4xx status to [`Reason::Refused`]; any other error may have occurred after the call took
/// effect.
pub(crate) fn check_status(response: Response) -> Result<Response, PlatformError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let reason = if status.is_client_error() {
        Reason::Refused
    } else {
        Reason::Unknown
    };
    Err(PlatformError::new(reason, format!("status {status}")))
}

/// Requests a path and decodes one JSON value.
pub(crate) async fn get_json<T: DeserializeOwned>(
    pool: &Pool,
    path: &str,
) -> Result<T, PlatformError> {
    let request = pool.request(Method::GET, path);
    let sent = pool.send(request, Duration::ZERO).await?;
    let body = pool.read_body(check_status(sent)?).await?;
    serde_json::from_slice(&body).map_err(|e| PlatformError::new(Reason::Unknown, e.to_string()))
}
