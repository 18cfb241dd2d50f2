//! How much work each prefix brings, in engines kept busy.
//!
//! A space-saving sketch keeps the hottest prefixes of this router's own traffic in bounded
//! memory; peers' digests add theirs. A prefix's work is its requests a second times the seconds
//! that one takes of an engine. Counts halve at a fixed pace, so that the set of a prefix gone
//! cold shrinks, but only some time after it grew: that delay is the hysteresis which keeps a set
//! from flapping at the edge of a size.

use rustc_hash::FxHashMap;
use sesamegap_wire::{BlockKey, Chain, Moment};
use smol_str::SmolStr;
use std::time::Duration;

/// Prefixes counted; the hot ones of a router's share of 35,000 teams fit well.
const MAX_COUNTED: usize = 512;

/// Prefixes named in a digest, which keeps it under a kilobyte.
const MAX_DIGEST_PREFIXES: usize = 32;

/// Time in which a count halves.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// A peer without a digest for this long has no traffic.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Peers whose digests are kept at most, as many as there may be routers.
const MAX_PEERS: usize = 512;

/// Weight of a new request in the learned seconds that one takes.
const SERVICE_TIME_GAIN: f64 = 1.0 / 64.0;

/// A digest kept until its peer's next.
#[derive(Debug)]
struct PeerHeat {
    at: Moment,
    rates: Vec<(BlockKey, f32)>,
}

/// Counts what each prefix asks of the engines.
#[derive(Debug)]
pub struct Heat {
    counts: FxHashMap<BlockKey, f64>,
    last_halved: Moment,
    peers: FxHashMap<SmolStr, PeerHeat>,
    /// Peers' rates added up.
    peer_rates: FxHashMap<BlockKey, f32>,
    /// Seconds that a request takes of an engine, learned.
    service_seconds: f64,
}

impl Default for Heat {
    fn default() -> Self {
        Self {
            counts: FxHashMap::default(),
            last_halved: Moment(0),
            peers: FxHashMap::default(),
            peer_rates: FxHashMap::default(),
            // A guess until the first requests tell.
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

    /// Counts a request for each nested prefix of its prompt.
    pub fn count_prefixes(&mut self, chain: &Chain) {
        for end in chain.levels.iter() {
            let at = usize::from(*end).checked_sub(1);
            if let Some(key) = at.and_then(|at| chain.keys.get(at)) {
                self.count(*key);
            }
        }
    }

    /// Learns the seconds that one request took of an engine.
    pub fn took(&mut self, seconds: f64) {
        self.service_seconds += (seconds - self.service_seconds) * SERVICE_TIME_GAIN;
    }

    /// Engines that a prefix keeps busy, over all routers.
    pub fn busy_engines(&self, key: BlockKey) -> f64 {
        let peer_rates = self.peer_rates.get(&key).copied().unwrap_or(0.0);
        (self.rate(key) + f64::from(peer_rates)) * self.service_seconds
    }

    /// Halves the counts and forgets silent peers when it is time.
    pub fn tend(&mut self, now: Moment) {
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

    /// Takes a peer's rates in place of its former ones.
    pub fn peer(&mut self, from: &str, rates: &[(BlockKey, f32)], now: Moment) {
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

    /// The hottest prefixes of this router's own traffic, in requests a second.
    pub fn hottest(&self) -> Vec<(BlockKey, f32)> {
        let mut all: Vec<_> = self.counts.iter().map(|(k, c)| (*k, *c)).collect();
        all.sort_unstable_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        all.truncate(MAX_DIGEST_PREFIXES);
        let rates = all.into_iter().map(|(key, _)| {
            #[expect(
                clippy::cast_possible_truncation,
                reason = "a rate needs no more digits"
            )]
            let rate = self.rate(key) as f32;
            (key, rate)
        });
        rates.collect()
    }

    /// Prefixes counted now.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether nothing was counted lately.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Requests a second, from a count that halves: the mean count is one and a half half-lives of it.
    fn rate(&self, key: BlockKey) -> f64 {
        let count = self.counts.get(&key).copied().unwrap_or(0.0);
        count / (1.5 * HALF_LIFE.as_secs_f64())
    }

    /// Drops a quarter of the counts, the smallest; gives the largest dropped.
    ///
    /// The newcomer starts from that count, as the sketch's error bound asks.
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
