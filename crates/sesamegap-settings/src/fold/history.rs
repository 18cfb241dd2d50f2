//! Bounded history of past changes, used for deduplication and conflict detection.
//!
//! - The last [`MAX_HISTORY`] changes with the details that operators query.
//! - The ids of the last [`MAX_CHANGE_IDS`] changes with their verdict, to detect duplicate
//!   appends. A duplicate that arrives after its id was evicted is evaluated as a new change: if
//!   the first record was accepted, the duplicate conflicts with it, so it still takes effect only
//!   once.
//! - The revision at which each path was last modified, for at most [`MAX_TRACKED_PATHS`] paths.
//!   Above that bound the older half is evicted and the *horizon* rises to the newest evicted
//!   revision. A change whose base is before the horizon is rejected as a conflict, because
//!   conflicts can no longer be ruled out. A conflict therefore never turns into an acceptance.

use super::Outcome;
use crate::change::{Change, ChangeId};
use crate::findings::Findings;
use crate::tree::TreePath;
use serde::{Deserialize, Serialize};
use sesamegap_wire::Offset;
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};

/// Changes kept with their details, for operators to query.
pub const MAX_HISTORY: usize = 256;

/// Change ids kept: a day and a half of changes at 9,700 a day. Retries arrive within minutes.
pub const MAX_CHANGE_IDS: usize = 16_384;

/// Paths kept with their last revision: several days of changes at 9,700 a day.
pub const MAX_TRACKED_PATHS: usize = 65_536;

/// Maximum number of paths, and of findings, kept in the history for one change.
const MAX_DETAILS: usize = 16;

/// A change that was evaluated, accepted or not.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The change.
    pub id: ChangeId,
    /// Offset of its record in the log.
    pub offset: Offset,
    /// Log time of the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Revision on which its author based it.
    pub base: Offset,
    /// Who published it.
    pub by: SmolStr,
    /// The author's note on why the change was made.
    pub note: String,
    /// The first paths it modified.
    pub paths: Vec<TreePath>,
    /// Total number of its edits.
    pub edits: usize,
    /// Result of evaluating it.
    pub outcome: Outcome,
}

/// An outcome without its details.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
enum Verdict {
    Accepted,
    Conflict(Offset),
    Invalid,
}

/// The id and verdict of a change that was evaluated.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct JudgedId {
    id: ChangeId,
    offset: Offset,
    verdict: Verdict,
}

/// The fold's record of past changes, stored in snapshots next to the tree.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ChangeHistory {
    history: VecDeque<HistoryEntry>,
    order: VecDeque<JudgedId>,
    touched: BTreeMap<TreePath, Offset>,
    horizon: Offset,
    #[serde(skip)]
    ids: BTreeMap<ChangeId, (Offset, Verdict)>,
}

impl ChangeHistory {
    /// Rebuilds the id index, which snapshots omit; `None` if a bound is exceeded.
    pub(crate) fn with_id_index(mut self) -> Option<Self> {
        let fits = self.history.len() <= MAX_HISTORY
            && self.order.len() <= MAX_CHANGE_IDS
            && self.touched.len() <= MAX_TRACKED_PATHS;
        let entry = |seen: &JudgedId| (seen.id, (seen.offset, seen.verdict));
        self.ids = self.order.iter().map(entry).collect();
        fits.then_some(self)
    }

    /// Offset of the first record with this change id.
    pub(crate) fn seen(&self, id: &ChangeId) -> Option<Offset> {
        self.ids.get(id).map(|(offset, _)| *offset)
    }

    /// Outcome of a change; without its findings once it has left the history.
    pub(crate) fn outcome(&self, id: &ChangeId) -> Option<Outcome> {
        let (offset, verdict) = self.ids.get(id)?;
        if let Some(entry) = self.entry(*offset) {
            return Some(entry.outcome.clone());
        }
        Some(match verdict {
            Verdict::Accepted => Outcome::Accepted {
                revision: offset.next(),
            },
            Verdict::Conflict(winner) => Outcome::Conflict {
                winner: *winner,
                path: evicted_path(),
                by: None,
            },
            Verdict::Invalid => {
                let mut findings = Findings::default();
                findings.add(
                    "change",
                    "its findings are no longer kept",
                    "to check it again",
                );
                Outcome::Invalid(findings)
            }
        })
    }

    pub(crate) fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.history.iter()
    }

    fn entry(&self, offset: Offset) -> Option<&HistoryEntry> {
        let at = self
            .history
            .binary_search_by_key(&offset, |entry| entry.offset)
            .ok()?;
        self.history.get(at)
    }

    /// Checks the change's base; returns an outcome if it is stale or invalid.
    pub(crate) fn conflict(&self, change: &Change, offset: Offset) -> Option<Outcome> {
        let first = &change.edits.first()?.path;
        if change.base < self.horizon {
            return Some(Outcome::Conflict {
                winner: self.horizon,
                path: first.clone(),
                by: None,
            });
        }
        if change.base > offset {
            // A base ahead of the log is fabricated or belongs to another log. Trusting it would
            // hide every conflict.
            let mut findings = Findings::default();
            let wrong = format!("revision {} is not there yet", change.base);
            findings.add("base", wrong, format!("a revision up to {offset}"));
            return Some(Outcome::Invalid(findings));
        }
        let newer = |edit: &crate::change::Edit| self.newest_overlap(&edit.path);
        let all = change.edits.iter().filter_map(newer);
        let (path, winner) = all.max_by_key(|(_, revision)| *revision)?;
        (winner > change.base).then(|| self.conflict_with(path, winner))
    }

    fn conflict_with(&self, path: &TreePath, winner: Offset) -> Outcome {
        let entry = winner
            .0
            .checked_sub(1)
            .and_then(|at| self.entry(Offset(at)));
        Outcome::Conflict {
            winner,
            path: path.clone(),
            by: entry.map(|entry| entry.by.clone()),
        }
    }

    /// The most recently modified path among a path, its ancestors and its descendants.
    fn newest_overlap(&self, path: &TreePath) -> Option<(&TreePath, Offset)> {
        let text = path.as_str();
        let ends = text.match_indices('/').map(|(at, _)| at);
        let above = ends.filter_map(|at| text[..at].parse::<TreePath>().ok());
        let above = above.filter_map(|path| self.touched.get_key_value(&path));
        let same = self.touched.get_key_value(path);
        let prefix = path.before_children();
        let below = self.touched.range(&prefix..);
        let below = below.take_while(|(other, _)| other.as_str().starts_with(prefix.as_str()));
        let all = above
            .chain(same)
            .chain(below)
            .map(|(path, revision)| (path, *revision));
        all.max_by_key(|(_, revision)| *revision)
    }

    /// Records an evaluated change and its outcome.
    pub(crate) fn record(
        &mut self,
        offset: Offset,
        time_ms: u64,
        change: &Change,
        outcome: &Outcome,
    ) {
        let verdict = match outcome {
            Outcome::Accepted { .. } => Verdict::Accepted,
            Outcome::Conflict { winner, .. } => Verdict::Conflict(*winner),
            _ => Verdict::Invalid,
        };
        if verdict == Verdict::Accepted {
            let revision = offset.next();
            let paths = change
                .edits
                .iter()
                .map(|edit| (edit.path.clone(), revision));
            self.touched.extend(paths);
            self.evict_paths();
        }
        self.record_id(JudgedId {
            id: change.id,
            offset,
            verdict,
        });
        let paths = change
            .edits
            .iter()
            .take(MAX_DETAILS)
            .map(|edit| edit.path.clone());
        self.history.push_back(HistoryEntry {
            id: change.id,
            offset,
            time_ms,
            base: change.base,
            by: change.by.clone(),
            note: change.note.clone(),
            paths: paths.collect(),
            edits: change.edits.len(),
            outcome: shortened(outcome),
        });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn record_id(&mut self, seen: JudgedId) {
        self.ids.insert(seen.id, (seen.offset, seen.verdict));
        self.order.push_back(seen);
        if self.order.len() > MAX_CHANGE_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest.id);
        }
    }

    /// Evicts the older half of the modified paths when there are more than [`MAX_TRACKED_PATHS`].
    fn evict_paths(&mut self) {
        if self.touched.len() <= MAX_TRACKED_PATHS {
            return;
        }
        let mut revisions: Vec<Offset> = self.touched.values().copied().collect();
        revisions.sort_unstable();
        let horizon = revisions[revisions.len() / 2];
        self.touched.retain(|_, revision| *revision > horizon);
        self.horizon = horizon;
    }
}

fn evicted_path() -> TreePath {
    "no-longer-kept".parse().expect("a constant path is valid")
}

fn shortened(outcome: &Outcome) -> Outcome {
    match outcome {
        Outcome::Invalid(findings) => Outcome::Invalid(findings.shortened(MAX_DETAILS)),
        other => other.clone(),
    }
}
