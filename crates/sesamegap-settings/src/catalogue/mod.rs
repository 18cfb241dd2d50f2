//! The effective settings, with all inherited values filled in.
//!
//! Each accepted change produces a new catalogue, which is shared read-only, so readers never see
//! a partially applied change.

mod checks;
pub(crate) mod resolve;
pub mod teams;

pub use teams::Teams;

use crate::keys::Keys;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{ClassId, ModelId, Offset, ServiceId, Tokens, UpstreamId, WeightsVersion};
use std::collections::BTreeMap;
use std::time::Duration;

/// All effective settings at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Offset following that of the last accepted change; 0 for the empty tree.
    pub revision: Offset,
    /// Teams by name.
    pub teams: Teams,
    /// Traffic classes by name.
    pub classes: BTreeMap<ClassId, ClassSpec>,
    /// Model deployments by the model's name.
    pub models: BTreeMap<ModelId, ModelSpec>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Teams by key hash.
    pub keys: Keys,
}

/// Permissions and limits of a team, and its share when capacity is scarce.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamSpec {
    /// BLAKE3 hashes of the team's keys in hexadecimal; the keys themselves are never stored.
    pub key_hashes: Vec<String>,
    /// Share of engine capacity relative to other teams when demand exceeds capacity.
    pub weight: f64,
    /// Prompt tokens per second over all routers; `None` means unlimited.
    pub rate: Option<f64>,
    /// Burst above the rate, in prompt tokens.
    pub burst: Tokens,
    /// Default class of a request that names none.
    pub class: ClassId,
    /// Models the team may use; empty means all.
    pub models: Vec<ModelId>,
}

/// Priority, time limits and retry policy of a traffic class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassSpec {
    /// Higher is served first; under overload the lowest is rejected first.
    pub priority: u8,
    /// Time from arrival within which the first token must be sent. A later answer is useless.
    pub deadline: Duration,
    /// Time limit from arrival to the end of the answer.
    pub total: Duration,
    /// Maximum number of retries, each charged to the retry budget.
    pub retries: u32,
    /// Prompt tokens that may wait in one router's queue for this class.
    pub queue: Tokens,
    /// Weight of a recomputed token against waiting time.
    ///
    /// At 1 only time counts; above 1, tokens are saved at the cost of time.
    pub thrift: f64,
    /// Whether a second attempt may start while a late first one still runs.
    pub hedge: bool,
}

/// A model deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Version of the weights that answers must come from.
    pub version: WeightsVersion,
    /// Tokens in one cache block.
    pub block: Tokens,
    /// Maximum accepted prompt length.
    pub longest: Tokens,
    /// Maximum answer length.
    pub answer: Tokens,
    /// Minimum number of engines that hold the model.
    pub least: u32,
    /// Engines the deployment may use; empty means any.
    pub engines: Vec<UpstreamId>,
}

/// A plain service beside the engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Whether a call may be executed twice unless the call itself specifies otherwise.
    pub repeatable: bool,
    /// Time limit for a whole call.
    pub timeout: Duration,
    /// Maximum number of calls in flight to one worker.
    pub window: u32,
    /// Maximum accepted body size, in bytes.
    pub body: u64,
}
