//! Opens the stand-ins of a plan.

use super::{Addresses, Controls};
use crate::control;
use crate::engine::holders::Holders;
use crate::engine::{EngineStandin, Shared};
use crate::host::{ANY_PORT, Host, Task};
use crate::plan::Plan;
use crate::platform::log::LogStandin;
use crate::platform::vms::VmBoard;
use crate::platform::weights::WeightShelf;
use crate::record::Record;
use crate::store::{ENGINES_WORTH, StoreStandin};
use crate::worker::WorkerStandin;
use poem::Route;
use sesamegap_platform::{VmEntry, VmRole, VmState};
use sesamegap_wire::{DomainId, SoftwareVersion};
use std::io::Result as IoResult;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

/// What has been opened so far.
#[derive(Default)]
struct Opened {
    tasks: Vec<Task>,
    hosts: Vec<Arc<Host>>,
}

/// Opens the stand-ins and the control address.
pub(super) async fn start(plan: Plan) -> IoResult<(Arc<Controls>, Vec<Task>)> {
    let mut opened = Opened::default();
    let record = Arc::new(Record::default());
    let vms = VmBoard::new(plan.platform.lag);
    let weights = WeightShelf::new(&plan.models, &plan.platform);

    let (host, door) = Host::open_central(ANY_PORT).await?;
    let log = LogStandin::new(Arc::clone(&host), plan.platform.clone());
    let route = log.mount(Route::new(), &host);
    let log_addr = opened.serve(host, |host| host.serve(door, route));

    let (host, door) = Host::open_central(ANY_PORT).await?;
    let route = vms.mount(Route::new());
    let vms_addr = opened.serve(host, |host| host.serve(door, route));

    let (host, door) = Host::open_central(ANY_PORT).await?;
    let route = weights.mount(Route::new());
    let weights_addr = opened.serve(host, |host| host.serve(door, route));

    let (store, store_addr) = open_store(&plan, &vms, &mut opened).await?;
    let shared = Shared {
        limits: plan.engine.clone(),
        block: plan.block,
        record: Arc::clone(&record),
        weights: Arc::clone(&weights),
        holders: Holders::new(store.clone()),
    };
    let engines = open_engines(&plan, shared, &vms, &mut opened).await?;
    let workers = open_workers(&plan, &record, &vms, &mut opened).await?;

    let (host, door) = Host::open_central(plan.control).await?;
    let addresses = Addresses {
        log: log_addr,
        vms: vms_addr,
        weights: weights_addr,
        control: host.gate.addr(),
        engines: by_name(&engines, |e| (e.id.clone(), e.host.gate.addr())),
        store: store_addr,
        workers: by_name(&workers, |w| (w.id().clone(), w.host().gate.addr())),
    };
    let mut hosts = opened.hosts;
    hosts.push(Arc::clone(&host));
    let controls = Arc::new(Controls {
        addresses,
        operator: plan.operator,
        log,
        vms,
        weights,
        engines,
        store,
        workers,
        hosts,
        record,
        restart: OnceLock::new(),
    });
    let endpoint = control::endpoint(&controls, &host);
    opened.tasks.push(host.serve(door, endpoint));
    Ok((controls, opened.tasks))
}

impl Opened {
    /// Serves on a host and returns its address.
    fn serve(&mut self, host: Arc<Host>, serve: impl FnOnce(&Arc<Host>) -> Task) -> SocketAddr {
        self.tasks.push(serve(&host));
        let addr = host.gate.addr();
        self.hosts.push(host);
        addr
    }
}

fn by_name<T, K: Ord, V>(
    all: &[Arc<T>],
    entry: impl Fn(&Arc<T>) -> (K, V),
) -> std::collections::BTreeMap<K, V> {
    all.iter().map(entry).collect()
}

async fn open_store(
    plan: &Plan,
    vms: &VmBoard,
    opened: &mut Opened,
) -> IoResult<(Option<Arc<StoreStandin>>, Option<SocketAddr>)> {
    let Some((id, domain)) = &plan.store else {
        return Ok((None, None));
    };
    let capacity = plan.engine.capacity.saturating_mul(ENGINES_WORTH);
    let store = StoreStandin::new(id.clone(), capacity);
    let (host, door) = Host::open(domain, plan.between).await?;
    let addr = opened.serve(host, |host| host.serve(door, store.endpoint()));
    let role = VmRole::Store { id: id.clone() };
    vms.enlist(&live(role, addr, domain));
    Ok((Some(store), Some(addr)))
}

async fn open_engines(
    plan: &Plan,
    shared: Shared,
    vms: &VmBoard,
    opened: &mut Opened,
) -> IoResult<Vec<Arc<EngineStandin>>> {
    let mut engines = Vec::with_capacity(plan.engines.len());
    for (index, own) in plan.engines.iter().enumerate() {
        let (host, door) = Host::open(&own.domain, plan.between).await?;
        let (engine, reporter) = EngineStandin::new(index, own, Arc::clone(&host), shared.clone());
        let addr = opened.serve(host, |host| host.serve(door, engine.endpoint()));
        opened.tasks.push(reporter);
        let id = own.id.clone();
        vms.enlist(&VmEntry {
            software: own.software.clone(),
            ..live(VmRole::Engine { id }, addr, &own.domain)
        });
        engines.push(engine);
    }
    Ok(engines)
}

async fn open_workers(
    plan: &Plan,
    record: &Arc<Record>,
    vms: &VmBoard,
    opened: &mut Opened,
) -> IoResult<Vec<Arc<WorkerStandin>>> {
    let mut workers = Vec::with_capacity(plan.workers.len());
    for own in &plan.workers {
        let (host, door) = Host::open(&own.domain, plan.between).await?;
        let worker = WorkerStandin::new(
            own.clone(),
            plan.work,
            plan.engine.late,
            Arc::clone(&host),
            Arc::clone(record),
        );
        let addr = opened.serve(host, |host| host.serve(door, worker.endpoint()));
        let role = VmRole::Worker {
            id: own.id.clone(),
            service: own.service.clone(),
        };
        vms.enlist(&live(role, addr, &own.domain));
        workers.push(worker);
    }
    Ok(workers)
}

fn live(role: VmRole, addr: SocketAddr, domain: &DomainId) -> VmEntry {
    VmEntry {
        role,
        addr,
        domain: domain.clone(),
        state: VmState::Live,
        software: SoftwareVersion::default(),
    }
}
