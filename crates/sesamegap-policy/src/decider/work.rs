//! What comes into a decider and what comes out.

use crate::placing::Placement;
use sesamegap_settings::Catalogue;
use sesamegap_wire::engine::{CacheBatch, EngineEntry, Listing, LoadReport};
use sesamegap_wire::peer::{Digest, Warmth};
use sesamegap_wire::{
    Chain, ClassId, ModelId, Moment, RequestId, TeamId, Tokens, UpstreamId, VmId, WeightsVersion,
};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// One request that wants an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The request.
    pub request: RequestId,
    /// Team that asks.
    pub team: TeamId,
    /// Its traffic class.
    pub class: ClassId,
    /// Model asked for.
    pub model: ModelId,
    /// Weights that its chain was seeded with.
    pub version: WeightsVersion,
    /// The prompt's blocks.
    pub chain: Chain,
    /// Tokens to answer at most.
    pub answer: Tokens,
    /// When it came to the router; a retry keeps it.
    pub arrived: Moment,
    /// Counts submissions, from 0.
    pub attempt: u32,
    /// Engines on which it failed before.
    pub barred: Vec<UpstreamId>,
    /// Whether it may run twice; only then is it retried after a byte was written, or hedged.
    pub repeatable: bool,
}

/// Why a request is refused; nothing of it was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalCode {
    /// The deadline for the first token cannot be met.
    Deadline,
    /// The queue of its class is full.
    QueueFull,
    /// The team is over its rate or share.
    TeamLimit,
    /// No live engine holds the model in the wanted version.
    NoEngine,
    /// The retry budget is spent.
    RetryBudget,
    /// Settings no longer know the model, team or class.
    Unknown,
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Deadline => "deadline",
            Self::QueueFull => "queue_full",
            Self::TeamLimit => "team_limit",
            Self::NoEngine => "no_engine",
            Self::RetryBudget => "retry_budget",
            Self::Unknown => "unknown",
        })
    }
}

/// A refusal, with the time after which asking again may help.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// When to ask again; spread over callers so that they do not come back together.
    pub after: Duration,
}

/// What the owner must do now.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send the request; it is already booked on the engine.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        at: Placement,
        /// Priority in the engine's own batch.
        priority: u8,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        refusal: Refusal,
    },
    /// Send a second attempt beside a late first one.
    ///
    /// It is booked, and reported to [`super::Decider::observe`], under the id `twin`, as if it
    /// were a request of its own. The attempt that gives a token first answers the caller; the
    /// other is cancelled upstream and reported as finished without a whole answer. An owner that
    /// cannot run it reports `twin` as finished at once.
    Hedge {
        /// The request whose first token is late.
        request: RequestId,
        /// Id of the second attempt.
        twin: RequestId,
        /// Where to.
        at: Placement,
        /// Priority in the engine's own batch.
        priority: u8,
    },
    /// Ask an engine for a listing of its cache.
    List {
        /// The engine.
        engine: UpstreamId,
    },
}

/// News that bears on decisions.
#[derive(Debug, Clone)]
pub enum Observation {
    /// New settings are in force.
    Settings(Arc<Catalogue>),
    /// The engines in use.
    Fleet(Vec<EngineEntry>),
    /// The kept-KV store in use.
    Store(Option<UpstreamId>),
    /// An engine's report of itself.
    Report(UpstreamId, LoadReport),
    /// Cache events of an engine.
    Cache(UpstreamId, CacheBatch),
    /// All that an engine holds.
    Listing(UpstreamId, Listing),
    /// An engine took a request and found so many tokens cached.
    Started(RequestId, Tokens),
    /// The first token of an answer came.
    First(RequestId),
    /// A request is over on its engine; `true` if the answer is whole.
    Finished(RequestId, bool),
    /// An engine could not be reached, went mute or refused for its incarnation.
    Failed(UpstreamId),
    /// The caller is gone; a queued request is dropped without a decision.
    Cancelled(RequestId),
    /// How many routers are live, this one included; team limits are shared among them.
    Routers(u32),
    /// A peer's digest.
    Peer(VmId, Digest),
    /// A peer's knowledge, taken over at start.
    Warm(Warmth),
}
