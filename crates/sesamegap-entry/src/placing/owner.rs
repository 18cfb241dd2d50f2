//! The owner's side: places prompts for other VMs and applies their reports.

use super::message::{ChosenEngine, PlacementAnswer, PlacementQuery, PromptReport};
use crate::clock;
use crate::core::Core;
use crate::fleet::{NotChosen, Selection, Shard};
use sesamegap_policy::routing::engines;
use sesamegap_policy::routing::placements::Placement;
use sesamegap_policy::routing::shards::Division;
use sesamegap_policy::routing::speeds::{PromptKind, Speed};
use std::net::SocketAddr;
use std::time::Duration;

/// Places a prompt for another VM and counts it at the chosen engine.
pub fn answer_query(core: &Core, from: SocketAddr, query: &PlacementQuery) -> PlacementAnswer {
    let placed = core.catalogue().map(|catalogue| {
        let shape = query.shape();
        let (bits, number) = query.shard;
        let selection = Selection {
            service: &query.service,
            domain: &query.domain,
            stores: catalogue.kv_stores(),
            shape: Some(&shape),
            tried: &query.tried,
            tie_breaker: 0,
            least_loaded: false,
            software: None,
            terms: query.terms.as_ref(),
            left: Duration::from_millis(u64::from(query.left_ms)),
            alone: false,
            shard: Some(Shard {
                division: Division::from_bits(bits),
                number,
            }),
        };
        place(core, from, query, &selection)
    });
    let (chosen, put_off) = match placed {
        Some(Ok(chosen)) => (Some(chosen), None),
        Some(Err(NotChosen::PutOff(put_off))) => (None, Some(put_off)),
        Some(Err(NotChosen::NoUpstream)) | None => (None, None),
    };
    PlacementAnswer {
        number: query.number,
        chosen,
        put_off,
    }
}

fn place(
    core: &Core,
    from: SocketAddr,
    query: &PlacementQuery,
    selection: &Selection<'_>,
) -> Result<ChosenEngine, NotChosen> {
    let now = clock::now();
    let mut fleet = core.fleet.lock();
    let chosen = fleet.choose(selection, now)?;
    let engine = fleet.get(&chosen.id).ok_or(NotChosen::NoUpstream)?;
    let version = engine.version(&query.model).unwrap_or_default().0;
    let (life, running, ahead) = (
        engine.life,
        fleet.running(engine, now),
        fleet.unread(engine),
    );
    let prefixes = selection.shape.map(|shape| shape.prompt.prefixes.clone());
    let prefixes = prefixes.unwrap_or_default();
    let served = prefixes
        .last()
        .and_then(|inner| fleet.cache_locations.last(inner.hash, life, version));
    let placement = Placement {
        life,
        tokens: query.tokens,
        ahead,
        left: Duration::from_millis(u64::from(query.left_ms)),
        prefixes,
        version,
        priority: query.terms.as_ref().map_or(0, |terms| terms.priority),
        speed: fleet.speed(engine, now),
        kind: Some(PromptKind {
            model: engines::seed(&query.model),
            cached: served.is_some(),
        }),
    };
    fleet.placements.begin((from, query.number), placement, now);
    Ok(ChosenEngine {
        engine: chosen.id,
        life,
        source: chosen.source,
        at_store: chosen.at_store,
        running,
        ahead,
        served_ms: served.map(|at| clock::wire_millis(now.since(at))),
    })
}

/// Applies another VM's reports on its prompts.
pub fn apply_reports(core: &Core, from: SocketAddr, reports: &[PromptReport]) {
    let now = clock::now();
    let mut fleet = core.fleet.lock();
    for report in reports {
        match *report {
            PromptReport::Began {
                number,
                life,
                tokens,
                left_ms,
                priority,
            } => {
                let ahead = fleet.placements.at(life).unread;
                let left = Duration::from_millis(u64::from(left_ms));
                let placement = Placement {
                    life,
                    tokens,
                    ahead,
                    left,
                    prefixes: Vec::new(),
                    version: 0,
                    priority,
                    speed: Speed::USUAL,
                    // The VM that placed it measures it.
                    kind: None,
                };
                fleet.placements.begin((from, number), placement, now);
            }
            PromptReport::Read(number) => {
                if let Some(sample) = fleet.placements.take_sample(&(from, number), now) {
                    fleet.record_sample(&sample, now);
                }
                if let Some(read) = fleet.placements.record_prefill(&(from, number)) {
                    for prefix in read.prefixes {
                        fleet
                            .cache_locations
                            .note(prefix.hash, read.life, read.version, now);
                    }
                }
            }
            PromptReport::Ended(number) => fleet.placements.end(&(from, number)),
        }
    }
}
