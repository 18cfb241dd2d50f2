//! Rolling update of engines to the newest weights, run by one entry VM at a time.
//!
//! The VM that holds the lease orders the loads. The others stand by and try to take over in the order of a ranking.
//! Engines that are about to load are announced to all VMs before the order, so that new requests go elsewhere and the
//! engines drain within the time of a response.

mod engine;
mod lease;
mod progress;

use crate::catalogue::Catalogue;
use crate::clock;
use crate::core::{Core, Phase};
use crate::fleet::{Fleet, Upstream};
use engine::update_engine;
use lease::Lease;
use progress::RollProgress;
use rustc_hash::{FxHashMap, FxHashSet};
use sesamegap_policy::routing::engines::{rank, seed};
use sesamegap_policy::routing::{Availability, rolls};
use sesamegap_wire::{Incarnation, Moment, UpstreamId, WeightsVersion};
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval between steps of an active roll.
const STEP_INTERVAL: Duration = Duration::from_millis(40);

/// Interval between checks for outdated engines while none is known; a naming of weights triggers a check at once.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Delay per rank before a standby VM tries to take over a roll. A running lease holder orders its first engine sooner,
/// and two VMs that try at the same time cost only one more call, since claims are conditional.
const STANDBY_DELAY: Duration = Duration::from_millis(600);

/// Key of the ranking of standby VMs.
const STANDBY_KEY: u64 = 0;

/// Standby VMs that read the lease log at their start, so that the wait for the last claim's expiry begins then. The
/// others would try to take over only seconds later, and read it then.
const OBSERVERS: usize = 8;

/// An engine with outdated weights.
#[derive(Debug, Clone)]
struct OutdatedEngine {
    engine: UpstreamId,
    model: SmolStr,
    version: WeightsVersion,
    /// Instance that was found to have outdated weights.
    born: Option<Incarnation>,
}

/// Runs rolling updates until the process stops serving.
pub async fn run(core: Arc<Core>) {
    let mut lease = Lease::new(&core);
    core.peers.wait_for_list().await;
    if core.peers.is_among_first(OBSERVERS, STANDBY_KEY) {
        lease.observe(&core).await;
    }
    let progress = Arc::new(RollProgress::default());
    let mut since: Option<Moment> = None;
    while core.phase() == Phase::Serving {
        let outdated = outdated_engines(&core);
        if outdated.is_empty() {
            since = None;
            drop(timeout(IDLE_INTERVAL, core.weights_named.notified()).await);
            continue;
        }
        if core.fleet.lock().is_partitioned() {
            // Another VM takes over once the lease expires; engines that this one announced would be out for nothing.
            since = None;
            sleep(IDLE_INTERVAL).await;
            continue;
        }
        let began = *since.get_or_insert_with(clock::now);
        let delay = STANDBY_DELAY * standby_rank(&core, &lease);
        if clock::now().since(began) < delay {
            sleep(STEP_INTERVAL * 2).await;
            continue;
        }
        match lease.acquire(&core).await {
            Some(_) => start_updates(&core, &lease, &progress, &outdated),
            None => sleep(lease.retry_delay()).await,
        }
        sleep(STEP_INTERVAL).await;
    }
}

/// Returns the engines that do not have the newest weights of their model.
fn outdated_engines(core: &Core) -> Vec<OutdatedEngine> {
    let now = clock::now();
    let fleet = core.fleet.lock();
    let catalogue = core.catalogue();
    let named: Vec<_> = fleet.namings().newest().collect();
    if named.is_empty() {
        return Vec::new();
    }
    let mut outdated = Vec::new();
    for upstream in managed_engines(&fleet, catalogue.as_deref()) {
        for (model, naming) in &named {
            let held = upstream.version(model);
            if held.is_some_and(|held| held < naming.version)
                && !upstream.entry.leaving
                && !upstream.is_gone(now)
            {
                outdated.push(OutdatedEngine {
                    engine: upstream.id.clone(),
                    model: (*model).clone(),
                    version: naming.version,
                    born: upstream.entry.born,
                });
            }
        }
    }
    outdated
}

/// Returns the engines of services in the operator's catalogue, or all engines without a catalogue.
///
/// Other writers list engines too. Orders to those would interfere with their owners' operation, and counting them
/// would take more of the operator's own engines out at once than the load permits.
fn managed_engines<'a>(
    fleet: &'a Fleet,
    catalogue: Option<&'a Catalogue>,
) -> impl Iterator<Item = &'a Upstream> {
    let is_named = move |up: &&Upstream| {
        catalogue.is_none_or(|catalogue| catalogue.service(&up.entry.service).is_some())
    };
    fleet
        .upstreams()
        .filter(|up| up.is_engine())
        .filter(is_named)
}

/// Returns how many VMs take precedence over this one: the last lease holder first, then the others ranked by hash.
fn standby_rank(core: &Core, lease: &Lease) -> u32 {
    let settings = core.settings();
    let me = &settings.vm;
    if lease.last_holder().is_some_and(|holder| holder.vm == *me) {
        return 0;
    }
    let mut alive = core.peers.alive();
    alive.sort_by_key(|vm| rank(STANDBY_KEY, seed(vm.as_str())));
    let held = lease.last_holder().map(|holder| holder.vm.clone());
    if let Some(holder) = held
        && alive.contains(&holder)
    {
        alive.retain(|vm| *vm != holder);
        alive.insert(0, holder);
    }
    let at = alive.iter().position(|vm| vm == me).unwrap_or(0);
    u32::try_from(at).unwrap_or(u32::MAX)
}

/// Starts the update of as many engines as may be out at once.
fn start_updates(
    core: &Arc<Core>,
    lease: &Lease,
    progress: &Arc<RollProgress>,
    outdated: &[OutdatedEngine],
) {
    let targets: FxHashMap<&UpstreamId, &OutdatedEngine> = outdated
        .iter()
        .map(|target| (&target.engine, target))
        .collect();
    let due = {
        let mut fleet = core.fleet.lock();
        let now = clock::now();
        let engines_out = progress.engines_out();
        let catalogue = core.catalogue();
        let stores = catalogue
            .as_ref()
            .map_or(&[][..], |catalogue| catalogue.kv_stores());
        let services = managed_engines(&fleet, catalogue.as_deref());
        let services: BTreeSet<_> = services.map(|up| up.entry.service.clone()).collect();
        let mut long = FxHashSet::default();
        for service in &services {
            let index = fleet.index(service, stores, now);
            let reserved = index.seats.iter().filter(|seat| seat.long);
            long.extend(reserved.map(|seat| seat.seed));
        }
        let engines = managed_engines(&fleet, catalogue.as_deref());
        let mut views = Vec::new();
        let mut ids = Vec::new();
        for engine in engines {
            ids.push(engine.id.clone());
            views.push(rolls::Engine {
                stage: if engines_out.contains(&engine.id) {
                    rolls::Stage::Out
                } else if targets.contains_key(&engine.id) {
                    rolls::Stage::Old
                } else {
                    rolls::Stage::Done
                },
                long: long.contains(&engine.seed),
                version: engine
                    .entry
                    .weights
                    .first()
                    .map_or(0, |held| held.version.0),
                running: fleet.running(engine, now),
                suspect: fleet.availability(engine, now) == Availability::Suspect,
                shut: has_outdated_weights(&fleet, engine, now),
            });
        }
        let due = progress.load_time().next(&views).into_iter();
        let due = due.take(rolls::max_per_step(views.len(), STEP_INTERVAL));
        due.map(|no| ids[no].clone()).collect::<Vec<_>>()
    };
    for id in due {
        let Some(target) = targets.get(&id).map(|target| (*target).clone()) else {
            continue;
        };
        let guard = progress.mark_out(id);
        let core = Arc::clone(core);
        let lease = lease.clone();
        tokio::spawn(async move {
            update_engine(&core, &lease, &guard, target).await;
        });
    }
}

/// Whether an engine's weights are too old, for any of its models, to start new requests on them.
fn has_outdated_weights(fleet: &Fleet, engine: &Upstream, now: Moment) -> bool {
    let mut held = engine.entry.weights.iter();
    held.any(|held| fleet.is_outdated(&held.model, held.version, now))
}
