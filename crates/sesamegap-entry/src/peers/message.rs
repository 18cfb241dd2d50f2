//! Messages between entry VMs.

use crate::catalogue::{Document, Revision};
use crate::clock;
use crate::core::Core;
use crate::ports::Weights;
use crate::telemetry::events;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use sesamegap_policy::agreement::membership::MemberUpdate;
use sesamegap_policy::routing::belief::Change;
use sesamegap_policy::routing::weights::{Named, Naming};
use sesamegap_wire::{Incarnation, Moment, UpstreamId};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use tracing::info;

/// A probe: the sender's membership update, its updates on others, and its state.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub me: MemberUpdate,
    /// Its updates on other VMs.
    #[serde(rename = "news")]
    pub updates: Vec<MemberUpdate>,
    /// Revision of its document.
    pub revision: Revision,
    /// Named weights that it knows, including superseded versions that some engines may not have reached yet.
    pub weights: Vec<NamedWeights>,
}

/// The reply to a probe.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HelloReply {
    /// The sender.
    pub me: MemberUpdate,
    /// Its updates on other VMs.
    #[serde(rename = "news")]
    pub updates: Vec<MemberUpdate>,
    /// Revision of its document.
    pub revision: Revision,
    /// Its document, if newer than that of the VM that asks.
    pub document: Option<Document>,
    /// Named weights that it knows, including superseded versions that some engines may not have reached yet.
    pub weights: Vec<NamedWeights>,
}

/// Weights, and how long ago they were named.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NamedWeights {
    /// The weights.
    pub weights: Weights,
    /// Time since they were named.
    pub age: Age,
}

/// Age of an event, in milliseconds.
///
/// An estimate is encoded in the same integer as a known age and marked by its highest bit. A VM of another release
/// could not decode a message of a different shape, and during a rolling upgrade each half of the fleet would
/// consider the other half dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub enum Age {
    /// The event was observed.
    Known(u64),
    /// The event was discovered later; the age is an estimate.
    Guessed(u64),
}

/// Bit that marks an estimate.
const GUESSED_BIT: u64 = 1 << 63;

impl From<u64> for Age {
    fn from(number: u64) -> Self {
        if number & GUESSED_BIT == 0 {
            Self::Known(number)
        } else {
            Self::Guessed(number & !GUESSED_BIT)
        }
    }
}

impl From<Age> for u64 {
    fn from(age: Age) -> Self {
        match age {
            Age::Known(ms) => ms,
            Age::Guessed(ms) => ms | GUESSED_BIT,
        }
    }
}

impl Age {
    fn from_naming(naming: Naming, now: Moment) -> Self {
        let ms = clock::millis(now.since(naming.at));
        if naming.guessed {
            Self::Guessed(ms)
        } else {
            Self::Known(ms)
        }
    }

    fn to_named(self) -> Named {
        match self {
            Self::Known(ms) => Named::At(clock::ago(Duration::from_millis(ms))),
            Self::Guessed(ms) => Named::Guessed(clock::ago(Duration::from_millis(ms))),
        }
    }
}

/// Update on an engine, sent by the VM that rolls out weights or by a VM that found the engine gone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// The engine.
    pub engine: UpstreamId,
    /// The incarnation that the update refers to; unset if unknown.
    pub born: Option<Incarnation>,
    /// Milliseconds for which the engine should get no requests; zero if it accepts work.
    pub out_ms: u32,
    /// The weights that it holds, once they are loaded.
    pub weights: Option<Weights>,
    /// Whether another instance was found at its address.
    pub gone: bool,
}

/// How long an upstream gets no requests after another instance was found at its address. The fleet list drops its
/// entry within that time.
const GONE_PAUSE: Duration = Duration::from_secs(6);

impl EngineUpdate {
    /// Creates an update for an engine whose address another instance has.
    pub fn gone(engine: UpstreamId, born: Option<Incarnation>) -> Self {
        Self {
            engine,
            born,
            out_ms: clock::wire_millis(GONE_PAUSE),
            weights: None,
            gone: true,
        }
    }
}

/// Most named weights in one message. A probe's size must not grow with them; each probe names others.
const MAX_NAMED_WEIGHTS: usize = 24;

/// Returns the named weights, or some of them if they are many, for a peer.
pub fn named_weights(core: &Core) -> Vec<NamedWeights> {
    let now = clock::now();
    let fleet = core.fleet.lock();
    let namings = fleet.namings().all();
    let chosen = namings.sample(&mut rand::rng(), MAX_NAMED_WEIGHTS);
    chosen
        .into_iter()
        .map(|(model, naming)| NamedWeights {
            weights: Weights {
                model: model.clone(),
                version: naming.version,
            },
            age: Age::from_naming(naming, now),
        })
        .collect()
}

/// Applies named weights from the store or a peer; returns whether they are newer than the known ones.
pub fn learn_weights(core: &Core, weights: &Weights, named: Named, source: &str) -> bool {
    let newer = core.fleet.lock().learn_weights(weights, named);
    if newer {
        info!(event = events::WEIGHTS, model = %weights.model, version = weights.version.0, named = ?named, source, "weights named");
        core.weights_named.notify_one();
    }
    newer
}

/// Applies a peer's document and named weights.
pub fn apply_state(
    core: &Core,
    document: Option<Document>,
    weights: &[NamedWeights],
    from: &SmolStr,
) {
    if let Some(document) = document {
        core.adopt(&Arc::new(document), from);
    }
    for named in weights {
        learn_weights(core, &named.weights, named.age.to_named(), from);
    }
}

/// Applies updates on engines.
pub fn apply_engine_updates(core: &Core, updates: &[EngineUpdate]) {
    let now = clock::now();
    let mut fleet = core.fleet.lock();
    for update in updates {
        match fleet.observe_incarnation(&update.engine, update.born) {
            // A pause, or weights, of an earlier incarnation do not apply to the current one.
            Change::Former => {
                info!(event = events::DISCARDED, upstream = %update.engine, born = update.born.map(|born| born.0), "discarded a peer's update on an earlier incarnation");
                continue;
            }
            Change::Restarted => {
                info!(event = events::UPSTREAM, upstream = %update.engine, change = "Restarted", born = update.born.map(|born| born.0), "a peer found a newer incarnation");
            }
            _ => {}
        }
        let Some(engine) = fleet.get_mut(&update.engine) else {
            continue;
        };
        let was_paused = engine.is_paused(now);
        let until = now + Duration::from_millis(u64::from(update.out_ms));
        if update.gone {
            engine.mark_gone(until);
        } else {
            engine.pause(until);
        }
        if was_paused != (update.out_ms > 0) {
            info!(event = events::UPSTREAM, upstream = %update.engine, change = if was_paused { "back" } else { "out" }, out_ms = update.out_ms, "a VM takes an upstream out or gives it back");
        }
        // Within an incarnation the weights version only increases, and the update on an earlier load may arrive
        // after that on a later one.
        if let Some(weights) = &update.weights
            && engine.version(&weights.model) < Some(weights.version)
        {
            engine.record_version(&weights.model, weights.version);
        }
    }
}

/// Applies an engine update on this VM at once and broadcasts it to all peers.
pub fn broadcast_engine_update(core: &Core, update: EngineUpdate) {
    apply_engine_updates(core, std::slice::from_ref(&update));
    core.peers.outbox.put(update);
}
