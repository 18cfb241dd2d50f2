//! Builds the placer that routers use.

use super::candidates::Candidates;
use super::engines::Engines;
use super::feed::Feed;
use super::flights::Flights;
use super::heat::Heat;
use super::index::Index;
use super::peers::Peers;
use super::prefix::PrefixPlacer;
use super::turns::Turns;
use rustc_hash::FxHashMap;
use sesamegap_wire::{DomainId, Moment};

/// Blocks remembered at most: a daemon's share of 120 million blocks over 340 daemons, and half
/// as many again for an uneven share; at 57 bytes each that is 30 MB.
const BLOCKS: usize = 530_000;

/// Gathers what a placer needs.
#[derive(Debug)]
pub struct PrefixBuilder {
    domain: DomainId,
    blocks: usize,
}

impl PrefixBuilder {
    /// Starts with the router's failure domain.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            blocks: BLOCKS,
        }
    }

    /// Sets how many blocks are remembered at most.
    #[must_use]
    pub fn blocks(mut self, most: usize) -> Self {
        self.blocks = most;
        self
    }

    /// Makes the placer.
    pub fn build(self) -> PrefixPlacer {
        PrefixPlacer {
            domain: self.domain,
            engines: Engines::default(),
            index: Index::new(self.blocks),
            heat: Heat::default(),
            flights: Flights::default(),
            peers: Peers::default(),
            turns: Turns::default(),
            feed: Feed::default(),
            candidates: Candidates::default(),
            blocks: FxHashMap::default(),
            tended: Moment(0),
            store: None,
        }
    }
}
