//! Decoding of one event of a response stream.
//!
//! This runs for every token of every response. So the request id is compared as text instead of
//! being parsed, and the chunk is deserialized as one flat object: deserializing it as a tagged
//! enum buffers the whole object first, which took more than half of the time.

use crate::client::invalid_response;
use crate::error::{Fault, Ran, UpstreamError};
use serde::Deserialize;
use sesamegap_wire::engine::Chunk;
use sesamegap_wire::{RequestId, Seq, Tokens};
use smol_str::SmolStr;
use std::borrow::Cow;

/// Characters of a mismatched request id that are included in the error.
const MAX_SHOWN_CHARS: usize = 128;

/// Decodes the events of one attempt.
#[derive(Debug)]
pub struct ChunkDecoder {
    request: String,
    attempt: u32,
}

/// An [`Envelope`](crate::wire::Envelope) that borrows from the event's data.
#[derive(Deserialize)]
struct BorrowedEnvelope<'a> {
    #[serde(borrow)]
    request: Cow<'a, str>,
    attempt: u32,
    #[serde(borrow)]
    chunk: FlatChunk<'a>,
}

/// The fields of all variants of [`Chunk`].
#[derive(Deserialize)]
struct FlatChunk<'a> {
    #[serde(borrow)]
    kind: Cow<'a, str>,
    cached: Option<Tokens>,
    seq: Option<Seq>,
    text: Option<SmolStr>,
    count: Option<Seq>,
}

impl FlatChunk<'_> {
    fn into_chunk(self) -> Option<Chunk> {
        let chunk = match &*self.kind {
            "start" => Chunk::Start {
                cached: self.cached?,
            },
            "token" => Chunk::Token {
                seq: self.seq?,
                text: self.text?,
            },
            "beat" => Chunk::Beat,
            "end" => Chunk::End { count: self.count? },
            _ => return None,
        };
        Some(chunk)
    }
}

impl ChunkDecoder {
    /// Creates a decoder for the events of this attempt.
    pub fn new(request: &RequestId, attempt: u32) -> Self {
        Self {
            request: request.to_string(),
            attempt,
        }
    }

    /// Decodes one event and checks that it belongs to this attempt.
    ///
    /// # Errors
    /// [`Fault::Crossed`] if it belongs to another attempt, [`Fault::Broken`] if it is invalid.
    pub fn decode(&self, data: &str) -> Result<Chunk, UpstreamError> {
        let envelope: BorrowedEnvelope<'_> =
            serde_json::from_str(data).map_err(|e| invalid_response(format!("no chunk: {e}")))?;
        if envelope.request == self.request && envelope.attempt == self.attempt {
            let chunk = envelope.chunk.into_chunk();
            return chunk.ok_or_else(|| invalid_response("a chunk of no known kind"));
        }
        let shown: String = envelope.request.chars().take(MAX_SHOWN_CHARS).collect();
        let detail = format!("answer to {shown} attempt {}", envelope.attempt);
        Err(UpstreamError::new(Fault::Crossed, Ran::Unknown, detail))
    }
}
