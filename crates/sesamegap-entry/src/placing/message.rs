//! What a VM says to the owner of a shard, and hears of it.

use crate::clock;
use crate::fleet::{PromptShape, Selection, Shard};
use serde::{Deserialize, Serialize};
use sesamegap_policy::routing::engines::{Prefix, Prompt};
use sesamegap_wire::{DomainId, ServiceId, UpstreamId};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// A message between a VM and an owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Say {
    /// Where should this prompt go?
    Ask(Box<Ask>),
    /// There.
    Answer(Answer),
    /// What became of prompts.
    Words(Vec<Word>),
}

/// A prompt to be placed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ask {
    /// Number that the asker gave it.
    pub number: u64,
    /// The service.
    pub service: ServiceId,
    /// The model.
    pub model: SmolStr,
    /// Its shared prefixes, the outermost first.
    pub prefixes: Vec<Prefix>,
    /// All its tokens.
    pub tokens: u64,
    /// Upstreams already tried.
    pub tried: Vec<UpstreamId>,
    /// The asker's failure domain.
    pub domain: DomainId,
    /// How often engines are divided in two, and the number of the shard.
    pub shard: (u32, u32),
    /// Time that the caller waits, in milliseconds.
    pub left_ms: u32,
}

/// The answer to a question.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// Number that the asker gave.
    pub number: u64,
    /// Where the prompt goes, if any engine of the shard takes it.
    pub found: Option<Found>,
}

/// Where a prompt goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Found {
    /// The engine.
    pub engine: UpstreamId,
    /// Number of its life.
    pub life: u64,
    /// Engine that holds the shared prefix, if another.
    pub source: Option<SocketAddr>,
    /// Whether it uses the store of kept cache that the prompt's home uses.
    pub at_store: bool,
    /// Requests running there.
    pub running: u32,
    /// Prompt tokens that it has not read.
    pub ahead: u64,
    /// How many milliseconds ago it last served the whole shared prefix, if the owner knows.
    pub served_ms: Option<u32>,
}

/// What became of a prompt, by the number that its asker gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// It was placed by the asker itself.
    Began {
        /// Its number.
        number: u64,
        /// Number of the engine's life.
        life: u64,
        /// Its tokens.
        tokens: u64,
        /// Time that the caller waits, in milliseconds.
        left_ms: u32,
    },
    /// Its engine has read it.
    Read(u64),
    /// It has ended, or is not sent after all.
    Ended(u64),
}

impl Ask {
    /// A question about the prompt of a selection, if there is one.
    pub fn new(
        number: u64,
        selection: &Selection<'_>,
        shard: Shard,
        left: Duration,
    ) -> Option<Self> {
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
            left_ms: clock::wire_millis(left),
        })
    }

    /// The prompt's shape.
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
