//! HTTP client of a plain service's worker.
//!
//! The call is forwarded unchanged with two added headers: [`REQUEST_HEADER`] carries the request
//! id, which the worker echoes, and [`IDEMPOTENCY_KEY_HEADER`] the idempotency key. A reply without
//! the echo, or with another id, is discarded. A worker that did not run the call sets
//! [`RAN_HEADER`] and status 429 or 503; any other status is the service's own reply. It has a length or
//! chunks: a worker that crashes also ends its connection, so that this shows no reply to be complete.

use super::{Call, PlainService, Reply};
use crate::client::invalid_response;
use crate::error::{Fault, Ran, UpstreamError};
use crate::wire::{IDEMPOTENCY_KEY_HEADER, RAN_HEADER, REQUEST_HEADER};
use futures_util::future::{BoxFuture, FutureExt};
use reqwest::header::{CONTENT_TYPE, HeaderMap};
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use sesamegap_http::{Failure, Pool, Settings, is_chunked};
use smol_str::SmolStr;
use tokio::time::timeout;

/// A client of one worker of a plain service.
#[derive(Debug, Clone)]
pub struct HttpWorker {
    pool: Pool,
}

impl HttpWorker {
    /// Creates a client of the worker at `http://IP:PORT`.
    pub fn new(base: impl Into<String>, settings: Settings) -> Self {
        Self {
            pool: Pool::new(base, settings),
        }
    }

    async fn exchange(&self, call: Call) -> Result<Reply, UpstreamError> {
        let limit = call.timeout;
        let id = call.request.to_string();
        let request = self.request(call)?;
        let exchange = async {
            let response = self.pool.send(request, limit).await?;
            self.check_echo(&response, &id)?;
            self.reply(response).await
        };
        let outcome = timeout(limit, exchange).await;
        outcome.unwrap_or_else(|_| {
            self.pool.discard_connections();
            Err(Failure::timed_out().into())
        })
    }

    fn request(&self, call: Call) -> Result<RequestBuilder, UpstreamError> {
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|e| UpstreamError::new(Fault::Refused, Ran::No, e.to_string()))?;
        let path = call.path.trim_start_matches('/');
        let mut request = self
            .pool
            .request(method, &format!("/{path}"))
            .header(REQUEST_HEADER, call.request.to_string())
            .body(call.body);
        if let Some(content_type) = &call.content_type {
            request = request.header(CONTENT_TYPE, content_type.as_str());
        }
        if let Some(key) = &call.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY_HEADER, key.as_str());
        }
        Ok(request)
    }

    /// Checks that the reply echoes this request's id.
    fn check_echo(&self, response: &Response, id: &str) -> Result<(), UpstreamError> {
        let echo = header(response.headers(), REQUEST_HEADER);
        if echo.as_deref() == Some(id) {
            return Ok(());
        }
        self.pool.discard_connections();
        let echoed = echo.map_or("no request".to_owned(), |echo| format!("request {echo}"));
        let detail = format!("reply to {echoed}");
        Err(UpstreamError::new(Fault::Crossed, Ran::Unknown, detail))
    }

    async fn reply(&self, response: Response) -> Result<Reply, UpstreamError> {
        let status = response.status();
        let not_run = header(response.headers(), RAN_HEADER).as_deref() == Some("no");
        let content_type = header(response.headers(), CONTENT_TYPE.as_str());
        let is_delimited = is_delimited(&response);
        let body = self.pool.read_body(response).await?;
        if not_run {
            return Err(not_run_error(status));
        }
        if !is_delimited {
            return Err(invalid_response("a reply with neither a length nor chunks"));
        }
        Ok(Reply {
            status: status.as_u16(),
            content_type,
            body,
        })
    }
}

/// Whether a reply's body shows where it ends.
fn is_delimited(response: &Response) -> bool {
    let has_length = || response.content_length().is_some();
    is_chunked(response.headers()).unwrap_or_else(has_length)
}

fn not_run_error(status: StatusCode) -> UpstreamError {
    let fault = match status {
        StatusCode::TOO_MANY_REQUESTS => Fault::Busy,
        StatusCode::SERVICE_UNAVAILABLE => Fault::Leaving,
        _ if status.is_client_error() => Fault::Refused,
        _ => {
            return invalid_response(format!("status {status} that claims not to have run"));
        }
    };
    UpstreamError::new(fault, Ran::No, format!("status {status}"))
}

fn header(headers: &HeaderMap, name: &str) -> Option<SmolStr> {
    headers.get(name)?.to_str().ok().map(SmolStr::new)
}

impl PlainService for HttpWorker {
    fn call(&self, call: Call) -> BoxFuture<'_, Result<Reply, UpstreamError>> {
        self.exchange(call).boxed()
    }
}
