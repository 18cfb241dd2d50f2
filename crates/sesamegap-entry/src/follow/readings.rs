//! What a few VMs read of the store for all.

use super::apply::{Read, Taken, apply, withdraw};
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

/// Changes told in one datagram at most, of some 150 bytes each; whoever hears that there are more reads
/// for itself.
const PIECES: usize = 8;

/// A change that a reader tells of.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Piece {
    /// An upstream that is new, or leaves.
    Upstream(UpstreamId, Box<Entry>),
    /// An upstream's entry is gone.
    Removed(UpstreamId),
    /// An upstream's newest record names none.
    Withdrawn(UpstreamId),
    /// Weights were named.
    Weights(Weights),
}

/// What a VM has read of a table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Reading {
    /// The table.
    pub table: Table,
    /// Where it read from.
    pub from: LogPosition,
    /// Where it reads on.
    pub next: LogPosition,
    /// What changed, with its position in the log.
    pub pieces: Vec<(LogPosition, Piece)>,
    /// Whether the pieces are all that changed.
    pub whole: bool,
}

/// How far this VM knows a table.
#[derive(Debug, Default)]
pub struct Known {
    position: Mutex<Position>,
    reports: Mutex<Reports>,
    /// Wakes the task that reads the table when something was missed.
    pub missed: Notify,
}

impl Known {
    /// The position, for a moment.
    pub fn position(&self) -> MutexGuard<'_, Position> {
        self.position.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What was reported of its records, for a moment.
    pub fn reports(&self) -> MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes in what this VM has read, and puts it together for the others.
pub fn take(core: &Core, table: Table, from: LogPosition, batch: Batch) -> Reading {
    let mut reading = Reading {
        table,
        from,
        next: batch.next,
        pieces: Vec::new(),
        whole: true,
    };
    for (at, record) in batch.records {
        let piece = piece(&record);
        match (apply(core, at, record, Read::Written), piece) {
            (Taken::Heartbeat, _) => {}
            (Taken::News, Some(piece)) if reading.pieces.len() < PIECES => {
                reading.pieces.push((at, piece));
            }
            // A document is too long to be told, and has every VM read for itself. What this one was told
            // of before it read it is not told twice; a VM that missed it must not take this for all.
            _ => reading.whole = false,
        }
    }
    reading
}

fn piece(record: &Record) -> Option<Piece> {
    match record {
        Record::Upstream(id, entry) => Some(Piece::Upstream(id.clone(), entry.clone())),
        Record::Removed(id) => Some(Piece::Removed(id.clone())),
        Record::Weights(weights) => Some(Piece::Weights(weights.clone())),
        Record::Unreadable(record) => record.key.parse().map(Piece::Withdrawn).ok(),
        Record::Document(_) | Record::Vm(..) | Record::Quarantine(_) => None,
    }
}

/// Takes in what another VM has read.
pub fn hear(core: &Core, reading: Reading) {
    let now = clock::now();
    let known = core.table_progress(reading.table);
    let span = Span {
        from: reading.from,
        next: reading.next,
    };
    // What is told is true in any case, and its position says whether it was heard before; only a word
    // that joins says that nothing else changed.
    let heard = known.position().apply(span, reading.whole, now);
    if heard == UpdateOutcome::Outdated {
        return;
    }
    for (at, piece) in reading.pieces {
        take_piece(core, at, piece);
    }
    if heard == UpdateOutcome::Missed {
        known.missed.notify_one();
    } else {
        core.fleet.lock().store_told(now);
    }
}

fn take_piece(core: &Core, at: LogPosition, piece: Piece) {
    let record = match piece {
        Piece::Upstream(id, entry) => Record::Upstream(id, entry),
        Piece::Removed(id) => Record::Removed(id),
        Piece::Weights(weights) => Record::Weights(weights),
        Piece::Withdrawn(id) => {
            withdraw(core, &id, at);
            return;
        }
    };
    apply(core, at, record, Read::Written);
}
