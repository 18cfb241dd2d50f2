//! Which engine answers a request.
//!
//! A [`Placer`] hears what engines report, what their caches gain and lose, and how requests went,
//! and weighs for each request the wait against the tokens that would be computed again.
//!
//! [`PrefixPlacer`] is the one that routers use. It keeps the [`engines`] with what waits on each
//! ([`backlog`]) and how fast it is ([`speed`]), an [`index`] of who holds which block, and the
//! [`heat`] of prefixes; from these it gathers a handful of candidates (holders, [`homes`] found
//! on a [`ring`], two at random) and takes the cheapest.

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
pub use prefix::{BLOCK, PrefixPlacer};

use rand::Rng;
use sesamegap_settings::{Catalogue, ClassSpec};
use sesamegap_wire::engine::{CacheBatch, EngineEntry, Listing, LoadReport};
use sesamegap_wire::peer::{Digest, Warmth};
use sesamegap_wire::{
    Chain, Incarnation, ModelId, Moment, RequestId, Tokens, UpstreamId, WeightsVersion,
};
use std::fmt;
use std::time::Duration;

/// What is asked of a placer for one request.
#[derive(Debug)]
pub struct Ask<'a> {
    /// The request.
    pub request: &'a RequestId,
    /// Model asked for.
    pub model: &'a ModelId,
    /// Weights the answer must come from.
    pub version: WeightsVersion,
    /// The prompt's blocks.
    pub chain: &'a Chain,
    /// Promises to the traffic class.
    pub class: &'a ClassSpec,
    /// Engines on which the request failed before.
    pub barred: &'a [UpstreamId],
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The engine.
    pub engine: UpstreamId,
    /// Incarnation of the engine that the placement relies on.
    pub incarnation: Incarnation,
    /// Prompt tokens believed to be in the engine's cache.
    pub cached: Tokens,
    /// Expected time from dispatch to the first token.
    pub wait: Duration,
    /// Where cache blocks are imported from first.
    pub import: Option<UpstreamId>,
}

/// What a placer found.
#[derive(Debug, Clone, PartialEq)]
pub enum Placed {
    /// An engine with room.
    At(Placement),
    /// Engines hold the model but have no room now; the shortest wait for one is given.
    Full(Duration),
    /// No live engine holds the model in this version.
    Nowhere,
}

/// What a placer needs to know before it trusts an engine's entries again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Nothing.
    Nothing,
    /// A listing of all blocks the engine holds.
    Listing,
}

/// Which engines have room for more work.
pub trait Room {
    /// Whether an engine may be sent a request with so many tokens to compute.
    fn has(&self, engine: &UpstreamId, prefill: Tokens) -> bool;
}

/// Picks engines. One implementation serves routers; others are baselines to measure against.
pub trait Placer: fmt::Debug + Send {
    /// Takes the settings in force, of which the models' block sizes matter.
    fn settings(&mut self, _catalogue: &Catalogue) {}

    /// Takes the list of engines in use, in place of the former one.
    fn fleet(&mut self, engines: &[EngineEntry], now: Moment);

    /// Takes an engine's report of itself.
    fn report(&mut self, engine: &UpstreamId, report: &LoadReport, now: Moment);

    /// Takes cache events of an engine and says what is needed to trust its entries.
    fn cache(&mut self, engine: &UpstreamId, batch: &CacheBatch, now: Moment) -> Need;

    /// Takes the kept-KV store in use, if there is one.
    fn store(&mut self, _store: Option<UpstreamId>) {}

    /// An engine of which a listing is wanted now, without an event that tells so.
    fn wants(&mut self, _now: Moment) -> Option<UpstreamId> {
        None
    }

    /// Takes a listing of all that an engine holds.
    fn listing(&mut self, engine: &UpstreamId, listing: &Listing, now: Moment);

    /// Picks an engine; nothing is booked until [`Placer::sent`].
    fn place(&mut self, ask: &Ask<'_>, room: &dyn Room, now: Moment, rng: &mut dyn Rng) -> Placed;

    /// Books a request that is now sent to an engine.
    fn sent(&mut self, ask: &Ask<'_>, at: &Placement, now: Moment);

    /// Takes the cached-token count that an engine gave when it took the request.
    fn started(&mut self, request: &RequestId, cached: Tokens, now: Moment);

    /// Notes that the first token of an answer came.
    fn first(&mut self, request: &RequestId, now: Moment);

    /// Notes that a request is no longer with its engine; `whole` if its answer is complete.
    fn finished(&mut self, request: &RequestId, whole: bool, now: Moment);

    /// Notes that an engine could not be reached or has gone mute.
    fn failed(&mut self, engine: &UpstreamId, now: Moment);

    /// Takes a peer's digest; the peer is silent for good if none comes for a while.
    fn peer(&mut self, from: &str, digest: &Digest, now: Moment);

    /// Adds what peers should know to the digest.
    fn digest(&mut self, digest: &mut Digest, now: Moment);

    /// Takes over what a peer believes, where nothing newer is known.
    fn warm(&mut self, warmth: &Warmth, now: Moment);

    /// Gives what is believed, for a peer that has just started.
    fn warmth(&self, now: Moment) -> Warmth;

    /// Describes the state for a dump.
    fn dump(&self, now: Moment) -> serde_json::Value;
}
