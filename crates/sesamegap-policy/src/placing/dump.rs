//! JSON dump of the placer's state for operators.

use super::engines::Engine;
use super::prefix::PrefixPlacer;
use sesamegap_wire::Moment;

/// Maximum number of engines listed, to keep the dump of a large fleet readable.
const MAX_SHOWN: usize = 200;

/// Renders the placer's state as JSON.
pub(super) fn describe(placer: &PrefixPlacer, now: Moment) -> serde_json::Value {
    let shown = placer.engines.iter().take(MAX_SHOWN);
    let engines: Vec<_> = shown.map(|(_, e)| engine(placer, e, now)).collect();
    serde_json::json!({
        "placer": "prefix",
        "blocks": placer.index.len(),
        "index_bytes": placer.index.bytes(),
        "in_flight": placer.in_flight.count(),
        "hot_prefixes": placer.heat.len(),
        "typical_us_per_token": placer.engines.typical * 1e6,
        "engines": engines,
    })
}

fn engine(placer: &PrefixPlacer, engine: &Engine, now: Moment) -> serde_json::Value {
    let per_token = placer.engines.per_token(engine, now);
    serde_json::json!({
        "id": engine.id.as_str(),
        "domain": engine.domain.as_str(),
        "incarnation": engine.incarnation.0,
        "leaving": engine.leaving,
        "suspect": engine.suspect,
        "reported": engine.report.is_some(),
        "newest_event": engine.newest_event,
        "wants_listing": engine.needs_listing,
        "wait_ms": engine.backlog.wait(now, per_token).as_millis(),
        "us_per_token": per_token * 1e6,
        "eviction_age_s": placer.index.eviction_age(engine.slot),
        "cold_prefills": engine.cold_prefills,
    })
}
