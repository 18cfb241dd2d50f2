//! Which engine runs a prompt given as named parts, and where it fetches cached parts from.
//!
//! All entry VMs rank the engines for a prefix in the same way, by rendezvous hashing over its parts. The same
//! prefix therefore reaches the same engine without messages between VMs and without state to warm up. The
//! highest-ranked engine is called the home of the prefix.
//!
//! When weights change under full traffic, every cache is empty at once, and a few outer prefixes are shared by
//! most prompts. To keep each engine from computing the same outer prefix, a VM sends the first prompt of an
//! outer prefix to that prefix's own home. Once it has observed that the home served it, the VM spreads the inner
//! prefixes over their homes, which fetch the outer one. Measured over 34 s with five namings of new weights, this
//! reduces shared tokens that are computed again from 156,000 to 138,000 on nine engines and from 242,000 to 193,000
//! on twelve (means of two runs each).
//!
//! In a fleet of 985 VMs and 9,715 engines, each owner of a shard places a prompt of an outer prefix every fifteen seconds.
//! Sending the first one to the prefix's own home would take seven of ten prompts away from the home of their inner
//! prefix, where the next prompt looks for it. So an owner does so only for prefixes whose prompts follow each other
//! closely; the home of a rare one fetches the outer prefix from the kept-KV store.
//!
//! Long prompts share the engines with short prompts that have long answers. A long prompt is prefilled in chunks
//! of a tenth of a second between the tokens of all streams of its engine. This slows the streams down, so they
//! hold their memory for longer and leave none for cached prefixes. So each kind of prompt has its own engines,
//! and uses the others only to avoid a queue.
//!
//! Some prefixes are hot, load comes in bursts, and engines leave. So that a hot prefix does not queue behind one
//! engine, a lower-ranked engine is chosen when its wait is shorter by more than the cost of fetching the prefix.
//!
//! Some engines share their machines and are slower than the others. Waits are estimated by each engine's speed, and the
//! VM that places all prompts of a shard gives each engine homes in proportion to its speed. VMs that place alone have
//! each measured other prompts, so there all engines have the same weight, and the VMs agree on the homes.

use super::Availability;
use super::cache_locations::CacheLocations;
use super::homes;
use super::speeds::Speed;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prompt tokens that an engine prefills per millisecond, for wait estimates; measured engines prefill 32 to 38.
pub const PREFILL_TOKENS_PER_MS: u64 = 30;

/// Weight of the prefill queue relative to other costs, as a prefill also stalls the answers that run on the
/// engine. On 140 engines, weights of 1.0, 2.0 and 3.0 made 825, 791 and 735 of 4,536 long answers late.
const QUEUE_WEIGHT: f64 = 3.0;

/// Delay that each running request adds to a first token: one decode step shared by all.
const RUNNING_MS: f64 = 2.0;

/// Delay that each request waiting at the engine adds, since it must be prefilled first.
const WAITING_MS: f64 = 60.0;

/// Time until a full engine frees a slot, per request waiting for one: answers of 1.5 s on twelve slots.
const SLOT_WAIT_MS: f64 = 120.0;

/// Fixed cost of fetching a shared prefix that the engine lacks: setup, and waiting for other transfers.
const FETCH_MS: f64 = 20.0;

/// Prompt tokens fetched per millisecond over a busy link: half the capacity of the slower links.
const FETCH_PER_MS: f64 = 500.0;

/// Cost of crossing to another failure domain: the round-trip delay and the price of the traffic.
const CROSS_DOMAIN_MS: f64 = 4.0;

/// Cost of outdated weights: an answer computed with them is worth less to callers.
const OLD_WEIGHTS_MS: f64 = 250.0;

/// Cost of an engine that recently failed to answer: worse than any queue, better than refusing the request.
const SUSPECT_MS: f64 = 20_000.0;

/// Minimum tokens of a long prompt; the shared preambles of long prompts alone exceed this.
const LONG_PROMPT_TOKENS: u64 = 3_000;

/// Percentage of the engines reserved for long prompts. With nine to twelve engines, all values from 55 to 78 perform
/// alike; on 140 engines with twelve slots, 55 made two of three long answers late, and 75 two of five.
const LONG_PERCENT: usize = 70;

/// Hash key for ranking engines for long prompts.
const LONG_KEY: u64 = 0x6c6f_6e67;

/// Cost of using an engine reserved for the other kind of prompt: one prefill chunk of a long prompt.
const OTHER_KIND_MS: f64 = 250.0;

/// An engine as this VM sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Hash seed, identical on all VMs.
    pub seed: u64,
    /// Seed of its current incarnation, identical on all VMs. A restart loses the cache of the previous one.
    pub life: u64,
    /// Whether it is in the VM's own failure domain.
    pub near: bool,
    /// Known running requests.
    pub running: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Known waiting requests.
    pub waiting: u32,
    /// Known prompt tokens, sent by all VMs, of requests whose first token has not arrived.
    pub unread: u64,
    /// Version of its weights.
    pub version: u32,
    /// Whether it accepts work.
    pub state: Availability,
    /// Whether it is reserved for long prompts.
    pub long: bool,
    /// Seed of the kept-KV store that it uses, or zero if there is none.
    pub store: u64,
    /// How fast it works.
    pub speed: Speed,
    /// Its share of the homes of prefixes relative to other engines; usual unless one VM places all of their prompts.
    pub weight: Speed,
}

/// A shared prefix: all parts up to and including one of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// Hash of its parts.
    pub hash: u64,
    /// Number of tokens.
    pub tokens: u64,
}

/// The prompt to place.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Shared prefixes, outermost first.
    pub prefixes: Vec<Prefix>,
    /// Total number of tokens.
    pub tokens: u64,
}

/// An engine to assign to long or short prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLocation {
    /// Hash seed, identical on all VMs.
    pub seed: u64,
    /// Whether it is in the failure domain of the kept-KV store.
    pub by_store: bool,
}

/// Picks the engines reserved for long prompts.
///
/// Engines in the kept-KV store's failure domain come first: transfers between failure domains take twice as
/// long, and nearly all transferred tokens belong to long prompts.
pub fn for_long(engines: &[EngineLocation]) -> Vec<bool> {
    let count = (engines.len() * LONG_PERCENT + 50) / 100;
    let mut order: Vec<usize> = (0..engines.len()).collect();
    if count > 0 && count < order.len() {
        order.select_nth_unstable_by_key(count, |no| {
            let engine = &engines[*no];
            std::cmp::Reverse((engine.by_store, rank(LONG_KEY, engine.seed)))
        });
    }
    let mut long = vec![false; engines.len()];
    for no in order.into_iter().take(count) {
        long[no] = true;
    }
    long
}

impl Prompt {
    pub(super) fn is_long(&self) -> bool {
        self.tokens >= LONG_PROMPT_TOKENS
    }

    pub(super) fn outer(&self) -> Prefix {
        self.prefixes
            .first()
            .copied()
            .unwrap_or(Prefix { hash: 0, tokens: 0 })
    }

    pub(super) fn inner(&self) -> Prefix {
        self.prefixes.last().copied().unwrap_or(self.outer())
    }
}

/// Placement of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index of the engine that runs it.
    pub at: usize,
    /// Index of the engine to fetch shared parts from.
    pub source: Option<usize>,
    /// Whether the engine uses the same store as the prompt's home, which most likely holds the shared parts.
    pub at_store: bool,
}

/// Hash of a name, identical on all VMs.
pub fn seed(name: &str) -> u64 {
    // FNV-1a. It mixes poorly, which `rank` makes up for.
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Time that an engine of this speed needs to prefill this many tokens.
pub fn prefill_time(tokens: u64, speed: Speed) -> Duration {
    let usual = Duration::from_millis(tokens / PREFILL_TOKENS_PER_MS);
    if speed.is_usual() {
        usual
    } else {
        usual.div_f64(speed.ratio())
    }
}

/// Rank of an engine for a prefix; the highest is its home.
pub fn rank(prefix: u64, seed: u64) -> u64 {
    // Finalizer of splitmix64, in which every input bit affects every output bit.
    let mut x = prefix ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Picks the engine with the lowest expected time to first token; `newest` is the desired weights version.
pub fn choose(
    prompt: &Prompt,
    engines: &[Engine],
    newest: u32,
    cache_locations: &CacheLocations,
) -> Option<Choice> {
    let fresh = |no: &usize| engines[*no].version >= newest;
    let open = || (0..engines.len()).filter(|no| engines[*no].state != Availability::Paused);
    let new_home = home(prompt, engines, &open().filter(fresh), cache_locations);
    let old_home = home(
        prompt,
        engines,
        &open().filter(|no| !fresh(no)),
        cache_locations,
    );
    let home_of = |no: usize| if fresh(&no) { new_home } else { old_home };
    let reach = |no: usize| Reach::between(engines, no, home_of(no));
    let inner = prompt.inner().hash;
    let costed = open().map(|no| {
        let engine = &engines[no];
        let held = !engine.speed.is_usual() && cache_locations.served(inner, engine);
        (cost(prompt, engine, reach(no), fresh(&no), held), no)
    });
    let (_, at) = costed.min_by(|a, b| {
        let ranks = || {
            let rank = |no: usize| rank(prompt.inner().hash, engines[no].seed);
            rank(b.1).cmp(&rank(a.1))
        };
        a.0.total_cmp(&b.0).then_with(ranks)
    })?;
    let source = source(prompt, engines, at, home_of(at), cache_locations);
    Some(Choice {
        at,
        source,
        at_store: reach(at) != Reach::Far,
    })
}

/// How an engine can obtain what a prompt's home holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// It is the home itself.
    Home,
    /// From the kept-KV store that both use.
    Store,
    /// Only from the home.
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
    cache_locations: &CacheLocations,
) -> Option<usize> {
    let open = || {
        group
            .clone()
            .filter(|no| engines[*no].state == Availability::Open)
    };
    let same_kind = || open().filter(|no| engines[*no].long == prompt.is_long());
    let best = |prefix: u64| {
        let by_rank = |a: &usize, b: &usize| homes::compare(prefix, &engines[*a], &engines[*b]);
        same_kind()
            .max_by(by_rank)
            .or_else(|| open().max_by(by_rank))
    };
    let first = best(prompt.outer().hash)?;
    let outer = prompt.outer().hash;
    if cache_locations.served(outer, &engines[first]) || cache_locations.is_rare(outer) {
        best(prompt.inner().hash)
    } else {
        Some(first)
    }
}

/// The engine to fetch from: one that this VM observed serving the longest shared prefix, otherwise the prompt's
/// home. At the home itself, the home of the outermost prefix, which most likely holds that prefix.
fn source(
    prompt: &Prompt,
    engines: &[Engine],
    at: usize,
    home: Option<usize>,
    cache_locations: &CacheLocations,
) -> Option<usize> {
    let usable = |no: &usize| {
        let engine = &engines[*no];
        *no != at && engine.state == Availability::Open && engine.version == engines[at].version
    };
    let others = || (0..engines.len()).filter(usable);
    let seen = prompt.prefixes.iter().rev().find_map(|prefix| {
        if cache_locations.served(prefix.hash, &engines[at]) {
            // The engine has the prefix itself, and no engine is known to have more.
            return Some(None);
        }
        let served =
            |no: &usize| cache_locations.last(prefix.hash, engines[*no].life, engines[*no].version);
        let mut holders = others().filter(|no| served(no).is_some());
        let holder = if cache_locations.is_complete() {
            // A prefix that was served long ago has most likely been evicted, so prefer the latest.
            holders.max_by_key(served)
        } else {
            holders.next()
        };
        holder.map(Some)
    });
    match seen {
        Some(Some(holder)) => Some(holder),
        Some(None) => None,
        None => home.filter(usable).or_else(|| {
            let outer = prompt.outer().hash;
            others().max_by(|a, b| homes::compare(outer, &engines[*a], &engines[*b]))
        }),
    }
}

/// Expected time to first token at an engine, in milliseconds; `held` tells whether it has the shared prefix, and matters
/// only if its speed is not the usual one.
fn cost(prompt: &Prompt, engine: &Engine, reach: Reach, fresh: bool, held: bool) -> f64 {
    let speed = engine.speed.ratio();
    let queue = QUEUE_WEIGHT * engine.unread as f64 / PREFILL_TOKENS_PER_MS as f64;
    let excess = engine
        .running
        .saturating_add(1)
        .saturating_sub(engine.slots);
    let load = RUNNING_MS * f64::from(engine.running)
        + WAITING_MS * f64::from(engine.waiting)
        + SLOT_WAIT_MS * f64::from(excess);
    let transfer = FETCH_MS + prompt.inner().tokens as f64 / FETCH_PER_MS;
    let fetch = match reach {
        Reach::Home => 0.0,
        Reach::Store => transfer,
        // What the home has lost is prefilled again, which costs as much as the same work in a queue.
        Reach::Far => {
            let again = QUEUE_WEIGHT * prompt.inner().tokens as f64 / PREFILL_TOKENS_PER_MS as f64;
            transfer + again / speed
        }
    };
    let other_kind = if engine.long == prompt.is_long() {
        0.0
    } else {
        OTHER_KIND_MS
    };
    let far = if engine.near { 0.0 } else { CROSS_DOMAIN_MS };
    let old = if fresh { 0.0 } else { OLD_WEIGHTS_MS };
    let suspect = if engine.state == Availability::Suspect {
        SUSPECT_MS
    } else {
        0.0
    };
    let own = own_prefill(prompt, engine, reach, held);
    queue / speed + load / speed + fetch + other_kind + far + old + suspect + own
}

/// Time that an engine needs for the prompt itself beyond that of a usual engine; zero for a usual one.
fn own_prefill(prompt: &Prompt, engine: &Engine, reach: Reach, held: bool) -> f64 {
    if engine.speed.is_usual() {
        return 0.0;
    }
    // Elsewhere than at its home, the prompt's shared prefix is fetched.
    let is_shared = held || reach != Reach::Home;
    let shared = if is_shared { prompt.inner().tokens } else { 0 };
    let tokens = prompt.tokens.saturating_sub(shared);
    let usual = tokens as f64 / PREFILL_TOKENS_PER_MS as f64;
    usual / engine.speed.ratio() - usual
}
