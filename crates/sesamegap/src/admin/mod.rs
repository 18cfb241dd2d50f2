//! What operators and routers say to each other over HTTP.
//!
//! The bodies of `/admin/…` as JSON, and pure functions that make the answers from a [`Fold`], so
//! that a router's handlers only move bytes. `sesamegap-ctl` reads the same types.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sesamegap_settings::change::MAX_EDITS;
use sesamegap_settings::fold::HistoryEntry;
use sesamegap_settings::{Change, ChangeId, Edit, Findings, Fold, Outcome, TreePath};
use sesamegap_wire::Offset;
use smol_str::{SmolStr, ToSmolStr};

/// Body of `POST /admin/changes`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Identifies the change; the same id makes a repeated request the same change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<ChangeId>,
    /// Revision its author had seen.
    pub base: Offset,
    /// Who publishes it.
    pub by: SmolStr,
    /// Why.
    #[serde(default)]
    pub note: String,
    /// What it sets and removes.
    pub edits: Vec<RawEdit>,
}

/// One edit as sent, before its path is checked, so that all paths can be reported at once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RawEdit {
    /// Where.
    pub path: String,
    /// The new value; `null` removes what stands there.
    #[serde(default)]
    pub value: Option<Value>,
}

impl From<Edit> for RawEdit {
    fn from(edit: Edit) -> Self {
        Self {
            path: edit.path.to_string(),
            value: edit.value,
        }
    }
}

impl ChangeRequest {
    /// The change asked for, under its own id or else the given one.
    ///
    /// # Errors
    /// With a finding for each path that cannot be one, or if a bound is exceeded.
    pub fn into_change(self, id: ChangeId) -> Result<Change, Findings> {
        let mut findings = Findings::default();
        if self.edits.len() > MAX_EDITS {
            let wrong = format!("{} edits", self.edits.len());
            findings.add("edits", wrong, format!("1 to {MAX_EDITS}"));
            return Err(findings);
        }
        let mut read = |edit: RawEdit| match edit.path.parse::<TreePath>() {
            Ok(path) => Some(Edit {
                path,
                value: edit.value,
            }),
            Err(error) => {
                findings.add(&edit.path, "not a path", error.allowed());
                None
            }
        };
        let edits = self.edits.into_iter().filter_map(&mut read).collect();
        let change = Change {
            id: self.id.unwrap_or(id),
            base: self.base,
            by: self.by,
            note: self.note,
            edits,
        };
        if findings.is_empty()
            && let Err(error) = change.encode()
        {
            findings.add("change", error.to_string(), "a change within its bounds");
        }
        if findings.is_empty() {
            Ok(change)
        } else {
            Err(findings)
        }
    }
}

/// Answer to `POST /admin/changes`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ChangeAnswer {
    /// In force; status 200.
    Accepted {
        /// The change.
        id: ChangeId,
        /// The revision that it made.
        revision: Offset,
    },
    /// Another change was first; status 409, nothing took effect.
    Conflict {
        /// The change.
        id: ChangeId,
        /// Revision of the change that won.
        winner: Offset,
        /// The path that both touched.
        path: SmolStr,
        /// Who published the winner, if still known.
        by: Option<SmolStr>,
        /// All of it in a sentence.
        message: String,
    },
    /// Not valid; status 422, nothing took effect.
    Invalid {
        /// The change.
        id: ChangeId,
        /// What is wrong.
        findings: Findings,
    },
    /// It may or may not have taken effect; status 503. To repeat it with the same id is safe.
    Unknown {
        /// The change.
        id: ChangeId,
        /// Why it is not known.
        message: String,
    },
    /// The log was not reached and nothing took effect; status 503.
    Unavailable {
        /// The change.
        id: ChangeId,
        /// Why.
        message: String,
    },
}

impl ChangeAnswer {
    /// The HTTP status that goes with it.
    pub fn status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Conflict { .. } => 409,
            Self::Invalid { .. } => 422,
            Self::Unknown { .. } | Self::Unavailable { .. } => 503,
        }
    }
}

/// The answer about a change that the fold has judged; `None` while it has not.
pub fn answer(fold: &Fold, id: ChangeId) -> Option<ChangeAnswer> {
    fold.outcome(&id)
        .and_then(|outcome| from_outcome(id, outcome))
}

/// The answer to a change that would be refused if it came next, before it is appended.
///
/// `None` means that it is worth a record in the log. So is one whose base lies ahead of this
/// process: its author read a router that is further, and only the log's order can judge it.
pub fn refusal(fold: &mut Fold, change: &Change) -> Option<ChangeAnswer> {
    if change.base > fold.next() {
        return None;
    }
    match fold.dry_run(change) {
        Outcome::Accepted { .. } => None,
        Outcome::Duplicate { .. } => answer(fold, change.id),
        refused => from_outcome(change.id, refused),
    }
}

fn from_outcome(id: ChangeId, outcome: Outcome) -> Option<ChangeAnswer> {
    let message = outcome.to_string();
    match outcome {
        Outcome::Accepted { revision } => Some(ChangeAnswer::Accepted { id, revision }),
        Outcome::Conflict { winner, path, by } => Some(ChangeAnswer::Conflict {
            id,
            winner,
            path: path.to_smolstr(),
            by,
            message,
        }),
        Outcome::Invalid(findings) => Some(ChangeAnswer::Invalid { id, findings }),
        _ => None,
    }
}

/// Answer to `GET /admin/tree`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TreeAnswer {
    /// The revision in force, the base of the next change.
    pub revision: Offset,
    /// The tree as operators wrote it.
    pub tree: Value,
}

/// The tree in force.
pub fn tree(fold: &Fold) -> TreeAnswer {
    TreeAnswer {
        revision: fold.revision(),
        tree: fold.tree().to_value(),
    }
}

/// Answer to `GET /admin/effective/{path}`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EffectiveAnswer {
    /// The revision in force.
    pub revision: Offset,
    /// The path asked for.
    pub path: SmolStr,
    /// Its values.
    pub values: Vec<EffectiveValue>,
}

/// One value in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EffectiveValue {
    /// The setting.
    pub name: SmolStr,
    /// Its value.
    pub value: Value,
    /// Path at which it was set, or `built-in`.
    pub origin: SmolStr,
}

/// The values in force at a path; `None` (status 404) if no object or defaults stand there.
pub fn effective(fold: &Fold, path: &TreePath) -> Option<EffectiveAnswer> {
    let values = fold.tree().effective(path)?;
    let values = values.into_iter().map(|value| EffectiveValue {
        name: value.field.into(),
        value: value.value,
        origin: value.origin.to_smolstr(),
    });
    Some(EffectiveAnswer {
        revision: fold.revision(),
        path: path.to_smolstr(),
        values: values.collect(),
    })
}

/// Answer to `GET /admin/history`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// The revision in force.
    pub revision: Offset,
    /// The last changes judged, newest first.
    pub changes: Vec<HistoryEntry>,
}

/// The last changes judged.
pub fn history(fold: &Fold) -> HistoryAnswer {
    let mut changes: Vec<HistoryEntry> = fold.history().cloned().collect();
    changes.reverse();
    HistoryAnswer {
        revision: fold.revision(),
        changes,
    }
}
