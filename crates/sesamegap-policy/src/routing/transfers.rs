//! Where an engine fetches cached shared prefixes from, and whether it saves them to the kept-KV store.
//!
//! Prompts that share a dossier arrive seconds apart, and an engine evicts its cache sooner. To avoid computing the
//! same KV again, the engine fetches what it lacks from the kept-KV store that the prompt's home engine uses,
//! and saves to the store what the store lacks; engines that use another store fetch from the home engine.
//! The store is not queried for its content first, since a fetch that finds nothing costs a millisecond.
//!
//! When caches are cold after a fault, all prompts fetch through the store's single link. The queue there would
//! far outlast the fault, as each prompt that waits in it is late however idle the engines are. So a store
//! is asked for no more at once than it delivers within the callers' objective; engines prefill the other
//! prompts themselves.

use std::num::NonZeroU64;
use std::time::Duration;

/// Shared tokens from which a transfer is worth its setup cost; prefilling them takes 26 ms.
const MIN_SHARED_TOKENS: u64 = 1_000;

/// Longest unshared part of a prompt that may be saved along with the shared ones. It is never requested again,
/// and takes link and storage capacity from shared parts.
const MAX_SAVED_OWN_TOKENS: u64 = 3_000;

/// How long an engine is certain to hold what it has just served; at full load its cache turns over in several
/// seconds.
const CACHE_RETENTION: Duration = Duration::from_secs(2);

/// Bandwidth of a store's link per engine from which engines in other failure domains use the store too. Each token
/// occupies the link twice as long for them, and an engine at full load loses some 10,000 tokens a second.
const REMOTE_MIN_MBPS: u64 = 6_000;

/// Factor by which a token occupies the link longer when it goes to another failure domain.
const REMOTE_FACTOR: u64 = 2;

/// Bits that a link of 1 Mbit/s carries per millisecond.
const BITS_PER_MS: u64 = 1_000;

/// Tokens that a store's link carries per millisecond, or `None` if the size of a token is unknown.
pub fn per_ms(mbps: u64, token_bytes: u64) -> Option<NonZeroU64> {
    let carried = (mbps * BITS_PER_MS).checked_div(token_bytes * 8)?;
    Some(NonZeroU64::new(carried).unwrap_or(NonZeroU64::MIN))
}

/// A fetch from a store, queued behind all earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fetch {
    /// Tokens, weighted by [`Fetch::load`] when they go to another failure domain.
    pub tokens: u64,
    /// Weighted tokens of all fetches in flight, by all VMs.
    pub ahead: u64,
    /// Tokens that the store's link carries per millisecond.
    pub per_ms: NonZeroU64,
}

impl Fetch {
    /// Load that a transfer puts on the store's link, in tokens.
    pub fn load(tokens: u64, near: bool) -> u64 {
        if near { tokens } else { tokens * REMOTE_FACTOR }
    }

    /// Whether the fetch completes within the time that callers can wait.
    pub fn arrives(&self, within: Duration) -> bool {
        Duration::from_millis((self.ahead + self.tokens) / self.per_ms) <= within
    }
}

/// Link of the store nearest to an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// Whether both are in one failure domain.
    pub near: bool,
    /// Bandwidth in Mbit/s.
    pub mbps: u64,
    /// Engines that share it.
    pub engines: usize,
}

/// A placed prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacedPrompt {
    /// Tokens of its shared parts.
    pub shared: u64,
    /// Tokens of its unshared part.
    pub own: u64,
    /// How long ago the engine served its shared parts, if this VM observed it.
    pub served: Option<Duration>,
    /// Whether the store is the one that its home engine uses.
    pub at_store: bool,
    /// Link of the store, if one answers.
    pub link: Option<Link>,
}

/// Transfers that are worthwhile for a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfers {
    /// From the store.
    pub from_store: bool,
    /// From the engine found as source, unless the store is used.
    pub from_engine: bool,
    /// To the store.
    pub save: bool,
}

/// Decides which transfers are worthwhile for a prompt.
pub fn plan(prompt: &PlacedPrompt) -> Transfers {
    let held = prompt.served.is_some_and(|ago| ago < CACHE_RETENTION);
    let long = prompt.shared >= MIN_SHARED_TOKENS;
    let has_capacity = prompt.link.is_some_and(Link::has_capacity);
    let use_store = long && prompt.at_store && has_capacity;
    Transfers {
        from_store: use_store && !held,
        from_engine: !held,
        save: use_store && prompt.own <= MAX_SAVED_OWN_TOKENS,
    }
}

impl Link {
    fn has_capacity(self) -> bool {
        self.near || self.mbps >= REMOTE_MIN_MBPS * self.engines as u64
    }
}
