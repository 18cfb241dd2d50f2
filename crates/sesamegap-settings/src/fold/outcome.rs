//! Results of applying a record.

use crate::findings::Findings;
use crate::tree::TreePath;
use serde::{Deserialize, Serialize};
use sesamegap_wire::Offset;
use smol_str::SmolStr;
use std::fmt;

/// Result of applying a record to the fold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
#[non_exhaustive]
pub enum Outcome {
    /// The change is now in effect.
    Accepted {
        /// The revision that the change created.
        revision: Offset,
    },
    /// Another change modified an overlapping path after this one's base.
    Conflict {
        /// Revision of the conflicting change.
        ///
        /// The oldest base that can still be checked, if this change's base is older.
        winner: Offset,
        /// The path in conflict.
        path: TreePath,
        /// Who published the conflicting change; `None` if it is no longer in the history.
        by: Option<SmolStr>,
    },
    /// The change, or the tree with it applied, is invalid.
    Invalid(Findings),
    /// Another record of a change that was already evaluated.
    Duplicate {
        /// Offset of the first record of the change.
        of: Offset,
    },
    /// A snapshot. It has no effect on a process that has applied all records before it.
    Snapshot,
    /// The record's format is unknown, or its content cannot be decoded.
    Unreadable,
    /// The record is before the fold's position and was ignored.
    Passed,
    /// Records before this one are missing; it was not applied.
    Gap {
        /// The offset to read first.
        next: Offset,
    },
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { revision } => write!(f, "accepted as revision {revision}"),
            Self::Conflict { winner, path, by } => {
                write!(f, "conflict at {path}: ")?;
                match by {
                    Some(by) => write!(f, "`{by}` published revision {winner} there first")?,
                    None => write!(f, "its base is older than revision {winner}")?,
                }
                f.write_str("; nothing of this change took effect")
            }
            Self::Invalid(findings) => write!(f, "refused, nothing took effect:\n{findings}"),
            Self::Duplicate { of } => write!(f, "the change at offset {of} again"),
            Self::Snapshot => f.write_str("snapshot"),
            Self::Unreadable => f.write_str("unreadable"),
            Self::Passed => f.write_str("folded before"),
            Self::Gap { next } => write!(f, "records are missing from offset {next} on"),
        }
    }
}
