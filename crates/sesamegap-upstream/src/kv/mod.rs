//! Client interface of the kept-KV store, which holds cache blocks that engines have evicted.

mod http;

pub use http::HttpStore;

use crate::error::UpstreamError;
use futures_util::future::BoxFuture;
use sesamegap_wire::BlockKey;
use std::fmt;

/// A client of the kept-KV store.
pub trait KvStore: Send + Sync + fmt::Debug {
    /// Returns how many consecutive keys the store holds, starting with the first.
    ///
    /// # Errors
    /// If the store cannot be reached.
    fn held_prefix_len<'a>(
        &'a self,
        keys: &'a [BlockKey],
    ) -> BoxFuture<'a, Result<usize, UpstreamError>>;
}
