//! What an owner does: it places prompts for others, and takes in what became of them.

use super::message::{Answer, Ask, Found, Word};
use crate::clock;
use crate::core::Core;
use crate::fleet::{Selection, Shard};
use sesamegap_policy::routing::placements::Placement;
use sesamegap_policy::routing::shards::Division;
use std::net::SocketAddr;
use std::time::Duration;

/// Places a prompt for another VM, and counts it at its engine.
pub fn answer(core: &Core, from: SocketAddr, ask: &Ask) -> Answer {
    let found = core.catalogue().and_then(|catalogue| {
        let shape = ask.shape();
        let (bits, number) = ask.shard;
        let selection = Selection {
            service: &ask.service,
            domain: &ask.domain,
            stores: catalogue.kv_stores(),
            shape: Some(&shape),
            tried: &ask.tried,
            tie_breaker: 0,
            least_loaded: false,
            shard: Some(Shard {
                division: Division::from_bits(bits),
                number,
            }),
        };
        place(core, from, ask, &selection)
    });
    Answer {
        number: ask.number,
        found,
    }
}

fn place(core: &Core, from: SocketAddr, ask: &Ask, selection: &Selection<'_>) -> Option<Found> {
    let now = clock::now();
    let mut fleet = core.fleet.lock();
    let chosen = fleet.choose(selection, now)?;
    let engine = fleet.get(&chosen.id)?;
    let version = engine.version(&ask.model).unwrap_or_default().0;
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
        tokens: ask.tokens,
        ahead,
        left: Duration::from_millis(u64::from(ask.left_ms)),
        prefixes,
        version,
    };
    fleet.placements.begin((from, ask.number), placement, now);
    Some(Found {
        engine: chosen.id,
        life,
        source: chosen.source,
        at_store: chosen.at_store,
        running,
        ahead,
        served_ms: served.map(|at| clock::ms_told(now.since(at))),
    })
}

/// Takes in what became of prompts of another VM.
pub fn hear(core: &Core, from: SocketAddr, words: &[Word]) {
    let now = clock::now();
    let mut fleet = core.fleet.lock();
    for word in words {
        match *word {
            Word::Began {
                number,
                life,
                tokens,
                left_ms,
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
                };
                fleet.placements.begin((from, number), placement, now);
            }
            Word::Read(number) => {
                if let Some(read) = fleet.placements.record_prefill(&(from, number)) {
                    for prefix in read.prefixes {
                        fleet
                            .cache_locations
                            .note(prefix.hash, read.life, read.version, now);
                    }
                }
            }
            Word::Ended(number) => fleet.placements.end(&(from, number)),
        }
    }
}
