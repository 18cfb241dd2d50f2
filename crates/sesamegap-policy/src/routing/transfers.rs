//! Where an engine fetches shared parts from, and whether it has them kept.
//!
//! Load: prompts of one dossier come seconds apart, and an engine's memory turns over sooner. Harm
//! prevented: what was computed for the last one is computed again. What the engine lacks comes
//! from the store of kept cache that the prompt's home uses, and what that lacks is saved to it; engines
//! beside another store fetch from the home. The store is not asked what it holds: asking in vain costs a
//! millisecond.
//!
//! Load: caches are cold after a fault, and all prompts fetch through the one link of the store. Harm prevented:
//! a queue there that outlasts the fault by far, since each prompt that waits in it comes late, however idle
//! the engines are. So only as much is asked of a store at once as it delivers within the callers' objective;
//! other prompts are read by their engines meanwhile.

use std::num::NonZeroU64;
use std::time::Duration;

/// Shared tokens from which a transfer is worth its setting up; reading them takes 26 ms.
const LEAST: u64 = 1_000;

/// Longest own part of a prompt that is sent to be kept along with the shared ones: nobody asks
/// for it again, and it takes the store's link and room from what is shared.
const OWN_KEPT: u64 = 3_000;

/// How long an engine surely still holds what it has just served; its memory turns over in several
/// seconds at full load.
const STILL_HELD: Duration = Duration::from_secs(2);

/// Part of a store's link for each engine from which engines in other failure domains use it too, where each token
/// takes it twice as long: an engine at full load loses some 10,000 tokens a second.
const FAR_MBPS: u64 = 6_000;

/// How many times longer a token is on a link to another failure domain.
const FAR_TIMES: u64 = 2;

/// Bits that a link of one Mbit/s carries in a millisecond.
const BITS_PER_MS: u64 = 1_000;

/// Tokens that a store's link carries in a millisecond; none if the size of a token is not known.
pub fn per_ms(mbps: u64, token_bytes: u64) -> Option<NonZeroU64> {
    let carried = (mbps * BITS_PER_MS).checked_div(token_bytes * 8)?;
    Some(NonZeroU64::new(carried).unwrap_or(NonZeroU64::MIN))
}

/// A fetch from a store, behind all that was asked of it before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fetch {
    /// Tokens, those to another failure domain counted as often as they take longer.
    pub tokens: u64,
    /// The same of all fetches that are on their way, by all VMs.
    pub ahead: u64,
    /// Tokens that the store's link carries in a millisecond.
    pub per_ms: NonZeroU64,
}

impl Fetch {
    /// Tokens of a transfer as they load the store's link.
    pub fn load(tokens: u64, near: bool) -> u64 {
        if near { tokens } else { tokens * FAR_TIMES }
    }

    /// Whether it arrives within the time that callers can wait.
    pub fn arrives(&self, within: Duration) -> bool {
        Duration::from_millis((self.ahead + self.tokens) / self.per_ms) <= within
    }
}

/// The link of the store that is nearest to an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// Whether both are in one failure domain.
    pub near: bool,
    /// What it carries, Mbit/s.
    pub mbps: u64,
    /// Engines that share it.
    pub engines: usize,
}

/// A placed prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Wish {
    /// Tokens of its shared parts.
    pub shared: u64,
    /// Tokens of its own part.
    pub own: u64,
    /// How long ago the engine served its shared parts, if this VM saw it.
    pub served: Option<Duration>,
    /// Whether the store is the one that its home uses.
    pub at_store: bool,
    /// The store, if there is one that answers.
    pub link: Option<Link>,
}

/// The transfers that it is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfers {
    /// From the store.
    pub from_store: bool,
    /// From the engine that was found as source, unless from the store.
    pub from_engine: bool,
    /// To the store.
    pub save: bool,
}

/// Decides which transfers a prompt is worth.
pub fn wish(wish: &Wish) -> Transfers {
    let held = wish.served.is_some_and(|ago| ago < STILL_HELD);
    let long = wish.shared >= LEAST;
    let carries = wish.link.is_some_and(Link::carries);
    let kept = long && wish.at_store && carries;
    Transfers {
        from_store: kept && !held,
        from_engine: !held,
        save: kept && wish.own <= OWN_KEPT,
    }
}

impl Link {
    fn carries(self) -> bool {
        self.near || self.mbps >= FAR_MBPS * self.engines as u64
    }
}
