//! Builder for the placer that routers use.

use super::candidates::Candidates;
use super::engines::Engines;
use super::feed::Feed;
use super::heat::Heat;
use super::in_flight::InFlightRequests;
use super::index::Index;
use super::peers::Peers;
use super::prefix::PrefixPlacer;
use super::priority_waits::PriorityWaits;
use rustc_hash::FxHashMap;
use sesamegap_wire::{DomainId, Moment};

/// Default limit on indexed blocks: one router's share of 120 million blocks over 340 routers, plus
/// half as many again for uneven shares. At 57 bytes per block this takes 30 MB.
const DEFAULT_MAX_BLOCKS: usize = 530_000;

/// Builder for [`PrefixPlacer`].
#[derive(Debug)]
pub struct PrefixBuilder {
    domain: DomainId,
    blocks: usize,
}

impl PrefixBuilder {
    /// Creates a builder for a router in the given failure domain.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            blocks: DEFAULT_MAX_BLOCKS,
        }
    }

    /// Sets the maximum number of blocks in the index.
    #[must_use]
    pub fn blocks(mut self, most: usize) -> Self {
        self.blocks = most;
        self
    }

    /// Builds the placer.
    pub fn build(self) -> PrefixPlacer {
        PrefixPlacer {
            domain: self.domain,
            engines: Engines::default(),
            index: Index::new(self.blocks),
            heat: Heat::default(),
            in_flight: InFlightRequests::default(),
            peers: Peers::default(),
            priority_waits: PriorityWaits::default(),
            feed: Feed::default(),
            candidates: Candidates::default(),
            blocks: FxHashMap::default(),
            last_refresh: Moment(0),
            store: None,
        }
    }
}
