//! What is sent and not over.

use super::Work;
use crate::load::queue::Rank;
use rustc_hash::FxHashMap;
use sesamegap_wire::{ModelId, Moment, RequestId, Tokens, UpstreamId};
use std::collections::BTreeSet;
use std::time::Duration;

/// One attempt on an engine.
#[derive(Debug)]
pub struct Flight {
    /// The engine.
    pub engine: UpstreamId,
    /// Model asked for.
    pub model: ModelId,
    /// Length of the prompt.
    pub tokens: Tokens,
    /// Its cost as the queue reckons.
    pub cost: u64,
    /// When it was sent.
    pub sent: Moment,
    /// Where it stood in the queue.
    pub rank: Rank,
    /// First-token time that the placer expected.
    pub expected: Duration,
    /// Time after which its first token counts as late.
    pub patience: Duration,
    /// Whether its first token came.
    pub first: bool,
    /// When it is taken for over at the latest.
    pub end: Moment,
    /// When to hedge, and the work to send again.
    pub hedge: Option<(Moment, Box<Work>)>,
}

/// Attempts in flight.
#[derive(Debug, Default)]
pub struct Flights {
    running: FxHashMap<RequestId, Flight>,
    ends: BTreeSet<(Moment, RequestId)>,
    hedges: BTreeSet<(Moment, RequestId)>,
}

impl Flights {
    /// Number of attempts in flight.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Notes an attempt.
    pub fn start(&mut self, request: &RequestId, flight: Flight) {
        self.end(request);
        self.ends.insert((flight.end, request.clone()));
        if let Some((at, _)) = flight.hedge {
            self.hedges.insert((at, request.clone()));
        }
        self.running.insert(request.clone(), flight);
    }

    /// Notes that an attempt's first token came; gives nothing if it came before.
    pub fn first(&mut self, request: &RequestId) -> Option<&Flight> {
        self.no_hedge(request);
        let flight = self.running.get_mut(request)?;
        if std::mem::replace(&mut flight.first, true) {
            return None;
        }
        Some(flight)
    }

    /// Notes that an attempt is over.
    pub fn end(&mut self, request: &RequestId) -> Option<Flight> {
        self.no_hedge(request);
        let flight = self.running.remove(request)?;
        self.ends.remove(&(flight.end, request.clone()));
        Some(flight)
    }

    /// Gives up hedging an attempt.
    pub fn no_hedge(&mut self, request: &RequestId) -> Option<Box<Work>> {
        let flight = self.running.get_mut(request)?;
        let (at, work) = flight.hedge.take()?;
        self.hedges.remove(&(at, request.clone()));
        Some(work)
    }

    /// When the first hedge is due.
    pub fn first_hedge(&self) -> Option<Moment> {
        self.hedges.first().map(|(at, _)| *at)
    }

    /// Takes out a hedge that is due, with the engine that is late.
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

    /// An attempt that is taken for over.
    pub fn overdue(&self, now: Moment) -> Option<RequestId> {
        let (at, request) = self.ends.first()?;
        (*at <= now).then(|| request.clone())
    }
}
