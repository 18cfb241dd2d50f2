//! The upstreams and entry VMs in use, and the clients that reach them.
//!
//! The VM list says what there is, with a lag; an engine that says itself that it is leaving is
//! believed at once, until the list names it as leaving too or no longer. [`follow`] reads the
//! list, the engines' reports and their cache events.

mod connect;
pub mod follow;

pub use connect::{HttpConnect, http_settings};

use super::deciding::DeciderHandle;
use super::lock;
use arc_swap::ArcSwap;
use sesamegap_platform::{VmEntry, VmRole, VmState};
use sesamegap_policy::Observation;
use sesamegap_upstream::{Engine, PlainService};
use sesamegap_wire::engine::{EngineEntry, LoadReport};
use sesamegap_wire::{
    DomainId, ModelId, ServiceId, SoftwareVersion, UpstreamId, VmId, WeightsVersion,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

/// Makes clients of upstreams.
pub trait Connect: Send + Sync + fmt::Debug {
    /// A client of a model engine.
    fn engine(&self, id: &UpstreamId, addr: SocketAddr) -> Arc<dyn Engine>;

    /// A client of a plain service's worker.
    fn worker(&self, id: &UpstreamId, addr: SocketAddr) -> Arc<dyn PlainService>;
}

/// An entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryVm {
    /// Its name.
    pub vm: VmId,
    /// Address of its router.
    pub router: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it is leaving.
    pub leaving: bool,
}

#[derive(Debug)]
struct EngineLink {
    entry: EngineEntry,
    /// Version of its software.
    software: SoftwareVersion,
    addr: SocketAddr,
    client: Arc<dyn Engine>,
}

#[derive(Debug)]
struct Worker {
    id: UpstreamId,
    addr: SocketAddr,
    leaving: bool,
    client: Arc<dyn PlainService>,
    flights: AtomicU32,
}

#[derive(Debug, Default)]
struct Members {
    engines: BTreeMap<UpstreamId, Arc<EngineLink>>,
    workers: BTreeMap<ServiceId, Vec<Arc<Worker>>>,
    entries: Vec<EntryVm>,
    store: Option<UpstreamId>,
}

/// Engines that hold each version of each model.
pub type Holders = BTreeMap<ModelId, BTreeMap<WeightsVersion, usize>>;

/// All upstreams and entry VMs, shared read-only and replaced as a whole.
#[derive(Debug)]
pub struct Fleet {
    connect: Arc<dyn Connect>,
    members: ArcSwap<Members>,
    /// Engines that said themselves that they are leaving.
    said: Mutex<BTreeSet<UpstreamId>>,
    /// Engines whose report was read.
    reported: Mutex<BTreeMap<UpstreamId, Vec<(ModelId, WeightsVersion)>>>,
    holders: ArcSwap<Holders>,
}

impl Fleet {
    /// Starts with nothing.
    pub fn new(connect: Arc<dyn Connect>) -> Self {
        Self {
            connect,
            members: ArcSwap::default(),
            said: Mutex::default(),
            reported: Mutex::default(),
            holders: ArcSwap::default(),
        }
    }

    /// Takes the VM list in place of the former one; `true` if anything changed.
    pub fn update(&self, list: &[VmEntry]) -> bool {
        let old = self.members.load();
        let mut new = Members::default();
        for entry in list {
            self.add(&mut new, &old, entry);
        }
        let changed = !new.same(&old);
        if changed {
            self.members.store(Arc::new(new));
        }
        changed
    }

    fn add(&self, new: &mut Members, old: &Members, vm: &VmEntry) {
        let leaving = vm.state == VmState::Leaving;
        match &vm.role {
            VmRole::Entry { vm: name, .. } => new.entries.push(EntryVm {
                vm: name.clone(),
                router: vm.addr,
                domain: vm.domain.clone(),
                leaving,
            }),
            VmRole::Engine { id } => {
                let entry = EngineEntry {
                    id: id.clone(),
                    domain: vm.domain.clone(),
                    leaving,
                };
                let link = self.engine_link(old, entry, vm);
                new.engines.insert(id.clone(), link);
            }
            VmRole::Worker { id, service } => {
                let worker = self.worker_link(old, service, id, vm);
                let workers = new.workers.entry(service.clone()).or_default();
                workers.push(worker);
            }
            VmRole::Store { id } if !leaving => new.store = Some(id.clone()),
            VmRole::Store { .. } => {}
        }
    }

    fn engine_link(&self, old: &Members, entry: EngineEntry, vm: &VmEntry) -> Arc<EngineLink> {
        let addr = vm.addr;
        let known = old.engines.get(&entry.id).filter(|link| link.addr == addr);
        let client = known.map_or_else(
            || self.connect.engine(&entry.id, addr),
            |link| Arc::clone(&link.client),
        );
        Arc::new(EngineLink {
            entry,
            software: vm.software.clone(),
            addr,
            client,
        })
    }

    /// The version of an engine's software, if the list has the engine.
    pub fn software(&self, engine: &UpstreamId) -> Option<SoftwareVersion> {
        let members = self.members.load();
        let link = members.engines.get(engine)?;
        Some(link.software.clone())
    }

    /// Engines of other versions than this one.
    pub fn engines_of_other_software(&self, software: &SoftwareVersion) -> Vec<UpstreamId> {
        let members = self.members.load();
        let others = members.engines.iter();
        let others = others.filter(|(_, link)| link.software != *software);
        others.map(|(id, _)| id.clone()).collect()
    }

    /// Keeps a known worker, and with it the count of its calls in flight.
    fn worker_link(
        &self,
        old: &Members,
        service: &ServiceId,
        id: &UpstreamId,
        vm: &VmEntry,
    ) -> Arc<Worker> {
        let leaving = vm.state == VmState::Leaving;
        let mut olds = old.workers.get(service).into_iter().flatten();
        let known = olds
            .find(|worker| worker.id == *id && worker.addr == vm.addr && worker.leaving == leaving);
        known.cloned().unwrap_or_else(|| {
            Arc::new(Worker {
                id: id.clone(),
                addr: vm.addr,
                leaving,
                client: self.connect.worker(id, vm.addr),
                flights: AtomicU32::new(0),
            })
        })
    }

    /// The engines for the decider, with what they said of themselves.
    pub fn engines(&self) -> Vec<EngineEntry> {
        let said = lock(&self.said);
        let members = self.members.load();
        let entries = members.engines.values().map(|link| {
            let mut entry = link.entry.clone();
            entry.leaving |= said.contains(&entry.id);
            entry
        });
        entries.collect()
    }

    /// The kept-KV store in use.
    pub fn store(&self) -> Option<UpstreamId> {
        self.members.load().store.clone()
    }

    /// Addresses of the engines, for those that follow them.
    pub fn addresses(&self) -> Vec<(UpstreamId, SocketAddr)> {
        let members = self.members.load();
        let links = members.engines.iter();
        links.map(|(id, link)| (id.clone(), link.addr)).collect()
    }

    /// The entry VMs.
    pub fn entries(&self) -> Vec<EntryVm> {
        self.members.load().entries.clone()
    }

    /// Client of an engine.
    pub fn engine(&self, id: &UpstreamId) -> Option<Arc<dyn Engine>> {
        let members = self.members.load();
        members.engines.get(id).map(|link| Arc::clone(&link.client))
    }

    /// Whether any worker of a service is known.
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.members.load().workers.contains_key(service)
    }

    /// Books the least busy worker of a service that has room and was not tried.
    pub fn worker(
        &self,
        service: &ServiceId,
        window: u32,
        tried: &[UpstreamId],
    ) -> Option<WorkerSlot> {
        let members = self.members.load();
        let workers = members.workers.get(service)?.iter();
        let free = workers.filter(|worker| !worker.leaving && !tried.contains(&worker.id));
        let best = free.min_by_key(|worker| worker.flights.load(Ordering::Relaxed))?;
        if best.flights.fetch_add(1, Ordering::Relaxed) >= window {
            best.flights.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(WorkerSlot(Arc::clone(best)))
    }

    /// Notes which weights an engine reports, `None` if it does not answer.
    pub fn reported(&self, engine: &UpstreamId, report: Option<&LoadReport>) {
        let weights = report.map(|report| report.loaded.clone());
        let mut reported = lock(&self.reported);
        if reported.get(engine) == weights.as_ref() {
            return;
        }
        match weights {
            Some(weights) => reported.insert(engine.clone(), weights),
            None => reported.remove(engine),
        };
        let mut holders = Holders::new();
        for (model, version) in reported.values().flatten() {
            let versions = holders.entry(model.clone()).or_default();
            *versions.entry(*version).or_insert(0) += 1;
        }
        self.holders.store(Arc::new(holders));
    }

    /// How many engines that answer hold each version of each model.
    pub fn holders(&self) -> Arc<Holders> {
        self.holders.load_full()
    }

    /// Describes the upstreams for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let members = self.members.load();
        let engines: Vec<_> = self.engines();
        let workers = members.workers.iter().map(|(service, workers)| {
            let calls: u32 = workers
                .iter()
                .map(|w| w.flights.load(Ordering::Relaxed))
                .sum();
            let shown = serde_json::json!({ "workers": workers.len(), "calls": calls });
            (service.to_string(), shown)
        });
        let services: serde_json::Map<_, _> = workers.collect();
        serde_json::json!({
            "engines": engines,
            "services": services,
            "reports": lock(&self.reported).len(),
        })
    }

    /// Notes that an engine said itself that it is leaving, and tells the decider at once.
    pub fn leaving(&self, engine: &UpstreamId, decider: &DeciderHandle) {
        if !lock(&self.said).insert(engine.clone()) {
            return;
        }
        tracing::info!(
            event = crate::events::ENGINE_LEAVING.number,
            %engine,
            "engine is leaving"
        );
        decider.observe_reliably(Observation::Fleet(self.engines()));
    }

    /// Notes that an engine serves again; `true` if it had said that it was leaving.
    pub fn staying(&self, engine: &UpstreamId) -> bool {
        lock(&self.said).remove(engine)
    }
}

impl Members {
    fn same(&self, other: &Self) -> bool {
        let engines = |members: &Self| -> Vec<_> {
            let links = members.engines.values();
            links.map(|link| (link.entry.clone(), link.addr)).collect()
        };
        let workers = |members: &Self| -> Vec<_> {
            let all = members.workers.values().flatten();
            all.map(|worker| (worker.id.clone(), worker.addr, worker.leaving))
                .collect()
        };
        self.entries == other.entries
            && self.store == other.store
            && engines(self) == engines(other)
            && workers(self) == workers(other)
    }
}

/// A call in flight to a worker; dropping it frees the worker's window.
#[derive(Debug)]
pub struct WorkerSlot(Arc<Worker>);

impl WorkerSlot {
    /// The worker.
    pub fn id(&self) -> &UpstreamId {
        &self.0.id
    }

    /// Its client.
    pub fn client(&self) -> &dyn PlainService {
        self.0.client.as_ref()
    }
}

impl Drop for WorkerSlot {
    fn drop(&mut self) {
        self.0.flights.fetch_sub(1, Ordering::Relaxed);
    }
}
