//! What the fold remembers of past changes, within bounds.
//!
//! - The last [`HISTORY`] changes with all that operators ask about them.
//! - The ids of the last [`IDS`] changes with their verdict, to recognise a repeated append. One
//!   that comes even later is judged anew: if the first was accepted, it conflicts with itself, so
//!   it still takes effect only once.
//! - The revision at which each path was last touched, for at most [`TOUCHED`] paths. When there
//!   are more, the older half is dropped and the *horizon* rises to the newest revision dropped;
//!   a change with a base before the horizon is refused as a conflict, for it can no longer be
//!   judged. So a verdict of conflict never turns into an acceptance.

use super::Outcome;
use crate::change::{Change, ChangeId};
use crate::findings::Findings;
use crate::tree::TreePath;
use serde::{Deserialize, Serialize};
use sesamegap_wire::Offset;
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};

/// Changes kept with their details; what an operator looks back on.
pub const HISTORY: usize = 256;

/// Ids kept, the changes of a day and a half at 9,700 a day; a retry comes within minutes.
pub const IDS: usize = 16_384;

/// Paths kept with their revision, those of several days at 9,700 changes a day.
pub const TOUCHED: usize = 65_536;

/// Paths and findings of one change kept in the history.
const SHOWN: usize = 16;

/// A change that was judged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The change.
    pub id: ChangeId,
    /// Where it stands in the log.
    pub offset: Offset,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Revision its author had seen.
    pub base: Offset,
    /// Who published it.
    pub by: SmolStr,
    /// Why.
    pub note: String,
    /// The first paths it touched.
    pub paths: Vec<TreePath>,
    /// How many edits it has.
    pub edits: usize,
    /// What became of it.
    pub outcome: Outcome,
}

/// A verdict without its details.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
enum Verdict {
    Accepted,
    Conflict(Offset),
    Invalid,
}

/// A change id that was seen.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Seen {
    id: ChangeId,
    offset: Offset,
    verdict: Verdict,
}

/// What the fold remembers; the part of its state beside the tree.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Memory {
    history: VecDeque<Entry>,
    order: VecDeque<Seen>,
    touched: BTreeMap<TreePath, Offset>,
    horizon: Offset,
    #[serde(skip)]
    ids: BTreeMap<ChangeId, (Offset, Verdict)>,
}

impl Memory {
    /// Rebuilds what a snapshot leaves out, or refuses more than the bounds allow.
    pub(crate) fn restored(mut self) -> Option<Self> {
        let fits = self.history.len() <= HISTORY
            && self.order.len() <= IDS
            && self.touched.len() <= TOUCHED;
        let entry = |seen: &Seen| (seen.id, (seen.offset, seen.verdict));
        self.ids = self.order.iter().map(entry).collect();
        fits.then_some(self)
    }

    /// Offset of the first record of a change.
    pub(crate) fn seen(&self, id: &ChangeId) -> Option<Offset> {
        self.ids.get(id).map(|(offset, _)| *offset)
    }

    /// What became of a change; without findings once it left the history.
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
                path: forgotten(),
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

    pub(crate) fn history(&self) -> impl Iterator<Item = &Entry> {
        self.history.iter()
    }

    fn entry(&self, offset: Offset) -> Option<&Entry> {
        let at = self
            .history
            .binary_search_by_key(&offset, |entry| entry.offset)
            .ok()?;
        self.history.get(at)
    }

    /// The change that touched one of these paths after the base, if any.
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
            // A base ahead of the log was made up or belongs to another log; to trust it would
            // hide every conflict.
            let mut findings = Findings::default();
            let wrong = format!("revision {} is not there yet", change.base);
            findings.add("base", wrong, format!("a revision up to {offset}"));
            return Some(Outcome::Invalid(findings));
        }
        let newer = |edit: &crate::change::Edit| self.newest(&edit.path);
        let all = change.edits.iter().filter_map(newer);
        let (path, winner) = all.max_by_key(|(_, revision)| *revision)?;
        (winner > change.base).then(|| self.lost(path, winner))
    }

    fn lost(&self, path: &TreePath, winner: Offset) -> Outcome {
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

    /// The newest touch of a path, of one above it or of one below it.
    fn newest(&self, path: &TreePath) -> Option<(&TreePath, Offset)> {
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

    /// Remembers a judged change.
    pub(crate) fn note(
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
            self.forget_paths();
        }
        self.remember(Seen {
            id: change.id,
            offset,
            verdict,
        });
        let paths = change
            .edits
            .iter()
            .take(SHOWN)
            .map(|edit| edit.path.clone());
        self.history.push_back(Entry {
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
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    fn remember(&mut self, seen: Seen) {
        self.ids.insert(seen.id, (seen.offset, seen.verdict));
        self.order.push_back(seen);
        if self.order.len() > IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest.id);
        }
    }

    /// Drops the older half of the touched paths when there are too many.
    fn forget_paths(&mut self) {
        if self.touched.len() <= TOUCHED {
            return;
        }
        let mut revisions: Vec<Offset> = self.touched.values().copied().collect();
        revisions.sort_unstable();
        let horizon = revisions[revisions.len() / 2];
        self.touched.retain(|_, revision| *revision > horizon);
        self.horizon = horizon;
    }
}

fn forgotten() -> TreePath {
    "no-longer-kept".parse().expect("a constant path is valid")
}

fn shortened(outcome: &Outcome) -> Outcome {
    match outcome {
        Outcome::Invalid(findings) => Outcome::Invalid(findings.shortened(SHOWN)),
        other => other.clone(),
    }
}
