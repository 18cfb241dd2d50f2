//! Deterministic fold of the settings log into the effective settings.
//!
//! Every process applies the records of the settings stream to a [`Fold`] in offset order. All
//! processes therefore accept the same changes without coordinating. A change is accepted if none
//! of its paths was modified after its base, each of its edits is valid on its own (even one that
//! a later edit of the same change replaces), and the tree is valid with all of them applied. Of
//! two concurrent changes to one path, the first in the log is accepted and the other's author is
//! told who published it. A decision depends only on record offsets and contents: not on a clock,
//! randomness or the process's own configuration.
//!
//! Positions only move forward. Records before [`Fold::next`] are ignored, and a snapshot that
//! covers no more than was already applied is not adopted. A reader whose next offset has expired
//! finds a snapshot, adopts it and continues from [`Fold::next`].

pub mod history;
pub mod outcome;
pub mod snapshot;

pub use history::{HistoryEntry, MAX_CHANGE_IDS, MAX_HISTORY, MAX_TRACKED_PATHS};
pub use outcome::Outcome;

use crate::catalogue::Catalogue;
use crate::catalogue::resolve::{GroupIndex, Items, StagedChange, add_affected, stage};
use crate::change::{Change, ChangeId, RecordKind, unframe};
use crate::findings::Findings;
use crate::tree::Tree;
use crate::tree::edit::{self, TreeEdit};
use history::ChangeHistory;
use sesamegap_wire::Offset;
use std::sync::Arc;

/// The effective settings at a log position.
///
/// Also holds the state needed to evaluate the next record.
#[derive(Debug, Clone, Default)]
pub struct Fold {
    next: Offset,
    tree: Tree,
    catalogue: Arc<Catalogue>,
    group_index: GroupIndex,
    history: ChangeHistory,
}

impl Fold {
    /// Applies one record of the settings stream.
    ///
    /// `time_ms` is the log's timestamp of the record; it is only stored in the history.
    pub fn apply(&mut self, offset: Offset, time_ms: u64, body: &[u8]) -> Outcome {
        if offset < self.next {
            return Outcome::Passed;
        }
        let kind = unframe(body).map(|(kind, _)| kind);
        if offset > self.next {
            let adopted = kind == Some(RecordKind::Snapshot) && self.adopt(body) == Ok(true);
            if adopted {
                return Outcome::Snapshot;
            }
            return Outcome::Gap { next: self.next };
        }
        self.next = offset.next();
        match kind {
            Some(RecordKind::Snapshot) => Outcome::Snapshot,
            Some(RecordKind::Change) => match Change::decode(body) {
                Ok(change) => self.evaluate(offset, time_ms, &change),
                Err(_) => Outcome::Unreadable,
            },
            None => Outcome::Unreadable,
        }
    }

    /// Offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Offset following that of the last accepted change.
    pub fn revision(&self) -> Offset {
        self.catalogue.revision
    }

    /// The effective settings.
    pub fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.catalogue)
    }

    /// The tree as written by operators, with inheritance unresolved.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Outcome of a change; `None` once its id has been evicted.
    pub fn outcome(&self, id: &ChangeId) -> Option<Outcome> {
        self.history.outcome(id)
    }

    /// The last evaluated changes, oldest first, at most [`MAX_HISTORY`].
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.history.history()
    }

    /// Evaluates a change as if it were the next record, without applying it.
    ///
    /// A router calls this before it appends, so that an invalid change costs no log record. The
    /// outcome at the record's actual offset is still the one that counts.
    pub fn dry_run(&mut self, change: &Change) -> Outcome {
        if let Some(offset) = self.history.seen(&change.id) {
            return Outcome::Duplicate { of: offset };
        }
        if let Some(conflict) = self.history.conflict(change, self.next) {
            return conflict;
        }
        let (undo, staged) = self.stage(change);
        self.undo(undo);
        match staged {
            Ok(_) => Outcome::Accepted {
                revision: self.next.next(),
            },
            Err(findings) => Outcome::Invalid(findings),
        }
    }

    fn evaluate(&mut self, offset: Offset, time_ms: u64, change: &Change) -> Outcome {
        if let Some(first) = self.history.seen(&change.id) {
            return Outcome::Duplicate { of: first };
        }
        let outcome = match self.history.conflict(change, offset) {
            Some(conflict) => conflict,
            None => self.apply_change(offset, change),
        };
        self.history.record(offset, time_ms, change, &outcome);
        outcome
    }

    fn apply_change(&mut self, offset: Offset, change: &Change) -> Outcome {
        let (undo, staged) = self.stage(change);
        match staged {
            Ok(staged) => {
                let revision = offset.next();
                let catalogue = Arc::make_mut(&mut self.catalogue);
                staged.commit(catalogue, &mut self.group_index);
                catalogue.revision = revision;
                Outcome::Accepted { revision }
            }
            Err(findings) => {
                self.undo(undo);
                Outcome::Invalid(findings)
            }
        }
    }

    /// Applies a change's edits to the tree and validates it. Also returns the undo steps.
    fn stage(&mut self, change: &Change) -> (Vec<TreeEdit>, Result<StagedChange, Findings>) {
        let mut findings = Findings::default();
        let read = |edit| Some((edit, edit::step(edit, &mut findings)?));
        let steps: Vec<_> = change.edits.iter().filter_map(read).collect();
        if !findings.is_empty() {
            return (Vec::new(), Err(findings));
        }
        let targets: Vec<_> = steps.iter().map(|(_, step)| step.target.clone()).collect();
        let items = |tree: &Tree| {
            let mut items = Items::new();
            for target in &targets {
                add_affected(tree, target, &mut items);
            }
            items
        };
        let before = items(&self.tree);
        let mut undo = Vec::new();
        for (edit, step) in steps {
            match self.tree.set(step) {
                Ok(back) => undo.push(back),
                Err((wrong, allowed)) => findings.add(edit.path.as_str(), wrong, allowed),
            }
        }
        let after = items(&self.tree);
        let staged = stage(
            &self.catalogue,
            &self.group_index,
            &self.tree,
            before,
            after,
            &mut findings,
        );
        if findings.is_empty() {
            (undo, Ok(staged))
        } else {
            (undo, Err(findings))
        }
    }

    fn undo(&mut self, undo: Vec<TreeEdit>) {
        for step in undo.into_iter().rev() {
            let back = self.tree.set(step);
            debug_assert!(back.is_ok(), "an undo step restores the previous value");
        }
    }
}
