//! Placement: decides which engine answers a request.
//!
//! A [`Placer`] receives the engines' load reports, their cache events and the progress of requests.
//! For each request it weighs the wait against the tokens that would have to be recomputed.
//!
//! [`PrefixPlacer`] is the implementation that routers use. It tracks the [`engines`] with the tokens
//! waiting on each ([`backlog`]) and their [`speed`], an [`index`] of which engine holds which block,
//! and the [`heat`] of prefixes. For each request it compares a few candidates (engines that hold
//! the prefix, its [`homes`] found on a [`ring`], and two at random) and picks the cheapest.

pub mod backlog;
mod builder;
mod candidates;
mod choose;
mod cost;
mod dump;
pub mod engines;
mod feed;
pub mod heat;
mod holders;
pub mod homes;
mod import;
mod in_flight;
pub mod index;
mod peers;
mod prefix;
mod priority_waits;
pub mod ring;
pub mod speed;
mod ticks;

pub use builder::PrefixBuilder;
pub use prefix::{DEFAULT_BLOCK_SIZE, PrefixPlacer};

use rand::Rng;
use sesamegap_settings::{Catalogue, ClassSpec};
use sesamegap_wire::engine::{CacheBatch, EngineEntry, Listing, LoadReport};
use sesamegap_wire::peer::{Digest, Warmth};
use sesamegap_wire::{
    Chain, Incarnation, ModelId, Moment, RequestId, Tokens, UpstreamId, WeightsVersion,
};
use std::fmt;
use std::time::Duration;

/// Input to the placement of one request.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    /// The request.
    pub request: &'a RequestId,
    /// Requested model.
    pub model: &'a ModelId,
    /// Weights version that must compute the answer.
    pub version: WeightsVersion,
    /// Block keys and nested prefixes of the prompt.
    pub chain: &'a Chain,
    /// Specification of the request's traffic class.
    pub class: &'a ClassSpec,
    /// Engines excluded because the request failed on them before.
    pub barred: &'a [UpstreamId],
}

/// Engine chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The engine.
    pub engine: UpstreamId,
    /// Incarnation of the engine on which the placement is based.
    pub incarnation: Incarnation,
    /// Prompt tokens believed to be in the engine's cache.
    pub cached: Tokens,
    /// Expected time from dispatch to the first token.
    pub wait: Duration,
    /// First source from which the engine should import cache blocks.
    pub import: Option<UpstreamId>,
}

/// Outcome of a placement.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementOutcome {
    /// An engine with room was chosen.
    At(Placement),
    /// Engines with these weights loaded have no room now; contains the shortest estimated wait for room.
    Full(Duration),
    /// No eligible engine has this weights version loaded.
    NoEngine,
}

/// What a placer needs before it can trust an engine's index entries again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Nothing.
    Nothing,
    /// A listing of all blocks that the engine holds.
    Listing,
}

/// Tells which engines have room for more work.
pub trait Room {
    /// Whether an engine may be sent a request with `prefill` tokens to compute.
    fn has(&self, engine: &UpstreamId, prefill: Tokens) -> bool;
}

/// Picks the engine for each request. Routers use one implementation; others are baselines for
/// measurements.
pub trait Placer: fmt::Debug + Send {
    /// Applies the current settings, of which only the models' block sizes are used.
    fn apply_settings(&mut self, _catalogue: &Catalogue) {}

    /// Replaces the list of engines in use.
    fn set_engines(&mut self, engines: &[EngineEntry], now: Moment);

    /// Applies an engine's load report.
    fn apply_report(&mut self, engine: &UpstreamId, report: &LoadReport, now: Moment);

    /// Applies an engine's cache events and returns what is needed before its entries can be trusted.
    fn apply_cache_events(&mut self, engine: &UpstreamId, batch: &CacheBatch, now: Moment) -> Need;

    /// Sets the kept-KV store, if there is one.
    fn set_store(&mut self, _store: Option<UpstreamId>) {}

    /// Returns an engine from which a listing should be requested now, independently of its events.
    fn next_listing(&mut self, _now: Moment) -> Option<UpstreamId> {
        None
    }

    /// Applies a listing of all blocks that an engine holds.
    fn apply_listing(&mut self, engine: &UpstreamId, listing: &Listing, now: Moment);

    /// Picks an engine; the request is not counted until [`Placer::sent`] is called.
    fn place(
        &mut self,
        ask: &PlacementRequest<'_>,
        room: &dyn Room,
        now: Moment,
        rng: &mut dyn Rng,
    ) -> PlacementOutcome;

    /// Counts a request that has been sent to an engine.
    fn sent(&mut self, ask: &PlacementRequest<'_>, at: &Placement, now: Moment);

    /// Records the number of cached tokens that the engine reported when it accepted the request.
    fn started(&mut self, request: &RequestId, cached: Tokens, now: Moment);

    /// Records that the first token of an answer has arrived.
    fn first_token(&mut self, request: &RequestId, now: Moment);

    /// Records that a request has left its engine; `whole` tells whether its answer is complete.
    fn finished(&mut self, request: &RequestId, whole: bool, now: Moment);

    /// Records that an engine could not be reached or has stopped responding.
    fn failed(&mut self, engine: &UpstreamId, now: Moment);

    /// Applies a peer's digest; a peer that sends none for a while is treated as gone.
    fn apply_digest(&mut self, from: &str, digest: &Digest, now: Moment);

    /// Fills in this placer's part of the digest sent to peers.
    fn digest(&mut self, digest: &mut Digest, now: Moment);

    /// Applies a peer's view of the caches, where this placer knows nothing newer.
    fn apply_warmth(&mut self, warmth: &Warmth, now: Moment);

    /// Returns this placer's view of the caches, for a peer that has just started.
    fn warmth(&self, now: Moment) -> Warmth;

    /// Renders the state as JSON for a dump.
    fn dump(&self, now: Moment) -> serde_json::Value;
}
