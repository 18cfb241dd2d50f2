//! Load of each prefix, measured in engines kept busy.
//!
//! A space-saving sketch keeps the hottest prefixes of this router's own traffic in bounded
//! memory, and peers' digests add theirs. The load of a prefix is its request rate times the engine
//! seconds per request. Counts are halved at a fixed interval, so the home set of a prefix shrinks
//! some time after its traffic ends. The delay is hysteresis that keeps a set from oscillating
//! between two sizes.

use rustc_hash::FxHashMap;
use sesamegap_wire::{BlockKey, Chain, Moment};
use smol_str::SmolStr;
use std::time::Duration;

/// Maximum number of prefixes counted; enough for the hot ones of a router's share of 35,000 teams.
const MAX_COUNTED: usize = 512;

/// Maximum number of prefixes in a digest, which keeps it under a kilobyte.
const MAX_DIGEST_PREFIXES: usize = 32;

/// Half-life of a count.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// A peer that sent no digest for this long is treated as having no traffic.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of peers whose digests are kept, which is the largest number of routers.
const MAX_PEERS: usize = 512;

/// Weight of a new sample in the learned service time.
const SERVICE_TIME_GAIN: f64 = 1.0 / 64.0;

/// Rates from a peer's latest digest.
#[derive(Debug)]
struct PeerHeat {
    at: Moment,
    rates: Vec<(BlockKey, f32)>,
}

/// Tracks the load that each prefix puts on the engines.
#[derive(Debug)]
pub struct Heat {
    counts: FxHashMap<BlockKey, f64>,
    last_halved: Moment,
    peers: FxHashMap<SmolStr, PeerHeat>,
    /// Sum of the peers' rates.
    peer_rates: FxHashMap<BlockKey, f32>,
    /// Learned seconds of engine time per request.
    service_seconds: f64,
}

impl Default for Heat {
    fn default() -> Self {
        Self {
            counts: FxHashMap::default(),
            last_halved: Moment(0),
            peers: FxHashMap::default(),
            peer_rates: FxHashMap::default(),
            // Initial guess, until requests have been measured.
            service_seconds: 0.2,
        }
    }
}

impl Heat {
    /// Counts a request for a prefix.
    pub fn count(&mut self, key: BlockKey) {
        if let Some(count) = self.counts.get_mut(&key) {
            *count += 1.0;
            return;
        }
        let mut start = 1.0;
        if self.counts.len() >= MAX_COUNTED {
            start += self.evict_smallest();
        }
        self.counts.insert(key, start);
    }

    /// Counts a request once for each nested prefix of its prompt.
    pub fn count_prefixes(&mut self, chain: &Chain) {
        for end in chain.levels.iter() {
            let at = usize::from(*end).checked_sub(1);
            if let Some(key) = at.and_then(|at| chain.keys.get(at)) {
                self.count(*key);
            }
        }
    }

    /// Updates the learned service time with one request's seconds of engine time.
    pub fn record_service_time(&mut self, seconds: f64) {
        self.service_seconds += (seconds - self.service_seconds) * SERVICE_TIME_GAIN;
    }

    /// Number of engines that a prefix keeps busy, over all routers.
    pub fn busy_engines(&self, key: BlockKey) -> f64 {
        let peer_rates = self.peer_rates.get(&key).copied().unwrap_or(0.0);
        (self.rate(key) + f64::from(peer_rates)) * self.service_seconds
    }

    /// Halves the counts and removes timed-out peers once per half-life.
    pub fn decay(&mut self, now: Moment) {
        if now < self.last_halved + HALF_LIFE {
            return;
        }
        self.last_halved = now;
        self.counts.retain(|_, count| {
            *count /= 2.0;
            *count >= 0.25
        });
        self.peers
            .retain(|_, peer| now.since(peer.at) < PEER_TIMEOUT);
        self.sum_peer_rates();
    }

    /// Replaces a peer's rates.
    pub fn set_peer_rates(&mut self, from: &str, rates: &[(BlockKey, f32)], now: Moment) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(from) {
            return;
        }
        let valid = rates
            .iter()
            .take(MAX_DIGEST_PREFIXES)
            .filter(|(_, rate)| *rate >= 0.0);
        let rates = valid.copied().collect();
        self.peers.insert(from.into(), PeerHeat { at: now, rates });
        self.sum_peer_rates();
    }

    /// The hottest prefixes of this router's own traffic, with requests per second.
    pub fn hottest(&self) -> Vec<(BlockKey, f32)> {
        let mut all: Vec<_> = self.counts.iter().map(|(k, c)| (*k, *c)).collect();
        all.sort_unstable_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        all.truncate(MAX_DIGEST_PREFIXES);
        let rates = all.into_iter().map(|(key, _)| {
            #[expect(
                clippy::cast_possible_truncation,
                reason = "`f32` is precise enough for a rate"
            )]
            let rate = self.rate(key) as f32;
            (key, rate)
        });
        rates.collect()
    }

    /// Number of prefixes counted.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether no prefix is counted.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Requests per second, estimated from a count: at a steady rate, the mean count equals the rate
    /// times 1.5 half-lives.
    fn rate(&self, key: BlockKey) -> f64 {
        let count = self.counts.get(&key).copied().unwrap_or(0.0);
        count / (1.5 * HALF_LIFE.as_secs_f64())
    }

    /// Removes the smallest quarter of the counts and returns the largest one removed.
    ///
    /// A new prefix starts from that count, as the error bound of the space-saving sketch requires.
    fn evict_smallest(&mut self) -> f64 {
        let mut all: Vec<_> = self.counts.iter().map(|(k, c)| (*c, *k)).collect();
        let dropped = all.len() / 4;
        all.select_nth_unstable_by(dropped, |a, b| a.0.total_cmp(&b.0));
        for (_, key) in &all[..dropped] {
            self.counts.remove(key);
        }
        all[..dropped].iter().map(|(c, _)| *c).fold(0.0, f64::max)
    }

    fn sum_peer_rates(&mut self) {
        self.peer_rates.clear();
        for (key, rate) in self.peers.values().flat_map(|peer| &peer.rates) {
            *self.peer_rates.entry(*key).or_default() += rate;
        }
    }
}
