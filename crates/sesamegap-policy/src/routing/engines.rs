//! Which engine runs a prompt given as named parts, and where it fetches cached parts from.
//!
//! All entry VMs rank the engines of a prefix alike, by rendezvous hashing over its parts, so the
//! same prefix meets the same engine with no message between VMs and no memory to warm up.
//!
//! Load: weights change under full traffic, and every cache is empty at once; a few outer prefixes
//! are shared by most prompts. Harm prevented: each engine computing the same outer prefix for
//! itself. So a VM sends the first prompt of an outer prefix to that prefix's own home, and once it
//! has seen it served there, spreads the inner prefixes over their homes, which fetch the outer
//! one. Measured over 34 s with five namings, shared tokens computed again fall from 156,000 to
//! 138,000 on nine engines and from 242,000 to 193,000 on twelve (means of two runs each).
//!
//! Load: long prompts and short ones with long answers share the engines. Harm prevented: a long
//! prompt is read in pieces between the tokens of all streams of its engine, each piece a tenth of
//! a second; streams slow down, hold their memory for longer, and leave none for cached prefixes.
//! So each kind has engines of its own, and crosses over only from a queue.
//!
//! Load: a few prefixes are hot, bursts come, and engines leave. Harm prevented: a hot prefix that
//! queues behind one engine. An engine further down the ranking is taken when its wait is shorter
//! by more than fetching the prefix costs.

use super::Openness;
use super::recall::Recall;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prompt tokens that an engine reads in a millisecond, for estimates of waits; measured engines
/// read 32 to 38.
pub const READ_PER_MS: u64 = 30;

/// Weight of a queue against other costs: a prompt that is read stalls the answers that run there
/// too. On 140 engines, 1.0, 2.0 and 3.0 left 825, 791 and 735 of 4,536 long answers late.
const QUEUE: f64 = 3.0;

/// Time that one more running request adds to a first token: one decode step shared by all.
const RUNNING_MS: f64 = 2.0;

/// Time that a request waiting at the engine adds: it must first be read in.
const WAITING_MS: f64 = 60.0;

/// Time until an engine with all slots taken has one free, for each request that waits for one:
/// answers of 1.5 s on twelve slots.
const OVER_MS: f64 = 120.0;

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

/// Prompts from this many tokens on are long; the shared preambles of long ones alone are more.
const LONG: u64 = 3_000;

/// Percentage of the engines that long prompts have: with nine to twelve engines all parts from 55
/// to 78 serve alike; on 140 engines with twelve slots, 55 left two of three long answers late and 75
/// two of five.
const LONG_PART: usize = 70;

/// Key under which engines are ranked for the long prompts.
const LONG_KEY: u64 = 0x6c6f_6e67;

/// Cost of crossing over to engines of the other kind: one piece of a long prompt.
const CROSS_MS: f64 = 250.0;

/// One engine as this VM sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// The same number in all VMs.
    pub seed: u64,
    /// Number of its present life, the same in all VMs: what a former one has read is gone.
    pub life: u64,
    /// Whether it is in the VM's own failure domain.
    pub near: bool,
    /// Requests running there, as far as is known.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests waiting there, as far as is known.
    pub waiting: u32,
    /// Prompt tokens sent there by all VMs whose first token is still out, as far as is known.
    pub unread: u64,
    /// Version of its weights.
    pub version: u32,
    /// Whether it takes work.
    pub state: Openness,
    /// Whether long prompts have it.
    pub long: bool,
    /// Number of the store of kept cache that it uses; zero if there is none.
    pub store: u64,
}

/// A shared prefix: all parts up to one of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// Hash of its parts.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// The prompt to place.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its shared prefixes, the outermost first.
    pub prefixes: Vec<Prefix>,
    /// All its tokens.
    pub tokens: u64,
}

/// An engine for the division between long and short prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Divided {
    /// The same number in all VMs.
    pub seed: u64,
    /// Whether it is in the failure domain of the store of kept cache.
    pub by_store: bool,
}

/// Which of these engines long prompts have.
///
/// Those beside the store of kept cache come first: transfers between failure domains take twice as
/// long, and nearly all tokens that are transferred are those of long prompts.
pub fn for_long(engines: &[Divided]) -> Vec<bool> {
    let count = (engines.len() * LONG_PART + 50) / 100;
    let mut order: Vec<usize> = (0..engines.len()).collect();
    order.sort_by_key(|no| {
        let engine = &engines[*no];
        std::cmp::Reverse((engine.by_store, rank(LONG_KEY, engine.seed)))
    });
    let mut long = vec![false; engines.len()];
    for no in order.into_iter().take(count) {
        long[no] = true;
    }
    long
}

impl Prompt {
    fn is_long(&self) -> bool {
        self.tokens >= LONG
    }

    fn outer(&self) -> Prefix {
        self.prefixes
            .first()
            .copied()
            .unwrap_or(Prefix { hash: 0, tokens: 0 })
    }

    fn inner(&self) -> Prefix {
        self.prefixes.last().copied().unwrap_or(self.outer())
    }
}

/// Where a prompt goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index of the engine that runs it.
    pub at: usize,
    /// Index of the engine to fetch shared parts from.
    pub source: Option<usize>,
    /// Whether the store that it uses is the one of the prompt's home, which most likely has its parts.
    pub at_store: bool,
}

/// A number for a name, the same in all VMs.
pub fn seed(name: &str) -> u64 {
    // FNV-1a; what it lacks in mixing, ranking adds.
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Time that an engine needs to read this many tokens.
pub fn reading(tokens: u64) -> Duration {
    Duration::from_millis(tokens / READ_PER_MS)
}

/// Rank of an engine for a prefix; the highest is its home.
pub fn rank(prefix: u64, seed: u64) -> u64 {
    // The finalizer of splitmix64, whose every input bit moves every output bit.
    let mut x = prefix ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Picks the engine with the least time to a first token, `newest` being the weights wanted.
pub fn choose(prompt: &Prompt, engines: &[Engine], newest: u32, recall: &Recall) -> Option<Choice> {
    let fresh = |no: &usize| engines[*no].version >= newest;
    let open = || (0..engines.len()).filter(|no| engines[*no].state != Openness::Paused);
    let new_home = home(prompt, engines, &open().filter(fresh), recall);
    let old_home = home(prompt, engines, &open().filter(|no| !fresh(no)), recall);
    let home_of = |no: usize| if fresh(&no) { new_home } else { old_home };
    let reach = |no: usize| Reach::between(engines, no, home_of(no));
    let costed = open().map(|no| (cost(prompt, &engines[no], reach(no), fresh(&no)), no));
    let (_, at) = costed.min_by(|a, b| {
        let ranks = || {
            let rank = |no: usize| rank(prompt.inner().hash, engines[no].seed);
            rank(b.1).cmp(&rank(a.1))
        };
        a.0.total_cmp(&b.0).then_with(ranks)
    })?;
    let source = source(prompt, engines, at, home_of(at), recall);
    Some(Choice {
        at,
        source,
        at_store: reach(at) != Reach::Far,
    })
}

/// How an engine comes by what a prompt's home has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// It is the home.
    Home,
    /// From the store that both use.
    Store,
    /// From the home alone.
    Far,
}

impl Reach {
    fn between(engines: &[Engine], at: usize, home: Option<usize>) -> Self {
        match home {
            Some(home) if home == at => Self::Home,
            Some(home) if engines[home].store == engines[at].store => Self::Store,
            _ => Self::Far,
        }
    }
}

/// The home of a prompt among engines with the same weights.
fn home(
    prompt: &Prompt,
    engines: &[Engine],
    group: &(impl Iterator<Item = usize> + Clone),
    recall: &Recall,
) -> Option<usize> {
    let sound = || {
        group
            .clone()
            .filter(|no| engines[*no].state == Openness::Open)
    };
    let own = || sound().filter(|no| engines[*no].long == prompt.is_long());
    let best = |prefix: u64| {
        let by_rank = |no: &usize| rank(prefix, engines[*no].seed);
        own()
            .max_by_key(by_rank)
            .or_else(|| sound().max_by_key(by_rank))
    };
    let first = best(prompt.outer().hash)?;
    if recall.served(prompt.outer().hash, &engines[first]) {
        best(prompt.inner().hash)
    } else {
        Some(first)
    }
}

/// The home of a prompt's innermost shared prefix, among engines given by number and whether long prompts have them.
pub fn inner_home(prompt: &Prompt, engines: impl Iterator<Item = (u64, bool)>) -> Option<u64> {
    let inner = prompt.inner().hash;
    let best = engines.max_by_key(|(seed, long)| (*long == prompt.is_long(), rank(inner, *seed)));
    best.map(|(seed, _)| seed)
}

/// The engine to fetch from: one that this VM saw serve the longest shared prefix, else the prompt's
/// home, and at home that of the outermost prefix, which most likely holds that.
fn source(
    prompt: &Prompt,
    engines: &[Engine],
    at: usize,
    home: Option<usize>,
    recall: &Recall,
) -> Option<usize> {
    let usable = |no: &usize| {
        let engine = &engines[*no];
        *no != at && engine.state == Openness::Open && engine.version == engines[at].version
    };
    let others = || (0..engines.len()).filter(usable);
    let seen = prompt.prefixes.iter().rev().find_map(|prefix| {
        if recall.served(prefix.hash, &engines[at]) {
            // It has the prefix itself, and nobody is known to have more.
            return Some(None);
        }
        let served = |no: &usize| recall.last(prefix.hash, engines[*no].life, engines[*no].version);
        let mut holders = others().filter(|no| served(no).is_some());
        let holder = if recall.is_whole() {
            // What was served longest ago was most likely dropped since.
            holders.max_by_key(served)
        } else {
            holders.next()
        };
        holder.map(Some)
    });
    match seen {
        Some(Some(holder)) => Some(holder),
        Some(None) => None,
        None => home
            .filter(usable)
            .or_else(|| others().max_by_key(|no| rank(prompt.outer().hash, engines[*no].seed))),
    }
}

fn cost(prompt: &Prompt, engine: &Engine, reach: Reach, fresh: bool) -> f64 {
    let queue = QUEUE * engine.unread as f64 / READ_PER_MS as f64;
    let over = (engine.running + 1).saturating_sub(engine.slots);
    let load = RUNNING_MS * f64::from(engine.running)
        + WAITING_MS * f64::from(engine.waiting)
        + OVER_MS * f64::from(over);
    let moves = FETCH_MS + prompt.inner().tokens as f64 / FETCH_PER_MS;
    let fetch = match reach {
        Reach::Home => 0.0,
        Reach::Store => moves,
        // What the home has lost is read again, which is work like that of any queue.
        Reach::Far => moves + QUEUE * prompt.inner().tokens as f64 / READ_PER_MS as f64,
    };
    let cross = if engine.long == prompt.is_long() {
        0.0
    } else {
        CROSS_MS
    };
    let far = if engine.near { 0.0 } else { FAR_MS };
    let old = if fresh { 0.0 } else { OLD_MS };
    let suspect = if engine.state == Openness::Suspect {
        SUSPECT_MS
    } else {
        0.0
    };
    queue + load + fetch + cross + far + old + suspect
}
