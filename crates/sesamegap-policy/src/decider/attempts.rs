//! Attempts in flight on engines.

use super::Work;
use crate::load::queue::Rank;
use rustc_hash::FxHashMap;
use sesamegap_wire::{ModelId, Moment, RequestId, Tokens, UpstreamId};
use std::collections::BTreeSet;
use std::time::Duration;

/// One attempt to run a request on an engine.
#[derive(Debug)]
pub struct Attempt {
    /// The engine.
    pub engine: UpstreamId,
    /// Requested model.
    pub model: ModelId,
    /// Number of prompt tokens.
    pub tokens: Tokens,
    /// Cost, in the unit of the queue.
    pub cost: u64,
    /// When it was sent.
    pub sent_at: Moment,
    /// Rank in the queue.
    pub rank: Rank,
    /// Time to first token expected by the placer.
    pub expected_first_token: Duration,
    /// Time after sending at which a missing first token counts as late.
    pub late_after: Duration,
    /// Whether the first token has arrived.
    pub first_token_seen: bool,
    /// When the attempt is treated as finished even if its end is never reported.
    pub expires_at: Moment,
    /// When to send a hedge, and the request to send.
    pub hedge: Option<(Moment, Box<Work>)>,
}

/// The attempts in flight, with their timers.
#[derive(Debug, Default)]
pub struct AttemptTable {
    running: FxHashMap<RequestId, Attempt>,
    expiries: BTreeSet<(Moment, RequestId)>,
    hedges: BTreeSet<(Moment, RequestId)>,
}

impl AttemptTable {
    /// Returns the number of attempts in flight.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Adds an attempt, replacing one of the same id.
    pub fn insert(&mut self, request: &RequestId, attempt: Attempt) {
        self.remove(request);
        self.expiries.insert((attempt.expires_at, request.clone()));
        if let Some((at, _)) = attempt.hedge {
            self.hedges.insert((at, request.clone()));
        }
        self.running.insert(request.clone(), attempt);
    }

    /// Records the first token of an attempt; returns `None` if it was recorded before.
    pub fn record_first_token(&mut self, request: &RequestId) -> Option<&Attempt> {
        self.cancel_hedge(request);
        let attempt = self.running.get_mut(request)?;
        if std::mem::replace(&mut attempt.first_token_seen, true) {
            return None;
        }
        Some(attempt)
    }

    /// Removes an attempt.
    pub fn remove(&mut self, request: &RequestId) -> Option<Attempt> {
        self.cancel_hedge(request);
        let attempt = self.running.remove(request)?;
        self.expiries.remove(&(attempt.expires_at, request.clone()));
        Some(attempt)
    }

    /// Cancels the pending hedge of an attempt and returns its request.
    pub fn cancel_hedge(&mut self, request: &RequestId) -> Option<Box<Work>> {
        let attempt = self.running.get_mut(request)?;
        let (at, work) = attempt.hedge.take()?;
        self.hedges.remove(&(at, request.clone()));
        Some(work)
    }

    /// Returns when the next hedge is due.
    pub fn next_hedge(&self) -> Option<Moment> {
        self.hedges.first().map(|(at, _)| *at)
    }

    /// Removes and returns a request that is due to be hedged, with the engine of the late attempt.
    pub fn take_due_hedge(&mut self, now: Moment) -> Option<(Box<Work>, UpstreamId)> {
        let (at, request) = self.hedges.first()?;
        if *at > now {
            return None;
        }
        let request = request.clone();
        let engine = self.running.get(&request)?.engine.clone();
        let work = self.cancel_hedge(&request)?;
        Some((work, engine))
    }

    /// Returns an attempt that has expired.
    pub fn next_expired(&self, now: Moment) -> Option<RequestId> {
        let (at, request) = self.expiries.first()?;
        (*at <= now).then(|| request.clone())
    }
}
