//! One engine on its way to new weights.

use super::Behind;
use super::lease::Lease;
use super::round::{Outage, Turn};
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

/// Time for which an engine is named as out; said again while it drains, so that engines of a VM
/// that dies in a roll take work again by themselves.
const OUT: Duration = Duration::from_secs(3);

/// Time in which all VMs hear that an engine is out; whoever has not finds out from its refusal.
const HEARD: Duration = Duration::from_millis(100);

/// How often a draining engine is looked at.
const LOOK: Duration = Duration::from_millis(50);

/// How often an engine that loads is asked; its reports are some hundred milliseconds old.
const ASK: Duration = Duration::from_millis(120);

/// Longest wait for one load.
const LONGEST: Duration = Duration::from_secs(4);

/// Tries to order one engine in one go.
const TRIES: u32 = 3;

/// Brings an engine to the newest weights, or gives up for now.
pub async fn bring(core: &Core, lease: &Lease, outage: &Outage, mut target: Behind) {
    let engine = target.engine.clone();
    let Some(addr) = core.fleet.lock().get(&engine).map(|up| up.entry.addr) else {
        return;
    };
    if !drain(core, &target).await {
        broadcast_engine_update(core, news(&target, Duration::ZERO, false));
        info!(event = events::ORDER, engine = %engine, "too few engines are open; it takes work again");
        return;
    }
    let turn = turn(core, outage, &target, addr).await;
    // A newer version may have been named meanwhile; the one in between is never loaded.
    if let Some(newest) = core.fleet.lock().namings().newest_of(&target.model) {
        target.version = newest.version;
    }
    let done = turn.is_some() && load(core, lease, outage, &mut target, addr).await;
    drop(turn);
    if !done {
        core.fleet.lock().failed(&engine, clock::now());
    }
    let gone = |up: &Upstream| up.is_gone(clock::now());
    if !core.fleet.lock().get(&engine).is_some_and(gone) {
        broadcast_engine_update(core, news(&target, Duration::ZERO, done));
    }
}

/// Keeps work away from an engine until its requests have ended, or for as long as a roll can wait.
///
/// False if it must take work again instead.
async fn drain(core: &Core, target: &Behind) -> bool {
    let began = clock::now();
    broadcast_engine_update(core, news(target, OUT, false));
    if let Some(view) = look(core, target, began, began) {
        info!(event = events::ORDER, engine = %target.engine, version = target.version.0, running = view.running, longest_ms = clock::millis(view.longest), overtaken_ms = view.overtaken.map(clock::millis), "drains before its order");
    }
    sleep(HEARD).await;
    let mut said = clock::now();
    loop {
        let now = clock::now();
        let Some(view) = look(core, target, began, now) else {
            return true;
        };
        if view.running == 0 || now.since(began) >= view.longest {
            return true;
        }
        if view.returns {
            return false;
        }
        said = stay_out(core, target, said);
        sleep(LOOK).await;
    }
}

/// Waits for a turn to load; none if the engine does not answer or is not there any more.
///
/// It is asked before it gets a turn: a dead one would keep the others from loading for as long as it takes to
/// find out.
async fn turn(core: &Core, outage: &Outage, target: &Behind, addr: SocketAddr) -> Option<Turn> {
    if let Err(error) = core.ports.engines.report(addr).await {
        info!(event = events::ORDER, engine = %target.engine, error, "no report");
        return None;
    }
    let mut said = clock::now();
    loop {
        let catalogue = core.catalogue();
        let all = {
            let fleet = core.fleet.lock();
            fleet.get(&target.engine)?;
            super::engines(&fleet, catalogue.as_deref()).count()
        };
        if let Some(turn) = outage.turn(all) {
            return Some(turn);
        }
        said = stay_out(core, target, said);
        sleep(LOOK).await;
    }
}

/// Says again that an engine is out before the last word ends; when it was last said.
///
/// Engines that load side by side need seconds, and would be sent requests in the middle of it.
fn stay_out(core: &Core, target: &Behind, said: Moment) -> Moment {
    let now = clock::now();
    if now.since(said) <= OUT / 2 {
        return said;
    }
    broadcast_engine_update(core, news(target, OUT, false));
    now
}

/// What decides about an engine that drains.
#[derive(Debug)]
struct View {
    running: u32,
    longest: Duration,
    /// How long ago newer weights than its own were named.
    overtaken: Option<Duration>,
    returns: bool,
}

/// How an engine stands that drains since `began`.
fn look(core: &Core, target: &Behind, began: Moment, now: Moment) -> Option<View> {
    let bound = core.settings().durations.weights_deadline;
    let catalogue = core.catalogue();
    let fleet = core.fleet.lock();
    let engine = fleet.get(&target.engine)?;
    let engines = || super::engines(&fleet, catalogue.as_deref());
    let namings = fleet.namings();
    let newest = namings
        .newest_of(&target.model)
        .map(|naming| naming.version);
    let done = engines().filter(|up| up.version(&target.model) >= newest);
    let open = engines().filter(|up| fleet.openness(up, now) == Availability::Open);
    let held = engine.version(&target.model).unwrap_or_default();
    let overtaken = namings.superseded_at(&target.model, held);
    let left = |at: Moment| bound.saturating_sub(overtaken.map_or(Duration::ZERO, |o| at.since(o)));
    let all = engines().count();
    Some(View {
        overtaken: overtaken.map(|at| now.since(at)),
        running: fleet.running_here(engine),
        longest: rolls::drain(done.count(), all, left(began)),
        returns: rolls::must_return(open.count(), all, left(now)),
    })
}

fn news(target: &Behind, out: Duration, done: bool) -> EngineUpdate {
    EngineUpdate {
        engine: target.engine.clone(),
        born: target.born,
        out_ms: clock::wire_millis(out),
        weights: done.then(|| wanted(target)),
        gone: false,
    }
}

fn wanted(target: &Behind) -> Weights {
    Weights {
        model: target.model.clone(),
        version: target.version,
    }
}

/// Orders the load and waits until it is done.
async fn load(
    core: &Core,
    lease: &Lease,
    outage: &Outage,
    target: &mut Behind,
    addr: SocketAddr,
) -> bool {
    for _ in 0..TRIES {
        let report = match core.ports.engines.report(addr).await {
            Ok(report) => report,
            Err(error) => {
                info!(event = events::ORDER, engine = %target.engine, error, "no report");
                return false;
            }
        };
        // An engine that started again has taken no order of before, whatever it answered to one.
        let change = core.fleet.lock().reported(&target.engine, &report);
        if change == Change::Restarted {
            info!(event = events::UPSTREAM, upstream = %target.engine, change = ?change, born = report.born.map(|born| born.0), "its report is of a newer life");
        }
        target.born = report.born;
        if holds(&report, target) {
            return true;
        }
        if report.busy {
            if wait(core, outage, target, addr).await == Loading::Done {
                return true;
            }
            continue;
        }
        // A pause of this process may have outlasted the lease since the last look.
        let Some(fence) = lease.may_order() else {
            return false;
        };
        match give(core, fence, target, addr, report.orders).await {
            Ok(answer @ (OrderAnswer::Taken | OrderAnswer::Holds)) => {
                let ordered = clock::now();
                match wait(core, outage, target, addr).await {
                    Loading::Done => {
                        if answer == OrderAnswer::Taken {
                            outage.loaded(clock::now().since(ordered));
                        }
                        return true;
                    }
                    Loading::Failed => return false,
                    Loading::Restarted => {}
                }
            }
            Ok(OrderAnswer::Conflict) => {}
            Ok(OrderAnswer::Fenced) => {
                lease.lose();
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
                // It may have been taken, or may come late; the next report tells, and a late one
                // fails since it names the number of orders taken before it.
                info!(event = events::ORDER, engine = %target.engine, error, "no answer to an order");
            }
        }
    }
    false
}

async fn give(
    core: &Core,
    fence: Fence,
    target: &Behind,
    addr: SocketAddr,
    expected: u64,
) -> Result<OrderAnswer, String> {
    let order = LoadOrder {
        weights: wanted(target),
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

/// What became of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loading {
    /// The engine holds the weights.
    Done,
    /// It does not say so.
    Failed,
    /// It started again and knows of no order.
    Restarted,
}

/// Waits until an engine reports the new weights.
async fn wait(core: &Core, outage: &Outage, target: &Behind, addr: SocketAddr) -> Loading {
    let began = clock::now();
    let mut said = began;
    // Half of a load, so that one that has become quicker is seen to be.
    sleep(outage.load() / 2).await;
    while clock::now().since(began) < LONGEST {
        sleep(ASK).await;
        said = stay_out(core, target, said);
        if core.fleet.lock().get(&target.engine).is_none() {
            return Loading::Failed;
        }
        match core.ports.engines.report(addr).await {
            Ok(report) if report.born != target.born => {
                warn!(event = events::ORDER, engine = %target.engine, "started again while loading");
                return Loading::Restarted;
            }
            Ok(report) if holds(&report, target) => return Loading::Done,
            Ok(_) => {}
            Err(error) => {
                warn!(event = events::ORDER, engine = %target.engine, error, "no report while loading");
                return Loading::Failed;
            }
        }
    }
    Loading::Failed
}

fn holds(report: &EngineReport, target: &Behind) -> bool {
    let held = report.weights.iter().find(|w| w.model == target.model);
    !report.busy && held.is_some_and(|held| held.version >= target.version)
}
