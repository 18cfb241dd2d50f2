//! Reading one event of an answer.
//!
//! Every token of every answer passes here. So the request is compared as text instead of being
//! parsed, and the chunk is read as one flat object: reading it by its tag would first copy the
//! whole object, which took more than half of the time.

use crate::client::invalid_response;
use crate::error::{Fault, Ran, UpstreamError};
use serde::Deserialize;
use sesamegap_wire::engine::Chunk;
use sesamegap_wire::{RequestId, Seq, Tokens};
use smol_str::SmolStr;
use std::borrow::Cow;

/// Characters shown of a request id that is not the one asked for.
const MAX_SHOWN_CHARS: usize = 128;

/// Recognises the events of one attempt.
#[derive(Debug)]
pub struct ChunkDecoder {
    request: String,
    attempt: u32,
}

/// An [`Envelope`](crate::wire::Envelope) as it stands on the wire.
#[derive(Deserialize)]
struct BorrowedEnvelope<'a> {
    #[serde(borrow)]
    request: Cow<'a, str>,
    attempt: u32,
    #[serde(borrow)]
    chunk: FlatChunk<'a>,
}

/// The fields of all kinds of [`Chunk`].
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
    /// Takes the events of this attempt.
    pub fn new(request: &RequestId, attempt: u32) -> Self {
        Self {
            request: request.to_string(),
            attempt,
        }
    }

    /// Reads one event and checks whose answer it belongs to.
    ///
    /// # Errors
    /// [`Fault::Crossed`] if it belongs to another attempt, [`Fault::Broken`] if it is no event.
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
