//! Estimate of the prompt tokens waiting on an engine, based on delayed reports.
//!
//! A load report describes the queue at an earlier time. Since then this router has sent more
//! tokens, which it knows exactly, and the engine has processed some, which follows from its speed,
//! so the report is replayed up to the present. Requests that peers sent since the report are
//! missing from it; their digests tell how many tokens have no first token yet. The larger of the
//! two estimates is used: if a busy engine is taken for idle, all routers send to it at once, which
//! does more harm than passing over an idle one.

use sesamegap_wire::{Moment, Tokens};
use std::collections::VecDeque;
use std::time::Duration;

/// Dispatches kept for the replay; one router sends fewer than this between two reports.
const MAX_REPLAYED: usize = 128;

/// A queue modeled as a fluid that drains at the engine's speed.
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

/// Estimated prompt tokens waiting on one engine.
#[derive(Debug, Clone, Default)]
pub struct Backlog {
    queue: Queue,
    sent: VecDeque<(Moment, f64)>,
    /// Tokens sent by this router whose requests have produced no first token yet.
    own: f64,
    peers: f64,
    peers_at: Moment,
}

impl Backlog {
    /// Clears the queue of a previous incarnation. This router's own requests there are settled one by
    /// one as they end.
    pub fn restart(&mut self) {
        self.queue = Queue::default();
        self.sent.clear();
    }

    /// Replaces the estimate by a report of the tokens waiting at `as_of`, then replays later dispatches.
    pub fn apply_report(&mut self, waiting: Tokens, as_of: Moment, seconds_per_token: f64) {
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

    /// Adds tokens that this router has just sent.
    pub fn send(&mut self, tokens: Tokens, now: Moment, seconds_per_token: f64) {
        let tokens = tokens.0 as f64;
        self.queue.add(tokens, now, seconds_per_token);
        self.own += tokens;
        if self.sent.len() >= MAX_REPLAYED {
            self.sent.pop_front();
        }
        self.sent.push_back((now, tokens));
    }

    /// Removes tokens whose request produced its first token or ended.
    pub fn settle(&mut self, tokens: Tokens) {
        self.own = (self.own - tokens.0 as f64).max(0.0);
    }

    /// Adjusts the tokens of one request after the engine has looked up its cache.
    pub fn correct(&mut self, booked: Tokens, found: Tokens) {
        let change = found.0 as f64 - booked.0 as f64;
        self.own = (self.own + change).max(0.0);
        self.queue.tokens = (self.queue.tokens + change).max(0.0);
    }

    /// Sets the tokens that all peers together have waiting on the engine.
    pub fn set_peers(&mut self, tokens: f64, now: Moment) {
        self.peers = tokens.max(0.0);
        self.peers_at = now;
    }

    /// Tokens sent by this router whose requests have produced no first token yet.
    pub fn own(&self) -> Tokens {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "never negative, and far below `u64::MAX`"
        )]
        Tokens(self.own as u64)
    }

    /// Estimated time until the engine has computed all tokens now waiting.
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
