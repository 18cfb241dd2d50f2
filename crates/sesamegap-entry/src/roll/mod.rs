//! Brings engines to the newest weights, from one entry VM at a time.
//!
//! The VM that holds the lease orders; others stand by, the next in line first. Engines that are
//! about to load are named to all VMs before the order, so that their work goes elsewhere and they
//! drain in the time of an answer.

mod engine;
mod lease;
mod round;

use crate::catalogue::Catalogue;
use crate::clock;
use crate::core::{Core, Phase};
use crate::fleet::{Fleet, Upstream};
use engine::bring;
use lease::Lease;
use round::Round;
use sesamegap_policy::routing::engines::{rank, seed};
use sesamegap_policy::routing::{Availability, rolls};
use sesamegap_wire::{Incarnation, Moment, UpstreamId, WeightsVersion};
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How often a roll under way is looked at.
const STEP: Duration = Duration::from_millis(40);

/// How often it is looked whether there is anything to roll; naming wakes it at once.
const IDLE: Duration = Duration::from_secs(1);

/// How much longer the next VM in line waits before it takes over a roll that does not move. A live holder orders its
/// first engine sooner, and two that try at once cost only a call, since a claim is conditional.
const STAND_BY: Duration = Duration::from_millis(600);

/// An engine whose weights are old.
#[derive(Debug, Clone)]
struct Behind {
    engine: UpstreamId,
    model: SmolStr,
    version: WeightsVersion,
    /// Life that was seen to be behind.
    born: Option<Incarnation>,
}

/// Rolls weights until the process ends.
pub async fn run(core: Arc<Core>) {
    let mut lease = Lease::new(&core);
    lease.look(&core).await;
    let round = Arc::new(Round::default());
    let mut since: Option<Moment> = None;
    while core.phase() == Phase::Serving {
        let behind = behind(&core);
        if behind.is_empty() {
            since = None;
            drop(timeout(IDLE, core.weights_named.notified()).await);
            continue;
        }
        let began = *since.get_or_insert_with(clock::now);
        let turn = STAND_BY * place_in_line(&core, &lease);
        if clock::now().since(began) < turn {
            sleep(STEP * 2).await;
            continue;
        }
        match lease.hold(&core).await {
            Some(_) => order(&core, &lease, &round, &behind),
            None => sleep(lease.pause()).await,
        }
        sleep(STEP).await;
    }
}

/// Engines that do not hold the newest weights of their model.
fn behind(core: &Core) -> Vec<Behind> {
    let now = clock::now();
    let fleet = core.fleet.lock();
    let catalogue = core.catalogue();
    let named: Vec<_> = fleet.namings().newest().collect();
    let mut behind = Vec::new();
    for upstream in engines(&fleet, catalogue.as_deref()) {
        for (model, naming) in &named {
            let held = upstream.version(model);
            if held.is_some_and(|held| held < naming.version)
                && !upstream.entry.leaving
                && !upstream.is_gone(now)
            {
                behind.push(Behind {
                    engine: upstream.id.clone(),
                    model: (*model).clone(),
                    version: naming.version,
                    born: upstream.entry.born,
                });
            }
        }
    }
    behind
}

/// Engines of services that the operator names.
///
/// Other writers list engines too. Ordering those would interfere with whoever runs them, and counting them
/// would take more of the operator's own engines out at once than callers can do without.
fn engines<'a>(
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

/// How many VMs should try before this one: none before the last holder, then by hash.
fn place_in_line(core: &Core, lease: &Lease) -> u32 {
    let settings = core.settings();
    let me = &settings.vm;
    if lease.last_holder().is_some_and(|holder| holder.vm == *me) {
        return 0;
    }
    let mut alive = core.peers.alive();
    alive.sort_by_key(|vm| rank(0, seed(vm.as_str())));
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

/// Takes as many engines out as the fleet can bear.
fn order(core: &Arc<Core>, lease: &Lease, round: &Arc<Round>, behind: &[Behind]) {
    let due = {
        let fleet = core.fleet.lock();
        let now = clock::now();
        let under_way = round.under_way();
        let catalogue = core.catalogue();
        let engines: Vec<_> = engines(&fleet, catalogue.as_deref()).collect();
        let stores = catalogue
            .as_ref()
            .map_or(&[][..], |catalogue| catalogue.kv_stores());
        let services: BTreeSet<_> = engines.iter().map(|up| &up.entry.service).collect();
        let long: BTreeSet<u64> = services
            .into_iter()
            .flat_map(|service| fleet.for_long(service, stores))
            .collect();
        let mut views = Vec::new();
        let mut ids = Vec::new();
        for engine in engines {
            ids.push(engine.id.clone());
            views.push(rolls::Engine {
                stage: if under_way.contains(&engine.id) {
                    rolls::Stage::Out
                } else if behind.iter().any(|b| b.engine == engine.id) {
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
                suspect: fleet.openness(engine, now) == Availability::Suspect,
                shut: is_shut(&fleet, engine, now),
            });
        }
        let due = round.pace().next(&views).into_iter();
        let due = due.take(rolls::max_per_step(views.len(), STEP));
        due.map(|no| ids[no].clone()).collect::<Vec<_>>()
    };
    for id in due {
        let Some(target) = behind.iter().find(|b| b.engine == id).cloned() else {
            continue;
        };
        let outage = round.take_out(id);
        let core = Arc::clone(core);
        let lease = lease.clone();
        tokio::spawn(async move {
            bring(&core, &lease, &outage, target).await;
        });
    }
}

/// Whether no request may begin on an engine's weights any more, of any model.
fn is_shut(fleet: &Fleet, engine: &Upstream, now: Moment) -> bool {
    let mut held = engine.entry.weights.iter();
    held.any(|held| fleet.is_outdated(&held.model, held.version, now))
}
