//! The latest changes of a table, for peers that missed some of them.

use super::updates::{TableChange, TableUpdate};
use crate::ports::Table;
use sesamegap_wire::LogPosition;
use std::collections::VecDeque;

/// Most changes that are kept, of about 200 bytes each: a minute of a release that replaces 16 upstreams a second.
const MAX_CHANGES: usize = 4_096;

/// All changes of a table between two positions of its log.
#[derive(Debug, Default)]
pub struct Journal {
    start: LogPosition,
    end: LogPosition,
    changes: VecDeque<(LogPosition, TableChange)>,
}

impl Journal {
    /// Forgets all changes; the journal continues at a position up to which the whole table was read.
    pub fn restart(&mut self, at: LogPosition) {
        self.changes.clear();
        self.start = at;
        self.end = at;
    }

    /// Appends an update that names all changes in its range, as far as it is new.
    pub fn append(&mut self, update: &TableUpdate) {
        if update.from > self.end {
            self.restart(update.from);
        }
        let end = self.end;
        let new = update.pieces.iter().filter(|(at, _)| *at >= end);
        self.changes.extend(new.cloned());
        self.end = end.max(update.next);
        while self.changes.len() > MAX_CHANGES {
            if let Some((at, _)) = self.changes.pop_front() {
                self.start = at.next();
            }
        }
    }

    /// The changes from a position on, or `None` if not all of them are kept.
    pub fn since(&self, table: Table, from: LogPosition) -> Option<TableUpdate> {
        if from < self.start || from > self.end || from.timeline != self.end.timeline {
            return None;
        }
        let changes = self.changes.iter().filter(|(at, _)| *at >= from);
        Some(TableUpdate {
            table,
            from,
            next: self.end,
            pieces: changes.cloned().collect(),
            whole: true,
        })
    }
}
