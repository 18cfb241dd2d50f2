//! The error type of this crate.

use crate::findings::Findings;
use std::error::Error;
use std::fmt;

/// Why settings could not be read, encoded or adopted.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum SettingsError {
    /// A size limit is exceeded; holds what is limited and the limit.
    Oversized(&'static str, usize),
    /// The input cannot be decoded.
    Malformed(String),
    /// A snapshot is inconsistent: its state does not match its hash or its header.
    SnapshotMismatch,
    /// Validation reported findings.
    Invalid(Findings),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Oversized(what, most) => write!(f, "{what} too large: allowed are {most}"),
            Self::Malformed(why) => write!(f, "not readable: {why}"),
            Self::SnapshotMismatch => f.write_str("the snapshot's state does not match its hash"),
            Self::Invalid(findings) => write!(f, "settings with findings:\n{findings}"),
        }
    }
}

impl Error for SettingsError {}
