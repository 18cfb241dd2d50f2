//! What the system and its upstreams tell each other, whatever protocol carries it.
//!
//! These types stand here, and not beside the clients, so that decisions can read them without
//! knowing of sockets.

use crate::chain::BlockKey;
use crate::ids::{DomainId, ModelId, RequestId, UpstreamId};
use crate::quantity::{Fence, Incarnation, Seq, Tokens, WeightsVersion};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::time::Duration;

/// A model engine as the VM list names it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// The engine's name.
    pub id: UpstreamId,
    /// Failure domain it stands in.
    pub domain: DomainId,
    /// Whether it is leaving and must get no new work.
    pub leaving: bool,
}

/// One request as sent to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request, by which answers and resumptions are matched.
    pub request: RequestId,
    /// Counts attempts at this request on any engine, from 0.
    pub attempt: u32,
    /// Incarnation of the engine that the placement relied on.
    pub incarnation: Incarnation,
    /// Model to answer with.
    pub model: ModelId,
    /// Weights to answer with.
    pub version: WeightsVersion,
    /// Keys of the prompt's whole blocks.
    pub blocks: Vec<BlockKey>,
    /// The prompt.
    pub prompt: String,
    /// Text already sent to the caller, which the answer continues.
    pub prefix: String,
    /// Number of tokens in `prefix`: the answer's first chunk has this place.
    pub start: Seq,
    /// Tokens to answer at most, `prefix` included.
    pub answer: Tokens,
    /// Higher goes first in the engine's own batch.
    pub priority: u8,
    /// Where cache blocks may be imported from first, if that is worth it.
    pub import: Option<UpstreamId>,
    /// Idempotency key, for upstreams that record executions.
    pub key: Option<SmolStr>,
}

/// One event of an answer's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Chunk {
    /// The engine has taken the request and looked up its cache.
    Start {
        /// Prompt tokens found in the engine's cache.
        cached: Tokens,
    },
    /// One token of the answer.
    Token {
        /// Its place.
        seq: Seq,
        /// Its text.
        text: SmolStr,
    },
    /// The engine is still at work.
    Beat,
    /// The whole answer was sent.
    End {
        /// Number of tokens of the whole answer.
        count: Seq,
    },
}

/// A change in an engine's cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum CacheEvent {
    /// Blocks are now held.
    Stored {
        /// Their keys.
        keys: Vec<BlockKey>,
    },
    /// Blocks are held no longer.
    Evicted {
        /// Their keys.
        keys: Vec<BlockKey>,
    },
}

/// Cache events in order; a jump in the numbers is a gap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheBatch {
    /// Incarnation the events belong to.
    pub incarnation: Incarnation,
    /// Events with their numbers, rising.
    pub events: Vec<(u64, CacheEvent)>,
    /// Number of the newest event published so far.
    pub newest: u64,
}

/// All blocks an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Incarnation the listing belongs to.
    pub incarnation: Incarnation,
    /// Number of the newest event the listing takes in.
    pub newest: u64,
    /// Keys of all blocks held.
    pub keys: Vec<BlockKey>,
}

/// What an engine says of itself, with a lag.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Present incarnation.
    pub incarnation: Incarnation,
    /// How old the figures are.
    pub age: Duration,
    /// Requests being answered.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    pub prefill: Tokens,
    /// Blocks the cache can hold.
    pub capacity: u64,
    /// Weights loaded.
    pub loaded: Vec<(ModelId, WeightsVersion)>,
    /// Whether a load is under way.
    pub loading: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Highest fencing number seen, if the engine checks them.
    pub fence: Option<Fence>,
}

/// The state an engine is ordered into.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Wanted {
    /// Hold these weights.
    Load {
        /// Model to load.
        model: ModelId,
        /// Version to load.
        version: WeightsVersion,
    },
    /// Hold no version of this model below the given one.
    Drop {
        /// Model to drop.
        model: ModelId,
        /// Lowest version to keep.
        below: WeightsVersion,
    },
}

/// An order, which states a wanted state and may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Lease under which the order is given.
    pub fence: Fence,
    /// The wanted state.
    pub wanted: Wanted,
}

/// What an engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// Taken; the load report shows when it is done.
    Taken,
    /// Refused, because an order with a higher fencing number came before.
    Fenced,
}
