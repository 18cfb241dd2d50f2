//! Client interface of a plain service's worker.

mod http;

pub use http::HttpWorker;

use crate::error::UpstreamError;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use sesamegap_wire::RequestId;
use smol_str::SmolStr;
use std::fmt;
use std::time::Duration;

/// One call to a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request id, echoed by the worker so that a reply to another request is detected.
    pub request: RequestId,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query below the service's root.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<SmolStr>,
    /// Body.
    pub body: Bytes,
    /// Idempotency key, passed on to the worker.
    pub idempotency_key: Option<SmolStr>,
    /// Timeout of the whole call.
    pub timeout: Duration,
}

/// A worker's reply.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<SmolStr>,
    /// Complete body.
    pub body: Bytes,
}

/// A client of one worker of a plain service.
pub trait PlainService: Send + Sync + fmt::Debug {
    /// Makes a call and returns the complete reply.
    ///
    /// # Errors
    /// [`Ran::No`](crate::Ran::No) only if nothing was sent or the worker said so.
    fn call(&self, call: Call) -> BoxFuture<'_, Result<Reply, UpstreamError>>;
}
