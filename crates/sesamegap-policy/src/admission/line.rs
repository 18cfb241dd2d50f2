//! The order of prompts that wait for room in a shard.
//!
//! Prompts wait at the VMs that received them and ask again after a while. The line only records who waits, so that a
//! prompt which happens to ask at the right moment does not take the room of a more urgent or an earlier one. A prompt
//! that does not ask again in time has been given up, or asks another VM, and loses its place.

use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;
use std::time::Duration;

/// Time beyond the one until which a prompt was told to wait, after which it loses its place: a lost datagram and its
/// timeout.
const GRACE: Duration = Duration::from_millis(120);

/// Most prompts in a line. The objectives of prompts are seconds at most, and a shard places a few hundred a second.
const MAX_WAITING: usize = 2_048;

/// Place in the order of a line; lower ranks come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether its team exceeds its share.
    pub excess: bool,
    /// When it arrived.
    pub arrived: Moment,
}

#[derive(Debug)]
struct Waiting {
    rank: Rank,
    tokens: u64,
    until: Moment,
}

/// Prompts that come before another one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Before {
    /// Their number.
    pub count: u64,
    /// Their tokens.
    pub tokens: u64,
}

/// Prompts that wait for room, by their keys.
#[derive(Debug, Default)]
pub struct Line {
    waiting: FxHashMap<u64, Waiting>,
}

impl Line {
    /// The waiting prompts before a rank.
    pub fn before(&self, key: u64, rank: Rank) -> Before {
        let first = self.waiting.iter();
        let first = first.filter(|(other, waiting)| **other != key && waiting.rank < rank);
        first.fold(Before::default(), |sum, (_, waiting)| Before {
            count: sum.count + 1,
            tokens: sum.tokens.saturating_add(waiting.tokens),
        })
    }

    /// Records that a prompt waits and will ask again after `wait`; returns whether it has a place.
    pub fn join(&mut self, key: u64, rank: Rank, tokens: u64, wait: Duration, now: Moment) -> bool {
        if self.waiting.len() >= MAX_WAITING && !self.waiting.contains_key(&key) {
            return false;
        }
        let waiting = Waiting {
            rank,
            tokens,
            until: now + wait + GRACE,
        };
        self.waiting.insert(key, waiting);
        true
    }

    /// Removes a prompt that was placed or refused.
    pub fn leave(&mut self, key: u64) {
        self.waiting.remove(&key);
    }

    /// Removes prompts that did not ask again.
    pub fn expire(&mut self, now: Moment) {
        self.waiting.retain(|_, waiting| now < waiting.until);
    }

    /// Whether a prompt waits.
    pub fn contains(&self, key: u64) -> bool {
        self.waiting.contains_key(&key)
    }

    /// Number of waiting prompts.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
