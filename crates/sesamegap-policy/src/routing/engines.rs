//! Which engine runs a prompt given as named parts.
//!
//! All entry VMs rank the engines of a prompt alike, by rendezvous hashing over its shared parts,
//! so the same prefix meets the same engine with no message between VMs and no memory to warm up.
//! Load: a few prefixes are hot, bursts come, and engines leave or take new weights. Harm
//! prevented: a hot prefix that queues behind one engine, and a prefix computed on many. An engine
//! further down the ranking is taken when its wait is shorter by more than fetching the prefix
//! costs, and it is then told to fetch from the first home.

use std::time::Duration;

/// Prompt tokens that an engine reads in a millisecond, for estimates of waits; measured engines
/// read 32 to 38.
const READ_PER_MS: f64 = 30.0;

/// Time that one more running request adds to a first token: one decode step shared by all.
const RUNNING_MS: f64 = 2.0;

/// Time that a request waiting at the engine adds: it must first be read in.
const WAITING_MS: f64 = 60.0;

/// Cost of fetching a shared prefix instead of having it, besides its size: setting up and waiting
/// behind other transfers.
const FETCH_MS: f64 = 20.0;

/// Prompt tokens fetched in a millisecond over a busy link, half of what the slower links carry.
const FETCH_PER_MS: f64 = 500.0;

/// Cost of going to another failure domain: twice the one-way delay and the bytes' price.
const FAR_MS: f64 = 4.0;

/// Cost of weights that are no longer the newest: an answer on them is worth less to callers.
const OLD_MS: f64 = 250.0;

/// Cost of an engine that did not answer lately: worse than any queue, better than refusing.
const SUSPECT_MS: f64 = 20_000.0;

/// One engine as this VM sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// The same number in all VMs.
    pub seed: u64,
    /// Whether it is in the VM's own failure domain.
    pub near: bool,
    /// Requests running there, as far as is known.
    pub running: u32,
    /// Requests waiting there, as far as is known.
    pub waiting: u32,
    /// Prompt tokens sent there by this VM whose first token is still out.
    pub unread: u64,
    /// Whether its weights are the newest.
    pub newest: bool,
    /// Whether it lately failed to answer.
    pub suspect: bool,
    /// Whether it is about to take new weights or to leave.
    pub paused: bool,
}

/// The prompt to place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// Hash of the shared parts.
    pub home: u64,
    /// Tokens of the shared parts.
    pub shared: u64,
}

/// Where a prompt goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index of the engine that runs it.
    pub at: usize,
    /// Index of the first home, if that is another engine that can be fetched from.
    pub source: Option<usize>,
}

/// Rank of an engine for a prompt; the highest is the first home.
pub fn rank(home: u64, seed: u64) -> u64 {
    // The finalizer of splitmix64, whose every input bit moves every output bit.
    let mut x = home ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Picks the engine with the least time to a first token.
pub fn choose(prompt: Prompt, engines: &[Engine]) -> Option<Choice> {
    let home = (0..engines.len()).max_by_key(|no| rank(prompt.home, engines[*no].seed))?;
    let open = (0..engines.len()).filter(|no| !engines[*no].paused);
    let costed = open.map(|no| (cost(prompt, &engines[no], no == home), no));
    let (_, at) = costed.min_by(|a, b| {
        let ranks = || rank(prompt.home, engines[b.1].seed).cmp(&rank(prompt.home, engines[a.1].seed));
        a.0.total_cmp(&b.0).then_with(ranks)
    })?;
    let reachable = !engines[home].suspect;
    let source = (at != home && reachable && prompt.shared > 0).then_some(home);
    Some(Choice { at, source })
}

fn cost(prompt: Prompt, engine: &Engine, home: bool) -> f64 {
    let queue = engine.unread as f64 / READ_PER_MS;
    let load = RUNNING_MS * f64::from(engine.running) + WAITING_MS * f64::from(engine.waiting);
    let fetch = if home {
        0.0
    } else {
        FETCH_MS + prompt.shared as f64 / FETCH_PER_MS
    };
    let far = if engine.near { 0.0 } else { FAR_MS };
    let old = if engine.newest { 0.0 } else { OLD_MS };
    let suspect = if engine.suspect { SUSPECT_MS } else { 0.0 };
    queue + load + fetch + far + old + suspect
}

/// How long an engine may need to read a prompt with nothing cached.
pub fn reading(tokens: u64) -> Duration {
    Duration::from_secs_f64(tokens as f64 / READ_PER_MS / 1000.0)
}
