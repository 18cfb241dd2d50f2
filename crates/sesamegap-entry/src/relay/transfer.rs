//! Decides which KV cache transfers a prompt is worth.

use crate::catalogue::KvStore;
use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use crate::job::Job;
use crate::kept::InFlightTokens;
use sesamegap_policy::routing::transfers::{self, Fetch, PlacedPrompt};
use sesamegap_wire::WeightsVersion;
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;

/// Source and destination of KV cache transfers.
#[derive(Debug, Default)]
pub struct Transfer {
    /// Address that the engine fetches from.
    pub fetch: Option<SocketAddr>,
    /// Address that the engine saves to.
    pub save: Option<SocketAddr>,
}

/// Plans the transfers for a prompt, and counts a fetch from a kept-KV store as in flight there.
pub fn plan_transfer(core: &Core, job: &Job, flight: &mut Flight) -> Transfer {
    let Some((own, shared)) = job.head.parts.split_last() else {
        return Transfer::default();
    };
    let now = clock::now();
    let store = KvStore::nearest(job.catalogue.kv_stores(), &flight.domain);
    let store = store.filter(|store| !core.fleet.lock().is_store_unavailable(store.addr, now));
    let tokens: u64 = shared.iter().map(|part| part.tokens.0).sum();
    let plan = transfers::plan(&PlacedPrompt {
        shared: tokens,
        own: own.tokens.0,
        served: flight.last_served().map(|at| now.since(at)),
        at_store: flight.at_store,
        link: store.map(|store| transfers::Link {
            near: store.domain == flight.domain,
            mbps: store.link,
            engines: flight.engines,
        }),
    });
    if plan.from_store {
        flight.on_way = store.and_then(|store| register_fetch(core, job, flight, store, tokens));
    }
    let store = store.map(|store| store.addr);
    let from_engine = flight.source.filter(|_| plan.from_engine);
    Transfer {
        fetch: store.filter(|_| flight.on_way.is_some()).or(from_engine),
        save: store.filter(|_| plan.save),
    }
}

/// Counts a fetch at a store, unless it would finish too late for the latency objective.
fn register_fetch(
    core: &Core,
    job: &Job,
    flight: &Flight,
    store: &KvStore,
    tokens: u64,
) -> Option<InFlightTokens> {
    let service = job.catalogue.service(job.service());
    let engine = service.and_then(|service| service.engine.as_ref());
    let token_bytes = engine.map_or(0, |engine| engine.token_bytes);
    let tokens = Fetch::load(tokens, store.domain == flight.domain);
    let arrives = transfers::per_ms(store.link, token_bytes).is_none_or(|per_ms| {
        let fetch = Fetch {
            tokens,
            ahead: core
                .fleet
                .lock()
                .pending_store_tokens(store.addr, per_ms.get()),
            per_ms,
        };
        fetch.arrives(job.route.objective)
    });
    arrives.then(|| InFlightTokens::new(&core.fleet, store.addr, tokens))
}

/// Cache namespace of the weights that computed the entries and, for isolated teams, of the team. Entries are found
/// only within their namespace.
pub fn cache_namespace(weights: Option<WeightsVersion>, team: Option<&str>) -> SmolStr {
    let version = weights.unwrap_or_default();
    if let Some(team) = team {
        format_smolstr!("w{version}.{team}")
    } else {
        format_smolstr!("w{version}")
    }
}

/// Cache namespace of a single request, for an engine whose weights are not known: its entries may be of any version.
pub fn private_namespace(request: &str) -> SmolStr {
    format_smolstr!("r{request}")
}
