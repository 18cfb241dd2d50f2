//! Applies engines' cache events and listings to the index.
//!
//! The events of one incarnation are numbered. A gap means that events were lost, and requests
//! could be placed on blocks that were evicted; the engine's entries are then in doubt and a
//! listing is requested. Listings are large, so requests for them are rate-limited, per engine and
//! in total.

use super::Need;
use super::engines::{Engine, Engines};
use super::index::Index;
use super::ring::EngineNo;
use sesamegap_wire::engine::{CacheBatch, CacheEvent, Listing};
use sesamegap_wire::peer::EngineCache;
use sesamegap_wire::{Moment, UpstreamId};
use std::time::Duration;

/// Minimum time between two listings of one engine: a few times the delay of a cache event.
const MIN_LISTING_INTERVAL: Duration = Duration::from_secs(3);

/// Rate of listed keys by which listings are spaced; the index can insert ten times as many.
const LISTING_KEYS_PER_SECOND: f64 = 500_000.0;

/// Interval between scans for engines whose cache contents are unknown.
const SCAN_INTERVAL: Duration = Duration::from_millis(20);

/// Applies cache events and listings, and limits the rate of listing requests.
#[derive(Debug, Default)]
pub struct Feed {
    /// Earliest time of the next listing request, or of the next scan for an engine that needs one.
    next_request: Moment,
}

impl Feed {
    /// Applies a batch of events and returns what is needed before the entries can be trusted.
    pub fn apply_events(
        &mut self,
        no: EngineNo,
        batch: &CacheBatch,
        engines: &mut Engines,
        index: &mut Index,
        now: Moment,
    ) -> Need {
        engines.observe_incarnation(no, batch.incarnation, index);
        let Some(engine) = engines.get_mut(no) else {
            return Need::Nothing;
        };
        if batch.incarnation < engine.incarnation {
            return Need::Nothing;
        }
        if engine.newest_event.is_none() && batch.newest == 0 {
            engine.newest_event = Some(0);
        }
        for (number, event) in &batch.events {
            if engine.newest_event.is_some_and(|newest| *number <= newest) {
                continue;
            }
            // The first event of an incarnation is number 0 or 1; a higher number means that events were
            // missed.
            let next = engine.newest_event.map_or(1, |newest| newest + 1);
            if *number > next {
                engine.needs_listing = true;
                index.doubt(engine.slot, now);
            }
            engine.newest_event = Some(*number);
            apply(event, engine.slot, index, now);
        }
        if self.due(engine, now) {
            self.record_listing_request(engine, now);
            return Need::Listing;
        }
        Need::Nothing
    }

    /// Picks an engine to request a listing from now, and records the request.
    ///
    /// When all routers restart together, none knows the engines' caches, and dossiers that engines
    /// hold would be computed again. Listings are therefore requested as soon as an engine has
    /// reported: small ones at once, large ones one after another.
    pub fn next_listing(&mut self, engines: &mut Engines, now: Moment) -> Option<UpstreamId> {
        if now < self.next_request {
            return None;
        }
        let due = engines.iter().find(|(_, e)| self.due(e, now));
        let no = due.map(|(no, _)| no);
        if no.is_none() {
            self.next_request = now + SCAN_INTERVAL;
        }
        let engine = engines.get_mut(no?)?;
        self.record_listing_request(engine, now);
        Some(engine.id.clone())
    }

    fn due(&self, engine: &Engine, now: Moment) -> bool {
        let unknown = engine.needs_listing || engine.newest_event.is_none();
        let reports = engine.report.is_some() && !engine.suspect;
        let waits = engine
            .listing_requested
            .is_some_and(|at| now < at + MIN_LISTING_INTERVAL);
        unknown && reports && !waits && now >= self.next_request
    }

    fn record_listing_request(&mut self, engine: &mut Engine, now: Moment) {
        engine.listing_requested = Some(now);
        let seconds = engine.capacity() as f64 / LISTING_KEYS_PER_SECOND;
        self.next_request =
            now + Duration::from_secs_f64(seconds.min(MIN_LISTING_INTERVAL.as_secs_f64()));
    }

    /// Applies a listing; returns `false` if it is older than the known state.
    pub fn apply_listing(
        no: EngineNo,
        listing: &Listing,
        engines: &mut Engines,
        index: &mut Index,
        now: Moment,
    ) -> bool {
        engines.observe_incarnation(no, listing.incarnation, index);
        let Some(engine) = engines.get_mut(no) else {
            return false;
        };
        let older = engine
            .newest_event
            .is_some_and(|newest| listing.newest < newest);
        if listing.incarnation < engine.incarnation || older {
            return false;
        }
        engine.newest_event = Some(listing.newest);
        engine.needs_listing = false;
        let slot = index.relist(engine.slot, &listing.keys, now);
        engines.reslot(no, slot);
        true
    }

    /// Applies a peer's view of an engine's cache, unless this router has its own.
    pub fn apply_warmth(
        no: EngineNo,
        cache: &EngineCache,
        engines: &mut Engines,
        index: &mut Index,
        now: Moment,
    ) {
        engines.observe_incarnation(no, cache.incarnation, index);
        let Some(engine) = engines.get_mut(no) else {
            return;
        };
        if cache.incarnation < engine.incarnation || engine.newest_event.is_some() {
            return;
        }
        engine.newest_event = Some(cache.newest);
        engine.needs_listing = false;
        for key in &cache.keys {
            index.stored(engine.slot, *key, now);
        }
    }
}

fn apply(event: &CacheEvent, slot: super::index::Slot, index: &mut Index, now: Moment) {
    match event {
        CacheEvent::Stored { keys } => {
            for key in keys {
                index.stored(slot, *key, now);
            }
        }
        CacheEvent::Evicted { keys } => {
            for key in keys {
                index.evicted(slot, *key, now);
            }
        }
    }
}
