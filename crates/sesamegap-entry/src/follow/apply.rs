//! Takes records of the store in.

use crate::clock;
use crate::core::Core;
use crate::peers::learn_weights;
use crate::ports::{Batch, Record, Table, Unreadable};
use crate::telemetry::events;
use sesamegap_policy::routing::belief::{Belief, Change};
use sesamegap_policy::routing::weights::Named;
use sesamegap_wire::{Incarnation, LogPosition, Moment, UpstreamId};
use tracing::{info, warn};

/// What a record said to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// Something that others may not know either.
    News,
    /// Nothing new: it was told of before.
    Known,
    /// Nothing but that an upstream lives.
    Heartbeat,
}

/// How a record was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Read {
    /// It was just written.
    Written,
    /// It was found, and was written at some time before, but after this moment if it is set.
    Found(Option<Moment>),
}

/// Takes in the newest record of each key of a table, in place of what was known.
///
/// `complete` is a moment up to which all of the table was known. Gives how many upstreams are listed no more.
pub fn replace(core: &Core, table: Table, batch: Batch, complete: Option<Moment>) -> usize {
    let mut listed = Vec::new();
    for (at, record) in batch.records {
        if let Record::Upstream(id, _) = &record {
            listed.push(id.clone());
        }
        apply(core, at, record, Read::Found(complete));
    }
    if table != Table::Fleet {
        return 0;
    }
    let now = clock::now();
    let missing = core.fleet.lock().keep_only(&listed, batch.next, now);
    for (id, change) in &missing {
        tell(core, id, *change, batch.next);
    }
    missing.len()
}

/// Takes in one record, which lies at a position of its table's log.
pub fn apply(core: &Core, at: LogPosition, record: Record, read: Read) -> Taken {
    let now = clock::now();
    match record {
        Record::Document(document) => Taken::news_if(core.adopt(&document, "store")),
        Record::Weights(weights) => {
            let named = match read {
                Read::Written => Named::At(now),
                Read::Found(None) => core.fleet.lock().namings().estimate(now),
                Read::Found(Some(known)) => core.fleet.lock().namings().estimate_after(known, now),
            };
            Taken::news_if(learn_weights(core, &weights, named, "store"))
        }
        Record::Upstream(id, entry) => {
            let change = core.fleet.lock().apply(&id, *entry, at, now);
            tell(core, &id, change, at);
            taken(change)
        }
        Record::Removed(id) => {
            let change = core.fleet.lock().remove(&id, at, now);
            tell(core, &id, change, at);
            taken(change)
        }
        Record::Vm(..) | Record::Quarantine(_) => Taken::Known,
        Record::Unreadable(record) => {
            report(core, &record);
            match record.key.parse() {
                Ok(id) if record.table == Table::Fleet => withdraw(core, &id, at),
                _ => Taken::Known,
            }
        }
    }
}

/// Takes in that the newest record of an upstream names none.
///
/// Someone else has written over its entry, so that nobody knows what is at its address now, and
/// requests sent there may be lost. It is out at once, also right after an outage of the store, when
/// entries that merely lapsed get time to come back: this one did not lapse. Its next sound record
/// brings it back.
pub fn withdraw(core: &Core, id: &UpstreamId, at: LogPosition) -> Taken {
    let change = core.fleet.lock().withdraw(id, at, clock::now());
    tell(core, id, change, at);
    taken(change)
}

/// Logs a record that cannot be read, unless the same was logged before.
pub fn report(core: &Core, record: &Unreadable) {
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
        "a record cannot be read and names nothing to use"
    );
}

impl Taken {
    fn news_if(newer: bool) -> Self {
        if newer { Self::News } else { Self::Known }
    }
}

fn taken(change: Change) -> Taken {
    match change {
        Change::Same => Taken::Heartbeat,
        Change::Repeat => Taken::Known,
        // Others may know less of the upstream, and must judge for themselves.
        _ => Taken::News,
    }
}

/// Logs what a record of the list did, or why it was discarded.
pub fn tell(core: &Core, id: &UpstreamId, change: Change, at: LogPosition) {
    if matches!(change, Change::Same | Change::Repeat) {
        return;
    }
    let (born, beat) = believed(core, id);
    if change.is_discarded() {
        info!(event = events::DISCARDED, upstream = %id, why = ?change, at = %at, born, beat, "a record is older than what is known");
    } else {
        info!(event = events::UPSTREAM, upstream = %id, change = ?change, at = %at, born, beat, "belief about an upstream changed");
    }
}

/// The life and the newest heartbeat that are known of an upstream.
fn believed(core: &Core, id: &UpstreamId) -> (Option<u64>, Option<u64>) {
    let fleet = core.fleet.lock();
    let belief = fleet.belief(id);
    let born = belief.and_then(Belief::born);
    let beat = belief.and_then(Belief::beat);
    (born.map(|Incarnation(born)| born), beat)
}
