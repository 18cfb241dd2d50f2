//! Gives orders to engines.

use super::clock::BootClock;
use super::lease::LeaseKeeper;
use super::view::Observer;
use crate::config::ProcessConfig;
use crate::events;
use sesamegap_policy::shifting::EngineOrder;
use sesamegap_wire::engine::{Order, OrderAnswer, Wanted};
use sesamegap_wire::{Fence, UpstreamId};
use std::fmt;
use std::time::Duration;
use tokio::time::timeout;

/// An order that was given, taken or not.
#[derive(Debug, Clone)]
pub struct Given {
    /// The engine.
    pub engine: UpstreamId,
    /// The state it was ordered into.
    pub wanted: Wanted,
    /// The fencing number.
    pub fence: Fence,
    /// What came of it.
    pub outcome: &'static str,
}

impl fmt::Display for Given {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            engine,
            fence,
            outcome,
            ..
        } = self;
        match &self.wanted {
            Wanted::Load { model, version } => {
                write!(
                    f,
                    "{engine} load {model} {version} under {fence}: {outcome}"
                )
            }
            Wanted::Drop { model, below } => {
                write!(
                    f,
                    "{engine} drop {model} below {below} under {fence}: {outcome}"
                )
            }
        }
    }
}

/// Longest time that an order can be on its way; after it the connection is closed.
pub fn limit(config: &ProcessConfig) -> Duration {
    config.timing.connect + config.timing.silence
}

/// Gives orders one after the other, as long as the lease allows.
///
/// A paused process finds out by its own clock, right before each order, that its lease may be
/// over: without that question its order would cross one of its successor on an engine that
/// ignores fencing numbers.
pub async fn give(
    keeper: &LeaseKeeper,
    observer: &Observer,
    clock: BootClock,
    wanted: Vec<EngineOrder>,
    limit: Duration,
) -> Vec<Given> {
    let mut given = Vec::new();
    for EngineOrder { engine, wanted } in wanted {
        let Some(client) = observer.client(&engine) else {
            continue;
        };
        let Some(fence) = keeper.may_order(clock.now()) else {
            break;
        };
        let order = Order { fence, wanted };
        let outcome = match timeout(limit, client.order(&order)).await {
            Ok(Ok(OrderAnswer::Taken)) => "taken",
            Ok(Ok(OrderAnswer::Fenced)) => "fenced",
            // It may have been taken all the same; the engine's report shows it, and an order
            // states a wanted state, so giving it again does no harm.
            Ok(Err(_)) | Err(_) => "unknown",
        };
        if outcome == "fenced" {
            tracing::warn!(event = events::ORDER_FENCED.number, %engine, %fence, "order fenced");
        }
        given.push(Given {
            engine,
            wanted: order.wanted,
            fence,
            outcome,
        });
    }
    given
}
