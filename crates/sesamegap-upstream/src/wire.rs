//! Messages between clients and upstreams, in addition to those of `sesamegap-wire`.
//!
//! An engine answers a dispatch with server-sent events, each carrying an [`Envelope`] as JSON.
//! Every message names its request and attempt, including a [`Refusal`]: a refusal delivered on the
//! wrong connection must not make a router believe that its own request did not run.

use crate::error::{Fault, Ran, UpstreamError};
use serde::{Deserialize, Serialize};
use sesamegap_wire::engine::Chunk;
use sesamegap_wire::{BlockKey, RequestId};

/// Header that carries the request id, which a plain service's worker echoes.
pub const REQUEST_HEADER: &str = "sesamegap-request";
/// Header by which a plain service's worker reports that it did not run the call.
pub const RAN_HEADER: &str = "sesamegap-ran";
/// Header that carries the idempotency key to a plain service's worker.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// One event of a response stream, with the attempt it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// The event.
    pub chunk: Chunk,
}

/// An engine's rejection of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// Why.
    pub fault: Fault,
    /// Whether the engine may have run it.
    pub ran: Ran,
    /// Description of the cause.
    pub detail: String,
}

impl Refusal {
    /// Converts the refusal into an error, [`Fault::Crossed`] if it is for another attempt.
    pub fn into_error_for(self, request: &RequestId, attempt: u32) -> UpstreamError {
        if self.request == *request && self.attempt == attempt {
            return UpstreamError::new(self.fault, self.ran, self.detail);
        }
        let detail = format!("refusal of {} attempt {}", self.request, self.attempt);
        UpstreamError::new(Fault::Crossed, Ran::Unknown, detail)
    }
}

/// A query for the blocks that a kept-KV store holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldPrefixRequest {
    /// The keys, outermost prefix first.
    pub keys: Vec<BlockKey>,
}

/// How many of the queried keys a kept-KV store holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldPrefixResponse {
    /// Number of consecutive keys held, starting with the first.
    pub held: usize,
}
