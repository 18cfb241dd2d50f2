//! Tests of an entry VM's routing decisions.

mod answer_memory;
mod belief;
mod brittle;
mod budget;
mod cadence;
mod candidates;
mod dissemination;
mod engines;
mod gateways;
mod plain;
mod probing;
mod quiet_shards;
mod reachability;
mod reading;
mod revisions;
mod rolls;
mod shards;
mod silence;
mod speeds;
mod stopping;
mod timeouts;
mod transfers;
mod upstream_limits;
mod weights;

use sesamegap_policy::routing::Availability;
use sesamegap_policy::routing::engines::Engine;
use sesamegap_policy::routing::speeds::Speed;

/// An engine for long prompts that runs nothing.
fn idle_engine(seed: u64) -> Engine {
    Engine {
        seed,
        life: seed,
        near: true,
        running: 0,
        slots: 16,
        waiting: 0,
        unread: 0,
        version: 1,
        state: Availability::Open,
        long: true,
        store: 1,
        speed: Speed::USUAL,
        weight: Speed::USUAL,
    }
}
