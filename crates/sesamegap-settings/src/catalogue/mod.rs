//! The settings in force, with every inheritance resolved.
//!
//! A catalogue is made anew from the tree after each accepted change and shared read-only; no
//! reader ever sees half a change.

mod checks;
pub(crate) mod resolve;
pub mod teams;

pub use teams::Teams;

use crate::keys::Keys;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{ClassId, ModelId, Offset, ServiceId, Tokens, UpstreamId, WeightsVersion};
use std::collections::BTreeMap;
use std::time::Duration;

/// All settings in force at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Offset after that of the last change accepted; 0 is the empty tree.
    pub revision: Offset,
    /// Teams by name.
    pub teams: Teams,
    /// Traffic classes by name.
    pub classes: BTreeMap<ClassId, ClassSpec>,
    /// Model deployments by the model's name.
    pub models: BTreeMap<ModelId, ModelSpec>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Which team each key belongs to.
    pub keys: Keys,
}

/// What a team may do, and its share when there is not enough for all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamSpec {
    /// BLAKE3 hashes of the team's keys, in hexadecimal; keys themselves are never stored.
    pub key_hashes: Vec<String>,
    /// Share of the engines relative to other teams when demand exceeds them.
    pub weight: f64,
    /// Prompt tokens a second over all routers; `None` is unlimited.
    pub rate: Option<f64>,
    /// Prompt tokens that may come at once above the rate.
    pub burst: Tokens,
    /// Class of a request that names none.
    pub class: ClassId,
    /// Models the team may ask; empty means all.
    pub models: Vec<ModelId>,
}

/// What callers of a traffic class are promised.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassSpec {
    /// Higher goes first; refusals fall on the lowest first.
    pub priority: u8,
    /// Time from arrival to the first token after which an answer is of no use.
    pub deadline: Duration,
    /// Time from arrival to the end of the answer.
    pub total: Duration,
    /// Attempts after the first, each paid for by the retry budget.
    pub retries: u32,
    /// Prompt tokens that may wait in one router's queue for this class.
    pub queue: Tokens,
    /// Weight of a recomputed token against waiting time: 1 minds time only, more saves tokens.
    pub thrift: f64,
    /// Whether a second attempt may start beside a late first one.
    pub hedge: bool,
}

/// A model deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Weights that answers must come from.
    pub version: WeightsVersion,
    /// Tokens in one cache block.
    pub block: Tokens,
    /// Longest prompt taken.
    pub longest: Tokens,
    /// Longest answer given.
    pub answer: Tokens,
    /// Fewest engines that hold the model.
    pub least: u32,
    /// Engines the deployment may use; empty means any.
    pub engines: Vec<UpstreamId>,
}

/// A plain service beside the engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Whether a call may run twice unless it says otherwise.
    pub repeatable: bool,
    /// Time for one whole call.
    pub timeout: Duration,
    /// Calls in flight to one worker.
    pub window: u32,
    /// Largest body taken, in bytes.
    pub body: u64,
}
