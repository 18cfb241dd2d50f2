//! Which transfers of cached parts a prompt is worth.

use super::Job;
use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use sesamegap_wire::WeightsVersion;
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;
use std::time::Duration;

/// Where cached parts come from and go to.
#[derive(Debug, Default)]
pub struct Transfer {
    /// Where the engine fetches from.
    pub fetch: Option<SocketAddr>,
    /// Where the engine saves to.
    pub save: Option<SocketAddr>,
}

/// Longest own part of a prompt that is sent to be kept along with the shared ones: nobody asks
/// for it again, and it takes the store's link and room from what is shared.
const OWN_KEPT: u64 = 4_000;

/// Tokens sent through the store in 0.4 s beyond which it is left alone. That is many times what its
/// link carries: bounds near that lost more in prompts read again than waiting for it does, so this
/// one only keeps a large fleet from queueing for seconds.
const STORE_SPAN: u64 = 600_000;

/// The same for short prompts, which lose little when they are read again, and should not wait.
const STORE_SPAN_SHORT: u64 = 400_000;

/// The same for saves, which can be made with a later prompt.
const STORE_SPAN_SAVE: u64 = 300_000;

/// Shared tokens up to which a prompt counts as short here.
const SHORT: u64 = 1_000;

/// How long an engine surely still holds what it has just served; its memory turns over in several
/// seconds at full load.
const STILL_HELD: Duration = Duration::from_secs(2);

/// Decides which transfers a prompt is worth.
pub fn transfer(core: &Core, job: &Job, flight: &Flight, namespace: &SmolStr) -> Transfer {
    let store = job.catalogue.kv_store().map(|store| store.addr);
    let Some((own, shared)) = job.head.parts.split_last() else {
        return Transfer::default();
    };
    let now = clock::now();
    let served = flight.last_served();
    let has = served.is_some_and(|at| now.since(at) < STILL_HELD);
    let tokens: u64 = shared.iter().map(|part| part.tokens.0).sum();
    let span = if tokens <= SHORT {
        STORE_SPAN_SHORT
    } else {
        STORE_SPAN
    };
    let (held, saves) = {
        let mut fleet = core.fleet.lock();
        let busy = fleet.moving(now);
        let held = fleet.kept.holds(namespace, shared) && busy < span;
        let worth = !held && own.tokens.0 <= OWN_KEPT && busy < STORE_SPAN_SAVE;
        (held, worth && fleet.kept.ask(namespace, shared))
    };
    let fetches = held && !has;
    if fetches || saves {
        let kept = if saves { own.tokens.0 + tokens } else { 0 };
        let moved = if fetches { tokens } else { kept };
        core.fleet.lock().moves.note(moved, now);
    }
    Transfer {
        fetch: store.filter(|_| fetches).or(flight.source.filter(|_| !has)),
        save: store.filter(|_| saves),
    }
}

/// Cache entries are found only under the weights that made them and, for isolated teams, the team.
pub fn namespace(weights: Option<WeightsVersion>, team: Option<&str>) -> SmolStr {
    let version = weights.unwrap_or_default();
    if let Some(team) = team {
        format_smolstr!("w{version}.{team}")
    } else {
        format_smolstr!("w{version}")
    }
}
