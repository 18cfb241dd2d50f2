//! Messages between a VM and the owner of a shard.

use crate::clock;
use crate::fleet::{PromptShape, Selection, Shard};
use serde::{Deserialize, Serialize};
use sesamegap_policy::admission::{Ask, PutOff};
use sesamegap_policy::routing::engines::{Prefix, Prompt};
use sesamegap_wire::{DomainId, ServiceId, TeamId, UpstreamId};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// A message between a VM and an owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PlacementMessage {
    /// Asks the owner to place a prompt.
    Ask(Box<PlacementQuery>),
    /// Answers a query.
    Answer(PlacementAnswer),
    /// Reports the progress of prompts.
    #[serde(rename = "Words")]
    Reports(Vec<PromptReport>),
}

/// A prompt to be placed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlacementQuery {
    /// Number of the prompt, unique among those of the asking VM.
    pub number: u64,
    /// The service.
    pub service: ServiceId,
    /// The model.
    pub model: SmolStr,
    /// Shared prefixes of the prompt, the outermost first.
    pub prefixes: Vec<Prefix>,
    /// Total tokens of the prompt.
    pub tokens: u64,
    /// Upstreams already tried.
    pub tried: Vec<UpstreamId>,
    /// Failure domain of the asking VM.
    pub domain: DomainId,
    /// Base-2 logarithm of the number of shards, and the number of the shard.
    pub shard: (u32, u32),
    /// Time left before the caller gives up, in milliseconds.
    pub left_ms: u32,
    /// What the owner needs to decide whether the prompt is admitted; unset if the asking VM wants it placed anyway.
    #[serde(default)]
    pub terms: Option<Terms>,
}

/// What the admission of a prompt depends on besides its length.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Identifies the prompt each time it asks.
    pub key: u64,
    /// Its priority at the engine; 0 is the most urgent.
    pub priority: u8,
    /// Time from its arrival within which its first token is due, in milliseconds.
    pub objective_ms: u32,
    /// Shortest objective of the more urgent prompts of its service, in milliseconds.
    pub urgent_ms: Option<u32>,
    /// Time since its arrival, in milliseconds.
    pub waited_ms: u32,
    /// Its team.
    pub team: Option<TeamId>,
}

impl Terms {
    /// The question to a shard about a prompt of this length.
    pub fn ask(&self, tokens: u64, left: Duration) -> Ask {
        let millis = |ms: u32| Duration::from_millis(u64::from(ms));
        Ask {
            key: self.key,
            priority: self.priority,
            tokens,
            objective: millis(self.objective_ms),
            urgent_objective: self.urgent_ms.map(millis),
            waited: millis(self.waited_ms),
            left,
            excess: false,
            alone: false,
        }
    }
}

/// The answer to a query.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlacementAnswer {
    /// Number of the prompt in the query.
    pub number: u64,
    /// The engine for the prompt, if any engine of the shard takes it.
    #[serde(rename = "found")]
    pub chosen: Option<ChosenEngine>,
    /// Why the prompt is not admitted now.
    #[serde(default)]
    pub put_off: Option<PutOff>,
}

/// The engine that an owner chose for a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChosenEngine {
    /// The engine.
    pub engine: UpstreamId,
    /// Number of the engine's incarnation, the same on all VMs; it changes when the engine restarts.
    pub life: u64,
    /// Another engine that holds the shared prefix, if there is one.
    pub source: Option<SocketAddr>,
    /// Whether the engine uses the same kept-KV store as the prompt's home.
    pub at_store: bool,
    /// Requests running at the engine.
    pub running: u32,
    /// Prompt tokens that the engine has not prefilled yet.
    pub ahead: u64,
    /// Milliseconds since the engine last served the whole shared prefix, if known.
    pub served_ms: Option<u32>,
}

/// The progress of a prompt, identified by the number that the reporting VM gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromptReport {
    /// The reporting VM placed it without the owner.
    Began {
        /// Number of the prompt.
        number: u64,
        /// Number of the engine's incarnation.
        life: u64,
        /// Total tokens of the prompt.
        tokens: u64,
        /// Time left before the caller gives up, in milliseconds.
        left_ms: u32,
        /// Its priority; 0 is the most urgent.
        #[serde(default)]
        priority: u8,
    },
    /// Its engine has prefilled it.
    Read(u64),
    /// It has ended, or was not sent to the engine at all.
    Ended(u64),
}

impl PlacementQuery {
    /// A query for the prompt of a selection; none if the selection has no prompt.
    pub fn new(number: u64, selection: &Selection<'_>, shard: Shard) -> Option<Self> {
        let shape = selection.shape?;
        Some(Self {
            number,
            service: selection.service.clone(),
            model: shape.model.clone(),
            prefixes: shape.prompt.prefixes.clone(),
            tokens: shape.prompt.tokens,
            tried: selection.tried.to_vec(),
            domain: selection.domain.clone(),
            shard: (shard.division.bits(), shard.number),
            left_ms: clock::wire_millis(selection.left),
            terms: selection.terms.cloned(),
        })
    }

    /// Model, prefixes and tokens of the prompt.
    pub fn shape(&self) -> PromptShape {
        PromptShape {
            model: self.model.clone(),
            prompt: Prompt {
                prefixes: self.prefixes.clone(),
                tokens: self.tokens,
            },
        }
    }
}
