//! Builds a decider.

use super::Decider;
use crate::load::Windows;
use crate::placing::{Placer, PrefixPlacer};
use rand::SeedableRng;
use rand::rngs::ChaCha12Rng;
use sesamegap_settings::Catalogue;
use sesamegap_wire::{DomainId, VmId};
use std::collections::VecDeque;
use std::sync::Arc;

/// Gathers what a decider needs.
#[derive(Debug)]
pub struct DeciderBuilder {
    vm: VmId,
    domain: DomainId,
    seed: u64,
    catalogue: Arc<Catalogue>,
    placer: Option<Box<dyn Placer>>,
}

impl DeciderBuilder {
    /// Starts with the router's own VM and failure domain.
    pub fn new(vm: VmId, domain: DomainId) -> Self {
        Self {
            vm,
            domain,
            seed: 0,
            catalogue: Arc::default(),
            placer: None,
        }
    }

    /// Seeds random choices, differently in each router.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the settings in force at the start.
    #[must_use]
    pub fn catalogue(mut self, catalogue: Arc<Catalogue>) -> Self {
        self.catalogue = catalogue;
        self
    }

    /// Sets another placer than the one that routers use.
    #[must_use]
    pub fn placer(mut self, placer: Box<dyn Placer>) -> Self {
        self.placer = Some(placer);
        self
    }

    /// Makes the decider.
    pub fn build(self) -> Decider {
        let _ = self.vm;
        let mut placer = self
            .placer
            .unwrap_or_else(|| Box::new(PrefixPlacer::builder(self.domain).build()));
        placer.settings(&self.catalogue);
        Decider {
            placer,
            windows: Windows::default(),
            catalogue: self.catalogue,
            rng: ChaCha12Rng::seed_from_u64(self.seed),
            queue: VecDeque::new(),
            ready: Vec::new(),
        }
    }
}
