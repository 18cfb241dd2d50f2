//! What became of a record.

use crate::findings::Findings;
use crate::tree::TreePath;
use serde::{Deserialize, Serialize};
use sesamegap_wire::Offset;
use smol_str::SmolStr;
use std::fmt;

/// What the fold made of a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
#[non_exhaustive]
pub enum Outcome {
    /// In force from now on.
    Accepted {
        /// The revision that it made.
        revision: Offset,
    },
    /// Another change touched the same place after this one's base.
    Conflict {
        /// Revision of the change that won; the oldest base still judged, if that is why.
        winner: Offset,
        /// The path that both touched.
        path: TreePath,
        /// Who published the winner, as far as history reaches.
        by: Option<SmolStr>,
    },
    /// The tree would not be valid with it.
    Invalid(Findings),
    /// The change at this offset, appended again.
    Duplicate {
        /// Offset of the first record of the change.
        of: Offset,
    },
    /// A snapshot; it changes nothing for a process that has read all before it.
    Snapshot,
    /// No record of a known format.
    Unreadable,
    /// Folded before.
    Passed,
    /// Records are missing before this one; nothing was taken in.
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
