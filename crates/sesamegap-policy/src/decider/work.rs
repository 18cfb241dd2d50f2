//! Inputs and outputs of the decider.

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

/// A request to be placed on an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// Id of the request.
    pub request: RequestId,
    /// Team that sent the request.
    pub team: TeamId,
    /// Traffic class.
    pub class: ClassId,
    /// Requested model.
    pub model: ModelId,
    /// Weights version that the hashes of `chain` are seeded with.
    pub version: WeightsVersion,
    /// Blocks of the prompt.
    pub chain: Chain,
    /// Maximum number of tokens to generate.
    pub answer: Tokens,
    /// When the router received the request; a retry keeps the original time.
    pub arrived: Moment,
    /// Number of this submission, from 0.
    pub attempt: u32,
    /// Engines on which an earlier attempt failed.
    pub barred: Vec<UpstreamId>,
    /// Whether the request may run more than once. Otherwise it is neither hedged nor retried after
    /// a byte was written.
    pub repeatable: bool,
}

/// Reason for refusing a request, no part of which has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalCode {
    /// The deadline for the first token cannot be met.
    Deadline,
    /// The queue of its class is full.
    QueueFull,
    /// The team exceeds its rate or share.
    TeamLimit,
    /// No live engine has the model loaded in the requested version.
    NoEngine,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The model, team or class is not in the settings.
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

/// A refusal, with the delay after which a retry may succeed.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Reason.
    pub code: RefusalCode,
    /// Delay before a retry, spread over callers so that they do not all retry at once.
    pub after: Duration,
}

/// An action for the caller of [`super::Decider::poll`] to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send the request. It is already counted as in flight on the engine.
    Send {
        /// The request.
        request: RequestId,
        /// Engine to send it to.
        at: Placement,
        /// Priority in the engine's own batch.
        priority: u8,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason and retry delay.
        refusal: Refusal,
    },
    /// Send a second, concurrent attempt because the first token is late.
    ///
    /// The second attempt is tracked, and reported to [`super::Decider::observe`], under the id
    /// `hedge_id`, like a separate request. The attempt that returns a token first answers the
    /// caller; the other is cancelled upstream and reported as finished without a complete answer.
    /// If the second attempt cannot be started, `hedge_id` is reported as finished at once.
    Hedge {
        /// The request whose first token is late.
        request: RequestId,
        /// Id of the second attempt.
        hedge_id: RequestId,
        /// Engine to send it to.
        at: Placement,
        /// Priority in the engine's own batch.
        priority: u8,
    },
    /// Request a listing of an engine's cache.
    List {
        /// The engine.
        engine: UpstreamId,
    },
}

/// An event or state change that affects decisions.
#[derive(Debug, Clone)]
pub enum Observation {
    /// New settings take effect.
    Settings(Arc<Catalogue>),
    /// The engines in use, replacing the previous list.
    Fleet(Vec<EngineEntry>),
    /// The kept-KV store in use.
    Store(Option<UpstreamId>),
    /// Load report of an engine.
    Report(UpstreamId, LoadReport),
    /// Cache events of an engine.
    Cache(UpstreamId, CacheBatch),
    /// Full listing of an engine's cache.
    Listing(UpstreamId, Listing),
    /// An engine accepted a request and found this many prompt tokens in its cache.
    Started(RequestId, Tokens),
    /// The first token of an answer arrived.
    FirstToken(RequestId),
    /// A request ended on its engine; `true` if the answer is complete.
    Finished(RequestId, bool),
    /// An engine was unreachable, stopped responding, or refused a request because of its
    /// incarnation.
    EngineFailed(UpstreamId),
    /// The caller disconnected; a queued request is dropped without a decision.
    Cancelled(RequestId),
    /// Number of live routers, this one included; team limits are divided among them.
    Routers(u32),
    /// Traffic digest of a peer.
    Peer(VmId, Digest),
    /// State exported by a peer, imported at startup.
    Warm(Warmth),
}
