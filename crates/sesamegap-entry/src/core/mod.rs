//! What all tasks of a process share.

mod active;

pub use active::{ActiveRequestGuard, ActiveRequests};

use crate::catalogue::{Catalogue, Document, Revision};
use crate::clock;
use crate::fleet::{Fleet, Rules, SharedFleet};
use crate::follow::Known;
use crate::peers::Peers;
use crate::placing::Desk;
use crate::ports::{Ports, Table};
use crate::quarantine::Quarantine;
use crate::settings::Settings;
use crate::store::StoreClient;
use crate::telemetry::metrics::Metrics;
use crate::telemetry::{Logging, events};
use arc_swap::{ArcSwap, ArcSwapOption};
use rustc_hash::FxHashMap;
use sesamegap_policy::routing::belief;
use sesamegap_policy::routing::budget::Budget;
use sesamegap_wire::ServiceId;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{Notify, Semaphore, watch};
use tracing::info;

/// Where a process is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It was told to stop: it names others and closes connections after their next answer.
    Leaving,
    /// It closes idle connections.
    Closing,
    /// It takes no more connections.
    Ended,
}

/// What all tasks of a process share.
#[derive(Debug)]
pub struct Core {
    /// The platform.
    pub ports: Ports,
    /// The store.
    pub store: StoreClient,
    /// The upstreams.
    pub fleet: SharedFleet,
    /// The other entry VMs.
    pub peers: Peers,
    /// What owners of shards place for this VM.
    pub desk: Desk,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The log.
    pub logging: Logging,
    /// Wakes the roll when weights were named.
    pub weights_named: Notify,
    /// Requests being worked on.
    pub active: Arc<ActiveRequests>,
    /// Room for request bodies, in KiB.
    pub body_permits: Arc<Semaphore>,
    /// Requests under which upstreams ended.
    pub quarantine: Quarantine,
    tables: [Known; 4],
    settings: ArcSwap<Settings>,
    catalogue: ArcSwapOption<Catalogue>,
    budgets: Mutex<FxHashMap<ServiceId, Budget>>,
    phase: watch::Sender<Phase>,
}

impl Core {
    /// Sets up a process that knows nothing yet.
    ///
    /// # Errors
    /// If metrics cannot be set up.
    pub fn new(settings: Settings, ports: Ports, logging: Logging) -> anyhow::Result<Self> {
        let rules = Rules {
            belief: belief::Rules::new(
                settings.durations.lapse,
                settings.durations.heartbeat,
                settings.durations.drain,
            ),
            weights: settings.durations.weights,
        };
        Ok(Self {
            metrics: Metrics::new()?,
            logging,
            fleet: SharedFleet::new(Fleet::new(rules)),
            peers: Peers::new(&settings),
            desk: Desk::default(),
            weights_named: Notify::new(),
            active: Arc::default(),
            body_permits: Arc::new(Semaphore::new(settings.body_memory >> 10)),
            quarantine: Quarantine::default(),
            tables: Default::default(),
            catalogue: ArcSwapOption::empty(),
            budgets: Mutex::default(),
            phase: watch::channel(Phase::Serving).0,
            settings: ArcSwap::from_pointee(settings),
            store: StoreClient::new(Arc::clone(&ports.store)),
            ports,
        })
    }

    /// Settings of the process.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.load_full()
    }

    /// How far this VM knows a table of the store.
    pub fn known(&self, table: Table) -> &Known {
        &self.tables[table as usize]
    }

    /// Takes settings that changed while the process runs.
    ///
    /// Who it is and where it listens stay: callers and peers know it by them.
    pub fn reload(&self, mut settings: Settings) {
        let now = self.settings();
        settings.vm = now.vm.clone();
        settings.domain = now.domain.clone();
        settings.listen = now.listen;
        info!(
            event = events::RELOADED,
            seeds = settings.seeds.len(),
            repeats = settings.retry_budget.ratio,
            slack = settings.retry_budget.slack,
            "settings of the process read again"
        );
        self.budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .values_mut()
            .for_each(|budget| budget.set(settings.retry_budget));
        self.settings.store(Arc::new(settings));
    }

    /// The document in force.
    pub fn catalogue(&self) -> Option<Arc<Catalogue>> {
        self.catalogue.load_full()
    }

    /// The revision in force; zero if there is none.
    pub fn revision(&self) -> Revision {
        let catalogue = self.catalogue.load();
        catalogue
            .as_ref()
            .map_or(Revision::default(), |catalogue| catalogue.revision())
    }

    /// Puts a document in force unless one as new already is.
    ///
    /// The store's history can be shown stale, and a peer may be behind: without this check a
    /// revoked key would work again for a while.
    pub fn adopt(&self, document: &Arc<Document>, source: &str) -> bool {
        if document.revision <= self.revision() {
            return false;
        }
        let catalogue = Catalogue::new(Arc::clone(document));
        self.catalogue.store(Some(Arc::new(catalogue)));
        info!(
            event = events::DOCUMENT,
            revision = document.revision.0,
            source,
            routes = document.routes.len(),
            teams = document.teams.len(),
            "document in force"
        );
        true
    }

    /// Counts a caller's request to a service.
    pub fn count_request(&self, service: &ServiceId) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(self.settings().retry_budget));
        budget.record_request(clock::now());
    }

    /// Whether one more repeat to a service fits into the fleet's bound; counts it if so.
    pub fn try_retry(&self, service: &ServiceId) -> bool {
        let vms = self.peers.count();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets
            .get_mut(service)
            .is_some_and(|budget| budget.try_retry(clock::now(), vms))
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Follows the phase.
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Goes on to a later phase.
    pub fn advance_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|now| {
            let later = phase > *now;
            if later {
                *now = phase;
            }
            later
        });
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let known = self.catalogue.load().is_some();
        let fleet = self.fleet.lock().upstreams().next().is_some();
        known && fleet && self.phase() == Phase::Serving
    }

    /// Requests being worked on.
    pub fn active(&self) -> usize {
        self.active.ids().len()
    }
}
