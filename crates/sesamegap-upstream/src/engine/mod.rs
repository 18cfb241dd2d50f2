//! Client interface of a model engine.
//!
//! A dispatch names the incarnation on which the routing decision relied; an engine with another
//! incarnation rejects it without running it. Each chunk of a response names its request and its
//! sequence number, so that duplicated, lost, reordered or misdelivered chunks are detected. The
//! engine sends heartbeats between chunks, so that a read timeout detects a stalled stream.

mod chunks;
pub mod decoder;
mod http;

pub use http::HttpEngine;

use crate::error::UpstreamError;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;
use sesamegap_wire::engine::{
    CacheBatch, Chunk, Dispatch, Listing, LoadReport, Order, OrderAnswer,
};
use sesamegap_wire::{RequestId, Seq};
use std::fmt;
use std::time::Duration;

/// The chunks of a response, each checked to belong to its request.
pub type ChunkStream = BoxStream<'static, Result<Chunk, UpstreamError>>;

/// A client of one model engine.
pub trait Engine: Send + Sync + fmt::Debug {
    /// Sends a request and returns its response stream once the engine has accepted it.
    ///
    /// # Errors
    /// [`Ran::No`](crate::Ran::No) only if nothing was sent or the engine reported that it did not
    /// run the request.
    fn generate(&self, dispatch: Dispatch) -> BoxFuture<'_, Result<ChunkStream, UpstreamError>>;

    /// Resumes a stream at chunk `from`, on a new connection.
    ///
    /// # Errors
    /// [`Fault::Forgotten`](crate::error::Fault::Forgotten) if the engine no longer
    /// keeps the stream, for instance after a restart.
    fn resume<'a>(
        &'a self,
        request: &'a RequestId,
        attempt: u32,
        from: Seq,
    ) -> BoxFuture<'a, Result<ChunkStream, UpstreamError>>;

    /// Cancels a request whose response is no longer needed.
    ///
    /// # Errors
    /// If the engine cannot be reached; the request then ends at the engine's own limits.
    fn cancel<'a>(
        &'a self,
        request: &'a RequestId,
        attempt: u32,
    ) -> BoxFuture<'a, Result<(), UpstreamError>>;

    /// Reads the cache events after number `after`, waiting up to `wait` for one.
    ///
    /// # Errors
    /// If the engine cannot be reached.
    fn events(
        &self,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<CacheBatch, UpstreamError>>;

    /// Lists all cached blocks.
    ///
    /// # Errors
    /// If the engine cannot be reached.
    fn listing(&self) -> BoxFuture<'_, Result<Listing, UpstreamError>>;

    /// Reads the engine's load report.
    ///
    /// # Errors
    /// If the engine cannot be reached.
    fn load(&self) -> BoxFuture<'_, Result<LoadReport, UpstreamError>>;

    /// Sends an order that sets the engine's state.
    ///
    /// # Errors
    /// If no response arrived; the order may have taken effect nevertheless.
    fn order<'a>(&'a self, order: &'a Order) -> BoxFuture<'a, Result<OrderAnswer, UpstreamError>>;
}
