//! HTTP client of the kept-KV store: `POST /v1/held` takes keys and returns how many are held.

use super::KvStore;
use crate::client::fetch_json;
use crate::error::UpstreamError;
use crate::wire::{HeldPrefixRequest, HeldPrefixResponse};
use futures_util::future::{BoxFuture, FutureExt};
use reqwest::Method;
use sesamegap_http::{Pool, Settings};
use sesamegap_wire::BlockKey;
use std::time::Duration;

/// A client of the kept-KV store.
#[derive(Debug, Clone)]
pub struct HttpStore {
    pool: Pool,
}

impl HttpStore {
    /// Creates a client of the store at `http://IP:PORT`.
    pub fn new(base: impl Into<String>, settings: Settings) -> Self {
        Self {
            pool: Pool::new(base, settings),
        }
    }

    async fn count(&self, keys: &[BlockKey]) -> Result<usize, UpstreamError> {
        let keys = keys.to_vec();
        let query = HeldPrefixRequest { keys };
        let request = self.pool.request(Method::POST, "/v1/held").json(&query);
        let answer: HeldPrefixResponse = fetch_json(&self.pool, request, Duration::ZERO).await?;
        // A count above the number of keys would make the caller index out of bounds.
        Ok(answer.held.min(query.keys.len()))
    }
}

impl KvStore for HttpStore {
    fn held_prefix_len<'a>(
        &'a self,
        keys: &'a [BlockKey],
    ) -> BoxFuture<'a, Result<usize, UpstreamError>> {
        self.count(keys).boxed()
    }
}
