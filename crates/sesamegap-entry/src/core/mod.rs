//! State shared by all tasks of a process.

mod active;
mod retries;
mod stop;

pub use active::{ActiveRequest, ActiveRequestGuard, ActiveRequests, Arrival};
pub use stop::{Client, ConnectionGuard, wait_for_phase};

use crate::catalogue::{Catalogue, Document, Entry, Revision};
use crate::clock;
use crate::fleet::{Fleet, Rules, SharedFleet};
use crate::follow::TableState;
use crate::limits::client::LimitClient;
use crate::peers::{CopyServer, Peers};
use crate::placing::PlacementClient;
use crate::ports::{Ports, Table};
use crate::quarantine::Quarantine;
use crate::quota::QuotaClient;
use crate::resumption::Resumption;
use crate::settings::Settings;
use crate::store::StoreClient;
use crate::telemetry::metrics::Metrics;
use crate::telemetry::{Logging, events, log_reach};
use crate::upstream;
use crate::upstream::{HeldAnswers, OpenConnections};
use arc_swap::{ArcSwap, ArcSwapOption};
use retries::RetryBudgets;
use sesamegap_policy::agreement::replication::{Content, Fetch};
use sesamegap_policy::routing::belief;
use sesamegap_policy::routing::revisions::NewestHeard;
use sesamegap_wire::{Moment, ServiceId};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stop::StopState;
use tokio::sync::{Notify, Semaphore, watch};
use tracing::info;

/// Upstreams that are connected to before the loss of another one is put down to that one.
const CONTROL_CONNECTIONS: usize = 2;

/// Lifecycle phase of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are served.
    Serving,
    /// Shutdown has begun: the locator names other VMs, and connections close after their next response.
    Leaving,
    /// Idle connections are closed.
    Closing,
    /// No more connections are accepted, and those without a request are closed.
    Ended,
    /// No request is taken; the last answers are sent.
    Exiting,
}

/// State shared by all tasks of a process.
#[derive(Debug)]
pub struct Core {
    /// The adapters of the platform.
    pub ports: Ports,
    /// The store client.
    pub store: StoreClient,
    /// The upstreams.
    pub fleet: SharedFleet,
    /// The other entry VMs.
    pub peers: Peers,
    /// Copies of tables for peers.
    pub copies: CopyServer,
    /// Placement requests to the owners of shards.
    pub placement_client: PlacementClient,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Logging controls.
    pub logging: Logging,
    /// Wakes the connection tests when an upstream accepted no connection.
    pub connection_failed: Notify,
    /// Wakes the roll of weights when a weights version was named.
    pub weights_named: Notify,
    /// Wakes the task that fetches newer documents when a peer told of one.
    pub document_heard: Notify,
    /// Held by the task that fetches a document.
    pub fetch_turn: tokio::sync::Mutex<()>,
    /// Connections to upstreams.
    pub connections: OpenConnections,
    /// Requests in progress.
    pub active: Arc<ActiveRequests>,
    /// Memory left for request bodies, one permit per KiB.
    pub body_permits: Arc<Semaphore>,
    /// Memory of answers that cannot be passed on yet.
    pub answers: Arc<HeldAnswers>,
    /// Rate limits of teams.
    pub quota: QuotaClient,
    /// Limits on requests that upstreams name.
    pub limits: LimitClient,
    /// Which software versions began streams.
    pub resumption: Resumption,
    /// Requests quarantined because upstreams crashed while running them.
    pub quarantine: Quarantine,
    tables: [TableState; 5],
    settings: ArcSwap<Settings>,
    catalogue: ArcSwapOption<Catalogue>,
    retries: RetryBudgets,
    /// Newest revision of which a peer has told.
    newest_heard: Mutex<NewestHeard>,
    /// A newer document that is being fetched from peers.
    fetch: Mutex<Fetch<Entry>>,
    phase: watch::Sender<Phase>,
    /// What is known of the stop.
    stop: StopState,
}

impl Core {
    /// Creates the state of a process that has read nothing from the store or its peers yet.
    ///
    /// # Errors
    /// If metrics cannot be set up.
    pub fn new(settings: Settings, ports: Ports, logging: Logging) -> anyhow::Result<Self> {
        let rules = Rules {
            belief: belief::Rules::new(
                settings.spans.lapse,
                settings.spans.heartbeat,
                settings.spans.drain,
            ),
            weights: settings.spans.weights,
        };
        let fleet = Fleet::new(rules);
        let limits = LimitClient::new(fleet.limits().clone());
        Ok(Self {
            metrics: Metrics::new()?,
            logging,
            fleet: SharedFleet::new(fleet),
            limits,
            peers: Peers::new(&settings),
            copies: CopyServer::new(settings.link_mbps),
            placement_client: PlacementClient::default(),
            connection_failed: Notify::new(),
            weights_named: Notify::new(),
            document_heard: Notify::new(),
            fetch_turn: tokio::sync::Mutex::default(),
            connections: OpenConnections::default(),
            active: Arc::default(),
            body_permits: Arc::new(Semaphore::new(settings.body_memory >> 10)),
            answers: HeldAnswers::new(settings.answer_memory),
            quarantine: Quarantine::default(),
            resumption: Resumption::default(),
            quota: QuotaClient::new(&settings),
            tables: Default::default(),
            catalogue: ArcSwapOption::empty(),
            retries: RetryBudgets::new(),
            newest_heard: Mutex::default(),
            fetch: Mutex::default(),
            phase: watch::channel(Phase::Serving).0,
            stop: StopState::default(),
            store: StoreClient::new(Arc::clone(&ports.store), settings.store_calls_per_s),
            settings: ArcSwap::from_pointee(settings),
            ports,
        })
    }

    /// Returns the settings of the process.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.load_full()
    }

    /// Whether prompts are admitted by the engines' backlog: the settings call for it, or engines say that they share their
    /// machines, so that how much they can take is not known from the load alone.
    pub fn admits_by_backlog(&self) -> bool {
        self.settings().load_control.admission || self.fleet.lock().is_sharing_stated()
    }

    /// Returns how far this VM has read a table of the store.
    pub fn table_progress(&self, table: Table) -> &TableState {
        &self.tables[table as usize]
    }

    /// Applies settings that changed while the process runs.
    ///
    /// The VM's identity, domain and listen addresses stay unchanged, because callers and peers know the process by
    /// them.
    pub fn reload(&self, mut settings: Settings) {
        let current = self.settings();
        settings.vm = current.vm.clone();
        settings.domain = current.domain.clone();
        settings.listen = current.listen;
        info!(
            event = events::RELOADED,
            seeds = settings.seeds.len(),
            repeats = settings.repeats.ratio,
            slack = settings.repeats.slack,
            "process settings reloaded"
        );
        self.retries.set(settings.repeats);
        self.quota.set_tolerance(settings.tolerance);
        self.answers.set_limit(settings.answer_memory);
        self.settings.store(Arc::new(settings));
    }

    /// Returns the document in force.
    pub fn catalogue(&self) -> Option<Arc<Catalogue>> {
        self.catalogue.load_full()
    }

    /// Returns the revision in force; zero if no document is in force.
    pub fn revision(&self) -> Revision {
        let catalogue = self.catalogue.load();
        catalogue
            .as_ref()
            .map_or(Revision::default(), |catalogue| catalogue.revision())
    }

    /// Whether a request may be denied for good by the document in force: this VM has known recently enough that it is the
    /// newest, and has not heard of a newer one.
    pub fn may_deny(&self) -> bool {
        let is_missed = self.table_progress(Table::Settings).position().has_missed();
        let is_behind = self.behind_for().is_some();
        let bounds = self.settings().spans.document_bounds();
        let age = self.settings_age();
        !is_missed && !is_behind && age.is_some_and(|age| bounds.allows_denial(age))
    }

    /// For how long this VM has known that its peers have a newer document, if they have.
    pub fn behind_for(&self) -> Option<Duration> {
        let own = self.revision().0;
        self.lock_heard().behind_for(own, clock::now())
    }

    /// Whether a newer document has been in force on peers for so long that no request may be served by the one here.
    pub fn is_document_overdue(&self) -> bool {
        let apply = self.settings().spans.apply;
        self.behind_for().is_some_and(|time| time >= apply)
    }

    /// Records the revision of a peer's document; wakes the task that fetches it if it is newer.
    pub fn record_revision(&self, revision: Revision) {
        let own = self.revision().0;
        if self.lock_heard().record(revision.0, own, clock::now()) {
            self.document_heard.notify_one();
        }
    }

    /// The newest revision of which a peer has told lately, or the own one.
    pub fn newest_heard(&self) -> Revision {
        let own = self.revision();
        Revision(self.lock_heard().newest(own.0, clock::now()))
    }

    fn lock_heard(&self) -> MutexGuard<'_, NewestHeard> {
        self.newest_heard
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The newer document that is being fetched; the guard must not be held across an await point.
    pub fn fetch(&self) -> MutexGuard<'_, Fetch<Entry>> {
        self.fetch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long ago the document in force was last known to be the newest; `None` if the store's log of it was never read.
    pub fn settings_age(&self) -> Option<Duration> {
        let position = self.table_progress(Table::Settings).position();
        position.next()?;
        Some(clock::now().since(position.last_update()))
    }

    /// Puts a document in force unless its revision is not newer than the current one.
    ///
    /// The store may serve stale history, and a peer may be behind. Without this check, a revoked key would work again
    /// for a while.
    pub fn adopt(&self, document: &Arc<Document>, source: &str) -> bool {
        if document.revision <= self.revision() {
            return false;
        }
        let Some(known) = self.catalogue() else {
            return self.put_in_force(Some(Catalogue::new(document)), source);
        };
        let entries = document.entries();
        let delta = known.content().delta_to(entries.iter().map(|(id, _)| *id));
        let content = known
            .content()
            .changed(document.revision.0, delta.removed, entries);
        self.put_in_force(known.updated(content), source)
    }

    /// Puts the entries of a newer document in force that were fetched from peers.
    pub fn adopt_entries(&self, content: Content<Entry>, source: &str) -> bool {
        if content.version().revision <= self.revision().0 {
            return false;
        }
        let catalogue = match self.catalogue() {
            Some(known) => known.updated(content),
            None => Catalogue::from_content(content),
        };
        self.put_in_force(catalogue, source)
    }

    fn put_in_force(&self, catalogue: Option<Catalogue>, source: &str) -> bool {
        let Some(catalogue) = catalogue else {
            info!(
                event = events::DOCUMENT,
                source, "entries without a common part are no document"
            );
            return false;
        };
        let catalogue = Arc::new(catalogue);
        self.catalogue.store(Some(Arc::clone(&catalogue)));
        info!(
            event = events::DOCUMENT,
            revision = catalogue.revision().0,
            version = %catalogue.content().version(),
            source,
            routes = catalogue.route_count(),
            teams = catalogue.team_count(),
            "document in force"
        );
        true
    }

    /// Records whether an upstream accepted a connection that was attempted since `began`.
    pub fn record_connection(&self, life: u64, began: Moment, is_connected: bool) {
        let now = clock::now();
        let change = {
            let mut fleet = self.fleet.lock();
            if is_connected {
                fleet.record_connected(now)
            } else {
                fleet.record_unreached(life, began, now)
            }
        };
        if !is_connected {
            self.connection_failed.notify_one();
        }
        log_reach(change);
    }

    /// Returns whether this VM reaches other upstreams than the one at `except`, as far as it can tell by connecting to
    /// some; true if it knows no other.
    pub async fn reaches_others(&self, except: SocketAddr) -> bool {
        let others = {
            let fleet = self.fleet.lock();
            if fleet.is_partitioned() {
                return false;
            }
            fleet.last_heard(CONTROL_CONNECTIONS, except, &mut rand::rng())
        };
        let from = self.settings().listen.callers.ip();
        for other in &others {
            if upstream::open(from, *other).await.is_ok() {
                return true;
            }
        }
        others.is_empty()
    }

    /// Adds a caller's request to the retry budget of its service.
    pub fn count_request(&self, service: &ServiceId) {
        let bound = self.settings().repeats;
        self.retries.count_request(service, bound, self.all_vms());
    }

    /// Takes one retry from the budget of a service; returns whether the fleet's bound allowed it.
    pub fn try_retry(&self, service: &ServiceId, request: &SmolStr) -> bool {
        self.retries.try_retry(service, request, self.all_vms())
    }

    /// Number of entry VMs that may hold a part of an allowance of the whole fleet; zero if their list was never read.
    fn all_vms(&self) -> usize {
        usize::try_from(self.peers.listed_count()).unwrap_or(usize::MAX)
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Subscribes to changes of the phase.
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves to a later phase; an earlier one is ignored.
    pub fn advance_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                *current = phase;
            }
            later
        });
    }

    /// Returns whether callers may be sent to this VM.
    pub fn is_ready(&self) -> bool {
        let has_document = self.catalogue.load().is_some();
        let has_upstreams = self.fleet.lock().upstreams().next().is_some();
        has_document
            && !self.is_document_overdue()
            && has_upstreams
            && self.phase() == Phase::Serving
    }

    /// Returns the number of requests in progress.
    pub fn active(&self) -> usize {
        self.active.count()
    }
}
