//! One engine on its way to new weights.

use super::Behind;
use super::lease::Lease;
use crate::clock;
use crate::core::Core;
use crate::peers::{EngineNews, push};
use crate::ports::{LoadOrder, OrderAnswer, Report, Weights};
use crate::telemetry::events;
use sesamegap_wire::{Fence, UpstreamId};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;
use tracing::{info, warn};

/// Time that an engine is kept out for a load: its longest answers, and the load itself. It takes
/// work again as soon as the load is seen to be done.
const OUT: Duration = Duration::from_millis(4_000);

/// How often an engine that loads is asked; its reports are some hundred milliseconds old.
const ASK: Duration = Duration::from_millis(150);

/// Longest wait for one load.
const LONGEST: Duration = Duration::from_millis(5_000);

/// Tries to order one engine in one go.
const TRIES: u32 = 3;

/// Brings an engine to new weights, or gives up for now.
pub async fn bring(core: &Core, lease: &Lease, fence: Fence, target: &Behind) {
    let engine = &target.engine;
    let Some(addr) = core.fleet.lock().get(engine).map(|up| up.entry.addr) else {
        return;
    };
    push(core, &[news(target, OUT, false)]).await;
    let done = load(core, lease, fence, target, addr).await;
    if !done {
        core_failed(core, engine);
    }
    push(core, &[news(target, Duration::ZERO, done)]).await;
}

fn core_failed(core: &Core, engine: &UpstreamId) {
    if let Some(upstream) = core.fleet.lock().get_mut(engine) {
        upstream.fail(clock::now());
    }
}

fn news(target: &Behind, out: Duration, done: bool) -> EngineNews {
    EngineNews {
        engine: target.engine.clone(),
        out_ms: u32::try_from(out.as_millis()).unwrap_or(u32::MAX),
        weights: done.then(|| wanted(target)),
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
    fence: Fence,
    target: &Behind,
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
        if holds(&report, target) {
            return true;
        }
        if report.busy {
            if wait(core, target, addr).await {
                return true;
            }
            continue;
        }
        // A pause of this process may have outlasted the lease since the last look.
        if lease.may_order() != Some(fence) {
            return false;
        }
        match give(core, fence, target, addr, report.orders).await {
            Ok(OrderAnswer::Taken | OrderAnswer::Holds) => return wait(core, target, addr).await,
            Ok(OrderAnswer::Conflict) => {}
            Ok(OrderAnswer::Fenced) => {
                lease.lose();
                return false;
            }
            Ok(OrderAnswer::Elsewhere | OrderAnswer::Invalid) => return false,
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
        holder: core.settings.vm.clone(),
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

/// Waits until an engine reports the new weights.
async fn wait(core: &Core, target: &Behind, addr: SocketAddr) -> bool {
    let began = clock::now();
    while clock::now().since(began) < LONGEST {
        sleep(ASK).await;
        if core.fleet.lock().get(&target.engine).is_none() {
            return false;
        }
        match core.ports.engines.report(addr).await {
            Ok(report) if holds(&report, target) => return true,
            Ok(_) => {}
            Err(error) => {
                warn!(event = events::ORDER, engine = %target.engine, error, "no report while loading");
                return false;
            }
        }
    }
    false
}

fn holds(report: &Report, target: &Behind) -> bool {
    let held = report.weights.iter().find(|w| w.model == target.model);
    !report.busy && held.is_some_and(|held| held.version >= target.version)
}
