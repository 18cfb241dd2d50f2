//! Messages that routers send each other.

use crate::chain::BlockKey;
use crate::ids::{TeamId, UpstreamId};
use crate::quantity::{Incarnation, Tokens};
use serde::{Deserialize, Serialize};

/// What a router tells its peers of the traffic it sees, once a second or so.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The hottest prefixes with their rate in requests a second, hottest first.
    pub heat: Vec<(BlockKey, f32)>,
    /// Demand of each team in prompt tokens a second.
    pub demand: Vec<(TeamId, f64)>,
    /// Prompt tokens this router has sent to each engine and that are not yet computed.
    pub prefill: Vec<(UpstreamId, Tokens)>,
    /// Long prompts that an engine is computing for this router, with their blocks.
    #[serde(default)]
    pub cold: Vec<ColdPrompt>,
}

/// A long prompt under way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ColdPrompt {
    /// The engine that computes it.
    pub engine: UpstreamId,
    /// Incarnation of the engine it was sent to.
    pub incarnation: Incarnation,
    /// The prompt's blocks, outermost first.
    pub keys: Vec<BlockKey>,
}

/// Cache contents a router believes in, for a peer that has just started.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Warmth {
    /// The engines' contents.
    pub engines: Vec<EngineCache>,
    /// The sender's own traffic and what it knows of its peers'.
    pub digest: Digest,
}

/// What one engine is believed to hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineCache {
    /// The engine.
    pub engine: UpstreamId,
    /// Incarnation the contents belong to.
    pub incarnation: Incarnation,
    /// Number of the newest event taken in.
    pub newest: u64,
    /// Keys held, most recently used first.
    pub keys: Vec<BlockKey>,
}
