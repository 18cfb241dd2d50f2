//! What each entry VM has at each upstream.
//!
//! Load: weights change or a prefix is hot, and all VMs turn to the same few engines at once. Each
//! sees only its own requests, a seventh of what makes the queue, and an answer's own word on load
//! comes when the wait is over. Harm prevented: queues of seconds at one engine beside idle ones.
//! A lost datagram is made up for by the next; what was not heard again in time no longer counts.

use crate::clock;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use sesamegap_policy::routing::dissemination::FANOUT;
use sesamegap_policy::routing::engines::PREFILL_TOKENS_PER_MS;
use sesamegap_wire::{Moment, VmId};
use std::time::Duration;

/// How long a peer's word counts while all peers are told in each tick.
const COUNTS: Duration = Duration::from_secs(1);

/// How long a word on fetches holds: a small fleet tells each again within it.
const HOLDS: Duration = Duration::from_millis(400);

/// What a VM has at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Number of the upstream's life, the same in all VMs.
    pub life: u64,
    /// Requests there.
    pub running: u32,
    /// Prompt tokens there that are not read yet.
    pub unread: u64,
}

#[derive(Debug)]
struct Word {
    at: Moment,
    held: Vec<UpstreamLoad>,
}

/// What all peers together have at one upstream, by their words as they were said.
#[derive(Debug, Default, Clone, Copy)]
struct Sum {
    running: u32,
    unread: u64,
    /// Sum of unread tokens times the moment of their word.
    moments: u128,
}

impl Sum {
    fn add(&mut self, held: &UpstreamLoad, at: Moment) {
        self.running += held.running;
        self.unread += held.unread;
        self.moments += u128::from(held.unread) * u128::from(at.0);
    }

    fn take_off(&mut self, held: &UpstreamLoad, at: Moment) {
        self.running -= held.running;
        self.unread -= held.unread;
        self.moments -= u128::from(held.unread) * u128::from(at.0);
    }

    /// Unread tokens that are left: an upstream reads on whether its VMs say so or not, and no faster because
    /// more of them tell of it. Thirty VMs with 2,000 tokens each would else seem to have 6,000 left of 58,000 after
    /// 60 ms.
    fn left(&self, now: Moment, per_ms: u64, holds: Duration) -> u64 {
        if self.unread == 0 {
            return 0;
        }
        let mean = self.moments / u128::from(self.unread);
        let mean = Moment(u64::try_from(mean).unwrap_or(u64::MAX));
        let read = clock::millis(now.since(mean).saturating_sub(holds)) * per_ms;
        self.unread.saturating_sub(read)
    }
}

/// What peers have at upstreams, as far as they said so lately.
#[derive(Debug, Default)]
pub struct Loads {
    words: FxHashMap<VmId, Word>,
    sums: FxHashMap<u64, Sum>,
    now: Moment,
}

impl Loads {
    /// Takes a peer's word, in place of its former one.
    pub fn record(&mut self, vm: VmId, held: Vec<UpstreamLoad>, now: Moment) {
        for held in &held {
            self.sums.entry(held.life).or_default().add(held, now);
        }
        let former = self.words.insert(vm, Word { at: now, held });
        if let Some(former) = former {
            self.take_off(&former);
        }
        self.now = now;
    }

    /// What all peers together have at an upstream, as of the last word or tick.
    pub fn total_at(&self, life: u64) -> Option<UpstreamLoad> {
        let sum = self.sums.get(&life)?;
        Some(UpstreamLoad {
            life,
            running: sum.running,
            unread: sum.left(self.now, PREFILL_TOKENS_PER_MS, Duration::ZERO),
        })
    }

    /// Tokens that all peers together have on their way from a store that delivers so many in a millisecond.
    ///
    /// Words of eighty peers come seconds apart: what an old one told of has arrived since, and counted on it
    /// would keep prompts from a store whose link is idle.
    pub fn in_flight_tokens(&self, store: u64, per_ms: u64) -> u64 {
        let sum = self.sums.get(&store);
        sum.map_or(0, |sum| sum.left(self.now, per_ms, HOLDS))
    }

    /// Lets time pass: what was read since is taken off, and words that are too old are forgotten.
    pub fn tick(&mut self, now: Moment) {
        self.now = now;
        let turns = self.words.len().div_ceil(FANOUT).max(1);
        let counts = COUNTS * u32::try_from(turns).unwrap_or(u32::MAX);
        let old = self
            .words
            .extract_if(|_, word| now.since(word.at) >= counts);
        let old: Vec<Word> = old.map(|(_, word)| word).collect();
        for word in &old {
            self.take_off(word);
        }
    }

    fn take_off(&mut self, word: &Word) {
        for held in &word.held {
            if let Some(sum) = self.sums.get_mut(&held.life) {
                sum.take_off(held, word.at);
                if sum.running == 0 && sum.unread == 0 {
                    self.sums.remove(&held.life);
                }
            }
        }
    }
}
