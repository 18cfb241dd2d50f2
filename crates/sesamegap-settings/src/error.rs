//! The one error of this crate.

use crate::findings::Findings;
use std::error::Error;
use std::fmt;

/// Why settings could not be read, encoded or adopted.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum SettingsError {
    /// Larger than allowed; what, and by which bound.
    Oversized(&'static str, usize),
    /// Not in the format of its kind.
    Malformed(String),
    /// The state of a snapshot does not match the snapshot's hash.
    Mismatch,
    /// Well-formed, but with findings.
    Invalid(Findings),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Oversized(what, most) => write!(f, "{what} too large: allowed are {most}"),
            Self::Malformed(why) => write!(f, "not readable: {why}"),
            Self::Mismatch => f.write_str("the snapshot's state does not match its hash"),
            Self::Invalid(findings) => write!(f, "settings with findings:\n{findings}"),
        }
    }
}

impl Error for SettingsError {}
