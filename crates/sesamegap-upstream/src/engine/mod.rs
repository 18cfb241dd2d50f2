//! A model engine as the router sees it.
//!
//! A dispatch names the incarnation that the decision relied on; an engine of another incarnation
//! refuses it without running it. Each chunk of an answer names its request and its place, so that
//! a doubled, dropped, reordered or crossed one is noticed. Silence is bounded by heartbeats that
//! the engine sends between chunks.

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

/// The chunks of an answer, each already matched to its request.
pub type ChunkStream = BoxStream<'static, Result<Chunk, UpstreamError>>;

/// A client of one model engine.
pub trait Engine: Send + Sync + fmt::Debug {
    /// Sends a request and returns its answer's stream once the engine has taken it.
    ///
    /// # Errors
    /// [`Ran::No`](crate::Ran::No) only if nothing was written or the engine said that it did
    /// not run the request.
    fn generate(&self, dispatch: Dispatch) -> BoxFuture<'_, Result<ChunkStream, UpstreamError>>;

    /// Takes up a stream again, on a new connection, with the first chunk not yet received.
    ///
    /// # Errors
    /// [`Fault::Forgotten`](crate::error::Fault::Forgotten) if the engine restarted or dropped it.
    fn resume<'a>(
        &'a self,
        request: &'a RequestId,
        attempt: u32,
        from: Seq,
    ) -> BoxFuture<'a, Result<ChunkStream, UpstreamError>>;

    /// Stops a request that nobody waits for any longer.
    ///
    /// # Errors
    /// If the engine cannot be reached; it stops by itself at its own limits.
    fn cancel<'a>(
        &'a self,
        request: &'a RequestId,
        attempt: u32,
    ) -> BoxFuture<'a, Result<(), UpstreamError>>;

    /// Reads cache events after a number, waiting up to `wait` for one.
    ///
    /// # Errors
    /// If the engine cannot be reached.
    fn events(
        &self,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<CacheBatch, UpstreamError>>;

    /// Lists all blocks held.
    ///
    /// # Errors
    /// If the engine cannot be reached.
    fn listing(&self) -> BoxFuture<'_, Result<Listing, UpstreamError>>;

    /// Reads the engine's report of itself.
    ///
    /// # Errors
    /// If the engine cannot be reached.
    fn load(&self) -> BoxFuture<'_, Result<LoadReport, UpstreamError>>;

    /// Orders the engine into a state.
    ///
    /// # Errors
    /// If no answer came; the order may have been taken all the same.
    fn order<'a>(&'a self, order: &'a Order) -> BoxFuture<'a, Result<OrderAnswer, UpstreamError>>;
}
