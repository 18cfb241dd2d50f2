//! Messages between entry VMs.

use crate::catalogue::{Document, Revision};
use crate::clock;
use crate::core::Core;
use crate::ports::Weights;
use crate::telemetry::events;
use serde::{Deserialize, Serialize};
use sesamegap_policy::agreement::membership::MemberUpdate;
use sesamegap_policy::routing::weights::{Named, Naming};
use sesamegap_wire::{Incarnation, Moment, UpstreamId};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use tracing::info;

/// A probe: who asks, what it heard, and what it knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub me: MemberUpdate,
    /// What it heard of others.
    pub news: Vec<MemberUpdate>,
    /// Revision of its document.
    pub revision: Revision,
    /// Weights named to it, those too that newer ones have overtaken: engines may be behind them.
    pub weights: Vec<Told>,
}

/// The answer to a probe.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Welcome {
    /// The sender.
    pub me: MemberUpdate,
    /// What it heard of others.
    pub news: Vec<MemberUpdate>,
    /// Revision of its document.
    pub revision: Revision,
    /// Its document, if newer than the asker's.
    pub document: Option<Document>,
    /// Weights named to it, those too that newer ones have overtaken: engines may be behind them.
    pub weights: Vec<Told>,
}

/// Weights, and how long ago they were named.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Told {
    /// The weights.
    pub weights: Weights,
    /// Time since they were named.
    pub age: Age,
}

/// How long ago something was, in milliseconds.
///
/// A guess is told in the same number as a known age, by its highest bit: a VM of another release could
/// not read a message of another shape, and half of the fleet would take the other half for dead while
/// releases are replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub enum Age {
    /// It was seen.
    Known(u64),
    /// It was found afterwards.
    Guessed(u64),
}

/// Marks a guess.
const GUESS: u64 = 1 << 63;

impl From<u64> for Age {
    fn from(number: u64) -> Self {
        if number & GUESS == 0 {
            Self::Known(number)
        } else {
            Self::Guessed(number & !GUESS)
        }
    }
}

impl From<Age> for u64 {
    fn from(age: Age) -> Self {
        match age {
            Age::Known(ms) => ms,
            Age::Guessed(ms) => ms | GUESS,
        }
    }
}

impl Age {
    fn of(naming: Naming, now: Moment) -> Self {
        let ms = clock::millis(now.since(naming.at));
        if naming.guessed {
            Self::Guessed(ms)
        } else {
            Self::Known(ms)
        }
    }

    fn named(self) -> Named {
        match self {
            Self::Known(ms) => Named::At(clock::ago(Duration::from_millis(ms))),
            Self::Guessed(ms) => Named::Guessed(clock::ago(Duration::from_millis(ms))),
        }
    }
}

/// What a VM says of an upstream: the one that rolls weights, or one that found it gone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// The engine.
    pub engine: UpstreamId,
    /// Its life of which this is said; unset if it is not known.
    pub born: Option<Incarnation>,
    /// Milliseconds for which nothing should go there; zero if it takes work.
    pub out_ms: u32,
    /// Weights that it holds, once they are loaded.
    pub weights: Option<Weights>,
    /// Whether another instance was found at its address.
    pub gone: bool,
}

/// How long nothing goes to an upstream whose address another instance has: the list drops its entry
/// within that time.
const GONE: Duration = Duration::from_secs(6);

impl EngineUpdate {
    /// An upstream whose address another instance has.
    pub fn gone(engine: UpstreamId, born: Option<Incarnation>) -> Self {
        Self {
            engine,
            born,
            out_ms: clock::wire_millis(GONE),
            weights: None,
            gone: true,
        }
    }
}

/// Weights that were named, for a peer.
pub fn named(core: &Core) -> Vec<Told> {
    let now = clock::now();
    let fleet = core.fleet.lock();
    let all = fleet.namings().all();
    all.map(|(model, naming)| Told {
        weights: Weights {
            model: model.clone(),
            version: naming.version,
        },
        age: Age::of(naming, now),
    })
    .collect()
}

/// Takes in named weights, from the store or a peer; whether they are newer.
pub fn learn_weights(core: &Core, weights: &Weights, named: Named, source: &str) -> bool {
    let newer = core.fleet.lock().learn_weights(weights, named);
    if newer {
        info!(event = events::WEIGHTS, model = %weights.model, version = weights.version.0, named = ?named, source, "weights named");
        core.weights_named.notify_one();
    }
    newer
}

/// Takes in what a peer knows.
pub fn learn(core: &Core, document: Option<Document>, weights: &[Told], from: &SmolStr) {
    if let Some(document) = document {
        core.adopt(&Arc::new(document), from);
    }
    for told in weights {
        learn_weights(core, &told.weights, told.age.named(), from);
    }
}
