//! What a controller sees of engines, settings and demand.

use super::orders::Given;
use crate::config::ProcessConfig;
use crate::router::fleet::Connect;
use crate::router::peers::PeerClient;
use crate::router::peers::message::WantSettings;
use futures_util::future::join_all;
use rand::seq::IteratorRandom;
use sesamegap_platform::{VmEntry, VmList, VmRole, VmState};
use sesamegap_policy::shifting::{self, EngineOrder, EngineView, Fleet};
use sesamegap_settings::Fold;
use sesamegap_upstream::Engine;
use sesamegap_wire::engine::{LoadReport, Wanted};
use sesamegap_wire::{ModelId, Moment, UpstreamId, WeightsVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Versions or models that an engine holds at once: the present weights and their successor.
const SLOTS: usize = 2;

/// Prompt tokens a second that one engine is taken to serve. Only its ratio to demand matters, to
/// tell one engine's worth of demand from two; engines do not report it.
const CAPACITY: f64 = 100_000.0;

/// Routers asked for their demand in one round; more say little that these do not.
const ASKED: usize = 12;

/// A load that was ordered and does not show in a report for so long is taken as not begun.
const UNSEEN: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Known {
    entry: VmEntry,
    client: Arc<dyn Engine>,
    report: Option<LoadReport>,
    since: Moment,
    ordered: Option<Moment>,
}

/// Looks at the engines and remembers when each last changed.
#[derive(Debug)]
pub struct Observer {
    config: ProcessConfig,
    vms: Arc<dyn VmList>,
    connect: Arc<dyn Connect>,
    peers: PeerClient,
    routers: Vec<SocketAddr>,
    engines: BTreeMap<UpstreamId, Known>,
    fold: Fold,
    demand: BTreeMap<ModelId, f64>,
}

impl Observer {
    /// Knows nothing yet.
    pub fn new(
        config: ProcessConfig,
        vms: Arc<dyn VmList>,
        connect: Arc<dyn Connect>,
        peers: PeerClient,
    ) -> Self {
        Self {
            config,
            vms,
            connect,
            peers,
            routers: Vec::new(),
            engines: BTreeMap::new(),
            fold: Fold::default(),
            demand: BTreeMap::new(),
        }
    }

    /// Looks at everything once.
    pub async fn look(&mut self, now: Moment) {
        self.read_list(now).await;
        self.read_reports(now).await;
        self.read_settings().await;
        self.read_demand().await;
    }

    /// The orders to give next.
    pub fn plan(&self, now: Moment) -> Vec<EngineOrder> {
        // An engine without a report may hold anything: it is left out, and if it was the last
        // holder of a model another one is loaded.
        let views: Vec<EngineView> = self
            .engines
            .iter()
            .filter_map(|(id, known)| known.view(id, now))
            .collect();
        let catalogue = self.fold.catalogue();
        shifting::plan(Fleet {
            engines: &views,
            models: &catalogue.models,
            demand: &self.demand,
            now,
        })
    }

    /// Notes which orders were given.
    pub fn ordered(&mut self, given: &[Given], now: Moment) {
        for order in given {
            let loads = matches!(order.wanted, Wanted::Load { .. });
            if let Some(known) = self.engines.get_mut(&order.engine).filter(|_| loads) {
                known.ordered = Some(now);
            }
        }
    }

    /// The client of an engine.
    pub fn client(&self, id: &UpstreamId) -> Option<Arc<dyn Engine>> {
        self.engines.get(id).map(|known| Arc::clone(&known.client))
    }

    /// Describes the state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let shown = self.engines.iter().map(|(id, known)| {
            let report = known.report.as_ref();
            serde_json::json!({
                "engine": id,
                "domain": known.entry.domain,
                "loaded": report.map(|report| &report.loaded),
                "loading": report.map(|report| report.loading),
                "since": known.since,
            })
        });
        shown.collect()
    }

    async fn read_list(&mut self, now: Moment) {
        let Ok(list) = self.vms.list().await else {
            return;
        };
        let mut engines = BTreeMap::new();
        self.routers.clear();
        for entry in list {
            match &entry.role {
                VmRole::Entry { .. } => self.routers.push(entry.addr),
                VmRole::Engine { id } => {
                    let id = id.clone();
                    let known = self.known(&id, entry, now);
                    engines.insert(id, known);
                }
                VmRole::Store { .. } | VmRole::Worker { .. } => {}
            }
        }
        self.engines = engines;
    }

    fn known(&mut self, id: &UpstreamId, entry: VmEntry, now: Moment) -> Known {
        let old = self.engines.remove(id);
        match old.filter(|old| old.entry.addr == entry.addr) {
            Some(old) => Known { entry, ..old },
            None => Known {
                client: self.connect.engine(id, entry.addr),
                entry,
                report: None,
                since: now,
                ordered: None,
            },
        }
    }

    async fn read_reports(&mut self, now: Moment) {
        let limit = self.config.timing.connect + self.config.timing.silence;
        let asked = self.engines.iter().map(|(id, known)| {
            let client = Arc::clone(&known.client);
            let id = id.clone();
            async move { (id, timeout(limit, client.load()).await) }
        });
        for (id, report) in join_all(asked).await {
            if let Some(known) = self.engines.get_mut(&id) {
                known.take(report.ok().and_then(Result::ok), now);
            }
        }
    }

    /// Takes over settings from a router that is further; routers follow the log.
    async fn read_settings(&mut self) {
        let routers = self.routers.iter();
        let Some(router) = routers.choose(&mut rand::rng()).copied() else {
            return;
        };
        let want = WantSettings {
            next: self.fold.next(),
        };
        let Ok(have) = self.peers.settings(router, want).await else {
            return;
        };
        if !have.snapshot.is_empty()
            && let Err(error) = self.fold.adopt(&have.snapshot)
        {
            tracing::warn!(%error, "settings of a router not taken over");
        }
    }

    async fn read_demand(&mut self) {
        let routers = self.routers.iter().copied();
        let some = routers.sample(&mut rand::rng(), ASKED);
        let asked = some.iter().map(|router| self.peers.demand(*router));
        let mut demand = BTreeMap::new();
        for answer in join_all(asked).await.into_iter().flatten() {
            for (model, rate) in answer {
                *demand.entry(model).or_insert(0.0) += rate;
            }
        }
        // Asked of a part of the routers, the demand is that of the part; scale it up.
        let scale = self.routers.len() as f64 / some.len().max(1) as f64;
        for rate in demand.values_mut() {
            *rate *= scale;
        }
        self.demand = demand;
    }
}

impl Known {
    fn take(&mut self, report: Option<LoadReport>, now: Moment) {
        if let (Some(old), Some(new)) = (&self.report, &report) {
            let changed = old.loaded != new.loaded || old.incarnation != new.incarnation;
            if changed {
                self.since = now;
                self.ordered = None;
            }
        }
        self.report = report;
    }

    fn view(&self, id: &UpstreamId, now: Moment) -> Option<EngineView> {
        let report = self.report.as_ref()?;
        let loaded: BTreeSet<(ModelId, WeightsVersion)> = report.loaded.iter().cloned().collect();
        let unseen = self.ordered.is_some_and(|at| now.since(at) < UNSEEN);
        Some(EngineView {
            id: id.clone(),
            domain: self.entry.domain.clone(),
            incarnation: report.incarnation,
            slots: SLOTS,
            capacity: CAPACITY,
            loaded,
            loading: report.loading || unseen,
            leaving: report.leaving || self.entry.state == VmState::Leaving,
            since: self.since,
        })
    }
}
