//! The one error of this crate.

use sesamegap_wire::Offset;
use std::error::Error;
use std::fmt;

/// Why the platform did not do what was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Nothing was sent, so nothing took effect.
    Unreached,
    /// Sent, but no usable answer came: it may have taken effect.
    Unknown,
    /// The platform refused; nothing took effect.
    Refused,
    /// The records asked for were dropped by retention; this is the oldest one kept.
    Expired(Offset),
}

/// A call to the platform that failed.
#[derive(Debug, Clone)]
pub struct PlatformError {
    reason: Reason,
    detail: String,
}

impl PlatformError {
    /// Records why a call failed, with the cause in words.
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

    /// Whether the call may have taken effect all the same.
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
