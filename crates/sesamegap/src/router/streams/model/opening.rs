//! Reads an engine's stream up to its first token.
//!
//! Nothing has been sent to the caller before then, so two attempts at one request may run
//! concurrently, and the one that produces a token first is continued.

use crate::router::deciding::DeciderHandle;
use futures_util::StreamExt;
use sesamegap_policy::Observation;
use sesamegap_upstream::{ChunkStream, Engine, Ran, UpstreamError};
use sesamegap_wire::engine::{Chunk, Dispatch};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// A stream that has produced its first token or its end.
pub(super) struct Opened {
    /// Chunks up to and including that one.
    pub chunks: Vec<Chunk>,
    /// The rest of the stream.
    pub rest: ChunkStream,
}

/// Why a stream could not be opened.
#[derive(Debug)]
pub(super) enum OpenError {
    /// The engine certainly did not run the request.
    NotRun(UpstreamError),
    /// The engine may have run it; the stream can be resumed.
    Broken,
}

/// Timeouts for reading a stream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Timeouts {
    /// Until the engine accepts the request.
    pub accept: Duration,
    /// Between two chunks.
    pub silence: Duration,
}

/// Sends a request and reads up to the first token.
///
/// The decider is told of the start when it arrives rather than with the first token, because it
/// estimates the engine's speed from the time between the two.
pub(super) async fn open(
    engine: Arc<dyn Engine>,
    dispatch: Dispatch,
    timeouts: Timeouts,
    decider: DeciderHandle,
) -> Result<Opened, OpenError> {
    let request = dispatch.request.clone();
    let mut rest = match timeout(timeouts.accept, engine.generate(dispatch)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.ran() == Ran::No => return Err(OpenError::NotRun(error)),
        Ok(Err(_)) | Err(_) => return Err(OpenError::Broken),
    };
    let mut chunks = Vec::new();
    loop {
        let Ok(Some(Ok(chunk))) = timeout(timeouts.silence, rest.next()).await else {
            return Err(OpenError::Broken);
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
