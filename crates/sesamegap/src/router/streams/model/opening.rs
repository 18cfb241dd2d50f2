//! Reads an engine's stream up to its first token.
//!
//! Until then nothing has reached the caller, so two attempts at one request may run beside each
//! other, and the one that gives a token first is gone on with.

use crate::router::deciding::DeciderHandle;
use futures_util::StreamExt;
use sesamegap_policy::Observation;
use sesamegap_upstream::{ChunkStream, Engine, Ran, UpstreamError};
use sesamegap_wire::engine::{Chunk, Dispatch};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// A stream that has begun.
pub(super) struct Opened {
    /// What came before and with the first token.
    pub chunks: Vec<Chunk>,
    /// What is still to come.
    pub rest: ChunkStream,
}

/// Why no stream has begun.
#[derive(Debug)]
pub(super) enum Unopened {
    /// The engine certainly did not run the request.
    NotRun(UpstreamError),
    /// It may have: the stream can be asked for again.
    Broken,
}

/// Limits on waiting.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// For the engine to take the request.
    pub taking: Duration,
    /// Between two chunks.
    pub silence: Duration,
}

/// Sends a request and reads up to the first token.
///
/// The decider hears of the start as it comes, not with the first token: it learns the engine's
/// speed from the time between the two.
pub(super) async fn open(
    engine: Arc<dyn Engine>,
    dispatch: Dispatch,
    limits: Limits,
    decider: DeciderHandle,
) -> Result<Opened, Unopened> {
    let request = dispatch.request.clone();
    let mut rest = match timeout(limits.taking, engine.generate(dispatch)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.ran() == Ran::No => return Err(Unopened::NotRun(error)),
        Ok(Err(_)) | Err(_) => return Err(Unopened::Broken),
    };
    let mut chunks = Vec::new();
    loop {
        let Ok(Some(Ok(chunk))) = timeout(limits.silence, rest.next()).await else {
            return Err(Unopened::Broken);
        };
        if let Chunk::Start { cached } = &chunk {
            decider.observe(Observation::Started(request.clone(), *cached));
        }
        let begun = matches!(chunk, Chunk::Token { .. } | Chunk::End { .. });
        if !matches!(chunk, Chunk::Beat) {
            chunks.push(chunk);
        }
        if begun {
            return Ok(Opened { chunks, rest });
        }
    }
}
