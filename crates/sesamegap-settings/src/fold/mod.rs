//! The fold of changes into the settings in force.
//!
//! Every process feeds the records of the settings stream to a [`Fold`] in order of offset. The
//! same pure function thereby decides everywhere, without a word between processes, which changes
//! are accepted: a change wins if nobody touched one of its paths after its base, and takes effect
//! only if each of its edits is valid in itself, even one that a later edit of the same change
//! replaces, and the whole tree is valid with all of them. Racing operators so get one winner, and
//! the other learns who won. Nothing but record offsets and contents goes into a decision: no
//! clock, no randomness, no setting of the process.
//!
//! Positions only move forward. A record before [`Fold::next`] is not looked at again, and a
//! snapshot that covers no more than is already folded is not adopted. A reader that finds its
//! next offset expired looks for a snapshot and reads on from [`Fold::next`].

pub mod memory;
pub mod outcome;
pub mod snapshot;

pub use memory::{Entry, HISTORY, IDS, TOUCHED};
pub use outcome::Outcome;

use crate::catalogue::Catalogue;
use crate::catalogue::resolve::{Homes, Items, Staged, stage, touched};
use crate::change::{Change, ChangeId, RecordKind, unframe};
use crate::findings::Findings;
use crate::tree::Tree;
use crate::tree::edit::{self, Step};
use memory::Memory;
use sesamegap_wire::Offset;
use std::sync::Arc;

/// The settings in force after some record, and what is needed to judge the next.
#[derive(Debug, Clone, Default)]
pub struct Fold {
    next: Offset,
    tree: Tree,
    catalogue: Arc<Catalogue>,
    homes: Homes,
    memory: Memory,
}

impl Fold {
    /// Takes in one record of the settings stream.
    ///
    /// `time_ms` is the log's time of the record; it is only noted in the history.
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
                Ok(change) => self.judge(offset, time_ms, &change),
                Err(_) => Outcome::Unreadable,
            },
            None => Outcome::Unreadable,
        }
    }

    /// Offset of the next record to take in.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Offset after that of the last change accepted.
    pub fn revision(&self) -> Offset {
        self.catalogue.revision
    }

    /// The settings in force.
    pub fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.catalogue)
    }

    /// The tree as operators wrote it.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// What became of a change, as far back as ids are remembered.
    pub fn outcome(&self, id: &ChangeId) -> Option<Outcome> {
        self.memory.outcome(id)
    }

    /// The last changes judged, oldest first, at most [`HISTORY`].
    pub fn history(&self) -> impl Iterator<Item = &Entry> {
        self.memory.history()
    }

    /// Judges a change as if it came next, without taking it in.
    ///
    /// A router asks this before it appends, so that a faulty change costs no record; what counts
    /// is still the judgement at the record's offset.
    pub fn rehearse(&mut self, change: &Change) -> Outcome {
        if let Some(offset) = self.memory.seen(&change.id) {
            return Outcome::Duplicate { of: offset };
        }
        if let Some(conflict) = self.memory.conflict(change, self.next) {
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

    fn judge(&mut self, offset: Offset, time_ms: u64, change: &Change) -> Outcome {
        if let Some(first) = self.memory.seen(&change.id) {
            return Outcome::Duplicate { of: first };
        }
        let outcome = match self.memory.conflict(change, offset) {
            Some(conflict) => conflict,
            None => self.attempt(offset, change),
        };
        self.memory.note(offset, time_ms, change, &outcome);
        outcome
    }

    fn attempt(&mut self, offset: Offset, change: &Change) -> Outcome {
        let (undo, staged) = self.stage(change);
        match staged {
            Ok(staged) => {
                let revision = offset.next();
                let catalogue = Arc::make_mut(&mut self.catalogue);
                staged.commit(catalogue, &mut self.homes);
                catalogue.revision = revision;
                Outcome::Accepted { revision }
            }
            Err(findings) => {
                self.undo(undo);
                Outcome::Invalid(findings)
            }
        }
    }

    /// Applies a change's edits to the tree and checks the result; the steps back come with it.
    fn stage(&mut self, change: &Change) -> (Vec<Step>, Result<Staged, Findings>) {
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
                touched(tree, target, &mut items);
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
            &self.homes,
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

    fn undo(&mut self, undo: Vec<Step>) {
        for step in undo.into_iter().rev() {
            let back = self.tree.set(step);
            debug_assert!(back.is_ok(), "a step back leads to what stood there");
        }
    }
}
