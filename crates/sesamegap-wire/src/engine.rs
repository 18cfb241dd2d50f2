//! Messages between the system and its upstreams, independent of the transport protocol.
//!
//! They are defined here rather than with the clients, so that policy code can use them without
//! depending on network code.

use crate::chain::BlockKey;
use crate::ids::{DomainId, ModelId, RequestId, UpstreamId};
use crate::quantity::{Fence, Incarnation, Seq, Tokens, WeightsVersion};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::time::Duration;

/// A model engine as listed in the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// The engine's name.
    pub id: UpstreamId,
    /// Failure domain of the engine.
    pub domain: DomainId,
    /// Whether the engine is draining and must get no new requests.
    pub leaving: bool,
}

/// A request as sent to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Id that matches answers and resumed attempts to the request.
    pub request: RequestId,
    /// Number of this attempt at the request, counted from 0 across all engines.
    pub attempt: u32,
    /// Incarnation of the engine that the placement decision assumed.
    pub incarnation: Incarnation,
    /// Model that must produce the answer.
    pub model: ModelId,
    /// Weights version that must produce the answer.
    pub version: WeightsVersion,
    /// Keys of the prompt's full blocks.
    pub blocks: Vec<BlockKey>,
    /// The prompt.
    pub prompt: String,
    /// Text already sent to the caller, which the engine continues.
    pub prefix: String,
    /// Number of tokens in `prefix`, and so the sequence number of the first chunk.
    pub start: Seq,
    /// Maximum number of tokens in the answer, including `prefix`.
    pub answer: Tokens,
    /// Priority in the engine's own batch; higher values go first.
    pub priority: u8,
    /// Upstream to import cache blocks from before prefill, if that is worthwhile.
    pub import: Option<UpstreamId>,
    /// Idempotency key, for upstreams that record executions.
    pub key: Option<SmolStr>,
}

/// An event in the stream of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Chunk {
    /// The engine has accepted the request and looked up its cache.
    Start {
        /// Prompt tokens found in the engine's cache.
        cached: Tokens,
    },
    /// A token of the answer.
    Token {
        /// Position of the token in the answer.
        seq: Seq,
        /// Text of the token.
        text: SmolStr,
    },
    /// Heartbeat: the engine is still working on the answer.
    Beat,
    /// The answer is complete.
    End {
        /// Number of tokens in the complete answer.
        count: Seq,
    },
}

/// A change in an engine's cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum CacheEvent {
    /// Blocks were added to the cache.
    Stored {
        /// Keys of the blocks.
        keys: Vec<BlockKey>,
    },
    /// Blocks were removed from the cache.
    Evicted {
        /// Keys of the blocks.
        keys: Vec<BlockKey>,
    },
}

/// Cache events in order; a jump in the event numbers means that events were missed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheBatch {
    /// Incarnation the events belong to.
    pub incarnation: Incarnation,
    /// Events with their numbers, in increasing order.
    pub events: Vec<(u64, CacheEvent)>,
    /// Number of the newest event published so far.
    pub newest: u64,
}

/// A full listing of the blocks in an engine's cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Incarnation the listing belongs to.
    pub incarnation: Incarnation,
    /// Number of the newest event that the listing includes.
    pub newest: u64,
    /// Keys of all cached blocks.
    pub keys: Vec<BlockKey>,
}

/// The load that an engine reports, with a delay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Current incarnation of the engine.
    pub incarnation: Incarnation,
    /// Age of the figures.
    pub age: Duration,
    /// Number of requests being answered.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Prompt tokens whose prefill is not finished.
    pub prefill: Tokens,
    /// Capacity of the cache in blocks.
    pub capacity: u64,
    /// Loaded weights versions per model.
    pub loaded: Vec<(ModelId, WeightsVersion)>,
    /// Whether the engine is loading weights.
    pub loading: bool,
    /// Whether the engine is draining and accepts no new requests.
    pub leaving: bool,
    /// Highest fencing number seen, or `None` if the engine does not check them.
    pub fence: Option<Fence>,
}

/// The desired state of the weights on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Wanted {
    /// Have this version loaded.
    Load {
        /// Model to load.
        model: ModelId,
        /// Version to load.
        version: WeightsVersion,
    },
    /// Have no version of this model below the given one loaded.
    Drop {
        /// Model whose older versions are unloaded.
        model: ModelId,
        /// Lowest version to keep.
        below: WeightsVersion,
    },
}

/// A command to an engine. It states a desired state, so it is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which the order is given.
    pub fence: Fence,
    /// The desired state.
    pub wanted: Wanted,
}

/// An engine's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// Accepted; the load report shows when the order is carried out.
    Taken,
    /// Rejected, because the engine has seen an order with a higher fencing number.
    Fenced,
}
