//! Applies records of the store.

use super::updates::TableChange;
use crate::clock;
use crate::core::Core;
use crate::peers::learn_weights;
use crate::ports::{Batch, Record, Table, Unreadable};
use crate::telemetry::events;
use rustc_hash::FxHashSet;
use sesamegap_policy::routing::belief::{Belief, Change};
use sesamegap_policy::routing::weights::Named;
use sesamegap_wire::{Incarnation, LogPosition, Moment, SoftwareVersion, UpstreamId};
use tracing::{info, warn};

/// Effect of a record on what this VM knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordEffect {
    /// New information, which peers may lack too.
    News,
    /// Nothing new: the record was known already.
    Known,
    /// Nothing but a newer heartbeat of an upstream.
    Heartbeat,
}

/// How a record was found, which tells its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordSource {
    /// In a read of changes: it was just written.
    Written,
    /// In a read of the whole table: it was written at an unknown time, but after this time if it is set.
    Found(Option<Moment>),
}

/// Largest table whose changes are logged one by one when it is replaced; more are logged as a sum.
const MAX_LOGGED_RECORDS: usize = 64;

/// What changed when a table was replaced.
#[derive(Debug, Default)]
pub struct Replacement {
    /// Entries that were new or different, with their positions.
    pub changed: Vec<(LogPosition, UpstreamId)>,
    /// Number of upstreams that are no longer listed.
    pub missing: usize,
}

impl Replacement {
    /// The changed entries, for VMs that may lack them.
    pub fn relayed(&self, core: &Core) -> Vec<(LogPosition, TableChange)> {
        let fleet = core.fleet.lock();
        let changed = self.changed.iter().filter_map(|(at, id)| {
            let entry = Box::new(fleet.get(id)?.entry.clone());
            Some((*at, TableChange::Upstream(id.clone(), entry)))
        });
        changed.collect()
    }
}

/// Replaces what is known of a table by the newest record of each key.
///
/// `complete` is a time up to which the whole table was known.
pub fn replace_table(
    core: &Core,
    table: Table,
    batch: Batch,
    complete: Option<Moment>,
) -> Replacement {
    let mut result = Replacement::default();
    let mut listed = FxHashSet::default();
    let records = batch.records.len();
    let is_bulk = records > MAX_LOGGED_RECORDS;
    if table == Table::Fleet {
        core.fleet.lock().record_replacement(clock::now());
    }
    for (at, record) in batch.records {
        let Record::Upstream(id, entry) = record else {
            apply(core, at, record, RecordSource::Found(complete));
            continue;
        };
        let change = core.fleet.lock().apply(&id, *entry, at, clock::now());
        if !is_bulk {
            log_change(core, &id, change, at);
        }
        if effect_of(change) == RecordEffect::News {
            result.changed.push((at, id.clone()));
        }
        listed.insert(id);
    }
    if table == Table::Fleet {
        let missing = core
            .fleet
            .lock()
            .keep_only(&listed, batch.next, clock::now());
        if !is_bulk {
            for (id, change) in &missing {
                log_change(core, id, *change, batch.next);
            }
        }
        result.missing = missing.len();
    }
    if is_bulk {
        info!(event = events::TABLE_READ, table = ?table, at = %batch.next, records, changed = result.changed.len(), missing = result.missing, "whole table applied");
    }
    result
}

/// Applies the record at a position of its table's log.
pub fn apply(core: &Core, at: LogPosition, record: Record, read: RecordSource) -> RecordEffect {
    let now = clock::now();
    match record {
        Record::Document(document) => RecordEffect::news_if(core.adopt(&document, "store")),
        Record::Weights(weights) => {
            let named = match read {
                RecordSource::Written => Named::At(now),
                RecordSource::Found(None) => core.fleet.lock().namings().estimate(now),
                RecordSource::Found(Some(known)) => {
                    core.fleet.lock().namings().estimate_after(known, now)
                }
            };
            RecordEffect::news_if(learn_weights(core, &weights, named, "store"))
        }
        Record::Upstream(id, entry) => {
            let change = core.fleet.lock().apply(&id, *entry, at, now);
            log_change(core, &id, change, at);
            effect_of(change)
        }
        Record::Removed(id) => {
            let change = core.fleet.lock().remove(&id, at, now);
            log_change(core, &id, change, at);
            effect_of(change)
        }
        Record::Vm(..) | Record::VmRemoved(_) | Record::Quarantine(_) | Record::Versions(..) => {
            RecordEffect::Known
        }
        Record::Unreadable(record) => {
            log_unreadable(core, &record);
            match record.key.parse() {
                Ok(id) if record.table == Table::Fleet => withdraw(core, &id, at),
                _ => RecordEffect::Known,
            }
        }
    }
}

/// Applies that an upstream's newest record is unreadable.
///
/// Another writer has overwritten its entry, so what runs at its address is unknown, and requests sent there may be
/// lost. The upstream is removed at once, even right after an outage of the store, when lapsed entries get time to
/// reappear: this one did not lapse. Its next readable record restores it.
pub fn withdraw(core: &Core, id: &UpstreamId, at: LogPosition) -> RecordEffect {
    let change = core.fleet.lock().withdraw(id, at, clock::now());
    log_change(core, id, change, at);
    effect_of(change)
}

/// Logs an unreadable record, unless the same was logged before.
pub fn log_unreadable(core: &Core, record: &Unreadable) {
    if !core
        .table_progress(record.table)
        .reports()
        .is_due(record, clock::now())
    {
        return;
    }
    warn!(
        event = events::UNREADABLE,
        table = ?record.table,
        offset = record.offset.0,
        key = %record.key,
        field = record.field.as_deref(),
        why = %record.why,
        "record cannot be read and is ignored"
    );
}

impl RecordEffect {
    fn news_if(newer: bool) -> Self {
        if newer { Self::News } else { Self::Known }
    }
}

fn effect_of(change: Change) -> RecordEffect {
    match change {
        Change::Same => RecordEffect::Heartbeat,
        Change::Repeat => RecordEffect::Known,
        // Peers may know less about the upstream, and must apply their own rules to the record.
        _ => RecordEffect::News,
    }
}

/// Logs the effect of a record of the fleet list, or why it was discarded.
pub fn log_change(core: &Core, id: &UpstreamId, change: Change, at: LogPosition) {
    if matches!(change, Change::Same | Change::Repeat) {
        return;
    }
    let (born, beat, software) = known_state(core, id);
    if change.is_discarded() {
        info!(event = events::DISCARDED, upstream = %id, why = ?change, at = %at, born, beat, "record is older than what is known and was discarded");
    } else {
        info!(event = events::UPSTREAM, upstream = %id, change = ?change, at = %at, born, beat, %software, "belief about an upstream changed");
    }
}

/// The newest known incarnation, heartbeat and software version of an upstream.
fn known_state(core: &Core, id: &UpstreamId) -> (Option<u64>, Option<u64>, SoftwareVersion) {
    let fleet = core.fleet.lock();
    let belief = fleet.belief(id);
    let born = belief.and_then(Belief::born);
    let beat = belief.and_then(Belief::beat);
    let upstream = fleet.get(id);
    let software = upstream.map(|upstream| upstream.entry.software.clone());
    (
        born.map(|Incarnation(born)| born),
        beat,
        software.unwrap_or_default(),
    )
}
