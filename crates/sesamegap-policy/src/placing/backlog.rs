//! How many prompt tokens wait on an engine, seen through late reports.
//!
//! A report says what waited some time ago. Since then this router has sent more, which it knows
//! exactly, and the engine has worked some off, which follows from its speed; so the report is
//! replayed up to now. What peers have sent since is in no report: their digests say how much of
//! their work has had no first token yet. The larger of the two views counts, because the harm of
//! an engine taken for idle, on which all routers then pile up, is worse than that of one passed over.

use sesamegap_wire::{Moment, Tokens};
use std::collections::VecDeque;
use std::time::Duration;

/// Dispatches remembered for the replay: more than one router sends between two reports.
const MAX_REPLAYED: usize = 128;

/// A fluid queue that drains at the engine's speed.
#[derive(Debug, Clone, Copy, Default)]
struct Queue {
    tokens: f64,
    at: Moment,
}

impl Queue {
    fn remaining(self, now: Moment, seconds_per_token: f64) -> f64 {
        let processed = now.since(self.at).as_secs_f64() / seconds_per_token;
        (self.tokens - processed).max(0.0)
    }

    fn add(&mut self, tokens: f64, now: Moment, seconds_per_token: f64) {
        self.tokens = self.remaining(now, seconds_per_token) + tokens;
        self.at = self.at.max(now);
    }
}

/// What waits on one engine.
#[derive(Debug, Clone, Default)]
pub struct Backlog {
    queue: Queue,
    sent: VecDeque<(Moment, f64)>,
    /// Own tokens without a first token of their answer.
    own: f64,
    peers: f64,
    peers_at: Moment,
}

impl Backlog {
    /// Forgets what a former life of the engine had; own requests there are settled one by one.
    pub fn restart(&mut self) {
        self.queue = Queue::default();
        self.sent.clear();
    }

    /// Takes a report of what waited at a moment.
    pub fn report(&mut self, waiting: Tokens, as_of: Moment, seconds_per_token: f64) {
        while self.sent.front().is_some_and(|(sent, _)| *sent <= as_of) {
            self.sent.pop_front();
        }
        self.queue = Queue {
            tokens: waiting.0 as f64,
            at: as_of,
        };
        for (sent, tokens) in &self.sent {
            self.queue.add(*tokens, *sent, seconds_per_token);
        }
    }

    /// Books tokens that are now sent.
    pub fn send(&mut self, tokens: Tokens, now: Moment, seconds_per_token: f64) {
        let tokens = tokens.0 as f64;
        self.queue.add(tokens, now, seconds_per_token);
        self.own += tokens;
        if self.sent.len() >= MAX_REPLAYED {
            self.sent.pop_front();
        }
        self.sent.push_back((now, tokens));
    }

    /// Takes back a booking: its first token came, or it is over.
    pub fn settle(&mut self, tokens: Tokens) {
        self.own = (self.own - tokens.0 as f64).max(0.0);
    }

    /// Corrects a booking by what the engine found in its cache.
    pub fn correct(&mut self, booked: Tokens, found: Tokens) {
        let change = found.0 as f64 - booked.0 as f64;
        self.own = (self.own + change).max(0.0);
        self.queue.tokens = (self.queue.tokens + change).max(0.0);
    }

    /// Sets what all peers together have waiting.
    pub fn peers(&mut self, tokens: f64, now: Moment) {
        self.peers = tokens.max(0.0);
        self.peers_at = now;
    }

    /// Own tokens without a first token.
    pub fn own(&self) -> Tokens {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "kept at zero or more, and far below the largest whole number"
        )]
        Tokens(self.own as u64)
    }

    /// Time until all that waits now is computed.
    pub fn wait(&self, now: Moment, seconds_per_token: f64) -> Duration {
        let replayed = self.queue.remaining(now, seconds_per_token);
        let peers = Queue {
            tokens: self.peers,
            at: self.peers_at,
        };
        let known = self.own + peers.remaining(now, seconds_per_token);
        Duration::from_secs_f64(replayed.max(known) * seconds_per_token)
    }
}
