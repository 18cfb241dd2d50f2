//! Messages between routers.

use crate::chain::BlockKey;
use crate::ids::{TeamId, UpstreamId};
use crate::quantity::{Incarnation, Tokens};
use serde::{Deserialize, Serialize};

/// A summary of a router's traffic, sent to its peers about once a second.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The most requested prefixes with their rates in requests per second, highest rate first.
    pub heat: Vec<(BlockKey, f32)>,
    /// Demand of each team in prompt tokens per second.
    pub demand: Vec<(TeamId, f64)>,
    /// Prompt tokens that this router has sent to each engine and whose prefill is not finished.
    pub prefill: Vec<(UpstreamId, Tokens)>,
    /// Long prompts of this router in prefill on an engine, with their blocks.
    #[serde(default)]
    pub cold: Vec<ColdPrompt>,
}

/// A long prompt in prefill.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ColdPrompt {
    /// Engine that runs the prefill.
    pub engine: UpstreamId,
    /// Incarnation of the engine that the prompt was sent to.
    pub incarnation: Incarnation,
    /// Keys of the prompt's blocks, shortest prefix first.
    pub keys: Vec<BlockKey>,
}

/// A router's view of the engines' caches, sent to a peer that has just started.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Warmth {
    /// Cache contents per engine.
    pub engines: Vec<EngineCache>,
    /// Traffic of the sender and, as far as it knows, of its peers.
    pub digest: Digest,
}

/// A router's view of one engine's cache, which may be out of date.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineCache {
    /// The engine.
    pub engine: UpstreamId,
    /// Incarnation the contents belong to.
    pub incarnation: Incarnation,
    /// Number of the newest cache event applied.
    pub newest: u64,
    /// Keys of the cached blocks, most recently used first.
    pub keys: Vec<BlockKey>,
}
