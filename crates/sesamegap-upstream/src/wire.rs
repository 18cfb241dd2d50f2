//! What clients and upstreams write to each other, beside the messages of `sesamegap-wire`.
//!
//! An engine answers a dispatch with server-sent events, the data of each an [`Envelope`] in JSON.
//! Whatever it says of a request names the request and the attempt, a [`Refusal`] too: one that
//! arrives on the wrong connection must not make a router believe that its own request never ran.

use crate::error::{Fault, Ran, UpstreamError};
use serde::{Deserialize, Serialize};
use sesamegap_wire::engine::Chunk;
use sesamegap_wire::{BlockKey, RequestId};

/// Header by which a plain service's worker echoes the request.
pub const REQUEST_HEADER: &str = "sesamegap-request";
/// Header by which a plain service's worker says that it did not run the call.
pub const RAN_HEADER: &str = "sesamegap-ran";
/// Header that carries the idempotency key to a plain service's worker.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// One event of an answer's stream and the attempt it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// The event.
    pub chunk: Chunk,
}

/// What an engine says when it does not run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// Why.
    pub fault: Fault,
    /// Whether the engine ran it all the same.
    pub ran: Ran,
    /// The cause in words.
    pub detail: String,
}

impl Refusal {
    /// Takes the refusal if it is about the attempt that was asked for.
    pub fn into_error_for(self, request: &RequestId, attempt: u32) -> UpstreamError {
        if self.request == *request && self.attempt == attempt {
            return UpstreamError::new(self.fault, self.ran, self.detail);
        }
        let detail = format!("refusal of {} attempt {}", self.request, self.attempt);
        UpstreamError::new(Fault::Crossed, Ran::Unknown, detail)
    }
}

/// Keys asked of a kept-KV store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldPrefixRequest {
    /// The keys, outermost prefix first.
    pub keys: Vec<BlockKey>,
}

/// How many of the keys a kept-KV store holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldPrefixResponse {
    /// Count from the first key on, without a gap.
    pub held: usize,
}
