//! Simulated engine in virtual time: chunked prefill in order of priority, and a batch of decoding
//! requests.

use sesamegap_wire::engine::LoadReport;
use sesamegap_wire::{Incarnation, Moment, RequestId, Tokens, WeightsVersion};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of requests that an engine decodes concurrently.
const MAX_DECODING: usize = 16;

/// Time per answer token at speed 1.
const TOKEN_TIME: Duration = Duration::from_millis(20);

/// Prompt tokens per second at speed 1.
const TOKENS_PER_SECOND: f64 = 20_000.0;

/// Prompt tokens per prefill chunk; the priority order is re-evaluated between chunks.
const CHUNK_TOKENS: u64 = 2_048;

/// A request as sent to an engine.
#[derive(Debug, Clone)]
pub struct Job {
    pub request: RequestId,
    pub tokens: u64,
    pub answer: u64,
    pub priority: u8,
}

/// An event on an engine.
#[derive(Debug, Clone, PartialEq)]
pub enum Tick {
    First(RequestId),
    Done(RequestId),
}

#[derive(Debug)]
pub struct Engine {
    pub speed: f64,
    waiting: BTreeMap<(Reverse<u8>, u64), Job>,
    computing: Option<(Moment, (Reverse<u8>, u64), Job)>,
    decoding: BTreeSet<(Moment, RequestId)>,
    seq: u64,
}

impl Engine {
    pub fn new(speed: f64) -> Self {
        Self {
            speed,
            waiting: BTreeMap::new(),
            computing: None,
            decoding: BTreeSet::new(),
            seq: 0,
        }
    }

    pub fn take(&mut self, job: Job, now: Moment) {
        self.seq += 1;
        self.waiting.insert((Reverse(job.priority), self.seq), job);
        self.start(now);
    }

    /// Starts the next prefill chunk, of the waiting request with the highest priority.
    fn start(&mut self, now: Moment) {
        if self.computing.is_some() || self.decoding.len() >= MAX_DECODING {
            return;
        }
        if let Some((place, mut job)) = self.waiting.pop_first() {
            let chunk = job.tokens.min(CHUNK_TOKENS);
            job.tokens -= chunk;
            let time = Duration::from_secs_f64(chunk as f64 / (TOKENS_PER_SECOND * self.speed));
            self.computing = Some((now + time, place, job));
        }
    }

    /// Returns the time of the next event.
    pub fn next(&self) -> Option<Moment> {
        let computed = self.computing.as_ref().map(|(at, ..)| *at);
        let decoded = self.decoding.first().map(|(at, _)| *at);
        computed.into_iter().chain(decoded).min()
    }

    /// Returns the events that are due. To be called at the time returned by [`Engine::next`].
    pub fn tick(&mut self, now: Moment) -> Vec<Tick> {
        let mut ticks = Vec::new();
        while self.decoding.first().is_some_and(|(at, _)| *at <= now) {
            ticks.extend(self.decoding.pop_first().map(|(_, job)| Tick::Done(job)));
        }
        if let Some((_, place, job)) = self.computing.take_if(|(at, ..)| *at <= now) {
            if job.tokens > 0 {
                self.waiting.insert(place, job);
            } else {
                ticks.push(Tick::First(job.request.clone()));
                let time = TOKEN_TIME.mul_f64(job.answer as f64 / self.speed);
                self.decoding.insert((now + time, job.request));
            }
        }
        self.start(now);
        ticks
    }

    /// Crashes the engine and returns the requests that were lost.
    pub fn crash(&mut self) -> Vec<RequestId> {
        let mut lost: Vec<_> = self
            .waiting
            .values()
            .map(|job| job.request.clone())
            .collect();
        lost.extend(self.computing.take().map(|(_, _, job)| job.request));
        lost.extend(self.decoding.iter().map(|(_, request)| request.clone()));
        *self = Self::new(self.speed);
        lost
    }

    pub fn report(&self) -> LoadReport {
        let queued = self.waiting.values().map(|job| job.tokens).sum();
        LoadReport {
            incarnation: Incarnation(1),
            age: Duration::ZERO,
            running: u32::try_from(self.decoding.len()).expect("few"),
            waiting: u32::try_from(self.waiting.len()).expect("few"),
            prefill: Tokens(queued),
            capacity: 1_000,
            loaded: vec![("m".parse().expect("a name"), WeightsVersion(1))],
            loading: false,
            leaving: false,
            fence: None,
        }
    }
}
