//! Attempts in flight on engines.

use super::Work;
use crate::load::queue::Rank;
use rustc_hash::FxHashMap;
use sesamegap_wire::{ModelId, Moment, RequestId, Tokens, UpstreamId};
use std::collections::BTreeSet;
use std::time::Duration;

/// One attempt to run a request on an engine.
#[derive(Debug)]
pub struct Flight {
    /// The engine.
    pub engine: UpstreamId,
    /// Requested model.
    pub model: ModelId,
    /// Number of prompt tokens.
    pub tokens: Tokens,
    /// Cost, in the unit of the queue.
    pub cost: u64,
    /// When it was sent.
    pub sent: Moment,
    /// Rank in the queue.
    pub rank: Rank,
    /// First-token time expected by the placer.
    pub expected: Duration,
    /// Time after sending at which a missing first token counts as late.
    pub patience: Duration,
    /// Whether the first token has arrived.
    pub first: bool,
    /// When the attempt is treated as finished even if its end is never reported.
    pub end: Moment,
    /// When to send a hedge, and the request to send.
    pub hedge: Option<(Moment, Box<Work>)>,
}

/// The attempts in flight, with their timers.
#[derive(Debug, Default)]
pub struct Flights {
    running: FxHashMap<RequestId, Flight>,
    ends: BTreeSet<(Moment, RequestId)>,
    hedges: BTreeSet<(Moment, RequestId)>,
}

impl Flights {
    /// Returns the number of attempts in flight.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Adds an attempt, replacing one of the same id.
    pub fn start(&mut self, request: &RequestId, flight: Flight) {
        self.end(request);
        self.ends.insert((flight.end, request.clone()));
        if let Some((at, _)) = flight.hedge {
            self.hedges.insert((at, request.clone()));
        }
        self.running.insert(request.clone(), flight);
    }

    /// Records the first token of an attempt; returns `None` if it was recorded before.
    pub fn first(&mut self, request: &RequestId) -> Option<&Flight> {
        self.no_hedge(request);
        let flight = self.running.get_mut(request)?;
        if std::mem::replace(&mut flight.first, true) {
            return None;
        }
        Some(flight)
    }

    /// Removes an attempt.
    pub fn end(&mut self, request: &RequestId) -> Option<Flight> {
        self.no_hedge(request);
        let flight = self.running.remove(request)?;
        self.ends.remove(&(flight.end, request.clone()));
        Some(flight)
    }

    /// Cancels the pending hedge of an attempt and returns its request.
    pub fn no_hedge(&mut self, request: &RequestId) -> Option<Box<Work>> {
        let flight = self.running.get_mut(request)?;
        let (at, work) = flight.hedge.take()?;
        self.hedges.remove(&(at, request.clone()));
        Some(work)
    }

    /// Returns when the next hedge is due.
    pub fn first_hedge(&self) -> Option<Moment> {
        self.hedges.first().map(|(at, _)| *at)
    }

    /// Removes and returns a request that is due to be hedged, with the engine of the late attempt.
    pub fn due_hedge(&mut self, now: Moment) -> Option<(Box<Work>, UpstreamId)> {
        let (at, request) = self.hedges.first()?;
        if *at > now {
            return None;
        }
        let request = request.clone();
        let engine = self.running.get(&request)?.engine.clone();
        let work = self.no_hedge(&request)?;
        Some((work, engine))
    }

    /// Returns an attempt that has expired.
    pub fn overdue(&self, now: Moment) -> Option<RequestId> {
        let (at, request) = self.ends.first()?;
        (*at <= now).then(|| request.clone())
    }
}
