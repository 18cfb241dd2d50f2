//! Builds a decider.

use super::Decider;
use super::flights::Flights;
use super::outlook::Outlook;
use crate::load::Windows;
use crate::load::limits::{RetryBudget, RetrySchedule, Shares, TeamLimits};
use crate::load::queue::Queue;
use crate::load::windows::WindowKind;
use crate::placing::{Placer, PrefixPlacer};
use rand::SeedableRng;
use rand::rngs::ChaCha12Rng;
use sesamegap_settings::Catalogue;
use sesamegap_wire::{DomainId, Moment};
use std::sync::Arc;

/// Gathers what a decider needs.
#[derive(Debug)]
pub struct DeciderBuilder {
    domain: DomainId,
    seed: u64,
    catalogue: Arc<Catalogue>,
    placer: Option<Box<dyn Placer>>,
    window: WindowKind,
}

impl DeciderBuilder {
    /// Starts with the router's own failure domain.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            seed: 0,
            catalogue: Arc::default(),
            placer: None,
            window: WindowKind::default(),
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

    /// Sets another kind of window than the one that routers use.
    #[must_use]
    pub fn window(mut self, kind: WindowKind) -> Self {
        self.window = kind;
        self
    }

    /// Makes the decider.
    pub fn build(self) -> Decider {
        let domain = self.domain;
        let placer = self
            .placer
            .unwrap_or_else(|| Box::new(PrefixPlacer::builder(domain).build()));
        let mut decider = Decider {
            placer,
            windows: Windows::new(self.window),
            catalogue: Arc::default(),
            rng: ChaCha12Rng::seed_from_u64(self.seed),
            queue: Queue::default(),
            flights: Flights::default(),
            outlook: Outlook::default(),
            teams: TeamLimits::default(),
            shares: Shares::default(),
            budget: RetryBudget::default(),
            comebacks: RetrySchedule::default(),
            highest: 0,
            retry: None,
            swept: Moment::default(),
            ready: Vec::new(),
        };
        decider.settings(self.catalogue);
        decider
    }
}
