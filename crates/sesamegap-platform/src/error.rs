//! The error type of this crate.

use sesamegap_wire::Offset;
use std::error::Error;
use std::fmt;

/// Why a call to the platform failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Nothing was sent, so the call had no effect.
    Unreached,
    /// No usable response arrived; the call may have taken effect.
    Unknown,
    /// The platform rejected the call, which had no effect.
    Refused,
    /// Retention has dropped the requested records; this is the oldest offset kept.
    Expired(Offset),
}

/// A failed call to the platform.
#[derive(Debug, Clone)]
pub struct PlatformError {
    reason: Reason,
    detail: String,
}

impl PlatformError {
    /// Creates an error from the reason and a description of the cause.
    pub fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
        }
    }

    /// Why the call failed.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Whether the call may have taken effect despite the error.
    pub fn is_unknown(&self) -> bool {
        self.reason == Reason::Unknown
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let why = match self.reason {
            Reason::Unreached => "platform not reached",
            Reason::Unknown => "platform's answer lost",
            Reason::Refused => "refused by the platform",
            Reason::Expired(_) => "records expired",
        };
        write!(f, "{why}: {}", self.detail)
    }
}

impl Error for PlatformError {}
