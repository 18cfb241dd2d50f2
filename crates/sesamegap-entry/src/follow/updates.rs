//! Updates of a table that the VMs that read it send to all others.

use super::apply::{RecordEffect, RecordSource, apply, replace_table, withdraw};
use super::journal::Journal;
use super::reports::Reports;
use crate::clock;
use crate::core::Core;
use crate::fleet::Entry;
use crate::ports::{Batch, Record, StoreError, Table, Weights};
use crate::telemetry::events;
use serde::{Deserialize, Serialize};
use sesamegap_policy::routing::reading::{Position, Reading, Span, UpdateOutcome};
use sesamegap_wire::{LogPosition, Moment, UpstreamId};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tracing::info;

/// Maximum number of changes in one datagram, of about 130 bytes each; an update with more is sent in parts.
const MAX_CHANGES: usize = 8;

/// Most parts of a reading that are held because one before them is missing, of about a kilobyte each.
const MAX_HELD_PARTS: usize = 1_024;

/// Most differences found by reading a whole table again that are relayed. A VM that lacks more asks for a copy.
const MAX_RELAYED_CHANGES: usize = 64;

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

impl TableUpdate {
    /// An update without changes: the sender knows the table up to this position.
    pub fn empty(table: Table, next: LogPosition) -> Self {
        Self {
            table,
            from: next,
            next,
            pieces: Vec::new(),
            whole: true,
        }
    }

    /// Splits the update into parts that fit into datagrams, each complete in its own range.
    ///
    /// A VM that receives all parts knows the whole range. If only the first changes were sent, every VM would have to
    /// ask for the rest whenever more than a few upstreams change between two reads.
    pub fn into_parts(self) -> Vec<TablePart> {
        TableReading::from(self).into_parts()
    }
}

/// A part of a reading, with the end of the whole.
///
/// Without the end, a VM that receives the first part takes its data for current and does not notice that the others
/// were lost.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TablePart {
    /// The changes of the part.
    pub update: TableUpdate,
    /// Position up to which the reader knows the table.
    pub end: LogPosition,
}

impl From<TableUpdate> for TablePart {
    fn from(update: TableUpdate) -> Self {
        let end = update.next;
        Self { update, end }
    }
}

/// What a reader has read, and when.
#[derive(Debug, Clone)]
pub struct TableReading {
    update: TableUpdate,
    reading: Reading,
}

impl TableReading {
    /// Creates a reading whose call to the store began at a time and showed this end of the log.
    pub fn new(update: TableUpdate, reading: Reading) -> Self {
        Self { update, reading }
    }

    /// When the call to the store began.
    pub fn at(&self) -> Moment {
        self.reading.at
    }

    /// Splits the reading into parts that fit into datagrams.
    pub fn into_parts(self) -> Vec<TablePart> {
        let end = self.reading.end;
        let mut rest = self.update;
        let mut parts = Vec::new();
        while rest.pieces.len() > MAX_CHANGES {
            let pieces = rest.pieces.split_off(MAX_CHANGES);
            // Changes found by reading the whole table lie before the range, in any order.
            let boundary = pieces[0].0.max(rest.from);
            let update = TableUpdate {
                table: rest.table,
                from: rest.from,
                next: boundary,
                pieces: std::mem::replace(&mut rest.pieces, pieces),
                whole: true,
            };
            rest.from = boundary;
            parts.push(TablePart { update, end });
        }
        parts.push(TablePart { update: rest, end });
        parts
    }
}

impl From<TableUpdate> for TableReading {
    fn from(update: TableUpdate) -> Self {
        let reading = Reading {
            end: update.next,
            at: clock::now(),
        };
        Self { update, reading }
    }
}

/// How far this VM has read a table.
#[derive(Debug, Default)]
pub struct TableState {
    position: Mutex<Position>,
    reports: Mutex<Reports>,
    journal: Mutex<Journal>,
    /// Parts of readings that arrived before the parts that they follow.
    held: Mutex<Vec<(TableUpdate, Reading)>>,
    /// The VM that sent the last update that was missed or incomplete.
    sender: Mutex<Option<SocketAddr>>,
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

    /// Locks the journal of the latest changes; the guard must not be held across an await point.
    pub fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The VM that sent the last update that was missed or incomplete.
    pub fn sender(&self) -> Option<SocketAddr> {
        *self.sender.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets the sender of the last update, because it does not answer.
    pub fn forget_sender(&self) {
        let mut sender = self.sender.lock().unwrap_or_else(PoisonError::into_inner);
        *sender = None;
    }

    /// Keeps a part that arrived before the parts that it follows.
    fn hold(&self, update: TableUpdate, reading: Reading) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if held.len() < MAX_HELD_PARTS {
            held.push((update, reading));
        }
    }

    /// Takes a held part that follows a position, and drops those that are known by then.
    fn take_held(&self, next: LogPosition) -> Option<(TableUpdate, Reading)> {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.retain(|(update, reading)| update.next > next || reading.end > next);
        let found = held.iter().position(|(update, _)| update.from <= next)?;
        Some(held.swap_remove(found))
    }

    fn set_sender(&self, addr: SocketAddr) {
        let mut sender = self.sender.lock().unwrap_or_else(PoisonError::into_inner);
        *sender = Some(addr);
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
            (_, Some(change)) => update.pieces.push((at, change)),
            // A document is too large for a datagram, so the others ask for it.
            (_, None) => update.whole = false,
        }
    }
    core.table_progress(table).journal().append(&update);
    update
}

fn to_change(record: &Record) -> Option<TableChange> {
    match record {
        Record::Upstream(id, entry) => Some(TableChange::Upstream(id.clone(), entry.clone())),
        Record::Removed(id) => Some(TableChange::Removed(id.clone())),
        Record::Weights(weights) => Some(TableChange::Weights(weights.clone())),
        Record::Unreadable(record) => record.key.parse().map(TableChange::Withdrawn).ok(),
        Record::Document(_)
        | Record::Vm(..)
        | Record::VmRemoved(_)
        | Record::Quarantine(_)
        | Record::Versions(..) => None,
    }
}

/// Applies a part of a reading that a peer has just made and sent.
pub fn receive_update(core: &Core, part: impl Into<TablePart>, from: SocketAddr) {
    receive_part(core, part.into(), clock::now(), from);
}

/// Applies a part of a reading that a peer made at a time.
pub fn receive_part(core: &Core, part: TablePart, at: Moment, from: SocketAddr) {
    let known = core.table_progress(part.update.table);
    let table = part.update.table;
    let reading = Reading { end: part.end, at };
    match apply_part(core, part.update.clone(), reading) {
        UpdateOutcome::Contiguous => {}
        UpdateOutcome::Outdated => return,
        UpdateOutcome::Partial => known.set_sender(from),
        UpdateOutcome::Missed => {
            if part.update.whole {
                known.hold(part.update, reading);
            }
            known.set_sender(from);
        }
    }
    apply_held_parts(core, table);
    if known.position().has_missed() {
        known.missed.notify_one();
    } else {
        core.fleet.lock().record_peer_store_report(clock::now());
    }
}

/// Applies the held parts that now follow what is known.
pub(super) fn apply_held_parts(core: &Core, table: Table) {
    let known = core.table_progress(table);
    loop {
        // The lock must not be held while a part is applied.
        let next = known.position().next();
        let Some((update, reading)) = next.and_then(|next| known.take_held(next)) else {
            return;
        };
        apply_part(core, update, reading);
    }
}

/// Applies what another VM has just read.
pub fn apply_update(core: &Core, update: TableUpdate) -> UpdateOutcome {
    let now = clock::now();
    let outcome = apply_update_of(core, update, now);
    if outcome == UpdateOutcome::Contiguous {
        core.fleet.lock().record_peer_store_report(now);
    }
    outcome
}

/// Applies what another VM has read, and knew to be current at a given time.
pub fn apply_update_of(core: &Core, update: TableUpdate, at: Moment) -> UpdateOutcome {
    let end = update.next;
    apply_part(core, update, Reading { end, at })
}

fn apply_part(core: &Core, update: TableUpdate, reading: Reading) -> UpdateOutcome {
    let known = core.table_progress(update.table);
    let span = Span {
        from: update.from,
        next: update.next,
    };
    // The changes are valid in any case, and their positions show whether they were applied before. Only contiguous
    // updates up to the end of a reading show that nothing else changed.
    let outcome = known
        .position()
        .apply_part(span, update.whole, reading, clock::now());
    if outcome == UpdateOutcome::Outdated {
        return outcome;
    }
    let is_contiguous = outcome != UpdateOutcome::Missed;
    if is_contiguous {
        known.journal().append(&update);
    }
    for (at, change) in update.pieces {
        apply_change(core, at, change);
    }
    if outcome == UpdateOutcome::Contiguous {
        record_as_of(core, update.table, known.position().last_update());
    }
    outcome
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

/// Reads a table from the store, for this VM and its peers; returns whether the store has more.
pub(super) async fn read_table(
    core: &Core,
    table: Table,
    wait: Duration,
    restored: &mut Option<Moment>,
) -> Result<bool, StoreError> {
    let known = core.table_progress(table);
    let (next, complete) = {
        let mut position = known.position();
        if super::rank(core, table) == 0 {
            position.renew(clock::now());
        }
        (position.next(), position.complete_until())
    };
    match next {
        None => {
            read_whole_table(core, table, complete, restored).await?;
            Ok(false)
        }
        Some(from) => read_changes(core, table, from, wait).await,
    }
}

async fn read_whole_table(
    core: &Core,
    table: Table,
    complete: Option<Moment>,
    restored: &mut Option<Moment>,
) -> Result<(), StoreError> {
    let started = clock::now();
    let batch = core.store.snapshot(table).await?;
    let at = batch.next;
    let records = batch.records.len();
    let replaced = replace_table(core, table, batch, complete);
    record_as_of(core, table, started);
    if let Some(since) = restored.take() {
        info!(event = events::REBUILT, table = ?table, at = %at, records, missing = replaced.missing, took_ms = clock::millis(clock::now().since(since)), "table was read again from the restored store");
    }
    let known = core.table_progress(table);
    known.journal().restart(at);
    {
        let mut position = known.position();
        position.record_read(at, started);
        position.record_call(started);
    }
    let mut update = TableUpdate::empty(table, at);
    if replaced.changed.len() <= MAX_RELAYED_CHANGES {
        update.pieces = replaced.relayed(core);
    }
    let reading = Reading {
        end: at,
        at: started,
    };
    core.peers
        .outbox
        .put_reading(TableReading::new(update, reading));
    Ok(())
}

/// Records up to when the fleet list is known.
pub(super) fn record_as_of(core: &Core, table: Table, as_of: Moment) {
    if table == Table::Fleet {
        core.fleet.lock().record_list(as_of);
    }
}

async fn read_changes(
    core: &Core,
    table: Table,
    from: LogPosition,
    wait: Duration,
) -> Result<bool, StoreError> {
    let started = clock::now();
    let batch = core.store.changes(table, from, wait).await?;
    let has_more = batch.next < batch.end;
    // The answer to a call that waits for a change shows the log's end at the time of the change.
    let at = if wait.is_zero() {
        started
    } else {
        clock::now()
    };
    let reading = Reading { end: batch.end, at };
    let update = apply_batch(core, table, from, batch);
    if !has_more {
        record_as_of(core, table, started);
    }
    {
        let known = core.table_progress(table);
        let mut position = known.position();
        if has_more {
            position.record_partial_read(update.next);
        } else {
            position.record_read(update.next, at);
        }
        position.record_call(started);
    }
    core.peers
        .outbox
        .put_reading(TableReading::new(update, reading));
    Ok(has_more)
}
