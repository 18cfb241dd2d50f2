//! Updates of a table that the VMs that read it send to all others.

use super::apply::{RecordEffect, RecordSource, apply, withdraw};
use super::reports::Reports;
use crate::clock;
use crate::core::Core;
use crate::fleet::Entry;
use crate::ports::{Batch, Record, Table, Weights};
use serde::{Deserialize, Serialize};
use sesamegap_policy::routing::reading::{Position, Span, UpdateOutcome};
use sesamegap_wire::{LogPosition, UpstreamId};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Maximum number of changes in one datagram, of about 150 bytes each; a VM that receives an incomplete update
/// reads the table itself.
const MAX_CHANGES: usize = 8;

/// A change that a reader reports.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum TableChange {
    /// An upstream's entry changed beyond its heartbeat.
    Upstream(UpstreamId, Box<Entry>),
    /// An upstream's entry was removed.
    Removed(UpstreamId),
    /// An upstream's newest record is unreadable and hides its entry.
    Withdrawn(UpstreamId),
    /// Weights were named.
    Weights(Weights),
}

/// What a VM has read from a table, for its peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TableUpdate {
    /// The table.
    pub table: Table,
    /// Position from which it was read.
    pub from: LogPosition,
    /// Position after the range, from which the next read continues.
    pub next: LogPosition,
    /// Changes, with their positions in the log.
    pub pieces: Vec<(LogPosition, TableChange)>,
    /// Whether `pieces` holds all changes of the range.
    pub whole: bool,
}

/// How far this VM has read a table.
#[derive(Debug, Default)]
pub struct TableState {
    position: Mutex<Position>,
    reports: Mutex<Reports>,
    /// Wakes the task that follows the table when an update was missed.
    pub missed: Notify,
}

impl TableState {
    /// Locks the position; the guard must not be held across an await point.
    pub fn position(&self) -> MutexGuard<'_, Position> {
        self.position.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the reports of unreadable records; the guard must not be held across an await point.
    pub fn reports(&self) -> MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies what this VM has read, and builds the update for its peers.
pub fn apply_batch(core: &Core, table: Table, from: LogPosition, batch: Batch) -> TableUpdate {
    let mut update = TableUpdate {
        table,
        from,
        next: batch.next,
        pieces: Vec::new(),
        whole: true,
    };
    for (at, record) in batch.records {
        let change = to_change(&record);
        match (apply(core, at, record, RecordSource::Written), change) {
            (RecordEffect::Heartbeat, _) => {}
            (RecordEffect::News, Some(change)) if update.pieces.len() < MAX_CHANGES => {
                update.pieces.push((at, change));
            }
            // A document is too large for a datagram, so every VM reads it itself. A change that this VM had
            // learned of from a peer before reading it is not sent again, but a VM that missed that update must
            // not take this one for complete.
            _ => update.whole = false,
        }
    }
    update
}

fn to_change(record: &Record) -> Option<TableChange> {
    match record {
        Record::Upstream(id, entry) => Some(TableChange::Upstream(id.clone(), entry.clone())),
        Record::Removed(id) => Some(TableChange::Removed(id.clone())),
        Record::Weights(weights) => Some(TableChange::Weights(weights.clone())),
        Record::Unreadable(record) => record.key.parse().map(TableChange::Withdrawn).ok(),
        Record::Document(_) | Record::Vm(..) | Record::Quarantine(_) => None,
    }
}

/// Applies what another VM has read.
pub fn apply_update(core: &Core, update: TableUpdate) {
    let now = clock::now();
    let known = core.table_progress(update.table);
    let span = Span {
        from: update.from,
        next: update.next,
    };
    // The changes are valid in any case, and their positions show whether they were applied before. Only a
    // contiguous update shows that nothing else changed.
    let outcome = known.position().apply(span, update.whole, now);
    if outcome == UpdateOutcome::Outdated {
        return;
    }
    for (at, change) in update.pieces {
        apply_change(core, at, change);
    }
    if outcome == UpdateOutcome::Missed {
        known.missed.notify_one();
    } else {
        core.fleet.lock().record_peer_store_report(now);
    }
}

fn apply_change(core: &Core, at: LogPosition, change: TableChange) {
    let record = match change {
        TableChange::Upstream(id, entry) => Record::Upstream(id, entry),
        TableChange::Removed(id) => Record::Removed(id),
        TableChange::Weights(weights) => Record::Weights(weights),
        TableChange::Withdrawn(id) => {
            withdraw(core, &id, at);
            return;
        }
    };
    apply(core, at, record, RecordSource::Written);
}
