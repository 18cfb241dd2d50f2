//! HTTP client of a model engine, which streams responses as server-sent events.
//!
//! | request | response |
//! |---|---|
//! | `POST /v1/generate` with a [`Dispatch`] | 200 and events of [`Envelope`](crate::wire::Envelope), or a [`Refusal`] |
//! | `GET /v1/generate/{request}/{attempt}?from=SEQ` | the same, starting at that sequence number |
//! | `DELETE /v1/generate/{request}/{attempt}` | 204 |
//! | `GET /v1/events?after=N&wait=MILLISECONDS` | a [`CacheBatch`] |
//! | `GET /v1/listing` | a [`Listing`] |
//! | `GET /v1/load` | a [`LoadReport`] |
//! | `POST /v1/order` with an [`Order`] | an [`OrderAnswer`] |
//!
//! All bodies are JSON. A refusal counts only if it names the attempt; any other response that is
//! not a stream leaves unknown whether the request ran.

use super::decoder::ChunkDecoder;
use super::{ChunkStream, Engine, chunks};
use crate::client::{check_status, fetch_json, invalid_response};
use crate::error::{Fault, UpstreamError};
use crate::wire::Refusal;
use futures_util::future::{BoxFuture, FutureExt};
use reqwest::{Method, RequestBuilder, Response};
use sesamegap_http::{Pool, Settings};
use sesamegap_wire::engine::{CacheBatch, Dispatch, Listing, LoadReport, Order, OrderAnswer};
use sesamegap_wire::{RequestId, Seq};
use std::time::Duration;

/// A client of one model engine.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    pool: Pool,
}

impl HttpEngine {
    /// Creates a client of the engine at `http://IP:PORT`.
    pub fn new(base: impl Into<String>, settings: Settings) -> Self {
        Self {
            pool: Pool::new(base, settings),
        }
    }

    async fn stream(
        &self,
        builder: RequestBuilder,
        request: RequestId,
        attempt: u32,
    ) -> Result<ChunkStream, UpstreamError> {
        let sent = self.pool.send(builder, Duration::ZERO).await;
        let response = sent?;
        if response.status().is_success() {
            let pool = self.pool.clone();
            let decoder = ChunkDecoder::new(&request, attempt);
            return Ok(chunks::stream(pool, response, decoder));
        }
        Err(self.refusal(response, &request, attempt).await)
    }

    async fn refusal(
        &self,
        response: Response,
        request: &RequestId,
        attempt: u32,
    ) -> UpstreamError {
        let status = response.status();
        let body = match self.pool.read_body(response).await {
            Ok(body) => body,
            Err(failure) => return failure.into(),
        };
        let Ok(refusal) = serde_json::from_slice::<Refusal>(&body) else {
            return invalid_response(format!("status {status} without a refusal"));
        };
        let error = refusal.into_error_for(request, attempt);
        if error.fault() == Fault::Crossed {
            self.pool.discard_connections();
        }
        error
    }

    fn get(&self, path: &str) -> RequestBuilder {
        self.pool.request(Method::GET, path)
    }
}

impl Engine for HttpEngine {
    fn generate(&self, dispatch: Dispatch) -> BoxFuture<'_, Result<ChunkStream, UpstreamError>> {
        let builder = self
            .pool
            .request(Method::POST, "/v1/generate")
            .json(&dispatch);
        self.stream(builder, dispatch.request, dispatch.attempt)
            .boxed()
    }

    fn resume<'a>(
        &'a self,
        request: &'a RequestId,
        attempt: u32,
        from: Seq,
    ) -> BoxFuture<'a, Result<ChunkStream, UpstreamError>> {
        let builder = self.get(&format!("/v1/generate/{request}/{attempt}?from={from}"));
        self.stream(builder, request.clone(), attempt).boxed()
    }

    fn cancel<'a>(
        &'a self,
        request: &'a RequestId,
        attempt: u32,
    ) -> BoxFuture<'a, Result<(), UpstreamError>> {
        let path = format!("/v1/generate/{request}/{attempt}");
        let builder = self.pool.request(Method::DELETE, &path);
        async move {
            let sent = self.pool.send(builder, Duration::ZERO).await;
            check_status(sent?).map(drop)
        }
        .boxed()
    }

    fn events(
        &self,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<CacheBatch, UpstreamError>> {
        let path = format!("/v1/events?after={after}&wait={}", wait.as_millis());
        fetch_json(&self.pool, self.get(&path), wait).boxed()
    }

    fn listing(&self) -> BoxFuture<'_, Result<Listing, UpstreamError>> {
        fetch_json(&self.pool, self.get("/v1/listing"), Duration::ZERO).boxed()
    }

    fn load(&self) -> BoxFuture<'_, Result<LoadReport, UpstreamError>> {
        fetch_json(&self.pool, self.get("/v1/load"), Duration::ZERO).boxed()
    }

    fn order<'a>(&'a self, order: &'a Order) -> BoxFuture<'a, Result<OrderAnswer, UpstreamError>> {
        let request = self.pool.request(Method::POST, "/v1/order").json(order);
        fetch_json(&self.pool, request, Duration::ZERO).boxed()
    }
}
