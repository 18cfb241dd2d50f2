//! Update of a single engine to new weights: drain, order, and wait for the load.

use super::OutdatedEngine;
use super::lease::Lease;
use super::progress::{LoadPermit, OutGuard};
use crate::clock;
use crate::core::Core;
use crate::fleet::{Change, Upstream};
use crate::peers::{EngineUpdate, broadcast_engine_update};
use crate::ports::{EngineReport, LoadOrder, OrderAnswer, RunningRequests, Weights};
use crate::telemetry::events;
use sesamegap_policy::routing::{Availability, rolls};
use sesamegap_wire::{Fence, Moment};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;
use tracing::{info, warn};

/// Time for which an engine is announced as out of service. The announcement is renewed while the engine drains and
/// loads; if this VM crashes during a roll, it expires and the engine receives work again.
const OUT_TTL: Duration = Duration::from_secs(3);

/// Time within which all VMs learn that an engine is out; a VM that has not learned it by then is refused by the
/// engine.
const PROPAGATION_DELAY: Duration = Duration::from_millis(100);

/// Interval at which a draining engine, or one that waits for a load permit, is checked.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a loading engine is asked for its state; its reports are about a hundred milliseconds old.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(120);

/// Maximum wait for a load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of attempts to order a load in one update.
const MAX_ATTEMPTS: u32 = 3;

/// Updates an engine to the newest weights, or gives up until the next step of the roll.
pub async fn update_engine(
    core: &Core,
    lease: &Lease,
    guard: &OutGuard,
    mut target: OutdatedEngine,
) {
    let engine = target.engine.clone();
    let Some(addr) = core.fleet.lock().get(&engine).map(|up| up.entry.addr) else {
        return;
    };
    if !drain(core, &target).await {
        broadcast_engine_update(core, engine_update(&target, Duration::ZERO, false));
        info!(event = events::ORDER, engine = %engine, "too few engines accept work; engine returns to service without an update");
        return;
    }
    let permit = acquire_load_permit(core, guard, &target, addr).await;
    // A newer version may have been named meanwhile; a superseded version is never loaded.
    if let Some(newest) = core.fleet.lock().namings().newest_of(&target.model) {
        target.version = newest.version;
    }
    let done = permit.is_some() && load_weights(core, lease, guard, &mut target, addr).await;
    drop(permit);
    if !done {
        core.fleet.lock().record_failure(&engine, clock::now());
    }
    let gone = |up: &Upstream| up.is_gone(clock::now());
    if !core.fleet.lock().get(&engine).is_some_and(gone) {
        broadcast_engine_update(core, engine_update(&target, Duration::ZERO, done));
    }
}

/// Keeps new requests away from an engine until its running requests have ended or the maximum drain time has passed.
///
/// Returns false if the engine must return to service instead.
async fn drain(core: &Core, target: &OutdatedEngine) -> bool {
    let began = clock::now();
    broadcast_engine_update(core, engine_update(target, OUT_TTL, false));
    if let Some(status) = drain_status(core, target, began, began) {
        info!(event = events::ORDER, engine = %target.engine, version = target.version.0, running = status.running, longest_ms = clock::millis(status.max_drain), overtaken_ms = status.superseded_for.map(clock::millis), "draining before the load order");
    }
    sleep(PROPAGATION_DELAY).await;
    let mut announced_at = clock::now();
    loop {
        let now = clock::now();
        let Some(status) = drain_status(core, target, began, now) else {
            return true;
        };
        if status.running == 0 || now.since(began) >= status.max_drain {
            return true;
        }
        if status.must_return {
            return false;
        }
        announced_at = renew_out(core, target, announced_at);
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Asks an engine for its state, which also shows whether this VM reaches it.
async fn ask_report(
    core: &Core,
    target: &OutdatedEngine,
    addr: SocketAddr,
) -> Result<EngineReport, String> {
    let began = clock::now();
    let report = core.ports.engines.report(addr).await;
    let life = core.fleet.lock().get(&target.engine).map(|up| up.life);
    if let Some(life) = life {
        core.record_connection(life, began, report.is_ok());
    }
    report
}

/// Waits for a permit to load; returns `None` if the engine does not respond or is no longer listed.
///
/// The engine is asked for its state first: a dead engine with a permit would keep others from loading until its
/// failure is detected.
async fn acquire_load_permit(
    core: &Core,
    guard: &OutGuard,
    target: &OutdatedEngine,
    addr: SocketAddr,
) -> Option<LoadPermit> {
    if let Err(error) = ask_report(core, target, addr).await {
        info!(event = events::ORDER, engine = %target.engine, error, "engine did not report its state");
        return None;
    }
    let mut announced_at = clock::now();
    loop {
        let catalogue = core.catalogue();
        let all = {
            let fleet = core.fleet.lock();
            fleet.get(&target.engine)?;
            super::managed_engines(&fleet, catalogue.as_deref()).count()
        };
        if let Some(permit) = guard.try_acquire_load_permit(all) {
            return Some(permit);
        }
        announced_at = renew_out(core, target, announced_at);
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Renews the announcement that an engine is out before it expires; returns the time of the last announcement.
///
/// Engines that load concurrently take seconds; without renewal, requests would be sent to them during the load.
fn renew_out(core: &Core, target: &OutdatedEngine, announced_at: Moment) -> Moment {
    let now = clock::now();
    if now.since(announced_at) <= OUT_TTL / 2 {
        return announced_at;
    }
    broadcast_engine_update(core, engine_update(target, OUT_TTL, false));
    now
}

/// State of a draining engine.
#[derive(Debug)]
struct DrainStatus {
    running: u32,
    max_drain: Duration,
    /// Time since weights newer than the engine's were named.
    superseded_for: Option<Duration>,
    must_return: bool,
}

/// Returns the state of an engine that has been draining since `began`, or `None` if it is no longer listed.
fn drain_status(
    core: &Core,
    target: &OutdatedEngine,
    began: Moment,
    now: Moment,
) -> Option<DrainStatus> {
    let bound = core.settings().spans.weights;
    let catalogue = core.catalogue();
    let fleet = core.fleet.lock();
    let engine = fleet.get(&target.engine)?;
    let engines = || super::managed_engines(&fleet, catalogue.as_deref());
    let namings = fleet.namings();
    let newest = namings
        .newest_of(&target.model)
        .map(|naming| naming.version);
    let done = engines().filter(|up| up.version(&target.model) >= newest);
    let open = engines().filter(|up| fleet.availability(up, now) == Availability::Open);
    let held = engine.version(&target.model).unwrap_or_default();
    let superseded_at = namings.superseded_at(&target.model, held);
    let left = |at: Moment| {
        bound
            .saturating_sub(superseded_at.map_or(Duration::ZERO, |superseded| at.since(superseded)))
    };
    let all = engines().count();
    Some(DrainStatus {
        superseded_for: superseded_at.map(|at| now.since(at)),
        running: fleet.counted_running(engine),
        max_drain: rolls::drain(done.count(), all, left(began)),
        must_return: rolls::must_return(open.count(), all, left(now)),
    })
}

fn engine_update(target: &OutdatedEngine, out: Duration, done: bool) -> EngineUpdate {
    EngineUpdate {
        engine: target.engine.clone(),
        born: target.born,
        out_ms: clock::wire_millis(out),
        weights: done.then(|| target_weights(target)),
        gone: false,
    }
}

fn target_weights(target: &OutdatedEngine) -> Weights {
    Weights {
        model: target.model.clone(),
        version: target.version,
    }
}

/// Orders a load and waits for it to complete; returns whether the engine has the target weights.
async fn load_weights(
    core: &Core,
    lease: &Lease,
    guard: &OutGuard,
    target: &mut OutdatedEngine,
    addr: SocketAddr,
) -> bool {
    for _ in 0..MAX_ATTEMPTS {
        let report = match ask_report(core, target, addr).await {
            Ok(report) => report,
            Err(error) => {
                info!(event = events::ORDER, engine = %target.engine, error, "engine did not report its state");
                return false;
            }
        };
        // A restarted engine has not accepted any earlier order, whatever its former instance answered.
        let change = core.fleet.lock().apply_report(&target.engine, &report);
        if change == Change::Restarted {
            info!(event = events::UPSTREAM, upstream = %target.engine, change = ?change, born = report.born.map(|born| born.0), "report comes from a newer instance of the engine");
        }
        target.born = report.born;
        if has_target_weights(&report, target) {
            return true;
        }
        if report.busy {
            if await_load(core, guard, target, addr).await == LoadOutcome::Done {
                return true;
            }
            continue;
        }
        // The lease may have expired since the last check, if this process was paused.
        let Some(fence) = lease.may_order() else {
            return false;
        };
        match send_order(core, fence, target, addr, report.orders).await {
            Ok(answer @ (OrderAnswer::Taken | OrderAnswer::Holds)) => {
                let ordered = clock::now();
                match await_load(core, guard, target, addr).await {
                    LoadOutcome::Done => {
                        if answer == OrderAnswer::Taken {
                            guard.record_load_time(clock::now().since(ordered));
                        }
                        return true;
                    }
                    LoadOutcome::Failed => return false,
                    LoadOutcome::Restarted => {}
                }
            }
            Ok(OrderAnswer::Conflict) => {}
            Ok(OrderAnswer::Fenced) => {
                lease.invalidate();
                return false;
            }
            Ok(OrderAnswer::Elsewhere) => {
                broadcast_engine_update(
                    core,
                    EngineUpdate::gone(target.engine.clone(), target.born),
                );
                return false;
            }
            Ok(OrderAnswer::Invalid) => return false,
            Err(error) => {
                // The order may have been accepted, or may arrive late. The next report shows which, and a
                // late order is rejected because its expected number of earlier orders no longer matches.
                info!(event = events::ORDER, engine = %target.engine, error, "no answer to a load order");
            }
        }
    }
    false
}

async fn send_order(
    core: &Core,
    fence: Fence,
    target: &OutdatedEngine,
    addr: SocketAddr,
    expected: u64,
) -> Result<OrderAnswer, String> {
    let order = LoadOrder {
        weights: target_weights(target),
        running: RunningRequests::Continue,
        holder: core.settings().vm.clone(),
        fence,
        expected,
    };
    let answer = core
        .ports
        .engines
        .load(addr, target.engine.clone(), order)
        .await;
    info!(event = events::ORDER, engine = %target.engine, version = target.version.0, fence = fence.0, expected, answer = ?answer, "ordered");
    answer
}

/// Outcome of waiting for a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadOutcome {
    /// The engine has the weights.
    Done,
    /// The engine did not report the weights in time, did not respond, or is no longer listed.
    Failed,
    /// The engine restarted and has lost the order.
    Restarted,
}

/// Waits until an engine reports the target weights.
async fn await_load(
    core: &Core,
    guard: &OutGuard,
    target: &OutdatedEngine,
    addr: SocketAddr,
) -> LoadOutcome {
    let began = clock::now();
    let mut announced_at = began;
    // Waits only half of the expected time, so that faster loads are noticed.
    sleep(guard.expected_load_time() / 2).await;
    while clock::now().since(began) < LOAD_TIMEOUT {
        sleep(LOAD_POLL_INTERVAL).await;
        announced_at = renew_out(core, target, announced_at);
        if core.fleet.lock().get(&target.engine).is_none() {
            return LoadOutcome::Failed;
        }
        match ask_report(core, target, addr).await {
            Ok(report) if report.born != target.born => {
                warn!(event = events::ORDER, engine = %target.engine, "engine restarted while loading");
                return LoadOutcome::Restarted;
            }
            Ok(report) if has_target_weights(&report, target) => return LoadOutcome::Done,
            Ok(_) => {}
            Err(error) => {
                warn!(event = events::ORDER, engine = %target.engine, error, "engine did not report its state while loading");
                return LoadOutcome::Failed;
            }
        }
    }
    LoadOutcome::Failed
}

fn has_target_weights(report: &EngineReport, target: &OutdatedEngine) -> bool {
    let held = report.weights.iter().find(|w| w.model == target.model);
    !report.busy && held.is_some_and(|held| held.version >= target.version)
}
