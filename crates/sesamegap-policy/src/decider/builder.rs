//! Builder for [`Decider`].

use super::Decider;
use super::attempts::AttemptTable;
use super::estimator::WaitEstimator;
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

/// Configures and builds a [`Decider`].
#[derive(Debug)]
pub struct DeciderBuilder {
    domain: DomainId,
    seed: u64,
    catalogue: Arc<Catalogue>,
    placer: Option<Box<dyn Placer>>,
    window: WindowKind,
}

impl DeciderBuilder {
    /// Creates a builder for a router in the given failure domain.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            seed: 0,
            catalogue: Arc::default(),
            placer: None,
            window: WindowKind::default(),
        }
    }

    /// Sets the seed for random choices; it should differ between routers.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the initial settings.
    #[must_use]
    pub fn catalogue(mut self, catalogue: Arc<Catalogue>) -> Self {
        self.catalogue = catalogue;
        self
    }

    /// Replaces the placer that routers use by default.
    #[must_use]
    pub fn placer(mut self, placer: Box<dyn Placer>) -> Self {
        self.placer = Some(placer);
        self
    }

    /// Replaces the kind of window that routers use by default.
    #[must_use]
    pub fn window(mut self, kind: WindowKind) -> Self {
        self.window = kind;
        self
    }

    /// Builds the decider.
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
            attempts: AttemptTable::default(),
            estimator: WaitEstimator::default(),
            teams: TeamLimits::default(),
            shares: Shares::default(),
            budget: RetryBudget::default(),
            retry_schedule: RetrySchedule::default(),
            highest_priority: 0,
            recheck_at: None,
            last_sweep: Moment::default(),
            decisions: Vec::new(),
        };
        decider.settings(self.catalogue);
        decider
    }
}
